"""HTTP interface for callers."""

import asyncio
import contextlib
import socket
import struct
from typing import Protocol

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import BulrushbendError
from bulrushbend.core.identity import new_id
from bulrushbend.core.manifest import Manifest
from bulrushbend.router import metrics
from bulrushbend.router.errors import RequestEndedError, refused
from bulrushbend.router.queue import Reservation
from bulrushbend.router.request import CallerRequest
from bulrushbend.router.sinks import AnswerSink
from bulrushbend.router.validation import (
    RequestHead,
    body_too_large,
    build_request,
    validate_headers,
)
from bulrushbend.wire.names import HEADER_OUTCOME, HEADER_REQUEST, Outcome

# Closing a connection with unread data resets it, and the caller may then lose the
# answer. The body of a refused request is therefore read up to this size.
_MAX_DISCARDED_BYTES = 65_536
# A caller that reads no data for this long counts as disconnected.
_CALLER_WRITE_TIMEOUT_S = 60.0
# struct linger with l_onoff=1 and l_linger=0: close() resets the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)


class RouterInterface(Protocol):
    """Interface of the router that the HTTP handlers call."""

    @property
    def clock(self) -> Clock:
        """Source of time."""
        ...

    @property
    def header_bytes(self) -> int:
        """Largest size of a request's headers."""
        ...

    def require_manifest(self) -> Manifest:
        """Return the manifest in force.

        Raises `RequestEndedError` if there is none or the router drains.
        """
        ...

    def reserve(self, team: str) -> Reservation:
        """Reserve room in the queues, or raise `RequestEndedError` if they are full."""
        ...

    async def serve(
        self, request: CallerRequest, reservation: Reservation, sink: AnswerSink
    ) -> None:
        """Run `request` and forward its answer to `sink`.

        Raises `RequestEndedError` without a complete answer of an endpoint.
        """
        ...

    def track(self) -> contextlib.AbstractContextManager[None]:
        """Count a request as in progress, which delays the end of a drain."""
        ...

    def abandon(self, request: CallerRequest) -> bool:
        """Withdraw a waiting request whose caller disconnected; False if it runs."""
        ...

    def record_end(
        self,
        request_id: str,
        head: RequestHead | None,
        request: CallerRequest | None,
        error: RequestEndedError | None,
    ) -> None:
        """Record the end of a request in the metrics and the event log."""
        ...


class HttpAnswerSink:
    """Writes an answer to the caller's connection.

    Once the caller has disconnected, the rest of the answer is discarded.

    Parameters
    ----------
    handler : RequestHandler
        Handler of the caller's request.
    request_id : str
        Request identifier, sent as a header of the answer.
    """

    def __init__(self, handler: RequestHandler, request_id: str):
        self._handler = handler
        self._request_id = request_id
        self._status = 200
        self._headers = HTTPHeaders()
        self._started = False
        self._disconnected = False
        self._last_bytes = b""

    @property
    def started(self) -> bool:
        """Whether any bytes of the answer have been sent to the caller."""
        return self._started

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Set the status and the headers; they are sent with the first chunk."""
        self._status = status
        self._headers = headers

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body and wait until it is flushed."""
        if self._disconnected:
            return
        self._send_head()
        self._handler.write(chunk)
        self._last_bytes = (self._last_bytes + chunk[-4:])[-4:]
        await self._flush()

    async def finish(self) -> None:
        """Complete the answer."""
        if self._disconnected:
            return
        self._send_head()
        await self._wait_sent(self._handler.finish())

    async def abort(self, error: BulrushbendError) -> None:
        """Close the connection without the terminating chunk.

        An event stream first gets an ``error`` event, because many clients treat the
        end of the connection as the end of the stream.
        """
        metrics.TRUNCATED.inc()
        if not self._disconnected and self._is_event_stream:
            message = error.message.replace("\n", " ")
            separator = self._error_separator()
            self._handler.write(f"{separator}event: error\ndata: {message}\n\n")
            await self._flush()
        abort_connection(self._handler)

    @property
    def _is_event_stream(self) -> bool:
        return self._headers.get("Content-Type", "").startswith("text/event-stream")

    def _error_separator(self) -> str:
        """Return the line ends before the ``error`` event.

        An event that was broken off becomes part of the ``error`` event, because a
        blank line would complete it.
        """
        if self._last_bytes.endswith((b"\n\n", b"\r\r", b"\r\n\r\n")):
            return "\n\n"
        return "" if self._last_bytes.endswith((b"\n", b"\r")) else "\n"

    def _send_head(self) -> None:
        if self._started:
            return
        self._started = True
        send_head(self._handler, self._status, self._headers)
        self._handler.set_header(HEADER_REQUEST, self._request_id)
        if HEADER_OUTCOME not in self._headers:
            self._handler.set_header(HEADER_OUTCOME, str(Outcome.ANSWERED))

    async def _flush(self) -> None:
        await self._wait_sent(self._handler.flush())

    async def _wait_sent(self, future: asyncio.Future[None]) -> None:
        """Wait until the data is flushed, or mark the caller as disconnected."""
        try:
            if not future.done():
                async with asyncio.timeout(_CALLER_WRITE_TIMEOUT_S):
                    await future
        except StreamClosedError:
            self._disconnected = True
        except TimeoutError:
            self._disconnected = True
            abort_connection(self._handler)


def send_head(handler: RequestHandler, status: int, headers: HTTPHeaders) -> None:
    """Set the status and headers of the answer and drop those that Tornado adds."""
    handler.set_status(status)
    handler.clear_header("Content-Type")
    handler.clear_header("Server")
    for name in set(headers.keys()):
        handler.clear_header(name)
    for name, value in headers.get_all():
        handler.add_header(name, value)


def abort_connection(handler: RequestHandler) -> None:
    """Close the caller's connection at once.

    An HTTP/1.0 answer ends with its connection. Such a connection is reset, so that a
    truncated answer does not look complete.
    """
    stream = handler.request.connection.stream
    if handler.request.version == "HTTP/1.0" and stream.socket is not None:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    stream.close()


@stream_request_body
class CallerHandler(RequestHandler):
    """Handles one request of a caller and sends exactly one answer."""

    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )

    def initialize(self, router: RouterInterface) -> None:
        """Set up the state of one request."""
        self._router = router
        self._request_id = new_id("req")
        self._head: RequestHead | None = None
        self._reservation: Reservation | None = None
        self._rejection: RequestEndedError | None = None
        self._body = bytearray()
        self._caller_request: CallerRequest | None = None
        self._task: asyncio.Task | None = None
        self._disconnected = False

    def compute_etag(self) -> None:
        """Add no ``ETag``; the headers of the answer are the endpoint's."""
        return None

    def prepare(self) -> None:
        """Validate the headers and reserve room in the queues; the body follows."""
        try:
            manifest = self._router.require_manifest()
            self._head = validate_headers(
                self.request, manifest, self._router.header_bytes
            )
            self._reservation = self._router.reserve(self._head.team.name)
            self._body_bytes = manifest.limits.body_bytes
        except RequestEndedError as error:
            self._reject(error)

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, or reject the request if the body is too large."""
        if self._rejection is not None or self._finished:
            return
        if len(self._body) + len(chunk) > self._body_bytes:
            self._body.clear()
            self._reject(body_too_large(self._body_bytes))
            return
        self._body += chunk

    async def _serve(self) -> None:
        with self._router.track():
            await self._serve_tracked()

    async def _serve_tracked(self) -> None:
        if self._rejection is not None:
            self._send_error(self._rejection)
            return
        sink = HttpAnswerSink(self, self._request_id)
        self._task = asyncio.current_task()
        try:
            self._caller_request = self._build_caller_request()
            await self._router.serve(self._caller_request, self._reservation, sink)
            await sink.finish()
            self._router.record_end(
                self._request_id, self._head, self._caller_request, None
            )
        except RequestEndedError as error:
            if sink.started:
                await sink.abort(error)
                self._router.record_end(
                    self._request_id, self._head, self._caller_request, error
                )
            else:
                self._send_error(error)
        except asyncio.CancelledError:
            if not self._disconnected:
                raise
            self._task.uncancel()
        finally:
            self._release()

    get = head = post = delete = patch = put = options = _serve

    def on_connection_close(self) -> None:
        """Withdraw the request of a disconnected caller, or cancel its attempt.

        Only an idempotent request is cancelled while it runs.
        """
        super().on_connection_close()
        self._disconnected = True
        caller_request = self._caller_request
        if caller_request is None or self._router.abandon(caller_request):
            self._release()
        elif (
            caller_request.idempotent
            and self._task is not None
            and not self._task.done()
        ):
            self._task.cancel()

    def on_finish(self) -> None:
        """Release the reservation."""
        self._release()

    def write_error(self, status_code: int, **kwargs) -> None:
        """Send an error detected by Tornado in the format of the router's errors."""
        outcome = "bad-request" if status_code < 500 else "internal"
        error = refused(status_code, outcome, self._reason)
        self._send_error(error)

    def _build_caller_request(self) -> CallerRequest:
        assert self._head is not None
        body = bytes(self._body)
        self._body = bytearray()
        return build_request(
            self._head,
            self.request,
            body,
            self._router.require_manifest(),
            self._request_id,
            self._router.clock.now_ms(),
        )

    def _reject(self, error: RequestEndedError) -> None:
        """Answer at once with `error`, or after the body if that is small."""
        self._rejection = error
        length = self.request.headers.get("Content-Length", "")
        chunked = "Transfer-Encoding" in self.request.headers
        if chunked or (length.isdigit() and int(length) > _MAX_DISCARDED_BYTES):
            self._send_error(error)

    def _send_error(self, error: RequestEndedError) -> None:
        if not self._finished and not self._disconnected:
            send_head(self, error.status, error.headers(self._request_id))
            self.finish(error.body(self._request_id))
        self._router.record_end(
            self._request_id, self._head, self._caller_request, error
        )
        self._release()

    def _release(self) -> None:
        if self._reservation is not None:
            self._reservation.release()


def caller_application(
    router: RouterInterface, operational: list[tuple]
) -> Application:
    """Return the Tornado application of the router.

    Parameters
    ----------
    router : RouterInterface
        The router that serves the requests.
    operational : list of tuple
        Routes of the operational endpoints, such as metrics and readiness.
    """
    routes = [*operational, (r".*", CallerHandler, {"router": router})]
    return Application(routes, log_function=lambda handler: None)
