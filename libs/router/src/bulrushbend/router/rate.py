"""Rate at which requests of a service leave the queues."""

import math

from bulrushbend.core.clock import Clock

# Long enough to average over long model answers, short enough to follow a failover.
_TIME_CONSTANT_MS = 20_000.0
_MIN_RETRY_AFTER_MS = 1_000.0
_MAX_RETRY_AFTER_MS = 60_000.0


class ServiceRate:
    """Exponentially weighted rate of dequeued requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._decayed_count = 0.0
        self._updated_ms = clock.now_ms()

    def count(self) -> None:
        """Count one dequeued request."""
        self._decay()
        self._decayed_count += 1.0

    def per_ms(self) -> float:
        """Return the recent rate in requests per millisecond."""
        self._decay()
        return self._decayed_count / _TIME_CONSTANT_MS

    def retry_after_ms(self, waiting: int) -> float:
        """Return the retry delay for a caller behind `waiting` requests.

        Parameters
        ----------
        waiting : int
            Number of waiting requests.

        Returns
        -------
        float
            Delay in milliseconds, from 1,000 to 60,000.
        """
        rate = self.per_ms()
        if rate <= 0.0:
            return _MAX_RETRY_AFTER_MS if waiting else _MIN_RETRY_AFTER_MS
        return min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, waiting / rate))

    def _decay(self) -> None:
        now_ms = self._clock.now_ms()
        self._decayed_count *= math.exp((self._updated_ms - now_ms) / _TIME_CONSTANT_MS)
        self._updated_ms = now_ms
