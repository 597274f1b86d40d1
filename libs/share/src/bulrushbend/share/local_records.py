"""Accounting records of this agent: changed accounts and latest record versions."""

from collections.abc import Iterator

from bulrushbend.core.identity import Identity
from bulrushbend.share.account import TeamAccount
from bulrushbend.share.estimator import Estimator
from bulrushbend.share.record import AccountingRecord

# Records of active teams get a new version at this interval even if nothing changed, so
# that readers can tell a silent agent from a team whose requests only wait.
REFRESH_INTERVAL_MS = 1000.0


class LocalRecords:
    """Accounts of this agent and the newest version of the record of each.

    Parameters
    ----------
    service : str
        Name of the service.
    identity : Identity
        Name and incarnation of this agent.
    estimator : Estimator
        Estimates the slot time to reserve for requests that have not ended.
    """

    def __init__(self, service: str, identity: Identity, estimator: Estimator):
        self._service = service
        self._identity = identity
        self._estimator = estimator
        self._accounts: dict[str, TeamAccount] = {}
        self._waiting: set[str] = set()
        self._running: set[str] = set()
        self._changed: set[str] = set()
        self._latest: dict[str, AccountingRecord] = {}
        self._refreshed_ms: dict[str, float] = {}

    @property
    def waiting(self) -> set[str]:
        """Teams with waiting requests at the linked routers."""
        return self._waiting

    @property
    def teams(self) -> set[str]:
        """Teams that have an account here."""
        return set(self._accounts)

    def __iter__(self) -> Iterator[TeamAccount]:
        return iter(self._accounts.values())

    def find(self, team: str) -> TeamAccount | None:
        """Return the account of `team`, None if it has none."""
        return self._accounts.get(team)

    def get_or_create(self, team: str, share: float) -> TeamAccount:
        """Return the account of `team`, created if it does not exist."""
        account = self._accounts.get(team)
        if account is None:
            account = self._accounts[team] = TeamAccount(team, share)
        return account

    def mark_changed(self, account: TeamAccount) -> None:
        """Mark `account` as changed by something other than accrued time."""
        _set_member(self._waiting, account.team, account.waiting)
        _set_member(self._running, account.team, account.running > 0)
        self._changed.add(account.team)

    def get(self, team: str) -> AccountingRecord:
        """Return the newest version of the record of `team`."""
        return self._latest[team]

    def current(self, now_ms: float) -> list[AccountingRecord]:
        """Return the records as of now without creating new versions."""
        return [self._build(account, now_ms, 0) for account in self]

    def refresh(self, now_ms: float) -> list[AccountingRecord]:
        """Return new versions of the records that changed or are due.

        Parameters
        ----------
        now_ms : float
            Monotonic time in milliseconds up to which running requests are counted.
        """
        due = self._changed | self._due_for_refresh(now_ms)
        accrued = (team for team in self._running if team not in due)
        due.update([team for team in accrued if self._has_accrued(team, now_ms)])
        self._changed.clear()
        # Sorted, so that batches are reproducible.
        return [
            self._refresh_record(self._accounts[team], now_ms) for team in sorted(due)
        ]

    def _has_accrued(self, team: str, now_ms: float) -> bool:
        return self._accounts[team].served_ms(now_ms) != self._latest[team].served_ms

    def _due_for_refresh(self, now_ms: float) -> set[str]:
        # The dictionary is ordered by time, so the scan ends at the first record that
        # is not due.
        due = set()
        for team, refreshed_ms in self._refreshed_ms.items():
            if now_ms - refreshed_ms < REFRESH_INTERVAL_MS:
                break
            due.add(team)
        return due

    def _refresh_record(self, account: TeamAccount, now_ms: float) -> AccountingRecord:
        team = account.team
        latest = self._latest.get(team)
        record = self._build(account, now_ms, latest.sequence + 1 if latest else 1)
        self._latest[team] = record
        self._refreshed_ms.pop(team, None)
        if account.is_active:
            self._refreshed_ms[team] = now_ms
        return record

    def _build(
        self, account: TeamAccount, now_ms: float, sequence: int
    ) -> AccountingRecord:
        return AccountingRecord(
            service=self._service,
            agent=self._identity.name,
            incarnation=self._identity.incarnation,
            team=account.team,
            sequence=sequence,
            served_ms=account.served_ms(now_ms),
            reserve_ms=account.reserve_ms(self._estimator, now_ms),
            running=account.running,
            waiting=account.waiting,
            start_virtual_time=account.start_virtual_time,
            weighted_ms=account.weighted_ms(now_ms),
        )


def _set_member(teams: set[str], team: str, is_member: bool) -> None:
    if is_member:
        teams.add(team)
    else:
        teams.discard(team)
