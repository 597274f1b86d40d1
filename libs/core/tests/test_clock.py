import asyncio

from bulrushbend.core.clock import ManualClock


async def test_manual_clock_wakes_sleepers_in_order_of_wake_time():
    clock = ManualClock()
    woken = []

    async def sleeper(duration_ms):
        await clock.sleep_ms(duration_ms)
        woken.append((duration_ms, clock.now_ms()))

    tasks = [asyncio.create_task(sleeper(ms)) for ms in (30, 10, 20)]
    await asyncio.sleep(0)
    await clock.advance(25)
    assert woken == [(10, 10.0), (20, 20.0)]
    await clock.advance(5)
    await asyncio.gather(*tasks)
    assert woken[-1] == (30, 30.0)
