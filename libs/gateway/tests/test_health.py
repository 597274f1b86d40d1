"""Tests of the endpoints that are avoided."""

from gateway_builders import make_endpoint

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.gateway.health import EndpointHealth


async def test_endpoint_that_fails_for_long_is_avoided_for_the_longest_backoff():
    # Guards against requests that fail since an endpoint has failed a thousand times.
    clock = ManualClock()
    health = EndpointHealth(clock, MemoryEventLog())
    endpoints = [make_endpoint("e1"), make_endpoint("e2")]
    for _ in range(1_100):
        health.record_failure("e1", "the test")
    assert health.avoided(endpoints) == {"e1"}
    await clock.advance(3_000.0)
    assert health.avoided(endpoints) == frozenset()
