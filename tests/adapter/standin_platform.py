"""Stand-ins for the platform on loopback: its instance list and its engines."""

import asyncio
import contextlib
import itertools
import json
import random
import socket
import struct
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

# Age of the entries of the instance list.
LIST_LAG_S = 0.8
# Time in which bytes that were written leave the process before a connection is reset.
_SEND_S = 0.005
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def parse_parts(prefix_hash: str) -> list[str]:
    """Return the ids of the parts of a prompt without those of the request's own."""
    return [entry.partition(":")[0] for entry in prefix_hash.split(",")[:-1]]


@dataclass(frozen=True)
class Arrival:
    """A request that an engine has read, also if it was rejected.

    Attributes
    ----------
    at_s : float
        Time of the event loop.
    request_id : str
        Id of the request.
    parts : tuple of str
        Ids of the shared parts of its prompt.
    body : bytes
        Body of the request.
    instance : str
        Id of the incarnation that read it.
    """

    at_s: float
    request_id: str
    parts: tuple[str, ...]
    body: bytes
    instance: str


@dataclass(frozen=True)
class Pause:
    """A request that an engine turned away with a pause.

    Attributes
    ----------
    at_s : float
        Time of the event loop.
    request_id : str
        Id of the request.
    instance : str
        Id of the incarnation.
    duration_s : float
        Time for which it wants no requests of the gateway that sent this one.
    """

    at_s: float
    request_id: str
    instance: str
    duration_s: float


class _Server(HTTPServer):
    """Server that can reset all its connections."""

    def initialize(self, *arguments, **options):
        super().initialize(*arguments, **options)
        self._streams = set()

    def handle_stream(self, stream, address):
        self._streams = {open_ for open_ in self._streams if not open_.closed()}
        self._streams.add(stream)
        super().handle_stream(stream, address)

    def reset(self):
        for stream in self._streams:
            reset_stream(stream)
        self._streams.clear()


def reset_stream(stream) -> None:
    """Close a connection with a reset."""
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.close()


class Engine:
    """One engine that answers with an event stream or a body and sets its own seal.

    Attributes
    ----------
    instance : str
        Id of the current incarnation; a crash ends it.
    runs : list of tuple
        Request id, tenant and path of each run.
    arrivals : list of Arrival
        All requests that were read, also those that were rejected.
    crashes : list of float
        Times of the event loop at which the engine crashed.
    deadly_parts : set of str
        Parts that crash the engine when it begins to write an answer on them.
    deadly_bodies : set of bytes
        Bodies that crash the engine when it begins to write an answer on them.
    reset_share : float
        Share of the answers whose connection is reset before their first event.
    first_event_s : float
        Time from the arrival of a request to its first event.
    waiting : int
        Number of requests that have no event yet.
    down_s : float
        Time for which the engine refuses connections after a crash.
    silences : list of float
        Pauses that are made, one in each of the next streams, before their third event.
    silent_s : float
        Time from the start of a run until the first byte of the response.
    slow_s : float
        Longest additional time, which is drawn for each run.
    is_leaving : bool
        Whether all responses state that the engine is leaving.
    limit_per_s : float or None
        Rate of requests that all responses state as accepted; None for none.
    turn_away_s : float
        Time for which callers are turned away that send a request, 0 for none.
    pauses : list of Pause
        All requests that were turned away with a pause.
    started_ms : int or None
        Start that the list shows; None if it shows none.
    on_listening : callable
        Called with False before a crash, and with True after the next start.
    """

    def __init__(self, name, service, host, port, slots=8, seed=0):
        self.name = name
        self.service = service
        self.address = f"{host}:{port}"
        self.listed_address = self.address
        self.slots = slots
        self.state = "ready"
        self.instance = name
        self.runs = []
        self.arrivals = []
        self.crashes = []
        self.refuses = False
        self.events = 5
        self.pause_s = 0.01
        self.deadly_parts = set()
        self.deadly_bodies = set()
        self.reset_share = 0.0
        self.first_event_s = 0.0
        self.waiting = 0
        self.down_s = 2.0
        self.silences = []
        self.is_leaving = False
        self.limit_per_s = None
        self.turn_away_s = 0.0
        self.pauses = []
        self.started_ms = None
        self.on_listening = lambda is_listening: None
        self.random = random.Random(f"{seed} {name}")
        self._listed_instance = name
        self._incarnations = itertools.count(2)
        self._timers = []
        self._host, self._port = host, port
        self.silent_s = 0.0
        self.slow_s = 0.0
        self._listen()

    def list_entry(self):
        entry = {
            "id": self._listed_instance,
            "service": self.service,
            "addr": self.listed_address,
            "zone": "papantla",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
        }
        return entry if self.started_ms is None else entry | {"born": self.started_ms}

    def replace(self) -> None:
        """Let another incarnation take over the address; the list shows it late."""
        self.is_leaving = False
        self.instance = f"{self.name}.{next(self._incarnations)}"
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(LIST_LAG_S, self._list, self.instance))

    def response_delay_s(self) -> float:
        """Return the time from the start of a run until the first byte."""
        if not self.slow_s:
            return self.silent_s
        return self.silent_s + self.random.uniform(0.0, self.slow_s)

    def crash(self) -> None:
        """Reset all connections, refuse new ones and start again after `down_s`."""
        loop = asyncio.get_running_loop()
        self.crashes.append(loop.time())
        self.instance = ""
        self.on_listening(False)
        self._server.stop()
        self._server.reset()
        self._timers.append(loop.call_later(self.down_s, self._restart))

    def stop(self):
        for timer in self._timers:
            timer.cancel()
        if self.instance:
            self._server.stop()

    def _listen(self):
        application = Application([(r"/.*", _EngineHandler, {"engine": self})])
        self._server = _Server(application)
        self._server.add_sockets(bind_sockets(self._port, self._host))

    def _restart(self):
        self.instance = f"{self.name}.{next(self._incarnations)}"
        self.is_leaving = False
        self._listen()
        self.on_listening(True)
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(LIST_LAG_S, self._list, self.instance))

    def _list(self, instance):
        self._listed_instance = instance


class _EngineHandler(RequestHandler):
    def initialize(self, engine):
        self._engine = engine
        self._is_abandoned = False

    def on_connection_close(self):
        self._is_abandoned = True

    async def post(self):
        engine = self._engine
        headers = self.request.headers
        parts = parse_parts(headers.get("Prefix-Hash", ""))
        request_id, body = headers.get("Attempt-Id", ""), self.request.body
        now_s = asyncio.get_running_loop().time()
        engine.arrivals.append(
            Arrival(now_s, request_id, tuple(parts), body, engine.instance)
        )
        if engine.is_leaving:
            self.set_header("Server-Leaving", "1")
        if engine.limit_per_s is not None:
            self.set_header("Server-Limit", f"{engine.limit_per_s:g}")
        if headers.get("Expect-Instance") != engine.instance:
            self.set_status(421)
            return
        if engine.turn_away_s:
            pause = Pause(now_s, request_id, engine.instance, engine.turn_away_s)
            engine.pauses.append(pause)
            self.set_header("Retry-After", f"{engine.turn_away_s:g}")
        if engine.refuses or engine.turn_away_s:
            self.set_status(503)
            self.set_header("Not-Executed", "1")
            return
        run = (headers["Attempt-Id"], headers.get("Tenant"), self.request.uri)
        engine.runs.append(run)
        instance = engine.instance
        await asyncio.sleep(engine.response_delay_s())
        self.set_header("Attempt-Id", headers["Attempt-Id"])
        self.set_header("Instance-Seal", f"{engine.instance}.seal")
        if "Authorization" in headers:
            self.set_header("Leaked-Key", "1")
        if "Model" not in headers:
            if self.request.body in engine.deadly_bodies:
                # Another copy may have crashed the engine meanwhile.
                if engine.instance == instance:
                    engine.crash()
                return
            self.write(self.request.body + b" at " + engine.name.encode())
            return
        await self._stream_events(parts)

    get = post

    async def _stream_events(self, parts):
        engine = self._engine
        instance = engine.instance
        self.set_header("Content-Type", "text/event-stream")
        engine.waiting += 1
        await asyncio.sleep(engine.first_event_s)
        engine.waiting -= 1
        if self._is_abandoned:
            return
        first = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        if (
            engine.deadly_parts.intersection(parts)
            or self.request.body in engine.deadly_bodies
        ):
            await self._write_partially(b"id: %d\ndata: t\n\n" % first)
            if engine.instance == instance:
                engine.crash()
            return
        if engine.random.random() < engine.reset_share:
            await self._write_partially(b"id: %d\ndata: t\n\n" % first)
            reset_stream(self.request.connection.stream)
            return
        silence_s = engine.silences.pop() if engine.silences else 0.0
        for number in range(first, engine.events + 1):
            if number == first + 2:
                await asyncio.sleep(silence_s)
            self.write(f"id: {number}\ndata: t\n\n")
            with contextlib.suppress(Exception):
                await self.flush()
            await asyncio.sleep(engine.pause_s)

    async def _write_partially(self, event):
        """Write nothing, the head, or the head and a part of an event."""
        choice = self._engine.random.randrange(3)
        if choice == 0:
            return
        if choice == 2:
            self.write(event[: self._engine.random.randrange(1, len(event) - 2)])
        with contextlib.suppress(StreamClosedError):
            await self.flush()
        await asyncio.sleep(_SEND_S)


class Cloud:
    """Server of the platform's instance list.

    Attributes
    ----------
    engines : list of Engine
        Engines whose entries are in the list.
    other_entries : list of bytes
        Encoded entries before those of the engines.
    """

    def __init__(self, host, port, engines):
        self.address = f"{host}:{port}"
        self.engines = engines
        self.other_entries = []
        self._server = HTTPServer(
            Application([(r"/instances", _ListHandler, {"cloud": self})])
        )
        self._server.add_sockets(bind_sockets(port, host))

    def stop(self):
        self._server.stop()


class _ListHandler(RequestHandler):
    def initialize(self, cloud):
        self._cloud = cloud

    def get(self):
        entries = [
            *self._cloud.other_entries,
            *(json.dumps(e.list_entry()).encode() for e in self._cloud.engines),
        ]
        self.write(b'{"instances":[%s],"next":null}' % b",".join(entries))
