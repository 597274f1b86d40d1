"""Accounting records of other agents and of earlier incarnations of this agent."""

import math
from collections.abc import Iterator

from bulrushbend.share.record import AccountingRecord

# Silence after which the flags and reserves in an agent's records no longer count.
# Records of active teams are refreshed every second, so five lost ones are tolerated.
STALE_AFTER_MS = 5000.0
# Most records of ended incarnations that are stored; beyond it, the oldest are
# compacted into the sums.
ENDED_RECORDS_LIMIT = 20_000
_EXPIRY_CHECK_MS = 100.0


class TeamTotals:
    """Sums over the received records of one team; times are slot milliseconds.

    The sums of service cover all incarnations. `reserve_ms`, `running` and `waiting`
    cover only agents whose records are fresh.
    """

    __slots__ = (
        "reserve_ms",
        "running",
        "served_ms",
        "start_virtual_time",
        "waiting",
        "weighted_ms",
    )

    def __init__(self):
        self.served_ms = 0.0
        self.weighted_ms = 0.0
        self.start_virtual_time = 0.0
        self.reserve_ms = 0.0
        self.running = 0
        self.waiting = 0

    def add_served(self, old: AccountingRecord | None, new: AccountingRecord) -> None:
        """Replace the service of `old` by that of `new`."""
        self.served_ms += new.served_ms - (old.served_ms if old else 0.0)
        self.weighted_ms += new.weighted_ms - (old.weighted_ms if old else 0.0)
        self.start_virtual_time = max(self.start_virtual_time, new.start_virtual_time)

    def add_current(self, record: AccountingRecord, sign: int) -> None:
        """Add (`sign` 1) or subtract (`sign` -1) the current state in `record`."""
        self.reserve_ms += sign * record.reserve_ms
        self.running += sign * record.running
        self.waiting += sign * record.waiting
        if self.running == 0:
            self.reserve_ms = 0.0  # clears accumulated rounding errors


class _Incarnation:
    __slots__ = ("agent", "fresh", "number", "records", "updated_ms")

    def __init__(self, agent: str, number: int):
        self.agent = agent
        self.number = number
        self.records: dict[str, AccountingRecord] = {}
        self.updated_ms = -math.inf
        self.fresh = False


class PeerRecords:
    """Stores the newest version of each received record and the sums for each team.

    Memory: one record for each team and agent name, plus at most `ended_records_limit`
    records of ended incarnations, plus one number for each agent name. When the limit
    is exceeded, the records of the oldest ended incarnation are removed, their service
    stays in the sums, and later copies of them are ignored.

    Parameters
    ----------
    stale_ms : float
        Silence in milliseconds after which an agent's records are stale.
    ended_records_limit : int
        Most records of ended incarnations that are stored.
    """

    def __init__(
        self,
        stale_ms: float = STALE_AFTER_MS,
        ended_records_limit: int = ENDED_RECORDS_LIMIT,
    ):
        self._stale_ms = stale_ms
        self._ended_records_limit = ended_records_limit
        self._incarnations: dict[str, dict[int, _Incarnation]] = {}
        self._newest: dict[str, int] = {}
        self._compacted: dict[str, int] = {}
        self._ended_records = 0
        self._totals: dict[str, TeamTotals] = {}
        self._waiting: set[str] = set()
        self._next_expiry_ms = -math.inf

    @property
    def totals(self) -> dict[str, TeamTotals]:
        """Sums of the received records by team."""
        return self._totals

    @property
    def waiting(self) -> set[str]:
        """Teams with waiting requests according to a fresh record."""
        return self._waiting

    def __iter__(self) -> Iterator[AccountingRecord]:
        for numbers in self._incarnations.values():
            for incarnation in numbers.values():
                yield from incarnation.records.values()

    def get(self, agent: str, number: int, team: str) -> AccountingRecord | None:
        """Return the newest known version of a record, None if it is not stored."""
        incarnation = self._incarnations.get(agent, {}).get(number)
        return incarnation.records.get(team) if incarnation else None

    def merge(self, record: AccountingRecord, now_ms: float) -> bool:
        """Store `record` and return whether it is newer than the known version."""
        if record.incarnation <= self._compacted.get(record.agent, -1):
            return False
        incarnation = self._find(record.agent, record.incarnation)
        old = incarnation.records.get(record.team)
        if old is not None and old.sequence >= record.sequence:
            return False
        is_newest = record.incarnation == self._newest[record.agent]
        if is_newest:
            incarnation.updated_ms = now_ms
            self._set_fresh(incarnation, True)
        elif old is None:
            self._ended_records += 1
        self._replace(incarnation, old, record)
        if self._ended_records > self._ended_records_limit:
            self._compact_oldest()
        return True

    def expire(self, now_ms: float) -> None:
        """Stop counting flags and reserves of agents that are silent for too long."""
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + _EXPIRY_CHECK_MS
        for agent, number in self._newest.items():
            incarnation = self._incarnations[agent][number]
            if incarnation.fresh and now_ms - incarnation.updated_ms > self._stale_ms:
                self._set_fresh(incarnation, False)

    def _find(self, agent: str, number: int) -> _Incarnation:
        numbers = self._incarnations.setdefault(agent, {})
        if number not in numbers:
            numbers[number] = _Incarnation(agent, number)
            self._update_newest(agent, number)
        return numbers[number]

    def _update_newest(self, agent: str, number: int) -> None:
        newest = self._newest.get(agent)
        if newest is not None and number < newest:
            return
        self._newest[agent] = number
        if newest is not None:
            ended = self._incarnations[agent][newest]
            self._set_fresh(ended, False)
            self._ended_records += len(ended.records)

    def _replace(
        self,
        incarnation: _Incarnation,
        old: AccountingRecord | None,
        record: AccountingRecord,
    ) -> None:
        incarnation.records[record.team] = record
        totals = self._totals.get(record.team)
        if totals is None:
            totals = self._totals[record.team] = TeamTotals()
        totals.add_served(old, record)
        if not incarnation.fresh:
            return
        if old is not None:
            totals.add_current(old, -1)
        totals.add_current(record, 1)
        self._update_waiting(record.team, totals)

    def _set_fresh(self, incarnation: _Incarnation, fresh: bool) -> None:
        if incarnation.fresh == fresh:
            return
        incarnation.fresh = fresh
        for team, record in incarnation.records.items():
            totals = self._totals[team]
            totals.add_current(record, 1 if fresh else -1)
            self._update_waiting(team, totals)

    def _update_waiting(self, team: str, totals: TeamTotals) -> None:
        if totals.waiting:
            self._waiting.add(team)
        else:
            self._waiting.discard(team)

    def _compact_oldest(self) -> None:
        number, agent = min(
            (number, agent)
            for agent, numbers in self._incarnations.items()
            for number in numbers
            if number != self._newest[agent]
        )
        ended = self._incarnations[agent].pop(number)
        self._ended_records -= len(ended.records)
        self._compacted[agent] = number
