import asyncio
from collections import deque

import pytest
from gateway_builders import (
    SERVICE,
    GatewayComponents,
    make_call,
    make_endpoint,
    make_route,
)

from bulrushbend.gateway.call import RequestError
from bulrushbend.gateway.loads import WAITING_TTL_MS, LoadView
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


async def wait_for(components, call):
    task = asyncio.create_task(components.place(call))
    await settle()
    return task


def occupy(components, endpoint="e1", tokens=9000):
    components.begin(endpoint, tokens=tokens)


async def test_request_is_placed_at_once_when_an_endpoint_has_capacity():
    components = GatewayComponents(make_endpoint("e1"))
    placement = await components.place(make_call())
    assert placement.endpoint == "e1"
    assert components.loads.total("e1").running == 1
    assert components.loads.total("e1").unread_tokens == 1000


async def test_waiting_request_is_placed_when_prefill_before_it_ends():
    components = GatewayComponents(make_endpoint("e1"))
    occupy(components)
    task = await wait_for(components, make_call(tokens=5000))
    assert not task.done()
    components.loads.end_prefill("e1", 9000)
    await components.clock.advance(20)
    await settle()
    assert task.result().endpoint == "e1"


async def test_team_with_the_lowest_usage_is_placed_first():
    # Guards against a large team that starves small ones.
    components = GatewayComponents(make_endpoint("e1"))
    occupy(components)
    components.shares.charge([("large", 100_000), ("small", 10)])
    large = [
        await wait_for(components, make_call("large", 5000, request_id=f"l{i}"))
        for i in range(3)
    ]
    small = await wait_for(components, make_call("small", 5000))
    components.loads.end_prefill("e1", 9000)
    await components.clock.advance(20)
    await settle()
    assert small.done()
    assert not any(task.done() for task in large)
    for task in large:
        task.cancel()


async def test_expired_request_is_refused_with_retry_after():
    # Guards against requests that wait until their response is of no use.
    components = GatewayComponents(make_endpoint("e1"))
    occupy(components)
    task = await wait_for(components, make_call(route=make_route(objective_ms=400)))
    await components.clock.advance(300)
    await settle()
    with pytest.raises(RequestError) as raised:
        task.result()
    assert raised.value.status == 503
    assert raised.value.retry_after_ms > 0
    assert components.queue.waiting == 0


async def test_queue_goes_on_after_a_refusal():
    # Guards against a queue that is no longer polled after a refusal.
    components = GatewayComponents(make_endpoint("e1"))
    occupy(components)
    short = await wait_for(
        components, make_call("a", route=make_route(objective_ms=100))
    )
    long = await wait_for(components, make_call("b"))
    await components.clock.advance(100)
    await settle()
    assert isinstance(short.exception(), RequestError)
    components.loads.end_prefill("e1", 9000)
    await components.clock.advance(40)
    await settle()
    assert long.done()


async def test_request_without_endpoints_is_refused_at_once():
    components = GatewayComponents()
    with pytest.raises(RequestError) as raised:
        await components.place(make_call())
    assert (raised.value.status, raised.value.code) == (503, "no-endpoint")


async def test_queue_is_bounded():
    components = GatewayComponents(make_endpoint("e1"), most_waiting=1)
    occupy(components)
    waiting = await wait_for(components, make_call())
    with pytest.raises(RequestError) as raised:
        await components.place(make_call())
    assert raised.value.code == "queue-full"
    waiting.cancel()


async def test_cancelled_request_leaves_the_queue():
    # Guards against work for callers that have disconnected.
    components = GatewayComponents(make_endpoint("e1"))
    occupy(components)
    task = await wait_for(components, make_call())
    task.cancel()
    await settle()
    assert components.queue.waiting == 0
    components.loads.end_prefill("e1", 9000)
    components.queue.place_waiting()
    assert components.loads.total("e1").running == 1


async def test_request_cancelled_while_placed_releases_the_endpoint():
    components = GatewayComponents(make_endpoint("e1"))
    occupy(components)
    task = await wait_for(components, make_call())
    components.loads.end_prefill("e1", 9000)
    components.queue.place_waiting()
    task.cancel()
    await settle()
    assert components.loads.total("e1").running == 1
    assert components.loads.total("e1").unread_tokens == 0


def report_waiting_usage(components, usage):
    """Handle a report of another gateway with a waiting team of this usage."""
    other = LoadView(
        "g2", components.clock.wall_ms() + 1, components.clock, PrefixCacheIndex()
    )
    other.set_waiting_usage(SERVICE, usage)
    components.loads.handle_report(other.report())


async def test_team_with_high_usage_yields_to_a_team_at_another_gateway():
    # Guards against a team that gets all capacity because its gateway has no queue: in
    # a benchmark, one team got less than a third of what another one got.
    components = GatewayComponents(make_endpoint("e1"))
    components.shares.charge([("large", 100_000)])
    report_waiting_usage(components, 5_000.0)
    task = await wait_for(components, make_call("large"))
    assert not task.done()
    small = await wait_for(components, make_call("small"))
    await components.clock.advance(20)
    await settle()
    assert small.done()
    assert not task.done()
    task.cancel()


async def test_team_yields_regardless_of_its_own_waiting_time():
    # Guards against a bound on yielding that counts from the arrival of the request:
    # under overload all requests wait for longer, and no team would yield.
    components = GatewayComponents(make_endpoint("e1"))
    components.shares.charge([("large", 100_000)])
    occupy(components)
    task = await wait_for(components, make_call("large"))
    for _ in range(15):
        report_waiting_usage(components, 5_000.0)
        await components.clock.advance(20)
    components.loads.end_prefill("e1", 9000)
    await components.clock.advance(20)
    await settle()
    assert components.queue.waiting == 1
    task.cancel()


async def test_yielding_time_is_bounded():
    # Guards against capacity that stays unused while requests wait.
    components = GatewayComponents(make_endpoint("e1"))
    components.shares.charge([("large", 100_000)])
    report_waiting_usage(components, 5_000.0)
    task = await wait_for(components, make_call("large"))
    for _ in range(6):
        report_waiting_usage(components, 5_000.0)
        await components.clock.advance(20)
        await settle()
    assert task.done()


async def test_usage_of_waiting_teams_expires():
    components = GatewayComponents(make_endpoint("e1"))
    components.shares.charge([("large", 100_000)])
    report_waiting_usage(components, 5_000.0)
    await components.clock.advance(WAITING_TTL_MS + 1)
    placement = await components.place(make_call("large"))
    assert placement.endpoint == "e1"


async def test_pass_skips_requests_that_fit_at_no_endpoint():
    # Guards against a coordinator that spends its processor time on placements that
    # cannot succeed.
    components = GatewayComponents(
        make_endpoint("e1"), make_endpoint("e2"), most_waiting=1000
    )
    occupy(components, "e1", 2_000)
    occupy(components, "e2", 2_000)
    waiting = [
        await wait_for(components, make_call(f"t{n}", 500, request_id=str(n)))
        for n in range(20)
    ]
    tried = []
    choose = components.placer.choose
    components.placer.choose = lambda *args: tried.append(args) or choose(*args)
    components.queue.place_waiting()
    assert tried == []
    components.loads.end_prefill("e1", 2_000)
    components.queue.place_waiting()
    await settle()
    assert sum(task.done() for task in waiting) == 4
    for task in waiting:
        task.cancel()


async def keep_endpoint_busy(components, duration_ms):
    """Send short prompts of other teams that never leave the endpoint idle."""
    unread = deque([900])
    tasks = []

    def count_placed(task):
        if not task.cancelled() and task.exception() is None:
            unread.append(900)

    for step in range(int(duration_ms / 20)):
        now_ms = components.clock.now_ms()
        call = make_call(f"small-{step % 3}", 900, now_ms=now_ms, request_id=str(step))
        task = await wait_for(components, call)
        task.add_done_callback(count_placed)
        tasks.append(task)
        await components.clock.advance(20)
        await settle()
        if unread:
            components.loads.end_prefill("e1", unread.popleft())
    for task in tasks:
        task.cancel()


async def test_long_prompt_is_placed_while_short_ones_keep_the_endpoint_busy():
    # Guards against the largest requests of a team, of which hardly any is served as
    # long as short prompts leave no endpoint without an unread one.
    components = GatewayComponents(make_endpoint("e1"))
    components.begin("e1", "small-0", tokens=900)
    long_task = await wait_for(components, make_call("crew-a", 9000))
    await keep_endpoint_busy(components, 690)
    assert long_task.done()
    assert long_task.exception() is None


async def test_reserved_endpoints_are_at_most_a_quarter():
    # Guards against long prompts that wait and leave the whole service idle.
    names = [f"e{number}" for number in range(8)]
    components = GatewayComponents(*map(make_endpoint, names))
    for name in names:
        components.begin(name, "small", tokens=900)
    long_tasks = [
        await wait_for(components, make_call(f"crew-{number}", 9000))
        for number in range(8)
    ]
    await components.clock.advance(400)
    short_tasks = [
        await wait_for(components, make_call("small", 900, now_ms=400.0))
        for _ in range(6)
    ]
    await components.clock.advance(150)
    await settle()
    assert all(task.done() for task in short_tasks)
    for task in (*long_tasks, *short_tasks):
        task.cancel()


async def test_oldest_request_of_a_backlog_is_considered():
    # Guards against a long prompt that is hidden by the short ones of its own team.
    components = GatewayComponents(make_endpoint("e1"))
    components.begin("e1", "small", tokens=900)
    long_task = await wait_for(components, make_call("crew-a", 9000))
    short_tasks = [
        await wait_for(components, make_call("crew-a", 1200, request_id=f"s{number}"))
        for number in range(12)
    ]
    await components.clock.advance(400)
    components.loads.end_prefill("e1", 900)
    components.queue.place_waiting()
    assert sum(task.done() for task in (long_task, *short_tasks)) <= 1
    for _ in range(10):
        await components.clock.advance(20)
        await settle()
        unread = components.loads.total("e1").unread_tokens
        if unread and not long_task.done():
            components.loads.end_prefill("e1", unread)
    assert long_task.done()
    for task in short_tasks:
        task.cancel()


async def test_long_request_that_was_cancelled_is_skipped_once():
    components = GatewayComponents(make_endpoint("e1"))
    components.begin("e1", "small", tokens=900)
    long_task = await wait_for(components, make_call("crew-a", 9000))
    short_task = await wait_for(components, make_call("crew-a", 1200))
    await components.clock.advance(400)
    components.queue._queues_by_team["crew-a"][0].placed.cancel()
    components.loads.end_prefill("e1", 900)
    components.queue.place_waiting()
    await settle()
    assert long_task.cancelled()
    assert short_task.done()


async def test_waiting_requests_are_placed_after_a_pass_that_failed():
    # Guards against requests that wait for the next arrival since polling has ended.
    components = GatewayComponents(make_endpoint("e1"))
    occupy(components)
    task = await wait_for(components, make_call(tokens=5000))
    place_waiting = components.queue.place_waiting
    components.queue.place_waiting = lambda: 1 / 0
    await components.clock.advance(60)
    components.queue.place_waiting = place_waiting
    components.loads.end_prefill("e1", 9000)
    await components.clock.advance(60)
    await settle()
    assert task.result().endpoint == "e1"
