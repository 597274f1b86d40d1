"""Measurement and limiting of the processor time of other processes."""

import asyncio
import os
import signal
from pathlib import Path

# Sampling interval of a limited process.
_PERIOD_S = 0.005


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    nanoseconds = Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(nanoseconds) / 1e9


class ProcessorLimit:
    """Limits a process to a share of a core with SIGSTOP and SIGCONT.

    Parameters
    ----------
    pid : int
        Id of a process that the test started.
    share : float
        Processor share in cores.
    """

    def __init__(self, pid: int, share: float):
        self._pid = pid
        self._share = share

    async def run(self) -> None:
        """Limit the process until cancelled; it runs freely afterwards."""
        loop = asyncio.get_running_loop()
        is_stopped = False
        at, used_s = loop.time(), processor_s(self._pid)
        overrun_s = 0.0
        try:
            while True:
                await asyncio.sleep(_PERIOD_S)
                now, now_used_s = loop.time(), processor_s(self._pid)
                overrun_s += now_used_s - used_s - self._share * (now - at)
                # Unused time does not accumulate as credit.
                overrun_s = max(0.0, overrun_s)
                at, used_s = now, now_used_s
                if is_stopped != (overrun_s > 0.0):
                    is_stopped = not is_stopped
                    number = signal.SIGSTOP if is_stopped else signal.SIGCONT
                    os.kill(self._pid, number)
        finally:
            if is_stopped:
                os.kill(self._pid, signal.SIGCONT)
