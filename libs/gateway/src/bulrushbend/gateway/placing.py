"""Choice of the endpoint for a request.

Load that this answers: prompts of some thousand tokens that share long parts, at
engines that read all prompts of a batch one after the other. Reading prompts is the
bottleneck, so an endpoint is judged by the prompt tokens that are still unread there
and by those of the new request that it does not hold yet.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bulrushbend.gateway.call import Call, PromptPart
from bulrushbend.gateway.endpoints import FoundEndpoint
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.loads import LoadView

# Tokens that are read again delay the prompts behind them and push other prompts out of
# the endpoint's memory, so they weigh more than the tokens that already wait.
REREAD_WEIGHT = 5.0
# Tokens that a waiting request adds to the load of an endpoint beyond its prompt: a
# running request slows down all others of the batch a little.
RUNNING_TOKENS = 100.0


@dataclass(frozen=True)
class PlacingLimits:
    """What may be in progress at one endpoint.

    Attributes
    ----------
    unread_tokens : int
        Prompt tokens that may wait at a model endpoint before a request is placed
        there.
    """

    unread_tokens: int = 13_000


class Placer:
    """Chooses among the endpoints of a service.

    Parameters
    ----------
    loads : LoadView
        Work of all gateways.
    health : EndpointHealth
        Endpoints that are avoided.
    limits : PlacingLimits
        Bounds on the work at one endpoint.
    data_centre : str
        Place of this gateway; at equal cost a near endpoint is preferred.
    """

    def __init__(
        self,
        loads: LoadView,
        health: EndpointHealth,
        limits: PlacingLimits,
        data_centre: str,
    ):
        self._loads = loads
        self._health = health
        self._limits = limits
        self._data_centre = data_centre

    def choose(
        self, call: Call, endpoints: Sequence[FoundEndpoint]
    ) -> tuple[FoundEndpoint, int] | None:
        """Return the endpoint for a request and the prompt tokens it has to read.

        None means that the request has to wait: all endpoints are at their limits.
        """
        usable = [e for e in endpoints if e.id not in call.tried]
        usable = self._health.usable(usable)
        best: tuple[float, FoundEndpoint, int] | None = None
        homes = _homes(call.details.shared_parts, endpoints)
        for endpoint in usable:
            load = self._loads.total(endpoint.id)
            if load.running >= endpoint.slots:
                continue
            if load.unread_tokens > self._limits.unread_tokens:
                continue
            unread = _unread_tokens(call, endpoint.id, homes)
            cost = (
                load.unread_tokens
                + REREAD_WEIGHT * unread
                + RUNNING_TOKENS * load.running * (64 / endpoint.slots)
                + (0.0 if endpoint.data_centre == self._data_centre else 10.0)
            ) * self._health.slowness(endpoint.id)
            if best is None or cost < best[0]:
                best = (cost, endpoint, unread)
        return None if best is None else best[1:]


def _unread_tokens(call: Call, endpoint_id: str, homes: dict[str, str]) -> int:
    """Return the prompt tokens that the endpoint is not expected to hold."""
    held = 0
    for part in call.details.shared_parts:
        if homes.get(part.digest) != endpoint_id:
            break
        held += part.tokens
    return max(1, call.tokens - held)


def _homes(
    parts: Iterable[PromptPart], endpoints: Sequence[FoundEndpoint]
) -> dict[str, str]:
    """Return the endpoint at which each shared part is expected, by its digest.

    Rendezvous hashing over the last shared part: all gateways choose the same home
    without telling each other, and few homes move when endpoints come and go.
    """
    parts = list(parts)
    if not parts or not endpoints:
        return {}
    key = parts[-1].digest
    home = max(endpoints, key=lambda e: _rank(key, e.id)).id
    return {part.digest: home for part in parts}


def _rank(key: str, endpoint_id: str) -> bytes:
    return hashlib.blake2b(f"{key}/{endpoint_id}".encode(), digest_size=8).digest()
