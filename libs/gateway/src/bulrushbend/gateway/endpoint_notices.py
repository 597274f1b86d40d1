"""What endpoints state about themselves in their responses."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway import metrics
from bulrushbend.gateway.endpoints import DiscoveredEndpoint

# Time for which the notice of an endpoint is kept that is no longer listed, or whose
# start is unknown, so that a restart under the same id would not be noticed.
_RETENTION_MS = 600_000.0
# Five times the endpoints of the design size.
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
    """

    started_ms: int | None
    confirmed_ms: float


class EndpointNotices:
    """Endpoints that stated in a response that they are leaving.

    The notice of an endpoint holds for one incarnation. The endpoint list may contain a
    leaving endpoint as ready for long.

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
        self._find_listed = find_listed
        self._leaving: dict[str, _Notice] = {}
        self._leaving_ids = _NONE

    @property
    def leaving(self) -> frozenset[str]:
        """Ids of the listed endpoints that are leaving."""
        return self._leaving_ids

    def may_send(self, endpoint: DiscoveredEndpoint) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        notice = self._leaving.get(endpoint.id)
        return notice is None or _is_later(endpoint.started_ms, notice.started_ms)

    def has_usable(self, endpoints: Sequence[DiscoveredEndpoint]) -> bool:
        """Return whether a request may be sent to one of these endpoints now."""
        return any(endpoint.id not in self._leaving_ids for endpoint in endpoints)

    def record_leaving(self, endpoint: DiscoveredEndpoint, source: str) -> bool:
        """Record that an endpoint is leaving, and return whether this is new.

        Parameters
        ----------
        endpoint : DiscoveredEndpoint
            The endpoint.
        source : str
            How it is known, for the event log.
        """
        listed = self._find_listed(endpoint.id)
        if listed is not None and _is_later(listed.started_ms, endpoint.started_ms):
            return False
        notice = self._leaving.get(endpoint.id)
        now_ms = self._clock.now_ms()
        if notice is not None and not _is_later(endpoint.started_ms, notice.started_ms):
            notice.confirmed_ms = now_ms
            return False
        self._leaving[endpoint.id] = _Notice(endpoint.started_ms, now_ms)
        while len(self._leaving) > _MAX_NOTICES:
            del self._leaving[next(iter(self._leaving))]
        self._update_ids()
        metrics.LEAVING.inc()
        self._events.write(
            EventKind.ENDPOINT_LEAVING, endpoint=endpoint.id, reason=source
        )
        return True

    def update(self) -> None:
        """Apply a change of the endpoint list."""
        now_ms = self._clock.now_ms()
        kept: dict[str, _Notice] = {}
        for name, notice in self._leaving.items():
            listed = self._find_listed(name)
            if listed is not None and _is_later(listed.started_ms, notice.started_ms):
                continue
            if listed is not None and notice.started_ms is not None:
                notice.confirmed_ms = now_ms
            if now_ms - notice.confirmed_ms < _RETENTION_MS:
                kept[name] = notice
        self._leaving = kept
        self._update_ids()

    def _update_ids(self) -> None:
        self._leaving_ids = frozenset(
            name for name in self._leaving if self._find_listed(name) is not None
        )


def _is_later(started_ms: int | None, than_ms: int | None) -> bool:
    """Return whether an endpoint is known to have started later than another one."""
    return started_ms is not None and than_ms is not None and started_ms > than_ms
