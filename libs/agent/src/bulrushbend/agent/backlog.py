"""Backlog of waiting requests, as advertised by the linked routers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bulrushbend.core.clock import Clock
from bulrushbend.core.identity import Identity


class ClaimTarget(Protocol):
    """Router link over which claims are sent."""

    @property
    def identity(self) -> Identity:
        """Name and incarnation of the router."""
        ...

    def send_claim(self, attempt_id: str, team: str) -> None:
        """Send a claim for one request of `team` at once."""
        ...


@dataclass
class _Entry:
    waiting: int
    oldest_since_ms: float
    claimed: int = 0
    updates: int = 0

    @property
    def is_claimable(self) -> bool:
        return self.waiting > self.claimed


class Backlog:
    """Advertised requests by team and router, minus the claims in flight.

    The counts of a router are absolute and may have been sent before it received a
    claim. Counting the claims in flight prevents this agent from claiming a request
    twice.

    A request that arrives is subtracted only if no update came since its claim. An
    update that arrives before the request no longer includes it, and subtracting it
    again would hide the last waiting request until the next update. A count that is
    too high costs a missed claim, one that is too low costs idle slots.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_waiting : callable
        Called with a team and whether any router advertises requests of it, each time
        this changes.
    """

    def __init__(self, clock: Clock, on_waiting: Callable[[str, bool], None]):
        self._clock = clock
        self._on_waiting = on_waiting
        self._teams: dict[str, dict[ClaimTarget, _Entry]] = {}
        self._waiting_entries: dict[str, int] = {}

    @property
    def any_waiting(self) -> bool:
        """Whether any linked router advertises requests."""
        return bool(self._waiting_entries)

    @property
    def claimable(self) -> int:
        """Number of advertised requests that are not claimed yet."""
        return sum(
            max(0, entry.waiting - entry.claimed)
            for team in self._waiting_entries
            for entry in self._teams[team].values()
        )

    @property
    def waiting_teams(self) -> list[str]:
        """Teams with advertised requests."""
        return list(self._waiting_entries)

    def update(
        self, link: ClaimTarget, team: str, waiting: int, oldest_age_ms: float
    ) -> None:
        """Set the number of waiting requests of `team` at one router.

        Parameters
        ----------
        link : ClaimTarget
            Link to the router.
        team : str
            Name of the team.
        waiting : int
            Absolute number of waiting requests.
        oldest_age_ms : float
            Age of the oldest one in milliseconds.
        """
        entries = self._teams.setdefault(team, {})
        entry = entries.setdefault(link, _Entry(0, 0.0))
        entry.updates += 1
        entry.oldest_since_ms = self._clock.now_ms() - oldest_age_ms
        self._set_waiting(team, link, entry, waiting)

    def retain(self, link: ClaimTarget, teams: set[str]) -> None:
        """Remove the waiting requests at `link` of teams that are not in `teams`."""
        for team in [t for t, entries in self._teams.items() if link in entries]:
            if team not in teams:
                entry = self._teams[team][link]
                self._set_waiting(team, link, entry, 0)

    def clear_link(self, link: ClaimTarget) -> None:
        """Remove all requests that were advertised over `link`."""
        for team in [t for t, entries in self._teams.items() if link in entries]:
            entry = self._teams[team][link]
            entry.claimed = 0
            self._set_waiting(team, link, entry, 0)

    def claim(self, link: ClaimTarget, team: str) -> int:
        """Count a claim that was sent over `link`.

        Returns
        -------
        int
            Number of updates so far, to be passed to `record_claim_end`.
        """
        entry = self._teams.get(team, {}).get(link)
        if entry is None:
            return 0
        entry.claimed += 1
        return entry.updates

    def record_claim_end(
        self, link: ClaimTarget, team: str, updates: int, *, taken: bool, empty: bool
    ) -> None:
        """Record that a claim ended.

        Parameters
        ----------
        link : ClaimTarget
            Link over which the claim was sent.
        team : str
            Team of the claim.
        updates : int
            Number returned by `claim`.
        taken : bool
            Whether the router sent a request for the claim.
        empty : bool
            Whether the router reported that it has no request of the team.
        """
        entry = self._teams.get(team, {}).get(link)
        if entry is None:
            return
        entry.claimed = max(0, entry.claimed - 1)
        waiting = entry.waiting
        if empty:
            waiting = 0
        elif taken and entry.updates == updates:
            waiting = max(0, waiting - 1)
        self._set_waiting(team, link, entry, waiting)

    def oldest_ages(self) -> dict[str, float]:
        """Return the age in ms of the oldest claimable request of each team."""
        now_ms = self._clock.now_ms()
        oldest_ages: dict[str, float] = {}
        for team in self._waiting_entries:
            since = [
                e.oldest_since_ms for e in self._teams[team].values() if e.is_claimable
            ]
            if since:
                oldest_ages[team] = now_ms - min(since)
        return oldest_ages

    def oldest_link(self, team: str) -> ClaimTarget | None:
        """Return the link to the router with the oldest claimable request."""
        best: tuple[float, ClaimTarget] | None = None
        for link, entry in self._teams.get(team, {}).items():
            if entry.is_claimable and (best is None or entry.oldest_since_ms < best[0]):
                best = (entry.oldest_since_ms, link)
        return best[1] if best else None

    def _set_waiting(
        self, team: str, link: ClaimTarget, entry: _Entry, waiting: int
    ) -> None:
        had_waiting = entry.waiting > 0
        entry.waiting = waiting
        if had_waiting != (waiting > 0):
            self._update_team_count(team, 1 if waiting else -1)
        if not waiting and not entry.claimed:
            del self._teams[team][link]
            if not self._teams[team]:
                del self._teams[team]

    def _update_team_count(self, team: str, change: int) -> None:
        before = self._waiting_entries.get(team, 0)
        after = before + change
        if after:
            self._waiting_entries[team] = after
        else:
            self._waiting_entries.pop(team, None)
        if (before > 0) != (after > 0):
            self._on_waiting(team, after > 0)
