"""Detection of processor overload by event-loop lag.

Callers are spread unevenly over the gateways, so one gateway may receive more requests
than its processor can handle while others have time to spare, and all its requests
would be late. A request that is refused at once is sent again through another gateway.
"""

from bulrushbend.core.clock import Clock

# Interval between two measurements.
_MEASUREMENT_INTERVAL_MS = 20.0
# Weight of the newest measurement in the moving average; it is small since short bursts
# of work are normal.
_SMOOTHING = 0.2
# Mean lag above which requests are refused, and below which they are accepted again.
# Objectives start at about 150 ms, and each request is handled by several tasks.
_OVERLOAD_THRESHOLD_MS = 40.0
_RECOVERY_THRESHOLD_MS = 15.0


class EventLoopMonitor:
    """Moving average of the event-loop lag of this process.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lag_ms = 0.0
        self._is_overloaded = False

    @property
    def lag_ms(self) -> float:
        """Mean lag in milliseconds."""
        return self._lag_ms

    @property
    def is_overloaded(self) -> bool:
        """Whether new requests should be refused."""
        return self._is_overloaded

    def record(self, lag_ms: float) -> None:
        """Record a measurement."""
        self._lag_ms += _SMOOTHING * (lag_ms - self._lag_ms)
        limit_ms = (
            _RECOVERY_THRESHOLD_MS if self._is_overloaded else _OVERLOAD_THRESHOLD_MS
        )
        self._is_overloaded = self._lag_ms > limit_ms

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            await self._clock.sleep_ms(_MEASUREMENT_INTERVAL_MS)
            self.record(
                max(0.0, self._clock.now_ms() - started_ms - _MEASUREMENT_INTERVAL_MS)
            )
