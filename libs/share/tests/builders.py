"""Builders of ledgers and accounting records for tests."""

from bulrushbend.core.clock import Clock, ManualClock
from bulrushbend.core.identity import Identity
from bulrushbend.share.estimator import RunningMean
from bulrushbend.share.ledger import Ledger
from bulrushbend.share.record import AccountingRecord


def build_ledger(clock=None, name="agent-1", incarnation=1, shares=None, **options):
    clock = clock or ManualClock()
    identity = Identity(name, incarnation)
    estimator = RunningMean(initial_ms=100.0)
    ledger = Ledger("flor-llm", identity, clock, estimator, **options)
    ledger.set_shares(shares or {})
    return ledger


def build_record(team="crew-a", agent="agent-2", sequence=1, served_ms=0.0, **fields):
    values = {
        "service": "flor-llm",
        "incarnation": 1,
        "reserve_ms": 0.0,
        "running": 0,
        "waiting": False,
        "start_virtual_time": 0.0,
        "weighted_ms": served_ms,
    }
    values.update(fields)
    return AccountingRecord(
        agent=agent, team=team, sequence=sequence, served_ms=served_ms, **values
    )


class SteppedClock(Clock):
    """Clock that is advanced by `step` and needs no event loop."""

    def __init__(self):
        self.value_ms = 0.0

    def now_ms(self):
        return self.value_ms

    def step(self, duration_ms):
        self.value_ms += duration_ms


def serve(ledger, clock, team, cost_ms):
    """Run one request of `team` from claim to end."""
    charge = ledger.open_charge(team)
    charge.start()
    clock.step(cost_ms)
    return charge.end()
