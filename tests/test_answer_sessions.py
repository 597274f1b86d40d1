import http.client
import json

import pytest
from fleet import Fleet
from loads import BackgroundCall, Load
from localfleet import APPLICATION_SERVICE, MODEL_SERVICE, FleetPlan

CHAT = "/v1/chat/completions"
BOOKINGS = f"/services/{APPLICATION_SERVICE}/bookings"
ENGINES = ("engine-1",)
TOKENS = 24
PLAN = FleetPlan(
    engines=1,
    applications=1,
    platform=False,
    overrides={"agent": {"endpoint_idle_ms": 1000}, "router": {"stall_ms": 500}},
)
FAULTS = {
    "late": {"delay_ms": 600},
    "crossed": {},
    "twice": {},
    "cut": {},
    # The delay lets the bytes reach the caller, after which a retry is impossible.
    "truncate": {"after_bytes": 60, "delay_ms": 300},
    "silence": {"after_bytes": 60},
}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("answers"), PLAN) as running:
        running.boot()
        # Each request adds one retry to the budget, so that the cases are independent.
        assert running.publish(running.manifest(2, retry_share=1.0)).returncode == 0
        yield running


def is_complete_json(nonce, body):
    text = json.loads(body)["choices"][0]["message"]["content"]
    return text == " ".join(
        [f"begin:{nonce}", *(f"t{i}" for i in range(TOKENS)), f"end:{nonce}"]
    )


def is_complete_stream(nonce, body):
    events = [part.partition(b"data: ")[2] for part in body.split(b"\n\n") if part]
    if events[-1:] != [b"[DONE]"]:
        return False
    choices = [json.loads(event)["choices"][0] for event in events[:-1]]
    text = "".join(piece["delta"].get("content", "") for piece in choices)
    tokens = [f"begin:{nonce}", *(f"t{i}" for i in range(TOKENS)), f"end:{nonce}"]
    return text.split() == tokens


def is_complete_booking(nonce, body):
    document = json.loads(body)
    return document["begin"] == document["end"] == nonce


REQUEST_KINDS = {
    "json": (CHAT, ENGINES, is_complete_json),
    "stream": (CHAT, ENGINES, is_complete_stream),
    "booking": (BOOKINGS, ("application-1",), is_complete_booking),
}


def send_request(fleet, kind, nonce, **headers):
    path, _, is_complete = REQUEST_KINDS[kind]
    document = {"x_nonce": nonce, "x_cost_ms": 100}
    if path == CHAT:
        document |= {"model": MODEL_SERVICE, "x_tokens": TOKENS}
    if kind == "stream":
        document["stream"] = True
    try:
        status, answered, body = fleet.request(path, document, **headers)
    except http.client.IncompleteRead:
        return "detectably truncated"
    if status != 200:
        return f"{status} {answered['Bulrushbend-Outcome']}"
    # A body framed as complete must be the complete answer to this request.
    assert is_complete(nonce, body), body
    return "complete answer"


def runs(fleet, kind, nonce):
    return sum(
        fleet.runs(name, f"?nonce={nonce}")["runs"] for name in REQUEST_KINDS[kind][1]
    )


def clear_faults(fleet):
    for name in (*ENGINES, "application-1"):
        address = fleet.units[name].listen_address
        connection = http.client.HTTPConnection(address, timeout=5)
        connection.request("DELETE", "/faults")
        assert connection.getresponse().status == 200
        connection.close()


@pytest.mark.parametrize("kind", REQUEST_KINDS)
def test_faulty_answer_is_complete_or_detectably_truncated(fleet, snapshot, kind):
    """A caller accepts a late, foreign, repeated or partial answer as its own."""
    lines = []
    for fault, fields in FAULTS.items():
        for name in REQUEST_KINDS[kind][1]:
            fleet.add_fault(name, kind=fault, times=1, **fields)
        nonce = f"{kind}-{fault}"
        seen = send_request(fleet, kind, nonce)
        count = runs(fleet, kind, nonce)
        clear_faults(fleet)
        after = send_request(fleet, kind, f"{nonce}-after")
        lines.append(f"{kind} {fault}: {seen}, next request: {after}")
        if kind == "booking":
            assert count == 1, (fault, seen)
    assert "\n".join(lines) == snapshot


def test_answers_of_concurrent_requests_are_not_crossed(fleet, snapshot):
    """Late answers are delivered to the callers of other requests."""
    for name in (*ENGINES, "application-1"):
        fleet.add_fault(name, kind="late", delay_ms=700, times=2)
    names = [(kind, f"crossing-{kind}-{i}") for i in range(4) for kind in REQUEST_KINDS]
    calls = [
        (kind, BackgroundCall(send_request, fleet, kind, nonce))
        for kind, nonce in names
    ]
    seen = {f"{kind}: {call.result()}" for kind, call in calls}
    clear_faults(fleet)
    assert "\n".join(sorted(seen)) == snapshot


def test_answer_after_the_deadline_is_discarded(fleet, snapshot):
    """The late answer of a request past its deadline is delivered to the next one."""
    lines = []
    for kind in ("json", "booking"):
        for name in REQUEST_KINDS[kind][1]:
            fleet.add_fault(name, kind="late", delay_ms=900, times=1)
        deadline = {"Bulrushbend-Deadline-Ms": "400"}
        lines.append(
            f"{kind}: {send_request(fleet, kind, f'{kind}-deadline', **deadline)}"
        )
        clear_faults(fleet)
        lines.append(f"{kind} after it: {send_request(fleet, kind, f'{kind}-next')}")
    assert "\n".join(lines) == snapshot


def test_answer_survives_a_silent_connection(fleet, snapshot):
    """An answer is lost because the connection that carries it goes silent."""
    lines = []
    for kind in ("stream", "booking"):
        nonce = f"{kind}-silenced"
        for name in REQUEST_KINDS[kind][1]:
            fleet.add_fault(name, kind="late", delay_ms=500, times=1)
        call = BackgroundCall(send_request, fleet, kind, nonce)
        fleet.wait_until(lambda k=kind, n=nonce: runs(fleet, k, n), "the request runs")
        silenced = sum(
            fleet.network.silence_open(agent.name, "router-1")
            for agent in fleet.of_role("agent")
        )
        assert silenced
        seen = call.result()
        clear_faults(fleet)
        lines.append(f"{kind}: {seen}, runs {runs(fleet, kind, nonce)}")
        fleet.network.heal()
        fleet.wait_until(fleet.all_linked, "all links are up")
    assert "\n".join(lines) == snapshot


def test_faulty_answers_under_load_never_look_complete(fleet):
    """One of many concurrent callers accepts a faulty answer as complete."""
    kinds = ("crossed", "cut", "truncate", "late")
    for kind in kinds:
        fleet.add_fault(
            "engine-1", kind=kind, after_bytes=200, delay_ms=300, skip=2, times=3
        )
    load = Load(
        fleet,
        [{"name": "crew-a"}],
        stream=True,
        cost={"kind": "log-uniform", "low_ms": 20.0, "high_ms": 300.0},
        concurrency=16,
        requests=120,
        duration_ms=60_000,
    )
    report = load.finish()
    clear_faults(fleet)
    outcomes = report["teams"][0]["outcomes"]
    assert report["wrong"] == []
    assert report["sent"] == 120
    assert report["answered"] >= 120 - 3 * len(kinds)
    assert set(outcomes) <= {"answered", "unknown", "failed", "TruncatedAnswer"}
