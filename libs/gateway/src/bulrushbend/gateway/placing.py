"""Choice of the endpoint for a request.

Load that this answers: prompts of some thousand tokens that share long parts, at
engines that read all prompts of a batch one after the other. Reading prompts is the
bottleneck, so an endpoint is judged by the prompt tokens that are still unread there
and by those of the new request that it does not hold yet.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bulrushbend.core.rendezvous import rendezvous_rank
from bulrushbend.gateway.call import PromptPart
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.holdings import PromptHoldings
from bulrushbend.gateway.loads import Load, LoadView

# Tokens that are read again delay the prompts behind them and push other prompts out of
# the endpoint's memory, so they weigh more than the tokens that already wait. Weights
# of 2 to 10 made no difference in a model of the load.
REREAD_WEIGHT = 5.0
# Fetching a token from another endpoint takes about a third of the time of reading it.
FETCH_WEIGHT = 0.35
# Fewer tokens are read faster than a transfer is set up.
LEAST_FETCHED = 100
# Tokens that a waiting request adds to the load of an endpoint beyond its prompt: a
# running request slows down all others of the batch a little. Values of 30 to 400 made
# no difference in a model of the load.
RUNNING_TOKENS = 100.0
REFERENCE_SLOTS = 64
# A long prompt at an endpoint that is slower by a third pauses all its streams for
# longer than callers accept, which is worth waiting at a faster one for as long as the
# prompt takes to read.
SLOW_WEIGHT = 3.0
# Advantage of an endpoint in the same data centre, and of the home of a prompt.
FAR_TOKENS = 10.0
HOME_TOKENS = 500.0

_NO_LOAD = Load()


@dataclass(frozen=True)
class PlacingLimits:
    """What may be in progress at one endpoint.

    Attributes
    ----------
    unread_tokens : int
        Prompt tokens that an endpoint may have to read at one time, unless it reads a
        single prompt. An endpoint reads a part of each such prompt in every step and
        makes no token meanwhile, so several at once make long pauses in all streams.
    """

    unread_tokens: int = 2_048


@dataclass(frozen=True)
class Choice:
    """Endpoint for a request.

    Attributes
    ----------
    endpoint : DiscoveredEndpoint
        Where the request goes.
    unread_tokens : int
        Prompt tokens that it has to read.
    source : DiscoveredEndpoint or None
        Endpoint from which it can fetch shared parts of the prompt.
    """

    endpoint: DiscoveredEndpoint
    unread_tokens: int
    source: DiscoveredEndpoint | None


class Placer:
    """Chooses among the endpoints of a service.

    Parameters
    ----------
    loads : LoadView
        Work of all gateways.
    holdings : PromptHoldings
        Shared parts of prompts that endpoints hold.
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
        holdings: PromptHoldings,
        health: EndpointHealth,
        limits: PlacingLimits,
        data_centre: str,
    ):
        self._loads = loads
        self._holdings = holdings
        self._health = health
        self._limits = limits
        self._data_centre = data_centre

    def room(self, endpoints: Sequence[DiscoveredEndpoint]) -> float:
        """Return the most prompt tokens that some endpoint could be given to read.

        It spares a look at each request that fits nowhere: infinity if an endpoint has
        no prompt to read, 0 if all are at their limits.
        """
        room = 0.0
        totals = self._loads.totals()
        for endpoint in endpoints:
            load = totals.get(endpoint.id, _NO_LOAD)
            if load.running >= endpoint.slots:
                continue
            if load.unread_tokens <= 0:
                return math.inf
            room = max(room, self._limits.unread_tokens - load.unread_tokens)
        return room

    def choose(
        self, demand: Demand, endpoints: Sequence[DiscoveredEndpoint], patience: float
    ) -> Choice | None:
        """Return the endpoint for a request.

        None means that the request has to wait: the endpoint that suits it best is at
        its limit, or all are.

        Parameters
        ----------
        demand : Demand
            The request.
        endpoints : sequence of DiscoveredEndpoint
            Endpoints of its service that take new work.
        patience : float
            Part of the request's waiting time that is left, from 1 to 0. With little of
            it any endpoint is better than one that holds the prompt but is busy.
        """
        sound = usable = self._health.usable(endpoints)
        if demand.avoided:
            candidates = [e for e in endpoints if e.id not in demand.avoided]
            usable = self._health.usable(candidates)
        shared = demand.shared
        home = _home(shared, endpoints)
        held_by = self._holdings.held_by(shared)
        holder = _best_holder(held_by, sound)
        most_held = held_by[holder.id] if holder else 0
        paces: Mapping[str, float] = {}
        if demand.tokens > self._limits.unread_tokens:
            paces = self._health.relative_pace(endpoints)
        best: tuple[float, DiscoveredEndpoint, int, int, bool] | None = None
        totals = self._loads.totals()
        for endpoint in usable:
            load = totals.get(endpoint.id, _NO_LOAD)
            if load.running >= endpoint.slots:
                continue
            held = held_by.get(endpoint.id, 0)
            fetched = most_held - held if most_held - held >= LEAST_FETCHED else 0
            unread = max(1, demand.tokens - held - fetched)
            cost = self._cost(endpoint, load, unread, fetched, patience)
            if unread > self._limits.unread_tokens and endpoint.id in paces:
                cost += SLOW_WEIGHT * (paces[endpoint.id] - 1.0) * unread
            if endpoint.id == home:
                cost -= HOME_TOKENS
            is_full = (
                load.unread_tokens > 0
                and load.unread_tokens + unread > self._limits.unread_tokens
            )
            if best is None or cost < best[0]:
                best = (cost, endpoint, unread, fetched, is_full)
        if best is None or best[-1]:
            return None
        _, endpoint, unread, fetched, _ = best
        return Choice(endpoint, unread, holder if fetched else None)

    def _cost(
        self,
        endpoint: DiscoveredEndpoint,
        load: Load,
        unread: int,
        fetched: int,
        patience: float,
    ) -> float:
        weight = 1.0 + (REREAD_WEIGHT - 1.0) * patience
        distance = 0.0 if endpoint.data_centre == self._data_centre else FAR_TOKENS
        running = RUNNING_TOKENS * load.running * REFERENCE_SLOTS / endpoint.slots
        work = load.unread_tokens + weight * unread + FETCH_WEIGHT * fetched + running
        return work * self._health.slowness(endpoint.id) + distance


def _best_holder(
    held_by: Mapping[str, int], endpoints: Sequence[DiscoveredEndpoint]
) -> DiscoveredEndpoint | None:
    """Return the endpoint that holds most of a prompt, None if none has a part."""
    if not held_by:
        return None
    holders = [endpoint for endpoint in endpoints if endpoint.id in held_by]
    return max(holders, key=lambda endpoint: held_by[endpoint.id], default=None)


def _home(
    parts: Sequence[PromptPart], endpoints: Sequence[DiscoveredEndpoint]
) -> str | None:
    """Return the endpoint that first reads a prompt that none holds.

    Rendezvous hashing over the last shared part: gateways that see a new prompt at one
    time choose the same endpoint, and few homes move when endpoints come and go.
    """
    if not parts or not endpoints:
        return None
    key = parts[-1].digest
    return max(endpoints, key=lambda endpoint: rendezvous_rank(key, endpoint.id)).id
