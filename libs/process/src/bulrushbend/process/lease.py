"""Lease on the manifest in force: how long a process may act on it unconfirmed."""

from bulrushbend.core.clock import Clock


class ManifestLease:
    """Valid while control confirmed not long ago that no newer manifest was accepted.

    A renewal counts from the time at which the process asked, in time that also counts
    suspension, so neither a delayed answer nor a frozen VM makes the lease longer: a
    token that a manifest takes away is refused everywhere `length_ms` after the
    manifest was accepted.

    Parameters
    ----------
    clock : Clock
        Source of time.
    length_ms : float
        How long a renewal lasts in milliseconds.
    """

    def __init__(self, clock: Clock, duration_ms: float):
        self._clock = clock
        self._duration_ms = duration_ms
        self._renewal_stamp_ms: float | None = None

    @property
    def is_valid(self) -> bool:
        """Whether requests may be served by the manifest in force."""
        return self.age_ms < self._duration_ms

    @property
    def age_ms(self) -> float:
        """Time since the request of the last renewal in milliseconds."""
        if self._renewal_stamp_ms is None:
            return float("inf")
        return self._clock.boot_ms() - self._renewal_stamp_ms

    def stamp(self) -> int:
        """Return the present time for a request for renewal."""
        return int(self._clock.boot_ms())

    def renew(self, stamp: int) -> None:
        """Take the confirmation of the request with `stamp`."""
        self._renewal_stamp_ms = max(self._renewal_stamp_ms or 0.0, float(stamp))
