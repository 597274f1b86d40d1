import asyncio

import pytest

from bulrushbend.core.budget import RetryBudget
from bulrushbend.core.errors import TruncatedAnswer

from .builders import (
    FakeAgent,
    answer_gone,
    echo,
    fail_as,
    hang_up,
    make_manifest,
    refuse,
    running,
    stay_silent,
)

APP = "/services/rota-app/pay"


async def test_refused_request_returns_to_the_head_of_its_queue(fleet, agent):
    # Guards against a refusal that costs a request its turn.
    agent.claiming = False
    agent.answers["POST"] = [refuse, echo]
    await fleet.start(agent)
    first = fleet.ask_soon(body=b"first")
    await fleet.until_waiting(1)
    second = fleet.ask_soon(body=b"second")
    await fleet.until_waiting(2)
    agent.claim("crew-a")
    await fleet.until(lambda: agent.count("POST") == 1)
    await fleet.until_waiting(2)
    agent.claim("crew-a")
    assert (await first).body.endswith(b"first")
    agent.claim("crew-a")
    assert (await second).body.endswith(b"second")


async def test_unclear_send_is_sent_again_after_proof_of_no_start(fleet, app_agent):
    # Guards against "unknown" where the agent can prove that nothing ran.
    app_agent.answers["POST"] = [hang_up, echo]
    await fleet.start(app_agent)
    answer = await fleet.ask(APP)
    assert answer.status == 200
    assert app_agent.count("DELETE") == 1


async def test_unclear_send_without_proof_is_unknown_and_never_repeated(
    fleet, app_agent
):
    # Guards against a non-idempotent request that runs twice.
    app_agent.answers.update(POST=hang_up, DELETE=running)
    await fleet.start(app_agent)
    answer = await fleet.ask(APP)
    assert (answer.status, answer.outcome) == (502, "unknown")
    await asyncio.sleep(0.2)
    assert app_agent.count("POST") == 1


async def test_silent_send_is_proved_and_sent_again(fleet, app_agent):
    # A connection that goes silent before the agent accepts the POST.
    app_agent.answers["POST"] = [stay_silent, echo]
    await fleet.start(app_agent)
    app_agent.running = NoReports()
    answer = await fleet.ask(APP)
    assert answer.status == 200


class NoReports(dict):
    """Agent that knows no attempt."""

    def items(self):
        return ()


@pytest.mark.parametrize("failure", ["unknown", "failed"])
async def test_endpoint_failure_is_reported_by_proof(fleet, app_agent, failure):
    # Guards against a failure reported as another outcome.
    app_agent.answers["POST"] = fail_as(failure)
    await fleet.start(app_agent)
    answer = await fleet.ask(APP)
    assert (answer.status, answer.outcome) == (502, failure)
    assert app_agent.count("POST") == 1


async def test_endpoint_that_refused_the_connection_ran_nothing(fleet, app_agent):
    app_agent.answers["POST"] = [fail_as("not-run"), echo]
    await fleet.start(app_agent)
    assert (await fleet.ask(APP)).status == 200


async def test_idempotent_request_is_retried_once_its_answer_is_lost(fleet, agent):
    agent.answers.update(POST=[fail_as("unknown"), echo])
    await fleet.start(agent)
    assert (await fleet.ask()).status == 200
    assert agent.count("POST") == 2


async def test_caller_may_declare_one_call_idempotent(fleet, app_agent):
    app_agent.answers.update(POST=[fail_as("failed"), echo])
    await fleet.start(app_agent)
    answer = await fleet.ask(APP, Bulrushbend_Idempotent="true")
    assert answer.status == 200
    flags = [hs["Bulrushbend-Idempotent"] for _, hs, _ in app_agent.requests]
    assert flags == ["true", "true"]


async def test_retries_stay_within_the_budget(fleet, agent):
    # Guards against retries that multiply the load of a failing service.
    agent.answers["POST"] = fail_as("failed")
    await fleet.start(agent, manifest=make_manifest(retry_share=0.1))
    for _ in range(30):
        assert (await fleet.ask()).outcome == "failed"
    assert agent.count("POST") <= 30 + 1 + 3
    assert agent.count("POST") > 30


def test_budget_without_share_allows_no_retry():
    budget = RetryBudget(0.0)
    budget.earn()
    assert not budget.take()


async def test_crossed_answer_never_reaches_the_caller(fleet, app_agent):
    # Guards against an answer that belongs to another request.
    async def crossed(exchange):
        await exchange.head(Bulrushbend_Request="req-of-someone-else")
        await exchange.chunk("secret")
        await exchange.end()

    app_agent.answers["POST"] = crossed
    await fleet.start(app_agent)
    answer = await fleet.ask(APP)
    assert (answer.status, answer.outcome) == (502, "unknown")
    assert b"secret" not in answer.body


async def test_repeated_claim_takes_one_request_only(fleet, agent):
    # Guards against two requests under one attempt id.
    agent.claiming = False
    await fleet.start(agent)
    calls = [fleet.ask_soon(body=b"1"), fleet.ask_soon(body=b"2")]
    await fleet.until_waiting(2)
    agent.claim("crew-a", "att-same")
    agent.claim("crew-a", "att-same")
    await fleet.until(lambda: agent.count("POST") == 1)
    await asyncio.sleep(0.1)
    assert agent.count("POST") == 1
    agent.claim("crew-a")
    await asyncio.gather(*calls)


async def test_stalled_answer_continues_on_a_new_connection(fleet, agent):
    # Guards against connections that go silent while new ones work; the late bytes
    # of the first connection must not appear in the answer.
    async def stall(exchange):
        await exchange.head()
        await exchange.chunk("one,")
        exchange.produce(len("two,three"))
        await exchange.until_closed()
        await exchange.chunk("late")

    async def rest(exchange):
        assert exchange.path.endswith("?offset=4")
        await exchange.head()
        await exchange.chunk("two,three")
        await exchange.end()

    agent.answers.update(POST=stall, GET=[hang_up, rest])
    await fleet.start(agent)
    answer = await fleet.ask()
    assert answer.body == b"one,two,three"
    assert agent.count("POST") == 1


async def test_slow_endpoint_is_not_taken_for_a_stall(fleet, agent):
    async def slow(exchange):
        await exchange.head()
        await exchange.chunk("a")
        await asyncio.sleep(0.6)
        await exchange.chunk("b")
        await exchange.end()

    agent.answers["POST"] = slow
    await fleet.start(agent)
    assert (await fleet.ask()).body == b"ab"
    assert agent.count("GET") == 0


async def test_flowing_answer_is_not_interrupted_for_lagging_reports(fleet, agent):
    # Guards against working connections that are given up.
    async def flow(exchange):
        await exchange.head()
        for _ in range(10):
            await exchange.chunk("a")
            await asyncio.sleep(0.06)
        await exchange.end()

    agent.answers["POST"] = flow
    await fleet.start(agent)
    agent.running = NoReports()
    assert (await fleet.ask()).body == b"a" * 10
    assert agent.count("GET") == 0


async def test_truncated_answer_does_not_look_complete(fleet, agent):
    # Guards against a cut answer that its caller takes for a whole one.
    async def cut(exchange):
        await exchange.head()
        await exchange.chunk("half")
        await asyncio.sleep(0.05)

    agent.answers["POST"] = cut
    await fleet.start(agent)
    exchange = await fleet.open()
    with pytest.raises(TruncatedAnswer):
        await exchange.body()
    await asyncio.sleep(0.1)
    assert agent.count("POST") == 1


async def read_raw(fleet, version):
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
    # Guards against readers that take the end of the connection for the end of the
    # stream. Read from the socket: Tornado's client drops a chunk before a close.
    async def cut(exchange):
        await exchange.head(content_type="text/event-stream")
        await exchange.chunk("data: half\n\n")
        await asyncio.sleep(0.05)

    agent.answers["POST"] = cut
    await fleet.start(agent)
    text = await read_raw(fleet, "1.1")
    assert "data: half\n\n" in text
    assert "\n\nevent: error\ndata: " in text
    assert not text.endswith("0\r\n\r\n")


async def test_truncated_answer_to_an_old_http_caller_is_reset(fleet, agent):
    # HTTP/1.0 has no chunks: a plain close would look like the end of the answer.
    async def cut(exchange):
        await exchange.head()
        await exchange.chunk("half")
        await asyncio.sleep(0.05)

    agent.answers["POST"] = cut
    await fleet.start(agent)
    with pytest.raises(ConnectionResetError):
        await read_raw(fleet, "1.0")


async def test_agent_lost_with_the_answer_is_retried_elsewhere(fleet, agent):
    # Guards against callers that wait for an agent that is gone.
    agent.answers["POST"] = stay_silent
    await fleet.start(agent, stall_ms=600)
    call = fleet.ask_soon()
    await fleet.until(lambda: agent.count("POST") == 1)
    agent.beating = False
    await agent.stop_http()
    await fleet.add(FakeAgent("flor-2"))
    assert (await call).status == 200


async def test_agent_lost_with_a_non_idempotent_request_is_unknown(fleet, app_agent):
    app_agent.answers["POST"] = stay_silent
    await fleet.start(app_agent, stall_ms=600)
    call = fleet.ask_soon(APP)
    await fleet.until(lambda: app_agent.count("POST") == 1)
    app_agent.beating = False
    await app_agent.stop_http()
    answer = await call
    assert (answer.status, answer.outcome) == (502, "unknown")


async def test_closed_data_port_puts_the_request_back(fleet, agent):
    # Guards against claims that come back at once while the port stays closed.
    await fleet.start(agent)
    await agent.stop_http()
    call = fleet.ask_soon()
    await fleet.until(lambda: agent.misses)
    await asyncio.sleep(0.3)
    assert len(agent.misses) <= 2
    await agent.start_http()
    assert (await call).status == 200


@pytest.mark.parametrize("path", ["/services/flor-llm/x", APP])
async def test_running_attempt_of_a_gone_caller(fleet, path):
    # Guards against slots spent for nobody, and against cut non-idempotent runs.
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
        one.answers.update(POST=slow, DELETE=running)
    await fleet.start(*agents)
    exchange = await fleet.open(path)
    exchange.close()
    if path == APP:
        await asyncio.wait_for(ended.wait(), 3)
        assert agents[1].count("DELETE") == 0
        return
    await fleet.until(lambda: agents[0].count("DELETE") == 1)
    assert agents[0].calls[-1][1].endswith("?cancel=1")


async def test_deadline_of_a_running_request_is_unknown(fleet, app_agent):
    app_agent.answers.update(POST=stay_silent, GET=stay_silent, DELETE=running)
    await fleet.start(app_agent)
    answer = await fleet.ask(APP, Bulrushbend_Deadline_Ms="200")
    assert (answer.status, answer.outcome) == (502, "unknown")


async def test_lost_replay_is_not_continued_with_a_gap(fleet, agent):
    async def stall(exchange):
        await exchange.head()
        await exchange.chunk("one,")
        exchange.produce(9)
        await exchange.until_closed()

    agent.answers.update(POST=stall, GET=answer_gone)
    await fleet.start(agent)
    exchange = await fleet.open()
    with pytest.raises(TruncatedAnswer):
        await exchange.body()


async def test_lost_run_is_not_reported_as_not_run_after_a_retry(fleet, agent):
    # Guards against "not run" for a request of which an earlier attempt may have run.
    agent.claiming = False
    agent.answers["POST"] = fail_as("unknown")
    await fleet.start(agent)
    call = fleet.ask_soon(Bulrushbend_Deadline_Ms="400")
    await fleet.until_waiting()
    agent.claim("crew-a")
    answer = await call
    assert (answer.status, answer.outcome) == (502, "unknown")
    assert agent.count("POST") == 1
