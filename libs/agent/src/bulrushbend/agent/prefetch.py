"""Prefetching of requests: claims that are sent before a slot is free."""

import math

# Weight of the newest value in the exponentially weighted moving averages.
_EWMA_WEIGHT = 1.0 / 16.0
# Ratio of claim round trip to request cost up to which nothing is prefetched: the loss
# of fairness by choosing the team early would outweigh the idle time. Idle time has to
# stay below 1 %.
_TOLERATED_IDLE_FRACTION = 0.0025
# Requests end at irregular times, so one more claim than expected is prefetched.
_EXTRA_CLAIMS = 1


class PrefetchPolicy:
    """Computes the prefetch depth from the claim round trip and the request cost.

    Without prefetching, a slot is idle from the end of a request until the next one
    arrives, which takes a claim round trip. With costs of 170 ms and a round trip of
    4 ms that is 2 % of the slot time. A prefetched request starts as soon as a slot is
    free. It waits for a short time only, and only while so many requests wait that no
    other agent can be idle for lack of them.
    """

    def __init__(self) -> None:
        self._round_trip_ms = 0.0
        self._cost_ms = 0.0

    def record_round_trip(self, round_trip_ms: float) -> None:
        """Record that a request arrived `round_trip_ms` after its claim."""
        self._round_trip_ms = _update_ewma(self._round_trip_ms, round_trip_ms)

    def record_cost(self, cost_ms: float) -> None:
        """Record that a request ended with a cost of `cost_ms` slot milliseconds."""
        self._cost_ms = _update_ewma(self._cost_ms, cost_ms)

    def depth(self, limit: int, claimable: int) -> int:
        """Return the number of claims to send in excess of the slots.

        Parameters
        ----------
        limit : int
            Number of slots.
        claimable : int
            Advertised requests that this agent has not claimed.
        """
        if claimable <= limit or self._cost_ms <= 0.0:
            return 0
        idle_fraction = self._round_trip_ms / self._cost_ms
        if idle_fraction < _TOLERATED_IDLE_FRACTION:
            return 0
        return min(limit, math.ceil(limit * idle_fraction) + _EXTRA_CLAIMS)


def _update_ewma(mean: float, value: float) -> float:
    return value if mean == 0.0 else mean + (value - mean) * _EWMA_WEIGHT
