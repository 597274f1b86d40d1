"""Index of the shared prompt parts that endpoints presumably have in their caches.

Endpoints publish the content of their caches late and with gaps. The gateways record at
once which prompts they placed where, and endpoints evict the least recently used parts
first, so the index is derived from placements. The own tokens of each request, which
no other request shares, occupy the same memory and are evicted in the same order.
"""

import itertools
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bulrushbend.gateway.call import PromptPart

# Fraction of an endpoint's memory that is counted on. The rest allows for placements
# that this gateway is not informed of.
_USABLE_SHARE = 0.9
# Memory of an endpoint that is assumed when the manifest states none for its service.
_DEFAULT_CAPACITY_TOKENS = 400_000


@dataclass
class _CachedPart:
    tokens: int
    # Own tokens that the endpoint had been sent when the part was last used.
    own_tokens_before: int


class _EndpointCache:
    """Shared parts in the memory of one endpoint, the least recently used first."""

    def __init__(self) -> None:
        self.parts: OrderedDict[str, _CachedPart] = OrderedDict()
        self._shared_tokens = 0
        self._own_tokens = 0

    def record(self, parts: Sequence[PromptPart], own_tokens: int) -> list[str]:
        """Record the use of parts; return the digests of those that were added."""
        added = []
        # A later part is of no use without the parts before it, so it is evicted first.
        for part in reversed(parts):
            cached = self.parts.get(part.digest)
            if cached is None:
                self.parts[part.digest] = _CachedPart(part.tokens, self._own_tokens)
                self._shared_tokens += part.tokens
                added.append(part.digest)
            else:
                cached.own_tokens_before = self._own_tokens
            self.parts.move_to_end(part.digest)
        self._own_tokens += own_tokens
        return added

    def evict(self, capacity: int, min_parts: int) -> list[str]:
        """Evict parts until the memory in use fits; return their digests.

        The own tokens sent since the last use of a part are in memory if the part is:
        the endpoint evicts in the order of the last use.
        """
        evicted = []
        while len(self.parts) > min_parts:
            digest, oldest = next(iter(self.parts.items()))
            own_tokens = self._own_tokens - oldest.own_tokens_before
            if self._shared_tokens + own_tokens <= capacity:
                break
            del self.parts[digest]
            self._shared_tokens -= oldest.tokens
            evicted.append(digest)
        return evicted


class PrefixCacheIndex:
    """Shared prompt parts by endpoint, with eviction of the least recently used."""

    def __init__(self) -> None:
        self._caches: dict[str, _EndpointCache] = {}
        # Endpoints that have cached a part, in the order in which they first used it.
        self._holders: defaultdict[str, dict[str, None]] = defaultdict(dict)
        self._capacities: dict[str, int] = {}

    def set_capacity(self, endpoint: str, tokens: int | None) -> None:
        """Set the memory of an endpoint in tokens, None for the default."""
        self._capacities[endpoint] = int(
            (tokens or _DEFAULT_CAPACITY_TOKENS) * _USABLE_SHARE
        )

    def cached_tokens(self, endpoint: str, parts: Iterable[PromptPart]) -> int:
        """Return the length in tokens of a prompt's cached prefix at an endpoint."""
        cache = self._caches.get(endpoint)
        cached = 0
        if cache is not None:
            for part in parts:
                if part.digest not in cache.parts:
                    break
                cached += part.tokens
        return cached

    def longest_holders(
        self, parts: Sequence[PromptPart], limit: int
    ) -> dict[str, int]:
        """Return endpoints with a longest cached prefix and its length in tokens.

        Parameters
        ----------
        parts : sequence of PromptPart
            Shared parts of the prompt, in order.
        limit : int
            Maximum number of endpoints to examine for each part.
        """
        for part in reversed(parts):
            found = {}
            for endpoint in itertools.islice(self._holders.get(part.digest, ()), limit):
                cached = self.cached_tokens(endpoint, parts)
                if cached:
                    found[endpoint] = cached
            if found:
                return found
        return {}

    def record(
        self, endpoint: str, parts: Sequence[PromptPart], own_tokens: int = 0
    ) -> None:
        """Record that an endpoint processes a prompt; evict beyond its capacity.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        parts : sequence of PromptPart
            Shared parts of the prompt, in order.
        own_tokens : int, default=0
            Tokens that no other request shares.
        """
        cache = self._caches.get(endpoint)
        if cache is None:
            cache = self._caches[endpoint] = _EndpointCache()
        for digest in cache.record(parts, own_tokens):
            self._holders[digest][endpoint] = None
        capacity = self._capacities.get(
            endpoint, int(_DEFAULT_CAPACITY_TOKENS * _USABLE_SHARE)
        )
        for digest in cache.evict(capacity, len(parts)):
            self._remove_holder(digest, endpoint)

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint that has ended or restarted."""
        self._capacities.pop(endpoint, None)
        cache = self._caches.pop(endpoint, None)
        if cache is not None:
            for digest in cache.parts:
                self._remove_holder(digest, endpoint)

    def _remove_holder(self, digest: str, endpoint: str) -> None:
        holders = self._holders[digest]
        holders.pop(endpoint, None)
        if not holders:
            del self._holders[digest]
