import json
import time

import pytest
from fleet import Fleet
from forwarder import Rule
from loads import Load
from localfleet import FleetPlan, fetch

REPLICAS = ("control-1", "control-2", "control-3")
PLAN = FleetPlan(engines=4, applications=0, overrides={"platform": {"lag_ms": 500}})
# Time from the start of leaving to the last start of a request, from design 1.4.
LEAVING_LIMIT_MS = 3000.0
COST = {"kind": "log-uniform", "low_ms": 50.0, "high_ms": 600.0}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("leaving"), PLAN) as running:
        running.boot()
        yield running


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
    # The process ends when its requests have ended.
    assert fleet.stop(agent) == {agent: 0}


# Each cause takes another engine away, while its agent reaches no control replica. The
# fourth engine stays.
CAUSES = {
    "manifest": ("agent-engine-1", leave_by_manifest),
    "platform": ("agent-engine-2", leave_by_platform),
    "signal": ("agent-engine-3", leave_by_signal),
}


@pytest.mark.parametrize("cause", CAUSES)
def test_leaving_endpoint_cut_off_from_control(fleet, snapshot, cause):
    """An agent that hears nothing from control starts work on a leaving endpoint."""
    agent, leave = CAUSES[cause]
    endpoint = agent.removeprefix("agent-")
    for replica in REPLICAS:
        fleet.network.set_rule(Rule.SILENT, replica, agent)
    earlier = fleet.runs(endpoint)["total"]
    load = Load(
        fleet,
        [{"name": "crew-a"}],
        cost=COST,
        concurrency=20,
        duration_ms=4500,
        stream=True,
    )

    def is_busy():
        return fleet.runs(endpoint)["total"] > earlier + 3

    fleet.wait_until(is_busy, "work arrives")
    began_ms = time.time() * 1000
    leave(fleet, agent)
    outcomes = load.outcomes()
    fleet.network.heal()
    events = fleet.events(agent)
    starts = [e.wall_ms for e in events if e.kind == "attempt-started"]
    kinds = [e.kind for e in events]
    reasons = [e.details["reason"] for e in events if e.kind == "leaving-started"]
    late = max(starts) - began_ms
    print(cause, "last start after", late, "ms", outcomes)
    lines = [
        f"{endpoint} leaves by {cause}, its agent hears nothing from control",
        f"agent: leaving-started {reasons}",
        f"last start within {LEAVING_LIMIT_MS:g} ms: {late <= LEAVING_LIMIT_MS}",
        f"attempts failed: {kinds.count('attempt-failed')}",
        f"attempts cancelled: {kinds.count('attempt-cancelled')}",
        f"outcomes: {json.dumps(sorted(outcomes))}",
    ]
    assert "\n".join(lines) == snapshot
