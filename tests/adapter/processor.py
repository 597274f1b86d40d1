"""Processor time of other processes, measured and limited from outside."""

import asyncio
import os
import signal
from pathlib import Path

# Time between two looks at a limited process.
_PERIOD_S = 0.005


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    nanoseconds = Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(nanoseconds) / 1e9


class ProcessorLimit:
    """Stops and continues a process so that it gets a share of a core.

    Parameters
    ----------
    pid : int
        Process that the test started.
    share : float
        Part of a core.
    """

    def __init__(self, pid: int, share: float):
        self._pid = pid
        self._share = share

    async def run(self) -> None:
        """Limit the process until cancelled; it runs freely afterwards."""
        loop = asyncio.get_running_loop()
        is_stopped = False
        at, used_s = loop.time(), processor_s(self._pid)
        owed_s = 0.0
        try:
            while True:
                await asyncio.sleep(_PERIOD_S)
                now, now_used_s = loop.time(), processor_s(self._pid)
                owed_s += now_used_s - used_s - self._share * (now - at)
                # Time that was not used is no credit for later.
                owed_s = max(0.0, owed_s)
                at, used_s = now, now_used_s
                if is_stopped != (owed_s > 0.0):
                    is_stopped = not is_stopped
                    number = signal.SIGSTOP if is_stopped else signal.SIGCONT
                    os.kill(self._pid, number)
        finally:
            if is_stopped:
                os.kill(self._pid, signal.SIGCONT)
