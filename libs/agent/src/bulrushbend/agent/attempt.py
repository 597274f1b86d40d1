"""One attempt: the execution of a request at the endpoint, and its answer."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncGenerator
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from bulrushbend.agent import metrics
from bulrushbend.agent.endpoint import Endpoint
from bulrushbend.agent.errors import ReaderStalledError
from bulrushbend.agent.replay import ReplayBuffer
from bulrushbend.agent.resume import (
    ResumingStream,
    is_event_stream,
    iter_whole_stream,
)
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import (
    ConnectError,
    PeerError,
    PeerProtocolError,
    RequestFailedError,
)
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.identity import Identity
from bulrushbend.core.logs import get_logger
from bulrushbend.wire.exchange import STATUSES_WITHOUT_BODY, Exchange, ExchangeRequest
from bulrushbend.wire.names import AttemptState

_log = get_logger("agent.attempt")


class FailureKind(enum.StrEnum):
    """Outcome of an attempt that failed before the headers of its answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(frozen=True)
class AttemptRequest:
    """Request that a router asks the agent to run.

    Attributes
    ----------
    attempt_id : str
        Id of the claim, also used as the stream id at the endpoint.
    request_id : str
        Id of the caller's request, for the event log.
    team : str
        Team that is charged.
    router : Identity
        Router to which the caller is connected.
    idempotent : bool
        Whether the request may be cancelled and retried.
    resumable : bool
        Whether the service can resume event streams.
    deadline_ms : float
        Time in milliseconds until the deadline, by which the answer must start.
    forward : ExchangeRequest
        HTTP request to send to the endpoint.
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
    """Failure of an attempt before the headers of its answer."""

    kind: FailureKind
    reason: str


class Attempt:
    """Runs one request at the endpoint, independently of the router's connections.

    Parameters
    ----------
    request : AttemptRequest
        Request to run.
    endpoint : Endpoint
        Endpoint that runs it.
    body : ReplayBuffer
        Buffer for the body of the answer.
    clock : Clock
        Source of time.
    events : EventLog
        Event log for resumes and the end of the attempt.
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
        self._head_ready = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._cancel_reason = ""

    @property
    def request(self) -> AttemptRequest:
        """Request that is run."""
        return self._request

    @property
    def body(self) -> ReplayBuffer:
        """Body of the answer."""
        return self._body

    @property
    def state(self) -> AttemptState:
        """Current state."""
        return self._state

    @property
    def failure(self) -> Failure | None:
        """Failure before the headers of the answer, None if there is none."""
        return self._failure

    async def head(self) -> AnswerHead | None:
        """Wait for the headers; return None if `failure` is set instead."""
        await self._head_ready.wait()
        return self._head

    def start(self) -> asyncio.Task[None]:
        """Start to run the request; its slot may be released when the task ends."""
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._handle_never_run)
        return self._task

    def cancel(self, reason: str) -> None:
        """Cancel the request at the endpoint; its answer ends truncated."""
        if self._state is AttemptState.RUNNING and self._task is not None:
            self._cancel_reason = reason
            self._task.cancel()

    async def wait(self) -> None:
        """Wait until the attempt has ended."""
        if self._task is not None:
            await asyncio.wait({self._task})

    async def _run(self) -> None:
        try:
            await self._forward()
        except asyncio.CancelledError:
            reason = self._cancel_reason or "agent stops"
            self._end(AttemptState.CANCELLED, FailureKind.UNKNOWN, reason)
            self._endpoint.cancel(self._request.attempt_id)
        except TimeoutError:
            self._end(AttemptState.CANCELLED, FailureKind.UNKNOWN, "deadline passed")
            self._endpoint.cancel(self._request.attempt_id)
        except ReaderStalledError as error:
            self._end(AttemptState.CANCELLED, FailureKind.UNKNOWN, str(error))
            self._endpoint.cancel(self._request.attempt_id)
        except ConnectError as error:
            kind = FailureKind.UNKNOWN if self._head else FailureKind.NOT_RUN
            self._end(AttemptState.FINISHED, kind, str(error))
        except PeerError as error:
            self._end(AttemptState.FINISHED, FailureKind.UNKNOWN, str(error))
        except RequestFailedError as error:
            self._end(AttemptState.FINISHED, FailureKind.FAILED, str(error))
        except Exception as error:
            self._end(AttemptState.FINISHED, FailureKind.UNKNOWN, repr(error))
            raise
        else:
            self._succeed()

    async def _forward(self) -> None:
        async with asyncio.timeout(self._request.deadline_ms / 1000.0):
            exchange = await self._endpoint.open(self._request.forward)
        try:
            self._check_answer(exchange)
            self._head = AnswerHead(exchange.status, exchange.headers)
            self._head_ready.set()
            async with contextlib.aclosing(self._iter_body(exchange)) as body_chunks:
                async for chunk in body_chunks:
                    await self._store(chunk)
        finally:
            exchange.close()

    def _check_answer(self, exchange: Exchange) -> None:
        self._check_identity(exchange)
        self._check_framing(exchange)

    def _check_identity(self, exchange: Exchange) -> None:
        """Refuse an answer that the endpoint marks as belonging to another request."""
        answer_id = exchange.headers.get("X-Request-Id")
        if answer_id is not None and answer_id != self._request.attempt_id:
            raise PeerProtocolError("answer to another request", step="headers")

    def _check_framing(self, exchange: Exchange) -> None:
        """Refuse an answer delimited by the end of the connection.

        If such an answer were truncated, it would look complete.
        """
        has_no_body = self._request.forward.method == "HEAD" or (
            exchange.status in STATUSES_WITHOUT_BODY
        )
        headers = exchange.headers
        if has_no_body or "Content-Length" in headers or "Transfer-Encoding" in headers:
            return
        raise RequestFailedError(
            "answer has neither a length nor chunks", step="headers"
        )

    def _iter_body(self, exchange: Exchange) -> AsyncGenerator[bytes, None]:
        is_head_request = self._request.forward.method == "HEAD"
        if is_head_request or not is_event_stream(exchange):
            return exchange.chunks()
        if not self._request.resumable:
            return iter_whole_stream(exchange)
        stream = ResumingStream(
            self._endpoint,
            self._request.attempt_id,
            self._check_answer,
            self._record_resume,
            self._clock,
        )
        return stream.iter_events(exchange)

    async def _store(self, chunk: bytes) -> None:
        try:
            await self._body.append(chunk)
        except ReaderStalledError as error:
            if self._request.idempotent:
                raise
            # The request must not be retried, so it runs to its end. Its answer is
            # discarded, because the replay buffer has no room for it.
            _log.warning(
                "discarding the answer of request %s, which runs to its end: %s",
                self._request.request_id,
                error,
            )
            self._body.discard()

    def _record_resume(self, last_event_id: str, cause: PeerError) -> None:
        self._events.write(
            EventKind.ATTEMPT_RESUMED,
            attempt_id=self._request.attempt_id,
            request_id=self._request.request_id,
            last_event_id=last_event_id,
            reason=str(cause),
        )

    def _handle_never_run(self, task: asyncio.Task[None]) -> None:
        """End an attempt that was cancelled before its task began to run."""
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
        self._head_ready.set()
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
