"""Names of HTTP headers and outcomes between callers, routers and agents."""

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

# Headers that concern one connection only (RFC 9110, section 7.6.1).
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
    """What became of a request."""

    ANSWERED = "answered"
    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    RUNNING = "running"
    REFUSED = "refused"


class AttemptState(enum.StrEnum):
    """State of an attempt at its agent."""

    NOT_STARTED = "not-started"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
