"""HTTP server for callers.

A small gateway spends most of its processor time here and on forwarding events.
Therefore requests are parsed by a parser written in C, and responses are written
directly to the connection: there is one task for each request, but no task switch for
a chunk of a response.
"""

import asyncio
import socket
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import httptools
from tornado.httputil import HTTPHeaders, HTTPInputError, RequestStartLine

from bulrushbend.core.logs import get_logger
from bulrushbend.gateway.call import RequestError
from bulrushbend.gateway.sink import ConnectionSink
from bulrushbend.process.listening import accept_pending
from bulrushbend.wire.buffer_budget import BufferBudget

_log = get_logger("gateway.server")
_BODY_TOO_LARGE = RequestError(413, "body-too-large", "the body is too large")
_HEADERS_TOO_LARGE = RequestError(431, "headers-too-large", "the headers are too large")
_BAD_REQUEST = RequestError(400, "bad-request", "the request is not HTTP/1.1")
_BUSY = RequestError(
    503,
    "requests-too-large",
    "the requests in progress are too large together; the request was not sent",
    retry_after_ms=1_000.0,
)
_BAD_CODING = RequestError(400, "bad-coding", "the transfer coding is not known")
# The request may have run.
INTERNAL_ERROR = RequestError(502, "internal-error", "an error of the gateway")
_VERSIONS = ("1.0", "1.1")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Time allowed for the headers of a request, in addition to the idle time.
_HEADER_TIMEOUT_MS = 3_000.0
# Time allowed between two chunks of a request body.
_BODY_TIMEOUT_MS = 30_000.0
# Delay before closing the connection of a request that was rejected before it was read.
# Closing at once would reset the connection, and the caller could lose the response.
_LINGER_MS = 1_000.0
# Connections that may wait to be accepted; a busy gateway accepts them late.
_LISTEN_BACKLOG = 256
# Pipelined requests of a connection above which reading from it pauses.
_MAX_PIPELINED_REQUESTS = 4
# Unsent bytes of a response above which reading from the endpoint pauses.
_MAX_UNSENT_BYTES = 1 << 16
# Unsent bytes of all responses above which the slowest caller is disconnected.
_MAX_TOTAL_UNSENT_BYTES = 1 << 25
# Requests that are read, wait or run, in all: an endpoint that reads slowly doubles it.
_MAX_TOTAL_REQUEST_BYTES = 1 << 25
# Memory used for a request in addition to its body and its fields.
_REQUEST_OVERHEAD_BYTES = 2_048
# Fields take much more memory than their bytes.
_MAX_HEADERS = 256
# Bytes that are parsed before the number of pipelined requests is checked.
_MAX_PARSED_BYTES = 2_048


class CallerRequestHandler(Protocol):
    """Handles the requests that the HTTP server has read."""

    @property
    def header_bytes(self) -> int:
        """Maximum size of a request's headers."""
        ...

    @property
    def body_bytes(self) -> int:
        """Maximum size of a request's body."""
        ...

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after the response in progress."""
        ...

    async def handle_request(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        sink: ConnectionSink,
    ) -> None:
        """Handle a request and write exactly one response to `sink`."""
        ...

    def error_response(
        self, headers: HTTPHeaders, error: RequestError
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Return status, headers and body of the response for `error`."""
        ...


class CallerServer:
    """HTTP server that runs a task of the handler for each request.

    Parameters
    ----------
    handler : CallerRequestHandler
        Handles the requests.
    idle_ms : float
        Time for which a connection may be idle, until `set_idle_ms` changes it.
    connection_limit : callable
        Returns the number of open connections above which idle ones are closed.
    """

    def __init__(
        self,
        handler: CallerRequestHandler,
        idle_ms: float,
        connection_limit: Callable[[], int],
    ):
        self._handler = handler
        self._idle_ms = idle_ms
        self._connection_limit = connection_limit
        self._connections: set[_Connection] = set()
        # Idle connections, the longest idle first.
        self._idle: OrderedDict[_Connection, None] = OrderedDict()
        self._keeps_idle = True
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._accepting: set[asyncio.Task[object]] = set()
        self._requests = BufferBudget(_MAX_TOTAL_REQUEST_BYTES)

    @property
    def has_unfinished_work(self) -> bool:
        """Whether a request is being read or handled, or a response is being sent."""
        return bool(self._accepting) or any(
            connection.is_busy for connection in self._connections
        )

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def handler(self) -> CallerRequestHandler:
        """Handler of the requests."""
        return self._handler

    @property
    def idle_ms(self) -> float:
        """Time for which a connection may be idle."""
        return self._idle_ms

    def set_idle_ms(self, idle_ms: float) -> None:
        """Set the time for which connections may be idle."""
        self._idle_ms = idle_ms

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at an address.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._listener = socket.create_server((host, port), backlog=_LISTEN_BACKLOG)
        self._listener.setblocking(False)
        self._server = await loop.create_server(
            self._create_connection, sock=self._listener, backlog=_LISTEN_BACKLOG
        )

    def stop(self) -> None:
        """Stop accepting connections after those in the listen backlog."""
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        for connection, _ in accept_pending(self._listener):
            opening = loop.connect_accepted_socket(self._create_connection, connection)
            task = loop.create_task(opening)
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
        self._server.close()
        self._server = self._listener = None

    def _create_connection(self) -> "_Connection":
        return _Connection(self)

    def close_idle_connections(self) -> None:
        """Close connections that wait for a request, and others when they do.

        A request that was read is still answered.
        """
        self._keeps_idle = False
        for connection in list(self._idle):
            connection.close()

    def close_connections(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.close()

    def add_connection(self, connection: "_Connection") -> None:
        """Register a connection and close idle ones above the limit."""
        self._connections.add(connection)
        limit = self._connection_limit()
        while len(self._connections) > limit and self._idle:
            longest_idle = next(iter(self._idle))
            self.remove_connection(longest_idle)
            longest_idle.close()

    def reserve_request(self, size: int) -> bool:
        """Reserve memory for a part of a request; return whether there is some.

        The largest request that is being read may be rejected for it.
        """
        while not self._requests.reserve(size):
            largest = max(self._connections, key=lambda c: c.unread_bytes)
            unread_bytes = largest.unread_bytes
            if not unread_bytes:
                return False
            largest.reject_for_memory()
            if largest.unread_bytes == unread_bytes:
                return False
        return True

    def release_request(self, size: int) -> None:
        """Release the memory that was reserved for a request."""
        self._requests.release(size)

    def bound_unsent(self) -> None:
        """Disconnect the slowest callers if unsent responses take too much memory."""
        unsent = {c: c.unsent_bytes for c in self._connections}
        total = sum(unsent.values())
        while total > _MAX_TOTAL_UNSENT_BYTES:
            slowest = max(unsent, key=unsent.__getitem__)
            total -= unsent.pop(slowest)
            _log.warning(
                "unsent responses take more than %d bytes; disconnecting the caller "
                "that reads slowest",
                _MAX_TOTAL_UNSENT_BYTES,
            )
            slowest.abort()

    def remove_connection(self, connection: "_Connection") -> None:
        """Unregister a connection."""
        self._connections.discard(connection)
        self._idle.pop(connection, None)

    def set_idle(self, connection: "_Connection", is_idle: bool) -> None:
        """Set whether a connection waits for its next request."""
        if is_idle and not self._keeps_idle:
            connection.close()
        elif is_idle:
            self._idle[connection] = None
        else:
            self._idle.pop(connection, None)


@dataclass
class _Request:
    start_line: RequestStartLine
    headers: HTTPHeaders
    keep_alive: bool
    supports_chunked: bool
    expects_continue: bool
    body: bytes = b""
    reserved_bytes: int = 0


class _Connection(asyncio.Protocol):
    """Reads the requests of one connection and handles them in sequence."""

    def __init__(self, server: CallerServer):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""
        self._headers = HTTPHeaders()
        self._header_count = 0
        # Bytes of the head, or of chunk sizes and trailers since the last chunk.
        self._framing_bytes = 0
        self._request: _Request | None = None
        self._body = bytearray()
        # Whether the parser reads a head that stands for one it has read before.
        self._is_head_repeated = False
        # Whether what follows the request that is being read is dropped.
        self._is_last_request = False
        # Received bytes that are parsed when fewer requests wait.
        self._unparsed = b""
        self._is_reading = False
        self._pipelined: deque[_Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._sink: ConnectionSink | None = None
        # Error to send after the responses to earlier requests; nothing is read after
        # it occurred.
        self._pending_error: RequestError | None = None
        self._is_discarding = False
        self._is_paused = False
        self._last_activity_s = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def _handler(self) -> CallerRequestHandler:
        return self._server.handler

    @property
    def is_busy(self) -> bool:
        """Whether a request or a response on this connection is unfinished."""
        return (
            self._is_reading
            or self._task is not None
            or (
                self._transport is not None
                and self._transport.get_write_buffer_size() > 0
            )
        )

    @property
    def unread_bytes(self) -> int:
        """Memory reserved for the request that is being read."""
        return 0 if self._request is None else self._request.reserved_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the caller has not read."""
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=_MAX_UNSENT_BYTES)
        self._server.add_connection(self)
        self._server.set_idle(self, True)
        self._check_timeout()

    def connection_lost(self, error: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._server.remove_connection(self)
        for request in self._pipelined:
            self._release(request)
        self._pipelined.clear()
        self._unparsed = b""
        self._drop_request()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        if self._sink is not None:
            self._sink.set_buffer_full(True)
        self._server.bound_unsent()

    def resume_writing(self) -> None:
        if self._sink is not None:
            self._sink.set_buffer_full(False)

    def data_received(self, data: bytes) -> None:
        for start in range(0, len(data), _MAX_PARSED_BYTES):
            if self._is_discarding or self._pending_error is not None:
                return
            if self._is_paused:
                self._unparsed += data[start:]
                return
            self._parse(data[start : start + _MAX_PARSED_BYTES])

    def _parse(self, data: bytes) -> None:
        if not self._is_reading:
            self._start_reading()
        # Bounds the memory used for heads and trailers that never end. The exact size
        # of a head is checked when it is complete.
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, HTTPInputError):
                raise
            self._reject(_BAD_REQUEST)
        except httptools.HttpParserUpgrade as upgrade:
            self._decline_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserError:
            if not self._is_discarding:
                self._reject(_BAD_REQUEST)
        if self._framing_bytes > 2 * self._handler.header_bytes:
            self._reject(_HEADERS_TOO_LARGE)
        if len(self._pipelined) >= _MAX_PIPELINED_REQUESTS and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def _decline_upgrade(self, data: bytes) -> None:
        """Read the body of a request that offers another protocol.

        The parser takes all bytes after the head for that protocol. An offer that is
        not accepted does not change the body. What follows is not parsed, and the
        connection is closed after the response.
        """
        if self._request is None:
            self._is_discarding = True
            return
        self._parser = httptools.HttpRequestParser(self)
        self._is_head_repeated = True
        self._parser.feed_data(_encode_framing(self._request.headers))
        self._is_head_repeated = False
        self._is_last_request = True
        if data:
            self._parse(data)

    def on_message_begin(self) -> None:
        if self._is_head_repeated:
            return
        self._url = b""
        self._headers = HTTPHeaders()
        self._header_count = 0
        self._request = None
        self._body.clear()
        self._start_reading()

    def on_url(self, url: bytes) -> None:
        if not self._is_head_repeated:
            self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._request is not None:
            return
        self._header_count += 1
        if self._header_count <= _MAX_HEADERS:
            self._headers.add(name.decode("latin1"), value.decode("latin1"))

    def on_headers_complete(self) -> None:
        if self._is_head_repeated or self._pending_error is not None:
            return
        headers = self._headers
        method = self._parser.get_method().decode("latin1")
        version = self._parser.get_http_version()
        self._framing_bytes = 0
        self._request = _Request(
            RequestStartLine(method, self._url.decode("latin1"), f"HTTP/{version}"),
            headers,
            keep_alive=version == "1.1" and self._parser.should_keep_alive(),
            supports_chunked=version == "1.1",
            expects_continue=headers.get("Expect", "").lower() == "100-continue",
        )
        size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        length = headers.get("Content-Length", "")
        coding = headers.get("Transfer-Encoding")
        if version not in _VERSIONS:
            self._reject(_BAD_REQUEST)
        elif size > self._handler.header_bytes or self._header_count > _MAX_HEADERS:
            self._reject(_HEADERS_TOO_LARGE)
        elif length.isdigit() and int(length) > self._handler.body_bytes:
            self._reject(_BODY_TOO_LARGE)
        elif coding is not None and coding.lower() != "chunked":
            self._reject(_BAD_CODING)
        elif self._reserve(size + _REQUEST_OVERHEAD_BYTES) and self._task is None:
            self._confirm_continue()

    def on_body(self, chunk: bytes) -> None:
        if self._pending_error is not None:
            return
        self._last_activity_s = self._loop.time()
        self._framing_bytes = 0
        if len(self._body) + len(chunk) > self._handler.body_bytes:
            self._reject(_BODY_TOO_LARGE)
        elif self._reserve(len(chunk)):
            self._body += chunk

    def on_message_complete(self) -> None:
        if self._pending_error is not None:
            return
        if self._parser.should_upgrade() and _has_body(self._request.headers):
            # The parser has skipped the body.
            return
        self._is_discarding = self._is_last_request
        request = self._request
        request.body = bytes(self._body)
        self._body = bytearray()
        self._request = None
        self._is_reading = False
        self._pipelined.append(request)
        if self._task is None:
            self._handle_next()

    def close(self) -> None:
        """Close the connection and end its request in progress."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection and end its request in progress."""
        self._transport.abort()

    def reject_for_memory(self) -> None:
        """Reject the request that is being read, as all take too much memory."""
        self._reject(_BUSY)

    def _reserve(self, size: int) -> bool:
        """Reserve memory for the request that is being read, or reject it."""
        if self._server.reserve_request(size):
            # It may have been rejected to make room for itself.
            if self._request is not None:
                self._request.reserved_bytes += size
                return True
            self._server.release_request(size)
        self._reject(_BUSY)
        return False

    def _release(self, request: _Request) -> None:
        self._server.release_request(request.reserved_bytes)
        request.reserved_bytes = 0

    def _drop_request(self) -> None:
        """Drop the request that is being read."""
        if self._request is not None:
            self._release(self._request)
            self._request = None
        self._body = bytearray()

    def _start_reading(self) -> None:
        if not self._is_reading:
            self._is_reading = True
            self._last_activity_s = self._loop.time()
            self._server.set_idle(self, False)

    def _handle_next(self) -> None:
        """Handle the next complete request, or wait for one."""
        self._task = None
        if self._transport.is_closing():
            return
        if self._pipelined:
            request = self._pipelined.popleft()
            self._task = self._loop.create_task(self._handle(request))
            # A task that is cancelled before it starts runs no code of its own.
            self._task.add_done_callback(lambda _: self._release(request))
            if self._is_paused and len(self._pipelined) < _MAX_PIPELINED_REQUESTS:
                self._is_paused = False
                self._transport.resume_reading()
                unparsed, self._unparsed = self._unparsed, b""
                self.data_received(unparsed)
        elif self._pending_error is not None:
            self._send_pending_error()
        elif self._request is not None:
            self._confirm_continue()
        elif not self._is_reading:
            self._last_activity_s = self._loop.time()
            self._server.set_idle(self, True)

    def _confirm_continue(self) -> None:
        """Ask for the body if the caller waits for that before it sends any."""
        if self._request.expects_continue:
            self._request.expects_continue = False
            self._last_activity_s = self._loop.time()
            self._transport.write(_CONTINUE)

    async def _handle(self, request: _Request) -> None:
        sink = ConnectionSink(
            self._transport,
            request.start_line.method,
            request.supports_chunked,
            not request.keep_alive,
            self._should_close,
        )
        self._sink = sink
        try:
            await self._handler.handle_request(
                request.start_line, request.headers, request.body, sink
            )
        except asyncio.CancelledError as error:
            if self._task.cancelling():
                raise
            # Something that the request waited for was cancelled.
            self._end_failed_response(request, sink, error)
        except Exception as error:
            self._end_failed_response(request, sink, error)
        self._sink = None
        self._handle_next()

    def _end_failed_response(
        self, request: _Request, sink: ConnectionSink, error: BaseException
    ) -> None:
        """Send an error, or end a response that has begun as incomplete."""
        _log.error(
            "%s request failed with unexpected error: %r; answering with status %d "
            "unless its response has begun",
            request.start_line.method,
            error,
            INTERNAL_ERROR.status,
        )
        if sink.is_finished:
            return
        if sink.started:
            sink.abort_response()
            return
        status, headers, body = self._handler.error_response(
            request.headers, INTERNAL_ERROR
        )
        sink.start(status, headers)
        sink.write(body)
        sink.finish()

    def _should_close(self, is_requested: bool) -> bool:
        """Return whether to close the connection after the response that starts now."""
        is_last = is_requested or self._is_discarding or self._handler.is_draining
        has_more = self._pipelined or self._unparsed
        return is_last and not has_more and self._pending_error is None

    def _reject(self, error: RequestError) -> None:
        """Reject the request being read, after the responses to earlier requests."""
        if self._pending_error is None:
            self._pending_error = error
            self._drop_request()
            if self._task is None:
                self._send_pending_error()

    def _send_pending_error(self) -> None:
        status, headers, body = self._handler.error_response(
            self._headers, self._pending_error
        )
        headers["Connection"] = "close"
        sink = ConnectionSink(self._transport)
        sink.start(status, headers)
        sink.write(body)
        sink.finish()
        if self._transport.can_write_eof() and not self._transport.is_closing():
            self._transport.write_eof()
        self._is_discarding = True
        self._loop.call_later(_LINGER_MS / 1000.0, self._transport.close)

    def _check_timeout(self) -> None:
        """Close the connection if its caller has sent nothing for too long."""
        limit_ms = self._server.idle_ms + _HEADER_TIMEOUT_MS
        if self._request is not None:
            limit_ms = _BODY_TIMEOUT_MS
        left_s = self._last_activity_s + limit_ms / 1000.0 - self._loop.time()
        if self._task is not None:
            left_s = limit_ms / 1000.0
        elif left_s <= 0.0:
            self._transport.close()
            return
        self._timer = self._loop.call_later(left_s, self._check_timeout)


def _has_body(headers: HTTPHeaders) -> bool:
    return "Transfer-Encoding" in headers or headers.get("Content-Length", "0") != "0"


def _encode_framing(headers: HTTPHeaders) -> bytes:
    """Return a head after which a parser reads the body of a request, and no more."""
    framing = "Transfer-Encoding: chunked"
    if "Transfer-Encoding" not in headers:
        framing = f"Content-Length: {headers['Content-Length']}"
    head = f"POST / HTTP/1.1\r\nConnection: close\r\n{framing}\r\n\r\n"
    return head.encode("latin1")
