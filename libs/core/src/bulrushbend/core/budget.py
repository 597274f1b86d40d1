"""Retry budget."""

# Allows one retry right after the start, before requests have earned any.
_INITIAL_TOKENS = 1.0
# Burst of retries allowed after a period without retries.
_MAX_TOKENS = 100.0


class RetryBudget:
    """Token bucket that limits retries to ``1 + share * requests``.

    Without the limit, retries would multiply the load of a fleet whose endpoints fail.

    Parameters
    ----------
    share : float, default=0.0
        Tokens added for each request; with 0 nothing is retried.
    max_tokens : float, default=100.0
        Capacity of the bucket: burst of retries allowed after a period without
        retries.
    """

    def __init__(self, share: float = 0.0, max_tokens: float = _MAX_TOKENS):
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = _INITIAL_TOKENS

    @property
    def tokens(self) -> float:
        """Number of retries allowed now."""
        return self._tokens if self._share > 0.0 else 0.0

    def set_share(self, share: float) -> None:
        """Set the number of tokens that each request adds."""
        self._share = share

    def set_max_tokens(self, max_tokens: float) -> None:
        """Set the capacity of the bucket and drop the tokens above it."""
        self._max_tokens = max_tokens
        self._tokens = min(self._tokens, max_tokens)

    def record_request(self) -> None:
        """Add the tokens of one request."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Use one token for a retry; return False if none is left."""
        # Tokens are floating-point sums: ten times 0.1 is slightly less than one.
        if self.tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def release(self) -> None:
        """Return the token of a retry that was not made."""
        self._tokens = min(self._max_tokens, self._tokens + 1.0)
