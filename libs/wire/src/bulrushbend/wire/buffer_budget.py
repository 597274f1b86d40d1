"""Bound on what the connections of a process keep together."""


class BufferBudget:
    """Counts the bytes in the buffers of all connections.

    Parameters
    ----------
    limit : int
        Maximum number of bytes.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._used = 0

    @property
    def limit(self) -> int:
        """Maximum number of bytes."""
        return self._limit

    @property
    def used(self) -> int:
        """Number of bytes that are reserved."""
        return self._used

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return whether the limit allows it."""
        if self._used + size > self._limit:
            return False
        self._used += size
        return True

    def release(self, size: int) -> None:
        """Release bytes that were reserved."""
        self._used -= size
