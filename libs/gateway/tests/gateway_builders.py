"""Builders of calls, endpoints and scripted servers for the gateway tests."""

import asyncio
import contextlib
import socket
import struct

import pytest
from tornado.httputil import HTTPHeaders

from bulrushbend.core.clock import Clock, ManualClock
from bulrushbend.core.errors import PeerError
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.core.manifest import Route, RouteKind, Split
from bulrushbend.gateway.admission import AdmissionQueue
from bulrushbend.gateway.call import Call, CallDetails, Placement, PromptPart
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.crash_reports import CrashReports
from bulrushbend.gateway.demand import Demand, demand_of
from bulrushbend.gateway.endpoint_limits import EndpointLimits
from bulrushbend.gateway.endpoint_notices import EndpointNotices
from bulrushbend.gateway.endpoints import DiscoveredEndpoint, EndpointDirectory
from bulrushbend.gateway.header_codec import (
    bearer_token,
    end_to_end_headers,
    parse_rate,
    parse_retry_after,
    retry_after_value,
)
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.leaving_reports import LeavingReports
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.placer import PlacementLimits, Placer
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex
from bulrushbend.gateway.quarantine import PromptQuarantine
from bulrushbend.gateway.request_quarantine import RequestQuarantine
from bulrushbend.gateway.shares import TeamShares

SERVICE = "flor-llm"


def make_route(name="plan", **fields):
    values = {
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "kind": RouteKind.STREAM,
        "split": (Split(service=SERVICE),),
        "time_limit_ms": 15_000,
        "objective_ms": 1000,
    }
    return Route(name=name, **(values | fields))


def make_call(team="crew-a", tokens=1000, prefix=(), now_ms=0.0, **fields):
    parts = tuple(PromptPart(digest, count) for digest, count in prefix)
    route = fields.pop("route", None) or make_route()
    details = CallDetails(
        request_id=fields.pop("request_id", "r1"),
        prompt_tokens=tokens,
        output_tokens=fields.pop("output_tokens", 0),
        prefix=parts,
        last_event_id=fields.pop("last_event_id", ""),
    )
    limit_ms = fields.pop("limit_ms", route.time_limit_ms)
    return Call(
        details=details,
        method=fields.pop("method", "POST"),
        target=fields.pop("target", "/plan/x"),
        headers=HTTPHeaders(),
        body=fields.pop("body", b"{}"),
        route=route,
        service=SERVICE,
        team=team,
        received_ms=now_ms,
        limit_ms=now_ms + limit_ms,
    )


def make_endpoint(name="e1", address="127.0.0.1:1", slots=64, **fields):
    return DiscoveredEndpoint(
        id=name,
        service=fields.pop("service", SERVICE),
        address=address,
        data_centre=fields.pop("data_centre", "papantla"),
        slots=slots,
        **fields,
    )


def make_quarantine(clock):
    return PromptQuarantine(clock, MemoryEventLog())


def make_request_quarantine(clock, explained=()):
    return RequestQuarantine(
        clock, MemoryEventLog(), lambda endpoint, crashed_ms: endpoint in explained
    )


class FakeSource:
    """Endpoint source whose list a test sets."""

    rate_per_s = 1000.0

    def __init__(self, *endpoints):
        self.endpoints = list(endpoints)
        self.fails = False
        self.calls = 0

    async def fetch(self):
        self.calls += 1
        if self.fails:
            raise PeerError("no answer", step="list", peer="source")
        return list(self.endpoints), 1


def begin(loads, endpoint, team, tokens, cost, shared=(), requester=""):
    """Record a placement with these values, and return it."""
    demand = Demand(
        team=team,
        tokens=tokens,
        cost=cost,
        shared=tuple(shared),
        avoided=frozenset(),
        wait_start_ms=0.0,
        wait_until_ms=0.0,
        requester=requester,
    )
    return loads.begin(Placement(endpoint, tokens), demand)


class GatewayComponents:
    """The placement components of a gateway, on a manual clock."""

    def __init__(
        self,
        *endpoints,
        unread_tokens=2048,
        most_waiting=100,
        clock=None,
        name="g1",
        turn=lambda identity: 0,
    ):
        self.clock = clock or ManualClock()
        self.events = MemoryEventLog()
        self.source = FakeSource(*endpoints)
        self.directory = EndpointDirectory(
            self.source, self.clock, self.events, 1000.0, lambda: 1
        )
        self.directory._update_list(self.source.endpoints, self.clock.boot_ms())
        self.prefix_cache = PrefixCacheIndex()
        self.is_coordinator = True
        self.limits = EndpointLimits(
            self.clock, self.events, self.directory.get, lambda _: self.is_coordinator
        )
        self.loads = LoadView(name, 1, self.clock, self.prefix_cache, self.limits)
        self.health = EndpointHealth(self.clock, self.events)
        self.notices = EndpointNotices(self.clock, self.events, self.directory.get)
        self.directory.add_listener(lambda ended: self.notices.update())
        self.quarantine = PromptQuarantine(self.clock, self.events)
        self.request_quarantine = RequestQuarantine(
            self.clock, self.events, self.quarantine.explains, turn
        )
        self.shares = TeamShares(self.clock)
        self.placer = Placer(
            self.loads,
            self.prefix_cache,
            self.health,
            self.notices,
            self.limits,
            PlacementLimits(unread_tokens),
            "papantla",
        )
        self.queue = AdmissionQueue(
            SERVICE,
            self.directory,
            self.placer,
            self.notices,
            self.limits,
            self.loads,
            self.shares,
            self.clock,
            most_waiting,
        )

    def make_crash_reports(self, coordinators, send, connect_ms=300.0):
        return CrashReports(
            self.quarantine,
            self.request_quarantine,
            self.health,
            coordinators,
            self.clock,
            self.events,
            send,
            connect_ms,
        )

    def make_leaving_reports(self, coordinators, send):
        return LeavingReports(
            self.notices, coordinators, self.clock, self.directory.get, send
        )

    def choose(self, call, remaining_wait=1.0):
        demand = demand_of(call, self.clock.now_ms())
        return self.placer.choose(
            demand, self.directory.of_service(SERVICE), remaining_wait
        )

    async def place(self, call):
        return await self.queue.place(demand_of(call, self.clock.now_ms()))

    def begin(self, endpoint, team="other", tokens=0, cost=0, shared=()):
        begin(self.loads, endpoint, team, tokens, cost, shared)


class PlainHeaderCodec:
    """Header codec with short header names."""

    def read_details(self, headers):
        deadline = headers.get("Deadline")
        return CallDetails(
            request_id=headers.get("Id", ""),
            token=bearer_token(headers, "Bearer"),
            deadline_ms=float(deadline) if deadline else None,
        )

    def read_request_id(self, headers):
        return headers.get("Id", "")

    def endpoint_headers(self, call, endpoint, remaining_ms, fetch_from=""):
        headers = end_to_end_headers(call.headers, frozenset({"authorization"}))
        headers["Id"] = call.details.request_id
        headers["Deadline"] = str(int(remaining_ms))
        if call.last_event_id:
            headers["Last-Event-Id"] = call.last_event_id
        return headers

    def proves_not_run(self, status, headers):
        return "Not-Run" in headers or status == 421

    def is_genuine(self, call, status, headers):
        return headers.get("Id", call.details.request_id) == call.details.request_id

    def states_leaving(self, headers):
        return headers.get("Leaving") == "1"

    def read_pause_ms(self, headers):
        return parse_retry_after(headers)

    def read_limit_per_s(self, headers):
        return parse_rate(headers, "Limit")

    def caller_headers(self, headers):
        return end_to_end_headers(headers, frozenset())

    def error_headers(self, request_id, error):
        headers = HTTPHeaders({"Id": request_id})
        if retry_after_value(error) is not None:
            headers["Retry-After"] = retry_after_value(error)
        return headers


class ScriptedEndpoint:
    """TCP server that responds to each request with scripted bytes.

    A step is bytes to send, a number of seconds to wait, or an end of the connection:
    ``"close"``, ``"reset"``, or ``"hang"``, which waits until the peer disconnects.
    ``"stop"`` stops listening.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.disconnects = 0
        self.address = ""
        self._server = None

    @contextlib.asynccontextmanager
    async def running(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._server = server
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            server.close()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return
        self.requests.append(head)
        number = min(len(self.requests), len(self.scripts)) - 1
        for step in self.scripts[number]:
            if isinstance(step, bytes):
                writer.write(step)
                with contextlib.suppress(OSError):
                    await writer.drain()
            elif step == "reset":
                connection = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return
            elif step == "stop":
                self._server.close()
            elif step == "hang":
                with contextlib.suppress(OSError):
                    while await reader.read(65_536):
                        pass
                self.disconnects += 1
            elif step != "close":
                await asyncio.sleep(step)
        writer.close()


def plain_response(body=b"done", status="200 OK", **headers):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(**headers):
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\nTransfer-Encoding: chunked\r\n\r\n"


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


END_OF_CHUNKS = b"0\r\n\r\n"


class RecordingSink:
    """Response sink that records what is written to it."""

    def __init__(self):
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = b""
        self.finished = False
        self.aborted = False

    @property
    def started(self):
        return bool(self.body)

    def start(self, status, headers):
        self.status = status
        self.headers = headers

    def write(self, piece):
        self.body += piece

    def finish(self):
        self.finished = True

    def set_flow_control(self, pause, resume):
        pass

    def abort_response(self):
        self.aborted = True


PROMPT = (("aa", 100), ("bad", 50), ("own", 30))


class CrashReportFleet:
    """Gateways that deliver crash notes to each other at once."""

    def __init__(self, *names, clock=None):
        self.clock = clock or Clock()
        self.components = {}
        self.reports = {}
        self.coordinators = []
        self.sent = []
        for name in names:
            self.start(name, names)

    def start(self, name, names):
        """Start a gateway that knows nothing, beside those called `names`."""
        components = GatewayComponents(
            clock=self.clock, name=name, turn=lambda subject: coordinators.turn(subject)
        )
        coordinators = Coordinators(name, self.clock, components.events)
        coordinators.set_peers({n: n for n in names if n != name})
        self.coordinators.append(coordinators)
        self.components[name] = components
        self.reports[name] = components.make_crash_reports(
            coordinators, self._sender(name)
        )

    def _sender(self, name):
        def send(address, datagram):
            self.sent.append((name, address))
            self.reports[address].handle_note(datagram.crash_note, name)

        return send

    def set_services(self, *services):
        for coordinators in self.coordinators:
            coordinators.set_services(services)

    def suspects(self, name):
        return {
            digest
            for crash in self.components[name].quarantine.crashes
            for suspect in crash.suspects.values()
            for digest in suspect.digests
        }


def crashed_endpoint(name="e1"):
    return make_endpoint(name, "127.0.0.1:1")


def make_prompt_call(request_id="r1"):
    return make_call(prefix=PROMPT, request_id=request_id, body=request_id.encode())


BAD = ("aa", "bad")
MINUTE_MS = 60_000.0
IDENTITY = make_call(body=b"crashes").identity
PROMPT_SUBJECT = (make_prompt_call, lambda c: c.quarantine.remaining_ms(BAD))


def make_copy(request_id):
    """Return a copy of a request without a prompt."""
    return make_call(request_id=request_id, body=b"crashes")


REQUEST_SUBJECT = (
    make_copy,
    lambda c: c.request_quarantine.remaining_ms(IDENTITY),
)
SUBJECTS = pytest.mark.parametrize(
    ("make_deadly", "remaining_ms"), [PROMPT_SUBJECT, REQUEST_SUBJECT]
)


async def quarantined_fleet(clock, make_deadly, names=("g1", "g2")):
    """Return gateways that have quarantined the cause of two crashes."""
    fleet = CrashReportFleet(*names, clock=clock)
    for number in (1, 2):
        endpoint = crashed_endpoint(f"e{number}")
        reports = fleet.reports[names[0]]
        await reports.examine(endpoint, make_deadly(f"r{number}"), False)
        await asyncio.gather(*reports._probes.values())
        await clock.advance(1_000.0)
    return fleet
