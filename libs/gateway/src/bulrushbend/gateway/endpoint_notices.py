"""What endpoints state about themselves in their responses."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway import metrics
from bulrushbend.gateway.endpoints import DiscoveredEndpoint

# Time for which the notice of an endpoint is kept that is no longer listed, or whose
# start is unknown, so that a restart under the same id would not be noticed.
_RETENTION_MS = 600_000.0
# Notices of each kind; five times the endpoints of the design size.
_MAX_NOTICES = 4_096

_NONE: frozenset[str] = frozenset()

EndpointLookup = Callable[[str], DiscoveredEndpoint | None]


@dataclass
class _Notice:
    """Statement of one incarnation of an endpoint.

    Attributes
    ----------
    started_ms : int or None
        Start of the incarnation, if known.
    confirmed_ms : float
        Time of the newest statement, or of the newest list with the endpoint.
    until_ms : float
        Time until which the statement holds.
    """

    started_ms: int | None
    confirmed_ms: float
    until_ms: float = math.inf


class _NoticeTable:
    """Notices of one kind, at most one for each endpoint id."""

    def __init__(self, find_listed: EndpointLookup):
        self._find_listed = find_listed
        self._notices: dict[str, _Notice] = {}
        self._in_force = _NONE
        # Earliest end of the notices in force.
        self._next_end_ms = math.inf

    def __len__(self) -> int:
        return len(self._notices)

    def in_force(self, now_ms: float) -> frozenset[str]:
        """Return the ids of the listed endpoints whose notices hold now."""
        if now_ms >= self._next_end_ms:
            self._update_in_force(now_ms)
        return self._in_force

    def holds_for(self, endpoint: DiscoveredEndpoint, now_ms: float) -> bool:
        """Return whether the notice of an incarnation holds now."""
        return now_ms < self.until_ms(endpoint)

    def until_ms(self, endpoint: DiscoveredEndpoint) -> float:
        """Return the end of the notice of an incarnation, -inf if it has none."""
        notice = self._notices.get(endpoint.id)
        if notice is None or _is_later(endpoint.started_ms, notice.started_ms):
            return -math.inf
        return notice.until_ms

    def end_ms(self, name: str) -> float:
        """Return the end of the notice in force of the endpoint with an id."""
        return self._notices[name].until_ms

    def record(
        self, endpoint: DiscoveredEndpoint, now_ms: float, until_ms: float = math.inf
    ) -> bool:
        """Record a statement and return whether it prolongs the notice.

        A statement of an incarnation earlier than the listed one has no effect.
        """
        listed = self._find_listed(endpoint.id)
        if listed is not None and _is_later(listed.started_ms, endpoint.started_ms):
            return False
        if until_ms <= self.until_ms(endpoint):
            self._notices[endpoint.id].confirmed_ms = now_ms
            return False
        self._notices.pop(endpoint.id, None)
        self._notices[endpoint.id] = _Notice(endpoint.started_ms, now_ms, until_ms)
        while len(self._notices) > _MAX_NOTICES:
            del self._notices[next(iter(self._notices))]
        self._update_in_force(now_ms)
        return True

    def update(self, now_ms: float) -> None:
        """Apply a change of the endpoint list."""
        kept: dict[str, _Notice] = {}
        for name, notice in self._notices.items():
            listed = self._find_listed(name)
            if listed is not None and _is_later(listed.started_ms, notice.started_ms):
                continue
            if listed is not None and notice.started_ms is not None:
                notice.confirmed_ms = now_ms
            is_retained = now_ms - notice.confirmed_ms < _RETENTION_MS
            if is_retained and now_ms < notice.until_ms:
                kept[name] = notice
        self._notices = kept
        self._update_in_force(now_ms)

    def _update_in_force(self, now_ms: float) -> None:
        until_ms_by_id = {
            name: notice.until_ms
            for name, notice in self._notices.items()
            if now_ms < notice.until_ms and self._find_listed(name) is not None
        }
        self._in_force = frozenset(until_ms_by_id)
        self._next_end_ms = min(until_ms_by_id.values(), default=math.inf)


class EndpointNotices:
    """Endpoints that stated in a response that they want no requests.

    An endpoint that is leaving wants none of any gateway; the endpoint list may contain
    it as ready for long. One that asked for a pause wants none of this gateway until
    the pause ends. Both hold for one incarnation of the endpoint.

    Parameters
    ----------
    clock : Clock
        Source of time.
    events : EventLog
        Records new notices.
    find_listed : callable
        Returns the endpoint with an id from the endpoint list, None if it is not there.
    """

    def __init__(self, clock: Clock, events: EventLog, find_listed: EndpointLookup):
        self._clock = clock
        self._events = events
        self._leaving = _NoticeTable(find_listed)
        self._paused = _NoticeTable(find_listed)

    @property
    def size(self) -> int:
        """Number of notices that are kept."""
        return len(self._leaving) + len(self._paused)

    @property
    def leaving(self) -> frozenset[str]:
        """Ids of the listed endpoints that are leaving."""
        return self._leaving.in_force(self._clock.now_ms())

    @property
    def paused(self) -> frozenset[str]:
        """Ids of the listed endpoints that want no requests of this gateway now."""
        return self._paused.in_force(self._clock.now_ms())

    def pauses(self) -> dict[str, float]:
        """Return the ends of the pauses in force by endpoint id."""
        return {name: self._paused.end_ms(name) for name in self.paused}

    def excluded(self, requester: str) -> frozenset[str]:
        """Return the ids of the endpoints that want no requests of a gateway.

        Parameters
        ----------
        requester : str
            Name of another gateway, empty for this one.
        """
        return self.leaving if requester else self.leaving | self.paused

    def may_send(self, endpoint: DiscoveredEndpoint) -> bool:
        """Return whether this gateway may send a request to an endpoint now."""
        now_ms = self._clock.now_ms()
        return not (
            self._leaving.holds_for(endpoint, now_ms)
            or self._paused.holds_for(endpoint, now_ms)
        )

    def has_usable(
        self, endpoints: Sequence[DiscoveredEndpoint], requester: str = ""
    ) -> bool:
        """Return whether some of these endpoints want requests of a gateway now."""
        excluded = self.excluded(requester)
        return any(endpoint.id not in excluded for endpoint in endpoints)

    def pause_left_ms(self, endpoints: Sequence[DiscoveredEndpoint]) -> float | None:
        """Return the time until the first pause of these endpoints ends.

        None if all of them are leaving. At least one of them is usable after that time.
        """
        leaving = self.leaving
        ends_ms = [
            self._paused.until_ms(endpoint)
            for endpoint in endpoints
            if endpoint.id not in leaving
        ]
        if not ends_ms:
            return None
        return max(0.0, min(ends_ms) - self._clock.now_ms())

    def record_leaving(self, endpoint: DiscoveredEndpoint, source: str) -> bool:
        """Record that an endpoint is leaving, and return whether this is new.

        Parameters
        ----------
        endpoint : DiscoveredEndpoint
            The endpoint.
        source : str
            How it is known, for the event log.
        """
        is_new = self._leaving.record(endpoint, self._clock.now_ms())
        if is_new:
            metrics.LEAVING.inc()
            self._events.write(
                EventKind.ENDPOINT_LEAVING, endpoint=endpoint.id, reason=source
            )
        return is_new

    def record_pause(self, endpoint: DiscoveredEndpoint, pause_ms: float) -> None:
        """Record that an endpoint wants no requests of this gateway from now on.

        A pause that ends earlier than the one in force has no effect.

        Parameters
        ----------
        endpoint : DiscoveredEndpoint
            The endpoint.
        pause_ms : float
            Duration in milliseconds.
        """
        now_ms = self._clock.now_ms()
        if pause_ms <= 0.0 or not self._paused.record(
            endpoint, now_ms, now_ms + pause_ms
        ):
            return
        metrics.PAUSES.inc()
        self._events.write(
            EventKind.ENDPOINT_PAUSED, endpoint=endpoint.id, pause_ms=round(pause_ms)
        )

    def update(self) -> None:
        """Apply a change of the endpoint list."""
        now_ms = self._clock.now_ms()
        self._leaving.update(now_ms)
        self._paused.update(now_ms)


def _is_later(started_ms: int | None, than_ms: int | None) -> bool:
    """Return whether an endpoint is known to have started later than another one."""
    return started_ms is not None and than_ms is not None and started_ms > than_ms
