"""Reports of the backlog of waiting requests to one agent."""

from bulrushbend.core.clock import Clock
from bulrushbend.router.queue import Backlog, WaitingQueues
from bulrushbend.wire.fleet_pb2 import RouterBatch, TeamBacklog

# Time without backlog reports after the data port refused a connection. Otherwise the
# agent would claim again at once and fail again.
_PAUSE_MS = 1_000.0


class BacklogReporter:
    """Adds backlog entries to the batches for one agent.

    An entry holds the number of waiting requests of one team.

    Parameters
    ----------
    queues : WaitingQueues
        Source of the backlog.
    service : str
        Service that the agent serves.
    clock : Clock
        Source of time.
    heartbeat_ms : float
        Interval at which changed entries are repeated, in milliseconds.
    """

    def __init__(
        self, queues: WaitingQueues, service: str, clock: Clock, heartbeat_ms: float
    ):
        self._queues = queues
        self._service = service
        self._clock = clock
        self._heartbeat_ms = heartbeat_ms
        self._changed: set[str] = set()
        self._to_repeat: set[str] = set()
        self._reported: set[str] = set()
        self._repeat_due_ms = 0.0
        self._paused_until_ms = 0.0
        self._complete_due = True

    @property
    def has_changes(self) -> bool:
        """Whether an entry has changed since the last batch."""
        return bool(self._changed)

    def reset(self) -> None:
        """Send the complete backlog with the next batch, as on a new connection."""
        self._complete_due = True

    def mark_changed(self, team: str) -> None:
        """Send the entry of `team` with the next batch."""
        self._changed.add(team)

    def pause(self) -> None:
        """Report no backlog for `_PAUSE_MS`, then the complete backlog."""
        self._paused_until_ms = self._clock.now_ms() + _PAUSE_MS
        self._complete_due = True

    def add_to(self, batch: RouterBatch) -> None:
        """Add the entries that are due to `batch`."""
        now_ms = self._clock.now_ms()
        batch.backlog_is_complete = self._complete_due
        if self._complete_due:
            self._reported.clear()
        if now_ms < self._paused_until_ms:
            return
        for team, backlog in self._due_backlogs(now_ms).items():
            self._add_entry(batch, team, backlog, now_ms)
        self._complete_due = False
        self._changed.clear()

    def _due_backlogs(self, now_ms: float) -> dict[str, Backlog]:
        if self._complete_due:
            return self._queues.backlog(self._service)
        return {
            team: self._queues.team_backlog(self._service, team)
            for team in self._teams_to_send(now_ms)
        }

    def _teams_to_send(self, now_ms: float) -> set[str]:
        """Return the changed teams, and once per heartbeat those that changed before.

        The agent subtracts a claimed request from its count when the POST arrives. An
        entry that overtakes the POST already excludes that request, so the agent
        subtracts it twice. Without the repetition it would then miss the last waiting
        request.
        """
        teams = set(self._changed)
        if now_ms < self._repeat_due_ms:
            self._to_repeat |= teams
            return teams
        teams |= self._to_repeat
        self._to_repeat = set(self._changed)
        self._repeat_due_ms = now_ms + self._heartbeat_ms
        return teams

    def _add_entry(
        self, batch: RouterBatch, team: str, backlog: Backlog, now_ms: float
    ) -> None:
        """Add the entry of a team; an empty one only after a non-empty one."""
        if backlog.waiting:
            self._reported.add(team)
        elif team in self._reported:
            self._reported.discard(team)
        else:
            return
        batch.backlog.append(_describe(team, backlog, now_ms))


def _describe(team: str, backlog: Backlog, now_ms: float) -> TeamBacklog:
    age_ms = (
        max(0, round(now_ms - backlog.oldest_admitted_ms)) if backlog.waiting else 0
    )
    return TeamBacklog(team=team, waiting=backlog.waiting, oldest_age_ms=age_ms)
