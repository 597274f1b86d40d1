import json

from fleet import Fleet
from golden import render_session
from localfleet import APPLICATION_SERVICE, MODEL_SERVICE, FleetPlan

CHAT = "/v1/chat/completions"


def send_chat_request(fleet, nonce, **fields):
    document = {"model": MODEL_SERVICE, "x_nonce": nonce, "x_tokens": 3, **fields}
    return fleet.request(CHAT, document)


def test_session_from_start_to_shutdown(tmp_path, snapshot):
    """An event of a request or process is lost, repeated or out of causal order."""
    with Fleet(tmp_path, FleetPlan(engines=1)) as fleet:
        fleet.boot()
        status, _, body = send_chat_request(fleet, "plain")
        text = json.loads(body)["choices"][0]["message"]["content"]
        assert (status, text) == (200, "begin:plain t0 t1 t2 end:plain")
        status, _, body = send_chat_request(fleet, "streamed", stream=True)
        assert status == 200
        assert body.endswith(b"data: [DONE]\n\n")
        path = f"/services/{APPLICATION_SERVICE}/bookings"
        key = {"Idempotency-Key": "k1"}
        answers = [
            fleet.request(path, {"x_nonce": "seat"}, router=router, **key)
            for router in (0, 1)
        ]
        assert answers[0][2] == answers[1][2]
        assert fleet.runs("application-1", "?key=k1")["runs"] == 1
        codes = fleet.stop()
        assert set(codes.values()) == {0}
        assert render_session(fleet.events()) == snapshot
