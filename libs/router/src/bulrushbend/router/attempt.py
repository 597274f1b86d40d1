"""One attempt to run a request at an agent, resumed over several connections."""

import contextlib
import json
import re
from dataclasses import dataclass
from typing import NoReturn

from tornado.httputil import HTTPHeaders

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import (
    AttemptError,
    ConnectError,
    OutcomeUnknownError,
    PeerError,
    PeerTimeoutError,
    RequestFailedError,
    RequestNotRunError,
)
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.settings import RouterSettings
from bulrushbend.router import metrics
from bulrushbend.router.request import CallerRequest, Grant
from bulrushbend.router.sinks import AnswerSink
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts
from bulrushbend.wire.names import (
    HEADER_DEADLINE,
    HEADER_FAILURE,
    HEADER_IDEMPOTENT,
    HEADER_METHOD,
    HEADER_PATH,
    HEADER_REFUSED,
    HEADER_REQUEST,
    HEADER_STATUS,
    HEADER_TEAM,
    HOP_BY_HOP,
    AttemptState,
    Outcome,
)

# Stall detection interrupts silent exchanges; the time-outs of the exchange itself are
# only a fallback.
_FALLBACK_TIMEOUT_MS = 3_600_000.0
_STATUS_PATTERN = re.compile(r"[2-5][0-9][0-9]")
_RESUME_DELAY_MS = 100.0
# Consecutive resumed connections without a new byte before an attempt counts as lost.
_MAX_RESUMES_WITHOUT_DATA = 5
_CANCEL_TIMEOUT_MS = 2_000.0


@dataclass(frozen=True)
class AttemptContext:
    """Dependencies shared by all attempts of a router."""

    settings: RouterSettings
    clock: Clock
    events: EventLog


class Attempt:
    """Runs one request at one agent and forwards its answer.

    A broken or stalled connection is replaced by a new one that continues the answer
    after the bytes received so far.

    Parameters
    ----------
    context : AttemptContext
        Shared dependencies.
    request : CallerRequest
        The request to run.
    grant : Grant
        The claim that the request was assigned to.
    """

    def __init__(self, context: AttemptContext, request: CallerRequest, grant: Grant):
        self._settings = context.settings
        self._clock = context.clock
        self._events = context.events
        self._request = request
        self._grant = grant
        self._path = f"/attempts/{grant.attempt_id}"
        self._exchange: Exchange | None = None
        self._started = False
        self._received_bytes = 0
        self._resumes_without_data = 0
        self._reading = False
        self._last_progress_ms = self._clock.now_ms()
        self._suspect_since_ms: float | None = None

    @property
    def request(self) -> CallerRequest:
        """The request of this attempt."""
        return self._request

    async def run(self, sink: AnswerSink) -> None:
        """Send the request and forward the whole answer to `sink`.

        Raises
        ------
        RequestNotRunError
            The request provably did not start.
        OutcomeUnknownError
            The request may have run; its answer is lost or incomplete.
        RequestFailedError
            The request ran and failed.
        """
        self._record_event(EventKind.ATTEMPT_SENT)
        try:
            await self._send()
            await self._forward_answer(sink)
        finally:
            if self._exchange is not None:
                self._exchange.close()

    async def cancel(self) -> None:
        """Cancel the attempt at the agent; an agent that does not answer is ignored."""
        with contextlib.suppress(PeerError):
            await self._delete(cancel=True)
        self._record_event(EventKind.ATTEMPT_CANCELLED)

    async def stop_unless_started(self, *, cancel: bool) -> AttemptState | None:
        """Stop the attempt at the agent if it has not started.

        Parameters
        ----------
        cancel : bool
            Whether to cancel the attempt even if it is running.

        Returns
        -------
        AttemptState or None
            State of the attempt at the agent, None if the agent does not answer.
        """
        try:
            return await self._delete(cancel=cancel)
        except PeerError:
            return None

    def check_stall(self, now_ms: float) -> None:
        """Interrupt the exchange if it is stalled.

        An exchange is stalled if it has been suspect for ``stall_ms``, for example
        because the agent reports more bytes than have arrived. Time during which a slow
        caller delays the reading does not count, and every chunk that arrives restarts
        the measurement.

        Parameters
        ----------
        now_ms : float
            Monotonic time in milliseconds.
        """
        if not self._reading or not self._is_suspect(now_ms):
            self._suspect_since_ms = None
            return
        suspect_since_ms = self._suspect_since_ms
        if suspect_since_ms is None or self._last_progress_ms > suspect_since_ms:
            suspect_since_ms = now_ms
        self._suspect_since_ms = suspect_since_ms
        if now_ms - suspect_since_ms < self._settings.stall_ms:
            return
        self._suspect_since_ms = None
        if self._exchange is not None:
            error = PeerTimeoutError(
                "exchange stalled", step="attempt", peer=self._peer
            )
            self._exchange.abort(error)

    @property
    def _peer(self) -> str:
        return self._grant.link.agent

    def _is_suspect(self, now_ms: float) -> bool:
        link = self._grant.link
        if not link.is_up:
            idle_ms = now_ms - self._last_progress_ms
            return link.down_ms() >= link.silence_ms <= idle_ms
        report = link.progress(self._grant.attempt_id)
        if report is None or now_ms - report.received_ms > self._settings.stall_ms:
            # The agent does not report this attempt (any more); a new connection
            # shows whether the attempt still exists there.
            return True
        if report.finished or report.produced_bytes > self._received_bytes:
            return True
        return now_ms - self._last_progress_ms >= self._settings.first_byte_ms

    async def _send(self) -> None:
        request = ExchangeRequest(
            "POST", self._path, self._attempt_headers(), self._request.body
        )
        try:
            await self._open(request)
        except ConnectError as error:
            self._grant.link.pause_backlog()
            self._grant.link.send_miss(self._grant.attempt_id)
            raise RequestNotRunError(
                error.message, step="send", peer=self._peer
            ) from None
        except PeerError as error:
            await self._resume(error)
            return
        await self._check_head()

    async def _open(self, request: ExchangeRequest) -> None:
        remaining_ms = self._request.deadline_ms - self._clock.now_ms()
        timeouts = ExchangeTimeouts(
            connect_ms=self._settings.connect_timeout_ms,
            first_byte_ms=_FALLBACK_TIMEOUT_MS
            if self._received_bytes
            else max(1.0, remaining_ms),
            idle_ms=_FALLBACK_TIMEOUT_MS,
        )
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        exchange = await Exchange.connect(self._grant.link.http_address, timeouts)
        self._exchange = exchange
        self._last_progress_ms = self._clock.now_ms()
        self._reading = True
        try:
            await exchange.send(request)
        finally:
            self._reading = False
        self._last_progress_ms = self._clock.now_ms()

    async def _check_head(self) -> None:
        """Check that the headers begin the answer to this attempt."""
        exchange = self._exchange
        assert exchange is not None
        headers = exchange.headers
        answered_id = headers.get(HEADER_REQUEST)
        if answered_id is not None and answered_id != self._request.request_id:
            raise OutcomeUnknownError(
                "answer to another request", step="headers", peer=self._peer
            )
        if exchange.status == 200 and _STATUS_PATTERN.fullmatch(
            headers.get(HEADER_STATUS, "")
        ):
            self._started = True
            return
        if self._started:
            # Its bytes may have reached the caller, so no refusal counts any more.
            self._raise_outcome(None, f"the agent answered {exchange.status}")
        if exchange.status == 409 and HEADER_REFUSED in headers:
            self._record_event(EventKind.ATTEMPT_REFUSED)
            raise RequestNotRunError(
                "refused before start", step="claim", peer=self._peer
            )
        if exchange.status == 502 and HEADER_FAILURE in headers:
            raise _error_from_headers(headers, self._peer)
        state = await self.stop_unless_started(cancel=False)
        self._raise_outcome(state, f"the agent answered {exchange.status}")

    async def _forward_answer(self, sink: AnswerSink) -> None:
        exchange = self._exchange
        assert exchange is not None
        headers = _end_to_end_headers(exchange.headers)
        await sink.start(int(exchange.headers[HEADER_STATUS]), headers)
        while True:
            try:
                await self._forward_chunks(sink)
                break
            except PeerError as error:
                await self._resume(error)
        self._record_event(EventKind.ATTEMPT_FINISHED, bytes=self._received_bytes)

    async def _forward_chunks(self, sink: AnswerSink) -> None:
        assert self._exchange is not None
        self._reading = True
        try:
            async for chunk in self._exchange.chunks():
                self._received_bytes += len(chunk)
                self._resumes_without_data = 0
                self._reading = False
                await sink.write(chunk)
                self._last_progress_ms = self._clock.now_ms()
                self._reading = True
        finally:
            self._reading = False

    async def _resume(self, cause: PeerError) -> None:
        """Open a new connection that continues the answer after the bytes received.

        The attempt is given up only when its agent cannot be reached or no longer runs
        it.
        """
        while (error := await self._try_resume(cause)) is not None:
            state = await self.stop_unless_started(cancel=False)
            if state is not AttemptState.RUNNING:
                self._raise_outcome(state, error.message)
            self._resumes_without_data = _MAX_RESUMES_WITHOUT_DATA - 1
            await self._clock.sleep_ms(_RESUME_DELAY_MS)

    async def _try_resume(self, cause: PeerError) -> PeerError | None:
        """Return None once a connection continues the answer, else the last error."""
        link = self._grant.link
        resume_deadline_ms = self._clock.now_ms() + link.silence_ms
        path = f"{self._path}?offset={self._received_bytes}"
        while True:
            self._resumes_without_data += 1
            if self._resumes_without_data > _MAX_RESUMES_WITHOUT_DATA:
                return cause
            self._check_deadline()
            try:
                await self._open(ExchangeRequest("GET", path, self._identity_headers()))
                metrics.RESUMES.inc()
                self._record_event(
                    EventKind.ATTEMPT_RESUMED, offset=self._received_bytes
                )
                await self._check_head()
                return None
            except ConnectError:
                # The agent may be restarting. A failed connection counts only against
                # the time limit, not against the number of resumes without data.
                self._resumes_without_data -= 1
            except PeerError as error:
                cause = error
            if self._clock.now_ms() >= resume_deadline_ms:
                return cause
            await self._clock.sleep_ms(_RESUME_DELAY_MS)

    def _check_deadline(self) -> None:
        if (
            self._received_bytes == 0
            and self._clock.now_ms() >= self._request.deadline_ms
        ):
            raise DeadlineExceededError(
                "the deadline passed", step="attempt", peer=self._peer
            )

    def _raise_outcome(self, state: AttemptState | None, reason: str) -> NoReturn:
        """Raise `RequestNotRunError` if not started, else `OutcomeUnknownError`."""
        if state is AttemptState.NOT_STARTED and not self._started:
            raise RequestNotRunError("not started", step="proof", peer=self._peer)
        raise OutcomeUnknownError(reason, step="attempt", peer=self._peer)

    async def _delete(self, *, cancel: bool) -> AttemptState:
        path = f"{self._path}?cancel=1" if cancel else self._path
        timeouts = ExchangeTimeouts(
            self._settings.connect_timeout_ms, _CANCEL_TIMEOUT_MS, _CANCEL_TIMEOUT_MS
        )
        exchange = await Exchange.open(
            self._grant.link.http_address, ExchangeRequest("DELETE", path), timeouts
        )
        try:
            body = await exchange.body()
        finally:
            exchange.close()
        try:
            return AttemptState(json.loads(body)["state"])
        except (ValueError, KeyError, TypeError):
            raise PeerError(
                "the answer to DELETE holds no attempt state",
                step="proof",
                peer=self._peer,
            ) from None

    def _identity_headers(self) -> HTTPHeaders:
        return HTTPHeaders({HEADER_REQUEST: self._request.request_id})

    def _attempt_headers(self) -> HTTPHeaders:
        request = self._request
        remaining_ms = max(1, int(request.deadline_ms - self._clock.now_ms()))
        headers = request.headers.copy()
        headers[HEADER_METHOD] = request.method
        headers[HEADER_PATH] = request.path
        headers[HEADER_DEADLINE] = str(remaining_ms)
        headers[HEADER_TEAM] = request.team
        headers[HEADER_REQUEST] = request.request_id
        headers[HEADER_IDEMPOTENT] = "true" if request.idempotent else "false"
        return headers

    def _record_event(self, kind: EventKind, **fields: object) -> None:
        self._events.write(
            kind,
            request_id=self._request.request_id,
            attempt_id=self._grant.attempt_id,
            team=self._request.team,
            peer=self._peer,
            **fields,
        )


class DeadlineExceededError(OutcomeUnknownError):
    """The deadline passed before the first byte of the answer; the request may run."""


def _error_from_headers(headers: HTTPHeaders, peer: str) -> AttemptError:
    failure = headers.get(HEADER_FAILURE)
    if failure == Outcome.NOT_RUN:
        return RequestNotRunError(
            "the endpoint refused the connection", step="run", peer=peer
        )
    if failure == Outcome.FAILED:
        return RequestFailedError("the endpoint failed", step="run", peer=peer)
    return OutcomeUnknownError("the endpoint's answer was lost", step="run", peer=peer)


def _end_to_end_headers(headers: HTTPHeaders) -> HTTPHeaders:
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        lowered = name.lower()
        if lowered not in HOP_BY_HOP and not lowered.startswith("bulrushbend-"):
            kept.add(name, value)
    return kept
