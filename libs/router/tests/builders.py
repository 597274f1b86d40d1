"""Fakes of the processes that a router talks to, and builders of test data."""

import asyncio
import contextlib
from collections import Counter

from grpclib.server import Server

from bulrushbend.bench.addresses import free_address
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.core.identity import new_identity
from bulrushbend.core.manifest import Manifest, hash_token
from bulrushbend.core.settings import RouterSettings
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.fleet_grpc import FleetBase, LinkBase
from bulrushbend.wire.fleet_pb2 import (
    AgentBatch,
    Claim,
    FleetState,
    KeyReply,
    Member,
    RunningAttempt,
    SlotReport,
)

TEAMS = ("crew-a", "crew-b")
CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"


def make_manifest(version=1, **limits):
    return Manifest.model_validate(
        {
            "version": version,
            "limits": limits,
            "services": [
                {"name": "flor-llm", "kind": "model"},
                {"name": "rota-app", "kind": "application"},
            ],
            "teams": [
                {"name": team, "token_sha256": hash_token(f"token-{team}")}
                for team in TEAMS
            ],
            "endpoints": [
                make_endpoint("flor-1", "flor-llm"),
                make_endpoint("rota-1", "rota-app"),
            ],
        }
    )


def make_endpoint(name, service):
    return {
        "name": name,
        "service": service,
        "vm": f"vm-{name}",
        "data_centre": "papantla",
    }


def make_settings(control_address, **changes):
    values = {
        "name": "router-1",
        "vm": "vm-1",
        "data_centre": "papantla",
        "http_address": free_address(),
        "control": [{"name": "control-1", "address": control_address}],
        "heartbeat_ms": 50,
        "spread_ms": 20,
        "silence_ms": 400,
        "silence_between_regions_ms": 2000,
        "stall_ms": 200,
        "connect_timeout_ms": 300,
        "key_timeout_ms": 500,
        "drain_ms": 300,
        "log_level": "error",
        **changes,
    }
    return RouterSettings.model_validate(values)


class FakeControl(FleetBase):
    """Serves one manifest, a changeable set of members and preset key replies."""

    def __init__(self, manifest):
        self.manifest = manifest
        self.members = {}
        self.calls = []
        self.record_reply = KeyReply(result=KeyReply.RECORDED)
        self.available = True
        self.address = free_address()
        self.changed = asyncio.Event()
        self.server = Server([self])

    async def start(self):
        host, port = self.address.split(":")
        await self.server.start(host, int(port))

    def add_agent(self, agent):
        self.members[agent.member.name] = agent.member
        self.changed.set()

    async def Watch(self, stream):  # noqa: N802
        await stream.recv_message()
        while True:
            state = FleetState(
                confirmed=True,
                members_are_complete=True,
                changed=list(self.members.values()),
            )
            if self.manifest is not None:
                state.manifest.CopyFrom(pack_manifest(self.manifest))
            await stream.send_message(state)
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await self.changed.wait()

    async def _key(self, name, stream, reply):
        request = await stream.recv_message()
        self.calls.append((name, request))
        if not self.available:
            reply = KeyReply(result=KeyReply.UNAVAILABLE)
        await stream.send_message(reply)

    async def RecordKey(self, stream):  # noqa: N802
        await self._key("record", stream, self.record_reply)

    async def CompleteKey(self, stream):  # noqa: N802
        await self._key("complete", stream, KeyReply(result=KeyReply.COMPLETED))

    async def ReleaseKey(self, stream):  # noqa: N802
        await self._key("release", stream, KeyReply(result=KeyReply.RELEASED))

    async def Publish(self, stream):  # noqa: N802
        raise NotImplementedError

    Status = ChangeVoters = Publish

    def requests_of(self, name):
        return [request for call, request in self.calls if call == name]


class FakeAgent(LinkBase):
    """Agent with a real link and a raw HTTP port with scripted answers.

    ``answers`` maps a method to a coroutine function ``(exchange) -> None``, or to a
    list of them of which each call takes the next (the last one stays).
    """

    def __init__(self, name="flor-1", service="flor-llm"):
        self.member = Member(
            name=f"agent-{name}",
            role="agent",
            incarnation=1,
            vm=f"vm-{name}",
            data_centre="papantla",
            region="region-1",
            link_address=free_address(),
            http_address=free_address(),
            endpoint=name,
            service=service,
        )
        self.answers = {
            "POST": echo,
            "GET": answer_not_found,
            "DELETE": answer_not_started,
        }
        self.batches = []
        self.calls = []
        self.requests = []
        self.running = {}
        self.links = 0
        self.heartbeats_enabled = True
        self.auto_claim = True
        self.slots = 8
        self.outgoing = asyncio.Queue()
        self.claimed = 0
        self.backlog = Counter()
        self.server = Server([self])
        self.http = None

    async def start(self):
        host, port = self.member.link_address.split(":")
        await self.server.start(host, int(port))
        await self.start_http()

    async def start_http(self):
        host, port = self.member.http_address.split(":")
        self.http = await asyncio.start_server(self._serve_http, host, int(port))

    async def stop_http(self):
        self.http.close()
        self.http = None

    async def stop(self):
        self.server.close()
        if self.http is not None:
            self.http.close()

    async def Connect(self, stream):  # noqa: N802
        self.links += 1
        reader = asyncio.create_task(self._read_batches(stream))
        try:
            first = True
            while not reader.done():
                batch = AgentBatch(slots=SlotReport(limit=self.slots))
                if first:
                    batch.hello.CopyFrom(self.member)
                first = False
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.05):
                        batch.MergeFrom(await self.outgoing.get())
                batch.running.extend(self._reports())
                while not self.heartbeats_enabled:
                    await asyncio.sleep(0.01)
                await stream.send_message(batch)
        finally:
            reader.cancel()

    def _reports(self):
        return [
            RunningAttempt(attempt_id=name, produced_bytes=size)
            for name, size in self.running.items()
        ]

    async def _read_batches(self, stream):
        while (batch := await stream.recv_message()) is not None:
            self.batches.append(batch)
            for entry in batch.backlog:
                self.backlog[entry.team] = entry.waiting
            if self.auto_claim:
                for entry in batch.backlog:
                    for _ in range(entry.waiting):
                        self.claim(entry.team)

    def claim(self, team, attempt_id=None):
        self.claimed += 1
        name = attempt_id or f"att-{self.member.name}-{self.claimed}"
        self.outgoing.put_nowait(AgentBatch(claims=[Claim(attempt_id=name, team=team)]))
        return name

    @property
    def misses(self):
        return [miss.attempt_id for batch in self.batches for miss in batch.misses]

    async def _serve_http(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            line, *rest = head.strip().split("\r\n")
            headers = dict(item.split(": ", 1) for item in rest)
            body = await reader.readexactly(int(headers.get("Content-Length", 0)))
            method, path, _ = line.split(" ")
            self.calls.append((method, path))
            self.requests.append((method, headers, body))
            name = path.split("/")[2].split("?")[0]
            if method == "POST" and name not in self.running:
                self.running[name] = 0
            answer = self.answers[method]
            if isinstance(answer, list):
                answer = answer.pop(0) if len(answer) > 1 else answer[0]
            await answer(FakeExchange(self, reader, writer, path, headers, body))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def count(self, method):
        return sum(name == method for name, _ in self.calls)


class FakeExchange:
    """One connection to the data port of the agent."""

    def __init__(self, agent, reader, writer, path, headers, body):
        self.agent = agent
        self.reader = reader
        self.writer = writer
        self.headers = headers
        self.body = body
        self.attempt_id = path.split("/")[2].split("?")[0]
        self.path = path

    async def head(self, status=200, content_type="application/json", **extra):
        lines = f"Bulrushbend-Status: {status}\r\nContent-Type: {content_type}\r\n"
        lines += "".join(f"{n.replace('_', '-')}: {v}\r\n" for n, v in extra.items())
        await self.raw(CHUNKED + lines + "\r\n")

    async def chunk(self, text):
        data = text.encode()
        self.produce(len(data))
        await self.raw(f"{len(data):x}\r\n{text}\r\n")

    def produce(self, size):
        self.agent.running[self.attempt_id] += size

    async def end(self):
        self.agent.running.pop(self.attempt_id, None)
        await self.raw("0\r\n\r\n")

    async def raw(self, text):
        self.writer.write(text.encode())
        await self.writer.drain()

    async def plain(self, status, body="", **headers):
        lines = "".join(f"{n.replace('_', '-')}: {v}\r\n" for n, v in headers.items())
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n"
        await self.raw(head + body)

    async def wait_closed(self):
        await self.reader.read()


async def echo(exchange):
    await exchange.head()
    await exchange.chunk(f"echo {exchange.headers['Bulrushbend-Request']} ")
    await exchange.chunk(exchange.body.decode("latin-1") or "-")
    await exchange.end()


async def refuse(exchange):
    await exchange.plain(409, Bulrushbend_Refused="not-started")


async def answer_not_found(exchange):
    await exchange.plain(404)


async def answer_not_started(exchange):
    await exchange.plain(200, '{"state": "not-started"}')


async def answer_running(exchange):
    await exchange.plain(200, '{"state": "running"}')


async def close_connection(exchange):
    exchange.writer.close()


async def send_nothing(exchange):
    await exchange.wait_closed()


def answer_failure(failure):
    async def answer(exchange):
        await exchange.plain(502, Bulrushbend_Failure=failure)

    return answer


def make_identity():
    return new_identity("router-1", Clock())


def make_events():
    return MemoryEventLog()
