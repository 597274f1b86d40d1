"""Settings of an agent, and fakes of its endpoint and its routers."""

import asyncio
import contextlib
from dataclasses import dataclass, field

from grpclib.client import Channel
from tornado.httputil import HTTPHeaders

from bulrushbend.agent.daemon import Agent
from bulrushbend.bench.addresses import free_address
from bulrushbend.core.manifest import Endpoint, Manifest, Service, Team
from bulrushbend.core.settings import AgentSettings, PeerAddress, split_address
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts
from bulrushbend.wire.fleet_grpc import LinkStub
from bulrushbend.wire.fleet_pb2 import (
    ClaimMiss,
    Member,
    RouterBatch,
    TeamBacklog,
)

TIMEOUTS = ExchangeTimeouts(connect_ms=1000, first_byte_ms=5000, idle_ms=5000)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENTS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def fixed_length(data):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data)


def build_settings(**changes):
    values = {
        "name": "agent-1",
        "vm": "vm-1",
        "data_centre": "papantla",
        "http_address": free_address(),
        "link_address": free_address(),
        "control": (PeerAddress(name="control-1", address=free_address()),),
        "endpoint": "flor-1",
        "endpoint_address": free_address(),
        "heartbeat_ms": 50,
        "silence_ms": 400,
        "spread_ms": 20,
        "claim_timeout_ms": 300,
        "endpoint_idle_ms": 2000,
        "orphan_ms": 300,
        "drain_ms": 3000,
        "log_level": "error",
    }
    return AgentSettings(**{**values, **changes})


def build_manifest(version=1, slots=1, state="live", resume="none"):
    return Manifest(
        version=version,
        services=(Service(name="flor-llm", kind="model", resume=resume),),
        teams=tuple(
            Team(name=f"crew-{n}", token_sha256=f"{i:064x}") for i, n in enumerate("ab")
        ),
        endpoints=(
            Endpoint(
                name="flor-1",
                service="flor-llm",
                vm="vm-1",
                data_centre="papantla",
                slots=slots,
                state=state,
            ),
        ),
    )


@dataclass
class EndpointRequest:
    method: str
    path: str
    headers: HTTPHeaders
    body: bytes


@dataclass
class FakeEndpoint:
    """TCP server for which `script(request, writer)` writes the raw answers."""

    script: object
    requests: list = field(default_factory=list)

    async def serve(self, address):
        host, port = split_address(address)
        return await asyncio.start_server(self._handle, host, port)

    def runs(self):
        return [r for r in self.requests if not r.path.startswith("/v1/streams")]

    async def _handle(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            first, _, rest = head.decode("latin1").partition("\r\n")
            headers = HTTPHeaders.parse(rest)
            body = await reader.readexactly(int(headers.get("Content-Length", "0")))
            method, path, _ = first.split(" ")
            request = EndpointRequest(method, path, headers, body)
            self.requests.append(request)
            await self.script(request, writer)
            await writer.drain()
        writer.close()


class FakeRouter:
    """Client of the link (gRPC) and of the data port (HTTP)."""

    def __init__(self, settings, name="router-1", incarnation=1):
        self._settings = settings
        self._name = name
        self._incarnation = incarnation
        self.batches = []
        self.claims = asyncio.Queue()
        self.ended = asyncio.Event()
        self._outgoing = asyncio.Queue()
        self._channel = None
        self._task = None

    async def connect(self, heartbeat=True, version=1):
        self._channel = Channel(*split_address(self._settings.link_address))
        hello = Member(
            name=self._name,
            role="router",
            incarnation=self._incarnation,
            data_centre="papantla",
            region="region-1",
        )
        self.send(RouterBatch(hello=hello, manifest_version=version))
        self._task = asyncio.create_task(self._run(heartbeat))
        return self

    def send(self, batch):
        self._outgoing.put_nowait(batch)

    def advertise(self, team="crew-a", waiting=1, age_ms=0):
        entry = TeamBacklog(team=team, waiting=waiting, oldest_age_ms=age_ms)
        self.send(RouterBatch(backlog=[entry]))

    def send_miss(self, attempt_id):
        self.send(RouterBatch(misses=[ClaimMiss(attempt_id=attempt_id)]))

    async def claim(self, team="crew-a", waiting=1):
        self.advertise(team, waiting)
        return await self.next_claim()

    async def next_claim(self, timeout=2.0):
        async with asyncio.timeout(timeout):
            return (await self.claims.get()).attempt_id

    async def kill(self):
        """Close the link without notice, as when the process is killed."""
        self._channel.close()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def last_report(self):
        return next(b.slots for b in reversed(self.batches) if b.HasField("slots"))

    async def _run(self, heartbeat):
        try:
            async with LinkStub(self._channel).Connect.open() as stream:
                await stream.send_request()
                sender = asyncio.create_task(self._send(stream, heartbeat))
                try:
                    while (batch := await stream.recv_message()) is not None:
                        self.batches.append(batch)
                        for claim in batch.claims:
                            self.claims.put_nowait(claim)
                finally:
                    sender.cancel()
        finally:
            self.ended.set()

    async def _send(self, stream, heartbeat):
        while True:
            batch = RouterBatch()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    batch = await self._outgoing.get()
            if heartbeat or batch.ByteSize():
                await stream.send_message(batch)

    async def post(self, attempt_id, body=b"{}", **headers):
        values = {
            "Bulrushbend-Method": "POST",
            "Bulrushbend-Path": "/v1/chat/completions",
            "Bulrushbend-Team": "crew-a",
            "Bulrushbend-Request": "req-1",
            "Bulrushbend-Idempotent": "true",
            "Bulrushbend-Deadline-Ms": "5000",
        }
        for name, value in headers.items():
            values["Bulrushbend-" + name.replace("_", "-").title()] = value
        return await self.call("POST", f"/attempts/{attempt_id}", values, body)

    async def get(self, attempt_id, offset=0):
        return await self.call("GET", f"/attempts/{attempt_id}?offset={offset}")

    async def delete(self, attempt_id, query=""):
        return await self.call("DELETE", f"/attempts/{attempt_id}{query}")

    async def call(self, method, path, headers=None, body=b""):
        request = ExchangeRequest(method, path, HTTPHeaders(headers or {}), body)
        return await Exchange.open(self._settings.http_address, request, TIMEOUTS)


@contextlib.asynccontextmanager
async def running_agent(script, manifest=None, endpoint_up=True, **changes):
    """Yield the settings, agent, fake endpoint and a linked fake router."""
    settings = build_settings(**changes)
    endpoint = FakeEndpoint(script)
    server = await endpoint.serve(settings.endpoint_address) if endpoint_up else None
    agent = Agent(settings)
    await agent.start()
    document = pack_manifest(manifest or build_manifest())
    agent.in_force.adopt_if_newer(document, peer="test", confirmed=True)
    router = await FakeRouter(settings).connect()
    try:
        yield settings, agent, endpoint, router
    finally:
        await router.kill()
        await agent.stop()
        if server is not None:
            server.close()


async def eventually(condition, timeout=3.0):
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.005)


async def read_refusal(exchange):
    """Return the status and the refusal header of an answer."""
    await exchange.body()
    return exchange.status, exchange.headers.get("Bulrushbend-Refused")
