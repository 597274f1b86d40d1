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
from bulrushbend.gateway.call import Placement, RequestError, not_run_error
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.endpoints import EndpointDirectory
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.placing import Placer
from bulrushbend.gateway.shares import TeamShares

# Time between two looks at what waits, when nothing tells of a change: reports of other
# gateways come about as often.
_LOOK_MS = 20.0
# News that come within this time are acted on together: a look takes about a
# millisecond when much waits.
_NEWS_MS = 4.0
# Requests of a team that are looked at for one that can go.
_LOOKED_AT = 8
# Longest time for which room is left to a less served team elsewhere. Gateways without
# a coordinator hear of room by full reports, up to 200 ms late; a prompt of 4,500
# tokens is read in the time below, and endpoints that idle longer cost more than it
# gains.
_LONGEST_YIELD_MS = 70.0
# A team is well served when it was given this much more than the other. A team is owed
# half of what the best served one gets; half of that distance is left for reports that
# are late, and three long prompts for their size.
_YIELD_FACTOR = 1.5
_YIELD_TOKENS = 10_000.0
# Shortest and longest time after which a refused caller is asked to come back.
_FIRST_RETRY_MS = 400.0
_LAST_RETRY_MS = 3_000.0
# Further time for each request that waits already, about what one takes to be placed.
_RETRY_EACH_MS = 40.0
# Endpoints that are started anew are on the list after about this time.
_NO_ENDPOINT_RETRY_MS = 1_000.0


@dataclass(eq=False)
class _Waiting:
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
        self._teams: dict[str, list[_Waiting]] = {}
        self._left_since_ms: float | None = None
        self._is_look_due = False
        self._looking: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self._teams.values())

    async def place(self, demand: Demand) -> Placement:
        """Wait until an endpoint is chosen for a request and counted as used.

        Raises
        ------
        RequestError
            No endpoint can take the request in time; it was not sent.
        """
        if not self._directory.of_service(self._service):
            message = "no endpoint is known"
            raise not_run_error(503, "no-endpoint", message, _NO_ENDPOINT_RETRY_MS)
        self._shares.charge(self._loads.take_used())
        elsewhere = self._loads.waiting_elsewhere(self._service)
        if not self._teams and not self._must_yield(demand.team, elsewhere):
            placement = self._try(demand)
            if placement is not None:
                return placement
        if self.waiting >= self._most_waiting:
            raise self._overload("queue-full")
        if demand.until_ms <= self._clock.now_ms():
            raise self._overload("no-time")
        future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        entry = _Waiting(demand, future)
        self._teams.setdefault(demand.team, []).append(entry)
        self._start_looking()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self._loads.release(future.result(), demand.asker)
            self._remove(entry)
            raise

    def look_soon(self) -> None:
        """Look within a few milliseconds, once for all news until then."""
        if self._teams and not self._is_look_due:
            self._is_look_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(_NEWS_MS / 1000.0, self._look_at_news)

    def look(self) -> None:
        """Place what can be placed now and refuse what is out of time."""
        self._refuse_expired()
        self._shares.charge(self._loads.take_used())
        is_left = False
        elsewhere = self._loads.waiting_elsewhere(self._service)
        endpoints = self._directory.of_service(self._service)
        room = self._placer.room(endpoints)
        for team in sorted(self._teams, key=self._shares.level):
            if room <= 0:
                break
            queue = self._teams[team]
            if queue and self._must_yield(team, elsewhere):
                if not self._could_place(queue[0].demand):
                    continue
                is_left = True
                if self._leave_room():
                    continue
            if self._place_one(queue, room):
                room = self._placer.room(endpoints)
        if not is_left:
            self._left_since_ms = None
        self._teams = {team: queue for team, queue in self._teams.items() if queue}
        levels = [self._shares.level(team) for team in self._teams]
        self._loads.set_waiting(self._service, min(levels, default=None))

    def _look_at_news(self) -> None:
        self._is_look_due = False
        self.look()

    def _must_yield(self, team: str, elsewhere: float | None) -> bool:
        """Return whether a less served team that waits at another gateway is first.

        Teams are spread unevenly over the gateways. A gateway whose teams are well
        served would give them all the room that others wait for.
        """
        if elsewhere is None:
            return False
        return self._shares.level(team) > _YIELD_FACTOR * elsewhere + _YIELD_TOKENS

    def _leave_room(self) -> bool:
        """Return whether room is left to others once more.

        The time is bounded, since what waits elsewhere may not be able to use the room.
        It counts from the first look at which there was room, however long the request
        has waited: under overload all wait for longer than the bound.
        """
        now_ms = self._clock.now_ms()
        if self._left_since_ms is None:
            self._left_since_ms = now_ms
        return now_ms - self._left_since_ms < _LONGEST_YIELD_MS

    def _could_place(self, demand: Demand) -> bool:
        endpoints = self._directory.of_service(self._service)
        return self._placer.choose(demand, endpoints, patience=1.0) is not None

    def _place_one(self, queue: list[_Waiting], room: float) -> bool:
        """Place the smallest request of a team for which there is room.

        The share of a team is counted in tokens, so smallest first serves the most
        callers with it. One that waits for an endpoint that holds its prompt lets
        others pass.
        """
        for entry in sorted(queue, key=_size)[:_LOOKED_AT]:
            if entry.placed.done():
                queue.remove(entry)
                continue
            if entry.demand.least_unread > room:
                continue
            placement = self._try(entry.demand)
            if placement is not None:
                queue.remove(entry)
                entry.placed.set_result(placement)
                return True
        return False

    def _try(self, demand: Demand) -> Placement | None:
        endpoints = self._directory.of_service(self._service)
        patience = demand.patience(self._clock.now_ms())
        chosen = self._placer.choose(demand, endpoints, patience)
        if chosen is None:
            return None
        source = chosen.source.address if chosen.source else ""
        placement = Placement(chosen.endpoint.id, chosen.unread_tokens, source)
        return self._loads.begin(placement, demand)

    def _refuse_expired(self) -> None:
        now_ms = self._clock.now_ms()
        for queue in self._teams.values():
            for entry in [e for e in queue if e.demand.until_ms <= now_ms]:
                queue.remove(entry)
                if not entry.placed.done():
                    entry.placed.set_exception(self._overload("no-capacity"))

    def _overload(self, code: str) -> RequestError:
        retry_ms = _FIRST_RETRY_MS + _RETRY_EACH_MS * self.waiting
        return not_run_error(
            503,
            code,
            "no endpoint can take the request in time",
            min(_LAST_RETRY_MS, retry_ms),
        )

    def _remove(self, entry: _Waiting) -> None:
        queue = self._teams.get(entry.demand.team)
        if queue is not None and entry in queue:
            queue.remove(entry)
            if not queue:
                del self._teams[entry.demand.team]

    def _start_looking(self) -> None:
        if self._looking is None or self._looking.done():
            self._looking = asyncio.create_task(self._look_while_waiting())

    async def _look_while_waiting(self) -> None:
        while self._teams:
            await self._clock.sleep_ms(_LOOK_MS)
            self.look()


def _size(entry: _Waiting) -> int:
    return entry.demand.tokens


QueueFactory = Callable[[str], AdmissionQueue]


class QueueBook:
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

    def of(self, service: str) -> AdmissionQueue:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = self._new_queue(service)
        return queue

    def look_soon(self) -> None:
        """Look at all queues shortly, after news about endpoints or their load."""
        for queue in self._queues.values():
            queue.look_soon()
