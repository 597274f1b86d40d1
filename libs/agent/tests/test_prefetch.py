import asyncio

import pytest

from bulrushbend.agent.prefetch import PrefetchPolicy

from .builders import (
    CHUNKED,
    LAST_CHUNK,
    build_manifest,
    chunk,
    eventually,
    fixed_length,
    read_refusal,
    running_agent,
)


def build_policy(round_trip_ms, cost_ms):
    policy = PrefetchPolicy()
    policy.record_round_trip(round_trip_ms)
    policy.record_cost(cost_ms)
    return policy


@pytest.mark.parametrize(
    ("round_trip_ms", "cost_ms", "claimable", "depth"),
    [
        (4.0, 170.0, 100, 2),
        (4.0, 4.0, 100, 8),
        (4.0, 2900.0, 100, 0),
        (4.0, 170.0, 8, 0),
    ],
)
def test_depth_follows_round_trip_cost_and_backlog(
    round_trip_ms, cost_ms, claimable, depth
):
    assert build_policy(round_trip_ms, cost_ms).depth(8, claimable) == depth


def test_nothing_is_prefetched_before_a_cost_is_known():
    assert PrefetchPolicy().depth(8, 100) == 0


async def brief_answer(request, writer):
    await asyncio.sleep(0.02)
    writer.write(fixed_length(b"done"))


class SlowAfterWarmUp:
    """Endpoint script: `brief` short answers, then answers that wait for `go_on`."""

    def __init__(self, brief):
        self._brief = brief
        self.go_on = asyncio.Event()

    async def __call__(self, request, writer):
        if self._brief > 0:
            self._brief -= 1
            await brief_answer(request, writer)
            return
        writer.write(CHUNKED + chunk(b"begin "))
        await writer.drain()
        await self.go_on.wait()
        writer.write(chunk(b"end") + LAST_CHUNK)


async def prefetch_one(agent, router):
    """Create one running and one prefetched request; return their handles."""
    router.advertise(waiting=50)
    exchange = await router.post(await router.next_claim())
    await exchange.body()
    running = await router.post(await router.next_claim())
    prefetched_id = await router.next_claim()
    posting = asyncio.create_task(router.post(prefetched_id))
    await eventually(lambda: agent._scheduler._prefetched)
    return running, prefetched_id, posting


async def test_prefetched_request_starts_when_the_slot_is_free():
    # Otherwise the slot would be idle for a claim round trip after each request.
    script = SlowAfterWarmUp(brief=1)
    async with running_agent(script, build_manifest(slots=1)) as parts:
        _, agent, endpoint, router = parts
        running, _, posting = await prefetch_one(agent, router)
        assert len(endpoint.runs()) == 2
        script.go_on.set()
        assert await running.body() == b"begin end"
        assert await (await posting).body() == b"begin end"
        assert len(endpoint.runs()) == 3


async def test_prefetched_request_is_returned_in_time_and_has_not_run():
    # Otherwise a long request would keep the prefetched one from idle agents.
    script = SlowAfterWarmUp(brief=1)
    async with running_agent(script, build_manifest(slots=1)) as parts:
        _, agent, endpoint, router = parts
        _, _, posting = await prefetch_one(agent, router)
        async with asyncio.timeout(1):
            assert await read_refusal(await posting) == (409, "not-started")
        assert len(endpoint.runs()) == 2


async def test_prefetched_request_is_returned_when_no_other_request_waits():
    # Otherwise the only waiting request would not be available to idle agents.
    script = SlowAfterWarmUp(brief=1)
    async with running_agent(script, build_manifest(slots=1)) as parts:
        _, agent, _, router = parts
        _, _, posting = await prefetch_one(agent, router)
        router.advertise(waiting=0)
        async with asyncio.timeout(0.2):
            assert await read_refusal(await posting) == (409, "not-started")


async def test_prefetched_request_that_is_withdrawn_never_runs():
    script = SlowAfterWarmUp(brief=1)
    async with running_agent(script, build_manifest(slots=1)) as parts:
        _, agent, endpoint, router = parts
        running, prefetched_id, posting = await prefetch_one(agent, router)
        assert b"not-started" in await (await router.delete(prefetched_id)).body()
        assert await read_refusal(await posting) == (409, "not-started")
        script.go_on.set()
        await running.body()
        assert len(endpoint.runs()) == 2


async def test_prefetched_request_of_a_closed_connection_never_runs():
    script = SlowAfterWarmUp(brief=1)
    async with running_agent(script, build_manifest(slots=1)) as parts:
        _, agent, endpoint, router = parts
        running, prefetched_id, posting = await prefetch_one(agent, router)
        posting.cancel()
        await eventually(lambda: not agent._scheduler._prefetched)
        script.go_on.set()
        await running.body()
        assert len(endpoint.runs()) == 2
        assert b"not-started" in await (await router.delete(prefetched_id)).body()
