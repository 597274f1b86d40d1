import math

import pytest

from bulrushbend.core.clock import ManualClock
from bulrushbend.share.picker import LowestVirtualTimePicker

from .builders import build_ledger, build_record


async def test_served_time_accrues_while_a_request_runs():
    # Charging only at the end of a request would hide long requests.
    clock = ManualClock()
    ledger = build_ledger(clock)
    charge = ledger.open_charge("crew-a")
    charge.start()
    await clock.advance(40.0)
    [record] = ledger.records()[1]
    assert (record.served_ms, record.running, record.reserve_ms) == (40.0, 1, 100.0)
    await clock.advance(10.0)
    assert charge.end() == 50.0
    assert charge.end() == 50.0
    assert ledger.served_ms("crew-a") == 50.0
    assert ledger.virtual_time("crew-a") == 50.0


async def test_released_claim_costs_nothing():
    # A claim without a request must neither be charged nor reach the estimator.
    clock = ManualClock()
    ledger = build_ledger(clock)
    charge = ledger.open_charge("crew-a")
    assert ledger.virtual_time("crew-a") == 100.0
    await clock.advance(500.0)
    charge.release()
    assert ledger.virtual_time("crew-a") == 0.0
    assert ledger.open_charge("crew-a") and ledger.virtual_time("crew-a") == 100.0


def test_merge_ignores_old_local_foreign_and_invalid_records():
    # Echoes, reordering and a faulty peer must not corrupt the sums.
    ledger = build_ledger()
    newer = build_record(sequence=2, served_ms=20.0)
    assert ledger.merge([newer]) == [newer]
    ignored = [
        newer,
        build_record(sequence=1, served_ms=10.0),
        build_record(agent="agent-1", sequence=9, served_ms=7.0),
        build_record(service="rota-app", sequence=9, served_ms=7.0),
        build_record(sequence=9, served_ms=math.inf),
        build_record(sequence=9, served_ms=-1.0),
    ]
    assert ledger.merge(ignored) == []
    assert ledger.virtual_time("crew-a") == 20.0


async def test_cursor_returns_only_later_changes():
    # Without the cursor, every batch would contain every record.
    clock = ManualClock()
    ledger = build_ledger(clock)
    ledger.merge([build_record(served_ms=1.0)])
    ledger.open_charge("crew-b").start()
    cursor, records = ledger.records()
    assert {record.team for record in records} == {"crew-a", "crew-b"}
    assert ledger.records(cursor) == (cursor, [])
    await clock.advance(30.0)
    cursor, records = ledger.records(cursor)
    assert [(record.team, record.sequence) for record in records] == [("crew-b", 2)]


def test_picker_prefers_lowest_virtual_time_then_oldest_request():
    ledger = build_ledger(shares={"crew-b": 8.0})
    ledger.merge(
        [
            build_record("crew-a", served_ms=100.0),
            build_record("crew-b", served_ms=400.0, weighted_ms=50.0),
        ]
    )
    picker = LowestVirtualTimePicker()
    assert picker.pick({"crew-a": 900.0, "crew-b": 1.0}, ledger) == "crew-b"
    assert picker.pick({"crew-c": 1.0, "crew-d": 2.0}, ledger) == "crew-d"
    assert picker.pick({}, ledger) is None


@pytest.mark.parametrize("share", [0.5, 8.0])
async def test_share_change_does_not_reweight_past_service(share):
    # Dividing past service by the new share would give the team a debt or credit in
    # proportion to all of its past service.
    clock = ManualClock()
    ledger = build_ledger(clock, shares={"crew-a": 2.0})
    charge = ledger.open_charge("crew-a")
    charge.start()
    await clock.advance(1000.0)
    ledger.set_shares({"crew-a": share})
    await clock.advance(1000.0)
    charge.end()
    assert ledger.virtual_time("crew-a") == pytest.approx(500.0 + 1000.0 / share)


async def test_local_records_are_current_and_do_not_move_the_cursor():
    # A status report must not be outdated, and must not cause records to be sent.
    clock = ManualClock()
    ledger = build_ledger(clock)
    ledger.merge([build_record(served_ms=7.0)])
    ledger.open_charge("crew-b").start()
    cursor, _ = ledger.records()
    await clock.advance(30.0)
    [record] = ledger.local_records()
    assert (record.team, record.served_ms, record.running) == ("crew-b", 30.0, 1)
    assert [record.sequence for record in ledger.records(cursor)[1]] == [2]


async def test_records_without_refresh_are_the_same_for_every_reader():
    # Otherwise each link would get its own version of each record, and all versions
    # would be relayed.
    clock = ManualClock()
    ledger = build_ledger(clock)
    ledger.open_charge("crew-a").start()
    cursor, _ = ledger.records()
    await clock.advance(30.0)
    ledger.refresh()
    first = ledger.records(cursor, refresh=False)
    await clock.advance(1.0)
    assert ledger.records(cursor, refresh=False) == first
    assert [record.served_ms for record in first[1]] == [30.0]
