import asyncio

import pytest

from bulrushbend.wire.fleet_pb2 import Header, KeyReply, StoredAnswer

from .builders import answer_failure, make_manifest

APP = "/services/rota-app/pay"
KEY = {"Idempotency_Key": "key-1"}


async def test_key_is_recorded_before_the_run_and_completed_before_the_answer(
    fleet, app_agent
):
    # Guards against a second run through another router after this one crashed.
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP, **KEY)
    assert answer.status == 200
    assert [name for name, _ in fleet.control.calls] == ["record", "complete"]
    assert fleet.kinds().index("key-recorded") < fleet.kinds().index("request-queued")
    [completed] = fleet.control.requests_of("complete")
    assert completed.answer.body == answer.body
    assert completed.answer.body_kept
    assert completed.owner == "router-1"


async def test_answer_is_buffered_until_it_is_complete(fleet, app_agent):
    # Guards against an answer that the caller saw in part and cannot fetch again.
    async def two_pieces(exchange):
        await exchange.head()
        await exchange.chunk("a")
        await asyncio.sleep(0.3)
        await exchange.chunk("b")
        await exchange.end()

    app_agent.answers["POST"] = two_pieces
    await fleet.start(app_agent)
    exchange = await fleet.open(APP, **KEY)
    assert fleet.control.requests_of("complete")
    assert await exchange.body() == b"ab"


async def test_large_answer_is_stored_without_its_body(fleet, app_agent):
    async def large(exchange):
        await exchange.head()
        for _ in range(5):
            await exchange.chunk("x" * 20_000)
        await exchange.end()

    app_agent.answers["POST"] = large
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP, **KEY)
    assert len(answer.body) == 100_000
    [completed] = fleet.control.requests_of("complete")
    assert not completed.answer.body_kept
    assert not completed.answer.body


STORED = StoredAnswer(
    status=201,
    headers=[Header(name="X-Paid", value="yes")],
    body=b"first answer",
    body_kept=True,
)


@pytest.mark.parametrize(
    ("reply", "status", "outcome", "body"),
    [
        (
            KeyReply(result=KeyReply.COMPLETED, answer=STORED),
            201,
            "answered",
            b"first answer",
        ),
        (
            KeyReply(result=KeyReply.COMPLETED, answer=StoredAnswer(status=200)),
            200,
            "completed",
            b"",
        ),
        (KeyReply(result=KeyReply.RUNNING), 409, "running", None),
        (KeyReply(result=KeyReply.OUTCOME_UNKNOWN), 409, "unknown", None),
        (KeyReply(result=KeyReply.MISMATCH), 422, "refused", None),
        (KeyReply(result=KeyReply.UNAVAILABLE), 503, "not-run", None),
    ],
)
async def test_repeated_key_does_not_run_again(
    fleet, app_agent, reply, status, outcome, body
):
    # Guards against a second run of a non-idempotent request.
    await fleet.start(app_agent)
    fleet.control.record_reply = reply
    answer = await fleet.send_request(APP, **KEY)
    assert (answer.status, answer.outcome) == (status, outcome)
    assert body is None or answer.body == body
    assert app_agent.count("POST") == 0
    assert ("Retry-After" in answer.headers) == (outcome in ("running", "not-run"))


async def test_key_of_a_request_that_did_not_run_is_released(fleet, app_agent):
    app_agent.auto_claim = False
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP, Bulrushbend_Deadline_Ms="100", **KEY)
    assert (answer.status, answer.outcome) == (504, "not-run")
    assert [name for name, _ in fleet.control.calls] == ["record", "release"]


@pytest.mark.parametrize(("failure", "stored"), [("unknown", 409), ("failed", 502)])
async def test_key_is_not_released_after_a_run_without_an_answer(
    fleet, app_agent, failure, stored
):
    # Guards against a released key, with which the request would run again.
    app_agent.answers["POST"] = answer_failure(failure)
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP, **KEY)
    assert (answer.status, answer.outcome) == (502, failure)
    assert not fleet.control.requests_of("release")
    [completed] = fleet.control.requests_of("complete")
    assert completed.answer.status == stored
    outcome = {h.name: h.value for h in completed.answer.headers}
    assert outcome["Bulrushbend-Outcome"] == failure


async def test_release_is_retried_when_control_is_unavailable(fleet, app_agent):
    # Guards against a key that stays recorded although no request ran under it.
    await fleet.start(app_agent)
    fleet.control.available = False
    answer = await fleet.send_request(APP, **KEY)
    assert (answer.status, answer.outcome) == (503, "not-run")
    fleet.control.available = True
    await fleet.wait_until(lambda: len(fleet.control.requests_of("release")) >= 1)
    record, release = fleet.control.calls[0][1], fleet.control.requests_of("release")[0]
    assert release.request_id == record.request_id


async def test_caller_is_answered_when_control_fails_during_the_run(fleet, app_agent):
    async def lose_control(exchange):
        fleet.control.available = False
        await exchange.head()
        await exchange.chunk("paid")
        await exchange.end()

    app_agent.answers["POST"] = lose_control
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP, **KEY)
    assert (answer.status, answer.body) == (200, b"paid")
    fleet.control.calls.clear()
    fleet.control.available = True
    await fleet.wait_until(lambda: fleet.control.requests_of("complete"))


async def test_digest_covers_method_path_and_body(fleet, app_agent):
    await fleet.start(app_agent)
    for path, body in [(APP, b"1"), (APP, b"2"), (APP + "?x=1", b"1")]:
        await fleet.send_request(path, body, **KEY)
    await fleet.send_request(APP, b"1", "PATCH", **KEY)
    digests = {request.body_digest for request in fleet.control.requests_of("record")}
    assert len(digests) == 4


async def test_answer_is_stored_after_the_caller_disconnected(fleet, app_agent):
    # Guards against an answer that the caller cannot fetch with its key later.
    async def slow(exchange):
        await exchange.head()
        await asyncio.sleep(0.3)
        await exchange.chunk("paid")
        await exchange.end()

    app_agent.answers["POST"] = slow
    await fleet.start(app_agent)
    call = fleet.start_request(APP, **KEY)
    await fleet.wait_until(lambda: app_agent.count("POST"))
    call.cancel()
    await fleet.wait_until(lambda: fleet.control.requests_of("complete"))
    assert fleet.control.requests_of("complete")[0].answer.body == b"paid"


async def test_key_of_an_idempotent_request_is_not_recorded(fleet, agent):
    await fleet.start(agent, manifest=make_manifest())
    assert (await fleet.send_request(**KEY)).status == 200
    assert not fleet.control.calls
