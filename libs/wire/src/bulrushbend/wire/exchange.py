"""HTTP/1.1 exchanges with one peer over a connection of their own.

An answer is passed on while it arrives, so the reader decides nothing before the end:
an answer counts as complete only when its framing says so.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import httptools
from tornado.httputil import HTTPHeaders, HTTPInputError

from bulrushbend.core.errors import (
    ConnectFailed,
    PeerError,
    PeerSilent,
    ProtocolFault,
    TruncatedAnswer,
)
from bulrushbend.core.settings import split_address

# Bounds what a peer can make this process read that never ends a head.
_MAX_HEADER_BYTES = 1 << 16
# Bytes held between the socket and a slow reader; reading stops above it.
_MAX_BUFFERED_BYTES = 1 << 18
# Status codes of answers that have no body (RFC 9110, section 6.4.1).
STATUSES_WITHOUT_BODY = frozenset({204, 304})

ChunkConsumer = Callable[[bytes], None]


@dataclass(frozen=True)
class ExchangeRequest:
    """Request line, headers and body of an exchange."""

    method: str
    path: str
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b""


@dataclass(frozen=True)
class ExchangeTimeouts:
    """Deadlines of an exchange in milliseconds.

    Attributes
    ----------
    connect_ms : float
        For making the connection.
    first_byte_ms : float
        From the request sent to the answer's headers.
    idle_ms : float
        Between two pieces of the body.
    """

    connect_ms: float = 1000.0
    first_byte_ms: float = 60_000.0
    idle_ms: float = 60_000.0


class _ResponseReader(asyncio.Protocol):
    """Reads one answer from a connection.

    Pieces go to the taker as they arrive, or are kept until there is one.
    """

    def __init__(self, peer: str):
        loop = asyncio.get_running_loop()
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self.status = 0
        self.headers = HTTPHeaders()
        # Set when the headers are read, and when the answer has ended.
        self.headers_done: asyncio.Future[None] = loop.create_future()
        self.body_done: asyncio.Future[None] = loop.create_future()
        self.is_head_request = False
        self.last_received_s = loop.time()
        self._loop = loop
        self._parser = httptools.HttpResponseParser(self)
        self._header_bytes = 0
        self._has_headers = False
        self._ends_with_connection = False
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._consumer: ChunkConsumer | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._is_paused = False

    @property
    def is_paused(self) -> bool:
        """Whether reading has stopped until the pieces are taken."""
        return self._is_paused

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.body_done.done():
            return
        self.last_received_s = self._loop.time()
        if not self._has_headers:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            # Raised by a header that is not valid, or by the taker of the pieces.
            cause = error.__context__ or error
            if isinstance(cause, HTTPInputError):
                cause = self._make_error(f"bad header: {cause}", ProtocolFault)
            self.fail(cause)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # No effect after a complete answer: more bytes belong to no request.
            self.fail(
                self._make_error(f"the answer is not HTTP: {error}", ProtocolFault)
            )
        if not self._has_headers and self._header_bytes > _MAX_HEADER_BYTES:
            self.fail(
                self._make_error("the head of the answer has no end", ProtocolFault)
            )

    def connection_lost(self, error: Exception | None) -> None:
        # A connection that was reset does not end a body without a length.
        if self._has_headers and self._ends_with_connection and error is None:
            self._complete()
        step = "before the body was complete"
        if not self._has_headers:
            step = "before the headers"
        self.fail(self._make_error(f"connection ended {step}", TruncatedAnswer))

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._has_headers:
            self.headers.add(name.decode("latin1"), value.decode("latin1"))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if 100 <= status < 200 and status != 101:
            self.headers = HTTPHeaders()
            return
        self.status = status
        self._has_headers = True
        coding = self.headers.get("Transfer-Encoding")
        self._ends_with_connection = (
            coding is None and "Content-Length" not in self.headers
        )
        if coding is not None and coding.lower() != "chunked":
            self.fail(self._make_error(f"unknown coding {coding}", ProtocolFault))
        elif not 200 <= status <= 599:
            self.fail(self._make_error(f"status {status} is not valid", ProtocolFault))
        elif not self.headers_done.done():
            self.headers_done.set_result(None)
        if self.is_head_request or status in STATUSES_WITHOUT_BODY:
            self._complete()

    def on_body(self, chunk: bytes) -> None:
        if self.body_done.done():
            return
        if self._consumer is not None:
            self._consumer(chunk)
            return
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._notify_waiter()
        if self._buffered_bytes > _MAX_BUFFERED_BYTES:
            self.pause()

    def on_message_complete(self) -> None:
        if self._has_headers:
            self._complete()

    def pause(self) -> None:
        """Read no more until `resume`."""
        if not self._is_paused and self.transport is not None:
            self._is_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on; the time of the pause counts as no silence of the peer."""
        if self._is_paused and self.transport is not None:
            self._is_paused = False
            self.last_received_s = self._loop.time()
            self.transport.resume_reading()

    def set_consumer(self, consumer: ChunkConsumer) -> None:
        """Give the kept pieces and all later ones to `taker`."""
        self._consumer = consumer
        while self._chunks:
            consumer(self._chunks.popleft())
        self._buffered_bytes = 0
        self.resume()

    def pop_chunk(self) -> bytes | None:
        """Return the first kept piece, if any."""
        if not self._chunks:
            return None
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        if self._buffered_bytes <= _MAX_BUFFERED_BYTES // 2:
            self.resume()
        return chunk

    def next_chunk_ready(self) -> asyncio.Future[None]:
        """Return a future that is done when a piece is kept or the answer has ended."""
        self._waiter = self._loop.create_future()
        if self._chunks or self.body_done.done():
            self._waiter.set_result(None)
        return self._waiter

    def fail(self, error: BaseException) -> None:
        """End the answer as broken, unless it has ended."""
        for future in (self.headers_done, self.body_done):
            if not future.done():
                future.set_exception(error)
                # Nobody may be left who waits for it.
                future.exception()
        self._notify_waiter()
        self._close()

    def discard(self) -> None:
        """Close the connection and forget the kept pieces."""
        self._chunks.clear()
        self._buffered_bytes = 0
        self._close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _complete(self) -> None:
        if not self.body_done.done():
            self.body_done.set_result(None)
        self._notify_waiter()
        self._close()

    def _notify_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _make_error(self, message: str, kind: type[PeerError]) -> PeerError:
        step = "body" if self._has_headers else "headers"
        return kind(message, step=step, peer=self.peer)


class Exchange:
    """An HTTP exchange in progress; create it with `Exchange.open`."""

    def __init__(self, reader: _ResponseReader, timeouts: ExchangeTimeouts):
        self._reader = reader
        self._timeouts = timeouts
        self._failure: PeerError | None = None

    @property
    def peer(self) -> str:
        """Address of the peer."""
        return self._reader.peer

    @property
    def status(self) -> int:
        """Status code of the answer."""
        return self._reader.status

    @property
    def headers(self) -> HTTPHeaders:
        """Headers of the answer."""
        return self._reader.headers

    @classmethod
    async def open(
        cls, address: str, request: ExchangeRequest, timeouts: ExchangeTimeouts
    ) -> "Exchange":
        """Connect, send `request` and wait for the headers of the answer.

        Parameters
        ----------
        address : str
            ``"host:port"`` of the peer.
        request : ExchangeRequest
            What to send.
        timeouts : ExchangeTimeouts
            Deadlines in milliseconds.

        Raises
        ------
        ConnectFailed
            No connection was made; nothing was sent.
        PeerSilent
            No headers arrived in time.
        TruncatedAnswer
            The connection ended before the headers.
        ProtocolFault
            The answer is not HTTP.
        """
        exchange = await cls.connect(address, timeouts)
        await exchange.send(request)
        return exchange

    @classmethod
    async def connect(cls, address: str, timeouts: ExchangeTimeouts) -> "Exchange":
        """Make the connection only; `send` follows.

        Splitting the two steps lets another task `interrupt` an exchange that waits
        for the headers of its answer.

        Parameters
        ----------
        address : str
            ``"host:port"`` of the peer.
        timeouts : ExchangeTimeouts
            Deadlines in milliseconds.

        Raises
        ------
        ConnectFailed
            No connection was made; nothing was sent.
        """
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeouts.connect_ms / 1000.0):
                _, reader = await loop.create_connection(
                    lambda: _ResponseReader(address), host, port
                )
        except TimeoutError:
            raise ConnectFailed(
                "no connection within the connect timeout", step="connect", peer=address
            ) from None
        except OSError as error:
            reason = error.strerror or str(error) or type(error).__name__
            raise ConnectFailed(reason, step="connect", peer=address) from None
        return cls(reader, timeouts)

    async def send(self, request: ExchangeRequest) -> None:
        """Send `request` and wait for the headers of the answer.

        Parameters
        ----------
        request : ExchangeRequest
            What to send.

        Raises
        ------
        PeerSilent
            No headers arrived in time.
        TruncatedAnswer
            The connection ended before the headers.
        ProtocolFault
            The answer is not HTTP.
        """
        reader = self._reader
        reader.is_head_request = request.method == "HEAD"
        try:
            reader.transport.write(_encode_request(request, self.peer))
            async with asyncio.timeout(self._timeouts.first_byte_ms / 1000.0):
                await asyncio.shield(reader.headers_done)
        except TimeoutError:
            self.close()
            raise PeerSilent(
                "no answer within the first-byte timeout",
                step="headers",
                peer=self.peer,
            ) from None
        except BaseException:
            self.close()
            raise

    def abort(self, error: PeerError) -> None:
        """Close the connection and raise `error` in the task that reads the answer.

        Pieces that arrived but were not read are dropped.

        Parameters
        ----------
        error : PeerError
            Why the exchange is given up.
        """
        self._failure = error
        self._reader.discard()
        self._reader.fail(error)

    async def forward(self, consumer: ChunkConsumer) -> None:
        """Give each piece of the body to `taker` when it arrives.

        Returning means that the body is complete. `taker` is called by the event loop,
        with no task between: a stream costs a fraction of what `chunks` does.

        Raises
        ------
        PeerSilent
            Nothing arrived for `ExchangeTimeouts.idle_ms`.
        TruncatedAnswer
            The connection ended before the body was complete.
        ProtocolFault
            The rest of the answer is not HTTP.
        """
        self._reader.set_consumer(consumer)
        await self._wait_for(self._reader.body_done)

    def pause(self) -> None:
        """Read no more of the answer until `resume`."""
        self._reader.pause()

    def resume(self) -> None:
        """Read on after `pause`."""
        self._reader.resume()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the body; returning means that it is complete.

        Raises
        ------
        PeerSilent
            Nothing arrived for `ExchangeTimeouts.idle_ms`.
        TruncatedAnswer
            The connection ended before the body was complete.
        ProtocolFault
            The rest of the answer is not HTTP.
        """
        reader = self._reader
        while True:
            while (chunk := reader.pop_chunk()) is not None:
                yield chunk
            if reader.body_done.done():
                break
            await self._wait_for(reader.next_chunk_ready())
        if self._failure is not None:
            raise self._failure
        reader.body_done.result()

    async def body(self) -> bytes:
        """Return the whole body; raises the errors of `chunks`."""
        return b"".join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """Close the connection; an unfinished exchange is abandoned."""
        self._reader.discard()

    async def _wait_for(self, future: asyncio.Future[None]) -> None:
        """Wait for `news` as long as the peer goes on sending."""
        loop = asyncio.get_running_loop()
        idle_s = self._timeouts.idle_ms / 1000.0
        while not future.done():
            left_s = self._reader.last_received_s + idle_s - loop.time()
            if self._reader.is_paused:
                left_s = idle_s
            if left_s <= 0.0:
                self.close()
                raise PeerSilent(
                    "no data within the idle timeout", step="body", peer=self.peer
                )
            await asyncio.wait((future,), timeout=left_s)
        future.result()


def _encode_request(request: ExchangeRequest, peer: str) -> bytes:
    """Return the bytes of a request, which asks the peer to close the connection.

    Raises
    ------
    ValueError
        A line contains the end of a line.
    """
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    if "Host" not in request.headers:
        lines.append(f"Host: {peer}")
    lines += [
        f"{name}: {value}"
        for name, value in request.headers.get_all()
        if name not in ("Connection", "Content-Length")
    ]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(request.body)}")
    lines.append("Connection: close")
    head = "\r\n".join(lines)
    if head.count("\n") >= len(lines) or head.count("\r") >= len(lines):
        raise ValueError("a header contains the end of a line")
    return f"{head}\r\n\r\n".encode("latin1") + request.body
