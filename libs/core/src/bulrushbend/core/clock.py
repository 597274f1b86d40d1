"""Time in milliseconds."""

import asyncio
import heapq
import itertools
import time


class Clock:
    """Clock of the machine that the process runs on, in milliseconds."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds; only differences are meaningful."""
        return time.monotonic() * 1000.0

    def boot_ms(self) -> float:
        """Return monotonic time in milliseconds, time in system suspend included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch in milliseconds."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task for `duration_ms` milliseconds."""
        await asyncio.sleep(max(0.0, duration_ms) / 1000.0)


class ManualClock(Clock):
    """Clock for tests that only moves when `advance` is called.

    Parameters
    ----------
    start_ms : float, default=0.0
        Initial value of both the monotonic and the wall clock in milliseconds.
    """

    def __init__(self, start_ms: float = 0.0):
        self._now_ms = start_ms
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def now_ms(self) -> float:
        """Return the manual time in milliseconds."""
        return self._now_ms

    def boot_ms(self) -> float:
        """Return the manual time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the manual time in whole milliseconds."""
        return int(self._now_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task until the clock was advanced by `duration_ms`."""
        if duration_ms <= 0:
            await asyncio.sleep(0)
            return
        wake = asyncio.get_running_loop().create_future()
        due_ms = self._now_ms + duration_ms
        heapq.heappush(self._sleepers, (due_ms, next(self._order), wake))
        await wake

    async def advance(self, duration_ms: float) -> None:
        """Move the clock forward and wake the tasks whose sleep has ended.

        Parameters
        ----------
        duration_ms : float
            Milliseconds to move forward.
        """
        target_ms = self._now_ms + duration_ms
        while self._sleepers and self._sleepers[0][0] <= target_ms:
            due_ms, _, wake = heapq.heappop(self._sleepers)
            self._now_ms = max(self._now_ms, due_ms)
            if not wake.done():
                wake.set_result(None)
            await asyncio.sleep(0)
        self._now_ms = target_ms
        await asyncio.sleep(0)
