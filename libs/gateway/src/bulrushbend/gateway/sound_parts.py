"""Times at which responses began with the parts of prompts."""

from collections import OrderedDict
from dataclasses import dataclass

# Time in which the count of responses with a part halves.
_HALF_LIFE_MS = 30_000.0
# Bounds the memory used.
_MAX_PARTS = 8_192
_NEVER_MS = float("-inf")


@dataclass
class _SoundPart:
    last_ms: float = _NEVER_MS
    observed_ms: float = _NEVER_MS
    responses: float = 0.0


class SoundParts:
    """Remembers which parts of prompts did not crash an endpoint, and until when.

    Times are monotonic, in milliseconds.
    """

    def __init__(self) -> None:
        # The part that was recorded last is at the end.
        self._parts: OrderedDict[str, _SoundPart] = OrderedDict()

    def record(self, digest: str, began_ms: float, is_observed: bool) -> None:
        """Record that a response with a part began at a time.

        Parameters
        ----------
        digest : str
            Digest of the part.
        began_ms : float
            Time at which the response began.
        is_observed : bool
            Whether this gateway forwarded the response.
        """
        part = self._parts.setdefault(digest, _SoundPart())
        self._parts.move_to_end(digest)
        if is_observed:
            elapsed_ms = max(0.0, began_ms - part.observed_ms)
            part.responses = 1.0 + part.responses * 0.5 ** (elapsed_ms / _HALF_LIFE_MS)
            part.observed_ms = max(part.observed_ms, began_ms)
        part.last_ms = max(part.last_ms, began_ms)
        if len(self._parts) > _MAX_PARTS:
            self._parts.popitem(last=False)

    def last_ms(self, digest: str) -> float:
        """Return when the latest response with a part began, ``-inf`` if none did."""
        part = self._parts.get(digest)
        return _NEVER_MS if part is None else part.last_ms

    def observed_ms(self, digest: str) -> float:
        """Return when the latest response began that this gateway forwarded."""
        part = self._parts.get(digest)
        return _NEVER_MS if part is None else part.observed_ms

    def responses(self, digest: str) -> float:
        """Return the number of recent responses with a part, older ones for less."""
        part = self._parts.get(digest)
        return 0.0 if part is None else part.responses
