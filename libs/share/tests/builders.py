"""Builders of ledgers and rows for tests."""

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.identity import Identity
from bulrushbend.share.estimator import RunningMean
from bulrushbend.share.ledger import Ledger
from bulrushbend.share.row import Row


def build_ledger(clock=None, name="agent-1", incarnation=1, shares=None, **options):
    clock = clock or ManualClock()
    identity = Identity(name, incarnation)
    estimator = RunningMean(initial_ms=100.0)
    ledger = Ledger("flor-llm", identity, clock, estimator, **options)
    ledger.set_shares(shares or {})
    return ledger


def build_row(team="crew-a", agent="agent-2", sequence=1, served_ms=0.0, **fields):
    values = {
        "service": "flor-llm",
        "incarnation": 1,
        "reserve_ms": 0.0,
        "running": 0,
        "waiting": False,
        "start_level": 0.0,
        "weighted_ms": served_ms,
    }
    values.update(fields)
    return Row(agent=agent, team=team, sequence=sequence, served_ms=served_ms, **values)
