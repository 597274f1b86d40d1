"""A team that becomes backlogged gets neither credit nor penalty for its past."""

from .builders import SteppedClock, build_ledger, build_record, serve


def build_active(names=("crew-a", "crew-b"), **options):
    clock = SteppedClock()
    ledger = build_ledger(clock, **options)
    for name in names:
        ledger.set_waiting(name, True)
    return clock, ledger


def test_idle_team_gets_no_credit():
    # Otherwise a team that was idle would get all slots until it has caught up.
    clock, ledger = build_active()
    serve(ledger, clock, "crew-a", 5000.0)
    serve(ledger, clock, "crew-b", 6000.0)
    ledger.set_waiting("crew-c", True)
    assert ledger.virtual_time("crew-c") == 5000.0


def test_burst_on_idle_capacity_is_not_penalised():
    # Otherwise a team would starve for having used slots that no other team requested.
    clock = SteppedClock()
    ledger = build_ledger(clock)
    serve(ledger, clock, "crew-a", 60_000.0)
    ledger.set_waiting("crew-b", True)
    ledger.set_waiting("crew-a", True)
    assert ledger.virtual_time("crew-a") == ledger.virtual_time("crew-b") == 60_000.0


def test_debt_stays_over_a_pause():
    # A team must not lose its debt by a short pause.
    clock, ledger = build_active()
    serve(ledger, clock, "crew-a", 9000.0)
    ledger.set_waiting("crew-a", False)
    ledger.set_waiting("crew-a", True)
    assert (ledger.virtual_time("crew-a"), ledger.virtual_time("crew-b")) == (
        9000.0,
        0.0,
    )


def test_start_virtual_time_does_not_include_reserves():
    # Otherwise a new team would permanently receive less service, by the reserve of
    # the other teams.
    _clock, ledger = build_active()
    ledger.open_charge("crew-a")
    ledger.open_charge("crew-b")
    ledger.set_waiting("crew-c", True)
    assert ledger.virtual_time("crew-c") == 0.0


def test_team_that_waits_elsewhere_is_not_raised():
    # Otherwise each agent would raise the start value when it sees the backlog.
    clock, ledger = build_active(("crew-a",))
    serve(ledger, clock, "crew-a", 5000.0)
    ledger.merge([build_record("crew-c", waiting=True)])
    ledger.set_waiting("crew-c", True)
    assert ledger.virtual_time("crew-c") == 0.0


def test_team_that_runs_elsewhere_starts_lower_by_service_in_transit():
    # Service whose records are still in transit must not count twice. The allowance for
    # it must not be as large as the reserve of long requests that outlast a pause.
    clock, ledger = build_active(("crew-a",))
    serve(ledger, clock, "crew-a", 5000.0)
    ledger.merge([build_record("crew-c", running=2, reserve_ms=8000.0)])
    ledger.set_waiting("crew-c", True)
    assert ledger.virtual_time("crew-c") == 5000.0 - 2 * 250.0 + 8000.0


def test_flags_of_a_silent_agent_are_ignored():
    # A lost agent must not keep a team marked as waiting or its reserve counted.
    clock, ledger = build_active(("crew-a",))
    ledger.merge([build_record("crew-c", waiting=True, running=3, reserve_ms=900.0)])
    assert ledger.virtual_time("crew-c") == 900.0
    serve(ledger, clock, "crew-a", 5200.0)
    assert ledger.virtual_time("crew-c") == 0.0
    ledger.set_waiting("crew-c", True)
    assert ledger.virtual_time("crew-c") == 5200.0


def test_record_of_a_waiting_team_is_refreshed():
    # Otherwise readers would consider an agent stale whose team only waits.
    clock, ledger = build_active(("crew-a",))
    cursor, _ = ledger.records()
    clock.step(999.0)
    assert ledger.records(cursor)[1] == []
    clock.step(1.0)
    assert [record.team for record in ledger.records(cursor)[1]] == ["crew-a"]


def test_raised_start_virtual_time_reaches_other_agents():
    clock, ledger = build_active(("crew-a",))
    serve(ledger, clock, "crew-a", 5000.0)
    ledger.set_waiting("crew-c", True)
    other = build_ledger(clock, name="agent-9")
    other.merge(ledger.records()[1])
    assert other.virtual_time("crew-c") == 5000.0
