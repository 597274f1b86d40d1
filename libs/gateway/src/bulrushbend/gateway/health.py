"""Health and speed of endpoints, derived from their responses."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway.endpoints import DiscoveredEndpoint

# Shortest and longest backoff. The shortest applies to a first failure, which may be
# accidental; the longest covers the seconds for which the endpoint list still contains
# a crashed endpoint.
_MIN_BACKOFF_MS = 300.0
_MAX_BACKOFF_MS = 3_000.0
# Enough to reach the longest backoff; a float does not hold thousands of doublings.
_MAX_DOUBLINGS = 10
# Weight of the newest response in the moving average of the slowness.
_SLOWNESS_SMOOTHING = 0.2
_MAX_SLOWNESS = 10.0
# Weight of the newest stream in the moving average of an endpoint's event gap, and the
# fewest gaps of a stream that counts: the lower quartile of fewer is a single gap.
_EVENT_GAP_SMOOTHING = 0.15
_MIN_GAPS = 8
# Ratios to the median event gap below this are treated as noise.
_MIN_GAP_RATIO = 1.1
# At most this fraction of a service's endpoints is avoided at a time; if more fail, the
# fault is more likely on the gateway's side.
_MAX_AVOIDED_SHARE = 0.5
# Event gaps are averages over many streams and change slowly.
_GAP_RATIOS_MS = 100.0

_NONE_AVOIDED: frozenset[str] = frozenset()


@dataclass
class _EndpointRecord:
    failures: int = 0
    avoided_until_ms: float = 0.0
    slowness: float = 1.0
    event_gap_ms: float | None = None


class EndpointHealth:
    """Avoids failing endpoints with exponential backoff, and measures their speed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    events : EventLog
        Records which endpoints are avoided and which recovered.
    """

    def __init__(self, clock: Clock, events: EventLog):
        self._clock = clock
        self._events = events
        self._records: dict[str, _EndpointRecord] = {}
        # Latest end of all backoffs; after it, `usable` needs no per-endpoint check.
        self._avoided_until_ms = float("-inf")
        self._gap_ratios: dict[str, float] = {}
        self._gap_ratios_of: Sequence[DiscoveredEndpoint] | None = None
        self._gap_ratios_until_ms = float("-inf")

    def avoided(self, endpoints: Sequence[DiscoveredEndpoint]) -> frozenset[str]:
        """Return the ids of the endpoints that are avoided now, at most half."""
        usable = self.usable(endpoints)
        if usable is endpoints:
            return _NONE_AVOIDED
        return frozenset(e.id for e in endpoints) - {e.id for e in usable}

    def usable(
        self, endpoints: Sequence[DiscoveredEndpoint]
    ) -> Sequence[DiscoveredEndpoint]:
        """Return the endpoints that are not avoided now, at least half of them."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._avoided_until_ms:
            return endpoints
        healthy = [e for e in endpoints if self._avoided_until(e.id) <= now_ms]
        if len(healthy) >= len(endpoints) * (1 - _MAX_AVOIDED_SHARE):
            return healthy
        needed = -(-len(endpoints) // 2)
        return sorted(endpoints, key=lambda e: self._avoided_until(e.id))[:needed]

    def slowness(self, endpoint: str) -> float:
        """Return the mean actual-to-expected ratio of the time to first event, >= 1."""
        record = self._records.get(endpoint)
        return record.slowness if record else 1.0

    def relative_event_gaps(
        self, endpoints: Sequence[DiscoveredEndpoint]
    ) -> dict[str, float]:
        """Return the event gaps of slow endpoints as ratios to the median gap.

        They are computed again when the list of endpoints changes and after
        `_GAP_RATIOS_MS`.
        """
        now_ms = self._clock.now_ms()
        if endpoints is not self._gap_ratios_of or now_ms >= self._gap_ratios_until_ms:
            self._gap_ratios = self._compute_event_gap_ratios(endpoints)
            self._gap_ratios_of = endpoints
            self._gap_ratios_until_ms = now_ms + _GAP_RATIOS_MS
        return self._gap_ratios

    def _compute_event_gap_ratios(
        self, endpoints: Sequence[DiscoveredEndpoint]
    ) -> dict[str, float]:
        event_gaps = {
            endpoint.id: record.event_gap_ms
            for endpoint in endpoints
            if (record := self._records.get(endpoint.id)) and record.event_gap_ms
        }
        if not event_gaps:
            return {}
        median_ms = statistics.median(event_gaps.values())
        ratios = {
            name: event_gap_ms / median_ms for name, event_gap_ms in event_gaps.items()
        }
        return {n: ratio for n, ratio in ratios.items() if ratio >= _MIN_GAP_RATIO}

    def record_event_gaps(self, endpoint: str, gaps_ms: Sequence[float]) -> None:
        """Record the times between the events of a stream.

        The lower quartile is the event gap of the endpoint while it processes no
        prompt: longer gaps are caused by prefill, some shorter ones by events that
        arrive together.
        """
        if len(gaps_ms) < _MIN_GAPS:
            return
        event_gap_ms = sorted(gaps_ms)[len(gaps_ms) // 4]
        record = self._records.setdefault(endpoint, _EndpointRecord())
        if record.event_gap_ms is None:
            record.event_gap_ms = event_gap_ms
        record.event_gap_ms += _EVENT_GAP_SMOOTHING * (
            event_gap_ms - record.event_gap_ms
        )

    def record_failure(self, endpoint: str, reason: str) -> None:
        """Record a failure of an endpoint and avoid it for its backoff."""
        record = self._records.setdefault(endpoint, _EndpointRecord())
        record.failures += 1
        doublings = min(record.failures - 1, _MAX_DOUBLINGS)
        backoff_ms = min(_MAX_BACKOFF_MS, _MIN_BACKOFF_MS * 2**doublings)
        record.avoided_until_ms = self._clock.now_ms() + backoff_ms
        self._avoided_until_ms = max(self._avoided_until_ms, record.avoided_until_ms)
        self._events.write(
            EventKind.ENDPOINT_AVOIDED,
            endpoint=endpoint,
            reason=reason,
            failures=record.failures,
            pause_ms=backoff_ms,
        )

    def record_crash(self, endpoint: str) -> None:
        """Avoid an endpoint that does not accept connections any more."""
        record = self._records.setdefault(endpoint, _EndpointRecord())
        record.failures += 1
        record.avoided_until_ms = self._clock.now_ms() + _MAX_BACKOFF_MS
        self._avoided_until_ms = max(self._avoided_until_ms, record.avoided_until_ms)

    def record_answer(self, endpoint: str) -> None:
        """Record a complete response, which ends the backoff of the endpoint."""
        record = self._records.get(endpoint)
        if record is not None and record.failures:
            record.failures = 0
            record.avoided_until_ms = 0.0
            self._events.write(EventKind.ENDPOINT_SOUND, endpoint=endpoint)

    def record_first_event(
        self, endpoint: str, elapsed_ms: float, expected_ms: float
    ) -> None:
        """Record the time to the first event and its expected value."""
        record = self._records.setdefault(endpoint, _EndpointRecord())
        ratio = min(_MAX_SLOWNESS, max(1.0, elapsed_ms / max(1.0, expected_ms)))
        record.slowness += _SLOWNESS_SMOOTHING * (ratio - record.slowness)

    def remove(self, endpoint: str) -> None:
        """Remove the record of an endpoint that has ended or restarted."""
        self._records.pop(endpoint, None)

    def _avoided_until(self, endpoint: str) -> float:
        record = self._records.get(endpoint)
        return record.avoided_until_ms if record else 0.0
