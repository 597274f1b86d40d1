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
from bulrushbend.router.answers import CallEnded, refused
from bulrushbend.router.intake import (
    Intake,
    body_too_large,
    build_request,
    check_headers,
)
from bulrushbend.router.queue import Place
from bulrushbend.router.request import CallerRequest
from bulrushbend.router.sinks import AnswerSink
from bulrushbend.wire.names import HEADER_OUTCOME, HEADER_REQUEST, Outcome

# The body of a refused request is read up to this size, since closing a connection
# with unread data resets it and may destroy the answer on its way.
_DISCARDED_BYTES = 65_536
# A caller that takes no data for this long is treated as gone.
_CALLER_STALL_S = 60.0
# struct linger: on, no time.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Desk(Protocol):
    """What the HTTP interface needs of the router."""

    @property
    def clock(self) -> Clock:
        """Source of time."""
        ...

    @property
    def header_bytes(self) -> int:
        """Largest size of a request's headers."""
        ...

    def open_manifest(self) -> Manifest:
        """Return the manifest in force, or raise `CallEnded` if none is served."""
        ...

    def reserve(self, team: str) -> Place:
        """Take a place in the queues, or raise `CallEnded`."""
        ...

    async def serve(
        self, request: CallerRequest, place: Place, sink: AnswerSink
    ) -> None:
        """Run `request` and pass its answer to `sink`, or raise `CallEnded`."""
        ...

    def track(self) -> contextlib.AbstractContextManager[None]:
        """Keep the process from ending while the context is open."""
        ...

    def abandon(self, request: CallerRequest) -> bool:
        """End the waiting of a request whose caller is gone; False if it runs."""
        ...

    def note_end(
        self,
        request_id: str,
        intake: Intake | None,
        request: CallerRequest | None,
        error: CallEnded | None,
    ) -> None:
        """Count and record the end of a request."""
        ...


class CallerSink:
    """Passes an answer to the caller's connection.

    After the caller has gone the answer is discarded.

    Parameters
    ----------
    handler : RequestHandler
        Handler of the caller's request.
    request_id : str
        Sent along with the answer.
    """

    def __init__(self, handler: RequestHandler, request_id: str):
        self._handler = handler
        self._request_id = request_id
        self._status = 200
        self._headers = HTTPHeaders()
        self._started = False
        self._gone = False

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        return self._started

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take the status and the headers; they leave with the first piece."""
        self._status = status
        self._headers = headers

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body and wait until it has left."""
        if self._gone:
            return
        self._send_head()
        self._handler.write(piece)
        await self._flush()

    async def finish(self) -> None:
        """End the answer; it is complete."""
        if self._gone:
            return
        self._send_head()
        await self._leave(self._handler.finish())

    async def break_off(self, error: BulrushbendError) -> None:
        """Close the connection without the last chunk.

        An event stream first gets an ``error`` event, because its readers often take
        the end of the connection for the end of the stream.
        """
        metrics.TRUNCATED.inc()
        if not self._gone and self._is_event_stream:
            message = error.message.replace("\n", " ")
            self._handler.write(f"\n\nevent: error\ndata: {message}\n\n")
            await self._flush()
        break_connection(self._handler)

    @property
    def _is_event_stream(self) -> bool:
        return self._headers.get("Content-Type", "").startswith("text/event-stream")

    def _send_head(self) -> None:
        if self._started:
            return
        self._started = True
        send_head(self._handler, self._status, self._headers)
        self._handler.set_header(HEADER_REQUEST, self._request_id)
        if HEADER_OUTCOME not in self._headers:
            self._handler.set_header(HEADER_OUTCOME, str(Outcome.ANSWERED))

    async def _flush(self) -> None:
        await self._leave(self._handler.flush())

    async def _leave(self, future: asyncio.Future[None]) -> None:
        """Wait until what was written has left, or the caller counts as gone."""
        try:
            if not future.done():
                async with asyncio.timeout(_CALLER_STALL_S):
                    await future
        except StreamClosedError:
            self._gone = True
        except TimeoutError:
            self._gone = True
            break_connection(self._handler)


def send_head(handler: RequestHandler, status: int, headers: HTTPHeaders) -> None:
    """Set status and headers of the answer, in place of Tornado's defaults."""
    handler.set_status(status)
    handler.clear_header("Content-Type")
    handler.clear_header("Server")
    for name in set(headers.keys()):
        handler.clear_header(name)
    for name, value in headers.get_all():
        handler.add_header(name, value)


def break_connection(handler: RequestHandler) -> None:
    """Close the caller's connection at once.

    The end of the connection marks the end of an answer to an HTTP/1.0 caller. Such a
    connection is reset, so that a cut answer does not look complete.
    """
    stream = handler.request.connection.stream
    if handler.request.version == "HTTP/1.0" and stream.socket is not None:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    stream.close()


@stream_request_body
class CallerHandler(RequestHandler):
    """Takes one request of a caller and gives it exactly one answer."""

    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )

    def initialize(self, desk: Desk) -> None:
        """Keep the router's side of the interface."""
        self._desk = desk
        self._request_id = new_id("req")
        self._intake: Intake | None = None
        self._place: Place | None = None
        self._refusal: CallEnded | None = None
        self._body = bytearray()
        self._call: CallerRequest | None = None
        self._task: asyncio.Task | None = None
        self._gone = False

    def compute_etag(self) -> None:
        """Add no entity tag; the answer belongs to the endpoint."""
        return None

    def prepare(self) -> None:
        """Check the headers and take a place before the body is read."""
        try:
            manifest = self._desk.open_manifest()
            self._intake = check_headers(
                self.request, manifest, self._desk.header_bytes
            )
            self._place = self._desk.reserve(self._intake.team.name)
            self._body_bytes = manifest.limits.body_bytes
        except CallEnded as error:
            self._refuse(error)

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body, within the limit."""
        if self._refusal is not None or self._finished:
            return
        if len(self._body) + len(chunk) > self._body_bytes:
            self._body.clear()
            self._refuse(body_too_large(self._body_bytes))
            return
        self._body += chunk

    async def _serve(self) -> None:
        with self._desk.track():
            await self._serve_tracked()

    async def _serve_tracked(self) -> None:
        if self._refusal is not None:
            self._answer(self._refusal)
            return
        sink = CallerSink(self, self._request_id)
        self._task = asyncio.current_task()
        try:
            self._call = self._build_call()
            await self._desk.serve(self._call, self._place, sink)
            await sink.finish()
            self._desk.note_end(self._request_id, self._intake, self._call, None)
        except CallEnded as error:
            if sink.started:
                await sink.break_off(error)
                self._desk.note_end(self._request_id, self._intake, self._call, error)
            else:
                self._answer(error)
        except asyncio.CancelledError:
            if not self._gone:
                raise
            self._task.uncancel()
        finally:
            self._release()

    get = head = post = delete = patch = put = options = _serve

    def on_connection_close(self) -> None:
        """Withdraw the request of a caller that is gone, or cancel its attempt."""
        super().on_connection_close()
        self._gone = True
        call = self._call
        if call is None or self._desk.abandon(call):
            self._release()
        elif call.idempotent and self._task is not None and not self._task.done():
            self._task.cancel()

    def on_finish(self) -> None:
        """Give the place back."""
        self._release()

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer an error that Tornado found in the form of the router's errors."""
        outcome = "bad-request" if status_code < 500 else "internal"
        error = refused(status_code, outcome, self._reason)
        self._answer(error)

    def _build_call(self) -> CallerRequest:
        assert self._intake is not None
        body = bytes(self._body)
        self._body = bytearray()
        return build_request(
            self._intake,
            self.request,
            body,
            self._desk.open_manifest(),
            self._request_id,
            self._desk.clock.now_ms(),
        )

    def _refuse(self, error: CallEnded) -> None:
        """Refuse at once, or after the body if it is small enough to be read."""
        self._refusal = error
        length = self.request.headers.get("Content-Length", "")
        chunked = "Transfer-Encoding" in self.request.headers
        if chunked or (length.isdigit() and int(length) > _DISCARDED_BYTES):
            self._answer(error)

    def _answer(self, error: CallEnded) -> None:
        if not self._finished and not self._gone:
            send_head(self, error.status, error.headers(self._request_id))
            self.finish(error.body(self._request_id))
        self._desk.note_end(self._request_id, self._intake, self._call, error)
        self._release()

    def _release(self) -> None:
        if self._place is not None:
            self._place.release()


def caller_application(desk: Desk, operational: list[tuple]) -> Application:
    """Return the Tornado application of the router.

    Parameters
    ----------
    desk : Desk
        The router's side of the interface.
    operational : list of tuple
        Routes of the operational pages.
    """
    routes = [*operational, (r".*", CallerHandler, {"desk": desk})]
    return Application(routes, log_function=lambda handler: None)
