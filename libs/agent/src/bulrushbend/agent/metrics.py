"""Prometheus metrics of the agent."""

from prometheus_client import Counter, Gauge, Histogram

from bulrushbend.wire.fleet_pb2 import SlotReport

SLOT_LIMIT = Gauge("bulrushbend_agent_slot_limit", "Slots offered.")
SLOTS_IN_USE = Gauge("bulrushbend_agent_slots_in_use", "Slots claimed or running.")
# Gauges that only increase, because `SlotAccount` computes the totals.
SLOT_USABLE_MS = Gauge("bulrushbend_agent_slot_usable_ms", "Slot time offered.")
SLOT_BUSY_MS = Gauge("bulrushbend_agent_slot_busy_ms", "Slot time used.")
SLOT_IDLE_WAITING_MS = Gauge(
    "bulrushbend_agent_slot_idle_while_waiting_ms",
    "Slot time not used while a linked router advertised work.",
)
LEAVING = Gauge("bulrushbend_agent_leaving", "1 while the endpoint is leaving.")
ENDPOINT_UP = Gauge("bulrushbend_agent_endpoint_up", "0 while the endpoint refuses.")
LINKS = Gauge("bulrushbend_agent_links", "Linked routers.")
CLAIMS = Counter("bulrushbend_agent_claims", "Claims by outcome.", ["outcome"])
CLAIM_LATENCY = Histogram(
    "bulrushbend_agent_claim_seconds",
    "Time from a claim to its request.",
    buckets=(0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0),
)
ATTEMPTS = Counter("bulrushbend_agent_attempts", "Attempts by outcome.", ["outcome"])
REFUSED = Counter("bulrushbend_agent_refused", "Requests refused before their start.")
REPLAYS = Counter("bulrushbend_agent_replays", "Answers continued on a new connection.")
RESUMES = Counter("bulrushbend_agent_resumes", "Streams resumed at the endpoint.")
REPLAY_BYTES = Gauge("bulrushbend_agent_replay_bytes", "Bytes held of ended answers.")


def publish_slots(report: SlotReport) -> None:
    """Set the slot metrics from `report`."""
    SLOT_LIMIT.set(report.limit)
    SLOTS_IN_USE.set(report.in_use)
    SLOT_USABLE_MS.set(report.usable_ms)
    SLOT_BUSY_MS.set(report.busy_ms)
    SLOT_IDLE_WAITING_MS.set(report.idle_while_waiting_ms)
    LEAVING.set(report.leaving)
