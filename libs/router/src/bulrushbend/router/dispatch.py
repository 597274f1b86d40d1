"""Matching of claims with queued requests, attempts and retries."""

import asyncio
from collections import OrderedDict

from bulrushbend.core.budget import RetryBudget
from bulrushbend.core.errors import (
    OutcomeUnknownError,
    RequestFailedError,
    RequestNotRunError,
    outer_name_of,
)
from bulrushbend.core.events import EventKind
from bulrushbend.core.logs import get_logger
from bulrushbend.router import metrics
from bulrushbend.router.attempt import Attempt, AttemptContext, DeadlineExceededError
from bulrushbend.router.errors import RequestEndedError, failed, not_run, unknown
from bulrushbend.router.link import AgentLink
from bulrushbend.router.queue import Reservation, WaitingQueues
from bulrushbend.router.request import CallerRequest, Grant
from bulrushbend.router.sinks import AnswerSink
from bulrushbend.wire.names import AttemptState

_log = get_logger("router.dispatch")

# Claim ids that are kept to recognise repeated claims.
_MAX_KNOWN_CLAIMS = 10_000
# Limits the number of endpoints that a request which crashes endpoints can reach.
_MAX_RETRIES = 2
# Ends the loop in which an agent claims a request and refuses it again.
_MAX_REQUEUES = 100
_NOT_STARTED = AttemptState.NOT_STARTED
# Checks of each running attempt per stall time-out.
_CHECKS_PER_STALL = 4


class Dispatcher:
    """Matches claims with waiting requests and runs the attempts.

    Parameters
    ----------
    context : AttemptContext
        Dependencies shared by all attempts.
    queues : WaitingQueues
        Queues of the waiting requests.
    """

    def __init__(self, context: AttemptContext, queues: WaitingQueues):
        self._context = context
        self._queues = queues
        self._budget = RetryBudget()
        self._known_claims: OrderedDict[str, None] = OrderedDict()
        self._running: set[Attempt] = set()
        self._cancellations: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Number of attempts in progress."""
        return len(self._running)

    @property
    def budget(self) -> RetryBudget:
        """Retry budget of this router."""
        return self._budget

    def handle_claim(self, link: AgentLink, attempt_id: str, team: str) -> None:
        """Assign a waiting request to the claim, or report a miss to the agent."""
        if attempt_id in self._known_claims:
            return
        self._known_claims[attempt_id] = None
        if len(self._known_claims) > _MAX_KNOWN_CLAIMS:
            self._known_claims.popitem(last=False)
        grant = Grant(attempt_id, link)
        request = self._queues.dequeue(link.service, team, grant, link.recent_prefixes)
        if request is None:
            link.backlog_changed(team, False)
            link.send_miss(attempt_id)
        metrics.CLAIMS.labels("taken" if request else "missed").inc()

    async def serve(
        self, request: CallerRequest, reservation: Reservation, sink: AnswerSink
    ) -> None:
        """Queue `request`, run it and forward its answer to `sink`.

        Parameters
        ----------
        request : CallerRequest
            Admitted request.
        reservation : Reservation
            Its reservation in the queues.
        sink : AnswerSink
            Receives the answer.

        Raises
        ------
        RequestEndedError
            The request ended without a complete answer of an endpoint.
        """
        self._budget.record_request()
        retries = requeues = 0
        at_head = False
        earlier_error: OutcomeUnknownError | RequestFailedError | None = None
        while True:
            try:
                grant = await self._queues.wait(request, reservation, at_head=at_head)
            except RequestEndedError:
                # An earlier attempt may have run, so the outcome is not "not run".
                if earlier_error is not None:
                    raise _to_request_error(earlier_error) from None
                raise
            waited_ms = self._context.clock.now_ms() - request.admitted_ms
            metrics.WAIT_SECONDS.observe(waited_ms / 1000.0)
            at_head = True
            try:
                await self._run(request, grant, sink)
                return
            except RequestNotRunError as error:
                self._record_requeue(request, grant, error)
                requeues += 1
                if requeues > _MAX_REQUEUES:
                    raise self._not_started_error(
                        request, earlier_error, error
                    ) from None
            except (OutcomeUnknownError, RequestFailedError) as error:
                if sink.started or not self._may_retry(request, retries, error):
                    raise _to_request_error(error) from None
                earlier_error = error
                retries += 1
                metrics.RETRIES.labels(outer_name_of(error)).inc()

    async def watch_stalls(self) -> None:
        """Check all running attempts for stalls periodically until cancelled."""
        clock = self._context.clock
        while True:
            await clock.sleep_ms(self._context.settings.stall_ms / _CHECKS_PER_STALL)
            for attempt in list(self._running):
                attempt.check_stall(clock.now_ms())

    async def _run(
        self, request: CallerRequest, grant: Grant, sink: AnswerSink
    ) -> None:
        attempt = Attempt(self._context, request, grant)
        self._running.add(attempt)
        try:
            await attempt.run(sink)
        except DeadlineExceededError:
            if (
                await attempt.stop_unless_started(cancel=request.idempotent)
                is _NOT_STARTED
            ):
                raise RequestNotRunError(
                    "the deadline passed before the start"
                ) from None
            raise
        except OutcomeUnknownError:
            if request.idempotent:
                self._cancel_in_background(attempt)
            raise
        except asyncio.CancelledError:
            if request.idempotent:
                self._cancel_in_background(attempt)
            raise
        finally:
            self._running.discard(attempt)

    def _cancel_in_background(self, attempt: Attempt) -> None:
        """Cancel an attempt at its agent without delaying the caller."""
        task = asyncio.create_task(attempt.cancel())
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)

    def _may_retry(
        self, request: CallerRequest, retries: int, error: Exception
    ) -> bool:
        if not request.idempotent or isinstance(error, DeadlineExceededError):
            return False
        return retries < _MAX_RETRIES and self._budget.try_acquire()

    def _not_started_error(
        self,
        request: CallerRequest,
        earlier_error: OutcomeUnknownError | RequestFailedError | None,
        error: RequestNotRunError,
    ) -> RequestEndedError:
        if earlier_error is not None:
            return _to_request_error(earlier_error)
        delay_ms = self._queues.retry_after_ms(request.service, request.team)
        return not_run(503, "not-started", error.message, delay_ms)

    def _record_requeue(
        self, request: CallerRequest, grant: Grant, error: RequestNotRunError
    ) -> None:
        self._context.events.write(
            EventKind.REQUEST_REQUEUED,
            request_id=request.request_id,
            attempt_id=grant.attempt_id,
            team=request.team,
            peer=grant.link.agent,
            reason=error.message,
        )


def _to_request_error(
    error: OutcomeUnknownError | RequestFailedError,
) -> RequestEndedError:
    if isinstance(error, DeadlineExceededError):
        return unknown("deadline", "the deadline passed while the request ran")
    if isinstance(error, RequestFailedError):
        return failed("endpoint-failed", error.message)
    return unknown("answer-lost", error.message)
