"""What a gateway did in the last period, for one line of its log.

The lines tell apart a gateway that has too little processor time, one that has too few
descriptors, and a fleet whose endpoints are full: the same refusals come of all three.
"""

from collections import Counter
from typing import Any

from bulrushbend.core.clock import Clock
from bulrushbend.process.daemon import cpu_ms

# Teams named in a line, those that asked for most; a line stays under a kilobyte.
_TEAMS_NAMED = 5


class UsageMeter:
    """Processor time, and the tokens that teams asked for and were given.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._since_ms = clock.now_ms()
        self._since_cpu_ms = cpu_ms()
        self._asked: Counter[str] = Counter()
        self._given: Counter[str] = Counter()

    def note_asked(self, team: str, cost: float) -> None:
        """Count a request that was read."""
        self._asked[team] += int(cost)

    def note_given(self, team: str, cost: float) -> None:
        """Count a request whose answer has begun."""
        self._given[team] += int(cost)

    def take(self) -> dict[str, Any]:
        """Return the fields of the log line, and begin a new period."""
        now_ms, used_ms = self._clock.now_ms(), cpu_ms()
        teams = {
            team: [asked, self._given[team]]
            for team, asked in self._asked.most_common(_TEAMS_NAMED)
        }
        fields = {
            "period_ms": round(now_ms - self._since_ms),
            "cpu_ms": round(used_ms - self._since_cpu_ms),
            "asked": self._asked.total(),
            "given": self._given.total(),
            "teams": teams,
        }
        self._since_ms, self._since_cpu_ms = now_ms, used_ms
        self._asked.clear()
        self._given.clear()
        return fields
