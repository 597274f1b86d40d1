"""Index of the shared prompt parts that endpoints presumably have in their caches.

Endpoints publish the content of their caches late and with gaps. The gateways record at
once which prompts they placed where, and endpoints evict the least recently used parts
first, so the index is derived from placements.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from bulrushbend.gateway.call import PromptPart

# Fraction of an endpoint's memory available to shared parts; running requests use the
# rest.
_SHARED_PREFIX_SHARE = 0.6
# Memory of an endpoint that is assumed when the manifest states none for its service.
_DEFAULT_CAPACITY_TOKENS = 400_000


class PrefixCacheIndex:
    """Shared prompt parts by endpoint, with eviction of the least recently used."""

    def __init__(self) -> None:
        self._parts: dict[str, OrderedDict[str, int]] = {}
        self._cached_totals: dict[str, int] = {}
        self._capacities: dict[str, int] = {}

    def set_capacity(self, endpoint: str, tokens: int | None) -> None:
        """Set the memory of an endpoint in tokens, None for the default."""
        self._capacities[endpoint] = int(
            (tokens or _DEFAULT_CAPACITY_TOKENS) * _SHARED_PREFIX_SHARE
        )

    def cached_tokens(self, endpoint: str, parts: Iterable[PromptPart]) -> int:
        """Return the length in tokens of a prompt's cached prefix at an endpoint."""
        known = self._parts.get(endpoint)
        cached = 0
        if known:
            for part in parts:
                if part.digest not in known:
                    break
                cached += part.tokens
        return cached

    def cached_tokens_by_endpoint(self, parts: Sequence[PromptPart]) -> dict[str, int]:
        """Return the length in tokens of a prompt's cached prefix by endpoint.

        Endpoints without a cached prefix are left out.
        """
        if not parts:
            return {}
        first = parts[0].digest
        return {
            endpoint: self.cached_tokens(endpoint, parts)
            for endpoint, known in self._parts.items()
            if first in known
        }

    def record(self, endpoint: str, parts: Sequence[PromptPart]) -> None:
        """Record that an endpoint processes these parts; evict beyond its capacity."""
        known = self._parts.setdefault(endpoint, OrderedDict())
        for part in parts:
            if part.digest not in known:
                known[part.digest] = part.tokens
                self._cached_totals[endpoint] = (
                    self._cached_totals.get(endpoint, 0) + part.tokens
                )
            known.move_to_end(part.digest)
        capacity = self._capacities.get(
            endpoint, int(_DEFAULT_CAPACITY_TOKENS * _SHARED_PREFIX_SHARE)
        )
        while self._cached_totals.get(endpoint, 0) > capacity and len(known) > len(
            parts
        ):
            _, tokens = known.popitem(last=False)
            self._cached_totals[endpoint] -= tokens

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint that has ended or restarted."""
        self._parts.pop(endpoint, None)
        self._cached_totals.pop(endpoint, None)
        self._capacities.pop(endpoint, None)
