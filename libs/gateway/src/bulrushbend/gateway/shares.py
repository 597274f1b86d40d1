"""Recent usage of each team, which determines the order of placement."""

import math
from collections.abc import Iterable

from bulrushbend.core.clock import Clock

# Time constant of the exponential decay of usage: fairness is required over windows of
# some seconds, and a team does not earn credit for idle time.
USAGE_DECAY_MS = 4_000.0


class TeamShares:
    """Exponentially decayed token usage of each team, per unit of its share.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._shares: dict[str, float] = {}
        self._used: dict[str, tuple[float, float]] = {}

    def set_shares(self, shares: dict[str, float]) -> None:
        """Replace the shares of the teams, and drop the usage of removed teams."""
        self._shares = dict(shares)
        self._used = {t: used for t, used in self._used.items() if t in shares}

    def charge(self, uses: Iterable[tuple[str, int]]) -> None:
        """Add (team, tokens) pairs to the usage of the teams."""
        now_ms = self._clock.now_ms()
        for team, tokens in uses:
            self._used[team] = (self._decayed(team, now_ms) + tokens, now_ms)

    def normalized_usage(self, team: str) -> float:
        """Return the recent usage of a team per unit of its share."""
        used = self._decayed(team, self._clock.now_ms())
        return used / self._shares.get(team, 1.0)

    def _decayed(self, team: str, now_ms: float) -> float:
        used, at_ms = self._used.get(team, (0.0, now_ms))
        return used * math.exp((at_ms - now_ms) / USAGE_DECAY_MS)
