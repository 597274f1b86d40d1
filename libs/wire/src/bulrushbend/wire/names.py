"""HTTP header names and outcome values shared by callers, routers and agents."""

import enum

HEADER_METHOD = "Bulrushbend-Method"
HEADER_PATH = "Bulrushbend-Path"
HEADER_DEADLINE = "Bulrushbend-Deadline-Ms"
HEADER_TEAM = "Bulrushbend-Team"
HEADER_REQUEST = "Bulrushbend-Request"
HEADER_STATUS = "Bulrushbend-Status"
HEADER_REFUSED = "Bulrushbend-Refused"
HEADER_FAILURE = "Bulrushbend-Failure"
HEADER_OUTCOME = "Bulrushbend-Outcome"
HEADER_IDEMPOTENT = "Bulrushbend-Idempotent"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"

# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Outcome(enum.StrEnum):
    """Outcome of a request, as reported to the caller."""

    ANSWERED = "answered"
    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    RUNNING = "running"
    REFUSED = "refused"


class AttemptState(enum.StrEnum):
    """State of an attempt at the agent."""

    NOT_STARTED = "not-started"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
