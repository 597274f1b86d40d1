"""Estimators of the slot time to reserve for requests that have not ended."""

from typing import Protocol

# Without a minimum, a series of instant requests would make the reserve zero, and a
# claim would no longer increase the virtual time of its team.
_MIN_RESERVE_MS = 1.0


class Estimator(Protocol):
    """Estimates from the costs of ended requests; times are slot milliseconds."""

    def record_cost(self, team: str, cost_ms: float) -> None:
        """Record that a request of `team` ended with `cost_ms`."""
        ...

    def mean_cost_ms(self, team: str) -> float:
        """Return the mean cost of recent requests of `team`."""
        ...

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return what to reserve for a request of `team` in addition to accrued time.

        Parameters
        ----------
        team : str
            Team of the request.
        elapsed_ms : float
            Slot time that the request has accrued, 0 for a claim without a request.
        """
        ...


class _Mean:
    """Arithmetic mean of the first `window` values, exponential mean afterwards.

    The initial value counts as `prior_weight` values.
    """

    __slots__ = ("_count", "_window", "value")

    def __init__(self, initial: float, window: int, prior_weight: int = 0):
        self.value = initial
        self._window = window
        self._count = prior_weight

    def add(self, value: float) -> float:
        """Add a value and return the change of the mean."""
        self._count = min(self._count + 1, self._window)
        change = (value - self.value) / self._count
        self.value += change
        return change


class RunningMean:
    """Reserves the mean cost of recent requests of all teams for each request.

    Parameters
    ----------
    initial_ms : float, default=3000.0
        Value until the first request ends.
    window : int, default=256
        Number of recent requests that the means cover.
    """

    def __init__(self, initial_ms: float = 3000.0, window: int = 256):
        self._initial_ms = initial_ms
        self._window = window
        self._mean = _Mean(initial_ms, window)
        self._teams: dict[str, _Mean] = {}

    def record_cost(self, team: str, cost_ms: float) -> None:
        """Update the means with `cost_ms`."""
        self._mean.add(cost_ms)
        if team not in self._teams:
            self._teams[team] = _Mean(self._initial_ms, self._window)
        self._teams[team].add(cost_ms)

    def mean_cost_ms(self, team: str) -> float:
        """Return the mean cost of recent requests of `team`."""
        mean = self._teams.get(team)
        return mean.value if mean else self._initial_ms

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean cost over all requests."""
        return max(_MIN_RESERVE_MS, self._mean.value)


class BalancedMean(RunningMean):
    """Reserves the mean of the teams' mean costs, the same for every request.

    The reserve is the same for all teams: with reserves by team, a team with long
    requests would permanently receive less service, by the difference of the reserves.
    Every team counts once: in a mean over requests, a team with thousands of short
    requests would reduce the reserve to almost nothing.

    Parameters
    ----------
    initial_ms : float, default=3000.0
        Value until requests end.
    window : int, default=256
        Number of recent requests of a team that its mean covers.
    prior_weight : int, default=16
        Number of requests of a team as which the initial value counts. Short requests
        end first, so the first costs alone would give a mean that is far too low.
    fraction : float, default=1.0
        Fraction of the mean that is reserved. With 5 agents and a third of the mean,
        single requests dominate the virtual times, see docs/fairness.md.
    """

    def __init__(
        self,
        initial_ms: float = 3000.0,
        window: int = 256,
        prior_weight: int = 16,
        fraction: float = 1.0,
    ):
        super().__init__(initial_ms, window)
        self._prior_weight = prior_weight
        self._fraction = fraction
        self._smoothed_means: dict[str, _Mean] = {}
        self._sum_ms = 0.0

    def record_cost(self, team: str, cost_ms: float) -> None:
        """Update the means of `team` with `cost_ms`."""
        super().record_cost(team, cost_ms)
        if team not in self._smoothed_means:
            self._smoothed_means[team] = _Mean(
                self._initial_ms, self._window, self._prior_weight
            )
            self._sum_ms += self._initial_ms
        self._sum_ms += self._smoothed_means[team].add(cost_ms)

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the configured fraction of the mean over the teams."""
        mean_ms = self._initial_ms
        if self._smoothed_means:
            mean_ms = self._sum_ms / len(self._smoothed_means)
        return max(_MIN_RESERVE_MS, self._fraction * mean_ms)
