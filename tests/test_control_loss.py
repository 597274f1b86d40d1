import json

from fleet import Fleet
from localfleet import APPLICATION_SERVICE, MODEL_SERVICE, FleetPlan

PLAN = FleetPlan(engines=1, applications=1)
REPLICAS = ("control-1", "control-2", "control-3")
BOOKINGS = f"/services/{APPLICATION_SERVICE}/bookings"


def send_chat_request(fleet):
    document = {"model": MODEL_SERVICE, "x_nonce": "n", "x_tokens": 2}
    return fleet.request("/v1/chat/completions", document)[0]


def send_booking(fleet, key):
    return fleet.request(BOOKINGS, {"x_nonce": key}, **{"Idempotency-Key": key})


def test_without_control_unkeyed_requests_run_and_keyed_ones_do_not(tmp_path):
    # Guards against a loss of all control replicas that stops requests without a key,
    # or lets a keyed request run without a record.
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot(version=3)
        for name in REPLICAS:
            fleet.kill(name)
        assert send_chat_request(fleet) == 200
        status, headers, body = send_booking(fleet, "k1")
        assert (status, headers["Bulrushbend-Outcome"]) == (503, "not-run")
        assert json.loads(body)["error"]["code"] == "key-unavailable"
        assert fleet.runs("application-1")["total"] == 0
        result = fleet.command("status", "--control", fleet.control_addresses)
        assert result.returncode == 4
        fleet.start(*REPLICAS)
        fleet.wait_for("/readyz", REPLICAS)
        assert fleet.status()["manifest_version"] == 3
        fleet.wait_until(
            lambda: send_booking(fleet, "k1")[0] == 200, "the key is recorded"
        )
        assert fleet.runs("application-1", "?key=k1")["runs"] == 1


def test_conflicting_and_stale_manifests_are_refused(tmp_path):
    # Guards against accepting an older manifest, or a second one of the same version.
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot(version=3)
        assert fleet.publish(fleet.manifest(3)).returncode == 0
        conflict = fleet.publish(fleet.manifest(3, retry_share=0.2))
        stale = fleet.publish(fleet.manifest(2))
        assert (conflict.returncode, stale.returncode) == (3, 3)
        assert fleet.status()["manifest_digest"] in conflict.stderr
        assert "version 3 is in force" in stale.stderr
        assert {p["manifest_version"] for p in fleet.status()["processes"]} == {3}
