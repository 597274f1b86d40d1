"""Health of endpoints as their answers show it."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway.endpoints import FoundEndpoint

# First and longest time without new requests after a failure. The first is short since
# one failure may be chance; a crashed endpoint stays on lists for some seconds.
_MIN_BACKOFF_MS = 300.0
_MAX_BACKOFF_MS = 3_000.0
# Weight of the newest answer in the mean of the slowness.
_SLOWNESS_SMOOTHING = 0.2
_MAX_SLOWNESS = 10.0
# Weight of the newest stream in the mean pace of an endpoint, and the gaps that a
# stream needs to count: its lower quartile is then not a single gap.
_EVENT_GAP_SMOOTHING = 0.15
_MIN_GAPS = 8
# A pace that differs less from the others is taken for noise.
_MIN_GAP_RATIO = 1.1
# At most this share of the endpoints of a service is avoided at one time; beyond it the
# fault is more likely on this side.
_MAX_AVOIDED_SHARE = 0.5


@dataclass
class _EndpointRecord:
    failures: int = 0
    avoided_until_ms: float = 0.0
    slowness: float = 1.0
    event_gap_ms: float | None = None


class EndpointHealth:
    """Avoids endpoints that fail, for a growing time, and learns which are slow.

    Parameters
    ----------
    clock : Clock
        Source of time.
    events : EventLog
        Receives changes of belief.
    """

    def __init__(self, clock: Clock, events: EventLog):
        self._clock = clock
        self._events = events
        self._records: dict[str, _EndpointRecord] = {}
        # No endpoint is avoided beyond this time.
        self._avoided_until_ms = float("-inf")

    def usable(self, endpoints: Sequence[FoundEndpoint]) -> Sequence[FoundEndpoint]:
        """Return the endpoints that are not avoided now."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._avoided_until_ms:
            return endpoints
        healthy = [e for e in endpoints if self._avoided_until(e.id) <= now_ms]
        if len(healthy) >= len(endpoints) * (1 - _MAX_AVOIDED_SHARE):
            return healthy
        needed = -(-len(endpoints) // 2)
        return sorted(endpoints, key=lambda e: self._avoided_until(e.id))[:needed]

    def slowness(self, endpoint: str) -> float:
        """Return how much longer than expected the endpoint takes, at least 1."""
        record = self._records.get(endpoint)
        return record.slowness if record else 1.0

    def relative_event_gaps(
        self, endpoints: Sequence[FoundEndpoint]
    ) -> dict[str, float]:
        """Return how much slower endpoints make events than the median of them."""
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

    def record_stream(self, endpoint: str, gaps_ms: Sequence[float]) -> None:
        """Note the times between the events of a stream.

        The lower quartile is the pace of the endpoint while it reads no prompt: longer
        gaps come from reading, some shorter ones from events that arrive together.
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

    def failed(self, endpoint: str, reason: str) -> None:
        """Avoid an endpoint that did not answer as it should."""
        record = self._records.setdefault(endpoint, _EndpointRecord())
        record.failures += 1
        pause_ms = min(_MAX_BACKOFF_MS, _MIN_BACKOFF_MS * 2 ** (record.failures - 1))
        record.avoided_until_ms = self._clock.now_ms() + pause_ms
        self._avoided_until_ms = max(self._avoided_until_ms, record.avoided_until_ms)
        self._events.write(
            EventKind.ENDPOINT_AVOIDED,
            endpoint=endpoint,
            reason=reason,
            failures=record.failures,
            pause_ms=pause_ms,
        )

    def answered(self, endpoint: str) -> None:
        """Note a sound answer."""
        record = self._records.get(endpoint)
        if record is not None and record.failures:
            record.failures = 0
            record.avoided_until_ms = 0.0
            self._events.write(EventKind.ENDPOINT_SOUND, endpoint=endpoint)

    def record_first_event(
        self, endpoint: str, elapsed_ms: float, expected_ms: float
    ) -> None:
        """Note how long the first event took against what was expected."""
        record = self._records.setdefault(endpoint, _EndpointRecord())
        ratio = min(_MAX_SLOWNESS, max(1.0, elapsed_ms / max(1.0, expected_ms)))
        record.slowness += _SLOWNESS_SMOOTHING * (ratio - record.slowness)

    def remove(self, endpoint: str) -> None:
        """Drop the record of an endpoint that has ended or started anew."""
        self._records.pop(endpoint, None)

    def _avoided_until(self, endpoint: str) -> float:
        record = self._records.get(endpoint)
        return record.avoided_until_ms if record else 0.0
