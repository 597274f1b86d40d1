"""Shared parts of prompts that endpoints are believed to hold.

Endpoints publish what they hold late and with gaps. What the gateways gave them to read
is known at once, and the least recently used parts are the first that they drop.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from bulrushbend.gateway.call import PromptPart

# Share of an endpoint's memory that shared parts may fill; running requests take the
# rest.
_SHARED_SHARE = 0.6
# Memory of an endpoint that does not say how much it has.
_DEFAULT_TOKENS = 400_000


class PromptHoldings:
    """Shared parts by endpoint, the least recently used dropped first."""

    def __init__(self) -> None:
        self._parts: dict[str, OrderedDict[str, int]] = {}
        self._held: dict[str, int] = {}
        self._most: dict[str, int] = {}

    def set_memory(self, endpoint: str, tokens: int | None) -> None:
        """Take the size of an endpoint's memory in tokens."""
        self._most[endpoint] = int((tokens or _DEFAULT_TOKENS) * _SHARED_SHARE)

    def held_tokens(self, endpoint: str, parts: Iterable[PromptPart]) -> int:
        """Return the tokens at the start of a prompt that the endpoint holds."""
        known = self._parts.get(endpoint)
        held = 0
        if known:
            for part in parts:
                if part.digest not in known:
                    break
                held += part.tokens
        return held

    def held_by(self, parts: Sequence[PromptPart]) -> dict[str, int]:
        """Return the tokens that each endpoint holds of the start of a prompt.

        Endpoints that hold none are left out.
        """
        if not parts:
            return {}
        first = parts[0].digest
        return {
            endpoint: self.held_tokens(endpoint, parts)
            for endpoint, known in self._parts.items()
            if first in known
        }

    def give(self, endpoint: str, parts: Sequence[PromptPart]) -> None:
        """Note that an endpoint reads these parts."""
        known = self._parts.setdefault(endpoint, OrderedDict())
        for part in parts:
            if part.digest not in known:
                known[part.digest] = part.tokens
                self._held[endpoint] = self._held.get(endpoint, 0) + part.tokens
            known.move_to_end(part.digest)
        most = self._most.get(endpoint, int(_DEFAULT_TOKENS * _SHARED_SHARE))
        while self._held.get(endpoint, 0) > most and len(known) > len(parts):
            _, tokens = known.popitem(last=False)
            self._held[endpoint] -= tokens

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that has ended or started anew."""
        self._parts.pop(endpoint, None)
        self._held.pop(endpoint, None)
        self._most.pop(endpoint, None)
