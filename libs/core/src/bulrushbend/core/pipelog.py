"""Event log on a pipe, non-blocking and with a bounded rate and buffer."""

import asyncio
import contextlib
import os
from typing import Any

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLines

# Rate and burst size of the token bucket that limits the lines. A line takes about
# 20 us, so the rate limit keeps logging below 1% of a core.
_LINES_PER_S = 400.0
_MAX_BURST_LINES = 1_000.0
# Bytes buffered for a slow reader.
_MAX_PENDING_BYTES = 1 << 18
_FLUSH_DELAY_MS = 100.0
# Events of the process itself are exempt from the rate limit.
_UNLIMITED_KINDS = frozenset(
    {
        EventKind.PROCESS_STARTED,
        EventKind.PROCESS_READY,
        EventKind.PROCESS_DRAINING,
        EventKind.PROCESS_STOPPED,
        EventKind.SETTINGS_RELOADED,
        EventKind.MANIFEST_IN_FORCE,
        EventKind.LEASE_LOST,
        EventKind.LEASE_REGAINED,
        EventKind.LINES_DROPPED,
    }
)


class PipeEventLog:
    """Writes events as JSON lines to a file descriptor, such as standard output.

    Lines above the rate limit, and lines that do not fit in the buffer of a slow
    reader, are dropped; their number is reported before the next line that is written.

    Parameters
    ----------
    descriptor : int
        Destination of the lines; it is made non-blocking.
    process : str
        Name of the process.
    incarnation : int
        Incarnation of the process.
    clock : Clock
        Source of time.
    """

    def __init__(self, descriptor: int, process: str, incarnation: int, clock: Clock):
        self._descriptor = descriptor
        self._clock = clock
        self._lines = EventLines(process, incarnation, clock)
        self._pending = bytearray()
        self._tokens = _MAX_BURST_LINES
        self._refilled_ms = clock.now_ms()
        self._dropped = 0
        self._flush_scheduled = False
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last one that was written."""
        return self._dropped

    def write(self, kind: EventKind, **fields: Any) -> None:
        """Buffer one line; it is written with the next flush."""
        if not self._may_write(kind):
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            line = self._lines.format(EventKind.LINES_DROPPED, {"count": dropped})
            self._pending += line.encode()
        self._pending += self._lines.format(kind, fields).encode()
        self._request_flush()

    def flush(self) -> None:
        """Write as many buffered bytes as the pipe accepts without blocking."""
        self._flush_scheduled = False
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            # The rest is written with the next flush.
            self._schedule_flush()
        except OSError:
            # The reader has closed the pipe, so there is nowhere to report the error.
            self._pending.clear()

    def _may_write(self, kind: EventKind) -> bool:
        if len(self._pending) > _MAX_PENDING_BYTES:
            return False
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._refilled_ms) * _LINES_PER_S / 1000.0
        self._tokens = min(_MAX_BURST_LINES, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            return kind in _UNLIMITED_KINDS
        self._tokens -= 1.0
        return True

    def _request_flush(self) -> None:
        """Schedule a flush in a running event loop; without one, flush immediately."""
        if not self._flush_scheduled and not self._schedule_flush():
            self.flush()

    def _schedule_flush(self) -> bool:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._flush_scheduled = True
        loop.call_later(_FLUSH_DELAY_MS / 1000.0, self.flush)
        return True
