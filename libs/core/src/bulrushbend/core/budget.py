"""Budget of retries."""

# A router that has just started may retry once before it has seen many requests.
_FIRST_TOKENS = 1.0
# Retries that may follow each other after a quiet time.
_MOST_TOKENS = 100.0


class RetryBudget:
    """Token bucket that keeps retries at ``1 + share * requests``.

    A fleet whose endpoints fail would otherwise multiply its own load.

    Parameters
    ----------
    share : float, default=0.0
        Tokens earned by each request; with 0 nothing is retried.
    most_tokens : float, default=100.0
        Retries that may follow each other after a quiet time.
    """

    def __init__(self, share: float = 0.0, max_tokens: float = _MOST_TOKENS):
        self._share = share
        self._most_tokens = max_tokens
        self._tokens = _FIRST_TOKENS

    @property
    def tokens(self) -> float:
        """Retries that are allowed now."""
        return self._tokens if self._share > 0.0 else 0.0

    def set_share(self, share: float) -> None:
        """Put a new share of retries in force."""
        self._share = share

    def set_max_tokens(self, max_tokens: float) -> None:
        """Put a new bound on retries in a row in force."""
        self._most_tokens = max_tokens
        self._tokens = min(self._tokens, max_tokens)

    def record_request(self) -> None:
        """Count one request."""
        self._tokens = min(self._most_tokens, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Use one retry; False if none is left."""
        # Earned in floating point: ten times 0.1 is a little less than one.
        if self.tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True
