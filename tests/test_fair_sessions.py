import time

import pytest
from fleet import Fleet
from forwarder import Rule
from loads import Load
from localfleet import MODEL_SERVICE, FleetPlan

SHARES = {"large": 1.0, "small": 1.0, "weighty": 8.0}
PLAN = FleetPlan(engines=2, applications=0, slots=4, teams=SHARES)
SLOTS = 8
LARGEST_COST_MS = 800.0
# An accounting record waits for the next round of the agent and then of the relaying
# router, 100 ms each.
ACCOUNTING_DELAY_MS = 200.0
# G of docs/fairness.md for a minimum share of 1; gaps over an interval are at most 2 G.
MAX_GAP_MS = 2 * (LARGEST_COST_MS + SLOTS * ACCOUNTING_DELAY_MS)
# While the small team waits, the slots that its router reaches serve a flood of share
# 1, so the flood's virtual time advances by at least their number per ms. The wait ends
# at the latest when it has advanced by the maximum gap.
MAX_WAIT_MS = MAX_GAP_MS / (SLOTS / 2)
# Target of section 1.4 of the design.
MAX_IDLE_FRACTION = 0.01
# Idle time of a slot between two requests under the same target, whose request costs
# are log-uniform from 20 ms to 20 s with a mean of 2.9 s.
MAX_IDLE_PER_REQUEST_MS = 0.01 * 2900.0
# Half of heartbeat_ms: a slot that waits for a periodic message is idle longer.
MAX_IDLE_MS = 250.0
USABLE_METRIC = "bulrushbend_agent_slot_usable_ms"
IDLE_METRIC = "bulrushbend_agent_slot_idle_while_waiting_ms"
FLOOD_COST = {"kind": "log-uniform", "low_ms": 200.0, "high_ms": LARGEST_COST_MS}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fair"), PLAN) as running:
        running.boot()
        yield running


def flood(fleet, *teams, seconds=3, concurrency=60):
    fields = {"cost": FLOOD_COST, "concurrency": concurrency, "stream": True}
    return Load(fleet, teams, duration_ms=seconds * 1000, **fields)


def waits_ms(fleet, router, team):
    queued, waits = {}, []
    for event in fleet.events(router):
        request = event.details.get("request_id")
        if event.kind == "request-queued" and event.details["team"] == team:
            queued[request] = event.wall_ms
        if event.kind == "attempt-sent" and request in queued:
            waits.append(event.wall_ms - queued.pop(request))
    assert not queued
    return waits


def served_per_share(fleet):
    (service,) = (
        s for s in fleet.status()["services"] if s["service"] == MODEL_SERVICE
    )
    return {t["team"]: t["served_ms"] / t["share"] for t in service["teams"]}


def slot_time_ms(fleet):
    """Return usable and idle slot time from gauges updated after this call began."""
    agents = [agent.name for agent in fleet.of_role("agent")]
    asked = {name: fleet.gauges(name)[USABLE_METRIC] for name in agents}

    def read_updated_gauges():
        gauges_by_agent = {name: fleet.gauges(name) for name in agents}
        return (
            gauges_by_agent
            if all(gauges_by_agent[n][USABLE_METRIC] > asked[n] for n in agents)
            else None
        )

    gauges_by_agent = fleet.wait_until(
        read_updated_gauges, "all agents update their slot gauges"
    ).values()
    return [
        sum(gauges[key] for gauges in gauges_by_agent)
        for key in (USABLE_METRIC, IDLE_METRIC)
    ]


def count_attempts(fleet):
    return sum(fleet.runs(name)["total"] for name in ("engine-1", "engine-2"))


def wait_for_attempts(fleet, count=8):
    before = count_attempts(fleet)
    fleet.wait_until(lambda: count_attempts(fleet) >= before + count, "attempts run")


def verdict(name, value, bound):
    return f"{name} within {bound:g}: {'yes' if value <= bound else value}"


def test_small_team_is_served_beside_a_flood(fleet, snapshot):
    """A small team starves, or waits too long if its router lacks half the records."""
    fleet.network.set_rule(Rule.DROP, "agent-engine-1", "router-2")
    load = flood(fleet, {"name": "large", "routers": [0]})
    wait_for_attempts(fleet)
    statuses = set()
    ends = time.monotonic() + 2.5
    while time.monotonic() < ends:
        document = {"model": MODEL_SERVICE, "x_nonce": "s", "x_cost_ms": 20}
        answer = fleet.request("/v1/chat/completions", document, router=1, team="small")
        statuses.add(answer[0])
    waits = waits_ms(fleet, "router-2", "small")
    outcomes = load.outcomes()
    fleet.network.heal()
    fleet.wait_until(fleet.all_linked, "all links are up")
    print("longest wait", max(waits), "of", len(waits))
    lines = [
        "large floods router-1; small uses router-2, which cannot reach agent-engine-1",
        f"small: {sorted(statuses)}",
        f"large: {sorted(outcomes)}",
        verdict("longest wait of small in ms", max(waits), MAX_WAIT_MS),
    ]
    assert "\n".join(lines) == snapshot


def test_backlogged_teams_are_served_by_share(fleet, snapshot):
    """Teams of shares 1 and 8 on different routers are not served by share."""
    load = flood(
        fleet,
        {"name": "large", "routers": [0], "weight": 1.0},
        {"name": "weighty", "routers": [1], "weight": 1.0},
        seconds=5,
        concurrency=30,
    )
    wait_for_attempts(fleet)
    first = served_per_share(fleet)
    time.sleep(2.0)
    last = served_per_share(fleet)
    outcomes = load.outcomes()
    served = {team: last[team] - first.get(team, 0.0) for team in ("large", "weighty")}
    gap = abs(served["large"] - served["weighty"])
    print("gap", gap, served)
    lines = [
        "large (share 1) floods router-1, weighty (share 8) floods router-2",
        f"outcomes: {sorted(outcomes)}",
        verdict("gap in ms per share", gap, MAX_GAP_MS),
        f"both served: {all(value > 0 for value in served.values())}",
    ]
    assert "\n".join(lines) == snapshot


def longest_idle_ms(fleet, since_ms):
    """Return the longest time from the end of an attempt to the next start."""
    longest = 0.0
    for agent in fleet.of_role("agent"):
        ends = []
        events = [e for e in fleet.events(agent.name) if e.wall_ms > since_ms]
        for event in events:
            if event.kind == "attempt-finished":
                ends.append(event.wall_ms)
            if event.kind == "attempt-started" and ends:
                longest = max(longest, event.wall_ms - ends.pop(0))
    return longest


def test_no_slot_is_idle_while_work_waits_at_one_router(fleet, snapshot):
    """Endpoints idle while requests wait at the only router that has any."""
    load = flood(fleet, {"name": "large", "routers": [1]}, seconds=4, concurrency=30)
    wait_for_attempts(fleet)
    since_ms = time.time() * 1000
    started, runs = slot_time_ms(fleet), count_attempts(fleet)
    time.sleep(1.0)
    ended, runs = slot_time_ms(fleet), count_attempts(fleet) - runs
    outcomes = load.outcomes()
    usable, idle = (end - start for start, end in zip(started, ended, strict=True))
    longest = longest_idle_ms(fleet, since_ms)
    print("idle part", idle / usable, "each", idle / runs, "longest", longest)
    lines = [
        "large floods router-2 only",
        f"outcomes: {sorted(outcomes)}",
        f"slot time was offered: {usable > 0}",
        verdict("idle part of the slot time", idle / usable, MAX_IDLE_FRACTION),
        verdict("idle time per request in ms", idle / runs, MAX_IDLE_PER_REQUEST_MS),
        verdict("longest idle time of a slot in ms", longest, MAX_IDLE_MS),
    ]
    assert "\n".join(lines) == snapshot
