"""Estimators of the slot time to hold for a request that has not ended."""

from typing import Protocol


class Estimator(Protocol):
    """Learns from the costs of ended requests; times are slot milliseconds."""

    def observe(self, team: str, cost_ms: float) -> None:
        """Learn that a request of `team` ended with `cost_ms`."""
        ...

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return what to hold for a request of `team` beside its accrued time.

        Parameters
        ----------
        team : str
            Team of the request.
        elapsed_ms : float
            Slot time that the request has accrued, 0 for a claim.
        """
        ...


class RunningMean:
    """Holds the mean cost of recent requests of all teams, whatever has elapsed.

    Parameters
    ----------
    initial_ms : float, default=1000.0
        Value until the first request ends.
    memory : int, default=256
        Number of requests over which the mean runs. A plain mean is used until as
        many have ended, an exponential one afterwards.
    """

    def __init__(self, initial_ms: float = 1000.0, memory: int = 256):
        self._mean_ms = initial_ms
        self._memory = memory
        self._count = 0

    def observe(self, team: str, cost_ms: float) -> None:
        """Move the mean towards `cost_ms`."""
        self._count = min(self._count + 1, self._memory)
        self._mean_ms += (cost_ms - self._mean_ms) / self._count

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean cost in slot milliseconds."""
        return self._mean_ms
