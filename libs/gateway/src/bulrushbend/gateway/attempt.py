"""One attempt of a request at one endpoint, and its verdict.

| observation | verdict |
| --- | --- |
| the connection failed | not run |
| the endpoint stated in the meantime that it wants no requests | withheld |
| the response states that the request did not run | not run |
| reset, end of connection or time-out after the request was sent | may have run |
| invalid response, or the response to another request | may have run |
| complete response of the endpoint, including an error | answered |
| response that ends early | broken off |
"""

import asyncio
import enum
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from tornado.httputil import HTTPHeaders

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import (
    ConnectError,
    PeerError,
    PeerTimeoutError,
    TruncatedResponseError,
)
from bulrushbend.core.logs import get_logger
from bulrushbend.gateway.call import Call, Placement
from bulrushbend.gateway.crash_reports import CrashReports
from bulrushbend.gateway.endpoint_limits import EndpointLimits
from bulrushbend.gateway.endpoint_notices import EndpointNotices
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.gateway.header_codec import HeaderCodec
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.leaving_reports import LeavingReports
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.sink import ResponseSink
from bulrushbend.wire.eventstream import EventFramer, StreamTail, contains_event_end
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts

_log = get_logger("gateway.attempt")

# Time without a response after which a request that may be repeated looks for another
# endpoint, as a multiple of its objective, with a lower bound. Callers of streams
# disconnect after four times the objective, so the time between the two remains for the
# second attempt.
_FIRST_BYTE_TIMEOUT_FACTOR = 2.5
_MIN_FIRST_BYTE_TIMEOUT_MS = 400.0
# Time without a complete event after which a resumable stream looks for another
# endpoint. Pauses of up to a quarter of it count as on time.
_STREAM_IDLE_TIMEOUT_MS = 1_200.0
# When a caller disconnects after waiting for the first event for longer than this, the
# cause is likely the endpoint, which is recorded as failed: processing the longest
# prompts takes about 1 s.
_SILENT_ENDPOINT_MS = 1_500.0
# Time from the first chunk of a response within which a crash may be caused by its
# request: an endpoint that crashes may send the first events before.
_EARLY_RESPONSE_MS = 50.0
# Time for which a response has to go on to show that no part of its prompt crashes the
# endpoint, unless it ends before.
_PROOF_MS = 300.0
# Assumed prefill rate of an endpoint. The users' engines state 64 tokens per
# millisecond; a busy one is slower, as it also generates tokens.
PREFILL_TOKENS_PER_MS = 50.0
# Time to the first event of an idle endpoint in addition to prefill, with the network.
_FIRST_EVENT_OVERHEAD_MS = 60.0


class Verdict(enum.Enum):
    """Whether the request ran at the endpoint, as far as the attempt shows."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    WITHHELD = "withheld"
    MAY_HAVE_RUN = "may-have-run"
    BROKEN_OFF = "broken-off"


@dataclass(frozen=True)
class Successor:
    """The attempt that follows a silent one.

    Attributes
    ----------
    placement : Placement
        Its endpoint, with the load recorded there.
    exchange : Exchange or None
        Exchange whose response has begun; None if the request was not sent yet.
    """

    placement: Placement
    exchange: Exchange | None = None


@dataclass(frozen=True)
class AttemptResult:
    """Result of an attempt.

    Attributes
    ----------
    verdict : Verdict
        Whether the request ran.
    reason : str
        Why there is no complete response, else empty.
    status : int
        Status code of the endpoint, 0 without a response.
    successor : Successor or None
        The next attempt, prepared before this one was ended.
    is_suspect : bool
        Whether the endpoint crashed and the request may be the cause.
    """

    verdict: Verdict
    reason: str = ""
    status: int = 0
    successor: Successor | None = None
    is_suspect: bool = False


class SuccessorSource(Protocol):
    """Reserves the endpoint for the attempt that follows a silent one."""

    async def reserve(self) -> Placement | None:
        """Return a placement at another endpoint, None if no retry is possible."""
        ...

    def release(self, placement: Placement) -> None:
        """Release a placement that is not used."""
        ...

    def endpoint_of(self, placement: Placement) -> DiscoveredEndpoint | None:
        """Return the endpoint of a placement, None if it is gone."""
        ...


@dataclass(frozen=True)
class AttemptContext:
    """Dependencies of all attempts."""

    header_codec: HeaderCodec
    loads: LoadView
    health: EndpointHealth
    crash_reports: CrashReports
    notices: EndpointNotices
    limits: EndpointLimits
    leaving_reports: LeavingReports
    clock: Clock
    connect_ms: float


class Attempt:
    """One attempt; `run` is called once.

    Parameters
    ----------
    context : AttemptContext
        Dependencies of all attempts.
    call : Call
        The request.
    placement : Placement
        Endpoint and load recorded there; `run` removes the load.
    endpoint : DiscoveredEndpoint
        The endpoint.
    sink : ResponseSink
        Receives the response.
    framer : EventFramer or None
        Splits a resumable stream at event boundaries, across all its attempts.
    successors : SuccessorSource or None
        Reserves the endpoint of the next attempt; None if no attempt may follow this
        one after the request may have run.
    exchange : Exchange, optional
        Exchange whose response has begun.

    Notes
    -----
    Silence does not end an attempt: the endpoint may be slow, and its response may be
    the only one that the caller can get. A silent attempt ends when another endpoint is
    reserved for the request. One whose response has begun ends only when the other
    endpoint has begun to respond, too: it may refuse the request, and the silent one
    may go on.
    """

    def __init__(
        self,
        context: AttemptContext,
        call: Call,
        placement: Placement,
        endpoint: DiscoveredEndpoint,
        sink: ResponseSink,
        framer: EventFramer | None,
        successors: SuccessorSource | None,
        exchange: Exchange | None = None,
    ):
        self._exchange = exchange
        self._context = context
        self._call = call
        self._placement = placement
        self._endpoint = endpoint
        self._sink = sink
        self._framer = framer
        self._successors = successors
        self._tail: StreamTail | None = None
        self._is_resumed = framer is not None and sink.started
        self._successor: Successor | None = None
        self._reservation: asyncio.Task[None] | None = None
        self._is_prefill_ended = False
        self._sent = False
        self._has_headers = False
        self._has_body = False
        self._has_event = False
        # Whether the response went on after its first event.
        self._has_progressed = False
        self._is_success = False
        self._is_sound = False
        self._was_silent = False
        self._first_chunk_ms = 0.0
        self._last_chunk_ms = 0.0
        self._last_progress_ms = 0.0
        self._silence_timer: asyncio.TimerHandle | None = None
        self._gaps_ms: list[float] = []
        self._queued_tokens = context.loads.total(endpoint.id).unread_tokens
        self._started_ms = context.clock.now_ms()

    async def run(self) -> AttemptResult:
        """Send the request, forward the response and return the verdict."""
        result: AttemptResult | None = None
        try:
            result = await self._run()
            return result
        except BaseException:
            if (
                self._sent
                and not self._has_body
                and self._elapsed_ms() > _SILENT_ENDPOINT_MS
            ):
                self._context.health.record_failure(self._endpoint.id, "silent")
            raise
        finally:
            self._stop_watching()
            if self._successor is not None and (
                result is None or result.successor is None
            ):
                self._discard(self._successor)
            self._end_prefill()
            self._context.loads.end(self._endpoint.id)

    async def _run(self) -> AttemptResult:
        if not self._context.notices.may_send(self._endpoint) and not self._exchange:
            return self._withhold()
        exchange = self._exchange
        if exchange is None:
            try:
                exchange = await Exchange.connect(
                    self._endpoint.address, self._timeouts()
                )
            except ConnectError as error:
                return self._handle_connect_error(error)
            if not self._context.notices.may_send(self._endpoint):
                exchange.close()
                return self._withhold()
        self._sent = True
        try:
            if self._successors is not None:
                self._last_progress_ms = self._context.clock.now_ms()
                self._watch_silence(exchange)
            if self._exchange is None:
                await exchange.send(
                    self._request(self._endpoint, self._placement.fetch_from)
                )
            return await self._handle_response(exchange)
        except ConnectError as error:
            self._stop_watching()
            return self._handle_connect_error(error)
        except PeerError as error:
            self._stop_watching()
            if self._successor is None:
                self._context.health.record_failure(
                    self._endpoint.id, f"{error.step}: {error.message}"
                )
            verdict = Verdict.MAY_HAVE_RUN
            if self._sink.started:
                verdict = Verdict.BROKEN_OFF
            reason = f"{error.step}: {error.message}"
            is_suspect = False
            if isinstance(error, TruncatedResponseError):
                is_suspect = await self._context.crash_reports.examine(
                    self._endpoint,
                    self._call,
                    self._is_sound,
                    self._may_have_crashed_endpoint(),
                    self._started_ms,
                    is_early=self._has_progressed,
                )
            successor = None if is_suspect else self._successor
            return AttemptResult(
                verdict, reason, successor=successor, is_suspect=is_suspect
            )
        finally:
            exchange.close()

    def _handle_connect_error(self, error: ConnectError) -> AttemptResult:
        """Return the result of a request that was not sent."""
        reason = f"connect: {error.message}"
        self._context.health.record_failure(self._endpoint.id, reason)
        return AttemptResult(Verdict.NOT_RUN, reason)

    def _withhold(self) -> AttemptResult:
        """Return the result of a request that the endpoint does not want."""
        if self._placement.coordinator:
            self._context.leaving_reports.repeat(self._endpoint)
        return AttemptResult(Verdict.WITHHELD, "endpoint wants no requests")

    def _request(
        self, endpoint: DiscoveredEndpoint, fetch_from: str
    ) -> ExchangeRequest:
        call = self._call
        remaining_ms = call.remaining_ms(self._context.clock.now_ms())
        headers = self._context.header_codec.endpoint_headers(
            call, endpoint, remaining_ms, fetch_from
        )
        return ExchangeRequest(call.method, call.target, headers, call.body)

    def _timeouts(self) -> ExchangeTimeouts:
        remaining_ms = max(1.0, self._call.remaining_ms(self._context.clock.now_ms()))
        return ExchangeTimeouts(
            connect_ms=min(self._context.connect_ms, remaining_ms),
            first_byte_ms=remaining_ms,
            idle_ms=remaining_ms,
        )

    async def _handle_response(self, exchange: Exchange) -> AttemptResult:
        header_codec = self._context.header_codec
        status, headers = exchange.status, exchange.headers
        self._has_headers = True
        self._is_success = 200 <= status < 300
        self._record_progress()
        is_event_stream = _is_event_stream(exchange)
        if not is_event_stream or self._call.method == "HEAD":
            self._framer = None
        if self._framer is None:
            self._stop_watching()
        if is_event_stream and self._call.method != "HEAD":
            self._tail = StreamTail()
        self._record_notices(self._endpoint, status, headers)
        # A refusal of another request proves nothing about this one.
        if not header_codec.is_genuine(self._call, status, headers):
            return AttemptResult(Verdict.MAY_HAVE_RUN, "answer of another", status)
        if status != HTTPStatus.MISDIRECTED_REQUEST:
            self._record_limit(self._endpoint, headers)
        if header_codec.proves_not_run(status, headers):
            if status == HTTPStatus.MISDIRECTED_REQUEST:
                self._context.crash_reports.record_replaced(self._endpoint.id)
            return AttemptResult(Verdict.NOT_RUN, "endpoint refused", status)
        if self._is_resumed and not is_event_stream:
            return AttemptResult(Verdict.BROKEN_OFF, "resume refused", status)
        if status >= 500 and self._successors is not None:
            return AttemptResult(Verdict.MAY_HAVE_RUN, "endpoint failed", status)
        if not self._sink.started:
            self._sink.start(status, self._response_headers(exchange))
        await self._forward_body(exchange)
        if not self._has_body:
            self._first_chunk_ms = self._context.clock.now_ms()
        self._record_sound()
        if self._is_success:
            self._context.crash_reports.record_complete(
                self._call, self._first_chunk_ms
            )
        self._context.health.record_answer(self._endpoint.id)
        return AttemptResult(Verdict.ANSWERED, status=status)

    def _record_notices(
        self, endpoint: DiscoveredEndpoint, status: int, headers: HTTPHeaders
    ) -> None:
        """Record what an endpoint states about itself in its response."""
        if self._context.header_codec.states_leaving(headers):
            self._context.leaving_reports.record_leaving(endpoint)
        if status != HTTPStatus.SERVICE_UNAVAILABLE:
            return
        try:
            pause_ms = self._context.header_codec.read_pause_ms(headers)
        except ValueError as error:
            _log.warning(
                "response of endpoint %s: %s; avoiding it for its backoff instead",
                endpoint.id,
                error,
            )
            self._context.health.record_failure(endpoint.id, "unreadable Retry-After")
            return
        if pause_ms is not None:
            self._context.notices.record_pause(endpoint, pause_ms)

    def _record_limit(self, endpoint: DiscoveredEndpoint, headers: HTTPHeaders) -> None:
        """Record the limit that an endpoint states, or that it states none."""
        try:
            rate_per_s = self._context.header_codec.read_limit_per_s(headers)
        except ValueError as error:
            _log.warning(
                "response of endpoint %s: %s; keeping the limit that is known",
                endpoint.id,
                error,
            )
            return
        self._context.limits.record_statement(endpoint, rate_per_s)

    def _response_headers(self, exchange: Exchange) -> HTTPHeaders:
        headers = self._context.header_codec.caller_headers(exchange.headers)
        length = exchange.headers.get("Content-Length")
        # A stream may be broken off at its last byte, and the rest of a resumable one
        # may come from another endpoint.
        if length is not None and self._tail is None:
            headers["Content-Length"] = length
        return headers

    async def _forward_body(self, exchange: Exchange) -> None:
        self._sink.set_flow_control(exchange.pause, exchange.resume)
        await exchange.forward(self._forward_chunk)
        self._context.health.record_event_gaps(self._endpoint.id, self._gaps_ms)
        if self._tail is not None:
            self._tail.check_end(
                exchange.peer, ends_with_connection=exchange.ends_with_connection
            )
        rest = b"" if self._framer is None else self._framer.finish()
        if rest:
            self._sink.write(rest)

    def _forward_chunk(self, chunk: bytes) -> None:
        now_ms = self._context.clock.now_ms()
        if not self._has_body:
            self._has_body = True
            self._first_chunk_ms = now_ms
            self._record_first_event()
            self._call.record_first_event(now_ms)
        else:
            gap_ms = now_ms - self._last_chunk_ms
            self._call.record_pause(gap_ms)
            self._gaps_ms.append(gap_ms)
        if self._has_event:
            self._has_progressed = True
            if now_ms - self._first_chunk_ms >= _PROOF_MS:
                self._record_sound()
        self._last_chunk_ms = now_ms
        if self._tail is not None:
            self._tail.feed(chunk)
        piece = chunk if self._framer is None else self._framer.feed(chunk)
        if piece:
            self._has_event = self._has_event or contains_event_end(piece)
            self._record_progress()
            self._sink.write(piece)

    def _watch_silence(self, exchange: Exchange) -> None:
        """Reserve another endpoint when this one makes no progress for too long.

        An endpoint that stalls may go on sending single bytes, so only complete events
        count. The time for which the caller reads too slowly does not count.
        """
        if exchange.is_paused:
            self._record_progress()
        silent_ms = self._context.clock.now_ms() - self._last_progress_ms
        left_ms = self._silence_limit_ms() - silent_ms
        if left_ms <= 0.0:
            left_ms = self._silence_limit_ms()
            if not self._was_silent:
                self._was_silent = True
                self._context.health.record_failure(self._endpoint.id, "silent")
                self._end_prefill()
            if self._reservation is None:
                self._reservation = asyncio.create_task(self._move(exchange))
        loop = asyncio.get_running_loop()
        self._silence_timer = loop.call_later(
            left_ms / 1000.0, self._watch_silence, exchange
        )

    def _silence_limit_ms(self) -> float:
        if self._has_headers:
            return _STREAM_IDLE_TIMEOUT_MS
        objective_ms = self._call.route.objective_ms
        return max(
            _MIN_FIRST_BYTE_TIMEOUT_MS, _FIRST_BYTE_TIMEOUT_FACTOR * objective_ms
        )

    async def _move(self, exchange: Exchange) -> None:
        """End the exchange once another endpoint can take over the request."""
        successor: Successor | None = None
        try:
            placement = await self._successors.reserve()
            if placement is not None and self._sink.started:
                successor = await self._open_successor(placement)
            elif placement is not None:
                successor = Successor(placement)
        except Exception as error:
            _log.error(
                "reserving another endpoint for request %s failed with unexpected "
                "error: %r; trying again later",
                self._call.details.request_id,
                error,
            )
        self._reservation = None
        if successor is not None:
            self._successor = successor
            step = "body" if self._has_headers else "headers"
            message = "no progress within the silence limit"
            exchange.abort(PeerTimeoutError(message, step=step, peer=exchange.peer))

    async def _open_successor(self, placement: Placement) -> Successor | None:
        """Send the request to another endpoint; return None if it does not respond.

        Whatever the reason, the request is not sent there again.
        """
        endpoint = self._successors.endpoint_of(placement)
        if endpoint is None or not self._context.notices.may_send(endpoint):
            self._successors.release(placement)
            return None
        self._call.tried.add(endpoint.id)
        try:
            exchange = await Exchange.connect(endpoint.address, self._timeouts())
        except BaseException as error:
            self._successors.release(placement)
            if not isinstance(error, ConnectError):
                raise
            self._context.health.record_failure(
                endpoint.id, f"connect: {error.message}"
            )
            return None
        successor = Successor(placement, exchange)
        is_accepted = may_have_run = False
        try:
            self._call.last_event_id = self._framer.last_id
            may_have_run = True
            await exchange.send(self._request(endpoint, placement.fetch_from))
            may_have_run = not self._context.header_codec.proves_not_run(
                exchange.status, exchange.headers
            )
            is_accepted = self._has_accepted(endpoint, exchange)
        except PeerError as error:
            may_have_run = not isinstance(error, ConnectError)
            self._context.health.record_failure(
                endpoint.id, f"{error.step}: {error.message}"
            )
        finally:
            if not is_accepted:
                self._discard(successor, may_have_run)
        return successor if is_accepted else None

    def _has_accepted(self, endpoint: DiscoveredEndpoint, exchange: Exchange) -> bool:
        """Return whether the other endpoint goes on with the response."""
        status, headers = exchange.status, exchange.headers
        self._record_notices(endpoint, status, headers)
        codec = self._context.header_codec
        if not codec.is_genuine(self._call, status, headers):
            return False
        if status != HTTPStatus.MISDIRECTED_REQUEST:
            self._record_limit(endpoint, headers)
        elif codec.proves_not_run(status, headers):
            self._context.crash_reports.record_replaced(endpoint.id)
        return _is_event_stream(exchange)

    def _discard(self, successor: Successor, may_have_run: bool = True) -> None:
        """Release what a successor that is not used holds."""
        if successor.exchange is None:
            self._successors.release(successor.placement)
            return
        # The retry stays counted, as the request has reached the endpoint.
        self._context.loads.release(successor.placement)
        successor.exchange.close()
        if may_have_run:
            self._call.uncertain_attempts += 1

    def _record_progress(self) -> None:
        self._last_progress_ms = self._context.clock.now_ms()
        if self._reservation is not None:
            self._reservation.cancel()
            self._reservation = None

    def _stop_watching(self) -> None:
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        if self._reservation is not None:
            self._reservation.cancel()
            self._reservation = None

    def _record_sound(self) -> None:
        """Record that the prompt did not crash the endpoint when it responded.

        An error may be sent without processing the prompt.
        """
        if not self._is_sound and self._is_success:
            self._is_sound = True
            self._context.crash_reports.record_sound(self._call, self._first_chunk_ms)

    def _may_have_crashed_endpoint(self) -> bool:
        """Return whether a crash now may be caused by the request."""
        begun_ms = self._context.clock.now_ms() - self._first_chunk_ms
        has_progressed = self._has_progressed and self._is_success
        return not has_progressed or begun_ms < _EARLY_RESPONSE_MS

    def _record_first_event(self) -> None:
        tokens = self._queued_tokens + self._placement.unread_tokens
        expected_ms = _FIRST_EVENT_OVERHEAD_MS + tokens / PREFILL_TOKENS_PER_MS
        self._context.health.record_first_event(
            self._endpoint.id, self._elapsed_ms(), expected_ms
        )
        self._end_prefill()

    def _end_prefill(self) -> None:
        if not self._is_prefill_ended:
            self._is_prefill_ended = True
            self._context.loads.end_prefill(
                self._endpoint.id, self._placement.unread_tokens
            )

    def _elapsed_ms(self) -> float:
        return self._context.clock.now_ms() - self._started_ms


def _is_event_stream(exchange: Exchange) -> bool:
    content_type = exchange.headers.get("Content-Type", "")
    return exchange.status == 200 and content_type.lower().startswith(
        "text/event-stream"
    )
