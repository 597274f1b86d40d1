"""Engines and callers of event streams that use little processor time.

A test that measures a gateway must not be limited by its own peers, so both implement
HTTP directly on asyncio protocols.
"""

import asyncio
from dataclasses import dataclass, field

HEADER_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def parse_headers(head: bytes) -> dict[bytes, bytes]:
    """Return the headers of a request or an answer by lower-case name."""
    lines = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in lines}


@dataclass
class StreamPlan:
    """Number, size and pacing of the events that an engine sends per request."""

    events: int = 49
    pause_s: float = 0.03
    event_bytes: int = 60


class StreamEngine(asyncio.Protocol):
    """Persistent server connection of an engine that streams events."""

    def __init__(self, plan: StreamPlan):
        self._plan = plan
        self._buffer = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport):
        self._transport = transport

    def connection_lost(self, error):
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data):
        self._buffer += data
        head, end, rest = self._buffer.partition(HEADER_END)
        if not end:
            return
        headers = parse_headers(head)
        if len(rest) < int(headers.get(b"content-length", b"0")):
            return
        self._buffer = b""
        self._closes = headers.get(b"connection", b"").lower() == b"close"
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Instance-Seal: s.1\r\nTransfer-Encoding: chunked\r\n"
            b"Attempt-Id: " + headers[b"attempt-id"] + HEADER_END
        )
        self._schedule(1)

    def _schedule(self, number):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._plan.pause_s, self._send, number)

    def _send(self, number):
        event = b"id: %d\ndata: %s\n\n" % (number, b"x" * self._plan.event_bytes)
        self._transport.write(b"%x\r\n%s\r\n" % (len(event), event))
        if number < self._plan.events:
            self._schedule(number + 1)
            return
        self._transport.write(LAST_CHUNK)
        if self._closes:
            self._transport.close()


class StreamCaller(asyncio.Protocol):
    """Client connection for one request."""

    def __init__(self, request: bytes):
        self._request = request
        self._buffer = b""
        self.answer = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        transport.write(self._request)

    def data_received(self, data):
        self._buffer += data
        if not self.answer.done() and self._is_complete():
            self.answer.set_result(self._buffer)

    def connection_lost(self, error):
        if not self.answer.done():
            self.answer.set_exception(
                ConnectionResetError(
                    f"connection closed after {len(self._buffer)} bytes of an"
                    " incomplete answer"
                )
            )

    def _is_complete(self) -> bool:
        if self._buffer.endswith(LAST_CHUNK):
            return True
        head, end, body = self._buffer.partition(HEADER_END)
        length = parse_headers(head).get(b"content-length")
        return bool(end) and length is not None and len(body) >= int(length)


@dataclass
class Load:
    """Requests of one team to one gateway, each on a connection of its own.

    Attributes
    ----------
    host : str
        Address of the gateway.
    key : str
        Key of the team.
    rate_per_s : float
        Requests per second.
    tokens : int
        Size of each prompt in tokens.
    served, refused, failed : int
        Numbers of requests by outcome.
    """

    host: str
    key: str
    rate_per_s: float
    port: int = 8783
    path: str = "/r-1/x"
    tokens: int = 300
    deadline_ms: int = 15_000
    served: int = 0
    refused: int = 0
    failed: int = 0
    keeps_connections: bool = False
    _transports: list[asyncio.Transport] = field(default_factory=list, repr=False)

    async def send_requests(self, duration_s: float) -> None:
        """Send requests at a constant rate and wait until all have ended."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        count = int(duration_s * self.rate_per_s)
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(self._call(number))
                due = began + (number + 1) / self.rate_per_s
                await asyncio.sleep(max(0.0, due - loop.time()))

    def close(self) -> None:
        """Close the connections that were kept open."""
        for transport in self._transports:
            transport.close()
        self._transports.clear()

    async def _call(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.deadline_ms / 1000.0):
                transport, caller = await loop.create_connection(
                    lambda: StreamCaller(self._request(number)), self.host, self.port
                )
                self._transports.append(transport)
                answer = await caller.answer
        except (OSError, TimeoutError):
            self.failed += 1
            return
        status = answer[9:12]
        self.served += status == b"200"
        self.refused += status == b"503"
        self.failed += status not in (b"200", b"503")
        if not self.keeps_connections:
            transport.close()

    def _request(self, number: int) -> bytes:
        body = b"y" * 830
        lines = [
            f"POST {self.path}{number} HTTP/1.1",
            "Host: a.example",
            f"Attempt-Id: {self.key}-{number}",
            "Model: m",
            f"Token-Usage: {self.tokens},294",
            f"Prefix-Hash: 5c{number % 16:x}:119,91{number % 993:x}:79,e{number:x}:102",
            f"Deadline-Ms: {self.deadline_ms}",
            f"Authorization: Token {self.key}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join(lines).encode() + HEADER_END + body
