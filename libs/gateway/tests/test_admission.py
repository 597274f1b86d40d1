import asyncio

import pytest
from gateway_builders import SERVICE, Parts, make_call, make_endpoint, make_route

from bulrushbend.gateway.call import RequestError
from bulrushbend.gateway.holdings import PromptHoldings
from bulrushbend.gateway.loads import WAITING_LIFE_MS, LoadView


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


async def wait_for(parts, call):
    task = asyncio.create_task(parts.place(call))
    await settle()
    return task


def occupy(parts, endpoint="e1", tokens=9000):
    parts.begin(endpoint, tokens=tokens)


async def test_request_goes_at_once_when_there_is_room():
    parts = Parts(make_endpoint("e1"))
    placement = await parts.place(make_call())
    assert placement.endpoint == "e1"
    assert parts.loads.total("e1").running == 1
    assert parts.loads.total("e1").unread_tokens == 1000


async def test_waiting_request_goes_when_the_prompt_before_it_is_read():
    parts = Parts(make_endpoint("e1"))
    occupy(parts)
    task = await wait_for(parts, make_call(tokens=5000))
    assert not task.done()
    parts.loads.read("e1", 9000)
    await parts.clock.advance(20)
    await settle()
    assert task.result().endpoint == "e1"


async def test_team_that_was_given_least_goes_first():
    # Guards against a large team that starves small ones.
    parts = Parts(make_endpoint("e1"))
    occupy(parts)
    parts.shares.charge([("large", 100_000), ("small", 10)])
    large = [
        await wait_for(parts, make_call("large", 5000, request_id=f"l{i}"))
        for i in range(3)
    ]
    small = await wait_for(parts, make_call("small", 5000))
    parts.loads.read("e1", 9000)
    await parts.clock.advance(20)
    await settle()
    assert small.done()
    assert not any(task.done() for task in large)
    for task in large:
        task.cancel()


async def test_request_out_of_time_is_refused_with_a_time_to_come_back():
    # Guards against requests that are held until they are of no use.
    parts = Parts(make_endpoint("e1"))
    occupy(parts)
    task = await wait_for(parts, make_call(route=make_route(objective_ms=400)))
    await parts.clock.advance(300)
    await settle()
    with pytest.raises(RequestError) as ended:
        task.result()
    assert ended.value.status == 503
    assert ended.value.retry_after_ms > 0
    assert parts.queue.waiting == 0


async def test_refused_request_does_not_stop_those_behind_it():
    # Guards against a queue that nobody looks at any more after a refusal.
    parts = Parts(make_endpoint("e1"))
    occupy(parts)
    short = await wait_for(parts, make_call("a", route=make_route(objective_ms=100)))
    long = await wait_for(parts, make_call("b"))
    await parts.clock.advance(100)
    await settle()
    assert isinstance(short.exception(), RequestError)
    parts.loads.read("e1", 9000)
    await parts.clock.advance(40)
    await settle()
    assert long.done()


async def test_service_without_endpoints_refuses_at_once():
    parts = Parts()
    with pytest.raises(RequestError) as ended:
        await parts.place(make_call())
    assert (ended.value.status, ended.value.code) == (503, "no-endpoint")


async def test_queue_is_bounded():
    parts = Parts(make_endpoint("e1"), most_waiting=1)
    occupy(parts)
    waiting = await wait_for(parts, make_call())
    with pytest.raises(RequestError) as ended:
        await parts.place(make_call())
    assert ended.value.code == "queue-full"
    waiting.cancel()


async def test_caller_that_leaves_frees_its_place():
    # Guards against work for callers that are gone.
    parts = Parts(make_endpoint("e1"))
    occupy(parts)
    task = await wait_for(parts, make_call())
    task.cancel()
    await settle()
    assert parts.queue.waiting == 0
    parts.loads.read("e1", 9000)
    parts.queue.look()
    assert parts.loads.total("e1").running == 1


async def test_caller_that_leaves_as_it_is_placed_gives_the_endpoint_back():
    parts = Parts(make_endpoint("e1"))
    occupy(parts)
    task = await wait_for(parts, make_call())
    parts.loads.read("e1", 9000)
    parts.queue.look()
    task.cancel()
    await settle()
    assert parts.loads.total("e1").running == 1
    assert parts.loads.total("e1").unread_tokens == 0


def tell_of_waiting(parts, level):
    """Have another gateway report a waiting team at this level."""
    other = LoadView("g2", parts.clock.wall_ms() + 1, parts.clock, PromptHoldings())
    other.set_waiting(SERVICE, level)
    parts.loads.learn(other.report())


async def test_well_served_team_yields_to_a_team_that_waits_elsewhere():
    # Guards against a team that gets all because its gateway has no queue, seen on the
    # bench as a team that got less than a third of what another got.
    parts = Parts(make_endpoint("e1"))
    parts.shares.charge([("large", 100_000)])
    tell_of_waiting(parts, 5_000.0)
    task = await wait_for(parts, make_call("large"))
    assert not task.done()
    small = await wait_for(parts, make_call("small"))
    await parts.clock.advance(20)
    await settle()
    assert small.done()
    assert not task.done()
    task.cancel()


async def test_team_yields_however_long_it_has_waited():
    # Guards against a bound on the time that requests have waited: under overload all
    # wait for longer than it, and nobody yields any more.
    parts = Parts(make_endpoint("e1"))
    parts.shares.charge([("large", 100_000)])
    occupy(parts)
    task = await wait_for(parts, make_call("large"))
    for _ in range(15):
        tell_of_waiting(parts, 5_000.0)
        await parts.clock.advance(20)
    parts.loads.read("e1", 9000)
    await parts.clock.advance(20)
    await settle()
    assert parts.queue.waiting == 1
    task.cancel()


async def test_yielding_is_bounded():
    # Guards against room that nobody uses while work waits.
    parts = Parts(make_endpoint("e1"))
    parts.shares.charge([("large", 100_000)])
    tell_of_waiting(parts, 5_000.0)
    task = await wait_for(parts, make_call("large"))
    for _ in range(6):
        tell_of_waiting(parts, 5_000.0)
        await parts.clock.advance(20)
        await settle()
    assert task.done()


async def test_news_of_waiting_teams_grow_old():
    parts = Parts(make_endpoint("e1"))
    parts.shares.charge([("large", 100_000)])
    tell_of_waiting(parts, 5_000.0)
    await parts.clock.advance(WAITING_LIFE_MS + 1)
    placement = await parts.place(make_call("large"))
    assert placement.endpoint == "e1"


async def test_look_does_not_try_what_fits_nowhere():
    # Guards against a coordinator whose processor goes into hopeless tries.
    parts = Parts(make_endpoint("e1"), make_endpoint("e2"), most_waiting=1000)
    occupy(parts, "e1", 2_000)
    occupy(parts, "e2", 2_000)
    waiting = [
        await wait_for(parts, make_call(f"t{n}", 500, request_id=str(n)))
        for n in range(20)
    ]
    tried = []
    choose = parts.placer.choose
    parts.placer.choose = lambda *given: tried.append(given) or choose(*given)
    parts.queue.look()
    assert tried == []
    parts.loads.read("e1", 2_000)
    parts.queue.look()
    await settle()
    assert sum(task.done() for task in waiting) == 4
    for task in waiting:
        task.cancel()
