import asyncio

from bulrushbend.agent.slots import SlotAccount
from bulrushbend.core.clock import ManualClock

from .builders import fixed_length, running_agent


async def test_slot_time_is_split_into_busy_and_idle():
    clock = ManualClock()
    account = SlotAccount(clock)
    account.record(limit=4, running=1, waiting=False)
    await clock.advance(10)
    account.record(limit=4, running=1, waiting=True)
    await clock.advance(5)
    account.record(limit=0, running=1, waiting=True)
    await clock.advance(100)
    report = account.report(in_use=1, leaving=True)
    assert report.usable_ms == 4 * 15
    assert report.busy_ms == 115
    assert report.idle_while_waiting_ms == 3 * 5


async def test_idle_time_grows_only_while_a_router_advertises_requests():
    # The utilisation must include slots that are idle while requests wait.
    async def answer(request, writer):
        writer.write(fixed_length(b"done"))

    async with running_agent(answer, claim_timeout_ms=5000) as (_, agent, _, router):
        await asyncio.sleep(0.05)
        assert agent.slot_report().idle_while_waiting_ms == 0
        attempt_id = await router.claim()
        await asyncio.sleep(0.1)
        assert agent.slot_report().idle_while_waiting_ms >= 90
        await (await router.post(attempt_id)).body()
        before = agent.slot_report()
        await asyncio.sleep(0.05)
        after = agent.slot_report()
        assert after.idle_while_waiting_ms == before.idle_while_waiting_ms
        assert after.usable_ms > before.usable_ms
        page = await (await router.call("GET", "/metrics")).body()
        assert b"bulrushbend_agent_slot_idle_while_waiting_ms" in page
