"""Unreplicated membership: the routers and agents that report to this replica."""

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
    """Latest report of each member; a newer incarnation replaces an older one.

    Parameters
    ----------
    clock : Clock
        Source of time.
    timeout_ms : float
        A member expires when it has not reported for this long.
    """

    def __init__(self, clock: Clock, timeout_ms: float):
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._entries: dict[str, _Entry] = {}
        self._listeners: set[MemberListener] = set()
        self._started_ms = clock.now_ms()

    @property
    def startup_grace_elapsed(self) -> bool:
        """Whether all live members have had time to report since the start."""
        return self._clock.now_ms() - self._started_ms >= self._timeout_ms

    def __len__(self) -> int:
        return len(self._entries)

    def add_listener(self, listener: MemberListener) -> Callable[[], None]:
        """Call `listener` with the name of each member that joins, changes or expires.

        Returns
        -------
        callable
            Removes the listener.
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
        """Return whether this incarnation of the member has not expired."""
        member = self.get(name)
        return member is not None and member.incarnation == incarnation

    def statuses(self) -> list[MemberStatus]:
        """Return the latest report of each member and the age of that report."""
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
        """Record a report unless a newer incarnation has reported.

        A report without detail keeps the last detail of the same incarnation.
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
        """Remove the members that have not reported in time and return their names."""
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
