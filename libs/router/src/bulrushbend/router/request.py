"""A caller's request as the router holds it."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from tornado.httputil import HTTPHeaders

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class ClaimingLink(Protocol):
    """Link to an agent, as an attempt needs it."""

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
        """Silence deadline for the agent's place in milliseconds."""
        ...

    def send_miss(self, attempt_id: str) -> None:
        """Tell the agent that no request follows its claim."""
        ...

    def pause_backlog(self) -> None:
        """Advertise no backlog for a while, because the data port is unusable."""
        ...

    def progress(self, attempt_id: str) -> "AttemptProgress | None":
        """Return the agent's last report about an attempt."""
        ...

    def down_ms(self) -> float:
        """Return for how long the link has been down, 0 when it is up."""
        ...


@dataclass(frozen=True)
class AttemptProgress:
    """An agent's report about a running attempt.

    Attributes
    ----------
    produced_bytes : int
        Body bytes that the agent has received from its endpoint.
    finished : bool
        Whether the answer is complete at the agent.
    seen_ms : float
        Monotonic time of the report in milliseconds.
    """

    produced_bytes: int
    finished: bool
    received_ms: float


@dataclass(frozen=True)
class Grant:
    """A claim that was matched with a request."""

    attempt_id: str
    link: ClaimingLink


@dataclass(eq=False)
class CallerRequest:
    """One accepted request.

    Attributes
    ----------
    request_id : str
        Identifier over all attempts.
    team, service : str
        Who asks and who serves.
    method, path : str
        Request line for the endpoint.
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
    queued_ms : float
        Monotonic time of the admission in milliseconds.
    passed_over : int
        How often a later request of the queue was preferred.
    abandoned : bool
        Whether the caller is gone.
    granted : Future or None
        Resolved with the `Grant` while the request waits.
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
        What the manifest says about POST and PATCH of the service.
    declared : bool or None
        What the caller declared for this call.
    """
    if declared is not None:
        return declared
    return method in IDEMPOTENT_METHODS or posts_idempotent
