import random
from collections import Counter

from bulrushbend.share.picker import ProportionalPicker

from .builders import SteppedClock, build_ledger, build_record, serve

WAITING = {"crew-a": 1.0, "crew-b": 2.0}


def build_picker(position=0, horizon_ms=250.0):
    return ProportionalPicker(position, horizon_ms, rng=random.Random(7))


def count_picks(ledger, clock, picker, rounds=400):
    picks = Counter()
    for _ in range(rounds):
        serve(ledger, clock, "crew-b", 0.0)
        picks[picker.pick(WAITING, ledger)] += 1
    return picks


def test_freed_slot_stays_with_a_team_without_surplus():
    # Otherwise short requests would permanently lose their slots to long ones.
    clock = SteppedClock()
    ledger = build_ledger(clock)
    ledger.merge([build_record("crew-a", served_ms=5000.0)])
    assert count_picks(ledger, clock, build_picker()) == {"crew-b": 400}


def test_small_surplus_is_reassigned_by_few_of_many_agents():
    # Otherwise all agents would assign their slots to the same team at once.
    clock = SteppedClock()
    ledger = build_ledger(clock)
    elsewhere = {"running": 400, "reserve_ms": 40_000.0}
    ledger.merge(
        [
            build_record("crew-a", served_ms=0.0, **elsewhere),
            build_record("crew-b", served_ms=200.0, **elsewhere),
        ]
    )
    picks = count_picks(ledger, clock, build_picker())
    assert 0 < picks["crew-a"] < 40


def test_waiting_team_without_service_gets_the_next_slot():
    # A team that keeps its slots must not starve the others.
    clock = SteppedClock()
    ledger = build_ledger(clock)
    ledger.merge([build_record("crew-b", served_ms=1e6)])
    serve(ledger, clock, "crew-b", 500.0)
    assert build_picker().pick(WAITING, ledger) == "crew-a"


def test_cold_start_is_balanced_over_the_agents():
    # With equal virtual times, not all agents may start with the same team.
    # Multiples of the golden ratio are distributed evenly over an interval, with an
    # error below one for each Fibonacci number in 50 = 34 + 13 + 3, so the counts
    # differ by less than 6.
    teams = {f"crew-{number}": 1.0 for number in range(6)}
    started = Counter()
    for position in range(50):
        ledger = build_ledger()
        picker = build_picker(position)
        for _ in range(8):
            team = picker.pick(teams, ledger)
            ledger.open_charge(team)
            started[team] += 1
    assert max(started.values()) - min(started.values()) < 6


def test_pick_without_waiting_team_returns_none_and_discards_the_freed_slot():
    clock = SteppedClock()
    ledger = build_ledger(clock)
    serve(ledger, clock, "crew-b", 500.0)
    assert build_picker().pick({}, ledger) is None
    assert ledger.pop_freed_team() is None


def test_slot_that_stayed_free_belongs_to_no_team():
    # A flood that starts while slots are idle must not be assigned by their last users.
    clock = SteppedClock()
    ledger = build_ledger(clock)
    serve(ledger, clock, "crew-b", 500.0)
    clock.step(60.0)
    assert ledger.pop_freed_team() is None
