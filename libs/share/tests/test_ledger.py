import math

import pytest

from bulrushbend.core.clock import ManualClock
from bulrushbend.share.picker import LowestLevelPicker

from .builders import build_ledger, build_row


async def test_served_time_accrues_while_a_request_runs():
    # Guards against charging only at the end, which hides long requests.
    clock = ManualClock()
    ledger = build_ledger(clock)
    charge = ledger.hold("crew-a")
    charge.start()
    await clock.advance(40.0)
    [row] = ledger.rows()[1]
    assert (row.served_ms, row.running, row.reserve_ms) == (40.0, 1, 100.0)
    await clock.advance(10.0)
    assert charge.end() == 50.0
    assert charge.end() == 50.0
    assert ledger.served_ms("crew-a") == 50.0
    assert ledger.level("crew-a") == 50.0


async def test_released_claim_costs_nothing():
    # Guards against a claim that misses being charged or fed to the estimator.
    clock = ManualClock()
    ledger = build_ledger(clock)
    charge = ledger.hold("crew-a")
    assert ledger.level("crew-a") == 100.0
    await clock.advance(500.0)
    charge.release()
    assert ledger.level("crew-a") == 0.0
    assert ledger.hold("crew-a") and ledger.level("crew-a") == 100.0


def test_merge_ignores_old_own_foreign_and_unsound_rows():
    # Guards against echoes, reordering and a faulty peer spoiling the sums.
    ledger = build_ledger()
    newer = build_row(sequence=2, served_ms=20.0)
    assert ledger.merge([newer]) == [newer]
    ignored = [
        newer,
        build_row(sequence=1, served_ms=10.0),
        build_row(agent="agent-1", sequence=9, served_ms=7.0),
        build_row(service="rota-app", sequence=9, served_ms=7.0),
        build_row(sequence=9, served_ms=math.inf),
        build_row(sequence=9, served_ms=-1.0),
    ]
    assert ledger.merge(ignored) == []
    assert ledger.level("crew-a") == 20.0


async def test_cursor_gives_only_later_changes():
    # Guards against sending every row in every batch.
    clock = ManualClock()
    ledger = build_ledger(clock)
    ledger.merge([build_row(served_ms=1.0)])
    ledger.hold("crew-b").start()
    cursor, rows = ledger.rows()
    assert {row.team for row in rows} == {"crew-a", "crew-b"}
    assert ledger.rows(cursor) == (cursor, [])
    await clock.advance(30.0)
    cursor, rows = ledger.rows(cursor)
    assert [(row.team, row.sequence) for row in rows] == [("crew-b", 2)]


def test_picker_prefers_lowest_level_per_share_then_age():
    ledger = build_ledger(shares={"crew-b": 8.0})
    ledger.merge(
        [
            build_row("crew-a", served_ms=100.0),
            build_row("crew-b", served_ms=400.0, weighted_ms=50.0),
        ]
    )
    picker = LowestLevelPicker()
    assert picker.pick({"crew-a": 900.0, "crew-b": 1.0}, ledger) == "crew-b"
    assert picker.pick({"crew-c": 1.0, "crew-d": 2.0}, ledger) == "crew-d"
    assert picker.pick({}, ledger) is None


@pytest.mark.parametrize("share", [0.5, 8.0])
async def test_share_change_leaves_past_service_as_it_was(share):
    # Guards against a re-weighted past: a debt or credit as large as the whole past.
    clock = ManualClock()
    ledger = build_ledger(clock, shares={"crew-a": 2.0})
    charge = ledger.hold("crew-a")
    charge.start()
    await clock.advance(1000.0)
    ledger.set_shares({"crew-a": share})
    await clock.advance(1000.0)
    charge.end()
    assert ledger.level("crew-a") == pytest.approx(500.0 + 1000.0 / share)


async def test_own_rows_are_of_now_and_leave_the_cursor_alone():
    # Guards against a status that lags, and against one whose reading has rows sent.
    clock = ManualClock()
    ledger = build_ledger(clock)
    ledger.merge([build_row(served_ms=7.0)])
    ledger.hold("crew-b").start()
    cursor, _ = ledger.rows()
    await clock.advance(30.0)
    [row] = ledger.own_rows()
    assert (row.team, row.served_ms, row.running) == ("crew-b", 30.0, 1)
    assert [row.sequence for row in ledger.rows(cursor)[1]] == [2]


async def test_rows_without_renewal_are_the_same_for_every_reader():
    # Guards against a version of each row for each link, all of which are relayed.
    clock = ManualClock()
    ledger = build_ledger(clock)
    ledger.hold("crew-a").start()
    cursor, _ = ledger.rows()
    await clock.advance(30.0)
    ledger.renew()
    first = ledger.rows(cursor, renew=False)
    await clock.advance(1.0)
    assert ledger.rows(cursor, renew=False) == first
    assert [row.served_ms for row in first[1]] == [30.0]
