"""Properties of a request that determine its placement."""

import functools
from collections.abc import Mapping
from dataclasses import dataclass, field

from bulrushbend.gateway.call import Call, PromptPart

# Fraction of the objective that a request may wait for an endpoint; the rest is for
# prefill and the network.
_WAITING_SHARE = 0.7

_NONE: frozenset[str] = frozenset()


@dataclass(frozen=True, eq=False)
class Demand:
    """A request that needs an endpoint.

    Times are monotonic, in milliseconds.

    Attributes
    ----------
    team : str
        Team that is charged.
    tokens : int
        Size of the prompt; at least one.
    cost : int
        Tokens charged to the team.
    shared : tuple of PromptPart
        Leading parts of the prompt that endpoints may have cached, in order.
    avoided : frozenset of str
        Ids of endpoints that must not be chosen.
    wait_start_ms, wait_until_ms : float
        Period for which the request may wait.
    request_id : str
        Id from the caller, for logs.
    requester : str
        Gateway that requested the placement if it is another one, else empty.
    data_centre : str
        Data centre of the requester; empty for the one of this gateway.
    identity : str
        Identity of the request, see `Call.identity`.
    pauses : dict of str to float
        Times until which endpoints want no requests of the requester, by id.
    """

    team: str
    tokens: int
    cost: int
    shared: tuple[PromptPart, ...]
    avoided: frozenset[str]
    wait_start_ms: float
    wait_until_ms: float
    request_id: str = ""
    requester: str = ""
    data_centre: str = ""
    identity: str = ""
    pauses: Mapping[str, float] = field(default_factory=dict)

    @functools.cached_property
    def min_unread_tokens(self) -> int:
        """Prompt tokens to process at an endpoint that has cached all shared parts."""
        return max(1, self.tokens - self.shared_tokens)

    @functools.cached_property
    def shared_tokens(self) -> int:
        """Tokens of all shared parts of the prompt."""
        return sum(part.tokens for part in self.shared)

    @property
    def own_tokens(self) -> int:
        """Prompt and response tokens that no other request shares."""
        return self.min_unread_tokens + max(0, self.cost - self.tokens) // 2

    @property
    def has_prompt(self) -> bool:
        """Whether the endpoint has a prompt to process."""
        return self.tokens > 1

    def paused(self, now_ms: float) -> frozenset[str]:
        """Return the ids of the endpoints that want no requests of the requester."""
        if not self.pauses:
            return _NONE
        return frozenset(name for name, end in self.pauses.items() if now_ms < end)

    def remaining_wait(self, now_ms: float) -> float:
        """Return the fraction of the waiting time that is left, from 1 to 0."""
        span_ms = max(1.0, self.wait_until_ms - self.wait_start_ms)
        return min(1.0, max(0.0, (self.wait_until_ms - now_ms) / span_ms))


def demand_of(call: Call, now_ms: float) -> Demand:
    """Return the demand of a request, which may wait from now on.

    A request that may have run before, or whose waiting time within the objective has
    passed, may wait for half of its remaining time: a late response is still of use to
    the caller.
    """
    wait_until_ms = call.received_ms + _WAITING_SHARE * call.route.objective_ms
    if call.uncertain_attempts == 0 and wait_until_ms > now_ms:
        wait_until_ms = min(wait_until_ms, call.limit_ms)
    else:
        wait_until_ms = now_ms + call.remaining_ms(now_ms) / 2
    return Demand(
        team=call.team,
        tokens=call.tokens,
        cost=int(call.cost),
        shared=call.details.shared_parts,
        avoided=frozenset(call.tried),
        wait_start_ms=now_ms,
        wait_until_ms=wait_until_ms,
        request_id=call.details.request_id,
        identity=call.identity,
    )
