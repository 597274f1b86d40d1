"""Admission queues: which waiting request is placed next.

When teams of very unequal size send more work than the endpoints can process, requests
are queued here, since an endpoint admits requests in order of arrival. The team with
the lowest recent usage per share is served first. A request that can no longer be
answered within its objective is refused with a Retry-After.
"""

import asyncio
import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.logs import get_logger
from bulrushbend.gateway.call import Placement, RequestError, not_run_error
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.endpoint_limits import EndpointLimits
from bulrushbend.gateway.endpoint_notices import EndpointNotices
from bulrushbend.gateway.endpoints import EndpointDirectory
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.placer import Placer
from bulrushbend.gateway.shares import TeamShares

_log = get_logger("gateway.admission")

# Interval between placement passes while requests wait and no change is notified;
# reports of other gateways arrive about as often.
_POLL_INTERVAL_MS = 20.0
# Notifications within this time are handled by one placement pass, because a pass takes
# about 1 ms when the queue is long.
_COALESCING_MS = 4.0
# Requests of a team that one pass tries to place, smallest first.
_MAX_CANDIDATES = 8
# Fraction of the waiting time below which a long prompt reserves an endpoint, and the
# largest fraction of the endpoints that are reserved at a time, at least one.
_RESERVE_BELOW = 0.5
_MAX_RESERVED_SHARE = 0.25
# Longest time for which free capacity is left to a team with lower usage that waits at
# another gateway. Gateways without a coordinator are notified of free capacity by full
# reports, up to 200 ms late. An endpoint processes a prompt of 4,500 tokens in the time
# below; longer idle time costs more than yielding gains.
_MAX_YIELD_MS = 70.0
# A team yields when its usage exceeds this multiple of the other team's usage by this
# number of tokens. Each team is entitled to half the usage of the best served one. Half
# of that margin is left for late reports, and the tokens, three long prompts, allow for
# the size of single requests.
_YIELD_FACTOR = 1.5
_YIELD_TOKENS = 10_000.0
# Bounds of the Retry-After sent to a refused caller.
_MIN_RETRY_AFTER_MS = 400.0
_MAX_RETRY_AFTER_MS = 3_000.0
# Retry-After added per waiting request, about the time that placing one takes.
_RETRY_AFTER_PER_WAITING_MS = 40.0
# Restarted endpoints appear in the endpoint list after about this time.
_NO_ENDPOINT_RETRY_AFTER_MS = 1_000.0
_NO_PAUSES: Mapping[str, float] = {}
# Any gateway but this one, as a requester.
_ANOTHER = "another gateway"


@dataclass(eq=False)
class _WaitingRequest:
    demand: Demand
    placed: asyncio.Future[Placement]


class AdmissionQueue:
    """Queue of the requests of one service that wait for an endpoint.

    Parameters
    ----------
    service : str
        Name of the service.
    directory : EndpointDirectory
        Endpoints of the service.
    placer : Placer
        Chooses the endpoint.
    notices : EndpointNotices
        Determines which endpoints want no requests.
    limits : EndpointLimits
        Determines how many requests the endpoints may get.
    loads : LoadView
        Records placed requests.
    shares : TeamShares
        Recent usage of the teams, which orders them.
    clock : Clock
        Source of time.
    most_waiting : int
        Largest number of waiting requests.
    """

    def __init__(
        self,
        service: str,
        directory: EndpointDirectory,
        placer: Placer,
        notices: EndpointNotices,
        limits: EndpointLimits,
        loads: LoadView,
        shares: TeamShares,
        clock: Clock,
        most_waiting: int,
    ):
        self._service = service
        self._directory = directory
        self._placer = placer
        self._notices = notices
        self._limits = limits
        self._loads = loads
        self._shares = shares
        self._clock = clock
        self._most_waiting = most_waiting
        self._queues_by_team: dict[str, list[_WaitingRequest]] = {}
        self._yielding_since_ms: float | None = None
        self._is_pass_scheduled = False
        self._poll_task: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self._queues_by_team.values())

    async def place(self, demand: Demand) -> Placement:
        """Wait until an endpoint is chosen, and record the request in its load.

        Raises
        ------
        RequestError
            No endpoint can serve the request in time; it was not sent.
        """
        if not self._directory.of_service(self._service):
            raise _no_endpoint_error("no endpoint is known")
        error = self._notice_error(demand.requester, demand.pauses)
        if error is not None:
            raise error
        self._shares.charge(self._loads.pop_charges())
        peer_usage = self._loads.lowest_waiting_usage(self._service)
        if not self._queues_by_team and not self._must_yield(demand.team, peer_usage):
            placement = self._try_to_place(demand)
            if placement is not None:
                return placement
        if self.waiting >= self._most_waiting:
            raise self._overload_error("queue-full")
        if demand.wait_until_ms <= self._clock.now_ms():
            raise self._overload_error("no-time")
        self._check_limits(demand)
        future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        entry = _WaitingRequest(demand, future)
        self._queues_by_team.setdefault(demand.team, []).append(entry)
        self._start_polling()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self._loads.release(future.result(), demand.requester)
            self._remove(entry)
            raise

    def check_notices(self, requester: str = "") -> None:
        """Raise `RequestError` if no known endpoint wants requests of a gateway.

        The request does not wait for the end of a pause: other gateways may send to the
        endpoints, and the caller may return there.
        """
        error = self._notice_error(requester)
        if error is not None:
            raise error

    def _check_limits(self, demand: Demand) -> None:
        """Raise `RequestError` if the limits leave nothing for a request in time."""
        excluded = self._notices.excluded(demand.requester) | demand.avoided
        excluded |= demand.paused(self._clock.now_ms())
        endpoints = [
            endpoint
            for endpoint in self._directory.of_service(self._service)
            if endpoint.id not in excluded
        ]
        wait_ms = self._limits.wait_ms(
            endpoints, self._service, demand.requester, self.waiting
        )
        if wait_ms > demand.wait_until_ms - self._clock.now_ms():
            message = "all endpoints limit their requests"
            retry_after_ms = min(_MAX_RETRY_AFTER_MS, wait_ms)
            raise not_run_error(503, "endpoints-limited", message, retry_after_ms)

    def is_limited(self) -> bool:
        """Return whether an endpoint of the service limits its requests."""
        return self._limits.applies_to(self._directory.of_service(self._service))

    def place_waiting_soon(self) -> None:
        """Schedule a placement pass; later calls until it runs share the same pass."""
        if self._queues_by_team and not self._is_pass_scheduled:
            self._is_pass_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(_COALESCING_MS / 1000.0, self._run_scheduled_pass)

    def place_waiting(self) -> None:
        """Run a placement pass: refuse expired requests, then place what fits."""
        self._refuse_expired()
        self._shares.charge(self._loads.pop_charges())
        is_yielding = False
        peer_usage = self._loads.lowest_waiting_usage(self._service)
        endpoints = self._directory.of_service(self._service)
        queued_tokens = self._placer.min_queued_tokens(endpoints)
        reserved: set[str] = set()
        for team in sorted(self._queues_by_team, key=self._shares.normalized_usage):
            if not self._placer.has_room(queued_tokens):
                break
            queue = self._queues_by_team[team]
            if queue and self._must_yield(team, peer_usage):
                if not self._could_place(queue[0].demand):
                    continue
                is_yielding = True
                if self._may_still_yield():
                    continue
            if self._place_one(queue, queued_tokens, reserved):
                queued_tokens = self._placer.min_queued_tokens(endpoints)
        if not is_yielding:
            self._yielding_since_ms = None
        self._queues_by_team = {
            team: queue for team, queue in self._queues_by_team.items() if queue
        }
        usages = [self._shares.normalized_usage(team) for team in self._queues_by_team]
        self._loads.set_waiting_usage(self._service, min(usages, default=None))

    def _run_scheduled_pass(self) -> None:
        self._is_pass_scheduled = False
        self.place_waiting()

    def _must_yield(self, team: str, peer_usage: float | None) -> bool:
        """Return whether a team with lower usage that waits elsewhere has priority.

        Teams are spread unevenly over the gateways. Without yielding, a gateway whose
        teams have high usage would use the free capacity that teams at other gateways
        wait for.
        """
        if peer_usage is None:
            return False
        return (
            self._shares.normalized_usage(team)
            > _YIELD_FACTOR * peer_usage + _YIELD_TOKENS
        )

    def _may_still_yield(self) -> bool:
        """Return whether the bound on yielding free capacity is not yet reached.

        Yielding is bounded because the requests that wait elsewhere may not be able to
        use the capacity. The time counts from the first pass that found free capacity
        and not from the arrival of the request: under overload all requests wait for
        longer than the bound.
        """
        now_ms = self._clock.now_ms()
        if self._yielding_since_ms is None:
            self._yielding_since_ms = now_ms
        return now_ms - self._yielding_since_ms < _MAX_YIELD_MS

    def _could_place(self, demand: Demand) -> bool:
        endpoints = self._directory.of_service(self._service)
        paused = demand.paused(self._clock.now_ms())
        return self._placer.choose(demand, endpoints, 1.0, paused) is not None

    def _place_one(
        self, queue: list[_WaitingRequest], queued_tokens: float, reserved: set[str]
    ) -> bool:
        """Place the smallest request of a team that fits.

        Shares are counted in tokens, so serving the smallest request first serves the
        most callers. A request that waits for an endpoint with its cached prefix does
        not block the requests behind it.

        A long prompt is placed where no prompt is unread, and shorter ones may keep
        every endpoint busy. After half of its time it therefore reserves the endpoint
        that it waits for, which is added to `reserved`. If the oldest request of the
        team is such a prompt, it goes first, so a backlog does not hide it.
        """
        now_ms = self._clock.now_ms()
        entries = heapq.nsmallest(_MAX_CANDIDATES, queue, key=_prompt_tokens)
        if queue and self._may_reserve(queue[0].demand, now_ms):
            oldest = queue[0]
            entries = [oldest, *(entry for entry in entries if entry is not oldest)]
        for entry in entries:
            if entry.placed.done():
                queue.remove(entry)
                continue
            if not self._placer.may_admit(entry.demand, queued_tokens):
                self._reserve(entry.demand, now_ms, reserved)
                continue
            placement = self._try_to_place(entry.demand, frozenset(reserved))
            if placement is not None:
                queue.remove(entry)
                entry.placed.set_result(placement)
                return True
            self._reserve(entry.demand, now_ms, reserved)
        return False

    def _reserve(self, demand: Demand, now_ms: float, reserved: set[str]) -> None:
        """Reserve the endpoint that a long prompt waits for."""
        if not self._may_reserve(demand, now_ms):
            return
        endpoints = self._directory.of_service(self._service)
        if len(reserved) >= max(1, int(_MAX_RESERVED_SHARE * len(endpoints))):
            return
        left_out = demand.paused(now_ms).union(reserved)
        best = self._placer.find_best(
            demand, endpoints, demand.remaining_wait(now_ms), left_out
        )
        if best is not None:
            reserved.add(best.endpoint.id)

    def _may_reserve(self, demand: Demand, now_ms: float) -> bool:
        return demand.remaining_wait(now_ms) <= _RESERVE_BELOW and self._placer.is_long(
            demand
        )

    def _try_to_place(
        self, demand: Demand, reserved: frozenset[str] = frozenset()
    ) -> Placement | None:
        now_ms = self._clock.now_ms()
        endpoints = self._directory.of_service(self._service)
        chosen = self._placer.choose(
            demand,
            endpoints,
            demand.remaining_wait(now_ms),
            demand.paused(now_ms) | reserved,
        )
        if chosen is None:
            return None
        source = chosen.source.address if chosen.source else ""
        placement = Placement(chosen.endpoint.id, chosen.unread_tokens, source)
        return self._loads.begin(placement, demand)

    def _refuse_expired(self) -> None:
        now_ms = self._clock.now_ms()
        has_own, has_any = self._has_usable(""), self._has_usable(_ANOTHER)
        for queue in self._queues_by_team.values():
            for entry in list(queue):
                demand = entry.demand
                error = None
                if not (has_any if demand.requester else has_own) or demand.pauses:
                    error = self._notice_error(demand.requester, demand.pauses)
                if error is None and demand.wait_until_ms <= now_ms:
                    error = self._overload_error("no-capacity")
                if error is None:
                    continue
                queue.remove(entry)
                if not entry.placed.done():
                    entry.placed.set_exception(error)

    def _has_usable(self, requester: str) -> bool:
        """Return whether an endpoint wants requests of a gateway, or none is known."""
        endpoints = self._directory.of_service(self._service)
        return not endpoints or self._notices.has_usable(endpoints, requester)

    def _notice_error(
        self, requester: str, pauses: Mapping[str, float] = _NO_PAUSES
    ) -> RequestError | None:
        """Return the error if no known endpoint wants requests of a gateway.

        Parameters
        ----------
        requester : str
            Name of another gateway, empty for this one.
        pauses : mapping from str to float
            Ends of the pauses that endpoints asked the other gateway for.
        """
        now_ms = self._clock.now_ms()
        endpoints = self._directory.of_service(self._service)
        paused = {name for name, end_ms in pauses.items() if now_ms < end_ms}
        others = [endpoint for endpoint in endpoints if endpoint.id not in paused]
        if not endpoints or self._notices.has_usable(others, requester):
            return None
        if requester:
            ends_ms = [
                pauses[endpoint.id]
                for endpoint in endpoints
                if endpoint.id in paused and endpoint.id not in self._notices.leaving
            ]
            pause_ms = min(ends_ms) - now_ms if ends_ms else None
        else:
            pause_ms = self._notices.pause_left_ms(endpoints)
        if pause_ms is None:
            return _no_endpoint_error("all known endpoints are leaving")
        message = "all endpoints asked this gateway for a pause"
        retry_after_ms = min(_MAX_RETRY_AFTER_MS, pause_ms)
        return not_run_error(503, "endpoints-paused", message, retry_after_ms)

    def _overload_error(self, code: str) -> RequestError:
        retry_after_ms = (
            _MIN_RETRY_AFTER_MS + _RETRY_AFTER_PER_WAITING_MS * self.waiting
        )
        return not_run_error(
            503,
            code,
            "no endpoint can take the request in time",
            min(_MAX_RETRY_AFTER_MS, retry_after_ms),
        )

    def _remove(self, entry: _WaitingRequest) -> None:
        queue = self._queues_by_team.get(entry.demand.team)
        if queue is not None and entry in queue:
            queue.remove(entry)
            if not queue:
                del self._queues_by_team[entry.demand.team]

    def _start_polling(self) -> None:
        if self._poll_task is None or self._poll_task.done():
            self._poll_task = asyncio.create_task(self._poll_while_waiting())

    async def _poll_while_waiting(self) -> None:
        while self._queues_by_team:
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)
            try:
                self.place_waiting()
            except Exception as error:
                _log.error(
                    "placement pass of service %s failed with unexpected error: %r; "
                    "trying again with %d requests waiting",
                    self._service,
                    error,
                    self.waiting,
                )


def _no_endpoint_error(message: str) -> RequestError:
    return not_run_error(503, "no-endpoint", message, _NO_ENDPOINT_RETRY_AFTER_MS)


def _prompt_tokens(entry: _WaitingRequest) -> int:
    return entry.demand.tokens


QueueFactory = Callable[[str], AdmissionQueue]


class ServiceQueues:
    """Queues of all services, created on first use.

    Parameters
    ----------
    new_queue : callable
        Creates the queue of a service.
    """

    def __init__(self, new_queue: QueueFactory):
        self._new_queue = new_queue
        self._queues: dict[str, AdmissionQueue] = {}

    @property
    def waiting(self) -> int:
        """Number of requests that wait for an endpoint."""
        return sum(queue.waiting for queue in self._queues.values())

    def for_service(self, service: str) -> AdmissionQueue:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = self._new_queue(service)
        return queue

    def place_waiting_soon(self) -> None:
        """Schedule a placement pass over all queues after endpoints or loads change."""
        for queue in self._queues.values():
            queue.place_waiting_soon()
