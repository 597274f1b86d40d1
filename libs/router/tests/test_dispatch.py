import asyncio
import time

import pytest

from bulrushbend.core.budget import RetryBudget
from bulrushbend.core.errors import TruncatedResponseError
from bulrushbend.core.manifest import Manifest

from .builders import (
    FakeAgent,
    answer_failure,
    answer_not_found,
    answer_running,
    close_connection,
    echo,
    make_manifest,
    refuse,
    send_nothing,
)

APP = "/services/rota-app/pay"


async def test_refused_request_returns_to_the_head_of_its_queue(fleet, agent):
    # Guards against a request that loses its position after an agent refused it.
    agent.auto_claim = False
    agent.answers["POST"] = [refuse, echo]
    await fleet.start(agent)
    first = fleet.start_request(body=b"first")
    await fleet.wait_for_waiting(1)
    second = fleet.start_request(body=b"second")
    await fleet.wait_for_waiting(2)
    agent.claim("crew-a")
    await fleet.wait_until(lambda: agent.count("POST") == 1)
    await fleet.wait_for_waiting(2)
    agent.claim("crew-a")
    assert (await first).body.endswith(b"first")
    agent.claim("crew-a")
    assert (await second).body.endswith(b"second")


async def test_lost_connection_is_retried_if_the_attempt_did_not_start(
    fleet, app_agent
):
    # Guards against the outcome "unknown" when the agent reports that nothing ran.
    app_agent.answers["POST"] = [close_connection, echo]
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP)
    assert answer.status == 200
    assert app_agent.count("DELETE") == 1


async def test_lost_connection_of_a_running_attempt_is_not_retried(fleet, app_agent):
    # Guards against a non-idempotent request that runs twice.
    app_agent.answers.update(POST=close_connection, DELETE=answer_running)
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP)
    assert (answer.status, answer.outcome) == (502, "unknown")
    await asyncio.sleep(0.2)
    assert app_agent.count("POST") == 1


async def test_silent_connection_is_retried_if_the_attempt_did_not_start(
    fleet, app_agent
):
    # The connection goes silent before the agent accepts the POST.
    app_agent.answers["POST"] = [send_nothing, echo]
    await fleet.start(app_agent)
    app_agent.running = NoProgressReports()
    answer = await fleet.send_request(APP)
    assert answer.status == 200


class NoProgressReports(dict):
    """Makes the agent report no running attempt."""

    def items(self):
        return ()


@pytest.mark.parametrize("failure", ["unknown", "failed"])
async def test_endpoint_failure_is_reported_with_its_outcome(fleet, app_agent, failure):
    # Guards against a failure reported as another outcome.
    app_agent.answers["POST"] = answer_failure(failure)
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP)
    assert (answer.status, answer.outcome) == (502, failure)
    assert app_agent.count("POST") == 1


async def test_refused_endpoint_connection_is_retried(fleet, app_agent):
    app_agent.answers["POST"] = [answer_failure("not-run"), echo]
    await fleet.start(app_agent)
    assert (await fleet.send_request(APP)).status == 200


async def test_idempotent_request_is_retried_after_a_lost_answer(fleet, agent):
    agent.answers.update(POST=[answer_failure("unknown"), echo])
    await fleet.start(agent)
    assert (await fleet.send_request()).status == 200
    assert agent.count("POST") == 2


async def test_caller_may_declare_a_request_idempotent(fleet, app_agent):
    app_agent.answers.update(POST=[answer_failure("failed"), echo])
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP, Bulrushbend_Idempotent="true")
    assert answer.status == 200
    flags = [hs["Bulrushbend-Idempotent"] for _, hs, _ in app_agent.requests]
    assert flags == ["true", "true"]


async def test_retries_stay_within_the_budget(fleet, agent):
    # Guards against retries that multiply the load of a failing service.
    agent.answers["POST"] = answer_failure("failed")
    await fleet.start(agent, manifest=make_manifest(retry_share=0.1))
    for _ in range(30):
        assert (await fleet.send_request()).outcome == "failed"
    assert agent.count("POST") <= 30 + 1 + 3
    assert agent.count("POST") > 30


def test_budget_without_share_allows_no_retry():
    budget = RetryBudget(0.0)
    budget.record_request()
    assert not budget.try_acquire()


async def test_answer_to_another_request_never_reaches_the_caller(fleet, app_agent):
    # Guards against an answer that belongs to another request.
    async def crossed(exchange):
        await exchange.head(Bulrushbend_Request="req-of-someone-else")
        await exchange.chunk("secret")
        await exchange.end()

    app_agent.answers["POST"] = crossed
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP)
    assert (answer.status, answer.outcome) == (502, "unknown")
    assert b"secret" not in answer.body


async def test_repeated_claim_gets_only_one_request(fleet, agent):
    # Guards against two requests with the same attempt id.
    agent.auto_claim = False
    await fleet.start(agent)
    calls = [fleet.start_request(body=b"1"), fleet.start_request(body=b"2")]
    await fleet.wait_for_waiting(2)
    agent.claim("crew-a", "att-same")
    agent.claim("crew-a", "att-same")
    await fleet.wait_until(lambda: agent.count("POST") == 1)
    await asyncio.sleep(0.1)
    assert agent.count("POST") == 1
    agent.claim("crew-a")
    await asyncio.gather(*calls)


async def test_stalled_answer_continues_on_a_new_connection(fleet, agent):
    # Guards against a connection that goes silent while new ones work. Late bytes of
    # the first connection must not appear in the answer.
    async def stall(exchange):
        await exchange.head()
        await exchange.chunk("one,")
        exchange.produce(len("two,three"))
        await exchange.wait_closed()
        await exchange.chunk("late")

    async def rest(exchange):
        assert exchange.path.endswith("?offset=4")
        await exchange.head()
        await exchange.chunk("two,three")
        await exchange.end()

    agent.answers.update(POST=stall, GET=[close_connection, rest])
    await fleet.start(agent)
    answer = await fleet.send_request()
    assert answer.body == b"one,two,three"
    assert agent.count("POST") == 1


async def test_slow_endpoint_is_not_treated_as_a_stall(fleet, agent):
    async def slow(exchange):
        await exchange.head()
        await exchange.chunk("a")
        await asyncio.sleep(0.6)
        await exchange.chunk("b")
        await exchange.end()

    agent.answers["POST"] = slow
    await fleet.start(agent)
    assert (await fleet.send_request()).body == b"ab"
    assert agent.count("GET") == 0


async def test_answer_in_progress_is_not_interrupted_without_reports(fleet, agent):
    # Guards against closing a working connection because progress reports are missing.
    async def flow(exchange):
        await exchange.head()
        for _ in range(10):
            await exchange.chunk("a")
            await asyncio.sleep(0.06)
        await exchange.end()

    agent.answers["POST"] = flow
    await fleet.start(agent)
    agent.running = NoProgressReports()
    assert (await fleet.send_request()).body == b"a" * 10
    assert agent.count("GET") == 0


async def test_truncated_answer_does_not_look_complete(fleet, agent):
    # Guards against a truncated answer that the caller treats as complete.
    async def cut(exchange):
        await exchange.head()
        await exchange.chunk("half")
        await asyncio.sleep(0.05)

    agent.answers["POST"] = cut
    await fleet.start(agent)
    exchange = await fleet.open()
    with pytest.raises(TruncatedResponseError):
        await exchange.body()
    await asyncio.sleep(0.1)
    assert agent.count("POST") == 1


async def read_raw_answer(fleet, version):
    host, port = fleet.settings.http_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST /services/flor-llm/x HTTP/{version}\r\nContent-Length: 0\r\n"
        "Host: x\r\nAuthorization: Bearer token-crew-a\r\n\r\n".encode()
    )
    try:
        return (await reader.read()).decode()
    finally:
        writer.close()


async def test_truncated_event_stream_ends_with_an_error_event(fleet, agent):
    # Guards against clients that treat the end of the connection as the end of the
    # stream. Reads the socket, because Tornado's client drops a chunk before a close.
    async def cut(exchange):
        await exchange.head(content_type="text/event-stream")
        await exchange.chunk("data: half\n\n")
        await asyncio.sleep(0.05)

    agent.answers["POST"] = cut
    await fleet.start(agent)
    text = await read_raw_answer(fleet, "1.1")
    assert "data: half\n\n" in text
    assert "\n\nevent: error\ndata: " in text
    assert not text.endswith("0\r\n\r\n")


def dispatched_events(text):
    """Return type and data of the events that an event-stream parser dispatches."""
    events, kind, data = [], "message", []
    for line in text.splitlines():
        name, _, value = line.partition(": ")
        if name == "event":
            kind = value
        elif name == "data":
            data.append(value)
        elif not line:
            if data:
                events.append((kind, "\n".join(data)))
            kind, data = "message", []
    return events


@pytest.mark.parametrize("partial", ["da", "data: ha", "data: half\n", "data: half\r"])
async def test_error_event_does_not_complete_the_event_that_was_broken_off(
    fleet, agent, partial
):
    async def cut(exchange):
        await exchange.head(content_type="text/event-stream")
        await exchange.chunk("data: whole\n\n")
        await exchange.chunk(partial)
        await asyncio.sleep(0.05)

    agent.answers["POST"] = cut
    await fleet.start(agent)
    exchange = await fleet.open()
    received = []
    with pytest.raises(TruncatedResponseError):
        async for data in exchange.chunks():
            received.append(data)
    whole, broken = dispatched_events(b"".join(received).decode())
    assert whole == ("message", "whole")
    assert broken[0] == "error"


async def test_truncated_answer_to_an_http_1_0_caller_is_reset(fleet, agent):
    # HTTP/1.0 has no chunked encoding, so a normal close would mark the end of the
    # answer.
    async def cut(exchange):
        await exchange.head()
        await exchange.chunk("half")
        await asyncio.sleep(0.05)

    agent.answers["POST"] = cut
    await fleet.start(agent)
    with pytest.raises(ConnectionResetError):
        await read_raw_answer(fleet, "1.0")


async def test_request_of_a_lost_agent_is_retried_at_another(fleet, agent):
    # Guards against callers that wait for a lost agent.
    agent.answers["POST"] = send_nothing
    await fleet.start(agent, stall_ms=600)
    call = fleet.start_request()
    await fleet.wait_until(lambda: agent.count("POST") == 1)
    agent.heartbeats_enabled = False
    await agent.stop_http()
    await fleet.add_agent(FakeAgent("flor-2"))
    assert (await call).status == 200


async def test_non_idempotent_request_of_a_lost_agent_is_unknown(fleet, app_agent):
    app_agent.answers["POST"] = send_nothing
    await fleet.start(app_agent, stall_ms=600)
    call = fleet.start_request(APP)
    await fleet.wait_until(lambda: app_agent.count("POST") == 1)
    app_agent.heartbeats_enabled = False
    await app_agent.stop_http()
    answer = await call
    assert (answer.status, answer.outcome) == (502, "unknown")


def answer_after(seconds, begin=False):
    """Return an answer that ends at one moment, on the connection open at that time."""
    ready_s = time.monotonic() + seconds

    async def answer(exchange):
        if begin:
            await exchange.head()
        await asyncio.sleep(max(0.0, ready_s - time.monotonic()))
        if exchange.reader.at_eof():
            return
        if not begin:
            await exchange.head()
        await exchange.chunk("end")
        await exchange.end()

    return answer


async def test_request_is_not_given_up_while_the_unlinked_agent_runs_it(
    fleet, app_agent
):
    await fleet.start(app_agent)
    answer = answer_after(2.5)
    app_agent.answers.update(POST=answer, GET=answer, DELETE=answer_running)
    call = fleet.start_request(APP)
    await fleet.wait_until(lambda: app_agent.count("POST") == 1)
    app_agent.heartbeats_enabled = False
    assert (await call).body == b"end"


async def test_stream_is_not_given_up_while_the_unlinked_agent_runs_it(fleet, agent):
    async def begin(exchange):
        await exchange.head()
        await exchange.chunk("begin,")
        await exchange.wait_closed()

    rest = answer_after(5.0, begin=True)
    agent.answers.update(POST=begin, GET=rest, DELETE=answer_running)
    await fleet.start(agent)
    exchange = await fleet.open()
    agent.heartbeats_enabled = False
    assert await exchange.body() == b"begin,end"


async def test_request_is_not_given_up_when_its_endpoint_changes_the_service(
    fleet, app_agent
):
    await fleet.start(app_agent)
    answer = answer_after(2.5)
    app_agent.answers.update(POST=answer, GET=answer, DELETE=answer_running)
    call = fleet.start_request(APP)
    await fleet.wait_until(lambda: app_agent.count("POST") == 1)
    changed = make_manifest(version=2).model_dump()
    changed["endpoints"][1]["service"] = "flor-llm"
    fleet.control.manifest = Manifest.model_validate(changed)
    fleet.control.changed.set()
    assert (await call).body == b"end"
    assert app_agent.links == 2


async def test_closed_data_port_requeues_the_request(fleet, agent):
    # Guards against an agent that claims again at once while its port is closed.
    await fleet.start(agent)
    await agent.stop_http()
    call = fleet.start_request()
    await fleet.wait_until(lambda: agent.misses)
    await asyncio.sleep(0.3)
    assert len(agent.misses) <= 2
    await agent.start_http()
    assert (await call).status == 200


@pytest.mark.parametrize("path", ["/services/flor-llm/x", APP])
async def test_running_attempt_of_a_disconnected_caller(fleet, path):
    # Guards against slots used for disconnected callers, and against the cancellation
    # of non-idempotent attempts.
    agents = [FakeAgent(), FakeAgent("rota-1", "rota-app")]
    ended = asyncio.Event()

    async def slow(exchange):
        await exchange.head()
        await exchange.chunk("a")
        await asyncio.sleep(0.5)
        await exchange.chunk("b")
        await exchange.end()
        ended.set()

    for one in agents:
        one.answers.update(POST=slow, DELETE=answer_running)
    await fleet.start(*agents)
    exchange = await fleet.open(path)
    exchange.close()
    if path == APP:
        await asyncio.wait_for(ended.wait(), 3)
        assert agents[1].count("DELETE") == 0
        return
    await fleet.wait_until(lambda: agents[0].count("DELETE") == 1)
    assert agents[0].calls[-1][1].endswith("?cancel=1")


async def test_deadline_of_a_running_request_is_unknown(fleet, app_agent):
    app_agent.answers.update(POST=send_nothing, GET=send_nothing, DELETE=answer_running)
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP, Bulrushbend_Deadline_Ms="200")
    assert (answer.status, answer.outcome) == (502, "unknown")


async def test_answer_that_cannot_be_resumed_is_truncated(fleet, agent):
    async def stall(exchange):
        await exchange.head()
        await exchange.chunk("one,")
        exchange.produce(9)
        await exchange.wait_closed()

    agent.answers.update(POST=stall, GET=answer_not_found)
    await fleet.start(agent)
    exchange = await fleet.open()
    with pytest.raises(TruncatedResponseError):
        await exchange.body()


def answer_plain(status, **headers):
    async def answer(exchange):
        await exchange.plain(status, "foreign", **headers)

    return answer


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(
            answer_plain(409, Bulrushbend_Refused="not-started"), id="refusal"
        ),
        pytest.param(answer_failure("not-run"), id="not run"),
        pytest.param(answer_failure("failed"), id="failure"),
        pytest.param(answer_plain(200), id="answer without status"),
        pytest.param(answer_plain(500), id="error"),
        pytest.param(
            answer_plain(200, Bulrushbend_Status=200, Bulrushbend_Request="req-other"),
            id="answer to another request",
        ),
    ],
)
async def test_nothing_is_appended_to_an_answer_that_cannot_be_continued(
    fleet, agent, answer
):
    async def begin(exchange):
        await exchange.head(content_type="text/event-stream")
        await exchange.chunk("data: one\n\n")
        await asyncio.sleep(0.05)

    agent.answers.update(POST=[begin, echo], GET=answer, DELETE=answer_running)
    await fleet.start(agent)
    exchange = await fleet.open()
    received = []
    with pytest.raises(TruncatedResponseError):
        async for data in exchange.chunks():
            received.append(data)
    events = dispatched_events(b"".join(received).decode())
    assert events[0] == ("message", "one")
    assert [kind for kind, _ in events[1:]] == ["error"]
    assert b"foreign" not in b"".join(received)
    assert agent.count("POST") == 1


async def test_refusal_of_another_request_does_not_queue_a_request_again(
    fleet, app_agent
):
    refusal = answer_plain(
        409, Bulrushbend_Refused="not-started", Bulrushbend_Request="req-other"
    )
    app_agent.answers.update(POST=[refusal, echo], DELETE=answer_running)
    await fleet.start(app_agent)
    answer = await fleet.send_request(APP)
    assert (answer.status, answer.outcome) == (502, "unknown")
    assert app_agent.count("POST") == 1


async def test_retry_that_expires_in_the_queue_is_unknown(fleet, agent):
    # Guards against the outcome "not-run" when an earlier attempt may have run.
    agent.auto_claim = False
    agent.answers["POST"] = answer_failure("unknown")
    await fleet.start(agent)
    call = fleet.start_request(Bulrushbend_Deadline_Ms="400")
    await fleet.wait_for_waiting()
    agent.claim("crew-a")
    answer = await call
    assert (answer.status, answer.outcome) == (502, "unknown")
    assert agent.count("POST") == 1
