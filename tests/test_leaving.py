import json
import time

from fleet import Fleet
from localfleet import MODEL_SERVICE, FleetPlan, fetch, token_of

PLAN = FleetPlan(engines=2, applications=0, overrides={"platform": {"lag_ms": 500}})
# Time from the start of leaving to the last start of a request, from design 1.4.
LEAVING_LIMIT_S = 3.0


def start_load(fleet, **fields):
    load = {
        "routers": [unit.listen_address for unit in fleet.of_role("router")],
        "service": MODEL_SERVICE,
        "stream": True,
        "cost": {"kind": "log-uniform", "low_ms": 20.0, "high_ms": 300.0},
        "concurrency": 16,
        "requests": 2000,
        "duration_ms": 8000,
        "teams": [{"name": "crew-a", "token": token_of("crew-a")}],
    }
    path = fleet.write_toml("load", load | fields)
    return fleet.popen("load", f"--settings={path}", "--json")


def finish_load(process):
    output, errors = process.communicate(timeout=60)
    assert process.returncode == 0, errors + output
    report = json.loads(output)
    return report, report["teams"][0]["outcomes"]


def test_leaving_endpoint_gets_no_new_work_and_loses_none(tmp_path):
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot()
        load = start_load(fleet)
        fleet.wait_until(lambda: fleet.runs("engine-1")["total"] > 5, "work arrives")
        agent = fleet.units["agent-engine-1"].settings
        platform = fleet.units["platform"].listen_address
        url = f"http://{platform}/vms/{agent['vm']}"
        change = {"state": "leaving", "data_centre": agent["data_centre"]}
        assert fetch(url, change, method="PUT")[0] == 200
        time.sleep(LEAVING_LIMIT_S)
        started = fleet.runs("engine-1")["total"]
        others = fleet.runs("engine-2")["total"]
        _, outcomes = finish_load(load)
        assert fleet.runs("engine-1")["total"] == started
        assert fleet.runs("engine-2")["total"] > others
        assert set(outcomes) == {"answered"}


def test_shutdown_of_a_router_interrupts_no_request(tmp_path):
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot()
        load = start_load(fleet)
        engines = ("engine-1", "engine-2")
        fleet.wait_until(
            lambda: sum(fleet.runs(name)["total"] for name in engines) > 50,
            "work is in full progress",
        )
        assert fleet.stop("router-1") == {"router-1": 0}
        _, outcomes = finish_load(load)
        assert outcomes["answered"] > 50
        assert set(outcomes) <= {"answered", "not-run", "ConnectFailed"}


def test_faulty_answers_never_look_complete(tmp_path):
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot()
        kinds = ("crossed", "cut", "truncate", "late")
        for kind in kinds:
            for engine in ("engine-1", "engine-2"):
                fleet.add_fault(
                    engine, kind=kind, after_bytes=200, delay_ms=300, skip=2, times=3
                )
        load = start_load(fleet, requests=120, duration_ms=60_000)
        report, outcomes = finish_load(load)
        assert report["wrong"] == []
        assert report["sent"] == 120
        assert report["answered"] >= 120 - 3 * 2 * len(kinds)
        assert set(outcomes) <= {"answered", "unknown", "failed", "TruncatedAnswer"}
