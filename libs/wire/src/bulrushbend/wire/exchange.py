"""One HTTP request and its answer over a connection of its own.

A connection carries a single exchange, so an answer can never reach another request,
and closing the connection abandons exactly one request. Built on Tornado's client
side of `tornado.http1connection`.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import is_valid_ip
from tornado.tcpclient import TCPClient

from bulrushbend.core.errors import (
    ConnectFailed,
    PeerError,
    PeerSilent,
    ProtocolFault,
    TruncatedAnswer,
)
from bulrushbend.core.settings import split_address

_MAX_BODY_BYTES = 1 << 40
_MAX_HEADER_BYTES = 1 << 16
_READ_CHUNK_BYTES = 1 << 16
# Chunks held between the socket and a slow reader; reading stops when it is full.
_BUFFERED_CHUNKS = 16


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


class _Collector(HTTPMessageDelegate):
    """Hands the parts of an answer to the reading task."""

    def __init__(self) -> None:
        self.start: asyncio.Future[tuple[ResponseStartLine, HTTPHeaders]] = (
            asyncio.get_running_loop().create_future()
        )
        self.pieces: asyncio.Queue[bytes | None] = asyncio.Queue(_BUFFERED_CHUNKS)
        self.complete = False
        self.closed = False
        self.ends_with_connection = False

    def headers_received(self, start_line, headers):
        if start_line.code >= 200 and not self.start.done():
            self.start.set_result((start_line, headers))
            self.ends_with_connection = not (
                "Content-Length" in headers or "Transfer-Encoding" in headers
            )

    async def data_received(self, chunk: bytes) -> None:
        try:
            await self.pieces.put(chunk)
        except asyncio.CancelledError:
            # Tornado would log the cancel of a closed exchange as an error of the
            # delegate; without it the read ends at the closed stream.
            if not self.closed:
                raise

    def finish(self) -> None:
        self.complete = True


class Exchange:
    """An HTTP exchange in progress; create it with `Exchange.open`."""

    def __init__(self, stream: IOStream, peer: str, timeouts: ExchangeTimeouts):
        self._stream = stream
        self._peer = peer
        self._timeouts = timeouts
        self._collector = _Collector()
        self._reader: asyncio.Task[None] | None = None
        self._failure: PeerError | None = None
        self._status = 0
        self._headers = HTTPHeaders()

    @property
    def peer(self) -> str:
        """Address of the peer."""
        return self._peer

    @property
    def status(self) -> int:
        """Status code of the answer."""
        return self._status

    @property
    def headers(self) -> HTTPHeaders:
        """Headers of the answer."""
        return self._headers

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
        stream = await _connect(address, timeouts.connect_ms)
        return cls(stream, address, timeouts)

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
        try:
            await self._send(request)
            await self._receive_headers()
        except BaseException:
            self.close()
            raise

    def interrupt(self, error: PeerError) -> None:
        """Close the connection and raise `error` in the task that reads the answer.

        Pieces that arrived but were not read are dropped.

        Parameters
        ----------
        error : PeerError
            Why the exchange is given up.
        """
        self._failure = error
        if not self._collector.start.done():
            self._collector.start.set_exception(error)
            self._collector.start.exception()
        self.close()
        pieces = self._collector.pieces
        while not pieces.empty():
            pieces.get_nowait()
        pieces.put_nowait(None)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the body; returning means that it is complete.

        Raises
        ------
        PeerSilent
            Nothing arrived for `ExchangeTimeouts.idle_ms`.
        TruncatedAnswer
            The connection ended before the body was complete.
        """
        while True:
            try:
                async with asyncio.timeout(self._timeouts.idle_ms / 1000.0):
                    piece = await self._collector.pieces.get()
            except TimeoutError:
                self.close()
                raise PeerSilent(
                    "no data within the idle timeout", step="body", peer=self._peer
                ) from None
            if piece is None:
                break
            yield piece
        if self._failure is not None:
            raise self._failure
        if not self._collector.complete:
            raise TruncatedAnswer(
                "connection ended before the body was complete",
                step="body",
                peer=self._peer,
            )

    async def body(self) -> bytes:
        """Return the whole body; raises the errors of `chunks`."""
        return b"".join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """Close the connection; an unfinished exchange is abandoned."""
        self._collector.closed = True
        if self._reader is not None:
            self._reader.cancel()
        self._stream.close()

    async def _send(self, request: ExchangeRequest) -> None:
        parameters = HTTP1ConnectionParameters(
            no_keep_alive=True,
            chunk_size=_READ_CHUNK_BYTES,
            max_header_size=_MAX_HEADER_BYTES,
            max_body_size=_MAX_BODY_BYTES,
        )
        connection = HTTP1Connection(self._stream, True, parameters)
        self._reader = asyncio.create_task(self._read(connection))
        headers = request.headers.copy()
        if "Host" not in headers:
            headers["Host"] = self._peer
        headers["Connection"] = "close"
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        start_line = RequestStartLine(request.method, request.path, "HTTP/1.1")
        with contextlib.suppress(StreamClosedError):
            # A peer that refuses early may close before the body is sent; its
            # answer, if any, is still read.
            await connection.write_headers(start_line, headers, request.body or None)
        connection.finish()

    async def _read(self, connection: HTTP1Connection) -> None:
        collector = self._collector
        try:
            await connection.read_response(collector)
            if collector.ends_with_connection:
                await self._read_rest()
        except (StreamClosedError, HTTPInputError, OSError):
            pass
        finally:
            if not collector.start.done():
                collector.start.set_exception(
                    TruncatedAnswer(
                        "connection ended before the headers",
                        step="headers",
                        peer=self._peer,
                    )
                )
                collector.start.exception()
        # Nobody may be left to make room after a close.
        if not collector.closed:
            await collector.pieces.put(None)

    async def _read_rest(self) -> None:
        """Read what is left of a body without a length after its connection ended.

        Tornado reports the end of the connection before a piece that arrived with it.
        A connection that was reset does not end a body.
        """
        collector = self._collector
        with contextlib.suppress(StreamClosedError):
            while True:
                await collector.data_received(
                    await self._stream.read_bytes(_READ_CHUNK_BYTES, partial=True)
                )
        if self._stream.error is not None:
            collector.complete = False

    async def _receive_headers(self) -> None:
        try:
            async with asyncio.timeout(self._timeouts.first_byte_ms / 1000.0):
                start_line, headers = await asyncio.shield(self._collector.start)
        except TimeoutError:
            raise PeerSilent(
                "no answer within the first-byte timeout",
                step="headers",
                peer=self._peer,
            ) from None
        if not 200 <= start_line.code <= 599:
            raise ProtocolFault(
                f"status {start_line.code} is not valid",
                step="headers",
                peer=self._peer,
            )
        self._status = start_line.code
        self._headers = headers


async def _connect(address: str, timeout_ms: float) -> IOStream:
    host, port = split_address(address)
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            if not is_valid_ip(host):
                return await TCPClient().connect(host, port)
            # Processes know each other by IP address. Tornado's client would hand
            # it to a resolver thread, which costs 0.2 ms of processor time.
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            stream = IOStream(socket.socket(family))
            try:
                return await stream.connect((host, port))
            except BaseException:
                stream.close()
                raise
    except TimeoutError:
        raise ConnectFailed(
            "no connection within the connect timeout", step="connect", peer=address
        ) from None
    except OSError as error:
        reason = error.strerror or str(error) or type(error).__name__
        raise ConnectFailed(reason, step="connect", peer=address) from None
