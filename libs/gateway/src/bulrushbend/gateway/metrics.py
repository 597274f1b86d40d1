"""Metrics of the gateway."""

from prometheus_client import Counter, Gauge, Histogram

REQUESTS = Counter(
    "bulrushbend_gateway_requests_total",
    "Requests by service, status and reason of the gateway's own answers.",
    ["service", "status", "reason"],
)
LATENCY = Histogram(
    "bulrushbend_gateway_answer_seconds",
    "Time from the arrival of a request to its end.",
    ["service"],
)
RETRIES = Counter(
    "bulrushbend_gateway_retries_total", "Further tries of requests.", ["service"]
)
WAITING = Gauge("bulrushbend_gateway_waiting", "Requests that wait for an endpoint.")
RUNNING = Gauge("bulrushbend_gateway_running", "Requests in progress.")
CONNECTIONS = Gauge("bulrushbend_gateway_connections", "Open connections of callers.")
CRASHES = Counter(
    "bulrushbend_gateway_endpoint_crashes_total",
    "Crashes of endpoints that this gateway observed.",
)
LEAVING = Counter(
    "bulrushbend_gateway_leaving_endpoints_total",
    "Endpoints that stated that they are leaving, to this or another gateway.",
)
PAUSES = Counter(
    "bulrushbend_gateway_endpoint_pauses_total",
    "Pauses that endpoints asked this gateway for.",
)
LIMITED = Gauge(
    "bulrushbend_gateway_limited_endpoints",
    "Endpoints that limit the rate of requests from all gateways.",
)
QUARANTINED = Gauge(
    "bulrushbend_gateway_quarantined_prompts",
    "Prompt parts that crash endpoints and are refused.",
)
QUARANTINED_REQUESTS = Gauge(
    "bulrushbend_gateway_quarantined_requests",
    "Requests that crash endpoints and are refused.",
)
LOOP_DELAY = Gauge(
    "bulrushbend_gateway_loop_delay_seconds",
    "Mean delay with which tasks of the process run.",
)
DROPPED_LINES = Counter(
    "bulrushbend_log_lines_dropped_total", "Log lines over the bound on their rate."
)
