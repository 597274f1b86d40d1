"""Fleet-wide accounting of the slot time served to the teams of one service.

All times are slot milliseconds: the time for which a request occupies a slot. The
virtual time of a team is its service divided by its share, plus a start value, in slot
milliseconds per unit of share. The system virtual time is the one from which a team
that becomes backlogged starts.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bulrushbend.core.clock import Clock
from bulrushbend.core.identity import Identity
from bulrushbend.share.account import OpenCharge, TeamAccount
from bulrushbend.share.estimator import Estimator
from bulrushbend.share.local_records import LocalRecords
from bulrushbend.share.peer_records import PeerRecords
from bulrushbend.share.record import AccountingRecord

__all__ = ["AccountingRecord", "Charge", "Ledger", "TeamState"]

_DEFAULT_SHARE = 1.0
# Computing the system virtual time takes a pass over all waiting teams, and teams with
# little load become backlogged hundreds of times a second. A cached value is slightly
# too low.
_SYSTEM_VIRTUAL_TIME_TTL_MS = 20.0
# Longest time until the service of a request running elsewhere is known here.
_PROPAGATION_DELAY_MS = 250.0
# A picker is called immediately after a slot is freed. A slot that stays free, for lack
# of work or above a lowered slot limit, no longer belongs to a team.
_FREED_SLOT_TTL_MS = 50.0
_MAX_FREED_SLOTS = 64


class TeamState(NamedTuple):
    """State of one team, as input of a picker.

    Attributes
    ----------
    virtual_time : float
        Fleet-wide virtual time in slot ms per unit of share.
    share : float
        Weight of the team.
    claim_step : float
        Increase of the virtual time by one more claim.
    running : int
        Number of claims and running requests, fleet-wide.
    mean_cost_ms : float
        Mean cost of recent requests at this agent.
    """

    virtual_time: float
    share: float
    claim_step: float
    running: int
    mean_cost_ms: float


class Charge:
    """Charge for one claim or running request; `end` or `release` closes it once."""

    def __init__(self, ledger: "Ledger", team: str, charge: OpenCharge):
        self._ledger = ledger
        self._team = team
        self._charge = charge
        self._cost_ms: float | None = None

    @property
    def team(self) -> str:
        """Team that is charged."""
        return self._team

    @property
    def started(self) -> bool:
        """Whether `start` was called."""
        return self._charge.start_ms is not None

    def start(self) -> None:
        """Start to accrue slot time."""
        self._ledger._start_charge(self._team, self._charge)

    def end(self) -> float:
        """Stop accruing, pass the cost to the estimator and return it in slot ms.

        A second call returns the same cost and changes nothing.
        """
        if self._cost_ms is None:
            self._cost_ms = self._ledger._close_charge(self._team, self._charge)
        return self._cost_ms

    def release(self) -> None:
        """Close the charge of a claim that was missed or expired, at no cost."""
        if self._cost_ms is None:
            self._cost_ms = self._ledger._close_charge(self._team, self._charge)


class Ledger:
    """Accounting of one service, from local records and those of other agents.

    Parameters
    ----------
    service : str
        Name of the service; records of other services are ignored.
    identity : Identity
        Name and incarnation of this agent.
    clock : Clock
        Source of time.
    estimator : Estimator
        Estimates the slot time to reserve for requests that have not ended.
    peers : PeerRecords, optional
        Store of the records received from other agents.
    """

    def __init__(
        self,
        service: str,
        identity: Identity,
        clock: Clock,
        estimator: Estimator,
        peers: PeerRecords | None = None,
    ):
        self._service = service
        self._identity = identity
        self._clock = clock
        self._estimator = estimator
        self._peers = peers or PeerRecords()
        self._shares: Mapping[str, float] = {}
        self._local = LocalRecords(service, identity, estimator)
        self._cached_system_virtual_time = 0.0
        self._system_virtual_time_expiry_ms = float("-inf")
        self._cursor = 0
        self._freed_slots: deque[tuple[str, float]] = deque(maxlen=_MAX_FREED_SLOTS)
        self._changes: dict[tuple[str, int, str], int] = {}

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Set the weights of the teams; past service keeps its weight.

        Parameters
        ----------
        shares : mapping of str to float
            Weight of each team, greater than 0; 1 for teams that are not listed.
        """
        self._shares = dict(shares)
        now_ms = self._clock.now_ms()
        for account in self._local:
            account.set_share(self._share(account.team), now_ms)

    def set_waiting(self, team: str, waiting: bool) -> None:
        """Set whether linked routers have waiting requests of `team`."""
        account = self._account(team)
        if waiting == account.waiting:
            return
        if waiting:
            self._raise_start(team, account)
        account.waiting = waiting
        self._local.mark_changed(account)

    def open_charge(self, team: str) -> Charge:
        """Open a charge for a claim of `team`, which adds its reserve."""
        account = self._account(team)
        charge = account.add_charge()
        self._local.mark_changed(account)
        return Charge(self, team, charge)

    def merge(self, records: Iterable[AccountingRecord]) -> list[AccountingRecord]:
        """Merge records of other agents and return those that were applied.

        Records of this incarnation and of other services, records with invalid numbers
        and versions that are not newer than the known ones are ignored.
        """
        now_ms = self._clock.now_ms()
        return [record for record in records if self._merge_record(record, now_ms)]

    def refresh(self) -> None:
        """Create new versions of the local records that changed or are due."""
        for record in self._local.refresh(self._clock.now_ms()):
            self._mark_changed(record)

    def records(
        self, changed_after: int = 0, *, refresh: bool = True
    ) -> tuple[int, list[AccountingRecord]]:
        """Return local and received records that changed after a cursor.

        Parameters
        ----------
        changed_after : int, default=0
            Cursor of an earlier call; 0 asks for all records.
        refresh : bool, default=True
            Whether to create new versions of the local records first.

        Returns
        -------
        cursor : int
            Cursor for the next call.
        records : list of AccountingRecord
            Changed records, the latest change first. The service of running requests
            is counted up to now, or up to the last refresh if `refresh` is false.
        """
        if refresh:
            self.refresh()
        changed = []
        for key, cursor in reversed(self._changes.items()):
            if cursor <= changed_after:
                break
            record = self._find_record(key)
            if record is not None:
                changed.append(record)
        return self._cursor, changed

    def local_records(self) -> list[AccountingRecord]:
        """Return the records of this agent as of now, for status reports.

        They have no sequence number and must not be merged.
        """
        return self._local.current(self._clock.now_ms())

    def virtual_time(self, team: str) -> float:
        """Return the fleet-wide virtual time of `team` in slot ms per unit of share."""
        now_ms = self._clock.now_ms()
        self._peers.expire(now_ms)
        return self._virtual_time(team, now_ms)

    def states(self, teams: Iterable[str]) -> dict[str, TeamState]:
        """Return the state of each of `teams`, all as of the same time."""
        now_ms = self._clock.now_ms()
        self._peers.expire(now_ms)
        return {team: self._state(team, now_ms) for team in teams}

    def pop_freed_team(self) -> str | None:
        """Remove and return the team of the oldest freed slot, None if there is none.

        The picker calls this to get the team whose slot it assigns. Slots that were
        freed too long ago are skipped.
        """
        oldest_ms = self._clock.now_ms() - _FREED_SLOT_TTL_MS
        while self._freed_slots:
            team, freed_ms = self._freed_slots.popleft()
            if freed_ms >= oldest_ms:
                return team
        return None

    def served_ms(self, team: str) -> float:
        """Return the slot time served to `team` fleet-wide, as known here."""
        totals = self._peers.totals.get(team)
        account = self._local.find(team)
        served_ms = totals.served_ms if totals else 0.0
        return served_ms + (account.served_ms(self._clock.now_ms()) if account else 0.0)

    def _share(self, team: str) -> float:
        return self._shares.get(team, _DEFAULT_SHARE)

    def _account(self, team: str) -> TeamAccount:
        return self._local.get_or_create(team, self._share(team))

    def _state(self, team: str, now_ms: float) -> TeamState:
        totals = self._peers.totals.get(team)
        account = self._local.find(team)
        share = self._share(team)
        start = weighted_ms = reserve_ms = 0.0
        running = 0
        if totals is not None:
            start, weighted_ms = totals.start_virtual_time, totals.weighted_ms
            reserve_ms, running = totals.reserve_ms, totals.running
        if account is not None:
            start = max(start, account.start_virtual_time)
            weighted_ms += account.weighted_ms(now_ms)
            reserve_ms += account.reserve_ms(self._estimator, now_ms)
            running += account.running
        return TeamState(
            start + weighted_ms + reserve_ms / share,
            share,
            self._estimator.reserve_ms(team, 0.0) / share,
            running,
            self._estimator.mean_cost_ms(team),
        )

    def _virtual_time(self, team: str, now_ms: float) -> float:
        return self._state(team, now_ms).virtual_time

    def _served_virtual_time(self, team: str, now_ms: float) -> float:
        """Return the virtual time of `team` without the reserve."""
        totals = self._peers.totals.get(team)
        account = self._local.find(team)
        start = weighted_ms = 0.0
        if totals is not None:
            start = totals.start_virtual_time
            weighted_ms = totals.weighted_ms
        if account is not None:
            start = max(start, account.start_virtual_time)
            weighted_ms += account.weighted_ms(now_ms)
        return start + weighted_ms

    def _raise_start(self, team: str, account: TeamAccount) -> None:
        """Raise the start value of a team that becomes backlogged.

        The team starts at the system virtual time, so it gets no credit for the time
        in which it had no backlog. Reserves are left out of the comparison: requests
        that run now add to the service of their teams later, as those of this team
        will. A team that runs at other agents may start lower by the service whose
        records can still be in transit, which would otherwise count twice.
        """
        now_ms = self._clock.now_ms()
        self._peers.expire(now_ms)
        if team in self._peers.waiting:
            return  # already backlogged at another agent, which raised the start value
        totals = self._peers.totals.get(team)
        remote_running = totals.running if totals else 0
        allowance = remote_running * _PROPAGATION_DELAY_MS / self._share(team)
        deficit = (
            self._system_virtual_time(now_ms)
            - allowance
            - self._served_virtual_time(team, now_ms)
        )
        if deficit <= 0.0:
            return
        peer_start = totals.start_virtual_time if totals else 0.0
        account.start_virtual_time = (
            max(peer_start, account.start_virtual_time) + deficit
        )

    def _system_virtual_time(self, now_ms: float) -> float:
        if now_ms >= self._system_virtual_time_expiry_ms:
            self._cached_system_virtual_time = self._compute_system_virtual_time(now_ms)
            self._system_virtual_time_expiry_ms = now_ms + _SYSTEM_VIRTUAL_TIME_TTL_MS
        return self._cached_system_virtual_time

    def _compute_system_virtual_time(self, now_ms: float) -> float:
        waiting = self._local.waiting | self._peers.waiting
        if waiting:
            return min(self._served_virtual_time(name, now_ms) for name in waiting)
        known = self._local.teams | self._peers.totals.keys()
        return max(self._served_virtual_time(name, now_ms) for name in known)

    def _start_charge(self, team: str, charge: OpenCharge) -> None:
        account = self._account(team)
        account.start_charge(charge, self._clock.now_ms())
        self._local.mark_changed(account)

    def _close_charge(self, team: str, charge: OpenCharge) -> float:
        account = self._account(team)
        cost_ms = account.close_charge(charge, self._clock.now_ms())
        self._local.mark_changed(account)
        if charge.start_ms is not None:
            self._freed_slots.append((team, self._clock.now_ms()))
            self._estimator.record_cost(team, cost_ms)
        return cost_ms

    def _merge_record(self, record: AccountingRecord, now_ms: float) -> bool:
        local_key = (self._identity.name, self._identity.incarnation)
        if (
            record.service != self._service
            or (record.agent, record.incarnation) == local_key
        ):
            return False
        if not record.is_valid or not self._peers.merge(record, now_ms):
            return False
        self._mark_changed(record)
        return True

    def _mark_changed(self, record: AccountingRecord) -> None:
        key = (record.agent, record.incarnation, record.team)
        self._cursor += 1
        self._changes.pop(key, None)
        self._changes[key] = self._cursor

    def _find_record(self, key: tuple[str, int, str]) -> AccountingRecord | None:
        agent, incarnation, team = key
        if (agent, incarnation) == (self._identity.name, self._identity.incarnation):
            return self._local.get(team)
        return self._peers.get(agent, incarnation, team)
