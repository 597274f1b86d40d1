"""Choice of the endpoint for a request.

Prompts have some thousand tokens and share long prefixes, and engines process (prefill)
the prompts of a batch one after the other. Prefill is the bottleneck, so the cost of an
endpoint is the number of prompt tokens that it has yet to process plus those of the new
request that are not in its prefix cache.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bulrushbend.core.rendezvous import rendezvous_rank
from bulrushbend.gateway.call import PromptPart
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.loads import Load, LoadView
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex

# Tokens that miss the prefix cache delay the prompts behind them and evict other
# prompts from the endpoint's memory, so they weigh more than tokens that are already
# queued. A load model gave the same results with weights of 2 to 10.
PREFILL_WEIGHT = 5.0
# Fetching a cached token from another endpoint takes about a third of its prefill time.
FETCH_WEIGHT = 0.35
# Fewer tokens are processed in less time than the set-up of a transfer takes.
MIN_FETCH_TOKENS = 100
# Cost in tokens of each running request beyond its prompt, at an endpoint with the
# reference number of slots: a running request slightly slows down all others of the
# batch. A load model gave the same results with values of 30 to 400.
TOKENS_PER_RUNNING_REQUEST = 100.0
REFERENCE_SLOTS = 64
# A long prompt at an endpoint that is slower by a third pauses all its streams for
# longer than callers accept. Avoiding that is worth waiting at a faster endpoint for as
# long as the prompt's prefill takes.
SLOW_ENDPOINT_WEIGHT = 3.0
# Penalty for an endpoint in another data centre, and bonus of a prompt's preferred
# endpoint.
REMOTE_PENALTY_TOKENS = 10.0
PREFERRED_BONUS_TOKENS = 500.0

_NO_LOAD = Load()


@dataclass(frozen=True)
class PlacementLimits:
    """Bounds on the work in progress at one endpoint.

    Attributes
    ----------
    unread_tokens : int
        Largest number of unprocessed prompt tokens at an endpoint; a single prompt may
        exceed it. An endpoint processes a part of each such prompt in every step and
        generates no tokens meanwhile, so several long prompts at once cause long pauses
        in all its streams.
    """

    unread_tokens: int = 2_048


@dataclass(frozen=True)
class Choice:
    """Endpoint chosen for a request.

    Attributes
    ----------
    endpoint : DiscoveredEndpoint
        The endpoint.
    unread_tokens : int
        Prompt tokens that it has to process for the request.
    source : DiscoveredEndpoint or None
        Endpoint from which it can fetch cached parts of the prompt.
    """

    endpoint: DiscoveredEndpoint
    unread_tokens: int
    source: DiscoveredEndpoint | None


class Placer:
    """Chooses among the endpoints of a service.

    Parameters
    ----------
    loads : LoadView
        Load of the endpoints, over all gateways.
    prefix_cache : PrefixCacheIndex
        Shared prompt parts that each endpoint has cached.
    health : EndpointHealth
        Determines which endpoints are avoided and which are slow.
    limits : PlacementLimits
        Bounds on the work at one endpoint.
    data_centre : str
        Data centre of this gateway; at equal cost an endpoint in it is preferred.
    """

    def __init__(
        self,
        loads: LoadView,
        prefix_cache: PrefixCacheIndex,
        health: EndpointHealth,
        limits: PlacementLimits,
        data_centre: str,
    ):
        self._loads = loads
        self._prefix_cache = prefix_cache
        self._health = health
        self._limits = limits
        self._data_centre = data_centre

    def max_admissible_tokens(self, endpoints: Sequence[DiscoveredEndpoint]) -> float:
        """Return the largest number of prompt tokens that some endpoint can admit.

        Infinity if an endpoint has no prompt to process, 0 if all are at their limits.
        Callers use it to skip requests that fit at no endpoint.
        """
        largest = 0.0
        totals = self._loads.totals()
        for endpoint in endpoints:
            load = totals.get(endpoint.id, _NO_LOAD)
            if load.running >= endpoint.slots:
                continue
            if load.unread_tokens <= 0:
                return math.inf
            largest = max(largest, self._limits.unread_tokens - load.unread_tokens)
        return largest

    def choose(
        self,
        demand: Demand,
        endpoints: Sequence[DiscoveredEndpoint],
        remaining_wait: float,
    ) -> Choice | None:
        """Return the endpoint for a request.

        None means that the request has to wait: the endpoint with the lowest cost is at
        its limit, or all endpoints are.

        Parameters
        ----------
        demand : Demand
            The request.
        endpoints : sequence of DiscoveredEndpoint
            Endpoints of its service that accept new work.
        remaining_wait : float
            Fraction of the request's waiting time that is left, from 1 to 0. The
            smaller it is, the less a cached prefix at a busy endpoint counts.
        """
        healthy = usable = self._health.usable(endpoints)
        if demand.avoided:
            candidates = [e for e in endpoints if e.id not in demand.avoided]
            usable = self._health.usable(candidates)
        shared = demand.shared
        preferred = _preferred_endpoint(shared, endpoints)
        cached_by_endpoint = self._prefix_cache.cached_tokens_by_endpoint(shared)
        holder = _best_cache_holder(cached_by_endpoint, healthy)
        max_cached = cached_by_endpoint[holder.id] if holder else 0
        event_gaps: Mapping[str, float] = {}
        if demand.tokens > self._limits.unread_tokens:
            event_gaps = self._health.relative_event_gaps(endpoints)
        best: tuple[float, DiscoveredEndpoint, int, int, bool] | None = None
        totals = self._loads.totals()
        for endpoint in usable:
            load = totals.get(endpoint.id, _NO_LOAD)
            if load.running >= endpoint.slots:
                continue
            cached = cached_by_endpoint.get(endpoint.id, 0)
            fetched = (
                max_cached - cached if max_cached - cached >= MIN_FETCH_TOKENS else 0
            )
            unread = max(1, demand.tokens - cached - fetched)
            cost = self._cost(endpoint, load, unread, fetched, remaining_wait)
            if unread > self._limits.unread_tokens and endpoint.id in event_gaps:
                cost += SLOW_ENDPOINT_WEIGHT * (event_gaps[endpoint.id] - 1.0) * unread
            if endpoint.id == preferred:
                cost -= PREFERRED_BONUS_TOKENS
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
        remaining_wait: float,
    ) -> float:
        weight = 1.0 + (PREFILL_WEIGHT - 1.0) * remaining_wait
        distance = (
            0.0 if endpoint.data_centre == self._data_centre else REMOTE_PENALTY_TOKENS
        )
        running = (
            TOKENS_PER_RUNNING_REQUEST * load.running * REFERENCE_SLOTS / endpoint.slots
        )
        work = load.unread_tokens + weight * unread + FETCH_WEIGHT * fetched + running
        return work * self._health.slowness(endpoint.id) + distance


def _best_cache_holder(
    cached_by_endpoint: Mapping[str, int], endpoints: Sequence[DiscoveredEndpoint]
) -> DiscoveredEndpoint | None:
    """Return the endpoint with the longest cached prefix, None if there is none."""
    if not cached_by_endpoint:
        return None
    holders = [endpoint for endpoint in endpoints if endpoint.id in cached_by_endpoint]
    return max(
        holders,
        key=lambda endpoint: cached_by_endpoint[endpoint.id],
        default=None,
    )


def _preferred_endpoint(
    parts: Sequence[PromptPart], endpoints: Sequence[DiscoveredEndpoint]
) -> str | None:
    """Return the id of the preferred endpoint for a prompt that no endpoint has cached.

    Rendezvous hashing over the last shared part: gateways that receive a new prompt at
    the same time choose the same endpoint, and few prompts change their preferred
    endpoint when endpoints come and go.
    """
    if not parts or not endpoints:
        return None
    key = parts[-1].digest
    return max(endpoints, key=lambda endpoint: rendezvous_rank(key, endpoint.id)).id
