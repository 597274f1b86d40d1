"""What has to be known of a request to choose its endpoint."""

import functools
from dataclasses import dataclass

from bulrushbend.gateway.call import Call, PromptPart

# Share of the objective that a request may spend waiting; the rest is for reading the
# prompt and the way back.
_WAITING_SHARE = 0.7


@dataclass(frozen=True, eq=False)
class Demand:
    """A request that needs an endpoint.

    Times are monotonic, in milliseconds.

    Attributes
    ----------
    team : str
        Who is charged.
    tokens : int
        Size of the prompt; at least one.
    cost : int
        Tokens that the team is charged.
    shared : tuple of PromptPart
        Parts of the prompt that endpoints may hold, in order.
    avoided : frozenset of str
        Ids of endpoints that are no choice.
    since_ms, until_ms : float
        Time for which the request may wait.
    request_id : str
        Id that the caller gave, for logs.
    asker : str
        Name of the gateway that sends the request if it is another one, else empty.
    """

    team: str
    tokens: int
    cost: int
    shared: tuple[PromptPart, ...]
    avoided: frozenset[str]
    since_ms: float
    until_ms: float
    request_id: str = ""
    asker: str = ""

    @functools.cached_property
    def least_unread(self) -> int:
        """Prompt tokens to read at an endpoint that holds all shared parts."""
        return max(1, self.tokens - sum(part.tokens for part in self.shared))

    @property
    def reads_prompt(self) -> bool:
        """Whether the endpoint has a prompt to read."""
        return self.tokens > 1

    def patience(self, now_ms: float) -> float:
        """Return the part of the waiting time that is left, from 1 to 0."""
        span_ms = max(1.0, self.until_ms - self.since_ms)
        return min(1.0, max(0.0, (self.until_ms - now_ms) / span_ms))


def demand_of(call: Call, now_ms: float) -> Demand:
    """Return what a request needs and how long it may wait from now on.

    One that was sent before, or whose objective has passed, waits for half of what is
    left of its time: a late answer is still worth something to the caller.
    """
    until_ms = call.received_ms + _WAITING_SHARE * call.route.objective_ms
    if call.uncertain_attempts == 0 and until_ms > now_ms:
        until_ms = min(until_ms, call.limit_ms)
    else:
        until_ms = now_ms + call.remaining_ms(now_ms) / 2
    return Demand(
        team=call.team,
        tokens=call.tokens,
        cost=int(call.cost),
        shared=call.details.shared_parts,
        avoided=frozenset(call.tried),
        since_ms=now_ms,
        until_ms=until_ms,
        request_id=call.details.request_id,
    )
