import asyncio
import contextlib

import pytest
from gateway_builders import (
    END_OF_CHUNKS,
    Parts,
    PlainDialect,
    RecordingSink,
    ScriptedEndpoint,
    chunk,
    event,
    make_call,
    make_endpoint,
    make_route,
    plain_answer,
    stream_head,
)

from bulrushbend.core.clock import Clock
from bulrushbend.core.manifest import RouteKind
from bulrushbend.gateway.attempt import AttemptContext, Verdict
from bulrushbend.gateway.budgets import BudgetBook
from bulrushbend.gateway.call import RequestError
from bulrushbend.gateway.dispatch import Dispatcher

PROMISES = (408, 421, 429, 503)


class Rig:
    """A dispatcher in front of scripted endpoints."""

    def __init__(self, *endpoints, budget=10.0):
        clock = Clock()
        found = [make_endpoint(f"e{i}", e.address) for i, e in enumerate(endpoints)]
        self.parts = Parts(*found, clock=clock)
        budgets = BudgetBook(0.0 if budget == 0 else 1.0, budget)
        context = AttemptContext(
            PlainDialect(), self.parts.loads, self.parts.health, clock, 300.0
        )
        self.dispatcher = Dispatcher(
            context,
            self.parts.directory,
            lambda service: self.parts.queue,
            budgets,
            clock,
            self.parts.events,
        )
        self.clock = clock
        self.sink = RecordingSink()

    async def serve(self, **fields):
        call = make_call(now_ms=self.clock.now_ms(), **fields)
        return await self.dispatcher.serve(call, self.sink)

    async def ended(self, **fields):
        with pytest.raises(RequestError) as ended:
            await self.serve(**fields)
        return ended.value

    @property
    def is_idle(self):
        loads = self.parts.loads
        return all(
            loads.total(e.id).running == 0 and loads.total(e.id).unread_tokens == 0
            for e in self.parts.source.endpoints
        )


@contextlib.asynccontextmanager
async def rig(*scripts, **options):
    """Start one scripted endpoint for each list of scripts."""
    async with contextlib.AsyncExitStack() as stack:
        endpoints = [
            await stack.enter_async_context(ScriptedEndpoint(*script).running())
            for script in scripts
        ]
        made = Rig(*endpoints, **options)
        made.endpoints = endpoints
        yield made


def runs(made):
    return sum(len(endpoint.requests) for endpoint in made.endpoints)


IDEMPOTENT = make_route(kind=RouteKind.IDEMPOTENT, most_endpoints=2)
ONCE = make_route(kind=RouteKind.NON_IDEMPOTENT, most_endpoints=2)
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True, most_endpoints=2)
ANSWER = [plain_answer(b"done")]


async def test_answer_is_passed_on_unchanged():
    async with rig([[plain_answer(b"body", "201 Created", Seal="s")]]) as made:
        result = await made.serve()
        assert result.verdict is Verdict.ANSWERED
        assert (made.sink.status, made.sink.body) == (201, b"body")
        assert made.sink.headers["Seal"] == "s"
        assert made.is_idle


@pytest.mark.parametrize(
    "fault", [["reset"], ["close"], [b"nonsense\r\n\r\n", "close"], [b"HTTP/1.1 2"]]
)
async def test_request_that_may_have_run_is_not_sent_again(fault):
    # Guards against a booking that runs twice, or is called "not run" after a run.
    async with rig([fault], [ANSWER]) as made:
        made.parts.health.failed("e1", "the test")
        error = await made.ended(route=ONCE)
        assert error.status not in PROMISES
        assert runs(made) == 1
        assert made.is_idle


@pytest.mark.parametrize("fault", [["reset"], ["close"], [plain_answer(b"", "500 E")]])
async def test_idempotent_request_is_sent_to_another_endpoint(fault):
    async with rig([fault], [ANSWER]) as made:
        made.parts.health.failed("e1", "the test")
        result = await made.serve(route=IDEMPOTENT)
        assert result.verdict is Verdict.ANSWERED
        assert made.sink.body == b"done"
        assert runs(made) == 2


async def test_refused_request_goes_to_another_endpoint_although_it_runs_once():
    refusal = [plain_answer(b"", "503 Busy", Not_Run="1")]
    async with rig([refusal], [ANSWER]) as made:
        made.parts.health.failed("e1", "the test")
        result = await made.serve(route=ONCE)
        assert result.verdict is Verdict.ANSWERED


async def test_request_that_no_endpoint_took_is_said_not_to_have_run():
    refusal = [plain_answer(b"", "503 Busy", Not_Run="1")]
    async with rig([refusal]) as made:
        error = await made.ended(route=ONCE)
        assert error.status == 503
        assert error.retry_after_ms > 0


async def test_endpoint_that_is_not_there_costs_no_retry_budget():
    async with rig([ANSWER], budget=0) as made:
        gone = make_endpoint("e0", "127.0.0.1:1")
        made.parts.directory._update_list(
            [gone, make_endpoint("e1", made.endpoints[0].address)]
        )
        for _ in range(5):
            result = await made.serve(route=ONCE)
            assert result.verdict is Verdict.ANSWERED


async def test_retries_stay_within_the_budget():
    # Guards against retries that multiply the load of failing endpoints.
    async with rig([["reset"]], [["reset"]], budget=0) as made:
        error = await made.ended(route=IDEMPOTENT)
        assert error.status == 502
        assert runs(made) == 1


async def test_answer_of_another_request_is_dropped():
    # Guards against a late answer that reaches the wrong caller.
    crossed = [plain_answer(b"not yours", Id="r0")]
    async with rig([crossed], [ANSWER]) as made:
        made.parts.health.failed("e1", "the test")
        await made.serve(route=IDEMPOTENT)
        assert made.sink.body == b"done"


async def test_second_answer_behind_the_first_is_dropped():
    extra = plain_answer(b"done") + plain_answer(b"stranger")
    async with rig([[extra]]) as made:
        await made.serve()
        assert made.sink.body == b"done"


async def test_answer_that_ends_early_does_not_look_complete():
    cut = plain_answer(b"0123456789")[:-4]
    async with rig([[cut, "close"]]) as made:
        result = await made.serve()
        assert result.verdict in (Verdict.BROKEN_OFF, Verdict.MAY_HAVE_RUN)
        assert not made.sink.finished


async def test_answer_that_has_begun_is_not_joined_with_another():
    # Guards against a body of two runs, seen on the bench when an endpoint crashed
    # in the middle of an idempotent answer.
    cut = plain_answer(b"0123456789")[:-4]
    async with rig([[cut, 0.05, "reset"]], [ANSWER]) as made:
        made.parts.health.failed("e1", "the test")
        result = await made.serve(route=IDEMPOTENT)
        assert result.verdict is Verdict.BROKEN_OFF
        assert runs(made) == 1
        assert made.sink.body == b"012345"


async def test_stream_without_event_ids_is_not_resumed():
    first = stream_head() + chunk(b"data: t\n\n")
    async with rig([[first, 0.05, "reset"]], [ANSWER]) as made:
        made.parts.health.failed("e1", "the test")
        result = await made.serve(route=RESUMABLE)
        assert result.verdict is Verdict.BROKEN_OFF
        assert runs(made) == 1


UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


async def test_answer_without_length_is_complete_when_its_connection_ends():
    async with rig([[UNFRAMED + b"abc", 0.05, b"def", "close"]]) as made:
        result = await made.serve()
        assert result.verdict is Verdict.ANSWERED
        assert made.sink.body == b"abcdef"


async def test_answer_without_length_that_is_reset_is_not_complete():
    async with rig([[UNFRAMED + b"abc", 0.05, "reset"]]) as made:
        result = await made.serve()
        assert result.verdict is Verdict.BROKEN_OFF


async def test_broken_stream_goes_on_at_another_endpoint_without_gap():
    # Guards against events that are lost, repeated or cut at the seam of two runs.
    first = stream_head() + b"".join(chunk(event(n)) for n in (1, 2)) + chunk(b"id: 3")
    second = stream_head() + b"".join(chunk(event(n)) for n in (3, 4)) + END_OF_CHUNKS
    async with rig([[first, 0.05, "reset"]], [[second]]) as made:
        made.parts.health.failed("e1", "the test")
        result = await made.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert made.sink.body == b"".join(event(n) for n in (1, 2, 3, 4))
        assert b"Last-Event-Id: 2" in made.endpoints[1].requests[0]


async def test_broken_stream_that_cannot_be_resumed_is_broken_off():
    first = stream_head() + chunk(event(1))
    async with rig([[first, 0.05, "reset"]], [ANSWER]) as made:
        made.parts.health.failed("e1", "the test")
        result = await made.serve(route=make_route(most_endpoints=2))
        assert result.verdict is Verdict.BROKEN_OFF
        assert runs(made) == 1


async def test_silent_endpoint_is_given_up_for_a_request_that_may_be_repeated():
    route = make_route(kind=RouteKind.IDEMPOTENT, most_endpoints=2, objective_ms=100)
    async with rig([["hang"]], [ANSWER]) as made:
        made.parts.health.failed("e1", "the test")
        result = await made.serve(route=route)
        assert result.verdict is Verdict.ANSWERED


async def test_time_limit_ends_a_request_that_runs():
    # Guards against callers that are held past the time limit of their route.
    async with rig([["hang"]]) as made:
        started_ms = made.clock.now_ms()
        error = await made.ended(route=make_route(time_limit_ms=200))
        assert error.status == 504
        assert made.clock.now_ms() - started_ms < 500
        assert made.is_idle


async def test_caller_that_leaves_ends_the_work_of_the_endpoint():
    async with rig([["hang"]]) as made:
        task = asyncio.create_task(made.serve())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.1)
        assert made.endpoints[0].left == 1
        assert made.is_idle


async def test_caller_is_asked_back_within_its_time():
    # Guards against a Retry-After that lies behind the caller's deadline.
    async with rig([plain_answer()]) as one:
        one.parts.begin("e0", tokens=9_000)
        route = make_route(objective_ms=100)
        error = await one.ended(tokens=5_000, route=route, limit_ms=600)
    assert error.status == 503
    assert 0 < error.retry_after_ms <= 300
