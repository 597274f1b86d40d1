"""Outcome of a request for its log line and the metrics."""

from dataclasses import dataclass

from bulrushbend.core.events import EventKind
from bulrushbend.gateway.attempt import AttemptResult, Verdict
from bulrushbend.gateway.call import RequestError

# Status codes which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class RequestOutcome:
    """Outcome of a request.

    Attributes
    ----------
    kind : EventKind
        Kind of the log line.
    status : int
        Status code sent to the caller, 0 if none was sent.
    reason : str
        Why the caller got no complete response of an endpoint, else empty.
    """

    kind: EventKind
    status: int = 0
    reason: str = ""


CALLER_LEFT = RequestOutcome(EventKind.REQUEST_ABANDONED, reason="caller-left")


def outcome_of_result(result: AttemptResult) -> RequestOutcome:
    """Return the outcome of a request by the result of its last attempt."""
    if result.verdict is Verdict.ANSWERED:
        return RequestOutcome(EventKind.REQUEST_ANSWERED, result.status)
    return RequestOutcome(EventKind.REQUEST_FAILED, result.status, result.reason)


def outcome_of_fault(status: int) -> RequestOutcome:
    """Return the outcome of a request that an unexpected error of the gateway ended."""
    return RequestOutcome(EventKind.REQUEST_FAILED, status, "fault")


def outcome_of_error(error: RequestError) -> RequestOutcome:
    """Return the outcome of a request for which the gateway sent an error."""
    if error.status in NOT_RUN_STATUSES:
        kind = EventKind.REQUEST_NOT_RUN
    elif error.status < 500:
        kind = EventKind.REQUEST_REFUSED
    else:
        kind = EventKind.REQUEST_UNKNOWN
    return RequestOutcome(kind, error.status, error.code)
