"""Requests that wait for an endpoint, and in which order they go.

Load that this answers: more work than the endpoints can do, from teams of very unequal
size. Requests wait here and not in an endpoint, which admits them as they come: the
team that was given least lately goes first, and a request that cannot be answered
within its objective any more is refused with a time at which to come back.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.gateway.call import CallEnded, Placement, refused
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.endpoints import EndpointDirectory
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.placing import Placer
from bulrushbend.gateway.shares import TeamShares

# Time between two looks at what waits, when nothing tells of a change: reports of other
# gateways come about as often.
_POLL_INTERVAL_MS = 20.0
# News that come within this time are acted on together: a look takes about a
# millisecond when much waits.
_COALESCING_MS = 4.0
# Requests of a team that are looked at for one that can go.
_MAX_CANDIDATES = 8
# Longest time for which room is left to a less served team elsewhere. Gateways without
# a coordinator hear of room by full reports, up to 200 ms late; a prompt of 4,500
# tokens is read in the time below, and endpoints that idle longer cost more than it
# gains.
_MAX_YIELD_MS = 70.0
# A team is well served when it was given this much more than the other. A team is owed
# half of what the best served one gets; half of that distance is left for reports that
# are late, and three long prompts for their size.
_YIELD_FACTOR = 1.5
_YIELD_TOKENS = 10_000.0
# Shortest and longest time after which a refused caller is asked to come back.
_MIN_RETRY_AFTER_MS = 400.0
_MAX_RETRY_AFTER_MS = 3_000.0
# Further time for each request that waits already, about what one takes to be placed.
_RETRY_AFTER_PER_WAITING_MS = 40.0
# Endpoints that are started anew are on the list after about this time.
_NO_ENDPOINT_RETRY_AFTER_MS = 1_000.0


@dataclass(eq=False)
class _WaitingRequest:
    demand: Demand
    placed: asyncio.Future[Placement]


class AdmissionQueue:
    """Waiting requests of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    directory : EndpointDirectory
        Endpoints of the service.
    placer : Placer
        Chooses the endpoint.
    loads : LoadView
        Receives what is placed.
    shares : TeamShares
        Decides which team is next.
    clock : Clock
        Source of time.
    most_waiting : int
        Requests that may wait.
    """

    def __init__(
        self,
        service: str,
        directory: EndpointDirectory,
        placer: Placer,
        loads: LoadView,
        shares: TeamShares,
        clock: Clock,
        most_waiting: int,
    ):
        self._service = service
        self._directory = directory
        self._placer = placer
        self._loads = loads
        self._shares = shares
        self._clock = clock
        self._most_waiting = most_waiting
        self._teams: dict[str, list[_WaitingRequest]] = {}
        self._yielding_since_ms: float | None = None
        self._is_pass_scheduled = False
        self._poll_task: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self._teams.values())

    async def place(self, demand: Demand) -> Placement:
        """Wait until an endpoint is chosen for a request and counted as used.

        Raises
        ------
        CallEnded
            No endpoint can take the request in time; it was not sent.
        """
        if not self._directory.of_service(self._service):
            message = "no endpoint is known"
            raise refused(503, "no-endpoint", message, _NO_ENDPOINT_RETRY_AFTER_MS)
        self._shares.charge(self._loads.pop_charges())
        peer_usage = self._loads.lowest_waiting_usage(self._service)
        if not self._teams and not self._must_yield(demand.team, peer_usage):
            placement = self._try_to_place(demand)
            if placement is not None:
                return placement
        if self.waiting >= self._most_waiting:
            raise self._overload_error("queue-full")
        if demand.wait_until_ms <= self._clock.now_ms():
            raise self._overload_error("no-time")
        future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        entry = _WaitingRequest(demand, future)
        self._teams.setdefault(demand.team, []).append(entry)
        self._start_polling()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self._loads.release(future.result(), demand.requester)
            self._remove(entry)
            raise

    def place_waiting_soon(self) -> None:
        """Look within a few milliseconds, once for all news until then."""
        if self._teams and not self._is_pass_scheduled:
            self._is_pass_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(_COALESCING_MS / 1000.0, self._run_scheduled_pass)

    def place_waiting(self) -> None:
        """Place what can be placed now and refuse what is out of time."""
        self._refuse_expired()
        self._shares.charge(self._loads.pop_charges())
        is_yielding = False
        peer_usage = self._loads.lowest_waiting_usage(self._service)
        endpoints = self._directory.of_service(self._service)
        admissible_tokens = self._placer.max_admissible_tokens(endpoints)
        for team in sorted(self._teams, key=self._shares.normalized_usage):
            if admissible_tokens <= 0:
                break
            queue = self._teams[team]
            if queue and self._must_yield(team, peer_usage):
                if not self._could_place(queue[0].demand):
                    continue
                is_yielding = True
                if self._may_still_yield():
                    continue
            if self._place_one(queue, admissible_tokens):
                admissible_tokens = self._placer.max_admissible_tokens(endpoints)
        if not is_yielding:
            self._yielding_since_ms = None
        self._teams = {team: queue for team, queue in self._teams.items() if queue}
        usages = [self._shares.normalized_usage(team) for team in self._teams]
        self._loads.set_waiting_usage(self._service, min(usages, default=None))

    def _run_scheduled_pass(self) -> None:
        self._is_pass_scheduled = False
        self.place_waiting()

    def _must_yield(self, team: str, peer_usage: float | None) -> bool:
        """Return whether a less served team that waits at another gateway is first.

        Teams are spread unevenly over the gateways. A gateway whose teams are well
        served would give them all the room that others wait for.
        """
        if peer_usage is None:
            return False
        return (
            self._shares.normalized_usage(team)
            > _YIELD_FACTOR * peer_usage + _YIELD_TOKENS
        )

    def _may_still_yield(self) -> bool:
        """Return whether room is left to others once more.

        The time is bounded, since what waits elsewhere may not be able to use the room.
        It counts from the first look at which there was room, however long the request
        has waited: under overload all wait for longer than the bound.
        """
        now_ms = self._clock.now_ms()
        if self._yielding_since_ms is None:
            self._yielding_since_ms = now_ms
        return now_ms - self._yielding_since_ms < _MAX_YIELD_MS

    def _could_place(self, demand: Demand) -> bool:
        endpoints = self._directory.of_service(self._service)
        return self._placer.choose(demand, endpoints, remaining_wait=1.0) is not None

    def _place_one(
        self, queue: list[_WaitingRequest], admissible_tokens: float
    ) -> bool:
        """Place the smallest request of a team for which there is room.

        The share of a team is counted in tokens, so smallest first serves the most
        callers with it. One that waits for an endpoint that holds its prompt lets
        others pass.
        """
        for entry in sorted(queue, key=_prompt_tokens)[:_MAX_CANDIDATES]:
            if entry.placed.done():
                queue.remove(entry)
                continue
            if entry.demand.min_unread_tokens > admissible_tokens:
                continue
            placement = self._try_to_place(entry.demand)
            if placement is not None:
                queue.remove(entry)
                entry.placed.set_result(placement)
                return True
        return False

    def _try_to_place(self, demand: Demand) -> Placement | None:
        endpoints = self._directory.of_service(self._service)
        remaining_wait = demand.remaining_wait(self._clock.now_ms())
        chosen = self._placer.choose(demand, endpoints, remaining_wait)
        if chosen is None:
            return None
        source = chosen.source.address if chosen.source else ""
        placement = Placement(chosen.endpoint.id, chosen.unread_tokens, source)
        return self._loads.begin(placement, demand)

    def _refuse_expired(self) -> None:
        now_ms = self._clock.now_ms()
        for queue in self._teams.values():
            for entry in [e for e in queue if e.demand.wait_until_ms <= now_ms]:
                queue.remove(entry)
                if not entry.placed.done():
                    entry.placed.set_exception(self._overload_error("no-capacity"))

    def _overload_error(self, code: str) -> CallEnded:
        retry_ms = _MIN_RETRY_AFTER_MS + _RETRY_AFTER_PER_WAITING_MS * self.waiting
        return refused(
            503,
            code,
            "no endpoint can take the request in time",
            min(_MAX_RETRY_AFTER_MS, retry_ms),
        )

    def _remove(self, entry: _WaitingRequest) -> None:
        queue = self._teams.get(entry.demand.team)
        if queue is not None and entry in queue:
            queue.remove(entry)
            if not queue:
                del self._teams[entry.demand.team]

    def _start_polling(self) -> None:
        if self._poll_task is None or self._poll_task.done():
            self._poll_task = asyncio.create_task(self._poll_while_waiting())

    async def _poll_while_waiting(self) -> None:
        while self._teams:
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)
            self.place_waiting()


def _prompt_tokens(entry: _WaitingRequest) -> int:
    return entry.demand.tokens


QueueFactory = Callable[[str], AdmissionQueue]


class ServiceQueues:
    """Queues of all services, made when they are first needed.

    Parameters
    ----------
    new_queue : callable
        Makes the queue of a service.
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
        """Look at all queues shortly, after news about endpoints or their load."""
        for queue in self._queues.values():
            queue.place_waiting_soon()
