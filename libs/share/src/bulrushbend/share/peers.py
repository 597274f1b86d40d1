"""Rows learnt from other agents and from earlier incarnations."""

import math
from collections.abc import Iterator

from bulrushbend.share.row import Row

# Silence after which the flags and reserves in an agent's rows no longer count. Rows
# of active teams are renewed every second, so five lost renewals are tolerated.
STALE_MS = 5000.0
# Rows of ended incarnations kept singly; beyond it the oldest are added up.
ENDED_ROWS_LIMIT = 20_000
_EXPIRY_CHECK_MS = 100.0


class TeamTotals:
    """Sums over the learnt rows of one team; times are slot milliseconds.

    The served sums cover all incarnations. `reserve_ms`, `running` and `waiting`
    cover only agents whose rows are fresh.
    """

    __slots__ = (
        "reserve_ms",
        "running",
        "served_ms",
        "start_level",
        "waiting",
        "weighted_ms",
    )

    def __init__(self):
        self.served_ms = 0.0
        self.weighted_ms = 0.0
        self.start_level = 0.0
        self.reserve_ms = 0.0
        self.running = 0
        self.waiting = 0

    def add_served(self, old: Row | None, new: Row) -> None:
        """Replace the service of `old` by that of `new`."""
        self.served_ms += new.served_ms - (old.served_ms if old else 0.0)
        self.weighted_ms += new.weighted_ms - (old.weighted_ms if old else 0.0)
        self.start_level = max(self.start_level, new.start_level)

    def add_current(self, row: Row, sign: int) -> None:
        """Count (`sign` 1) or discount (`sign` -1) the present state in `row`."""
        self.reserve_ms += sign * row.reserve_ms
        self.running += sign * row.running
        self.waiting += sign * row.waiting
        if self.running == 0:
            self.reserve_ms = 0.0  # sheds the rounding errors of the sums


class _Incarnation:
    __slots__ = ("agent", "fresh", "heard_ms", "number", "rows")

    def __init__(self, agent: str, number: int):
        self.agent = agent
        self.number = number
        self.rows: dict[str, Row] = {}
        self.heard_ms = -math.inf
        self.fresh = False


class PeerRows:
    """Keeps the newest version of each learnt row and the sums for each team.

    Memory: one row for each team and agent name, plus at most `ended_rows_limit`
    rows of ended incarnations, plus one number for each agent name. When the limit is
    passed, the rows of the oldest ended incarnation are added up into the sums and
    later copies of them are ignored.

    Parameters
    ----------
    stale_ms : float
        Silence in milliseconds after which an agent's rows are stale.
    ended_rows_limit : int
        Rows of ended incarnations that are kept.
    """

    def __init__(
        self, stale_ms: float = STALE_MS, ended_rows_limit: int = ENDED_ROWS_LIMIT
    ):
        self._stale_ms = stale_ms
        self._ended_rows_limit = ended_rows_limit
        self._incarnations: dict[str, dict[int, _Incarnation]] = {}
        self._newest: dict[str, int] = {}
        self._folded: dict[str, int] = {}
        self._ended_rows = 0
        self._totals: dict[str, TeamTotals] = {}
        self._waiting: set[str] = set()
        self._next_expiry_ms = -math.inf

    @property
    def totals(self) -> dict[str, TeamTotals]:
        """Sums by team."""
        return self._totals

    @property
    def waiting(self) -> set[str]:
        """Teams that wait according to a fresh row."""
        return self._waiting

    def __iter__(self) -> Iterator[Row]:
        for numbers in self._incarnations.values():
            for incarnation in numbers.values():
                yield from incarnation.rows.values()

    def get(self, agent: str, number: int, team: str) -> Row | None:
        """Return the newest known version of a row, None if it is not kept."""
        incarnation = self._incarnations.get(agent, {}).get(number)
        return incarnation.rows.get(team) if incarnation else None

    def merge(self, row: Row, now_ms: float) -> bool:
        """Take in `row`; return whether it was newer than what was known."""
        if row.incarnation <= self._folded.get(row.agent, -1):
            return False
        incarnation = self._find(row.agent, row.incarnation)
        old = incarnation.rows.get(row.team)
        if old is not None and old.sequence >= row.sequence:
            return False
        is_newest = row.incarnation == self._newest[row.agent]
        if is_newest:
            incarnation.heard_ms = now_ms
            self._set_fresh(incarnation, True)
        elif old is None:
            self._ended_rows += 1
        self._replace(incarnation, old, row)
        if self._ended_rows > self._ended_rows_limit:
            self._fold_oldest()
        return True

    def expire(self, now_ms: float) -> None:
        """Stop counting flags and reserves of agents that have been silent."""
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + _EXPIRY_CHECK_MS
        for agent, number in self._newest.items():
            incarnation = self._incarnations[agent][number]
            if incarnation.fresh and now_ms - incarnation.heard_ms > self._stale_ms:
                self._set_fresh(incarnation, False)

    def _find(self, agent: str, number: int) -> _Incarnation:
        numbers = self._incarnations.setdefault(agent, {})
        if number not in numbers:
            numbers[number] = _Incarnation(agent, number)
            self._note_newest(agent, number)
        return numbers[number]

    def _note_newest(self, agent: str, number: int) -> None:
        newest = self._newest.get(agent)
        if newest is not None and number < newest:
            return
        self._newest[agent] = number
        if newest is not None:
            ended = self._incarnations[agent][newest]
            self._set_fresh(ended, False)
            self._ended_rows += len(ended.rows)

    def _replace(self, incarnation: _Incarnation, old: Row | None, row: Row) -> None:
        incarnation.rows[row.team] = row
        totals = self._totals.get(row.team)
        if totals is None:
            totals = self._totals[row.team] = TeamTotals()
        totals.add_served(old, row)
        if not incarnation.fresh:
            return
        if old is not None:
            totals.add_current(old, -1)
        totals.add_current(row, 1)
        self._note_waiting(row.team, totals)

    def _set_fresh(self, incarnation: _Incarnation, fresh: bool) -> None:
        if incarnation.fresh == fresh:
            return
        incarnation.fresh = fresh
        for team, row in incarnation.rows.items():
            totals = self._totals[team]
            totals.add_current(row, 1 if fresh else -1)
            self._note_waiting(team, totals)

    def _note_waiting(self, team: str, totals: TeamTotals) -> None:
        if totals.waiting:
            self._waiting.add(team)
        else:
            self._waiting.discard(team)

    def _fold_oldest(self) -> None:
        number, agent = min(
            (number, agent)
            for agent, numbers in self._incarnations.items()
            for number in numbers
            if number != self._newest[agent]
        )
        ended = self._incarnations[agent].pop(number)
        self._ended_rows -= len(ended.rows)
        self._folded[agent] = number
