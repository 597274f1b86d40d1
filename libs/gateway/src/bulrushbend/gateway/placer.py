"""Choice of the endpoint for a request.

Prompts have some thousand tokens and share long prefixes, and engines process (prefill)
the prompts of a batch one after the other. Prefill is the bottleneck, so the cost of an
endpoint is the number of prompt tokens that it has yet to process plus those of the new
request that are not in its prefix cache.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.endpoint_index import EndpointIndex
from bulrushbend.gateway.endpoint_limits import EndpointLimits
from bulrushbend.gateway.endpoint_notices import EndpointNotices
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.load_totals import Load
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex

# Tokens that miss the prefix cache delay the prompts behind them and evict other
# prompts from the endpoint's memory, so they weigh more than tokens that are already
# queued.
PREFILL_WEIGHT = 5.0
# Weight of a token that is fetched from another endpoint: fetching takes about a third
# of its prefill time. A second copy evicts other prompts and its transfer is billed, so
# the token weighs more while the request has much of its waiting time left. After that,
# waiting for the holder would leave other endpoints idle.
FETCH_WEIGHT = 0.35
FRESH_FETCH_WEIGHT = 1.5
_FRESH_ABOVE = 0.5
# Fewer tokens are processed in less time than the set-up of a transfer takes.
MIN_FETCH_TOKENS = 100
# Cost in tokens of each running request beyond its prompt, at an endpoint with the
# reference number of slots: a running request slightly slows down all others of the
# batch.
TOKENS_PER_RUNNING_REQUEST = 100.0
REFERENCE_SLOTS = 64
# A long prompt at an endpoint that is slower by a third pauses all its streams for
# longer than callers accept. Avoiding that is worth waiting at a faster endpoint for as
# long as the prompt's prefill takes.
SLOW_ENDPOINT_WEIGHT = 3.0
# Penalty for an endpoint in another data centre than the caller, and bonus of the
# preferred endpoint of a prompt that none has cached. The penalty is small: a request
# waits if the endpoint with the lowest cost is busy, also while a remote one is idle.
REMOTE_PENALTY_TOKENS = 10.0
PREFERRED_BONUS_TOKENS = 500.0
# Candidates for a placement: least loaded endpoints of the caller's data centre and of
# each other one, and endpoints that have cached the prompt. A slow one may have the
# least load, so one of each data centre is too few.
_NEAR_CANDIDATES = 4
_REMOTE_CANDIDATES = 2
_MAX_HOLDERS = 8
# Prompts of more than this multiple of the limit on unread tokens are long.
_LONG_FACTOR = 3

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

    def admits(self, queued: float, unread: int) -> bool:
        """Return whether an endpoint may be sent another prompt.

        Parameters
        ----------
        queued : float
            Prompt tokens that the endpoint has yet to process.
        unread : int
            Prompt tokens that it would process for the request.
        """
        return queued <= 0 or queued + unread <= self.unread_tokens


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
    is_full : bool
        Whether the endpoint is at its limit, so that the request has to wait.
    """

    endpoint: DiscoveredEndpoint
    unread_tokens: int
    source: DiscoveredEndpoint | None
    is_full: bool = False


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
    notices : EndpointNotices
        Determines which endpoints want no requests.
    rates : EndpointLimits
        Determines which endpoints may get no further request now.
    limits : PlacementLimits
        Bounds on the work at one endpoint.
    data_centre : str
        Data centre of this gateway, for requests of its own callers.
    """

    def __init__(
        self,
        loads: LoadView,
        prefix_cache: PrefixCacheIndex,
        health: EndpointHealth,
        notices: EndpointNotices,
        rates: EndpointLimits,
        limits: PlacementLimits,
        data_centre: str,
    ):
        self._loads = loads
        self._prefix_cache = prefix_cache
        self._health = health
        self._notices = notices
        self._rates = rates
        self._limits = limits
        self._data_centre = data_centre
        self._indexes: dict[str, EndpointIndex] = {}
        loads.add_load_listener(self._mark_changed)

    def min_queued_tokens(self, endpoints: Sequence[DiscoveredEndpoint]) -> float:
        """Return the fewest unprocessed prompt tokens of an endpoint with a free slot.

        Infinity if no endpoint has one. Callers use it with `may_admit` to skip
        requests that fit at no endpoint.
        """
        if not endpoints:
            return math.inf
        self._loads.totals()
        return self._index_of(endpoints).min_unread_tokens()

    def has_room(self, min_queued_tokens: float) -> bool:
        """Return whether some endpoint may have room for a small request."""
        return min_queued_tokens <= self._limits.unread_tokens

    def may_admit(self, demand: Demand, min_queued_tokens: float) -> bool:
        """Return whether some endpoint may have room for a request."""
        return self._limits.admits(min_queued_tokens, demand.min_unread_tokens)

    def is_long(self, demand: Demand) -> bool:
        """Return whether a prompt takes far longer than those placed together."""
        return demand.min_unread_tokens > _LONG_FACTOR * self._limits.unread_tokens

    def choose(
        self,
        demand: Demand,
        endpoints: Sequence[DiscoveredEndpoint],
        remaining_wait: float,
        reserved: frozenset[str] = frozenset(),
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
        reserved : frozenset of str, default=frozenset()
            Ids of endpoints that are left to other requests, or that want none of the
            requester.
        """
        best = self.find_best(demand, endpoints, remaining_wait, reserved)
        return best if best is not None and not best.is_full else None

    def find_best(
        self,
        demand: Demand,
        endpoints: Sequence[DiscoveredEndpoint],
        remaining_wait: float,
        reserved: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Return the endpoint with the lowest cost, also if it is at its limit.

        None if no endpoint has a free slot. The parameters are those of `choose`.
        """
        if not endpoints:
            return None
        totals = self._loads.totals()
        index = self._index_of(endpoints)
        avoided = self._avoided(demand, endpoints)
        cached_by_holder = {
            name: cached
            for name, cached in self._prefix_cache.longest_holders(
                demand.shared, _MAX_HOLDERS
            ).items()
            if name not in avoided and index.get(name) is not None
        }
        holder = max(cached_by_holder, key=cached_by_holder.__getitem__, default=None)
        max_cached = cached_by_holder[holder] if holder else 0
        preferred = ""
        if demand.shared and max_cached < demand.shared_tokens:
            preferred = index.preferred(demand.shared[-1].digest)
        event_gaps: Mapping[str, float] = {}
        if demand.tokens > self._limits.unread_tokens:
            event_gaps = self._health.relative_event_gaps(endpoints)
        data_centre = demand.data_centre or self._data_centre
        skipped = avoided | demand.avoided | reserved
        best: tuple[float, DiscoveredEndpoint, int, int, bool] | None = None
        least_loaded = index.least_loaded(
            data_centre, _NEAR_CANDIDATES, _REMOTE_CANDIDATES, skipped
        )
        named = (*cached_by_holder, preferred)
        for endpoint in _add_named(least_loaded, index, named, skipped):
            load = totals.get(endpoint.id, _NO_LOAD)
            if load.running >= endpoint.slots:
                continue
            cached = cached_by_holder.get(endpoint.id)
            if cached is None:
                cached = self._prefix_cache.cached_tokens(endpoint.id, demand.shared)
            fetched = (
                max_cached - cached if max_cached - cached >= MIN_FETCH_TOKENS else 0
            )
            unread = max(1, demand.tokens - cached - fetched)
            cost = self._cost(endpoint, load, unread, fetched, remaining_wait)
            if endpoint.data_centre != data_centre:
                cost += REMOTE_PENALTY_TOKENS
            if unread > self._limits.unread_tokens and endpoint.id in event_gaps:
                cost += SLOW_ENDPOINT_WEIGHT * (event_gaps[endpoint.id] - 1.0) * unread
            if endpoint.id == preferred:
                cost -= PREFERRED_BONUS_TOKENS
            is_full = not self._limits.admits(load.unread_tokens, unread)
            if best is None or cost < best[0]:
                best = (cost, endpoint, unread, fetched, is_full)
        if best is None:
            return None
        _, endpoint, unread, fetched, is_full = best
        source = index.get(holder) if fetched and holder else None
        return Choice(endpoint, unread, source, is_full)

    def _avoided(
        self, demand: Demand, endpoints: Sequence[DiscoveredEndpoint]
    ) -> frozenset[str]:
        """Return the ids of endpoints that fail or that want no requests now.

        The bound on avoided endpoints only holds for those that fail.
        """
        avoided = self._health.avoided(endpoints)
        excluded = self._notices.excluded(demand.requester)
        excluded |= self._rates.exhausted(endpoints[0].service, demand.requester)
        if avoided and excluded:
            others = [e for e in endpoints if e.id not in excluded]
            avoided = self._health.avoided(others)
        return avoided | excluded

    def _index_of(self, endpoints: Sequence[DiscoveredEndpoint]) -> EndpointIndex:
        """Return the index of a list of endpoints, which is kept until it changes."""
        service = endpoints[0].service
        index = self._indexes.get(service)
        if index is None or index.endpoints is not endpoints:
            index = EndpointIndex(endpoints, self._loads.totals(), _load_cost)
            self._indexes[service] = index
        return index

    def _mark_changed(self, endpoint: str) -> None:
        for index in self._indexes.values():
            index.mark_changed(endpoint)

    def _cost(
        self,
        endpoint: DiscoveredEndpoint,
        load: Load,
        unread: int,
        fetched: int,
        remaining_wait: float,
    ) -> float:
        weight = 1.0 + (PREFILL_WEIGHT - 1.0) * remaining_wait
        freshness = max(0.0, remaining_wait - _FRESH_ABOVE) / (1.0 - _FRESH_ABOVE)
        fetch_weight = FETCH_WEIGHT + (FRESH_FETCH_WEIGHT - FETCH_WEIGHT) * freshness
        work = _load_cost(endpoint, load) + weight * unread + fetch_weight * fetched
        return work * self._health.slowness(endpoint.id)


def _load_cost(endpoint: DiscoveredEndpoint, load: Load) -> float:
    """Return the cost of the work in progress at an endpoint, in tokens."""
    running = (
        TOKENS_PER_RUNNING_REQUEST * load.running * REFERENCE_SLOTS / endpoint.slots
    )
    return load.unread_tokens + running


def _add_named(
    candidates: list[DiscoveredEndpoint],
    index: EndpointIndex,
    names: Iterable[str],
    skipped: frozenset[str],
) -> list[DiscoveredEndpoint]:
    """Add the endpoints with these names to the candidates."""
    known = {endpoint.id for endpoint in candidates}
    for name in names:
        endpoint = index.get(name)
        if endpoint is not None and name not in skipped and name not in known:
            known.add(name)
            candidates.append(endpoint)
    return candidates
