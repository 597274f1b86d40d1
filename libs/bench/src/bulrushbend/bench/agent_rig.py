"""Test rig for one agent process, with a fake endpoint, router and control."""

import asyncio
import contextlib
import os
import resource
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from grpclib.client import Channel
from grpclib.server import Server
from tornado.httputil import HTTPHeaders

from bulrushbend.bench.addresses import free_address
from bulrushbend.core.manifest import Endpoint, Manifest, Service, Team
from bulrushbend.core.settings import AgentSettings, PeerAddress, split_address
from bulrushbend.wire import names
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts
from bulrushbend.wire.fleet_grpc import FleetBase, LinkStub
from bulrushbend.wire.fleet_pb2 import (
    ClaimMiss,
    FleetState,
    Member,
    RouterBatch,
    TeamBacklog,
)

_AGENT_PROGRAM = """
import asyncio, sys
from bulrushbend.agent.daemon import run_agent
from bulrushbend.core.settings import AgentSettings
asyncio.run(run_agent(AgentSettings.model_validate_json(sys.argv[1])))
"""
_START_TIMEOUT_S = 15.0
_TIMESTAMP_BYTES = 20
TIMEOUTS = ExchangeTimeouts()


class PacedEndpoint:
    """Fake endpoint that writes its sending time into each chunk.

    Parameters
    ----------
    pause_ms : float
        Pause between two chunks in milliseconds.
    chunk_bytes : int
        Size of each chunk in bytes.
    """

    def __init__(self, pause_ms: float, chunk_bytes: int):
        self._pause_s = pause_ms / 1000.0
        self._padding = b"x" * (chunk_bytes - _TIMESTAMP_BYTES)

    async def serve(self, address: str) -> asyncio.Server:
        """Listen on ``"host:port"``."""
        return await asyncio.start_server(self._handle, *split_address(address))

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            headers = HTTPHeaders.parse(head.partition("\r\n")[2])
            body = await reader.readexactly(int(headers.get("Content-Length", "0")))
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(int(body)):
                timestamp = b"%0*d" % (_TIMESTAMP_BYTES, time.monotonic_ns())
                data = timestamp + self._padding
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await asyncio.sleep(self._pause_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        writer.close()


def read_timestamp_ns(data: bytes) -> int:
    """Return the time in ns at which the first chunk of `data` was sent."""
    return int(data[:_TIMESTAMP_BYTES])


class BenchControl(FleetBase):
    """Fake control that confirms one manifest; the agent makes no other call."""

    def __init__(self, manifest: Manifest):
        self._manifest = manifest

    async def Watch(self, stream: Any) -> None:  # noqa: N802 - name in fleet.proto
        """Answer each report of the agent with the state of the fleet."""
        while (report := await stream.recv_message()) is not None:
            state = FleetState(confirmed=True, manifest_version=self._manifest.version)
            if report.manifest_version < self._manifest.version:
                state.manifest.CopyFrom(pack_manifest(self._manifest))
            await stream.send_message(state)

    async def _refuse(self, stream: Any) -> None:
        raise NotImplementedError

    Publish = RecordKey = CompleteKey = ReleaseKey = Status = ChangeVoters = _refuse


class BenchRouter:
    """Fake router with `teams` backlogged teams.

    Parameters
    ----------
    settings : AgentSettings
        Addresses of the agent.
    teams : int
        Number of teams with waiting requests.
    name : str, default="router-1"
        Name of the router.
    """

    def __init__(self, settings: AgentSettings, teams: int, name: str = "router-1"):
        self._name = name
        self._settings = settings
        self._teams = teams
        self._claims: asyncio.Queue[str] = asyncio.Queue()
        self._outgoing: asyncio.Queue[RouterBatch] = asyncio.Queue()

    @contextlib.asynccontextmanager
    async def linked(self) -> AsyncIterator["BenchRouter"]:
        """Keep a link to the agent open while the context is open."""
        channel = Channel(*split_address(self._settings.link_address))
        async with LinkStub(channel).Connect.open() as stream:
            hello = Member(name=self._name, role="router", incarnation=1)
            await stream.send_message(RouterBatch(hello=hello, manifest_version=1))
            tasks = [
                asyncio.create_task(self._read(stream)),
                asyncio.create_task(self._write(stream)),
            ]
            try:
                yield self
            finally:
                for task in tasks:
                    task.cancel()
                await stream.cancel()
        channel.close()

    async def claim(self) -> str:
        """Announce a backlog of all teams; return the next claim's attempt id."""
        self._outgoing.put_nowait(RouterBatch(backlog=self._backlog(1)))
        return await self._claims.get()

    async def miss(self, attempt_id: str) -> str:
        """Answer a claim with a miss; return the next claim's attempt id.

        The team of the claim still has waiting requests.
        """
        miss = ClaimMiss(attempt_id=attempt_id)
        batch = RouterBatch(misses=[miss], backlog=self._backlog(1)[:1])
        self._outgoing.put_nowait(batch)
        return await self._claims.get()

    async def withdraw(self) -> None:
        """Announce that no team has waiting requests."""
        self._outgoing.put_nowait(RouterBatch(backlog_is_complete=True))

    async def post(self, attempt_id: str, body: bytes) -> Exchange:
        """Send the request of a claimed attempt to the agent."""
        headers = HTTPHeaders(
            {
                names.HEADER_METHOD: "POST",
                names.HEADER_PATH: "/run",
                names.HEADER_TEAM: "crew-0",
                names.HEADER_IDEMPOTENT: "true",
            }
        )
        path = f"/attempts/{attempt_id}"
        request = ExchangeRequest("POST", path, headers, body)
        return await Exchange.open(self._settings.http_address, request, TIMEOUTS)

    def _backlog(self, waiting: int) -> list[TeamBacklog]:
        return [
            TeamBacklog(team=f"crew-{i}", waiting=waiting) for i in range(self._teams)
        ]

    async def _read(self, stream: Any) -> None:
        while (batch := await stream.recv_message()) is not None:
            for claim in batch.claims:
                self._claims.put_nowait(claim.attempt_id)

    async def _write(self, stream: Any) -> None:
        while True:
            batch = RouterBatch()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    batch = await self._outgoing.get()
            await stream.send_message(batch)


class AgentRig:
    """One agent process with a fake endpoint, control and router.

    Parameters
    ----------
    endpoint : PacedEndpoint
        Endpoint that the agent serves.
    teams : int, default=1
        Number of backlogged teams.
    """

    def __init__(self, endpoint: PacedEndpoint, teams: int = 1):
        self._endpoint = endpoint
        self._teams = teams
        self._control_address = free_address()
        self._settings = AgentSettings(
            name="agent-1",
            vm="vm-1",
            data_centre="papantla",
            http_address=free_address(),
            link_address=free_address(),
            control=(PeerAddress(name="control-1", address=self._control_address),),
            endpoint="flor-1",
            endpoint_address=free_address(),
            log_level="error",
        )
        self._pid = 0

    @property
    def settings(self) -> AgentSettings:
        """Settings of the agent."""
        return self._settings

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[BenchRouter]:
        """Start all processes and servers and yield the linked router."""
        async with contextlib.AsyncExitStack() as stack:
            server = await self._endpoint.serve(self._settings.endpoint_address)
            stack.callback(server.close)
            control = Server([BenchControl(_build_manifest(self._teams))])
            await control.start(*split_address(self._control_address))
            stack.callback(control.close)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                _AGENT_PROGRAM,
                self._settings.model_dump_json(),
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            )
            stack.push_async_callback(_stop, process)
            self._pid = process.pid
            await self._wait_ready()
            router = BenchRouter(self._settings, self._teams)
            yield await stack.enter_async_context(router.linked())

    def memory_mb(self) -> float:
        """Return the resident memory of the agent in MB."""
        pages = int(Path(f"/proc/{self._pid}/statm").read_text().split()[1])
        return pages * resource.getpagesize() / 1e6

    def cpu_ms(self) -> float:
        """Return the processor time of the agent in milliseconds."""
        fields = Path(f"/proc/{self._pid}/schedstat").read_text().split()
        return int(fields[0]) / 1e6

    async def _wait_ready(self) -> None:
        request = ExchangeRequest("GET", "/readyz")
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                with contextlib.suppress(Exception):
                    exchange = await Exchange.open(
                        self._settings.http_address, request, TIMEOUTS
                    )
                    exchange.close()
                    if exchange.status == 200:
                        return
                await asyncio.sleep(0.05)


async def _stop(process: asyncio.subprocess.Process) -> None:
    process.terminate()
    try:
        await asyncio.wait_for(process.wait(), 10)
    except TimeoutError:
        process.kill()
        await process.wait()


def _build_manifest(teams: int) -> Manifest:
    return Manifest(
        version=1,
        services=(Service(name="flor-llm", kind="model"),),
        teams=tuple(
            Team(name=f"crew-{i}", token_sha256=f"{i:064x}") for i in range(teams)
        ),
        endpoints=(
            Endpoint(
                name="flor-1",
                service="flor-llm",
                vm="vm-1",
                data_centre="papantla",
                slots=1,
            ),
        ),
    )
