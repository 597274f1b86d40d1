"""Whether this process gets enough processor time for its requests.

Load that this answers: callers are spread unevenly over the gateways, so one may get
more requests than its processor can carry while others have time. All its requests
would be late. A request that is refused at once returns through another gateway.
"""

from bulrushbend.core.clock import Clock

# Time between two measurements.
_PERIOD_MS = 20.0
# Weight of the newest measurement; short bursts of work are normal.
_SMOOTHING = 0.2
# Mean delay of a task above which requests are refused, and below which they are taken
# again. Objectives start at some 150 ms, and a request is handled by several tasks.
_OVERLOADED_MS = 40.0
_RECOVERED_MS = 15.0


class EventLoopMonitor:
    """Mean delay with which the tasks of this process run.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._delay_ms = 0.0
        self._is_overloaded = False

    @property
    def delay_ms(self) -> float:
        """Mean delay in milliseconds."""
        return self._delay_ms

    @property
    def is_overloaded(self) -> bool:
        """Whether new requests are better served elsewhere."""
        return self._is_overloaded

    def record(self, delay_ms: float) -> None:
        """Take a measurement."""
        self._delay_ms += _SMOOTHING * (delay_ms - self._delay_ms)
        limit_ms = _RECOVERED_MS if self._is_overloaded else _OVERLOADED_MS
        self._is_overloaded = self._delay_ms > limit_ms

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            began_ms = self._clock.now_ms()
            await self._clock.sleep_ms(_PERIOD_MS)
            self.record(max(0.0, self._clock.now_ms() - began_ms - _PERIOD_MS))
