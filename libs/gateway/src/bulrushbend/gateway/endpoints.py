"""Endpoints discovered through a source other than the manifest."""

import random
import traceback
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import PeerError
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.logs import get_logger

_log = get_logger("gateway.endpoints")

# Share of the source's rate limit that all gateways use together. The rest is left for
# the pages of long lists and for processes that have just started.
_RATE_SHARE = 0.5
# Ranks above this read the list as late as this one, so that its age stays bounded.
_MAX_RANK = 4
# Shorter sleeps may end before the list has reached the age that is waited for.
_MIN_SLEEP_MS = 1.0

# Ids named in one line of the log.
_MAX_LOGGED_IDS = 20

_Change = TypeVar("_Change")


@dataclass(frozen=True)
class DiscoveredEndpoint:
    """Endpoint in the list of the source.

    Attributes
    ----------
    id : str
        Identity of the endpoint; its address may be reused by another one.
    service, address, data_centre : str
        Service, address and location of the endpoint.
    slots : int
        Maximum number of concurrent requests.
    is_leaving : bool
        Whether the endpoint accepts no new requests.
    started_ms : int or None
        Wall-clock time of its start, if known. A restart empties its prefix cache.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    started_ms: int | None = None


class EndpointSource(Protocol):
    """Source of the list of all endpoints."""

    @property
    def rate_per_s(self) -> float:
        """Calls per second that the source accepts from all gateways together."""
        ...

    async def fetch(self) -> tuple[Sequence[DiscoveredEndpoint], int]:
        """Return all endpoints and the number of calls made to list them.

        Raises
        ------
        PeerError
            The complete list could not be read.
        """
        ...


class EndpointDirectory:
    """Latest list of the source; when the source fails, the last list is kept.

    A gateway reads the list when it is older than the interval of the gateway's rank.
    A list that another gateway has read counts like one of its own, so as long as the
    gateway that is ranked first passes its list on, no other one calls the source.

    Parameters
    ----------
    source : EndpointSource
        Source of the list.
    clock : Clock
        Source of time.
    events : EventLog
        Receives changes of the list.
    poll_ms : float
        Minimum time between two polls in milliseconds.
    reader_count : callable
        Returns the number of gateways that share the rate limit of the source.
    """

    def __init__(
        self,
        source: EndpointSource,
        clock: Clock,
        events: EventLog,
        poll_ms: float,
        reader_count: Callable[[], int],
    ):
        self._source = source
        self._clock = clock
        self._events = events
        self._poll_ms = poll_ms
        self._reader_count = reader_count
        self._rank = 0
        self._by_id: dict[str, DiscoveredEndpoint] = {}
        self._by_service: dict[str, list[DiscoveredEndpoint]] = {}
        self._listeners: list[Callable[[set[str]], None]] = []
        self._read_listeners: list[Callable[[Sequence[DiscoveredEndpoint]], None]] = []
        # Times of the clock that also runs while the machine is suspended: a list that
        # was read before is old afterwards.
        self._read_ms: float | None = None
        self._has_failed = False
        # Ids with more than one entry in the current list.
        self._repeated: set[str] = set()

    @property
    def has_list(self) -> bool:
        """Whether a list has been read."""
        return self._read_ms is not None

    @property
    def age_ms(self) -> float:
        """Time since the read of the list was started, in milliseconds."""
        if self._read_ms is None:
            return float("inf")
        return self._clock.boot_ms() - self._read_ms

    @property
    def endpoints(self) -> Sequence[DiscoveredEndpoint]:
        """All endpoints of the list, including those that are leaving."""
        return tuple(self._by_id.values())

    def add_listener(self, listener: Callable[[set[str]], None]) -> None:
        """Call `listener` after each change of the list.

        Its argument is the set of ids of endpoints that are gone or were restarted.
        """
        self._listeners.append(listener)

    def add_read_listener(
        self, listener: Callable[[Sequence[DiscoveredEndpoint]], None]
    ) -> None:
        """Call `listener` with each list that this gateway reads from the source."""
        self._read_listeners.append(listener)

    def set_rank(self, rank: int) -> None:
        """Set the rank of this gateway among those that share their lists."""
        self._rank = min(rank, _MAX_RANK)

    def of_service(self, service: str) -> Sequence[DiscoveredEndpoint]:
        """Return the endpoints of a service that accept new requests."""
        return self._by_service.get(service, ())

    def get(self, endpoint_id: str) -> DiscoveredEndpoint | None:
        """Return the endpoint with this id, None if it is not in the list."""
        return self._by_id.get(endpoint_id)

    def is_newer(self, age_ms: float) -> bool:
        """Return whether a list of this age is newer than the current one."""
        return age_ms < self.age_ms

    def confirm(self, age_ms: float) -> None:
        """Record that the current list was unchanged at a read of this age."""
        if self.is_newer(age_ms):
            self._read_ms = self._clock.boot_ms() - age_ms

    def adopt(self, found: Sequence[DiscoveredEndpoint], age_ms: float) -> bool:
        """Replace the list by one that another gateway has read.

        Parameters
        ----------
        found : sequence of DiscoveredEndpoint
            All endpoints of the list.
        age_ms : float
            Time since the read was started.

        Returns
        -------
        bool
            Whether the list is newer than the current one and was adopted.
        """
        if not self.is_newer(age_ms):
            return False
        self._update_list(found, self._clock.boot_ms() - age_ms)
        return True

    async def run(self) -> None:
        """Read the list whenever it is too old, until cancelled."""
        calls = 1
        while True:
            started_ms = self._clock.boot_ms()
            try:
                found, calls = await self._source.fetch()
            except PeerError as error:
                self._record_failure(str(error))
            except Exception as error:
                _log.error(
                    "the list of endpoints cannot be read: unexpected error: %r\n%s",
                    error,
                    traceback.format_exc(),
                )
                self._record_failure(repr(error))
            else:
                self._update_list(found, started_ms)
                _notify(self._read_listeners, found)
            delay_ms = self._poll_delay_ms(calls) * (1 + self._rank)
            await self._clock.sleep_ms(delay_ms)
            while (left_ms := self._max_age_ms(calls) - self.age_ms) > 0:
                await self._clock.sleep_ms(max(_MIN_SLEEP_MS, left_ms))

    def _poll_delay_ms(self, calls: int) -> float:
        return self._min_interval_ms(calls) * random.uniform(0.9, 1.1)

    def _max_age_ms(self, calls: int) -> float:
        """Return the age above which this gateway reads the list."""
        if self._rank == 0:
            return 0.0
        return self._min_interval_ms(calls) * (1 + self._rank)

    def _min_interval_ms(self, calls: int) -> float:
        rate = max(1.0, self._source.rate_per_s * _RATE_SHARE)
        return max(self._poll_ms, 1000.0 * self._reader_count() * calls / rate)

    def _record_failure(self, reason: str) -> None:
        if not self._has_failed:
            self._has_failed = True
            _log.warning(
                "the list of endpoints cannot be read: %s; keeping the previous one",
                reason,
            )
            self._events.write(
                EventKind.LINK_DOWN,
                peer="endpoint-source",
                reason=reason,
                age_ms=round(self.age_ms) if self.has_list else None,
            )

    def _update_list(self, found: Sequence[DiscoveredEndpoint], read_ms: float) -> None:
        if self._has_failed or self._read_ms is None:
            self._has_failed = False
            self._events.write(EventKind.LINK_UP, peer="endpoint-source")
        self._read_ms = read_ms
        by_id = self._index(found)
        if by_id == self._by_id:
            return
        ended = {
            name
            for name, known in self._by_id.items()
            if name not in by_id or by_id[name].started_ms != known.started_ms
        }
        self._write_changes(by_id)
        self._by_id = by_id
        self._by_service = {}
        for endpoint in by_id.values():
            if not endpoint.is_leaving:
                self._by_service.setdefault(endpoint.service, []).append(endpoint)
        _notify(self._listeners, ended)

    def _index(
        self, found: Sequence[DiscoveredEndpoint]
    ) -> dict[str, DiscoveredEndpoint]:
        """Return the endpoints by id; of several with one id, the newest is used."""
        by_id: dict[str, DiscoveredEndpoint] = {}
        repeated = set()
        for endpoint in found:
            known = by_id.setdefault(endpoint.id, endpoint)
            if endpoint != known:
                repeated.add(endpoint.id)
                by_id[endpoint.id] = max(known, endpoint, key=_recency)
        new = sorted(repeated - self._repeated)
        if new:
            _log.warning(
                "%d ids are new in the list of endpoints with more than one entry: "
                "%s; using the entry of the last start, or the first that is ready",
                len(new),
                new[:_MAX_LOGGED_IDS],
            )
        self._repeated = repeated
        return by_id

    def _write_changes(self, by_id: dict[str, DiscoveredEndpoint]) -> None:
        for name in by_id.keys() - self._by_id.keys():
            endpoint = by_id[name]
            self._events.write(
                EventKind.ENDPOINT_FOUND,
                endpoint=name,
                service=endpoint.service,
                peer=endpoint.address,
            )
        for name in self._by_id.keys() - by_id.keys():
            self._events.write(EventKind.ENDPOINT_GONE, endpoint=name)
        for name, endpoint in by_id.items():
            known = self._by_id.get(name)
            if endpoint.is_leaving and not (known and known.is_leaving):
                self._events.write(EventKind.ENDPOINT_LEAVING, endpoint=name)


def _recency(endpoint: DiscoveredEndpoint) -> tuple[int, bool]:
    started_ms = -1 if endpoint.started_ms is None else endpoint.started_ms
    return started_ms, not endpoint.is_leaving


def _notify(listeners: Sequence[Callable[[_Change], None]], change: _Change) -> None:
    """Call all listeners; an error in one affects neither the others nor the list."""
    for listener in listeners:
        try:
            listener(change)
        except Exception as error:
            _log.error(
                "a listener of the list of endpoints failed with unexpected error: "
                "%r\n%s",
                error,
                traceback.format_exc(),
            )
