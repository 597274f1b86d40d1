import http.client

import pytest
from fleet import Fleet
from forwarder import Rule
from loads import BackgroundCall
from localfleet import APPLICATION_SERVICE, FleetPlan

BOOKINGS = f"/services/{APPLICATION_SERVICE}/bookings"
REPLICAS = ("control-1", "control-2", "control-3")
VICTIMS = {
    "router": "router-1",
    "agent": "agent-application-1",
    "endpoint": "application-1",
}
PLAN = FleetPlan(
    engines=0,
    applications=1,
    platform=False,
    overrides={
        # A killed router is removed from the members after this time.
        "control": {"member_timeout_ms": 1500},
        # Longer than a request is held at a step, so that recording does not time out.
        "router": {"key_timeout_ms": 10_000},
    },
)
STEPS = ("before the record", "before dispatch", "while running", "before the answer")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("keys"), PLAN) as running:
        # The agent connects directly: a forwarder would accept connections for a killed
        # endpoint, whereas a refused connection proves that nothing ran.
        endpoint = running.units["application-1"].listen_address
        running.units["agent-application-1"].settings["endpoint_address"] = endpoint
        running.boot()
        yield running


class KeyedRequest:
    """One request with an idempotency key, held at a step in router-1."""

    def __init__(self, fleet, key):
        self.fleet = fleet
        self.key = key
        self.cost_ms = 20
        self.earlier_runs = 0

    def runs(self):
        counted = self.fleet.runs("application-1", f"?key={self.key}")["runs"]
        return self.earlier_runs + counted

    def send(self, router=0):
        named = {"Idempotency-Key": self.key}
        document = {"x_nonce": self.key, "x_cost_ms": self.cost_ms}
        try:
            status, headers, body = self.fleet.request(
                BOOKINGS, document, router=router, **named
            )
        except (OSError, http.client.HTTPException):
            return "no answer"
        if status == 200:
            assert f'"begin": "{self.key}"'.encode() in body
        return f"{status} {headers['Bulrushbend-Outcome']}"

    def count_events(self, kind):
        events = self.fleet.events("router-1")
        return sum(event.kind == kind for event in events)

    def hold(self, step):
        """Send the request and return its call once the step is reached."""
        fleet = self.fleet
        recorded = self.count_events("key-recorded")
        if step == "before the record":
            for replica in REPLICAS:
                fleet.network.set_rule(Rule.SILENT, replica, "router-1")
        if step == "before dispatch":
            fleet.pause("agent-application-1")
        if step == "while running":
            self.cost_ms = 3000
        if step == "before the answer":
            fleet.add_fault("application-1", kind="late", delay_ms=3000)
        call = BackgroundCall(self.send)
        if step == "before the record":
            # The router counts a request whose body is being read as waiting.
            self.await_step(call, self.is_admitted, "the request is admitted")
            now_recorded = self.count_events("key-recorded")
            assert now_recorded == recorded, fleet.network.describe()
        if step == "before dispatch":

            def is_recorded():
                return self.count_events("key-recorded") > recorded

            self.await_step(call, is_recorded, "the key is recorded")
        if step == "while running":
            self.await_step(call, self.runs, "the request runs")
        if step == "before the answer":
            self.await_step(call, self.has_ended, "the run has ended")
        return call

    def await_step(self, call, condition, description):
        """Wait for the step; fail with the answer if the call ends earlier."""

        def is_reached():
            if condition():
                return True
            assert not call.has_ended, (
                f"call ended before {description}: {call.result()}"
            )
            return False

        self.fleet.wait_until(is_reached, description)

    def is_admitted(self):
        return self.fleet.gauges("router-1")["bulrushbend_router_waiting"] == 1.0

    def has_ended(self):
        return self.runs() and self.fleet.runs("application-1")["running"] == 0


def is_listening(fleet):
    try:
        return fleet.runs("application-1")
    except OSError:
        return False


def kill_at(fleet, victim, step, key):
    """Kill the victim while a request is held at a step, and return the outcomes."""
    request = KeyedRequest(fleet, key)
    call = request.hold(step)
    if victim == "endpoint":
        request.earlier_runs = request.runs()
    fleet.kill(VICTIMS[victim])
    fleet.network.heal()
    if step == "before dispatch" and victim != "agent":
        fleet.resume("agent-application-1")
    fleet.start(VICTIMS[victim])
    fleet.wait_until(lambda: is_listening(fleet), "the endpoint listens")
    first = call.result()
    after_first = request.runs()
    fleet.wait_until(fleet.all_linked, "all links are up")
    answers = []

    def is_key_settled():
        # A key counts as running until the death of its router is detected.
        answers.append(request.send(router=1))
        return answers[-1] != "409 running"

    fleet.wait_until(is_key_settled, "the key is settled")
    runs = request.runs()
    assert runs <= 1, (step, first, answers)
    if "not-run" in first:
        assert after_first == 0, (step, first)
    if answers[-1].startswith("200"):
        assert runs == 1, (step, first, answers)
    return f"{step}: {first}, runs {after_first}; again: {answers[-1]}, runs {runs}"


@pytest.mark.parametrize("victim", VICTIMS)
def test_keyed_request_runs_at_most_once(fleet, snapshot, victim):
    """A process dies at a step, and the request runs twice or is misreported."""
    lines = [f"kill {victim}"]
    for number, step in enumerate(STEPS):
        lines.append(kill_at(fleet, victim, step, f"{victim}-{number}"))
    print("\n".join(lines))
    assert "\n".join(lines) == snapshot
