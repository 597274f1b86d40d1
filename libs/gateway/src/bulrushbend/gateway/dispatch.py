"""Runs a request: places it, makes an attempt, and decides whether to retry."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from bulrushbend.core.budget import RetryBudget
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway import metrics
from bulrushbend.gateway.attempt import (
    Attempt,
    AttemptContext,
    AttemptResult,
    Successor,
    Verdict,
)
from bulrushbend.gateway.budgets import RetryBudgets
from bulrushbend.gateway.call import (
    QUARANTINED,
    REQUEST_QUARANTINED,
    Call,
    Placement,
    RequestError,
    draining_error,
    not_run_error,
    outcome_unknown_error,
    quarantine_error,
)
from bulrushbend.gateway.demand import Demand, demand_of
from bulrushbend.gateway.endpoints import DiscoveredEndpoint, EndpointDirectory
from bulrushbend.gateway.quarantine import PromptQuarantine
from bulrushbend.gateway.request_quarantine import RequestQuarantine
from bulrushbend.gateway.sink import ResponseSink
from bulrushbend.gateway.trials import TRIAL_RETRY_MS
from bulrushbend.wire.buffer_budget import BufferBudget
from bulrushbend.wire.eventstream import EventFramer

# Maximum number of attempts that did not run and are followed by another one.
_MAX_REFUSALS = 3
# Incomplete events of all resumable streams together.
_MAX_EVENT_BYTES = 1 << 23
# Remaining time below which no further attempt is made.
_MIN_TIME_FOR_RETRY_MS = 30.0
_REFUSED_RETRY_AFTER_MS = 500.0
# Retry-After is at most this fraction of the remaining time of the caller: a request
# repeated later could not end in time either.
_MAX_RETRY_AFTER_SHARE = 0.5
# Interval at which a request looks for the result of a trial.
_TRIAL_POLL_MS = 50.0


class ServicePlacement(Protocol):
    """Places the requests of one service."""

    async def place(self, demand: Demand) -> Placement:
        """Return the endpoint for a request; raises `RequestError` if there is none."""


class Dispatcher:
    """Runs requests at endpoints.

    Parameters
    ----------
    context : AttemptContext
        Dependencies of all attempts.
    directory : EndpointDirectory
        Current endpoints.
    placement_for : callable
        Returns the `ServicePlacement` of a service.
    budgets : RetryBudgets
        Retry budgets.
    quarantine : PromptQuarantine
        Prompts that are not sent to endpoints.
    request_quarantine : RequestQuarantine
        Requests that are not sent to endpoints.
    clock : Clock
        Source of time.
    events : EventLog
        Records failed attempts.
    """

    def __init__(
        self,
        context: AttemptContext,
        directory: EndpointDirectory,
        placement_for: Callable[[str], ServicePlacement],
        budgets: RetryBudgets,
        quarantine: PromptQuarantine,
        request_quarantine: RequestQuarantine,
        clock: Clock,
        events: EventLog,
    ):
        self._context = context
        self._directory = directory
        self._placement_for = placement_for
        self._budgets = budgets
        self._quarantine = quarantine
        self._request_quarantine = request_quarantine
        self._clock = clock
        self._events = events
        self._running: set[_RunningCall] = set()
        self._drain_deadline_ms = float("inf")
        self._event_budget = BufferBudget(_MAX_EVENT_BYTES)

    async def serve(self, call: Call, sink: ResponseSink) -> AttemptResult:
        """Run `call` and pass its response to `sink`.

        Raises
        ------
        RequestError
            No endpoint completed the request, and nothing was sent to the caller.
        """
        wait_ms = min(
            TRIAL_RETRY_MS,
            _MAX_RETRY_AFTER_SHARE * call.remaining_ms(self._clock.now_ms()),
        )
        call.trial_limit_ms = self._clock.now_ms() + wait_ms
        try:
            await self._pass_trials(call)
        except BaseException:
            self._end_trials(call)
            raise
        self._budgets.for_service(call.service).record_request()
        framer = EventFramer(self._event_budget) if call.route.resumable else None
        time_limit = asyncio.timeout(call.remaining_ms(self._clock.now_ms()) / 1000)
        running = _RunningCall(call, time_limit)
        self._running.add(running)
        try:
            async with time_limit:
                return await self._run_attempts(running, sink, framer)
        except TimeoutError:
            reason = "draining" if running.is_ended else "time limit"
            if sink.started:
                return AttemptResult(Verdict.BROKEN_OFF, reason)
            if not running.is_ended:
                message = "no answer within the time limit"
                raise RequestError(504, "time-limit", message) from None
            if not running.may_have_run:
                raise draining_error() from None
            message = "the gateway stops before the endpoint has answered"
            raise outcome_unknown_error(reason, message) from None
        finally:
            self._running.discard(running)
            if framer is not None:
                framer.close()
            self._end_trials(call)

    def begin_drain(self, deadline_ms: float) -> None:
        """Refuse the requests that wait for an endpoint and may outlast the drain.

        Such a request is not sent to an endpoint any more, and the repetition of one
        that was sent gets the time until the deadline only.

        Parameters
        ----------
        deadline_ms : float
            Time at which `end_requests` is going to be called.
        """
        self._drain_deadline_ms = deadline_ms
        for running in self._running:
            if running.call.limit_ms > deadline_ms and not running.may_have_run:
                running.end()

    def end_requests(self) -> None:
        """End all requests in progress because the process is about to stop.

        A request whose response has not started gets an error response.
        """
        for running in self._running:
            running.end()

    async def _run_attempts(
        self, running: "_RunningCall", sink: ResponseSink, framer: EventFramer | None
    ) -> AttemptResult:
        call = running.call
        refusals = 0
        withheld: set[str] = set()
        successor: Successor | None = None
        while True:
            if successor is None:
                self._check_drain(call)
                successor = Successor(await self._place(call, withheld))
            placement = successor.placement
            running.is_sent = True
            result = await self._attempt(call, successor, sink, framer)
            running.is_sent = False
            self._log_failure(call, placement, result)
            if result.verdict is Verdict.ANSWERED:
                return result
            if result.verdict is Verdict.WITHHELD:
                # A paused endpoint may be used when its pause ends meanwhile.
                if placement.endpoint not in self._context.notices.paused:
                    withheld.add(placement.endpoint)
                successor = None
                continue
            call.tried.add(placement.endpoint)
            if result.verdict is Verdict.NOT_RUN:
                refusals += 1
            else:
                call.uncertain_attempts += 1
            if sink.started and not _can_resume(framer):
                return result
            if result.successor is None and (
                result.is_suspect or not self._may_retry(call, result, refusals)
            ):
                return self._end_without_response(call, result, sink)
            successor = result.successor
            metrics.RETRIES.labels(call.service).inc()
            if framer is not None:
                framer.restart()
                call.last_event_id = framer.last_id or call.details.last_event_id

    async def _place(self, call: Call, withheld: set[str]) -> Placement:
        """Return a placement, after the trial at a coordinator if there is one."""
        while True:
            try:
                return await self._place_once(call, withheld)
            except RequestError as error:
                if not self._may_await_trial(call, error):
                    raise
            await self._clock.sleep_ms(_TRIAL_POLL_MS)

    async def _place_once(self, call: Call, withheld: set[str]) -> Placement:
        demand = demand_of(call, self._clock.now_ms())
        if withheld:
            avoided = demand.avoided | withheld
            demand = dataclasses.replace(demand, avoided=avoided)
        try:
            return await self._placement_for(call.service).place(demand)
        except RequestError as error:
            if call.uncertain_attempts:
                raise outcome_unknown_error(
                    "may-have-run", "an earlier try may have run"
                ) from error
            is_quarantined = error.code in (QUARANTINED, REQUEST_QUARANTINED)
            if error.retry_after_ms is not None and not is_quarantined:
                max_retry_after_ms = _MAX_RETRY_AFTER_SHARE * call.remaining_ms(
                    self._clock.now_ms()
                )
                error.retry_after_ms = min(
                    error.retry_after_ms, max(0.0, max_retry_after_ms)
                )
            raise

    async def _attempt(
        self,
        call: Call,
        successor: Successor,
        sink: ResponseSink,
        framer: EventFramer | None,
    ) -> AttemptResult:
        placement = successor.placement
        call.endpoint = placement.endpoint
        call.record_placement(self._clock.now_ms())
        call.coordinator = placement.coordinator
        endpoint = self._directory.get(placement.endpoint)
        try:
            self._check_quarantine(call)
            self._check_drain(call)
        except RequestError:
            self._release(successor)
            raise
        if endpoint is None:
            self._release(successor)
            return AttemptResult(Verdict.NOT_RUN, "endpoint gone")
        successors: _Successors | None = None
        if call.route.allows_retry and (
            call.uncertain_attempts + 1 < call.route.most_endpoints
        ):
            successors = _Successors(
                call,
                sink,
                framer,
                self._placement_for(call.service),
                self._budgets.for_service(call.service),
                self._context,
                self._directory,
            )
        attempt = Attempt(
            self._context,
            call,
            placement,
            endpoint,
            sink,
            framer,
            successors,
            successor.exchange,
        )
        return await attempt.run()

    def _release(self, successor: Successor) -> None:
        """Release an attempt that is not made."""
        self._context.loads.release(successor.placement)
        if successor.exchange is not None:
            successor.exchange.close()

    def _check_quarantine(self, call: Call) -> None:
        """Raise `RequestError` if a request or its prompt crashes endpoints."""
        code = QUARANTINED
        remaining_ms = self._quarantine.remaining_ms(call.shared_digests, call)
        if remaining_ms <= 0.0 and self._request_quarantine.has_quarantines:
            code = REQUEST_QUARANTINED
            remaining_ms = self._request_quarantine.remaining_ms(call.identity, call)
        if remaining_ms <= 0.0:
            return
        error = quarantine_error(remaining_ms, code)
        if call.uncertain_attempts:
            raise outcome_unknown_error(error.code, error.message)
        raise error

    async def _pass_trials(self, call: Call) -> None:
        """Raise `RequestError` if a request is quarantined; wait for a trial first.

        What is on trial may be sound. Its result is known within the time after which
        the caller would be asked to return.
        """
        while True:
            try:
                self._check_quarantine(call)
                return
            except RequestError as error:
                if not self._may_await_trial(call, error):
                    raise
            await self._clock.sleep_ms(_TRIAL_POLL_MS)

    def _may_await_trial(self, call: Call, error: RequestError) -> bool:
        """Return whether a refused request waits for the result of a trial."""
        return (
            error.code in (QUARANTINED, REQUEST_QUARANTINED)
            and error.retry_after_ms is not None
            and error.retry_after_ms <= TRIAL_RETRY_MS
            and self._clock.now_ms() < call.trial_limit_ms
        )

    def _end_trials(self, call: Call) -> None:
        """End the trials that a request has begun, whatever they showed."""
        self._quarantine.end_request(call)
        self._request_quarantine.end_request(call)

    def _check_drain(self, call: Call) -> None:
        """Raise `RequestError` if a request that did not run may outlast the drain."""
        if call.limit_ms <= self._drain_deadline_ms:
            return
        if not call.uncertain_attempts:
            raise draining_error()
        call.limit_ms = self._drain_deadline_ms

    def _may_retry(self, call: Call, result: AttemptResult, refusals: int) -> bool:
        limit_ms = min(call.limit_ms, self._drain_deadline_ms)
        if limit_ms - self._clock.now_ms() < _MIN_TIME_FOR_RETRY_MS:
            return False
        if result.verdict is Verdict.NOT_RUN:
            if refusals > _MAX_REFUSALS:
                return False
            # A failed connection costs no retry budget: no request reached an endpoint.
            was_reached = result.status != 0
            return (
                not was_reached or self._budgets.for_service(call.service).try_acquire()
            )
        if (
            not call.route.allows_retry
            or call.uncertain_attempts >= call.route.most_endpoints
        ):
            return False
        return self._budgets.for_service(call.service).try_acquire()

    def _end_without_response(
        self, call: Call, result: AttemptResult, sink: ResponseSink
    ) -> AttemptResult:
        if sink.started:
            return result
        if call.uncertain_attempts:
            raise outcome_unknown_error(
                "may-have-run", f"the endpoint gave no answer: {result.reason}"
            )
        raise not_run_error(
            503, "endpoint-refused", result.reason, _REFUSED_RETRY_AFTER_MS
        )

    def _log_failure(
        self, call: Call, placement: Placement, result: AttemptResult
    ) -> None:
        if result.verdict is Verdict.ANSWERED:
            return
        self._events.write(
            EventKind.ATTEMPT_FAILED,
            request_id=call.details.request_id,
            endpoint=placement.endpoint,
            verdict=result.verdict.value,
            reason=result.reason,
            status=result.status,
            list_age_ms=round(self._directory.age_ms),
        )


@dataclasses.dataclass(eq=False)
class _RunningCall:
    """A request in progress.

    Attributes
    ----------
    is_sent : bool
        Whether an attempt is in progress.
    is_ended : bool
        Whether the request was ended before its time limit.
    """

    call: Call
    time_limit: asyncio.Timeout
    is_sent: bool = False
    is_ended: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request, or may still do so."""
        return self.is_sent or self.call.uncertain_attempts > 0

    def end(self) -> None:
        """End the request, unless its time limit has been reached."""
        if not self.time_limit.expired():
            self.is_ended = True
            self.time_limit.reschedule(asyncio.get_running_loop().time())


class _Successors:
    """Reserves an endpoint and a retry for a request whose endpoint is silent."""

    def __init__(
        self,
        call: Call,
        sink: ResponseSink,
        framer: EventFramer | None,
        placement: ServicePlacement,
        budget: RetryBudget,
        context: AttemptContext,
        directory: EndpointDirectory,
    ):
        self._directory = directory
        self._call = call
        self._sink = sink
        self._framer = framer
        self._placement = placement
        self._budget = budget
        self._context = context

    async def reserve(self) -> Placement | None:
        """Return a placement at another endpoint, None if no retry is possible."""
        if self._sink.started and not _can_resume(self._framer):
            return None
        # Another endpoint may have run the request since the attempt began.
        if self._call.uncertain_attempts + 1 >= self._call.route.most_endpoints:
            return None
        now_ms = self._context.clock.now_ms()
        if self._call.remaining_ms(now_ms) < _MIN_TIME_FOR_RETRY_MS:
            return None
        if not self._budget.try_acquire():
            return None
        demand = demand_of(self._call, now_ms)
        avoided = demand.avoided | {self._call.endpoint}
        try:
            return await self._placement.place(
                dataclasses.replace(demand, avoided=avoided)
            )
        except RequestError:
            self._budget.release()
            return None
        except BaseException:
            self._budget.release()
            raise

    def endpoint_of(self, placement: Placement) -> DiscoveredEndpoint | None:
        """Return the endpoint of a placement, None if it is gone."""
        return self._directory.get(placement.endpoint)

    def release(self, placement: Placement) -> None:
        """Release a placement that is not used, and its retry."""
        self._context.loads.release(placement)
        self._budget.release()


def _can_resume(framer: EventFramer | None) -> bool:
    """Return whether a started response can be resumed after its last event."""
    return framer is not None and bool(framer.last_id)
