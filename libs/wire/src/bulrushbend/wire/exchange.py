"""HTTP/1.1 client that opens one connection for each exchange.

The body of a response is passed on while it arrives. The response counts as complete
only when its framing (length, last chunk or end of the connection) says so.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import httptools
from tornado.httputil import HTTPHeaders, HTTPInputError

from bulrushbend.core.errors import (
    ConnectError,
    PeerError,
    PeerProtocolError,
    PeerTimeoutError,
    TruncatedResponseError,
)
from bulrushbend.core.settings import split_address

# Bounds the memory used for a peer whose header or trailer section never ends. Fields
# take much more memory than their bytes.
_MAX_HEADER_BYTES = 1 << 16
_MAX_HEADERS = 256
# Bytes buffered between the socket and a slow reader; reading pauses above this.
_MAX_BUFFERED_BYTES = 1 << 18
# Memory used for a buffered chunk in addition to its bytes.
_CHUNK_OVERHEAD_BYTES = 64
# Status codes of responses that have no body (RFC 9110, section 6.4.1).
STATUSES_WITHOUT_BODY = frozenset({204, 304})

ChunkConsumer = Callable[[bytes], None]


@dataclass(frozen=True)
class ExchangeRequest:
    """Method, path, headers and body of a request."""

    method: str
    path: str
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b""


@dataclass(frozen=True)
class ExchangeTimeouts:
    """Time-outs of an exchange in milliseconds.

    Attributes
    ----------
    connect_ms : float
        For establishing the connection.
    first_byte_ms : float
        From sending the request to the end of the response's headers.
    idle_ms : float
        Between two chunks of the body.
    """

    connect_ms: float = 1000.0
    first_byte_ms: float = 60_000.0
    idle_ms: float = 60_000.0


class _ExtraResponseError(Exception):
    """The peer has sent another response behind a complete one."""


class _ResponseReader(asyncio.Protocol):
    """Reads one response from a connection.

    Bytes that follow the response belong to no request and are dropped. Chunks of the
    body go to the consumer as they arrive. Without a consumer they are buffered.
    """

    def __init__(self, peer: str):
        loop = asyncio.get_running_loop()
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self.status = 0
        self.headers = HTTPHeaders()
        # Done when the headers are read and when the response has ended, respectively.
        self.headers_done: asyncio.Future[None] = loop.create_future()
        self.body_done: asyncio.Future[None] = loop.create_future()
        self.is_head_request = False
        # Whether only the end of the connection ends the body.
        self.ends_with_connection = False
        self.last_received_s = loop.time()
        self._loop = loop
        self._parser = httptools.HttpResponseParser(self)
        self._header_bytes = 0
        self._header_count = 0
        # Bytes since the last one of the body: chunk sizes, extensions and trailers.
        self._framing_bytes = 0
        self._has_headers = False
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._consumer: ChunkConsumer | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._is_paused = False

    @property
    def was_used(self) -> bool:
        """Whether the peer has sent data or ended the connection."""
        return self._header_bytes > 0 or self.headers_done.done()

    @property
    def is_paused(self) -> bool:
        """Whether reading from the connection is paused."""
        return self._is_paused

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.body_done.done():
            return
        self.last_received_s = self._loop.time()
        if not self._has_headers:
            self._header_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            # Raised by an invalid header, by the consumer of the chunks, or at the
            # start of an extra response, when the failure has no effect any more.
            cause = error.__context__ or error
            if isinstance(cause, HTTPInputError):
                cause = self._make_error(f"bad header: {cause}", PeerProtocolError)
            self.fail(cause)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # No effect after a complete response: further bytes belong to no request.
            self.fail(
                self._make_error(f"the answer is not HTTP: {error}", PeerProtocolError)
            )
        if not self._has_headers and self._header_bytes > _MAX_HEADER_BYTES:
            self.fail(
                self._make_error("the head of the answer has no end", PeerProtocolError)
            )
        elif self._framing_bytes > _MAX_HEADER_BYTES:
            self.fail(
                self._make_error(
                    "the trailer or a chunk size has no end", PeerProtocolError
                )
            )

    def connection_lost(self, error: Exception | None) -> None:
        # A body without a length ends when the peer closes the connection. A reset
        # means that the body was truncated.
        if self._has_headers and self.ends_with_connection and error is None:
            self._complete()
        step = "before the body was complete"
        if not self._has_headers:
            step = "before the headers"
        self.fail(self._make_error(f"connection ended {step}", TruncatedResponseError))

    def on_message_begin(self) -> None:
        if self._has_headers:
            # Stops the parser, which would go on to the end of the received data.
            raise _ExtraResponseError

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._has_headers:
            return
        self._header_count += 1
        if self._header_count > _MAX_HEADERS:
            raise HTTPInputError(f"more than {_MAX_HEADERS} fields")
        self.headers.add(name.decode("latin1"), value.decode("latin1"))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if 100 <= status < 200 and status != 101:
            self.headers = HTTPHeaders()
            return
        self.status = status
        self._has_headers = True
        self._framing_bytes = 0
        coding = self.headers.get("Transfer-Encoding")
        has_body = not (self.is_head_request or status in STATUSES_WITHOUT_BODY)
        self.ends_with_connection = (
            has_body and coding is None and "Content-Length" not in self.headers
        )
        if coding is not None and coding.lower() != "chunked":
            self.fail(self._make_error(f"unknown coding {coding}", PeerProtocolError))
        elif not 200 <= status <= 599:
            self.fail(
                self._make_error(f"status {status} is not valid", PeerProtocolError)
            )
        elif not self.headers_done.done():
            self.headers_done.set_result(None)
        if not has_body:
            self._complete()

    def on_body(self, chunk: bytes) -> None:
        self._framing_bytes = 0
        if self.body_done.done():
            return
        if self._consumer is not None:
            self._consumer(chunk)
            return
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk) + _CHUNK_OVERHEAD_BYTES
        self._notify_waiter()
        if self._buffered_bytes > _MAX_BUFFERED_BYTES:
            self.pause()

    def on_message_complete(self) -> None:
        if self._has_headers:
            self._complete()

    def pause(self) -> None:
        """Pause reading from the connection until `resume`."""
        if not self._is_paused and self.transport is not None:
            self._is_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading; the pause does not count towards the idle time-out."""
        if self._is_paused and self.transport is not None:
            self._is_paused = False
            self.last_received_s = self._loop.time()
            self.transport.resume_reading()

    def set_consumer(self, consumer: ChunkConsumer) -> None:
        """Pass the buffered chunks and all later ones to `consumer`."""
        self._consumer = consumer
        while self._chunks:
            consumer(self._chunks.popleft())
        self._buffered_bytes = 0
        self.resume()

    def pop_chunk(self) -> bytes | None:
        """Remove and return the first buffered chunk, None if there is none."""
        if not self._chunks:
            return None
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk) + _CHUNK_OVERHEAD_BYTES
        if self._buffered_bytes <= _MAX_BUFFERED_BYTES // 2:
            self.resume()
        return chunk

    def next_chunk_ready(self) -> asyncio.Future[None]:
        """Return a future that is done when a chunk is buffered or the body ended."""
        self._waiter = self._loop.create_future()
        if self._chunks or self.body_done.done():
            self._waiter.set_result(None)
        return self._waiter

    def fail(self, error: BaseException) -> None:
        """Fail the response with `error`, unless it has ended."""
        for future in (self.headers_done, self.body_done):
            if not future.done():
                future.set_exception(error)
                # Marks the exception as retrieved: there may be no task that awaits it.
                future.exception()
        self._notify_waiter()
        self._close()

    def discard(self) -> None:
        """Close the connection and drop the buffered chunks."""
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
    """HTTP exchange, created by `Exchange.open` or `Exchange.connect`."""

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
        """Status code of the response."""
        return self._reader.status

    @property
    def headers(self) -> HTTPHeaders:
        """Headers of the response."""
        return self._reader.headers

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither length nor chunks."""
        return self._reader.ends_with_connection

    @property
    def is_paused(self) -> bool:
        """Whether reading the response is paused."""
        return self._reader.is_paused

    @classmethod
    async def open(
        cls, address: str, request: ExchangeRequest, timeouts: ExchangeTimeouts
    ) -> "Exchange":
        """Connect, send `request` and wait for the headers of the response.

        Parameters
        ----------
        address : str
            ``"host:port"`` of the peer.
        request : ExchangeRequest
            Request to send.
        timeouts : ExchangeTimeouts
            Time-outs in milliseconds.

        Raises
        ------
        ConnectError
            No connection was established, or the peer used it first, so nothing was
            sent.
        PeerTimeoutError
            The headers did not arrive within `ExchangeTimeouts.first_byte_ms`.
        TruncatedResponseError
            The connection ended before the headers were complete.
        PeerProtocolError
            The response is not valid HTTP.
        """
        exchange = await cls.connect(address, timeouts)
        await exchange.send(request)
        return exchange

    @classmethod
    async def connect(cls, address: str, timeouts: ExchangeTimeouts) -> "Exchange":
        """Establish the connection without sending a request.

        With `connect` and `send` as separate steps, another task can `abort` an
        exchange that waits for the headers of its response.

        Parameters
        ----------
        address : str
            ``"host:port"`` of the peer.
        timeouts : ExchangeTimeouts
            Time-outs in milliseconds.

        Raises
        ------
        ConnectError
            No connection was established, so nothing was sent.
        """
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(timeouts.connect_ms / 1000.0):
                _, reader = await loop.create_connection(
                    lambda: _ResponseReader(address), host, port
                )
        except TimeoutError:
            raise ConnectError(
                "no connection within the connect timeout", step="connect", peer=address
            ) from None
        except OSError as error:
            reason = error.strerror or str(error) or type(error).__name__
            raise ConnectError(reason, step="connect", peer=address) from None
        except ValueError as error:
            # The address, or its host when it is encoded for the name resolution.
            reason = f"invalid address: {error}"
            raise ConnectError(reason, step="connect", peer=address) from None
        return cls(reader, timeouts)

    async def send(self, request: ExchangeRequest) -> None:
        """Send `request` and wait for the headers of the response.

        Parameters
        ----------
        request : ExchangeRequest
            Request to send.

        Raises
        ------
        ConnectError
            The peer sent data or ended the connection before the request was sent, so
            nothing was sent.
        PeerTimeoutError
            The headers did not arrive within `ExchangeTimeouts.first_byte_ms`.
        TruncatedResponseError
            The connection ended before the headers were complete.
        PeerProtocolError
            The response is not valid HTTP.
        """
        reader = self._reader
        if reader.was_used:
            self.close()
            raise ConnectError(
                "the peer used the connection before the request was sent",
                step="connect",
                peer=self.peer,
            )
        reader.is_head_request = request.method == "HEAD"
        try:
            reader.transport.write(_encode_request(request, self.peer))
            async with asyncio.timeout(self._timeouts.first_byte_ms / 1000.0):
                await asyncio.shield(reader.headers_done)
        except TimeoutError:
            self.close()
            raise PeerTimeoutError(
                "no answer within the first-byte timeout",
                step="headers",
                peer=self.peer,
            ) from None
        except BaseException:
            self.close()
            raise

    def abort(self, error: PeerError) -> None:
        """Close the connection and raise `error` in the task that reads the response.

        Buffered chunks are dropped.

        Parameters
        ----------
        error : PeerError
            Reason why the exchange is aborted.
        """
        self._failure = error
        self._reader.discard()
        self._reader.fail(error)

    async def forward(self, consumer: ChunkConsumer) -> None:
        """Pass each chunk of the body to `consumer` and return when it is complete.

        The event loop calls `consumer` directly when data arrives. Without a task
        switch for each chunk, a stream costs a fraction of what it costs with `chunks`.

        Raises
        ------
        PeerTimeoutError
            No data arrived for `ExchangeTimeouts.idle_ms`.
        TruncatedResponseError
            The connection ended before the body was complete.
        PeerProtocolError
            The rest of the response is not valid HTTP.
        """
        if self._failure is not None:
            # The chunks were dropped, even if the response is complete.
            raise self._failure
        self._reader.set_consumer(consumer)
        await self._wait_for(self._reader.body_done)

    def pause(self) -> None:
        """Pause reading the response until `resume`."""
        self._reader.pause()

    def resume(self) -> None:
        """Resume reading the response after `pause`."""
        self._reader.resume()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body; the iteration ends when it is complete.

        Raises
        ------
        PeerTimeoutError
            No data arrived for `ExchangeTimeouts.idle_ms`.
        TruncatedResponseError
            The connection ended before the body was complete.
        PeerProtocolError
            The rest of the response is not valid HTTP.
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

    async def body(self, max_bytes: int | None = None) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        max_bytes : int, optional
            Maximum size, for a peer whose body may never end.

        Raises
        ------
        PeerProtocolError
            The body is longer than `max_bytes`, or the rest of the response is not
            valid HTTP. The other errors are those of `chunks`.
        """
        content = bytearray()
        async for chunk in self.chunks():
            content += chunk
            if max_bytes is not None and len(content) > max_bytes:
                self.close()
                raise PeerProtocolError(
                    f"the body is longer than {max_bytes} bytes",
                    step="body",
                    peer=self.peer,
                )
        return bytes(content)

    def close(self) -> None:
        """Close the connection, also if the response is not complete."""
        self._reader.discard()

    async def _wait_for(self, future: asyncio.Future[None]) -> None:
        """Wait for `future`, at most `ExchangeTimeouts.idle_ms` after the last data."""
        loop = asyncio.get_running_loop()
        idle_s = self._timeouts.idle_ms / 1000.0
        while not future.done():
            left_s = self._reader.last_received_s + idle_s - loop.time()
            if self._reader.is_paused:
                left_s = idle_s
            if left_s <= 0.0:
                self.close()
                raise PeerTimeoutError(
                    "no data within the idle timeout", step="body", peer=self.peer
                )
            await asyncio.wait((future,), timeout=left_s)
        future.result()


def _encode_request(request: ExchangeRequest, peer: str) -> bytes:
    """Return the encoded request, which asks the peer to close the connection.

    Raises
    ------
    ValueError
        The request line or a header contains a line break.
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
