"""Variants of the policy that the bench compares; times are slot milliseconds."""

import bisect
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bulrushbend.share.estimator import Estimator, RunningMean
from bulrushbend.share.ledger import Ledger
from bulrushbend.share.picker import LowestLevelPicker, TeamPicker

_SAMPLE = 256
_INITIAL_MS = 1000.0


class NoReserve:
    """Holds nothing: only accrued time counts."""

    def observe(self, team: str, cost_ms: float) -> None:
        """Ignore the cost."""

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return 0."""
        return 0.0


class AdmissionEstimate(RunningMean):
    """Charges the mean at admission and corrects it at the end."""

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean less what has accrued, so that their sum is the mean."""
        return super().reserve_ms(team, elapsed_ms) - elapsed_ms


class ScaledMean(RunningMean):
    """Holds a multiple of the mean cost."""

    def __init__(self, factor: float):
        super().__init__(_INITIAL_MS)
        self._factor = factor

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean times the factor."""
        return self._factor * super().reserve_ms(team, elapsed_ms)


class TeamMean:
    """Holds the mean cost of the team's own recent requests."""

    def __init__(self):
        self._fleet = RunningMean(_INITIAL_MS)
        self._teams: dict[str, RunningMean] = {}

    def observe(self, team: str, cost_ms: float) -> None:
        """Move the means of the team and of all teams."""
        self._fleet.observe(team, cost_ms)
        self._teams.setdefault(team, RunningMean(_INITIAL_MS)).observe(team, cost_ms)

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean of the team, of all teams before its first end."""
        return self._teams.get(team, self._fleet).reserve_ms(team, elapsed_ms)


class _Sample:
    def __init__(self):
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, cost_ms: float) -> None:
        self._recent.append(cost_ms)
        bisect.insort(self._sorted, cost_ms)
        if len(self._recent) > _SAMPLE:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def quantile(self, part: float) -> float:
        if not self._sorted:
            return _INITIAL_MS
        return self._sorted[int(part * (len(self._sorted) - 1))]

    def remaining(self, elapsed_ms: float) -> float:
        longer = self._sorted[bisect.bisect_right(self._sorted, elapsed_ms) :]
        if not longer:
            return max(elapsed_ms, _INITIAL_MS)
        return sum(longer) / len(longer) - elapsed_ms


class RemainingMean:
    """Holds the expected rest of the cost, given what has elapsed."""

    def __init__(self, by_team: bool = False):
        self._by_team = by_team
        self._samples: dict[str, _Sample] = {}

    def observe(self, team: str, cost_ms: float) -> None:
        """Add the cost to the sample."""
        self._sample(team).add(cost_ms)

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean rest of recent costs above the elapsed time."""
        return self._sample(team).remaining(elapsed_ms)

    def _sample(self, team: str) -> _Sample:
        return self._samples.setdefault(team if self._by_team else "", _Sample())


class TeamQuantile(RemainingMean):
    """Holds a quantile of the team's own recent costs."""

    def __init__(self, part: float = 0.9):
        super().__init__(by_team=True)
        self._part = part

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the quantile, whatever has elapsed."""
        return self._sample(team).quantile(self._part)


class RoundRobinPicker:
    """Serves the waiting teams of one agent in turn."""

    def __init__(self):
        self._last = ""

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the next waiting team after the one served last."""
        if not waiting:
            return None
        later = [team for team in waiting if team > self._last]
        self._last = min(later or waiting)
        return self._last


class FirstComePicker:
    """Serves the oldest request of all teams."""

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team of the oldest waiting request."""
        return max(waiting, key=lambda team: waiting[team], default=None)


@dataclass(frozen=True)
class Variant:
    """Estimator and picker that each agent gets."""

    build_estimator: Callable[[], Estimator]
    build_picker: Callable[[], TeamPicker] = LowestLevelPicker


VARIANTS: dict[str, Variant] = {
    "accrued": Variant(NoReserve),
    "admission": Variant(AdmissionEstimate),
    "mean": Variant(RunningMean),
    "mean-half": Variant(lambda: ScaledMean(0.5)),
    "mean-double": Variant(lambda: ScaledMean(2.0)),
    "mean-quadruple": Variant(lambda: ScaledMean(4.0)),
    "team-mean": Variant(TeamMean),
    "remaining": Variant(RemainingMean),
    "team-remaining": Variant(lambda: RemainingMean(by_team=True)),
    "team-quantile": Variant(TeamQuantile),
    "round-robin": Variant(NoReserve, RoundRobinPicker),
    "first-come": Variant(NoReserve, FirstComePicker),
}
