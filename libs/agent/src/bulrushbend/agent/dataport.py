"""Data port: HTTP interface through which routers run attempts."""

import re
import socket

from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from bulrushbend.agent import metrics
from bulrushbend.agent.attempt import Attempt, AttemptRequest
from bulrushbend.agent.attempts import AttemptTable
from bulrushbend.agent.errors import (
    AnswerNotBufferedError,
    AnswerTruncatedError,
    OffsetBeyondEndError,
    ReaderDetachedError,
)
from bulrushbend.agent.replay import ReplayReader
from bulrushbend.agent.scheduler import SlotScheduler
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.manifest import Limits, Service
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.wire import names
from bulrushbend.wire.exchange import ExchangeRequest

_METHOD = re.compile(r"[A-Z]{1,20}")
_PATH = re.compile(r"/[\x21-\x7e]*")
_WHOLE_NUMBER = re.compile(r"[0-9]{1,15}")
_MAX_DEADLINE_MS = 86_400_000
_INTERNAL_PREFIX = "bulrushbend-"


class BadAttemptError(ValueError):
    """The request of the router violates the protocol of the data port."""


class DataPort:
    """State shared by the handlers of the data port.

    Parameters
    ----------
    attempts : AttemptTable
        Attempts by id.
    scheduler : SlotScheduler
        Scheduler that owns the claims.
    in_force : ActiveManifest
        Source of the limits and the service.
    endpoint_name : str
        Name of the endpoint in the manifest.
    send_buffer_bytes : int
        Size of the kernel's send buffer for one connection.
    events : EventLog
        Event log for refusals.
    """

    def __init__(
        self,
        attempts: AttemptTable,
        scheduler: SlotScheduler,
        in_force: ActiveManifest,
        endpoint_name: str,
        send_buffer_bytes: int,
        events: EventLog,
    ):
        self.attempts = attempts
        self.scheduler = scheduler
        self.events = events
        self.open_streams = 0
        self._in_force = in_force
        self._endpoint_name = endpoint_name
        self._send_buffer_bytes = send_buffer_bytes

    def prepare_stream(self, stream: IOStream) -> None:
        """Bound the kernel's send buffer and disable Nagle's algorithm.

        Bytes in the send buffer count as read by the router, so the replay buffer must
        still contain them if the connection goes silent.
        """
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, self._send_buffer_bytes
        )
        # Nagle's algorithm would delay a token until the previous one is acknowledged.
        stream.set_nodelay(True)

    def limits(self) -> Limits:
        """Return the limits in force."""
        manifest = self._in_force.current
        return manifest.limits if manifest else Limits()

    def service(self) -> Service | None:
        """Return the endpoint's service, None if the manifest lacks the endpoint."""
        manifest = self._in_force.current
        endpoint = manifest and manifest.endpoints_by_name.get(self._endpoint_name)
        return manifest.services_by_name[endpoint.service] if endpoint else None


# The decorator prevents Tornado from parsing form bodies, which are forwarded as is.
@stream_request_body
class AttemptHandler(RequestHandler):
    """Handler of ``/attempts/{attempt_id}``."""

    def initialize(self, port: DataPort) -> None:
        """Store the shared state."""
        self._port = port
        self._body: list[bytes] = []
        self._reader: ReplayReader | None = None

    def prepare(self) -> None:
        """Set the limits of the request body and of the kernel's send buffer."""
        self._port.prepare_stream(self.request.connection.stream)
        self.request.connection.set_max_body_size(self._port.limits().body_bytes)

    def data_received(self, chunk: bytes) -> None:
        """Collect the request body.

        The body is read to its end before a refusal is sent: closing a connection with
        unread data may reset it, and the refusal would be lost.
        """
        self._body.append(chunk)

    def on_connection_close(self) -> None:
        """Stop reading the answer, or withdraw an attempt that has not started.

        A running attempt continues.
        """
        if self._reader is not None:
            self._reader.detach()
        elif self.request.method == "POST":
            self._port.attempts.withdraw(self.path_args[0], cancel=False)

    async def post(self, attempt_id: str) -> None:
        """Start the attempt and stream its answer, or refuse to start it."""
        try:
            forward, deadline_ms = self._read_forward(attempt_id)
            idempotent = self._read_flag(names.HEADER_IDEMPOTENT)
        except BadAttemptError as error:
            self._refuse(attempt_id, 400, str(error))
            return
        claim = await self._port.scheduler.admit(attempt_id)
        if claim is None:
            state = self._port.attempts.state_of(attempt_id)
            self._refuse(attempt_id, 409, f"claim is {state or 'not known'}")
            return
        service = self._port.service()
        request = AttemptRequest(
            attempt_id=attempt_id,
            request_id=self.request.headers.get(names.HEADER_REQUEST, ""),
            team=claim.team,
            router=claim.link.identity,
            idempotent=idempotent,
            resumable=service is not None and service.resume == "last-event-id",
            deadline_ms=deadline_ms,
            forward=forward,
        )
        attempt = self._port.attempts.start(request, claim)
        await self._stream(attempt, attempt.body.open_reader(0))

    async def get(self, attempt_id: str) -> None:
        """Stream the answer from the body byte ``offset`` on."""
        attempt = self._port.attempts.find(attempt_id)
        if attempt is None:
            known = self._port.attempts.state_of(attempt_id) is not None
            self._answer_error(410 if known else 404, "no answer is held for this id")
            return
        offset = self.get_query_argument("offset", "0")
        if not _WHOLE_NUMBER.fullmatch(offset):
            self._answer_error(400, "offset must be a whole number")
            return
        try:
            reader = attempt.body.open_reader(int(offset))
        except OffsetBeyondEndError as error:
            self._answer_error(416, str(error))
            return
        except AnswerNotBufferedError as error:
            self._answer_error(410, str(error))
            return
        metrics.REPLAYS.inc()
        await self._stream(attempt, reader)

    def delete(self, attempt_id: str) -> None:
        """Prevent the start of an attempt; with ``cancel=1``, also cancel it."""
        cancel = self.get_query_argument("cancel", "0") == "1"
        state = self._port.attempts.withdraw(attempt_id, cancel=cancel)
        if state is None:
            self._answer_error(404, "this process does not know the attempt")
            return
        self.write({"state": str(state)})

    async def _stream(self, attempt: Attempt, reader: ReplayReader) -> None:
        self._reader = reader
        reader.set_detach_callback(self.request.connection.stream.close)
        self._port.open_streams += 1
        try:
            self.set_header(names.HEADER_REQUEST, attempt.request.request_id)
            head = await attempt.head()
            if reader.detached:
                self._break_framing()
                return
            if head is None:
                assert attempt.failure is not None
                self.set_header(names.HEADER_FAILURE, str(attempt.failure.kind))
                self._answer_error(502, attempt.failure.reason)
                return
            self._write_head(head.status, head.headers)
            await self.flush()
            async for chunk in reader.iter_chunks():
                self.write(chunk)
                await self.flush()
            await self.finish()
        except (AnswerTruncatedError, ReaderDetachedError):
            self._break_framing()
        except StreamClosedError:
            reader.detach()
        finally:
            self._port.open_streams -= 1

    def _write_head(self, status: int, headers: HTTPHeaders) -> None:
        self.clear_header("Content-Type")
        self.clear_header("Server")
        self.clear_header("Date")
        self.set_header(names.HEADER_STATUS, str(status))
        for name, value in headers.get_all():
            if _is_end_to_end(name) and name.lower() != "x-request-id":
                self.add_header(name, value)

    def _break_framing(self) -> None:
        """Close the connection without the last chunk, so the answer is truncated."""
        self.detach().close()

    def _read_forward(self, attempt_id: str) -> tuple[ExchangeRequest, float]:
        headers = self.request.headers
        method = headers.get(names.HEADER_METHOD, "POST")
        path = headers.get(names.HEADER_PATH, "")
        if not _METHOD.fullmatch(method):
            raise BadAttemptError(f"{names.HEADER_METHOD} is not a method")
        if not _PATH.fullmatch(path):
            raise BadAttemptError(f"{names.HEADER_PATH} is not a path")
        forward = HTTPHeaders()
        for name, value in headers.get_all():
            if _is_end_to_end(name):
                forward.add(name, value)
        # Stream id for resume and cancel. It is the attempt id and not the request id:
        # a late cancel of one attempt must not affect the next attempt of the request.
        forward["X-Request-Id"] = attempt_id
        body = b"".join(self._body)
        return ExchangeRequest(method, path, forward, body), self._read_deadline()

    def _read_deadline(self) -> float:
        text = self.request.headers.get(names.HEADER_DEADLINE)
        if text is None:
            return self._port.limits().default_deadline_ms
        if not _WHOLE_NUMBER.fullmatch(text) or not 0 < int(text) <= _MAX_DEADLINE_MS:
            raise BadAttemptError(f"{names.HEADER_DEADLINE} is not a positive number")
        return float(text)

    def _read_flag(self, name: str) -> bool:
        text = self.request.headers.get(name, "false").lower()
        if text not in ("true", "false"):
            raise BadAttemptError(f"{name} is neither true nor false")
        return text == "true"

    def _refuse(self, attempt_id: str, status: int, reason: str) -> None:
        metrics.REFUSED.inc()
        self._port.events.write(
            EventKind.ATTEMPT_REFUSED,
            attempt_id=attempt_id,
            request_id=self.request.headers.get(names.HEADER_REQUEST, ""),
            reason=reason,
        )
        self.set_header(names.HEADER_REFUSED, "not-started")
        self._answer_error(status, reason)

    def _answer_error(self, status: int, reason: str) -> None:
        self.set_status(status)
        self.write({"error": reason})


def _is_end_to_end(name: str) -> bool:
    lower = name.lower()
    return lower not in names.HOP_BY_HOP and not lower.startswith(_INTERNAL_PREFIX)


def data_routes(port: DataPort) -> list[tuple]:
    """Return the Tornado routes of the data port."""
    return [(r"/attempts/([A-Za-z0-9._-]{1,80})", AttemptHandler, {"port": port})]
