"""One attempt: a request that runs at the endpoint, and its answer."""

import asyncio
import enum
from collections.abc import AsyncIterator
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from bulrushbend.agent import metrics
from bulrushbend.agent.endpoint import Endpoint
from bulrushbend.agent.errors import ReaderStalled
from bulrushbend.agent.eventstream import EventFramer
from bulrushbend.agent.replay import ReplayBuffer
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import (
    ConnectFailed,
    PeerError,
    PeerSilent,
    ProtocolFault,
    TruncatedAnswer,
)
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.identity import Identity
from bulrushbend.core.logs import part_logger
from bulrushbend.wire.exchange import Exchange, ExchangeRequest
from bulrushbend.wire.names import AttemptState

_log = part_logger("agent.attempt")

_FIRST_RESUME_PAUSE_MS = 20.0
_LAST_RESUME_PAUSE_MS = 500.0


class FailureKind(enum.StrEnum):
    """What is known about a request whose answer has no headers."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(frozen=True)
class AttemptRequest:
    """What a router asks to run.

    Attributes
    ----------
    attempt_id : str
        Id of the claim that the request answers; names the stream at the endpoint.
    request_id : str
        Id of the caller's request, for the event log.
    team : str
        Team that is charged.
    router : Identity
        Router that holds the caller.
    idempotent : bool
        Whether the request may be cancelled and repeated.
    resumable : bool
        Whether the service resumes event streams.
    deadline_ms : float
        Remaining time in milliseconds.
    forward : ExchangeRequest
        Request to the endpoint.
    """

    attempt_id: str
    request_id: str
    team: str
    router: Identity
    idempotent: bool
    resumable: bool
    deadline_ms: float
    forward: ExchangeRequest


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of the endpoint's answer."""

    status: int
    headers: HTTPHeaders


@dataclass(frozen=True)
class Failure:
    """Why an attempt ended without headers."""

    kind: FailureKind
    reason: str


class Attempt:
    """Runs one request at the endpoint, apart from the router's connections.

    Parameters
    ----------
    request : AttemptRequest
        What to run.
    endpoint : Endpoint
        Where to run it.
    body : ReplayBuffer
        Receives the body of the answer.
    clock : Clock
        Source of time.
    events : EventLog
        Receives resumes and the end of the attempt.
    """

    def __init__(
        self,
        request: AttemptRequest,
        endpoint: Endpoint,
        body: ReplayBuffer,
        clock: Clock,
        events: EventLog,
    ):
        self._request = request
        self._endpoint = endpoint
        self._body = body
        self._clock = clock
        self._events = events
        self._state = AttemptState.RUNNING
        self._head: AnswerHead | None = None
        self._failure: Failure | None = None
        self._head_known = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._cancel_reason = ""

    @property
    def request(self) -> AttemptRequest:
        """What runs."""
        return self._request

    @property
    def body(self) -> ReplayBuffer:
        """Body of the answer."""
        return self._body

    @property
    def state(self) -> AttemptState:
        """Running, finished or cancelled."""
        return self._state

    @property
    def failure(self) -> Failure | None:
        """Why the attempt ended without headers, or None."""
        return self._failure

    async def head(self) -> AnswerHead | None:
        """Wait for the headers; None means that `failure` is set."""
        await self._head_known.wait()
        return self._head

    def start(self) -> asyncio.Task[None]:
        """Start to run the request; the task ends when the slot is free."""
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._note_never_run)
        return self._task

    def cancel(self, reason: str) -> None:
        """Stop the request at the endpoint; what follows is not its answer."""
        if self._state is AttemptState.RUNNING and self._task is not None:
            self._cancel_reason = reason
            self._task.cancel()

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(self._request.deadline_ms / 1000.0):
                await self._forward()
        except asyncio.CancelledError:
            reason = self._cancel_reason or "agent stops"
            self._end(AttemptState.CANCELLED, FailureKind.UNKNOWN, reason)
            self._endpoint.cancel(self._request.attempt_id)
        except TimeoutError:
            self._end(AttemptState.CANCELLED, FailureKind.UNKNOWN, "deadline passed")
            self._endpoint.cancel(self._request.attempt_id)
        except ReaderStalled as error:
            self._end(AttemptState.CANCELLED, FailureKind.UNKNOWN, str(error))
            self._endpoint.cancel(self._request.attempt_id)
        except ConnectFailed as error:
            kind = FailureKind.UNKNOWN if self._head else FailureKind.NOT_RUN
            self._end(AttemptState.FINISHED, kind, str(error))
        except PeerError as error:
            self._end(AttemptState.FINISHED, FailureKind.UNKNOWN, str(error))
        except Exception as error:
            self._end(AttemptState.FINISHED, FailureKind.UNKNOWN, repr(error))
            raise
        else:
            self._succeed()

    async def _forward(self) -> None:
        exchange = await self._endpoint.open(self._request.forward)
        try:
            self._check_identity(exchange)
            self._head = AnswerHead(exchange.status, exchange.headers)
            self._head_known.set()
            if self._can_resume(exchange):
                await self._copy_events(exchange)
            else:
                await self._copy_pieces(exchange.chunks())
        finally:
            exchange.close()

    def _check_identity(self, exchange: Exchange) -> None:
        """Refuse an answer that the endpoint itself marks as another request's."""
        named = exchange.headers.get("X-Request-Id")
        if named is not None and named != self._request.attempt_id:
            raise ProtocolFault("answer to another request", step="headers")

    def _can_resume(self, exchange: Exchange) -> bool:
        return self._request.resumable and _is_event_stream(exchange)

    async def _copy_pieces(self, pieces: AsyncIterator[bytes]) -> None:
        async for piece in pieces:
            await self._store(piece)

    async def _store(self, piece: bytes) -> None:
        try:
            await self._body.put(piece)
        except ReaderStalled as error:
            if self._request.idempotent:
                raise
            # The request must not be repeated, so it runs to its end; its answer
            # is given up, since no memory is left for it.
            _log.warning(
                "answer of %s is discarded: %s", self._request.request_id, error
            )
            self._body.discard()

    async def _copy_events(self, exchange: Exchange) -> None:
        framer = EventFramer()
        while True:
            try:
                async for piece in exchange.chunks():
                    events = framer.feed(piece)
                    if events:
                        await self._store(events)
                rest = framer.finish()
                if rest:
                    await self._store(rest)
                return
            except (TruncatedAnswer, PeerSilent) as error:
                exchange.close()
                exchange = await self._resume(framer, error)
            finally:
                exchange.close()

    async def _resume(self, framer: EventFramer, cause: PeerError) -> Exchange:
        """Reconnect to the stream; raise `cause` when the endpoint cannot."""
        give_up_ms = self._clock.now_ms() + self._endpoint.idle_ms
        pause_ms = _FIRST_RESUME_PAUSE_MS
        while self._clock.now_ms() < give_up_ms:
            try:
                exchange = await self._endpoint.resume(
                    self._request.attempt_id, framer.last_id
                )
            except PeerError:
                await self._clock.sleep_ms(pause_ms)
                pause_ms = min(2 * pause_ms, _LAST_RESUME_PAUSE_MS)
                continue
            self._check_identity(exchange)
            if exchange.status != 200 or not _is_event_stream(exchange):
                exchange.close()
                raise cause
            framer.restart()
            metrics.RESUMES.inc()
            self._events.write(
                EventKind.ATTEMPT_RESUMED,
                attempt_id=self._request.attempt_id,
                request_id=self._request.request_id,
                last_event_id=framer.last_id,
                reason=str(cause),
            )
            return exchange
        raise cause

    def _note_never_run(self, task: asyncio.Task[None]) -> None:
        """End an attempt that was cancelled before its task took the first step."""
        if self._state is AttemptState.RUNNING:
            reason = self._cancel_reason or "agent stops"
            self._end(AttemptState.CANCELLED, FailureKind.NOT_RUN, reason)

    def _succeed(self) -> None:
        self._state = AttemptState.FINISHED
        self._body.finish(complete=True)
        self._write_end(EventKind.ATTEMPT_FINISHED, "finished")

    def _end(self, state: AttemptState, kind: FailureKind, reason: str) -> None:
        self._state = state
        if self._head is None:
            self._failure = Failure(kind, reason)
        self._head_known.set()
        self._body.finish(complete=False)
        if state is AttemptState.CANCELLED:
            self._write_end(EventKind.ATTEMPT_CANCELLED, "cancelled", reason=reason)
        else:
            self._write_end(EventKind.ATTEMPT_FAILED, str(kind), reason=reason)

    def _write_end(self, kind: EventKind, outcome: str, **fields: str) -> None:
        metrics.ATTEMPTS.labels(outcome).inc()
        self._events.write(
            kind,
            attempt_id=self._request.attempt_id,
            request_id=self._request.request_id,
            team=self._request.team,
            produced=self._body.produced,
            **fields,
        )


def _is_event_stream(exchange: Exchange) -> bool:
    content_type = exchange.headers.get("Content-Type", "")
    return exchange.status == 200 and content_type.startswith("text/event-stream")
