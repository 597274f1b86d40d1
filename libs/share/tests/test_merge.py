"""Merging of records: reordering, loss, duplication, restarts and bounded memory."""

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

from bulrushbend.share.peer_records import PeerRecords

from .builders import SteppedClock, build_ledger, build_record

TEAMS = ("crew-a", "crew-b", "crew-c")


@st.composite
def histories(draw):
    """Generate versions of records as their agents would write them."""
    records = []
    for agent in ("agent-2", "agent-3"):
        for incarnation in range(1, draw(st.integers(1, 3)) + 1):
            for team in TEAMS:
                served_ms = start_virtual_time = 0.0
                for sequence in range(1, draw(st.integers(0, 3)) + 1):
                    served_ms += draw(st.integers(0, 10_000))
                    start_virtual_time += draw(st.integers(0, 100))
                    running = draw(st.integers(0, 3))
                    record = build_record(
                        team,
                        agent,
                        sequence,
                        float(served_ms),
                        incarnation=incarnation,
                        start_virtual_time=float(start_virtual_time),
                        running=running,
                        reserve_ms=running * 100.0,
                        waiting=draw(st.booleans()),
                    )
                    records.append(record)
    return records


def select_newest(records):
    newest = {}
    for record in records:
        key = (record.agent, record.incarnation, record.team)
        if key not in newest or newest[key].sequence < record.sequence:
            newest[key] = record
    return newest


@settings(deadline=None)
@given(histories(), st.data())
def test_merge_result_is_independent_of_order_loss_and_duplication(records, data):
    # Virtual times must not depend on how the records were delivered.
    final = list(select_newest(records).values())
    extra = (
        data.draw(st.lists(st.sampled_from(records), max_size=20)) if records else []
    )
    shuffled = data.draw(st.permutations(final + extra))
    plain, other = build_ledger(), build_ledger()
    plain.merge(final)
    other.merge(shuffled)
    assert other.merge(shuffled) == []
    assert {record for record in other.records()[1]} == set(final)
    for team in TEAMS:
        assert other.virtual_time(team) == pytest.approx(plain.virtual_time(team))
        assert other.served_ms(team) == pytest.approx(
            sum(record.served_ms for record in final if record.team == team)
        )


def test_service_of_ended_incarnations_stays_in_the_sum():
    # The restart of an agent must not reset the service that it has recorded.
    ledger = build_ledger()
    ledger.merge([build_record(served_ms=70.0, running=4, reserve_ms=400.0)])
    ledger.merge([build_record(served_ms=5.0, incarnation=2)])
    assert ledger.virtual_time("crew-a") == 75.0
    ledger.merge(
        [build_record(sequence=2, served_ms=71.0, running=4, reserve_ms=400.0)]
    )
    assert ledger.virtual_time("crew-a") == 76.0


def test_records_of_an_earlier_incarnation_of_the_agent_are_merged():
    ledger = build_ledger(name="agent-1", incarnation=2)
    ledger.merge([build_record(agent="agent-1", served_ms=50.0)])
    assert ledger.virtual_time("crew-a") == 50.0


def test_memory_for_ended_incarnations_is_bounded():
    # Otherwise the ledger would grow with every restart of an agent.
    peers = PeerRecords(ended_records_limit=10)
    ledger = build_ledger(peers=peers)
    for incarnation in range(1, 51):
        for team in TEAMS:
            ledger.merge([build_record(team, served_ms=1.0, incarnation=incarnation)])
    assert len(list(peers)) <= 10 + len(TEAMS)
    assert len(ledger.records()[1]) == len(list(peers))
    assert ledger.served_ms("crew-a") == 50.0
    late = build_record(sequence=2, served_ms=2.0, incarnation=1)
    assert ledger.merge([late]) == []


class LedgerMachine(RuleBasedStateMachine):
    """Two agents with restarts, compared with a model that only sums up service."""

    charges = Bundle("charges")

    @initialize()
    def boot(self):
        self.clock = SteppedClock()
        self.numbers = [0, 0]
        self.ledgers = [None, None]
        self.messages = []
        self.open = {}
        self.served_ms = {}
        self.last_records = {}
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
    def open_charge(self, agent, team):
        charge = self.ledgers[agent].open_charge(team)
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
        records = self.ledgers[agent].records()[1]
        for record in records:
            if (
                record.agent == f"agent-{agent}"
                and record.incarnation == self.numbers[agent]
            ):
                self._check_monotone(record)
        self.messages.append(records)

    def _check_monotone(self, record):
        key = (record.agent, record.incarnation, record.team)
        last = self.last_records.get(key, record)
        assert record.served_ms == pytest.approx(self.served_ms.get(key, 0.0))
        for name in ("sequence", "served_ms", "weighted_ms", "start_virtual_time"):
            assert getattr(record, name) >= getattr(last, name)
        self.last_records[key] = record

    @rule(agent=st.integers(0, 1), data=st.data())
    def deliver(self, agent, data):
        if self.messages:
            self.ledgers[agent].merge(data.draw(st.sampled_from(self.messages)))

    @invariant()
    def service_is_the_sum_of_known_records(self):
        if not hasattr(self, "ledgers"):
            return
        for agent, ledger in enumerate(self.ledgers):
            own = (f"agent-{agent}", self.numbers[agent])
            records = [
                r for r in ledger.records()[1] if (r.agent, r.incarnation) != own
            ]
            for team in TEAMS:
                expected = sum(r.served_ms for r in records if r.team == team)
                expected += self.served_ms.get((*own, team), 0.0)
                assert ledger.served_ms(team) == pytest.approx(expected)


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
