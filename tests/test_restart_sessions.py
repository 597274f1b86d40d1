import time

from fleet import Fleet
from loads import Load
from localfleet import FleetPlan

PLAN = FleetPlan(
    engines=2,
    applications=0,
    platform=False,
    overrides={"router": {"drain_ms": 10_000}},
)
COST = {"kind": "log-uniform", "low_ms": 50.0, "high_ms": 500.0}
ROUTERS = ("router-1", "router-2")
AGENTS = ("agent-engine-1", "agent-engine-2")


def restart(fleet, name):
    """Restart a process as in docs/OPERATIONS.md, and return its exit code."""
    codes = fleet.stop(name)
    fleet.start(name)
    fleet.wait_for("/readyz", [name])
    fleet.wait_until(fleet.all_linked, "all links are up")
    return codes[name]


def test_rolling_restart_interrupts_no_request(tmp_path, snapshot):
    """A restart of routers and agents interrupts or loses requests in progress."""
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot()
        load = Load(
            fleet,
            [{"name": "crew-a"}],
            cost=COST,
            stream=True,
            mode="open",
            rate_per_s=15.0,
            requests=400,
            duration_ms=8000,
        )
        time.sleep(0.5)
        codes = {name: restart(fleet, name) for name in (*AGENTS, *ROUTERS)}
        report = load.finish()
        events = fleet.events()
    (team,) = report["teams"]
    outcomes = team["outcomes"]
    print(outcomes)
    # A stopped router refuses connections, so these requests were never sent.
    not_sent = outcomes.pop("ConnectFailed", 0) + outcomes.pop("not-run", 0)
    cut = [e.kind for e in events if e.kind in ("attempt-failed", "attempt-cancelled")]
    ended = {"request-answered", "request-not-run"}
    queued = {e.details["request_id"] for e in events if e.kind == "request-queued"}
    answered = {e.details["request_id"] for e in events if e.kind in ended}
    lines = [
        f"exit codes: {codes}",
        f"outcomes besides connections refused and not-run: {sorted(outcomes)}",
        f"all accounted for: {sum(outcomes.values()) + not_sent == report['sent']}",
        f"queued without an end: {len(queued - answered)}",
        f"attempts cut: {len(cut)}",
        f"wrong answers: {report['wrong']}",
        f"answered while restarting: {outcomes['answered'] > 30}",
    ]
    assert "\n".join(lines) == snapshot
