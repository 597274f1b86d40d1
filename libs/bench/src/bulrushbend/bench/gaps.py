"""Fairness measures of a simulation, from the exact service, not from the ledgers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bulrushbend.bench.scenario import TeamLoad


class ServiceMeter:
    """Exact slot time served to each team; times are milliseconds."""

    def __init__(self, teams: Iterable[TeamLoad]):
        self._shares = {team.name: team.share for team in teams}
        self._completed_ms = dict.fromkeys(self._shares, 0.0)
        self._starts: dict[str, dict[int, float]] = {name: {} for name in self._shares}

    def start(self, team: str, request: int, now_ms: float) -> None:
        """Start to accrue the service of one request."""
        self._starts[team][request] = now_ms

    def end(self, team: str, request: int, now_ms: float) -> None:
        """Stop accruing the service of one request."""
        self._completed_ms[team] += now_ms - self._starts[team].pop(request)

    def served_ms(self, team: str, now_ms: float) -> float:
        """Return the slot time served to `team`."""
        starts = self._starts[team].values()
        return self._completed_ms[team] + len(starts) * now_ms - sum(starts)

    def normalised_ms(self, team: str, now_ms: float) -> float:
        """Return the slot time served to `team`, divided by its share."""
        return self.served_ms(team, now_ms) / self._shares[team]


@dataclass
class GapMeter:
    """Largest service gaps between teams that are backlogged at the same time.

    The service gap of two teams is the difference of their service divided by share.
    `gap_ms` counts service from the time at which the set of backlogged teams last
    changed; `interval_gap_ms` is the largest gap over any interval without such a
    change.
    """

    gap_ms: float = 0.0
    interval_gap_ms: float = 0.0
    _baseline: dict[str, float] = field(default_factory=dict)
    _min_differences: dict[tuple[str, str], float] = field(default_factory=dict)
    _max_differences: dict[tuple[str, str], float] = field(default_factory=dict)

    def sample(self, served: Mapping[str, float]) -> None:
        """Update the gaps from the service per share of the teams backlogged now."""
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
    """Result of one simulation; times are milliseconds.

    Attributes
    ----------
    gap_ms, interval_gap_ms : float
        See `GapMeter`.
    served_ms : dict of str to float
        Slot time by team.
    waits_ms : dict of str to list of float
        Waiting times of the requests of teams that are not always backlogged.
    idle_ms : float
        Slot time without a claim while requests were waiting.
    claimed_ms : float
        Slot time between the claim and the start of requests.
    requests : int
        Number of started requests.
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
        """Median of `waits_ms` over all teams, 0 if there are none."""
        waits = sorted(wait for waits in self.waits_ms.values() for wait in waits)
        return waits[len(waits) // 2] if waits else 0.0

    @property
    def longest_wait_ms(self) -> float:
        """Maximum of `waits_ms` over all teams, 0 if there are none."""
        return max((max(w) for w in self.waits_ms.values() if w), default=0.0)
