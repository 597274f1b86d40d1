"""Soft membership: the routers and agents that report to this replica."""

from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.wire.fleet_pb2 import Member, MemberReport, MemberStatus


@dataclass
class _Entry:
    report: MemberReport
    received_ms: float


MemberListener = Callable[[str], None]


class Membership:
    """Members by name; the newest incarnation wins, then the newest report.

    Parameters
    ----------
    clock : Clock
        Source of time.
    timeout_ms : float
        A member is dropped when it has not reported for so long.
    """

    def __init__(self, clock: Clock, timeout_ms: float):
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._entries: dict[str, _Entry] = {}
        self._listeners: set[MemberListener] = set()
        self._started_ms = clock.now_ms()

    @property
    def startup_grace_elapsed(self) -> bool:
        """Whether every live member has had the time to report since the start."""
        return self._clock.now_ms() - self._started_ms >= self._timeout_ms

    def __len__(self) -> int:
        return len(self._entries)

    def add_listener(self, listener: MemberListener) -> Callable[[], None]:
        """Call `listener` with each name that joined, changed or was dropped.

        Returns
        -------
        callable
            Ends the listening.
        """
        self._listeners.add(listener)
        return lambda: self._listeners.discard(listener)

    def members(self) -> list[Member]:
        """Return all members."""
        return [entry.report.member for entry in self._entries.values()]

    def get(self, name: str) -> Member | None:
        """Return the member called `name`."""
        entry = self._entries.get(name)
        return entry.report.member if entry is not None else None

    def is_alive(self, name: str, incarnation: int) -> bool:
        """Return whether this incarnation of the member reports."""
        member = self.get(name)
        return member is not None and member.incarnation == incarnation

    def statuses(self) -> list[MemberStatus]:
        """Return the latest report of each member with its age."""
        now_ms = self._clock.now_ms()
        return [
            MemberStatus(
                member=entry.report.member,
                manifest_version=entry.report.manifest_version,
                report_age_ms=int(now_ms - entry.received_ms),
                leaving=entry.report.leaving,
                detail=entry.report.detail,
            )
            for _, entry in sorted(self._entries.items())
        ]

    def handle_report(self, report: MemberReport) -> None:
        """Store a report unless a newer incarnation has reported.

        A report without detail keeps the detail of the one before.
        """
        name = report.member.name
        previous = self._entries.get(name)
        if previous and previous.report.member.incarnation > report.member.incarnation:
            return
        same_incarnation = (
            previous and previous.report.member.incarnation == report.member.incarnation
        )
        if same_incarnation and not report.HasField("detail"):
            report.detail.CopyFrom(previous.report.detail)
        self._entries[name] = _Entry(report, self._clock.now_ms())
        if previous is None or previous.report.member != report.member:
            self._notify_listeners(name)

    def expire_members(self) -> list[str]:
        """Drop the members that have not reported in time and return their names."""
        oldest_ms = self._clock.now_ms() - self._timeout_ms
        expired_names = [
            n for n, e in self._entries.items() if e.received_ms < oldest_ms
        ]
        for name in expired_names:
            del self._entries[name]
            self._notify_listeners(name)
        return expired_names

    def _notify_listeners(self, name: str) -> None:
        for listener in list(self._listeners):
            listener(name)
