import asyncio
import contextlib

import pytest
from gateway_builders import (
    END_OF_CHUNKS,
    GatewayComponents,
    PlainHeaderCodec,
    RecordingSink,
    ScriptedEndpoint,
    chunk,
    event,
    make_call,
    make_endpoint,
    make_route,
    plain_response,
    stream_head,
)

from bulrushbend.core.clock import Clock
from bulrushbend.core.manifest import RouteKind
from bulrushbend.gateway.attempt import AttemptContext, Verdict
from bulrushbend.gateway.budgets import RetryBudgets
from bulrushbend.gateway.call import RequestError
from bulrushbend.gateway.dispatch import Dispatcher

NOT_RUN_STATUSES = (408, 421, 429, 503)


class DispatcherFixture:
    """A dispatcher that sends requests to scripted endpoints."""

    def __init__(self, *endpoints, budget=10.0):
        clock = Clock()
        found = [make_endpoint(f"e{i}", e.address) for i, e in enumerate(endpoints)]
        self.components = GatewayComponents(*found, clock=clock)
        budgets = RetryBudgets(0.0 if budget == 0 else 1.0, budget)
        context = AttemptContext(
            PlainHeaderCodec(),
            self.components.loads,
            self.components.health,
            clock,
            300.0,
        )
        self.dispatcher = Dispatcher(
            context,
            self.components.directory,
            lambda service: self.components.queue,
            budgets,
            clock,
            self.components.events,
        )
        self.clock = clock
        self.sink = RecordingSink()

    async def serve(self, **fields):
        call = make_call(now_ms=self.clock.now_ms(), **fields)
        return await self.dispatcher.serve(call, self.sink)

    async def serve_error(self, **fields):
        with pytest.raises(RequestError) as raised:
            await self.serve(**fields)
        return raised.value

    @property
    def is_idle(self):
        loads = self.components.loads
        return all(
            loads.total(e.id).running == 0 and loads.total(e.id).unread_tokens == 0
            for e in self.components.source.endpoints
        )


@contextlib.asynccontextmanager
async def running_dispatcher(*scripts, **options):
    """Run a dispatcher with one scripted endpoint for each list of scripts."""
    async with contextlib.AsyncExitStack() as stack:
        endpoints = [
            await stack.enter_async_context(ScriptedEndpoint(*script).running())
            for script in scripts
        ]
        fixture = DispatcherFixture(*endpoints, **options)
        fixture.endpoints = endpoints
        yield fixture


def runs(fixture):
    return sum(len(endpoint.requests) for endpoint in fixture.endpoints)


IDEMPOTENT = make_route(kind=RouteKind.IDEMPOTENT, most_endpoints=2)
ONCE = make_route(kind=RouteKind.NON_IDEMPOTENT, most_endpoints=2)
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True, most_endpoints=2)
RESPONSE = [plain_response(b"done")]


async def test_response_is_forwarded_unchanged():
    async with running_dispatcher(
        [[plain_response(b"body", "201 Created", Seal="s")]]
    ) as fixture:
        result = await fixture.serve()
        assert result.verdict is Verdict.ANSWERED
        assert (fixture.sink.status, fixture.sink.body) == (201, b"body")
        assert fixture.sink.headers["Seal"] == "s"
        assert fixture.is_idle


@pytest.mark.parametrize(
    "fault", [["reset"], ["close"], [b"nonsense\r\n\r\n", "close"], [b"HTTP/1.1 2"]]
)
async def test_request_that_may_have_run_is_not_repeated(fault):
    # Guards against a booking that runs twice, or is reported as not run after a run.
    async with running_dispatcher([fault], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        error = await fixture.serve_error(route=ONCE)
        assert error.status not in NOT_RUN_STATUSES
        assert runs(fixture) == 1
        assert fixture.is_idle


@pytest.mark.parametrize(
    "fault", [["reset"], ["close"], [plain_response(b"", "500 E")]]
)
async def test_idempotent_request_is_repeated_at_another_endpoint(fault):
    async with running_dispatcher([fault], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=IDEMPOTENT)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"done"
        assert runs(fixture) == 2


async def test_refused_non_idempotent_request_is_sent_to_another_endpoint():
    refusal = [plain_response(b"", "503 Busy", Not_Run="1")]
    async with running_dispatcher([refusal], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=ONCE)
        assert result.verdict is Verdict.ANSWERED


async def test_request_refused_by_all_endpoints_is_reported_as_not_run():
    refusal = [plain_response(b"", "503 Busy", Not_Run="1")]
    async with running_dispatcher([refusal]) as fixture:
        error = await fixture.serve_error(route=ONCE)
        assert error.status == 503
        assert error.retry_after_ms > 0


async def test_failed_connect_costs_no_retry_budget():
    async with running_dispatcher([RESPONSE], budget=0) as fixture:
        absent = make_endpoint("e0", "127.0.0.1:1")
        fixture.components.directory._update_list(
            [absent, make_endpoint("e1", fixture.endpoints[0].address)], 0.0
        )
        for _ in range(5):
            result = await fixture.serve(route=ONCE)
            assert result.verdict is Verdict.ANSWERED


async def test_retries_stay_within_the_budget():
    # Guards against retries that multiply the load of failing endpoints.
    async with running_dispatcher([["reset"]], [["reset"]], budget=0) as fixture:
        error = await fixture.serve_error(route=IDEMPOTENT)
        assert error.status == 502
        assert runs(fixture) == 1


async def test_response_to_another_request_is_discarded():
    # Guards against a late response that is sent to the wrong caller.
    crossed = [plain_response(b"not yours", Id="r0")]
    async with running_dispatcher([crossed], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        await fixture.serve(route=IDEMPOTENT)
        assert fixture.sink.body == b"done"


async def test_second_response_after_the_first_is_discarded():
    extra = plain_response(b"done") + plain_response(b"stranger")
    async with running_dispatcher([[extra]]) as fixture:
        await fixture.serve()
        assert fixture.sink.body == b"done"


async def test_truncated_response_is_not_reported_complete():
    cut = plain_response(b"0123456789")[:-4]
    async with running_dispatcher([[cut, "close"]]) as fixture:
        result = await fixture.serve()
        assert result.verdict in (Verdict.BROKEN_OFF, Verdict.MAY_HAVE_RUN)
        assert not fixture.sink.finished


async def test_started_response_is_not_continued_by_another_run():
    # Guards against a body composed of two runs: in a benchmark, this happened when an
    # endpoint crashed during the response to an idempotent request.
    cut = plain_response(b"0123456789")[:-4]
    async with running_dispatcher([[cut, 0.05, "reset"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=IDEMPOTENT)
        assert result.verdict is Verdict.BROKEN_OFF
        assert runs(fixture) == 1
        assert fixture.sink.body == b"012345"


async def test_stream_without_event_ids_is_not_resumed():
    first = stream_head() + chunk(b"data: t\n\n")
    async with running_dispatcher([[first, 0.05, "reset"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.BROKEN_OFF
        assert runs(fixture) == 1


UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


async def test_response_without_length_ends_with_its_connection():
    async with running_dispatcher(
        [[UNFRAMED + b"abc", 0.05, b"def", "close"]]
    ) as fixture:
        result = await fixture.serve()
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"abcdef"


async def test_response_without_length_that_is_reset_is_not_complete():
    async with running_dispatcher([[UNFRAMED + b"abc", 0.05, "reset"]]) as fixture:
        result = await fixture.serve()
        assert result.verdict is Verdict.BROKEN_OFF


async def test_broken_stream_is_resumed_at_another_endpoint_without_gap():
    # Guards against events that are lost, repeated or truncated where a stream resumes.
    first = stream_head() + b"".join(chunk(event(n)) for n in (1, 2)) + chunk(b"id: 3")
    second = stream_head() + b"".join(chunk(event(n)) for n in (3, 4)) + END_OF_CHUNKS
    async with running_dispatcher([[first, 0.05, "reset"]], [[second]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"".join(event(n) for n in (1, 2, 3, 4))
        assert b"Last-Event-Id: 2" in fixture.endpoints[1].requests[0]


async def test_stalled_stream_that_sends_single_bytes_is_resumed():
    # Guards against a stalled stream that never ends since a byte arrives now and then.
    bytes_of_event = [chunk(b"d"), 0.2] * 30
    first = [stream_head() + chunk(event(1)), *bytes_of_event, "hang"]
    second = stream_head() + chunk(event(2)) + END_OF_CHUNKS
    async with running_dispatcher([first], [[second]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        async with asyncio.timeout(4.0):
            result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2)
        assert fixture.is_idle


async def test_slow_stream_with_whole_events_is_not_cut():
    # Guards against sound streams that are resumed elsewhere because they are slow.
    first = [stream_head() + chunk(event(1))]
    for number in range(2, 5):
        content = chunk(event(number))
        first += [0.4, content[:9], 0.3, content[9:]]
    first.append(END_OF_CHUNKS)
    async with running_dispatcher([first], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"".join(event(n) for n in (1, 2, 3, 4))
        assert runs(fixture) == 1


async def test_silent_stream_is_not_cut_without_retry_budget():
    # Guards against a sound stream that is cut since it paused and cannot be resumed.
    first = [stream_head() + chunk(event(1)), 1.6, chunk(event(2)) + END_OF_CHUNKS]
    async with running_dispatcher([first], [RESPONSE], budget=0) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2)
        assert runs(fixture) == 1
        assert fixture.is_idle


async def test_silent_stream_is_not_cut_at_its_last_permitted_endpoint():
    # Guards against a resumed stream that is cut since it paused once more.
    first = stream_head() + chunk(event(1))
    second = [stream_head() + chunk(event(2)), 1.6, chunk(event(3)) + END_OF_CHUNKS]
    async with running_dispatcher([[first, 0.05, "reset"]], [second]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2) + event(3)


async def test_silent_stream_is_not_cut_while_no_other_endpoint_has_room():
    # Guards against a sound stream that is given up before another endpoint takes it.
    first = [stream_head() + chunk(event(1)), 1.6, chunk(event(2)) + END_OF_CHUNKS]
    async with running_dispatcher([first]) as fixture:
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2)
        assert runs(fixture) == 1
        assert fixture.is_idle


async def test_late_response_is_forwarded_when_no_retry_is_possible():
    # Guards against an error in place of an answer that an endpoint was working on.
    route = make_route(kind=RouteKind.IDEMPOTENT, most_endpoints=2, objective_ms=100)
    async with running_dispatcher(
        [[0.8, plain_response(b"late")]], [RESPONSE], budget=0
    ) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=route)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"late"
        assert runs(fixture) == 1


async def test_time_limit_releases_the_load_of_a_silent_stream():
    # Guards against load that stays counted when a silent request ends while waiting.
    first = [stream_head() + chunk(event(1)), "hang"]
    async with running_dispatcher([first]) as fixture:
        result = await fixture.serve(route=RESUMABLE, limit_ms=1_800)
        assert result.verdict is Verdict.BROKEN_OFF
        await asyncio.sleep(0.05)
        assert fixture.is_idle


async def test_broken_stream_that_cannot_be_resumed_is_broken_off():
    first = stream_head() + chunk(event(1))
    async with running_dispatcher([[first, 0.05, "reset"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=make_route(most_endpoints=2))
        assert result.verdict is Verdict.BROKEN_OFF
        assert runs(fixture) == 1


async def test_repeatable_request_leaves_a_silent_endpoint():
    route = make_route(kind=RouteKind.IDEMPOTENT, most_endpoints=2, objective_ms=100)
    async with running_dispatcher([["hang"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=route)
        assert result.verdict is Verdict.ANSWERED


async def serve_until_ended(fixture, **fields):
    task = asyncio.create_task(fixture.serve(**fields))
    await asyncio.sleep(0.1)
    fixture.dispatcher.end_requests()
    return await task


async def test_stopping_gateway_answers_a_request_at_a_silent_endpoint():
    # Guards against a connection that a stopping gateway closes without an answer.
    async with running_dispatcher([["hang"]]) as fixture:
        with pytest.raises(RequestError) as raised:
            await serve_until_ended(fixture, route=ONCE)
        assert (raised.value.status, raised.value.step) == (502, "draining")
        assert fixture.is_idle


async def test_stopping_gateway_refuses_a_waiting_request():
    # Guards against a waiting request that a stopping gateway drops without an answer.
    async with running_dispatcher([["hang"]]) as fixture:
        fixture.components.queue.place = lambda demand: asyncio.sleep(60)
        with pytest.raises(RequestError) as raised:
            await serve_until_ended(fixture, route=ONCE)
        assert (raised.value.status, raised.value.step) == (503, "draining")
        assert runs(fixture) == 0


async def test_stopping_gateway_breaks_off_a_started_response():
    # Guards against a truncated response that looks complete.
    first = [stream_head() + chunk(event(1)), "hang"]
    async with running_dispatcher([first]) as fixture:
        result = await serve_until_ended(fixture, route=RESUMABLE)
        assert (result.verdict, result.reason) == (Verdict.BROKEN_OFF, "draining")


async def test_time_limit_ends_a_running_request():
    # Guards against requests that run past the time limit of their route.
    async with running_dispatcher([["hang"]]) as fixture:
        started_ms = fixture.clock.now_ms()
        error = await fixture.serve_error(route=make_route(time_limit_ms=200))
        assert error.status == 504
        assert fixture.clock.now_ms() - started_ms < 500
        assert fixture.is_idle


async def test_disconnect_of_the_caller_closes_the_endpoint_connection():
    async with running_dispatcher([["hang"]]) as fixture:
        task = asyncio.create_task(fixture.serve())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.1)
        assert fixture.endpoints[0].disconnects == 1
        assert fixture.is_idle


async def test_retry_after_lies_within_the_deadline():
    # Guards against a Retry-After that ends after the caller's deadline.
    async with running_dispatcher([plain_response()]) as fixture:
        fixture.components.begin("e0", tokens=9_000)
        route = make_route(objective_ms=100)
        error = await fixture.serve_error(tokens=5_000, route=route, limit_ms=600)
    assert error.status == 503
    assert 0 < error.retry_after_ms <= 300
