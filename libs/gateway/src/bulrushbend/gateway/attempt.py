"""One attempt of a request at one endpoint, and its verdict.

| observation | verdict |
| --- | --- |
| the connection failed | not run |
| the response states that the request did not run | not run |
| reset, end of connection or time-out after the request was sent | may have run |
| invalid response, or the response to another request | may have run |
| complete response of the endpoint, including an error | answered |
| response that ends early | broken off |
"""

import asyncio
import enum
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import ConnectError, PeerError, PeerTimeoutError
from bulrushbend.gateway.call import Call, Placement
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.gateway.header_codec import HeaderCodec
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.sink import ResponseSink
from bulrushbend.wire.eventstream import EventFramer
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts

# First-byte time-out of a request that may be repeated, as a multiple of its objective,
# with a lower bound. Callers of streams disconnect after four times the objective, so
# the time between the two remains for the second attempt.
_FIRST_BYTE_TIMEOUT_FACTOR = 2.5
_MIN_FIRST_BYTE_TIMEOUT_MS = 400.0
# Time without a complete event after which a stream is resumed at another endpoint.
# Pauses of up to a quarter of it count as on time.
_STREAM_IDLE_TIMEOUT_MS = 1_200.0
# When a caller disconnects after waiting for the first event for longer than this, the
# cause is likely the endpoint, which is recorded as failed: processing the longest
# prompts takes about 1 s.
_SILENT_ENDPOINT_MS = 1_500.0
# Assumed prefill rate of an endpoint. The users' engines state 64 tokens per
# millisecond; a busy one is slower, as it also generates tokens.
PREFILL_TOKENS_PER_MS = 50.0
# Time to the first event of an idle endpoint in addition to prefill, with the network.
_FIRST_EVENT_OVERHEAD_MS = 60.0


class Verdict(enum.Enum):
    """Whether the request ran at the endpoint, as far as the attempt shows."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    BROKEN_OFF = "broken-off"


@dataclass(frozen=True)
class AttemptResult:
    """Verdict of an attempt, its reason and the endpoint's status code."""

    verdict: Verdict
    reason: str = ""
    status: int = 0


@dataclass(frozen=True)
class AttemptContext:
    """Dependencies of all attempts."""

    header_codec: HeaderCodec
    loads: LoadView
    health: EndpointHealth
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
    may_retry_failure : bool
        Whether another attempt may follow a failure of the endpoint.
    """

    def __init__(
        self,
        context: AttemptContext,
        call: Call,
        placement: Placement,
        endpoint: DiscoveredEndpoint,
        sink: ResponseSink,
        framer: EventFramer | None,
        may_retry_failure: bool,
    ):
        self._context = context
        self._call = call
        self._placement = placement
        self._endpoint = endpoint
        self._sink = sink
        self._framer = framer
        self._may_retry_failure = may_retry_failure
        self._is_prefill_ended = False
        self._sent = False
        self._last_chunk_ms = 0.0
        self._last_event_ms = 0.0
        self._progress_timer: asyncio.TimerHandle | None = None
        self._gaps_ms: list[float] = []
        self._queued_tokens = context.loads.total(endpoint.id).unread_tokens
        self._started_ms = context.clock.now_ms()

    async def run(self) -> AttemptResult:
        """Send the request, forward the response and return the verdict."""
        try:
            return await self._run()
        except BaseException:
            if (
                self._sent
                and not self._is_prefill_ended
                and self._elapsed_ms() > _SILENT_ENDPOINT_MS
            ):
                self._context.health.record_failure(self._endpoint.id, "silent")
            raise
        finally:
            self._end_prefill()
            self._context.loads.end(self._endpoint.id)

    async def _run(self) -> AttemptResult:
        timeouts = self._timeouts()
        try:
            exchange = await Exchange.connect(self._endpoint.address, timeouts)
        except ConnectError as error:
            self._context.health.record_failure(
                self._endpoint.id, f"connect: {error.message}"
            )
            return AttemptResult(Verdict.NOT_RUN, f"connect: {error.message}")
        self._sent = True
        try:
            await exchange.send(self._request())
            return await self._handle_response(exchange)
        except PeerError as error:
            self._context.health.record_failure(
                self._endpoint.id, f"{error.step}: {error.message}"
            )
            verdict = Verdict.MAY_HAVE_RUN
            if self._sink.started:
                verdict = Verdict.BROKEN_OFF
            return AttemptResult(verdict, f"{error.step}: {error.message}")
        finally:
            exchange.close()

    def _request(self) -> ExchangeRequest:
        call = self._call
        remaining_ms = call.remaining_ms(self._context.clock.now_ms())
        headers = self._context.header_codec.endpoint_headers(
            call, self._endpoint, remaining_ms, self._placement.fetch_from
        )
        return ExchangeRequest(call.method, call.target, headers, call.body)

    def _timeouts(self) -> ExchangeTimeouts:
        call = self._call
        remaining_ms = max(1.0, call.remaining_ms(self._context.clock.now_ms()))
        first_ms = idle_ms = remaining_ms
        if self._may_retry_failure:
            first_byte_timeout_ms = max(
                _MIN_FIRST_BYTE_TIMEOUT_MS,
                _FIRST_BYTE_TIMEOUT_FACTOR * call.route.objective_ms,
            )
            first_ms = min(first_ms, first_byte_timeout_ms)
        if self._framer is not None:
            idle_ms = min(idle_ms, _STREAM_IDLE_TIMEOUT_MS)
        return ExchangeTimeouts(
            connect_ms=min(self._context.connect_ms, remaining_ms),
            first_byte_ms=first_ms,
            idle_ms=idle_ms,
        )

    async def _handle_response(self, exchange: Exchange) -> AttemptResult:
        header_codec = self._context.header_codec
        status, headers = exchange.status, exchange.headers
        if header_codec.proves_not_run(status, headers):
            return AttemptResult(Verdict.NOT_RUN, "endpoint refused", status)
        if not header_codec.is_genuine(self._call, status, headers):
            return AttemptResult(Verdict.MAY_HAVE_RUN, "answer of another", status)
        if self._sink.started and status != 200:
            return AttemptResult(Verdict.BROKEN_OFF, "resume refused", status)
        if status >= 500 and self._may_retry_failure:
            return AttemptResult(Verdict.MAY_HAVE_RUN, "endpoint failed", status)
        if not self._sink.started:
            self._sink.start(status, self._response_headers(exchange))
        await self._forward_body(exchange)
        self._context.health.record_answer(self._endpoint.id)
        return AttemptResult(Verdict.ANSWERED, status=status)

    def _response_headers(self, exchange: Exchange) -> HTTPHeaders:
        headers = self._context.header_codec.caller_headers(exchange.headers)
        length = exchange.headers.get("Content-Length")
        if length is not None:
            headers["Content-Length"] = length
        return headers

    async def _forward_body(self, exchange: Exchange) -> None:
        self._sink.set_flow_control(exchange.pause, exchange.resume)
        self._last_event_ms = self._context.clock.now_ms()
        if self._framer is not None and _is_event_stream(exchange):
            self._watch_progress(exchange)
        try:
            await exchange.forward(self._forward_chunk)
        finally:
            if self._progress_timer is not None:
                self._progress_timer.cancel()
        self._context.health.record_event_gaps(self._endpoint.id, self._gaps_ms)
        if self._framer is not None and (rest := self._framer.finish()):
            self._sink.write(rest)

    def _forward_chunk(self, chunk: bytes) -> None:
        now_ms = self._context.clock.now_ms()
        if not self._is_prefill_ended:
            self._record_first_event()
            self._call.record_first_event(now_ms)
        else:
            gap_ms = now_ms - self._last_chunk_ms
            self._call.record_pause(gap_ms)
            self._gaps_ms.append(gap_ms)
        self._last_chunk_ms = now_ms
        piece = chunk if self._framer is None else self._framer.feed(chunk)
        if piece:
            self._last_event_ms = now_ms
            self._sink.write(piece)

    def _watch_progress(self, exchange: Exchange) -> None:
        """Abort the exchange when its stream has no complete event for too long.

        An endpoint that stalls may go on sending single bytes, which end the idle
        time-out of the connection. The time for which the caller reads too slowly does
        not count.
        """
        now_ms = self._context.clock.now_ms()
        if exchange.is_paused:
            self._last_event_ms = now_ms
        left_ms = self._last_event_ms + _STREAM_IDLE_TIMEOUT_MS - now_ms
        if left_ms <= 0.0:
            message = "no complete event within the idle timeout"
            exchange.abort(PeerTimeoutError(message, step="body", peer=exchange.peer))
            return
        loop = asyncio.get_running_loop()
        self._progress_timer = loop.call_later(
            left_ms / 1000.0, self._watch_progress, exchange
        )

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
    return exchange.status == 200 and content_type.startswith("text/event-stream")
