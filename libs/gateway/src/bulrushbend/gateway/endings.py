"""How a request ended, for its log line and the metrics."""

from dataclasses import dataclass

from bulrushbend.core.events import EventKind
from bulrushbend.gateway.attempt import AttemptResult, Verdict
from bulrushbend.gateway.call import RequestError

# Status codes that promise that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class Ending:
    """End of a request.

    Attributes
    ----------
    kind : EventKind
        Kind of the log line.
    status : int
        Status that the caller got, 0 if it got none.
    reason : str
        Why it was no whole answer of an endpoint, else empty.
    """

    kind: EventKind
    status: int = 0
    reason: str = ""


CALLER_LEFT = Ending(EventKind.REQUEST_ABANDONED, reason="caller-left")
FAULT = Ending(EventKind.REQUEST_FAILED, reason="fault")


def ending_of_result(result: AttemptResult) -> Ending:
    """Return the end of a request by the result of its last attempt."""
    if result.verdict is Verdict.ANSWERED:
        return Ending(EventKind.REQUEST_ANSWERED, result.status)
    return Ending(EventKind.REQUEST_FAILED, result.status, result.reason)


def ending_of_error(error: RequestError) -> Ending:
    """Return the end of a request by the gateway's own answer."""
    if error.status in PROMISES:
        kind = EventKind.REQUEST_NOT_RUN
    elif error.status < 500:
        kind = EventKind.REQUEST_REFUSED
    else:
        kind = EventKind.REQUEST_UNKNOWN
    return Ending(kind, error.status, error.code)
