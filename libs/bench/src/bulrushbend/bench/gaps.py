"""Measures of one policy run, from the true service and not from the ledgers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bulrushbend.bench.scenario import TeamLoad


class ServiceMeter:
    """Exact slot time served to each team, over its share; times in milliseconds."""

    def __init__(self, teams: Iterable[TeamLoad]):
        self._shares = {team.name: team.share for team in teams}
        self._completed_ms = dict.fromkeys(self._shares, 0.0)
        self._starts: dict[str, dict[int, float]] = {name: {} for name in self._shares}

    def start(self, team: str, request: int, now_ms: float) -> None:
        """Let the service of one request accrue."""
        self._starts[team][request] = now_ms

    def end(self, team: str, request: int, now_ms: float) -> None:
        """Stop accruing the service of one request."""
        self._completed_ms[team] += now_ms - self._starts[team].pop(request)

    def served_ms(self, team: str, now_ms: float) -> float:
        """Return the slot time served to `team`."""
        starts = self._starts[team].values()
        return self._completed_ms[team] + len(starts) * now_ms - sum(starts)

    def normalised_ms(self, team: str, now_ms: float) -> float:
        """Return the slot time served to `team` over its share."""
        return self.served_ms(team, now_ms) / self._shares[team]


@dataclass
class GapMeter:
    """Largest gaps between floods that are on together.

    `gap_ms` counts from the time at which the set of floods last changed;
    `interval_gap_ms` is the largest over all intervals without such a change.
    """

    gap_ms: float = 0.0
    interval_gap_ms: float = 0.0
    _baseline: dict[str, float] = field(default_factory=dict)
    _min_differences: dict[tuple[str, str], float] = field(default_factory=dict)
    _max_differences: dict[tuple[str, str], float] = field(default_factory=dict)

    def sample(self, served: Mapping[str, float]) -> None:
        """Take in served/share of the teams that are backlogged now."""
        if served.keys() != self._baseline.keys():
            self._baseline = dict(served)
            self._min_differences.clear()
            self._max_differences.clear()
        since = {team: value - self._baseline[team] for team, value in served.items()}
        if len(since) < 2:
            return
        self.gap_ms = max(self.gap_ms, max(since.values()) - min(since.values()))
        names = sorted(since)
        for index, first in enumerate(names):
            for second in names[index + 1 :]:
                self._sample_pair((first, second), since[first] - since[second])

    def _sample_pair(self, pair: tuple[str, str], difference: float) -> None:
        low = self._min_differences[pair] = min(
            self._min_differences.get(pair, 0.0), difference
        )
        high = self._max_differences[pair] = max(
            self._max_differences.get(pair, 0.0), difference
        )
        self.interval_gap_ms = max(self.interval_gap_ms, high - low)


@dataclass
class PolicyResult:
    """Figures of one run; times are milliseconds.

    Attributes
    ----------
    gap_ms, interval_gap_ms : float
        See `GapMeter`.
    served_ms : dict of str to float
        Slot time by team.
    waits_ms : dict of str to list of float
        Waiting times of the requests of teams that are no flood.
    idle_ms : float
        Slot time without a claim while work waited.
    claimed_ms : float
        Slot time between claims and starts.
    requests : int
        Requests that were started.
    """

    gap_ms: float
    interval_gap_ms: float
    served_ms: dict[str, float]
    waits_ms: dict[str, list[float]]
    idle_ms: float
    claimed_ms: float
    requests: int

    @property
    def median_wait_ms(self) -> float:
        """Median wait of the requests of teams that are no flood, 0 if none."""
        waits = sorted(wait for waits in self.waits_ms.values() for wait in waits)
        return waits[len(waits) // 2] if waits else 0.0

    @property
    def longest_wait_ms(self) -> float:
        """Longest wait of the requests of teams that are no flood, 0 if none."""
        return max((max(w) for w in self.waits_ms.values() if w), default=0.0)
