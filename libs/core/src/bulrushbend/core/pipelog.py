"""Event log on a pipe that never blocks and never grows without bound."""

import asyncio
import contextlib
import os
from typing import Any

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLines

# Lines that are written per second on average, and at once after a quiet time. A line
# takes about 20 us; the bound keeps logs under 1% of a core.
_LINES_PER_S = 400.0
_MOST_LINES = 1_000.0
# What may wait for a reader that is slow.
_MOST_PENDING_BYTES = 1 << 18
_FLUSH_MS = 100.0
# Lines that tell of the process itself are written also when the bound is reached.
_ALWAYS = frozenset(
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
    """Writes events as JSON lines to a descriptor, such as standard output.

    Lines over the bound on their rate, and those that a slow reader leaves no room for,
    are counted and reported with the next line that gets through.

    Parameters
    ----------
    descriptor : int
        Where the lines go; it is made non-blocking.
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
        self._allowed = _MOST_LINES
        self._allowed_ms = clock.now_ms()
        self._dropped = 0
        self._flushing = False
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._dropped

    def write(self, kind: EventKind, **fields: Any) -> None:
        """Add one line; it leaves with the next flush."""
        if not self._may_write(kind):
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            line = self._lines.format(EventKind.LINES_DROPPED, {"count": dropped})
            self._pending += line.encode()
        self._pending += self._lines.format(kind, fields).encode()
        self._flush_soon()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        self._flushing = False
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            # The rest leaves with the next line or flush.
            self._schedule_flush()
        except OSError:
            # Nobody reads any more; there is no place left to report it.
            self._pending.clear()

    def _may_write(self, kind: EventKind) -> bool:
        if len(self._pending) > _MOST_PENDING_BYTES:
            return False
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._allowed_ms) * _LINES_PER_S / 1000.0
        self._allowed = min(_MOST_LINES, self._allowed + earned)
        self._allowed_ms = now_ms
        if self._allowed < 1.0:
            return kind in _ALWAYS
        self._allowed -= 1.0
        return True

    def _flush_soon(self) -> None:
        """Flush later inside of an event loop, now outside of one."""
        if not self._flushing and not self._schedule_flush():
            self.flush()

    def _schedule_flush(self) -> bool:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._flushing = True
        loop.call_later(_FLUSH_MS / 1000.0, self.flush)
        return True
