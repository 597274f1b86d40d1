"""Shared parts of prompts that endpoints are believed to hold.

Endpoints publish what they hold late and with gaps. What the gateways gave them to read
is known at once, and the least recently used parts are the first that they drop.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from bulrushbend.gateway.call import PromptPart

# Share of an endpoint's memory that shared parts may fill; running requests take the
# rest.
_SHARED_PREFIX_SHARE = 0.6
# Memory of an endpoint that does not say how much it has.
_DEFAULT_CAPACITY_TOKENS = 400_000


class PrefixCacheIndex:
    """Shared parts by endpoint, the least recently used dropped first."""

    def __init__(self) -> None:
        self._parts: dict[str, OrderedDict[str, int]] = {}
        self._cached: dict[str, int] = {}
        self._capacities: dict[str, int] = {}

    def set_capacity(self, endpoint: str, tokens: int | None) -> None:
        """Take the size of an endpoint's memory in tokens."""
        self._capacities[endpoint] = int(
            (tokens or _DEFAULT_CAPACITY_TOKENS) * _SHARED_PREFIX_SHARE
        )

    def cached_tokens(self, endpoint: str, parts: Iterable[PromptPart]) -> int:
        """Return the tokens at the start of a prompt that the endpoint holds."""
        known = self._parts.get(endpoint)
        cached = 0
        if known:
            for part in parts:
                if part.digest not in known:
                    break
                cached += part.tokens
        return cached

    def cached_tokens_by_endpoint(self, parts: Sequence[PromptPart]) -> dict[str, int]:
        """Return the tokens that each endpoint holds of the start of a prompt.

        Endpoints that hold none are left out.
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
        """Note that an endpoint reads these parts."""
        known = self._parts.setdefault(endpoint, OrderedDict())
        for part in parts:
            if part.digest not in known:
                known[part.digest] = part.tokens
                self._cached[endpoint] = self._cached.get(endpoint, 0) + part.tokens
            known.move_to_end(part.digest)
        capacity = self._capacities.get(
            endpoint, int(_DEFAULT_CAPACITY_TOKENS * _SHARED_PREFIX_SHARE)
        )
        while self._cached.get(endpoint, 0) > capacity and len(known) > len(parts):
            _, tokens = known.popitem(last=False)
            self._cached[endpoint] -= tokens

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint that has ended or started anew."""
        self._parts.pop(endpoint, None)
        self._cached.pop(endpoint, None)
        self._capacities.pop(endpoint, None)
