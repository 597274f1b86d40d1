"""Lease on the manifest in force: how long it may be used without confirmation."""

from bulrushbend.core.clock import Clock


class ManifestLease:
    """Valid while a recent confirmation shows that no newer manifest was accepted.

    The lease starts when the process sends the renewal request, measured on a clock
    that also runs while the VM is suspended. So neither a delayed reply nor a suspended
    VM extends it: a token that a manifest revokes is rejected everywhere `duration_ms`
    after the manifest was accepted.

    Parameters
    ----------
    clock : Clock
        Source of time.
    length_ms : float
        Duration of the lease after a renewal in milliseconds.
    """

    def __init__(self, clock: Clock, duration_ms: float):
        self._clock = clock
        self._duration_ms = duration_ms
        self._renewal_stamp_ms: float | None = None

    @property
    def is_valid(self) -> bool:
        """Whether requests may be served according to the manifest in force."""
        return self.age_ms < self._duration_ms

    @property
    def age_ms(self) -> float:
        """Milliseconds since the last successful renewal was requested."""
        if self._renewal_stamp_ms is None:
            return float("inf")
        return self._clock.boot_ms() - self._renewal_stamp_ms

    def stamp(self) -> int:
        """Return the time stamp to send with a renewal request."""
        return int(self._clock.boot_ms())

    def renew(self, stamp: int) -> None:
        """Renew the lease after the request with `stamp` was confirmed.

        Replies may arrive out of order; an older one does not shorten the lease.
        """
        self._renewal_stamp_ms = max(self._renewal_stamp_ms or 0.0, float(stamp))
