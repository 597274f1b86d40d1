"""Tests of the service gap of the real ledgers and pickers, in short simulations.

The limits are the stated targets and the bound of docs/fairness.md, never the result of
a run: (C + K * D) / w for K slots, largest cost C, dissemination delay D and smallest
share w.
"""

import pytest

from bulrushbend.bench.gaps import GapMeter
from bulrushbend.bench.policy import simulate_policy
from bulrushbend.bench.policy_sweeps import build_scenario
from bulrushbend.bench.scenario import MAX_COST_MS

TARGET_MS = {5: MAX_COST_MS, 50: 2.0 * MAX_COST_MS}


def gap_bound_ms(scenario):
    slots = scenario.agents * scenario.slots
    delay_ms = scenario.spread_ms + scenario.message_delay_ms + scenario.claim_ms
    smallest = min(team.share for team in scenario.teams)
    return (MAX_COST_MS + slots * delay_ms) / smallest


@pytest.mark.parametrize(
    "kind",
    ["flood", "shares", "skew", "light", "return", "restart", "faults", "partition"],
)
def test_gap_stays_under_the_cost_of_one_largest_request(kind):
    # Guards against a service gap above the target in any of the scenarios.
    scenario = build_scenario(kind, duration_ms=60_000.0)
    result = simulate_policy(scenario)
    assert result.gap_ms < TARGET_MS[5]
    assert result.gap_ms < gap_bound_ms(scenario)


@pytest.mark.parametrize("kind", ["flood", "shares", "return"])
def test_gap_at_fifty_agents_stays_under_two_largest_requests(kind):
    result = simulate_policy(build_scenario(kind, agents=50, duration_ms=12_000.0))
    assert result.gap_ms < TARGET_MS[50]


@pytest.mark.parametrize("spread_ms", [50.0, 1000.0, 4000.0])
def test_gap_stays_under_the_bound_at_other_send_intervals(spread_ms):
    # Guards against a policy that is tuned to one dissemination delay.
    scenario = build_scenario("flood", spread_ms=spread_ms, duration_ms=60_000.0)
    assert simulate_policy(scenario).gap_ms < gap_bound_ms(scenario)


def test_lightly_loaded_teams_are_served_beside_backlogged_teams():
    # Guards against starvation: a waiting request of a light team can claim any freed
    # slot, and 40 slots free one every 73 ms.
    result = simulate_policy(build_scenario("light", duration_ms=60_000.0))
    assert result.waits_ms
    assert 0.0 < result.median_wait_ms < 500.0
    assert result.longest_wait_ms < 5000.0


@pytest.mark.parametrize("variant", ["accrued/first-come", "accrued/round-robin"])
def test_simulation_shows_the_gap_of_unfair_policies(variant):
    # Guards against a simulation that does not detect unfairness.
    scenario = build_scenario("skew", duration_ms=60_000.0, variant=variant)
    assert simulate_policy(scenario).gap_ms > 10.0 * MAX_COST_MS


def test_same_seed_gives_the_same_run():
    scenario = build_scenario("faults", duration_ms=10_000.0)
    assert simulate_policy(scenario) == simulate_policy(scenario)


def test_no_slot_is_idle_while_work_waits():
    assert simulate_policy(build_scenario("skew", duration_ms=10_000.0)).idle_ms == 0.0


def test_gap_is_reset_when_the_set_of_backlogged_teams_changes():
    meter = GapMeter()
    meter.sample({"crew-a": 0.0, "crew-b": 0.0})
    meter.sample({"crew-a": 5.0, "crew-b": 2.0})
    meter.sample({"crew-a": 5.0, "crew-b": 6.0})
    assert (meter.gap_ms, meter.interval_gap_ms) == (3.0, 4.0)
    meter.sample({"crew-a": 90.0, "crew-b": 9.0, "crew-c": 0.0})
    meter.sample({"crew-a": 91.0, "crew-b": 9.0, "crew-c": 0.0})
    assert meter.gap_ms == 3.0
