"""Discrete-event simulation of the fair-share policy with the real ledgers and pickers.

Each agent has its own ledger; accounting records are exchanged with a delay. Only the
choice of teams is simulated, without sockets, routers or failing endpoints. Times are
milliseconds.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.bench.gaps import GapMeter, PolicyResult, ServiceMeter
from bulrushbend.bench.scenario import Restart, Scenario, TeamLoad
from bulrushbend.bench.variants import get_variant
from bulrushbend.core.clock import Clock
from bulrushbend.core.identity import Identity
from bulrushbend.share.ledger import Charge, Ledger
from bulrushbend.share.record import AccountingRecord

_SERVICE = "flor-llm"
_SAMPLE_INTERVAL_MS = 50.0
# Number of requests that an always-backlogged team keeps waiting. First come, first
# served depends on their ages.
_BACKLOG_LENGTH = 32


class SimulatedClock(Clock):
    """Clock that the simulation sets to the time of each event."""

    def __init__(self):
        self.value_ms = 0.0

    def now_ms(self) -> float:
        """Return the time of the current event in milliseconds."""
        return self.value_ms


@dataclass
class _Request:
    number: int
    load: TeamLoad
    queued_ms: float


class _Agent:
    def __init__(self, number: int, scenario: Scenario, clock: Clock):
        self.number = number
        self.incarnation = 0
        self.up = False
        self._scenario = scenario
        self._clock = clock

    def boot(self) -> None:
        """Start with an empty ledger, under a new incarnation."""
        self.incarnation += 1
        self.up = True
        self.free_slots = self._scenario.slots
        self.cursor = 0
        self.queue: deque[_Request] = deque()
        self.open_charges: dict[int, tuple[_Request, Charge]] = {}
        variant = get_variant(self._scenario.variant)
        horizon_ms = self._scenario.spread_ms + self._scenario.message_delay_ms
        self.picker = variant.build_picker(self.number, horizon_ms)
        identity = Identity(f"agent-{self.number}", self.incarnation)
        estimator = variant.build_estimator()
        self.ledger = Ledger(_SERVICE, identity, self._clock, estimator)
        self.ledger.set_shares({t.name: t.share for t in self._scenario.teams})

    def collect_records(self) -> list[AccountingRecord]:
        """Return the changed local records, or all of them if messages may be lost.

        A record in a lost message would otherwise not be sent until it changes again.
        """
        after = 0 if self._scenario.faults.any else self.cursor
        self.cursor, changed = self.ledger.records(after)
        name = f"agent-{self.number}"
        return [record for record in changed if record.agent == name]


class PolicySimulation:
    """Simulation of one scenario; the same scenario gives the same result.

    Parameters
    ----------
    scenario : Scenario
        Scenario to run.
    """

    def __init__(self, scenario: Scenario):
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._clock = SimulatedClock()
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._teams = {team.name: team for team in scenario.teams}
        self._queues: dict[str, deque[_Request]] = {n: deque() for n in self._teams}
        self._meter = ServiceMeter(scenario.teams)
        self._gaps = GapMeter()
        self._waits: dict[str, list[float]] = {
            team.name: [] for team in scenario.teams if not team.is_always_backlogged
        }
        self._idle_ms = self._claimed_ms = 0.0
        self._requests = 0
        self._agents = [
            _Agent(number, scenario, self._clock) for number in range(scenario.agents)
        ]

    def run(self) -> PolicyResult:
        """Run to the end of the scenario and return the result."""
        for agent in self._agents:
            agent.boot()
            phase_ms = self._random.uniform(0.0, self._scenario.spread_ms)
            self._schedule(phase_ms, lambda agent=agent: self._send_records(agent))
        for team in self._scenario.teams:
            # All teams must have waiting requests before the first slot is assigned,
            # otherwise the first team would get all slots.
            self._handle_arrival(team)
        self._serve_all()
        for restart in self._scenario.restarts:
            self._schedule(restart.at_ms, lambda restart=restart: self._crash(restart))
        for partition in self._scenario.partitions:
            self._schedule(partition.end_ms, self._end_partition)
        self._schedule(_SAMPLE_INTERVAL_MS, self._sample)
        while self._events[0][0] <= self._scenario.duration_ms:
            self._clock.value_ms, _, action = heapq.heappop(self._events)
            action()
        return self._result()

    def _result(self) -> PolicyResult:
        now_ms = self._clock.value_ms
        return PolicyResult(
            gap_ms=self._gaps.gap_ms,
            interval_gap_ms=self._gaps.interval_gap_ms,
            served_ms={n: self._meter.served_ms(n, now_ms) for n in self._teams},
            waits_ms=self._waits,
            idle_ms=self._idle_ms,
            claimed_ms=self._claimed_ms,
            requests=self._requests,
        )

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        due_ms = self._clock.value_ms + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._sequence), action))

    def _handle_arrival(self, team: TeamLoad) -> None:
        now_ms = self._clock.value_ms
        if team.is_active(now_ms):
            missing = _BACKLOG_LENGTH - len(self._queues[team.name])
            for _ in range(missing if team.is_always_backlogged else 1):
                self._enqueue(team)
            if now_ms:
                self._serve_all()
        else:
            self._clear_backlog(team)
        if team.is_always_backlogged:
            changes = {edge for period in team.periods for edge in period}
            for edge_ms in sorted(change for change in changes if change > now_ms)[:1]:
                self._schedule(edge_ms - now_ms, lambda: self._handle_arrival(team))
            return
        interarrival_ms = self._random.expovariate(team.rate_per_s) * 1000.0
        self._schedule(interarrival_ms, lambda: self._handle_arrival(team))

    def _clear_backlog(self, team: TeamLoad) -> None:
        if team.is_always_backlogged:
            self._queues[team.name].clear()
            self._update_waiting(team.name)

    def _enqueue(self, team: TeamLoad) -> None:
        request = _Request(next(self._sequence), team, self._clock.value_ms)
        if self._scenario.push:
            self._push(request)
            return
        self._queues[team.name].append(request)
        self._update_waiting(team.name)

    def _push(self, request: _Request) -> None:
        up = [agent for agent in self._agents if agent.up]
        least_loaded = min(
            up, key=lambda a: (len(a.queue) - a.free_slots, self._random.random())
        )
        least_loaded.queue.append(request)

    def _update_waiting(self, team: str) -> None:
        waiting = bool(self._queues[team])
        for agent in self._agents:
            if agent.up:
                agent.ledger.set_waiting(team, waiting)

    def _serve_all(self) -> None:
        available = [agent for agent in self._agents if agent.up and agent.free_slots]
        self._random.shuffle(available)
        for agent in available:
            self._serve(agent)

    def _serve(self, agent: _Agent) -> None:
        while agent.up and agent.free_slots:
            request = self._dequeue_request(agent)
            if request is None:
                return
            self._claim(agent, request)

    def _dequeue_request(self, agent: _Agent) -> _Request | None:
        if self._scenario.push:
            return agent.queue.popleft() if agent.queue else None
        now_ms = self._clock.value_ms
        waiting = {
            team: now_ms - queue[0].queued_ms
            for team, queue in self._queues.items()
            if queue
        }
        team = agent.picker.pick(waiting, agent.ledger)
        return None if team is None else self._queues[team].popleft()

    def _claim(self, agent: _Agent, request: _Request) -> None:
        agent.free_slots -= 1
        team = request.load
        charge = agent.ledger.open_charge(team.name)
        agent.open_charges[request.number] = (request, charge)
        incarnation = agent.incarnation
        if team.is_always_backlogged and team.is_active(self._clock.value_ms):
            self._enqueue(team)
        elif not self._scenario.push:
            self._update_waiting(team.name)
        self._schedule(
            self._scenario.claim_ms, lambda: self._start(agent, incarnation, request)
        )

    def _start(self, agent: _Agent, incarnation: int, request: _Request) -> None:
        self._claimed_ms += self._scenario.claim_ms
        if agent.incarnation != incarnation or request.number not in agent.open_charges:
            return
        now_ms = self._clock.value_ms
        self._requests += 1
        agent.open_charges[request.number][1].start()
        self._meter.start(request.load.name, request.number, now_ms)
        if not request.load.is_always_backlogged:
            self._waits[request.load.name].append(now_ms - request.queued_ms)
        cost_ms = request.load.draw_cost_ms(self._random)
        self._schedule(cost_ms, lambda: self._end(agent, incarnation, request))

    def _end(self, agent: _Agent, incarnation: int, request: _Request) -> None:
        if agent.incarnation != incarnation or request.number not in agent.open_charges:
            return
        agent.open_charges.pop(request.number)[1].end()
        self._meter.end(request.load.name, request.number, self._clock.value_ms)
        agent.free_slots += 1
        self._serve(agent)

    def _send_records(self, agent: _Agent) -> None:
        self._schedule(self._scenario.spread_ms, lambda: self._send_records(agent))
        if not agent.up:
            return
        records = agent.collect_records()
        for peer in self._agents:
            if peer is not agent and not self._is_partitioned(agent, peer):
                self._send_to_peer(peer, records)

    def _is_partitioned(self, agent: _Agent, peer: _Agent) -> bool:
        if agent.number % 2 == peer.number % 2:
            return False
        now_ms = self._clock.value_ms
        return any(p.begin_ms <= now_ms < p.end_ms for p in self._scenario.partitions)

    def _end_partition(self) -> None:
        # All records are sent again: a new link begins with a full set.
        for agent in self._agents:
            agent.cursor = 0

    def _send_to_peer(self, peer: _Agent, records: list[AccountingRecord]) -> None:
        faults = self._scenario.faults
        if not faults.any:
            self._schedule(
                self._scenario.message_delay_ms, lambda: self._deliver(peer, records)
            )
            return
        if self._random.random() < faults.loss_probability:
            return
        copies = 2 if self._random.random() < faults.duplication_probability else 1
        for _ in range(copies):
            extra_delay_ms = self._random.uniform(0.0, faults.max_extra_delay_ms)
            self._schedule(
                self._scenario.message_delay_ms + extra_delay_ms,
                lambda: self._deliver(peer, records),
            )

    def _deliver(self, peer: _Agent, records: list[AccountingRecord]) -> None:
        if peer.up:
            peer.ledger.merge(records)

    def _crash(self, restart: Restart) -> None:
        agent = self._agents[restart.agent]
        now_ms = self._clock.value_ms
        for request, charge in agent.open_charges.values():
            if charge.started:
                self._meter.end(request.load.name, request.number, now_ms)
        agent.open_charges.clear()
        agent.up = False
        self._schedule(restart.downtime_ms, lambda: self._reboot(agent))

    def _reboot(self, agent: _Agent) -> None:
        sources = [peer for peer in self._agents if peer.up]
        agent.boot()
        for team, queue in self._queues.items():
            agent.ledger.set_waiting(team, bool(queue))
        if sources:
            known = self._random.choice(sources).ledger.records()[1]
            self._schedule(
                self._scenario.message_delay_ms, lambda: self._deliver(agent, known)
            )
        self._serve(agent)

    def _sample(self) -> None:
        self._schedule(_SAMPLE_INTERVAL_MS, self._sample)
        now_ms = self._clock.value_ms
        self._gaps.sample(
            {
                team.name: self._meter.normalised_ms(team.name, now_ms)
                for team in self._scenario.teams
                if team.is_always_backlogged and team.is_active(now_ms)
            }
        )
        if any(self._queues.values()):
            idle = sum(agent.free_slots for agent in self._agents if agent.up)
            self._idle_ms += idle * _SAMPLE_INTERVAL_MS


def simulate_policy(scenario: Scenario) -> PolicyResult:
    """Run `scenario` and return its result."""
    return PolicySimulation(scenario).run()
