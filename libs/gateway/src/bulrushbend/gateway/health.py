"""Health of endpoints as their answers show it."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway.endpoints import DiscoveredEndpoint

# First and longest time without new requests after a failure. The first is short since
# one failure may be chance; a crashed endpoint stays on lists for some seconds.
_FIRST_PAUSE_MS = 300.0
_LONGEST_PAUSE_MS = 3_000.0
# Weight of the newest answer in the mean of the slowness.
_SLOWNESS_GAIN = 0.2
_SLOWEST = 10.0
# Weight of the newest stream in the mean pace of an endpoint, and the gaps that a
# stream needs to count: its lower quartile is then not a single gap.
_PACE_GAIN = 0.15
_LEAST_GAPS = 8
# A pace that differs less from the others is taken for noise.
_LEAST_DIFFERENCE = 1.1
# At most this share of the endpoints of a service is avoided at one time; beyond it the
# fault is more likely on this side.
_MOST_AVOIDED = 0.5


@dataclass
class _Record:
    failures: int = 0
    avoided_until_ms: float = 0.0
    slowness: float = 1.0
    pace_ms: float | None = None


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
        self._records: dict[str, _Record] = {}
        # No endpoint is avoided beyond this time.
        self._avoided_until_ms = float("-inf")

    def usable(
        self, endpoints: Sequence[DiscoveredEndpoint]
    ) -> Sequence[DiscoveredEndpoint]:
        """Return the endpoints that are not avoided now."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._avoided_until_ms:
            return endpoints
        sound = [e for e in endpoints if self._avoided_until(e.id) <= now_ms]
        if len(sound) >= len(endpoints) * (1 - _MOST_AVOIDED):
            return sound
        needed = -(-len(endpoints) // 2)
        return sorted(endpoints, key=lambda e: self._avoided_until(e.id))[:needed]

    def slowness(self, endpoint: str) -> float:
        """Return how much longer than expected the endpoint takes, at least 1."""
        record = self._records.get(endpoint)
        return record.slowness if record else 1.0

    def relative_pace(
        self, endpoints: Sequence[DiscoveredEndpoint]
    ) -> dict[str, float]:
        """Return how much slower endpoints make events than the median of them."""
        paces = {
            endpoint.id: record.pace_ms
            for endpoint in endpoints
            if (record := self._records.get(endpoint.id)) and record.pace_ms
        }
        if not paces:
            return {}
        median_ms = statistics.median(paces.values())
        ratios = {name: pace_ms / median_ms for name, pace_ms in paces.items()}
        return {n: ratio for n, ratio in ratios.items() if ratio >= _LEAST_DIFFERENCE}

    def streamed(self, endpoint: str, gaps_ms: Sequence[float]) -> None:
        """Note the times between the events of a stream.

        The lower quartile is the pace of the endpoint while it reads no prompt: longer
        gaps come from reading, some shorter ones from events that arrive together.
        """
        if len(gaps_ms) < _LEAST_GAPS:
            return
        pace_ms = sorted(gaps_ms)[len(gaps_ms) // 4]
        record = self._records.setdefault(endpoint, _Record())
        if record.pace_ms is None:
            record.pace_ms = pace_ms
        record.pace_ms += _PACE_GAIN * (pace_ms - record.pace_ms)

    def failed(self, endpoint: str, reason: str) -> None:
        """Avoid an endpoint that did not answer as it should."""
        record = self._records.setdefault(endpoint, _Record())
        record.failures += 1
        pause_ms = min(_LONGEST_PAUSE_MS, _FIRST_PAUSE_MS * 2 ** (record.failures - 1))
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

    def took(self, endpoint: str, taken_ms: float, expected_ms: float) -> None:
        """Note how long the first event took against what was expected."""
        record = self._records.setdefault(endpoint, _Record())
        ratio = min(_SLOWEST, max(1.0, taken_ms / max(1.0, expected_ms)))
        record.slowness += _SLOWNESS_GAIN * (ratio - record.slowness)

    def forget(self, endpoint: str) -> None:
        """Drop the record of an endpoint that has ended or started anew."""
        self._records.pop(endpoint, None)

    def _avoided_until(self, endpoint: str) -> float:
        record = self._records.get(endpoint)
        return record.avoided_until_ms if record else 0.0
