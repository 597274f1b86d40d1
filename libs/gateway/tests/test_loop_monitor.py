import asyncio

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.loop_monitor import EventLoopMonitor


def test_one_long_delay_is_no_overload():
    monitor = EventLoopMonitor(ManualClock())
    monitor.record(150.0)
    assert not monitor.is_overloaded


def test_overload_ends_only_below_the_lower_threshold():
    # Guards against requests that are accepted and refused alternately.
    monitor = EventLoopMonitor(ManualClock())
    for _ in range(20):
        monitor.record(60.0)
    assert monitor.is_overloaded
    for _ in range(20):
        monitor.record(20.0)
    assert monitor.is_overloaded
    for _ in range(20):
        monitor.record(2.0)
    assert not monitor.is_overloaded


async def test_delay_excludes_the_measurement_interval():
    # Guards against a measurement that includes its own interval.
    clock = ManualClock()
    monitor = EventLoopMonitor(clock)
    task = asyncio.create_task(monitor.run())
    await asyncio.sleep(0)
    for _ in range(10):
        await clock.advance(20)
    assert monitor.lag_ms == 0.0
    task.cancel()
