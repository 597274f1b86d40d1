import os
import subprocess
import sys

from fleet import Fleet
from forwarder import Rule
from localfleet import MODEL_SERVICE, FleetPlan, pick_ports

PLAN = FleetPlan(engines=2, applications=0)
# silence_ms is 2 s within a data centre and 3 s between data centres; the remainder is
# for reconnecting.
RECONNECT_TIMEOUT_S = 8.0


def send_chat_request(fleet, router=0):
    document = {"model": MODEL_SERVICE, "x_nonce": "n", "x_tokens": 2}
    return fleet.request("/v1/chat/completions", document, router=router)[0]


def test_silent_links_are_reconnected(tmp_path):
    # Guards against a silent link that is never closed and opened again.
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot()
        assert fleet.network.silence_open("agent-engine-1", "router-1") > 0

        def is_down():
            return "agent-engine-1" not in fleet.linked_peers("router-1")

        fleet.wait_until(is_down, "the silent link is closed", RECONNECT_TIMEOUT_S)
        assert "agent-engine-1" in fleet.linked_peers("router-2")
        fleet.wait_until(fleet.all_linked, "the link is up again", RECONNECT_TIMEOUT_S)
        assert send_chat_request(fleet) == 200


def test_router_cut_off_from_one_agent_serves_through_the_other(tmp_path):
    # Guards against requests that fail because one of two agents is unreachable.
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot()
        fleet.network.set_rule(Rule.DROP, "agent-engine-1", "router-1")
        assert [send_chat_request(fleet) for _ in range(4)] == [200] * 4
        fleet.network.heal()
        fleet.wait_until(fleet.all_linked, "the link is up again", RECONNECT_TIMEOUT_S)


def test_fleet_recovers_from_paused_and_killed_processes(tmp_path):
    # Guards against processes that do not reconnect after a pause or a restart.
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot()
        fleet.pause("control-1")
        fleet.kill("router-1")
        assert send_chat_request(fleet, router=1) == 200
        fleet.resume("control-1")
        fleet.restart("router-1")
        fleet.wait_for("/readyz", ["router-1"])
        fleet.wait_until(fleet.all_linked, "all links are up", RECONNECT_TIMEOUT_S)
        assert send_chat_request(fleet, router=0) == 200
        assert set(fleet.stop().values()) == {0}


def test_links_of_a_killed_process_do_not_count_after_restart(tmp_path):
    # Guards against a restarted router that counts as linked before it has started. It
    # happens when its peers are too busy to log that their links are down.
    with Fleet(tmp_path, PLAN) as fleet:
        fleet.boot()
        for agent in fleet.of_role("agent"):
            fleet.pause(agent.name)
        fleet.kill("router-1")
        fleet.start("router-1")
        fleet.pause("router-1")
        assert not fleet.all_linked()
        fleet.resume("router-1")
        for agent in fleet.of_role("agent"):
            fleet.resume(agent.name)
        fleet.wait_until(fleet.all_linked, "all links are up", RECONNECT_TIMEOUT_S)
        fleet.wait_for("/readyz", ["router-1"])
        assert send_chat_request(fleet) == 200


def test_ports_of_two_fleets_differ():
    # Guards against two fleets on one machine that choose the same unused port.
    code = "import localfleet; print(*localfleet.pick_ports(400)); input()"
    path = os.pathsep.join(sys.path)
    with subprocess.Popen(
        [sys.executable, "-c", code],
        env=os.environ | {"PYTHONPATH": path},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        taken = set(map(int, other.stdout.readline().split()))
        assert taken.isdisjoint(pick_ports(400))
        other.communicate("\n")
    assert len(taken) == 400
