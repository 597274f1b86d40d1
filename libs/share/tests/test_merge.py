"""Merging: any order, lost and doubled rows, restarts, bounded memory."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    rule,
)

from bulrushbend.share.peers import PeerRows

from .builders import StepClock, build_ledger, build_row

TEAMS = ("crew-a", "crew-b", "crew-c")


@st.composite
def histories(draw):
    """Return versions of rows as their owners would write them."""
    rows = []
    for agent in ("agent-2", "agent-3"):
        for incarnation in range(1, draw(st.integers(1, 3)) + 1):
            for team in TEAMS:
                served_ms = start_level = 0.0
                for sequence in range(1, draw(st.integers(0, 3)) + 1):
                    served_ms += draw(st.integers(0, 10_000))
                    start_level += draw(st.integers(0, 100))
                    running = draw(st.integers(0, 3))
                    row = build_row(
                        team,
                        agent,
                        sequence,
                        float(served_ms),
                        incarnation=incarnation,
                        start_level=float(start_level),
                        running=running,
                        reserve_ms=running * 100.0,
                        waiting=draw(st.booleans()),
                    )
                    rows.append(row)
    return rows


def newest_of(rows):
    newest = {}
    for row in rows:
        key = (row.agent, row.incarnation, row.team)
        if key not in newest or newest[key].sequence < row.sequence:
            newest[key] = row
    return newest


@settings(deadline=None)
@given(histories(), st.data())
def test_any_order_loss_and_doubling_give_the_same_levels(rows, data):
    # Guards against levels that depend on the way rows travelled.
    final = list(newest_of(rows).values())
    extra = data.draw(st.lists(st.sampled_from(rows), max_size=20)) if rows else []
    shuffled = data.draw(st.permutations(final + extra))
    plain, other = build_ledger(), build_ledger()
    plain.merge(final)
    other.merge(shuffled)
    assert other.merge(shuffled) == []
    assert {row for row in other.rows()[1]} == set(final)
    for team in TEAMS:
        assert other.level(team) == pytest.approx(plain.level(team))
        assert other.served_ms(team) == pytest.approx(
            sum(row.served_ms for row in final if row.team == team)
        )


def test_service_of_ended_incarnations_stays_in_the_sum():
    # Guards against a restart wiping what an agent has served.
    ledger = build_ledger()
    ledger.merge([build_row(served_ms=70.0, running=4, reserve_ms=400.0)])
    ledger.merge([build_row(served_ms=5.0, incarnation=2)])
    assert ledger.level("crew-a") == 75.0
    ledger.merge([build_row(sequence=2, served_ms=71.0, running=4, reserve_ms=400.0)])
    assert ledger.level("crew-a") == 76.0


def test_own_rows_of_an_earlier_start_are_learnt():
    ledger = build_ledger(name="agent-1", incarnation=2)
    ledger.merge([build_row(agent="agent-1", served_ms=50.0)])
    assert ledger.level("crew-a") == 50.0


def test_memory_for_ended_incarnations_is_bounded():
    # Guards against a ledger that grows with every restart in the fleet.
    peers = PeerRows(ended_rows_limit=10)
    ledger = build_ledger(peers=peers)
    for incarnation in range(1, 51):
        for team in TEAMS:
            ledger.merge([build_row(team, served_ms=1.0, incarnation=incarnation)])
    assert len(list(peers)) <= 10 + len(TEAMS)
    assert len(ledger.rows()[1]) == len(list(peers))
    assert ledger.served_ms("crew-a") == 50.0
    late = build_row(sequence=2, served_ms=2.0, incarnation=1)
    assert ledger.merge([late]) == []


class LedgerMachine(RuleBasedStateMachine):
    """Two agents with restarts, against a model that only adds up service."""

    charges = Bundle("charges")

    @initialize()
    def boot(self):
        self.clock = StepClock()
        self.numbers = [0, 0]
        self.ledgers = [None, None]
        self.messages = []
        self.open = {}
        self.served_ms = {}
        self.last_rows = {}
        self.restart(0)
        self.restart(1)

    @rule(agent=st.integers(0, 1))
    def restart(self, agent):
        self.numbers[agent] += 1
        self.open = {k: v for k, v in self.open.items() if v[0] != agent}
        self.ledgers[agent] = build_ledger(
            self.clock, f"agent-{agent}", self.numbers[agent]
        )

    @rule(target=charges, agent=st.integers(0, 1), team=st.sampled_from(TEAMS))
    def hold(self, agent, team):
        charge = self.ledgers[agent].hold(team)
        self.open[charge] = [agent, team, None]
        return charge

    @rule(charge=charges)
    def start(self, charge):
        entry = self.open.get(charge)
        if entry is not None and entry[2] is None:
            charge.start()
            entry[2] = self.clock.now_ms()

    @rule(charge=consumes(charges), release=st.booleans())
    def end(self, charge, release):
        entry = self.open.pop(charge, None)
        if entry is None:
            return
        if release and entry[2] is None:
            charge.release()
        else:
            cost_ms = charge.end()
            assert cost_ms == self.clock.now_ms() - (
                self.clock.now_ms() if entry[2] is None else entry[2]
            )

    @rule(duration_ms=st.integers(1, 2000))
    def step(self, duration_ms):
        for agent, team, start_ms in self.open.values():
            if start_ms is not None:
                key = (f"agent-{agent}", self.numbers[agent], team)
                self.served_ms[key] = self.served_ms.get(key, 0.0) + duration_ms
        self.clock.step(float(duration_ms))

    @rule(agent=st.integers(0, 1), waiting=st.booleans(), team=st.sampled_from(TEAMS))
    def set_waiting(self, agent, waiting, team):
        self.ledgers[agent].set_waiting(team, waiting)

    @rule(agent=st.integers(0, 1))
    def send(self, agent):
        rows = self.ledgers[agent].rows()[1]
        for row in rows:
            if row.agent == f"agent-{agent}" and row.incarnation == self.numbers[agent]:
                self._check_monotone(row)
        self.messages.append(rows)

    def _check_monotone(self, row):
        key = (row.agent, row.incarnation, row.team)
        last = self.last_rows.get(key, row)
        assert row.served_ms == pytest.approx(self.served_ms.get(key, 0.0))
        for name in ("sequence", "served_ms", "weighted_ms", "start_level"):
            assert getattr(row, name) >= getattr(last, name)
        self.last_rows[key] = row

    @rule(agent=st.integers(0, 1), data=st.data())
    def deliver(self, agent, data):
        if self.messages:
            self.ledgers[agent].merge(data.draw(st.sampled_from(self.messages)))

    @invariant()
    def levels_are_the_sum_of_known_rows(self):
        if not hasattr(self, "ledgers"):
            return
        for agent, ledger in enumerate(self.ledgers):
            own = (f"agent-{agent}", self.numbers[agent])
            rows = [r for r in ledger.rows()[1] if (r.agent, r.incarnation) != own]
            for team in TEAMS:
                expected = sum(r.served_ms for r in rows if r.team == team)
                expected += self.served_ms.get((*own, team), 0.0)
                assert ledger.served_ms(team) == pytest.approx(expected)


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
