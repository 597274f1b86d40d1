"""Variants of the policy that the bench compares; times are slot milliseconds."""

import bisect
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bulrushbend.share.estimator import BalancedMean, Estimator, RunningMean
from bulrushbend.share.ledger import Ledger
from bulrushbend.share.picker import (
    LowestVirtualTimePicker,
    ProportionalPicker,
    TeamPicker,
)

_MAX_SAMPLE_SIZE = 256
_INITIAL_COST_MS = 1000.0


class NoReserve(RunningMean):
    """Holds nothing: only accrued time counts."""

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
        super().__init__()
        self._factor = factor

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean times the factor."""
        return self._factor * super().reserve_ms(team, elapsed_ms)


class TeamMean(RunningMean):
    """Holds the mean cost of the team's own recent requests."""

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean of the team."""
        return self.mean_cost_ms(team)


class FixedReserve(RunningMean):
    """Holds the same time for each request."""

    def __init__(self, reserve_ms: float):
        super().__init__()
        self._reserve_ms = reserve_ms

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the fixed time."""
        return self._reserve_ms


class _CostSample:
    def __init__(self):
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, cost_ms: float) -> None:
        self._recent.append(cost_ms)
        bisect.insort(self._sorted, cost_ms)
        if len(self._recent) > _MAX_SAMPLE_SIZE:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def quantile(self, fraction: float) -> float:
        if not self._sorted:
            return _INITIAL_COST_MS
        return self._sorted[int(fraction * (len(self._sorted) - 1))]

    def mean_remaining(self, elapsed_ms: float) -> float:
        longer = self._sorted[bisect.bisect_right(self._sorted, elapsed_ms) :]
        if not longer:
            return max(elapsed_ms, _INITIAL_COST_MS)
        return sum(longer) / len(longer) - elapsed_ms


class RemainingMean(RunningMean):
    """Holds the expected rest of the cost, given what has elapsed."""

    def __init__(self, by_team: bool = False):
        super().__init__()
        self._by_team = by_team
        self._samples: dict[str, _CostSample] = {}

    def record_cost(self, team: str, cost_ms: float) -> None:
        """Add the cost to the sample."""
        super().record_cost(team, cost_ms)
        self._sample(team).add(cost_ms)

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean rest of recent costs above the elapsed time."""
        return self._sample(team).mean_remaining(elapsed_ms)

    def _sample(self, team: str) -> _CostSample:
        return self._samples.setdefault(team if self._by_team else "", _CostSample())


class TeamQuantile(RemainingMean):
    """Holds a quantile of the team's own recent costs."""

    def __init__(self, fraction: float = 0.9):
        super().__init__(by_team=True)
        self._fraction = fraction

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the quantile, whatever has elapsed."""
        return self._sample(team).quantile(self._fraction)


class LengthBiasedMean(RunningMean):
    """Holds the mean cost weighted by cost: that of the request that runs."""

    def __init__(self):
        super().__init__()
        self._sum_of_squares = _INITIAL_COST_MS**2
        self._sum = _INITIAL_COST_MS

    def record_cost(self, team: str, cost_ms: float) -> None:
        """Add the cost; older costs fade with the slot time observed."""
        super().record_cost(team, cost_ms)
        decay = 0.5 ** (cost_ms / 1_000_000.0)
        self._sum_of_squares = self._sum_of_squares * decay + cost_ms * cost_ms
        self._sum = self._sum * decay + cost_ms

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the weighted mean, the same for all teams."""
        return self._sum_of_squares / self._sum


class RoundRobinPicker:
    """Serves the waiting teams of one agent in turn."""

    def __init__(self):
        self._last = ""

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the next waiting team after the one served last."""
        if not waiting:
            return None
        following = [team for team in waiting if team > self._last]
        self._last = min(following or waiting)
        return self._last


class FirstComePicker:
    """Serves the oldest request of all teams."""

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team of the oldest waiting request."""
        return max(waiting, key=lambda team: waiting[team], default=None)


class StickyPicker:
    """Keeps a freed slot with its team unless that is a step above the lowest."""

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the freed team if it is close to the lowest, else the lowest."""
        freed = ledger.pop_freed_team()
        lowest = min(
            waiting, key=lambda team: (ledger.virtual_time(team), team), default=None
        )
        if lowest is None or freed not in waiting:
            return lowest
        excess = ledger.virtual_time(freed) - ledger.virtual_time(lowest)
        return freed if excess <= ledger.claim_step(lowest) else lowest


class RandomPicker:
    """Adds a random part of the claim step to each level."""

    def __init__(self, position: int):
        self._random = random.Random(position)

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team with the lowest level after the addition."""
        dithered = {
            team: state.virtual_time + self._random.random() * state.claim_step
            for team, state in ledger.states(waiting).items()
        }
        return min(dithered, key=dithered.__getitem__, default=None)


PickerBuilder = Callable[[int, float], TeamPicker]


@dataclass(frozen=True)
class Variant:
    """Estimator and picker that each agent gets."""

    build_estimator: Callable[[], Estimator]
    build_picker: PickerBuilder


ESTIMATORS: dict[str, Callable[[], Estimator]] = {
    "accrued": NoReserve,
    "admission": AdmissionEstimate,
    "mean": RunningMean,
    "mean-double": lambda: ScaledMean(2.0),
    "team-mean": TeamMean,
    "team-quantile": TeamQuantile,
    "remaining": RemainingMean,
    "team-remaining": lambda: RemainingMean(by_team=True),
    "length-biased": LengthBiasedMean,
    "fixed-1s": lambda: FixedReserve(1000.0),
    "fixed-10s": lambda: FixedReserve(10_000.0),
    "balanced": BalancedMean,
    "balanced-third": lambda: BalancedMean(fraction=1.0 / 3.0),
    "balanced-1s": lambda: BalancedMean(1000.0),
    "balanced-10s": lambda: BalancedMean(10_000.0),
}


def _build_proportional(gain: float) -> PickerBuilder:
    return lambda position, horizon_ms: ProportionalPicker(
        position, horizon_ms, gain, random.Random(position)
    )


PICKERS: dict[str, PickerBuilder] = {
    "lowest": lambda position, horizon_ms: LowestVirtualTimePicker(),
    "random": lambda position, horizon_ms: RandomPicker(position),
    "sticky": lambda position, horizon_ms: StickyPicker(),
    "proportional": _build_proportional(2.0),
    "proportional-1": _build_proportional(1.0),
    "proportional-4": _build_proportional(4.0),
    "round-robin": lambda position, horizon_ms: RoundRobinPicker(),
    "first-come": lambda position, horizon_ms: FirstComePicker(),
}
DEFAULT_VARIANT = "balanced/proportional"


def get_variant(name: str) -> Variant:
    """Return the variant ``"estimator/picker"``; the picker defaults to lowest."""
    estimator, _, picker = name.partition("/")
    return Variant(ESTIMATORS[estimator], PICKERS[picker or "lowest"])
