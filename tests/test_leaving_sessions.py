import time

from fleet import Fleet
from forwarder import Rule
from loads import Load
from localfleet import FleetPlan, fetch

REPLICAS = ("control-1", "control-2", "control-3")
PLAN = FleetPlan(engines=4, applications=0, overrides={"platform": {"lag_ms": 500}})
# Maximum time from the start of leaving to the last start of a request, from section
# 1.4 of the design.
LEAVING_LIMIT_MS = 3000.0
COST = {"kind": "log-uniform", "low_ms": 50.0, "high_ms": 600.0}


def leave_by_platform(fleet, agent):
    settings = fleet.units[agent].settings
    address = fleet.units["platform"].listen_address
    change = {"state": "leaving", "data_centre": settings["data_centre"]}
    url = f"http://{address}/vms/{settings['vm']}"
    assert fetch(url, change, method="PUT")[0] == 200


def leave_by_manifest(fleet, agent):
    version = 2
    manifest = fleet.manifest(version)
    for endpoint in manifest["endpoints"]:
        if f"agent-{endpoint['name']}" == agent:
            endpoint["state"] = "leaving"
    assert fleet.publish(manifest, wait=False).returncode == 0


def leave_by_signal(fleet, agent):
    # The process exits after its running requests have finished.
    assert fleet.stop(agent) == {agent: 0}


# Each cause removes a different engine while its agent cannot reach any control
# replica. The fourth engine stays.
CAUSES = {
    "manifest": ("agent-engine-1", leave_by_manifest),
    "platform": ("agent-engine-2", leave_by_platform),
    "signal": ("agent-engine-3", leave_by_signal),
}


def count_runs(fleet):
    return {f"engine-{i}": fleet.runs(f"engine-{i}")["total"] for i in range(1, 5)}


def describe(fleet, agent, began_ms):
    events = fleet.events(agent)
    starts = [e.wall_ms for e in events if e.kind == "attempt-started"]
    kinds = [e.kind for e in events]
    reasons = [e.details["reason"] for e in events if e.kind == "leaving-started"]
    late = max(starts) - began_ms
    print(agent, "last start after", late, "ms")
    return [
        f"{agent}: leaving-started {reasons}",
        f"  last start within {LEAVING_LIMIT_MS:g} ms: {late <= LEAVING_LIMIT_MS}",
        f"  attempts failed: {kinds.count('attempt-failed')}",
        f"  attempts cancelled: {kinds.count('attempt-cancelled')}",
    ]


def test_leaving_endpoints_isolated_from_control_stop_serving(tmp_path, snapshot):
    """An agent isolated from control starts requests on a leaving endpoint."""
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot()
        for agent, _ in CAUSES.values():
            for replica in REPLICAS:
                fleet.network.set_rule(Rule.SILENT, replica, agent)
        fields = {"cost": COST, "concurrency": 30, "stream": True}
        # On a busy machine it took 4.4 s to trigger all causes. The load must continue
        # past the limit that follows, or the remaining endpoint gets no runs after it.
        load = Load(fleet, [{"name": "crew-a"}], duration_ms=12_000, **fields)
        fleet.wait_until(
            lambda: min(count_runs(fleet).values()) > 3, "all engines run requests"
        )
        began_ms = {}
        for agent, leave in CAUSES.values():
            began_ms[agent] = time.time() * 1000
            leave(fleet, agent)
        time.sleep(LEAVING_LIMIT_MS / 1000)
        limit = count_runs(fleet)
        outcomes = load.outcomes()
        last = count_runs(fleet)
        lines = [
            "three of four endpoints leave, their agents are isolated from control"
        ]
        for agent, since_ms in began_ms.items():
            lines += describe(fleet, agent, since_ms)
        grown = [name for name in last if last[name] > limit[name]]
        lines.append(f"endpoints with runs after that: {grown}")
        lines.append(f"outcomes: {sorted(outcomes)}")
    assert "\n".join(lines) == snapshot
