"""Test rig for one router process, with fake agents, a fake control and a client."""

import asyncio
import contextlib
import os
import resource
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import tomli_w
from grpclib.server import Server
from tornado.netutil import bind_sockets

from bulrushbend.core.identity import new_id
from bulrushbend.core.manifest import Manifest, hash_token
from bulrushbend.core.settings import RouterSettings
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts
from bulrushbend.wire.fleet_grpc import FleetBase, LinkBase
from bulrushbend.wire.fleet_pb2 import (
    AgentBatch,
    Claim,
    FleetState,
    Member,
    RouterBatch,
    SlotReport,
)

TIMEOUTS = ExchangeTimeouts(1000.0, 30_000.0, 30_000.0)
SERVICE = "flor-llm"
TEAM = "crew-a"
TOKEN = "bench-token"
HEARTBEAT_MS = 500
_TIMESTAMP_BYTES = 20
_CHUNK_BYTES = 200
_LOCATION = {"vm": "vm-bench", "data_centre": "papantla"}
_ROUTER_PROGRAM = (
    "import asyncio, sys;"
    "from bulrushbend.core.settings import RouterSettings, load_settings;"
    "from bulrushbend.router.daemon import run_router;"
    "asyncio.run(run_router(load_settings(sys.argv[1], RouterSettings)))"
)


def find_free_address() -> str:
    """Return a loopback address whose port is unused at this moment."""
    [sock] = bind_sockets(0, "127.0.0.1")
    with sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


class BenchControl(FleetBase):
    """Fake control that reports one manifest and the fake agents."""

    def __init__(self, manifest: Manifest, members: list[Member]):
        self._state = FleetState(
            manifest=pack_manifest(manifest),
            confirmed=True,
            members_are_complete=True,
            changed=members,
        )

    async def Watch(self, stream: Any) -> None:  # noqa: N802 - name in fleet.proto
        """Send the whole state once, then empty heartbeats."""
        await stream.recv_message()
        await stream.send_message(self._state)
        while True:
            await asyncio.sleep(1.0)
            await stream.send_message(FleetState())

    async def Status(self, stream: Any) -> None:  # noqa: N802 - name in fleet.proto
        """Reject the call; the router needs only `Watch` here."""
        raise NotImplementedError

    Publish = RecordKey = CompleteKey = ReleaseKey = ChangeVoters = Status


class BenchAgent(LinkBase):
    """Fake agents that share one link port and one data port.

    Parameters
    ----------
    pause_ms : float
        Pause between two chunks of an answer in milliseconds.
    """

    def __init__(self, pause_ms: float):
        self.link_address = find_free_address()
        self.http_address = find_free_address()
        self.links = 0
        self.misses = 0
        self._pause_s = pause_ms / 1000.0
        self._claims: asyncio.Queue[list[Claim]] = asyncio.Queue()
        self._changed = asyncio.Event()

    def members(self, number: int) -> list[Member]:
        """Return `number` members with the same link and data ports."""
        return [
            Member(
                name=f"agent-{index}",
                role="agent",
                incarnation=1,
                link_address=self.link_address,
                http_address=self.http_address,
                service=SERVICE,
                region="region-1",
                **_LOCATION,
            )
            for index in range(number)
        ]

    async def Connect(self, stream: Any) -> None:  # noqa: N802 - name in fleet.proto
        """Send heartbeats and claims; all announced waiting requests are claimed."""
        self.links += 1
        self._changed.set()
        reader = asyncio.create_task(self._read(stream))
        due_s = 0.0
        try:
            while not reader.done():
                batch = AgentBatch(slots=SlotReport(limit=8))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(max(0.0, due_s - time.monotonic())):
                        batch.claims.extend(await self._claims.get())
                if not batch.claims:
                    due_s = time.monotonic() + HEARTBEAT_MS / 1000.0
                await stream.send_message(batch)
        finally:
            reader.cancel()

    async def wait_for_links(self, number: int) -> None:
        """Wait until `number` links have been opened."""
        while self.links < number:
            self._changed.clear()
            await self._changed.wait()

    async def send_missed_claims(self, number: int) -> None:
        """Send `number` claims for a team without requests and wait for the misses."""
        expected = self.misses + number
        name = new_id("att")
        claims = [Claim(attempt_id=f"{name}-{n}", team="idle") for n in range(number)]
        self._claims.put_nowait(claims)
        while self.misses < expected:
            self._changed.clear()
            await self._changed.wait()

    async def _read(self, stream: Any) -> None:
        while (batch := await stream.recv_message()) is not None:
            self._handle_batch(batch)

    def _handle_batch(self, batch: RouterBatch) -> None:
        if batch.misses:
            self.misses += len(batch.misses)
            self._changed.set()
        for entry in batch.backlog:
            claims = [
                Claim(attempt_id=new_id("att"), team=entry.team)
                for _ in range(entry.waiting)
            ]
            if claims:
                self._claims.put_nowait(claims)

    async def handle_http(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer with as many timestamped chunks as the request body states."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            fields = head.lower().split(b"content-length: ")
            if len(fields) < 2:
                raise ConnectionError("no Content-Length; fake agents accept only POST")
            chunks = int(await reader.readexactly(int(fields[1].split(b"\r")[0])))
            writer.write(
                b"HTTP/1.1 200 OK\r\nBulrushbend-Status: 200\r\n"
                b"Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            for _ in range(chunks):
                timestamp = f"{time.monotonic_ns():0{_TIMESTAMP_BYTES}d}".encode()
                data = timestamp.ljust(_CHUNK_BYTES, b".")
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(self._pause_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        writer.close()


class RouterRig:
    """A router process with fake agents and a fake control.

    Attributes
    ----------
    agent : BenchAgent
        All fake agents.
    """

    def __init__(self, links: int, pause_ms: float, folder: Path):
        self.agent = BenchAgent(pause_ms)
        self._links = links
        self._folder = folder
        self._control_address = find_free_address()
        self._router_address = find_free_address()
        self._pid = 0

    def memory_mb(self) -> float:
        """Return the resident memory of the router process in MB."""
        pages = int(Path(f"/proc/{self._pid}/statm").read_text().split()[1])
        return pages * resource.getpagesize() / 1e6

    def cpu_ms(self) -> float:
        """Return the processor time of the router process in milliseconds.

        Sum of the run times of its threads in schedstat, which has a resolution of
        nanoseconds.
        """
        tasks = Path(f"/proc/{self._pid}/task").glob("*/schedstat")
        return sum(int(task.read_text().split()[0]) for task in tasks) / 1e6

    async def send_request(self, chunks: int) -> tuple[float, float]:
        """Send a request through the router; see `send_direct_request`."""
        headers = {"Authorization": f"Bearer {TOKEN}"}
        path = f"/services/{SERVICE}/bench"
        return await _send_request(self._router_address, path, chunks, headers)

    async def send_direct_request(self, chunks: int) -> tuple[float, float]:
        """Send a request to the agents' data port.

        Returns
        -------
        first_byte_ms, lag_ms : float
            Time to the first data, and mean time from the write of a chunk to its
            arrival.
        """
        return await _send_request(
            self.agent.http_address, "/attempts/bench", chunks, {}
        )

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start all servers and the router; `stack` stops them."""
        members = self.agent.members(self._links)
        control = BenchControl(_build_manifest(), members)
        for service, address in (
            (control, self._control_address),
            (self.agent, self.agent.link_address),
        ):
            host, port = address.split(":")
            server = Server([service])
            await server.start(host, int(port))
            stack.callback(server.close)
        host, port = self.agent.http_address.split(":")
        http = await asyncio.start_server(self.agent.handle_http, host, int(port))
        stack.callback(http.close)
        await self._start_router(stack)
        await self.agent.wait_for_links(self._links)

    async def _start_router(self, stack: contextlib.AsyncExitStack) -> None:
        settings = RouterSettings(
            name="router-bench",
            http_address=self._router_address,
            control=[{"name": "control-1", "address": self._control_address}],
            log_level="error",
            event_log=str(self._folder / "events.jsonl"),
            heartbeat_ms=HEARTBEAT_MS,
            **_LOCATION,
        )
        path = self._folder / "router.toml"
        path.write_text(
            tomli_w.dumps(settings.model_dump(mode="json", exclude_none=True))
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            _ROUTER_PROGRAM,
            str(path),
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        self._pid = process.pid
        stack.push_async_callback(process.wait)
        stack.callback(process.terminate)


@contextlib.asynccontextmanager
async def running_rig(links: int, pause_ms: float) -> AsyncIterator[RouterRig]:
    """Run a rig with `links` links while the context is open.

    Parameters
    ----------
    links : int
        Number of agents.
    pause_ms : float
        Pause between two chunks of an answer in milliseconds.
    """
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        rig = RouterRig(links, pause_ms, Path(folder))
        await rig.start(stack)
        yield rig


def _build_manifest() -> Manifest:
    team = {"name": TEAM, "token_sha256": hash_token(TOKEN)}
    endpoint = {"name": "flor-1", "service": SERVICE, **_LOCATION}
    services = [{"name": SERVICE, "kind": "model"}]
    return Manifest.model_validate(
        {"version": 1, "services": services, "teams": [team], "endpoints": [endpoint]}
    )


async def _send_request(
    address: str, path: str, chunks: int, headers: dict[str, str]
) -> tuple[float, float]:
    request = ExchangeRequest("POST", path, body=str(chunks).encode())
    for name, value in headers.items():
        request.headers[name] = value
    started_ns = time.monotonic_ns()
    exchange = await Exchange.open(address, request, TIMEOUTS)
    first_ms = 0.0
    lags_ms: list[float] = []
    try:
        async for data in exchange.chunks():
            now_ns = time.monotonic_ns()
            first_ms = first_ms or (now_ns - started_ns) / 1e6
            lags_ms.append((now_ns - int(data[:_TIMESTAMP_BYTES])) / 1e6)
    finally:
        exchange.close()
    return first_ms, sum(lags_ms) / len(lags_ms)
