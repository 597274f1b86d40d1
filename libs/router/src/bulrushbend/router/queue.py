"""Bounded queues of waiting requests, one for each service and team."""

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.manifest import Limits
from bulrushbend.router.affinity import RecentPrefixes, choose_request
from bulrushbend.router.errors import RequestEndedError, caller_disconnected, not_run
from bulrushbend.router.rate import ServiceRate
from bulrushbend.router.request import CallerRequest, Grant

# Called with service, team and whether the queue has just become non-empty.
BacklogListener = Callable[[str, str, bool], None]


@dataclass(frozen=True)
class Backlog:
    """Waiting requests of one team for one service.

    Attributes
    ----------
    waiting : int
        Number of requests.
    oldest_admitted_ms : float
        Monotonic time at which the oldest request was admitted, in milliseconds.
    """

    waiting: int
    oldest_admitted_ms: float


class Reservation:
    """Reservation of room for one request, held from admission until a claim."""

    def __init__(self, queues: "WaitingQueues", team: str):
        self._queues = queues
        self._team = team
        self._held = True

    def release(self) -> None:
        """Release the reservation; further calls do nothing."""
        if self._held:
            self._held = False
            self._queues._remove_reservation(self._team)

    def reacquire(self) -> None:
        """Acquire the reservation again, even above the limits.

        A request that returns to its queue was admitted before and is not refused.
        """
        if not self._held:
            self._held = True
            self._queues._add_reservation(self._team)


class WaitingQueues:
    """Requests that wait for a claim.

    The limits count requests from their admission, before the body is read. This bounds
    the memory of a flood of requests to the limit times the largest body.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._limits = Limits()
        self._queues: dict[tuple[str, str], OrderedDict[str, CallerRequest]] = {}
        self._reservations: Counter[str] = Counter()
        self._total_reservations = 0
        self._rates: dict[str, ServiceRate] = {}
        self._listeners: list[BacklogListener] = []

    @property
    def waiting(self) -> int:
        """Number of reservations held."""
        return self._total_reservations

    def set_limits(self, limits: Limits) -> None:
        """Apply new limits; requests that are already admitted stay."""
        self._limits = limits

    def listen(self, listener: BacklogListener) -> None:
        """Call `listener` after each change of a queue."""
        self._listeners.append(listener)

    def reserve(self, team: str) -> Reservation:
        """Reserve room for a request of `team`.

        Raises
        ------
        RequestEndedError
            Status 429 if the limit of the team or of the router is reached.
        """
        if self._reservations[team] >= self._limits.waiting_per_team:
            raise self._queue_full_error(
                "team-queue-full", "too many requests of the team wait", team
            )
        if self._total_reservations >= self._limits.waiting_per_router:
            raise self._queue_full_error(
                "router-queue-full", "too many requests wait", team
            )
        self._add_reservation(team)
        return Reservation(self, team)

    async def wait(
        self, request: CallerRequest, reservation: Reservation, *, at_head: bool
    ) -> Grant:
        """Queue `request` until it is assigned to a claim.

        Parameters
        ----------
        request : CallerRequest
            Admitted request.
        reservation : Reservation
            Its reservation, released by the claim.
        at_head : bool
            Whether the request was queued before and returns to the head.

        Raises
        ------
        RequestEndedError
            The deadline passed or the request was withdrawn.
        """
        if request.abandoned:
            raise caller_disconnected()
        loop = asyncio.get_running_loop()
        reservation.reacquire()
        request.granted = loop.create_future()
        self._insert(request, at_head)
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        timer = loop.call_later(max(0.0, remaining_ms) / 1000.0, self._expire, request)
        try:
            return await request.granted
        except asyncio.CancelledError:
            self._report_unused_claim(request.granted)
            raise
        finally:
            timer.cancel()
            self._remove(request)
            reservation.release()

    def dequeue(
        self, service: str, team: str, grant: Grant, recent_prefixes: RecentPrefixes
    ) -> CallerRequest | None:
        """Assign a waiting request to a claim.

        Parameters
        ----------
        service, team : str
            Queue of the claim.
        grant : Grant
            Passed to the chosen request.
        recent_prefixes : RecentPrefixes
            Prefixes that the claiming agent served recently.

        Returns
        -------
        CallerRequest or None
            The request, None if the queue is empty.
        """
        queue = self._queues.get((service, team))
        if not queue:
            return None
        request = choose_request(queue.values(), recent_prefixes)
        assert request is not None and request.granted is not None
        self._remove(request)
        request.granted.set_result(grant)
        recent_prefixes.record(request.prefix)
        self.rate(service).count()
        return request

    def withdraw(self, request: CallerRequest, error: RequestEndedError) -> bool:
        """Remove `request` from its queue with `error`; False if it does not wait."""
        if not request.is_waiting:
            return False
        assert request.granted is not None
        self._remove(request)
        request.granted.set_exception(error)
        return True

    def withdraw_all(self, error: RequestEndedError, service: str | None = None) -> int:
        """Withdraw all waiting requests, or those of a service; return the number."""
        chosen = [
            request
            for (name, _), queue in self._queues.items()
            if service is None or name == service
            for request in queue.values()
        ]
        return sum(self.withdraw(request, error) for request in chosen)

    def backlog(self, service: str) -> dict[str, Backlog]:
        """Return the backlogs of a service by team, without empty queues."""
        return {
            team: self._backlog_of(queue)
            for (name, team), queue in self._queues.items()
            if name == service
        }

    def team_backlog(self, service: str, team: str) -> Backlog:
        """Return the backlog of one queue."""
        return self._backlog_of(self._queues.get((service, team), OrderedDict()))

    def services(self) -> set[str]:
        """Return the services at which requests wait."""
        return {service for service, _ in self._queues}

    def rate(self, service: str) -> ServiceRate:
        """Return the rate estimate of a service."""
        return self._rates.setdefault(service, ServiceRate(self._clock))

    def retry_after_ms(self, service: str, team: str) -> float:
        """Return the retry delay for a caller, from the backlog and the rate."""
        waiting = len(self._queues.get((service, team), ()))
        return self.rate(service).retry_after_ms(waiting)

    def _report_unused_claim(self, granted: asyncio.Future[Grant]) -> None:
        """Report a miss for a claim that arrived together with a cancellation."""
        if granted.done() and not granted.cancelled() and not granted.exception():
            grant = granted.result()
            grant.link.send_miss(grant.attempt_id)

    def _queue_full_error(
        self, code: str, message: str, team: str
    ) -> RequestEndedError:
        services = {service for service, name in self._queues if name == team}
        delays = [self.retry_after_ms(service, team) for service in services]
        return not_run(429, code, message, max(delays, default=1000.0))

    def _backlog_of(self, queue: OrderedDict[str, CallerRequest]) -> Backlog:
        if not queue:
            return Backlog(0, 0.0)
        return Backlog(len(queue), next(iter(queue.values())).admitted_ms)

    def _insert(self, request: CallerRequest, at_head: bool) -> None:
        name = (request.service, request.team)
        queue = self._queues.setdefault(name, OrderedDict())
        became_non_empty = not queue
        queue[request.request_id] = request
        if at_head:
            queue.move_to_end(request.request_id, last=False)
        self._notify(request, became_non_empty)

    def _remove(self, request: CallerRequest) -> None:
        name = (request.service, request.team)
        queue = self._queues.get(name)
        if queue is None or queue.pop(request.request_id, None) is None:
            return
        if not queue:
            del self._queues[name]
        self._notify(request, False)

    def _notify(self, request: CallerRequest, became_non_empty: bool) -> None:
        for listener in self._listeners:
            listener(request.service, request.team, became_non_empty)

    def _expire(self, request: CallerRequest) -> None:
        delay_ms = self.retry_after_ms(request.service, request.team)
        message = "the deadline passed while the request waited"
        self.withdraw(request, not_run(504, "deadline", message, delay_ms))

    def _add_reservation(self, team: str) -> None:
        self._total_reservations += 1
        self._reservations[team] += 1

    def _remove_reservation(self, team: str) -> None:
        self._total_reservations -= 1
        self._reservations[team] -= 1
        if not self._reservations[team]:
            del self._reservations[team]
