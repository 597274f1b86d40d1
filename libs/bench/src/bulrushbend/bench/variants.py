"""Policy variants that the benchmark compares; times are slot milliseconds."""

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
    """Reserves nothing: only accrued slot time is charged."""

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return 0."""
        return 0.0


class AdmissionEstimate(RunningMean):
    """Charges the mean cost at admission and corrects the charge at the end."""

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean minus the accrued time, so that both add up to the mean."""
        return super().reserve_ms(team, elapsed_ms) - elapsed_ms


class ScaledMean(RunningMean):
    """Reserves a multiple of the mean cost."""

    def __init__(self, factor: float):
        super().__init__()
        self._factor = factor

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean times the factor."""
        return self._factor * super().reserve_ms(team, elapsed_ms)


class TeamMean(RunningMean):
    """Reserves the mean cost of the team's own recent requests."""

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean of the team."""
        return self.mean_cost_ms(team)


class FixedReserve(RunningMean):
    """Reserves the same time for each request."""

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
    """Reserves the expected remaining cost, given the elapsed time."""

    def __init__(self, by_team: bool = False):
        super().__init__()
        self._by_team = by_team
        self._samples: dict[str, _CostSample] = {}

    def record_cost(self, team: str, cost_ms: float) -> None:
        """Add the cost to the sample."""
        super().record_cost(team, cost_ms)
        self._sample(team).add(cost_ms)

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the mean remainder of the recent costs above the elapsed time."""
        return self._sample(team).mean_remaining(elapsed_ms)

    def _sample(self, team: str) -> _CostSample:
        return self._samples.setdefault(team if self._by_team else "", _CostSample())


class TeamQuantile(RemainingMean):
    """Reserves a quantile of the team's own recent costs."""

    def __init__(self, fraction: float = 0.9):
        super().__init__(by_team=True)
        self._fraction = fraction

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the quantile, independent of the elapsed time."""
        return self._sample(team).quantile(self._fraction)


class LengthBiasedMean(RunningMean):
    """Reserves the cost-weighted mean: the expected cost of a request seen running.

    A request is running for a time proportional to its cost, so a running request is
    longer on average than an arriving one.
    """

    def __init__(self):
        super().__init__()
        self._sum_of_squares = _INITIAL_COST_MS**2
        self._sum = _INITIAL_COST_MS

    def record_cost(self, team: str, cost_ms: float) -> None:
        """Add the cost; older costs decay with the observed slot time."""
        super().record_cost(team, cost_ms)
        decay = 0.5 ** (cost_ms / 1_000_000.0)
        self._sum_of_squares = self._sum_of_squares * decay + cost_ms * cost_ms
        self._sum = self._sum * decay + cost_ms

    def reserve_ms(self, team: str, elapsed_ms: float) -> float:
        """Return the cost-weighted mean, the same for all teams."""
        return self._sum_of_squares / self._sum


class RoundRobinPicker:
    """Serves the waiting teams round robin, separately at each agent."""

    def __init__(self):
        self._last = ""

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the waiting team that follows the last served one by name."""
        if not waiting:
            return None
        following = [team for team in waiting if team > self._last]
        self._last = min(following or waiting)
        return self._last


class FirstComePicker:
    """Serves requests of all teams first come, first served."""

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team of the oldest waiting request."""
        return max(waiting, key=lambda team: waiting[team], default=None)


class StickyPicker:
    """Assigns a freed slot to its previous team if that is close to the lowest.

    Close means at most one claim step above the lowest virtual time.
    """

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the previous team of the slot if it is close, else the lowest team."""
        freed = ledger.pop_freed_team()
        lowest = min(
            waiting, key=lambda team: (ledger.virtual_time(team), team), default=None
        )
        if lowest is None or freed not in waiting:
            return lowest
        excess = ledger.virtual_time(freed) - ledger.virtual_time(lowest)
        return freed if excess <= ledger.claim_step(lowest) else lowest


class RandomPicker:
    """Adds a random fraction of the claim step to each virtual time."""

    def __init__(self, position: int):
        self._random = random.Random(position)

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team with the lowest virtual time after the addition."""
        dithered = {
            team: state.virtual_time + self._random.random() * state.claim_step
            for team, state in ledger.states(waiting).items()
        }
        return min(dithered, key=dithered.__getitem__, default=None)


PickerBuilder = Callable[[int, float], TeamPicker]


@dataclass(frozen=True)
class Variant:
    """Estimator and picker that each agent uses."""

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
    """Return the variant ``"estimator/picker"``; the default picker is ``"lowest"``."""
    estimator, _, picker = name.partition("/")
    return Variant(ESTIMATORS[estimator], PICKERS[picker or "lowest"])
