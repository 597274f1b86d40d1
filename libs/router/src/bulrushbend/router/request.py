"""Request of a caller and its assignment to a claim."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from tornado.httputil import HTTPHeaders

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class ClaimingLink(Protocol):
    """Link to the agent that claimed a request, as used by an attempt."""

    @property
    def agent(self) -> str:
        """Name of the agent."""
        ...

    @property
    def http_address(self) -> str:
        """Address of the agent's data port."""
        ...

    @property
    def is_up(self) -> bool:
        """Whether the link is connected."""
        ...

    @property
    def silence_ms(self) -> float:
        """Silence time-out for the location of the agent in milliseconds."""
        ...

    def send_miss(self, attempt_id: str) -> None:
        """Notify the agent that its claim got no request."""
        ...

    def pause_backlog(self) -> None:
        """Report no backlog for a while, because the data port refused a connection."""
        ...

    def progress(self, attempt_id: str) -> "AttemptProgress | None":
        """Return the last report of the agent on an attempt."""
        ...

    def down_ms(self) -> float:
        """Return the time since the link went down in milliseconds, 0 if it is up."""
        ...


@dataclass(frozen=True)
class AttemptProgress:
    """Report of an agent on a running attempt.

    Attributes
    ----------
    produced_bytes : int
        Body bytes that the agent has received from its endpoint.
    finished : bool
        Whether the answer is complete at the agent.
    received_ms : float
        Monotonic time of the report in milliseconds.
    """

    produced_bytes: int
    finished: bool
    received_ms: float


@dataclass(frozen=True)
class Grant:
    """A claim to which a request is assigned."""

    attempt_id: str
    link: ClaimingLink


@dataclass(eq=False)
class CallerRequest:
    """One accepted request.

    Attributes
    ----------
    request_id : str
        Identifier shared by all attempts.
    team, service : str
        Team of the caller and service that it requests.
    method, path : str
        Method and path for the endpoint.
    headers : HTTPHeaders
        End-to-end headers for the endpoint.
    body : bytes
        Whole body.
    idempotent : bool
        Whether the request may run more than once.
    deadline_ms : float
        Monotonic time in milliseconds by which the answer must start.
    key : str or None
        Idempotency key to record through control.
    prefix : tuple of int
        Hashes of prompt prefixes, shortest first; empty without a prompt.
    admitted_ms : float
        Monotonic time of the admission in milliseconds.
    passed_over : int
        Number of times that a later request of the queue was preferred.
    abandoned : bool
        Whether the caller has disconnected.
    granted : Future or None
        Future of the `Grant`; None until the request is queued.
    """

    request_id: str
    team: str
    service: str
    method: str
    path: str
    headers: HTTPHeaders
    body: bytes
    idempotent: bool
    deadline_ms: float
    key: str | None = None
    prefix: tuple[int, ...] = ()
    admitted_ms: float = 0.0
    passed_over: int = 0
    abandoned: bool = False
    granted: asyncio.Future[Grant] | None = field(default=None, repr=False)

    @property
    def is_waiting(self) -> bool:
        """Whether the request is in a queue."""
        return self.granted is not None and not self.granted.done()


def is_idempotent(method: str, posts_idempotent: bool, declared: bool | None) -> bool:
    """Return whether a request may run more than once.

    Parameters
    ----------
    method : str
        HTTP method.
    posts_idempotent : bool
        Whether the manifest declares POST and PATCH of the service idempotent.
    declared : bool or None
        Declaration of the caller for this request.
    """
    if declared is not None:
        return declared
    return method in IDEMPOTENT_METHODS or posts_idempotent
