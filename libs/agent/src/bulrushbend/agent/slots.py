"""Accounting of slot time: usable, busy, and idle while requests waited."""

from bulrushbend.core.clock import Clock
from bulrushbend.wire.fleet_pb2 import SlotReport


class SlotAccount:
    """Integrates slot time between changes of the slot state.

    A slot that is reserved by a claim counts as idle until the request arrives, so
    the idle time includes the claim round trip.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._since_ms = clock.now_ms()
        self._limit = 0
        self._running = 0
        self._waiting = False
        self._usable_ms = 0.0
        self._busy_ms = 0.0
        self._idle_while_waiting_ms = 0.0

    def record(self, limit: int, running: int, waiting: bool) -> None:
        """Add the time since the last call and set the new state.

        Parameters
        ----------
        limit : int
            Number of usable slots, 0 while the endpoint is leaving or unreachable.
        running : int
            Number of running requests.
        waiting : bool
            Whether any linked router advertises requests.
        """
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._since_ms
        self._since_ms = now_ms
        self._usable_ms += self._limit * elapsed_ms
        self._busy_ms += self._running * elapsed_ms
        if self._waiting:
            free = max(0, self._limit - self._running)
            self._idle_while_waiting_ms += free * elapsed_ms
        self._limit = limit
        self._running = running
        self._waiting = waiting

    def report(self, in_use: int, leaving: bool) -> SlotReport:
        """Return the totals up to now.

        Parameters
        ----------
        in_use : int
            Number of slots that are claimed or have a running request.
        leaving : bool
            Whether the endpoint is leaving.
        """
        self.record(self._limit, self._running, self._waiting)
        return SlotReport(
            limit=self._limit,
            in_use=in_use,
            leaving=leaving,
            usable_ms=self._usable_ms,
            busy_ms=self._busy_ms,
            idle_while_waiting_ms=self._idle_while_waiting_ms,
        )
