"""Requests of callers as the gateway represents them, and their errors."""

import functools
import hashlib
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from bulrushbend.core.errors import BulrushbendError
from bulrushbend.core.manifest import Route

# Codes of the errors for a request whose prompt crashes endpoints, and for one that
# does so itself.
QUARANTINED = "prompt-quarantined"
REQUEST_QUARANTINED = "request-quarantined"

_IDENTITY_BYTES = 8
# Short, because other gateways can serve at once.
_DRAINING_RETRY_AFTER_MS = 100.0
# Maximum size of a prompt, of one of its parts and of a response. The sums of two that
# gateways send one another are within a uint32.
MAX_TOKENS = (1 << 31) - 1
MAX_COST = 3 * MAX_TOKENS


@dataclass(frozen=True)
class PromptPart:
    """Part of a prompt that several requests may share, identified by its digest."""

    digest: str
    tokens: int


@dataclass(frozen=True)
class CallDetails:
    """Values decoded from the headers of a request, independent of header names.

    Attributes
    ----------
    request_id : str
        Id supplied by the caller, used in logs and passed to the endpoint.
    token : str
        Bearer token, empty if there is none.
    deadline_ms : float or None
        Time that the caller waits, in milliseconds from the arrival of the request.
    prompt_tokens, output_tokens : int
        Size of the prompt and maximum size of the response, 0 if not given.
    prefix : tuple of PromptPart
        Parts of the prompt in order; the last is specific to the request or session.
    last_event_id : str
        Id of the event after which a stream is resumed, empty for a new stream.
    """

    request_id: str = ""
    token: str = ""
    deadline_ms: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: tuple[PromptPart, ...] = ()
    last_event_id: str = ""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt that other requests may share."""
        return self.prefix[:-1]


@dataclass(eq=False)
class Call:
    """Request of a caller and the state of its processing.

    Times are monotonic, in milliseconds.

    Attributes
    ----------
    limit_ms : float
        Time at which the request has to have ended.
    tried : set of str
        Ids of the endpoints of earlier attempts.
    uncertain_attempts : int
        Attempts that may have run the request.
    trial_limit_ms : float
        Time until which the request waits for the trial of what was quarantined.
    """

    details: CallDetails
    method: str
    target: str
    headers: HTTPHeaders
    body: bytes
    route: Route
    service: str
    team: str
    received_ms: float
    limit_ms: float
    tried: set[str] = field(default_factory=set)
    uncertain_attempts: int = 0
    trial_limit_ms: float = 0.0
    last_event_id: str = ""
    endpoint: str = ""
    coordinator: str = ""
    waited_ms: float | None = None
    first_event_ms: float | None = None
    longest_pause_ms: float = 0.0

    @property
    def shared_digests(self) -> tuple[str, ...]:
        """Digests of the parts of the prompt that other requests may share."""
        return tuple(part.digest for part in self.details.shared_parts)

    @functools.cached_property
    def identity(self) -> str:
        """Digest of what all copies of the request have in common."""
        head = "\0".join((self.method, self.target, self.team, ""))
        digest = hashlib.blake2b(
            head.encode("utf-8", "backslashreplace"), digest_size=_IDENTITY_BYTES
        )
        digest.update(self.body)
        return digest.hexdigest()

    @property
    def tokens(self) -> int:
        """Tokens of the prompt, at least 1 so that requests without a prompt count."""
        return max(1, self.details.prompt_tokens)

    @property
    def cost(self) -> float:
        """Tokens charged for the request; generated tokens count twice."""
        return self.tokens + 2.0 * self.details.output_tokens

    def record_placement(self, now_ms: float) -> None:
        """Record the waiting time when the first endpoint is chosen."""
        if self.waited_ms is None:
            self.waited_ms = now_ms - self.received_ms

    def record_first_event(self, now_ms: float) -> None:
        """Record the time of the first chunk of the response."""
        if self.first_event_ms is None:
            self.first_event_ms = now_ms - self.received_ms

    def record_pause(self, pause_ms: float) -> None:
        """Record the time between two chunks of the response."""
        self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until `limit_ms` in milliseconds."""
        return self.limit_ms - now_ms


class RequestError(BulrushbendError):
    """Error that the gateway returns instead of the response of an endpoint.

    Parameters
    ----------
    status : int
        Status code; 408, 421, 429 and 503 guarantee that the request did not run.
    code : str
        Short error code for logs and the response body.
    message : str
        Message for the caller.
    retry_after_ms : float or None
        Time after which the caller should retry.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        retry_after_ms: float | None = None,
    ):
        super().__init__(message, step=code)
        self.status = status
        self.code = code
        self.retry_after_ms = retry_after_ms


def not_run_error(
    status: int, code: str, message: str, retry_after_ms: float | None = None
) -> RequestError:
    """Return the error for a request that did not run and is not going to run."""
    return RequestError(status, code, message, retry_after_ms=retry_after_ms)


def quarantine_error(remaining_ms: float, code: str = QUARANTINED) -> RequestError:
    """Return the error for a request that crashes endpoints.

    Parameters
    ----------
    remaining_ms : float
        Time for which such requests are refused.
    code : str, default=QUARANTINED
        Whether a part of the prompt or the whole request is quarantined.
    """
    cause = "this request" if code == REQUEST_QUARANTINED else "a part of the prompt"
    message = f"endpoints crash on {cause}; the request was not sent"
    return not_run_error(503, code, message, remaining_ms)


def draining_error(
    message: str = "the gateway stops before the request has to end",
) -> RequestError:
    """Return the error for a request that is not sent because the gateway stops."""
    return not_run_error(503, "draining", message, _DRAINING_RETRY_AFTER_MS)


def outcome_unknown_error(code: str, message: str) -> RequestError:
    """Return the error for a request that may have run."""
    return RequestError(502, code, message)


@dataclass(frozen=True)
class Placement:
    """Endpoint chosen for a request, with the work that is counted for it.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint.
    unread_tokens : int
        Prompt tokens counted as unread at the endpoint.
    fetch_from : str
        Address of an endpoint that has shared parts of the prompt in memory, or empty.
    serial : int
        Number of the grant if the placement was made for another gateway, else 0.
    coordinator : str
        Name of the gateway that chose the endpoint, empty if it is this gateway.
    """

    endpoint: str
    unread_tokens: int
    fetch_from: str = ""
    serial: int = 0
    coordinator: str = ""
