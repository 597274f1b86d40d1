"""Prometheus metrics of the router."""

from prometheus_client import Counter, Gauge, Histogram

REQUESTS = Counter(
    "bulrushbend_router_requests", "Requests ended, by outcome.", ["service", "outcome"]
)
WAITING = Gauge("bulrushbend_router_waiting", "Requests that wait or are being read.")
RUNNING = Gauge("bulrushbend_router_running", "Requests in progress at agents.")
WAIT_SECONDS = Histogram(
    "bulrushbend_router_wait_seconds",
    "Time from admission to claim.",
    buckets=(0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 60),
)
CLAIMS = Counter("bulrushbend_router_claims", "Claims received, by result.", ["result"])
RETRIES = Counter(
    "bulrushbend_router_retries", "Requests sent again, by reason.", ["reason"]
)
RESUMES = Counter(
    "bulrushbend_router_resumes", "Answers continued on a new connection."
)
TRUNCATED = Counter("bulrushbend_router_truncated", "Answers broken off at the caller.")
LINKS = Gauge("bulrushbend_router_links", "Links that are up.")
LINK_BYTES = Counter(
    "bulrushbend_router_link_bytes", "Bytes of link messages.", ["direction"]
)
