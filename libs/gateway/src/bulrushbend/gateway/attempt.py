"""One attempt of a request at one endpoint, and what it proves.

| what was seen | verdict |
| --- | --- |
| the connection was not made | not run |
| an answer that states that the request did not run | not run |
| a reset, an end or silence after the request was sent | may have run |
| bytes that are no answer, or the answer to another request | may have run |
| an endpoint's whole answer, also a failure | answered |
| an answer that ends early | broken off |
"""

import enum
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import ConnectFailed, PeerError
from bulrushbend.gateway.call import Call, Placement
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.gateway.header_codec import HeaderCodec
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.sink import ResponseSink
from bulrushbend.wire.eventstream import EventFramer
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts

# An endpoint that is silent for this multiple of the objective, but at least for the
# time below, is given up for a request that may be repeated. Callers of streams leave
# after four times the objective, so the second try needs the rest.
_PATIENCE_FACTOR = 2.5
_LEAST_PATIENCE_MS = 400.0
# A silent pause inside a stream after which the stream is resumed elsewhere. The pauses
# that count as on time are a quarter of it.
_STREAM_PATIENCE_MS = 1_200.0
# Silence before the first event of a request whose caller left, after which the
# endpoint and not the caller's impatience is the likely reason: the longest prompts
# take about 1 s to read.
_SILENCE_MS = 1_500.0
# Prompt tokens that an endpoint reads in a millisecond when nothing is known of it; the
# users' engines state 64, less what a busy one does besides.
READ_TOKENS_PER_MS = 50.0
# What an idle endpoint takes to its first event besides the prompt, with the network.
_FIRST_EVENT_MS = 60.0


class Verdict(enum.Enum):
    """What an attempt proves."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    BROKEN_OFF = "broken-off"


@dataclass(frozen=True)
class AttemptResult:
    """Verdict of an attempt with its reason and the status of the endpoint."""

    verdict: Verdict
    reason: str = ""
    status: int = 0


@dataclass(frozen=True)
class AttemptContext:
    """What all attempts share."""

    dialect: HeaderCodec
    loads: LoadView
    health: EndpointHealth
    clock: Clock
    connect_ms: float


class Attempt:
    """One attempt; `run` it once.

    Parameters
    ----------
    context : AttemptContext
        What all attempts share.
    call : Call
        The request.
    placement : Placement
        Endpoint and what is charged there; released by `run`.
    endpoint : DiscoveredEndpoint
        The endpoint.
    sink : ResponseSink
        Receives the answer.
    framer : EventFramer or None
        Cuts a resumable stream at event boundaries, over all its attempts.
    may_repeat_failure : bool
        Whether a failure of the endpoint can be answered by another attempt.
    """

    def __init__(
        self,
        context: AttemptContext,
        call: Call,
        placement: Placement,
        endpoint: DiscoveredEndpoint,
        sink: ResponseSink,
        framer: EventFramer | None,
        may_repeat_failure: bool,
    ):
        self._context = context
        self._call = call
        self._placement = placement
        self._endpoint = endpoint
        self._sink = sink
        self._framer = framer
        self._may_repeat_failure = may_repeat_failure
        self._is_read = False
        self._sent = False
        self._last_piece_ms = 0.0
        self._gaps_ms: list[float] = []
        self._ahead_tokens = context.loads.total(endpoint.id).unread_tokens
        self._started_ms = context.clock.now_ms()

    async def run(self) -> AttemptResult:
        """Send the request, pass the answer on and return the verdict."""
        try:
            return await self._run()
        except BaseException:
            if self._sent and not self._is_read and self._age_ms() > _SILENCE_MS:
                self._context.health.failed(self._endpoint.id, "silent")
            raise
        finally:
            self._note_read()
            self._context.loads.end(self._endpoint.id)

    async def _run(self) -> AttemptResult:
        timeouts = self._timeouts()
        try:
            exchange = await Exchange.connect(self._endpoint.address, timeouts)
        except ConnectFailed as error:
            self._context.health.failed(self._endpoint.id, f"connect: {error.message}")
            return AttemptResult(Verdict.NOT_RUN, f"connect: {error.message}")
        self._sent = True
        try:
            await exchange.send(self._request())
            return await self._take_answer(exchange)
        except PeerError as error:
            self._context.health.failed(
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
        headers = self._context.dialect.endpoint_headers(
            call, self._endpoint, remaining_ms, self._placement.fetch_from
        )
        return ExchangeRequest(call.method, call.target, headers, call.body)

    def _timeouts(self) -> ExchangeTimeouts:
        call = self._call
        remaining_ms = max(1.0, call.remaining_ms(self._context.clock.now_ms()))
        first_ms = idle_ms = remaining_ms
        if self._may_repeat_failure:
            patience_ms = max(
                _LEAST_PATIENCE_MS, _PATIENCE_FACTOR * call.route.objective_ms
            )
            first_ms = min(first_ms, patience_ms)
        if self._framer is not None:
            idle_ms = min(idle_ms, _STREAM_PATIENCE_MS)
        return ExchangeTimeouts(
            connect_ms=min(self._context.connect_ms, remaining_ms),
            first_byte_ms=first_ms,
            idle_ms=idle_ms,
        )

    async def _take_answer(self, exchange: Exchange) -> AttemptResult:
        dialect = self._context.dialect
        status, headers = exchange.status, exchange.headers
        if dialect.proves_not_run(status, headers):
            return AttemptResult(Verdict.NOT_RUN, "endpoint refused", status)
        if not dialect.is_genuine(self._call, status, headers):
            return AttemptResult(Verdict.MAY_HAVE_RUN, "answer of another", status)
        if self._sink.started and status != 200:
            return AttemptResult(Verdict.BROKEN_OFF, "resume refused", status)
        if status >= 500 and self._may_repeat_failure:
            return AttemptResult(Verdict.MAY_HAVE_RUN, "endpoint failed", status)
        if not self._sink.started:
            self._sink.start(status, self._answer_headers(exchange))
        await self._pass_body(exchange)
        self._context.health.answered(self._endpoint.id)
        return AttemptResult(Verdict.ANSWERED, status=status)

    def _answer_headers(self, exchange: Exchange) -> HTTPHeaders:
        headers = self._context.dialect.caller_headers(exchange.headers)
        length = exchange.headers.get("Content-Length")
        if length is not None:
            headers["Content-Length"] = length
        return headers

    async def _pass_body(self, exchange: Exchange) -> None:
        self._sink.set_flow_control(exchange.pause, exchange.resume)
        await exchange.forward(self._take_piece)
        self._context.health.streamed(self._endpoint.id, self._gaps_ms)
        if self._framer is not None and (rest := self._framer.finish()):
            self._sink.write(rest)

    def _take_piece(self, chunk: bytes) -> None:
        now_ms = self._context.clock.now_ms()
        if not self._is_read:
            self._note_first_event()
            self._call.record_first_event(now_ms)
        else:
            gap_ms = now_ms - self._last_piece_ms
            self._call.record_pause(gap_ms)
            self._gaps_ms.append(gap_ms)
        self._last_piece_ms = now_ms
        piece = chunk if self._framer is None else self._framer.feed(chunk)
        if piece:
            self._sink.write(piece)

    def _note_first_event(self) -> None:
        tokens = self._ahead_tokens + self._placement.unread_tokens
        expected_ms = _FIRST_EVENT_MS + tokens / READ_TOKENS_PER_MS
        self._context.health.took(self._endpoint.id, self._age_ms(), expected_ms)
        self._note_read()

    def _note_read(self) -> None:
        if not self._is_read:
            self._is_read = True
            self._context.loads.read(self._endpoint.id, self._placement.unread_tokens)

    def _age_ms(self) -> float:
        return self._context.clock.now_ms() - self._started_ms
