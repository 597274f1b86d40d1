"""Periodic usage figures of a gateway for its event log.

The lines distinguish a gateway short of processor time, one short of file descriptors
and a fleet whose endpoints are full, which all lead to the same refusals.
"""

from collections import Counter
from typing import Any

from bulrushbend.core.clock import Clock
from bulrushbend.process.daemon import cpu_ms

# Number of teams in a line, those that requested most; keeps the line under 1 kB.
_MAX_TEAMS = 5


class UsageMeter:
    """Measures processor time and the tokens requested by and served to teams.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._since_ms = clock.now_ms()
        self._since_cpu_ms = cpu_ms()
        self._requested: Counter[str] = Counter()
        self._served: Counter[str] = Counter()

    def record_requested(self, team: str, cost: float) -> None:
        """Record a request that the gateway has accepted."""
        self._requested[team] += int(cost)

    def record_served(self, team: str, cost: float) -> None:
        """Record a request whose response has started."""
        self._served[team] += int(cost)

    def collect(self) -> dict[str, Any]:
        """Return the fields of the log line, and start a new period."""
        now_ms, used_cpu_ms = self._clock.now_ms(), cpu_ms()
        teams = {
            team: [requested, self._served[team]]
            for team, requested in self._requested.most_common(_MAX_TEAMS)
        }
        fields = {
            "period_ms": round(now_ms - self._since_ms),
            "cpu_ms": round(used_cpu_ms - self._since_cpu_ms),
            "asked": self._requested.total(),
            "given": self._served.total(),
            "teams": teams,
        }
        self._since_ms, self._since_cpu_ms = now_ms, used_cpu_ms
        self._requested.clear()
        self._served.clear()
        return fields
