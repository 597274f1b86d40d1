"""Fleet-wide account of the slot time that the teams of one service were served.

All times are slot milliseconds: the time for which a request holds a slot. A level is
slot milliseconds per unit of share.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bulrushbend.core.clock import Clock
from bulrushbend.core.identity import Identity
from bulrushbend.share.account import OpenCharge, TeamAccount
from bulrushbend.share.estimator import Estimator
from bulrushbend.share.own import OwnRows
from bulrushbend.share.peers import PeerRows
from bulrushbend.share.row import Row

__all__ = ["Charge", "Ledger", "Row", "TeamState"]

_DEFAULT_SHARE = 1.0
# The floor for teams that become backlogged costs a pass over all waiting teams, and
# light teams become backlogged hundreds of times a second. An old floor is a bit low.
_FLOOR_MS = 20.0
# Time that the newest service of a running request may take to get here.
_UNSEEN_MS = 250.0
# A picker is asked at once about a freed slot. Slots that stay free, for lack of work
# or above a lowered slot limit, belong to no team any more.
_FREED_MS = 50.0
_FREED_KEPT = 64


class TeamState(NamedTuple):
    """What a picker needs to know of one team.

    Attributes
    ----------
    level : float
        Fleet-wide level in slot ms per unit of share.
    share : float
        Weight of the team.
    claim_step : float
        How far one more claim raises the level.
    running : int
        Claims and running requests, fleet-wide.
    mean_cost_ms : float
        Mean cost of recent requests at this agent.
    """

    level: float
    share: float
    claim_step: float
    running: int
    mean_cost_ms: float


class Charge:
    """One claim or running request. Ends exactly once, by `end` or `release`."""

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
        """Whether slot time accrues or has accrued."""
        return self._charge.start_ms is not None

    def start(self) -> None:
        """Let slot time accrue from now."""
        self._ledger._start(self._team, self._charge)

    def end(self) -> float:
        """Stop accruing, feed the estimator and return the cost in slot ms.

        A second call returns the same cost and changes nothing.
        """
        if self._cost_ms is None:
            self._cost_ms = self._ledger._close(self._team, self._charge)
        return self._cost_ms

    def release(self) -> None:
        """Give up a claim that was missed or expired: nothing is charged."""
        if self._cost_ms is None:
            self._cost_ms = self._ledger._close(self._team, self._charge)


class Ledger:
    """Account of one service as this agent knows it.

    Parameters
    ----------
    service : str
        Name of the service; rows of other services are ignored.
    identity : Identity
        Name and incarnation of this agent.
    clock : Clock
        Gives the time in milliseconds.
    estimator : Estimator
        Says how much to hold for requests that have not ended.
    peers : PeerRows, optional
        Keeps the learnt rows.
    """

    def __init__(
        self,
        service: str,
        identity: Identity,
        clock: Clock,
        estimator: Estimator,
        peers: PeerRows | None = None,
    ):
        self._service = service
        self._identity = identity
        self._clock = clock
        self._estimator = estimator
        self._peers = peers or PeerRows()
        self._shares: Mapping[str, float] = {}
        self._own = OwnRows(service, identity, estimator)
        self._floor_level = 0.0
        self._floor_due_ms = float("-inf")
        self._cursor = 0
        self._freed: deque[tuple[str, float]] = deque(maxlen=_FREED_KEPT)
        self._changes: dict[tuple[str, int, str], int] = {}

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Set the weights of the teams; service of the past keeps its weight.

        Parameters
        ----------
        shares : mapping of str to float
            Weight of each team, greater than 0; teams not named weigh 1.
        """
        self._shares = dict(shares)
        now_ms = self._clock.now_ms()
        for account in self._own:
            account.set_share(self._share(account.team), now_ms)

    def set_waiting(self, team: str, waiting: bool) -> None:
        """Note whether linked routers hold waiting requests of `team`."""
        account = self._account(team)
        if waiting == account.waiting:
            return
        if waiting:
            self._raise(team, account)
        account.waiting = waiting
        self._own.note_change(account)

    def hold(self, team: str) -> Charge:
        """Hold the reserve for a claim of `team`."""
        account = self._account(team)
        charge = account.open()
        self._own.note_change(account)
        return Charge(self, team, charge)

    def merge(self, rows: Iterable[Row]) -> list[Row]:
        """Take in rows and return those that changed something.

        Own rows, rows of other services, rows with unsound numbers and versions that
        are not newer than the known ones are ignored.
        """
        now_ms = self._clock.now_ms()
        return [row for row in rows if self._merge(row, now_ms)]

    def renew(self) -> None:
        """Make new versions of the own rows that changed or are due."""
        for row in self._own.renew(self._clock.now_ms()):
            self._note_change(row)

    def rows(
        self, changed_after: int = 0, *, renew: bool = True
    ) -> tuple[int, list[Row]]:
        """Return own and learnt rows that changed after a cursor.

        Parameters
        ----------
        changed_after : int, default=0
            Cursor of an earlier call; 0 asks for all rows.
        renew : bool, default=True
            Whether to make new versions of the own rows first.

        Returns
        -------
        cursor : int
            Cursor for the next call.
        rows : list of Row
            Changed rows, the latest change first. Time of running requests is
            counted up to now, or up to the last renewal if `renew` is false.
        """
        if renew:
            self.renew()
        changed = []
        for key, cursor in reversed(self._changes.items()):
            if cursor <= changed_after:
                break
            row = self._row(key)
            if row is not None:
                changed.append(row)
        return self._cursor, changed

    def own_rows(self) -> list[Row]:
        """Return the rows of this agent as of now, for status reports.

        They have no sequence and are not for merging.
        """
        return self._own.current(self._clock.now_ms())

    def level(self, team: str) -> float:
        """Return the fleet-wide level of `team` in slot ms per unit of share."""
        now_ms = self._clock.now_ms()
        self._peers.expire(now_ms)
        return self._level(team, now_ms)

    def states(self, teams: Iterable[str]) -> dict[str, TeamState]:
        """Return the state of each of `teams`, all at the same time."""
        now_ms = self._clock.now_ms()
        self._peers.expire(now_ms)
        return {team: self._state(team, now_ms) for team in teams}

    def take_freed(self) -> str | None:
        """Return the team whose request ended first since the last call, if any.

        The slot of that request is the one a picker is asked about.
        """
        oldest_ms = self._clock.now_ms() - _FREED_MS
        while self._freed:
            team, freed_ms = self._freed.popleft()
            if freed_ms >= oldest_ms:
                return team
        return None

    def served_ms(self, team: str) -> float:
        """Return the slot time served to `team` fleet-wide, as known here."""
        totals = self._peers.totals.get(team)
        account = self._own.find(team)
        served_ms = totals.served_ms if totals else 0.0
        return served_ms + (account.served_ms(self._clock.now_ms()) if account else 0.0)

    def _share(self, team: str) -> float:
        return self._shares.get(team, _DEFAULT_SHARE)

    def _account(self, team: str) -> TeamAccount:
        return self._own.open(team, self._share(team))

    def _state(self, team: str, now_ms: float) -> TeamState:
        totals = self._peers.totals.get(team)
        account = self._own.find(team)
        share = self._share(team)
        start = weighted_ms = reserve_ms = 0.0
        running = 0
        if totals is not None:
            start, weighted_ms = totals.start_level, totals.weighted_ms
            reserve_ms, running = totals.reserve_ms, totals.running
        if account is not None:
            start = max(start, account.start_level)
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

    def _level(self, team: str, now_ms: float) -> float:
        return self._state(team, now_ms).level

    def _served_level(self, team: str, now_ms: float) -> float:
        """Return the level without the reserve."""
        totals = self._peers.totals.get(team)
        account = self._own.find(team)
        start = weighted_ms = 0.0
        if totals is not None:
            start = totals.start_level
            weighted_ms = totals.weighted_ms
        if account is not None:
            start = max(start, account.start_level)
            weighted_ms += account.weighted_ms(now_ms)
        return start + weighted_ms

    def _raise(self, team: str, account: TeamAccount) -> None:
        """Raise the service of a team that becomes backlogged.

        The reserves stay out of the comparison: requests that run now become service
        of their teams after this moment, as those of the raised team will.
        A team that runs elsewhere may lag by the service whose rows can still be under
        way, which would count twice.
        """
        now_ms = self._clock.now_ms()
        self._peers.expire(now_ms)
        if team in self._peers.waiting:
            return  # backlogged elsewhere: it was raised there
        totals = self._peers.totals.get(team)
        elsewhere = totals.running if totals else 0
        credit = elsewhere * _UNSEEN_MS / self._share(team)
        missing = self._floor(now_ms) - credit - self._served_level(team, now_ms)
        if missing <= 0.0:
            return
        known_start = totals.start_level if totals else 0.0
        account.start_level = max(known_start, account.start_level) + missing

    def _floor(self, now_ms: float) -> float:
        if now_ms >= self._floor_due_ms:
            self._floor_level = self._compute_floor(now_ms)
            self._floor_due_ms = now_ms + _FLOOR_MS
        return self._floor_level

    def _compute_floor(self, now_ms: float) -> float:
        waiting = self._own.waiting | self._peers.waiting
        if waiting:
            return min(self._served_level(name, now_ms) for name in waiting)
        known = self._own.teams | self._peers.totals.keys()
        return max(self._served_level(name, now_ms) for name in known)

    def _start(self, team: str, charge: OpenCharge) -> None:
        account = self._account(team)
        account.start(charge, self._clock.now_ms())
        self._own.note_change(account)

    def _close(self, team: str, charge: OpenCharge) -> float:
        account = self._account(team)
        cost_ms = account.close(charge, self._clock.now_ms())
        self._own.note_change(account)
        if charge.start_ms is not None:
            self._freed.append((team, self._clock.now_ms()))
            self._estimator.observe(team, cost_ms)
        return cost_ms

    def _merge(self, row: Row, now_ms: float) -> bool:
        own = (self._identity.name, self._identity.incarnation)
        if row.service != self._service or (row.agent, row.incarnation) == own:
            return False
        if not row.is_sound or not self._peers.merge(row, now_ms):
            return False
        self._note_change(row)
        return True

    def _note_change(self, row: Row) -> None:
        key = (row.agent, row.incarnation, row.team)
        self._cursor += 1
        self._changes.pop(key, None)
        self._changes[key] = self._cursor

    def _row(self, key: tuple[str, int, str]) -> Row | None:
        agent, incarnation, team = key
        if (agent, incarnation) == (self._identity.name, self._identity.incarnation):
            return self._own.get(team)
        return self._peers.get(agent, incarnation, team)
