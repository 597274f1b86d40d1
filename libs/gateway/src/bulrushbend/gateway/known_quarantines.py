"""What a quarantine is based on, for other gateways and for the next process."""

from dataclasses import dataclass

from bulrushbend.wire.fleet_pb2 import QuarantineNote

# Longest duration of a quarantine.
MAX_QUARANTINE_MS = 3_600_000.0


@dataclass(frozen=True)
class KnownQuarantine:
    """A quarantine, in force or past, of prompt parts or of a request.

    Attributes
    ----------
    subject : frozenset of str or str
        The parts, or the identity of the request.
    crashed_ms : float
        Monotonic time of the latest crash that it explains, at which it begins.
    duration_ms : float
        Its duration.
    is_established : bool
        Whether responses with the parts began before the crashes.
    is_simultaneous : bool
        Whether the only evidence about a request are crashes at one moment.
    """

    subject: frozenset[str] | str
    crashed_ms: float
    duration_ms: float
    is_established: bool = False
    is_simultaneous: bool = False

    @property
    def is_valid(self) -> bool:
        """Whether it has a subject and a duration that gateways impose."""
        return bool(self.subject) and 0.0 < self.duration_ms <= MAX_QUARANTINE_MS

    @property
    def until_ms(self) -> float:
        """End of the quarantine."""
        return self.crashed_ms + self.duration_ms

    def is_newer_than(self, other: "KnownQuarantine") -> bool:
        """Return whether the subject was quarantined again after `other`.

        The times that gateways state differ by the time of a datagram, so a later crash
        alone does not show that.
        """
        return self.duration_ms > other.duration_ms or self.crashed_ms >= other.until_ms

    def message(self, now_ms: float) -> QuarantineNote:
        """Return the message that describes the quarantine at a time."""
        is_request = isinstance(self.subject, str)
        return QuarantineNote(
            digests=() if is_request else sorted(self.subject),
            identity=self.subject if is_request else "",
            age_ms=max(0, int(now_ms - self.crashed_ms)),
            duration_ms=int(self.duration_ms),
            is_established=self.is_established,
            is_simultaneous=self.is_simultaneous,
        )


def quarantine_from_message(note: QuarantineNote, now_ms: float) -> KnownQuarantine:
    """Return the quarantine that a message describes."""
    return KnownQuarantine(
        note.identity or frozenset(note.digests),
        now_ms - note.age_ms,
        float(note.duration_ms),
        note.is_established,
        note.is_simultaneous,
    )
