"""Background tasks that outlive unexpected errors."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Mapping

from prometheus_client import Counter

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.logs import get_logger

_log = get_logger("process.supervision")

# Delay before a failed task is started again, so that an error that recurs costs little
# processor time.
RESTART_DELAY_MS = 500.0

TASK_RESTARTS = Counter(
    "bulrushbend_task_restarts_total",
    "Background tasks that were started again after an unexpected error.",
    ["task"],
)


async def run_supervised(
    tasks: Mapping[str, Callable[[], Awaitable[None]]], clock: Clock, events: EventLog
) -> None:
    """Run background tasks until cancelled, and start failed ones again.

    An unexpected error in one task is logged and counted. It ends neither the other
    tasks nor the requests in progress. What a task maintains gets old meanwhile, and
    whoever uses it has to check its age.

    Parameters
    ----------
    tasks : mapping from str to callable
        Starts each task, by name.
    clock : Clock
        Source of time.
    events : EventLog
        Receives ``task-restarted``.
    """
    async with asyncio.TaskGroup() as group:
        for name, start in tasks.items():
            group.create_task(_run_again(name, start, clock, events), name=name)


async def _run_again(
    name: str, start: Callable[[], Awaitable[None]], clock: Clock, events: EventLog
) -> None:
    while True:
        try:
            await start()
            return
        except Exception as error:
            _log.error(
                "task %s failed with unexpected error: %r; starting it again\n%s",
                name,
                error,
                traceback.format_exc(),
            )
            events.write(EventKind.TASK_RESTARTED, task=name, reason=repr(error))
            TASK_RESTARTS.labels(name).inc()
        await clock.sleep_ms(RESTART_DELAY_MS)
