import asyncio

import pytest

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.events import EventKind, MemoryEventLog
from bulrushbend.process.supervision import RESTART_DELAY_MS, run_supervised


class FailingTask:
    """Task that fails at its first starts and then runs."""

    def __init__(self, failures):
        self.failures = failures
        self.starts = 0
        self.is_running = False

    async def run(self):
        self.starts += 1
        if self.starts <= self.failures:
            raise KeyError("unexpected")
        self.is_running = True
        try:
            await asyncio.Event().wait()
        finally:
            self.is_running = False


async def test_failed_task_is_started_again_and_the_others_go_on():
    # Guards against a whole process that ends with an error in one background task.
    clock, events = ManualClock(), MemoryEventLog()
    failing, steady = FailingTask(2), FailingTask(0)
    tasks = {"failing": failing.run, "steady": steady.run}
    running = asyncio.create_task(run_supervised(tasks, clock, events))
    for _ in range(3):
        await asyncio.sleep(0)
        await clock.advance(RESTART_DELAY_MS)
    assert failing.is_running
    assert steady.starts == 1
    restarted = [r for r in events.records if r["kind"] == EventKind.TASK_RESTARTED]
    assert [record["task"] for record in restarted] == ["failing", "failing"]
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    assert not failing.is_running
    assert not steady.is_running


async def test_task_that_ends_is_not_started_again():
    clock, events = ManualClock(), MemoryEventLog()
    starts = []

    async def end():
        starts.append(1)

    await run_supervised({"end": end}, clock, events)
    assert starts == [1]
    assert events.records == []
