"""Quarantine of prompt parts that crash the endpoints that respond to them.

An endpoint that crashes ends all of its responses, so a single crash does not show
which request caused it. Two observations narrow it down. A request that crashes every
endpoint has no response yet when the endpoint crashes, and a prompt part with which any
response began is not the cause. What remains are the suspects of the crash. A part that
explains several crashes, with different requests, is quarantined: requests with it are
refused instead of being sent to an endpoint.
"""

import dataclasses
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence, Set
from dataclasses import dataclass, field

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog

# Crashes and requests for which a part has to be suspected before it is quarantined.
# Endpoints that share a fault, such as a lost rack, crash within the interval and count
# as one crash.
_MIN_CRASHES = 2
_MIN_REQUESTS = 2
_SAME_FAULT_INTERVAL_MS = 200.0
# An endpoint needs longer to restart, so reports about it within this time concern the
# same crash.
_SAME_CRASH_INTERVAL_MS = 2_000.0
# Time for which a crash and the start of a response count as evidence.
_EVIDENCE_TTL_MS = 60_000.0
# Duration of the first quarantine of a part. Afterwards requests with it are sent
# again, since it may no longer be the cause, and a single crash suffices for another
# quarantine of twice the duration.
_MIN_QUARANTINE_MS = 60_000.0
_MAX_QUARANTINE_MS = 3_600_000.0
# Bounds on the memory used.
_MAX_SOUND_PARTS = 8_192
_MAX_CRASHES = 64
_MAX_SUSPECTS = 16
_MAX_QUARANTINES = 256


@dataclass(frozen=True)
class Suspect:
    """A request without a response when its endpoint crashed.

    Attributes
    ----------
    request_id : str
        Id of the request.
    digests : tuple of str
        Shared parts of its prompt that may have caused the crash.
    identity : str
        Identity of the request, which its copies share; empty if not known.
    """

    request_id: str
    digests: tuple[str, ...]
    identity: str = ""


@dataclass
class EndpointCrash:
    """A crash of an endpoint and its suspects, at a monotonic time in milliseconds."""

    endpoint: str
    crashed_ms: float
    suspects: dict[str, Suspect] = field(default_factory=dict)


@dataclass(frozen=True)
class _Cause:
    parts: frozenset[str]
    faults: int
    requests: frozenset[str]
    last_ms: float


@dataclass
class _Quarantine:
    until_ms: float
    duration_ms: float


class PromptQuarantine:
    """Collects the evidence about crashes and quarantines prompt parts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    events : EventLog
        Records the parts that are quarantined and released.
    """

    def __init__(self, clock: Clock, events: EventLog):
        self._clock = clock
        self._events = events
        # Times at which responses began with a part, the oldest first.
        self._sound: OrderedDict[str, float] = OrderedDict()
        self._crashes: list[EndpointCrash] = []
        self._suspected: set[str] = set()
        # Quarantines in force and past ones, which determine the next duration.
        self._quarantines: OrderedDict[frozenset[str], _Quarantine] = OrderedDict()

    @property
    def active(self) -> int:
        """Number of quarantines in force."""
        now_ms = self._clock.now_ms()
        return sum(entry.until_ms > now_ms for entry in self._quarantines.values())

    @property
    def crashes(self) -> Sequence[EndpointCrash]:
        """Crashes with suspects, for other gateways."""
        self._expire()
        return [crash for crash in self._crashes if crash.suspects]

    @property
    def suspected(self) -> Set[str]:
        """Parts that are suspected or have been quarantined."""
        return self._suspected

    def remaining_ms(self, digests: Iterable[str]) -> float:
        """Return the time for which a prompt with these parts is quarantined, or 0."""
        if not self._quarantines:
            return 0.0
        now_ms = self._clock.now_ms()
        present = frozenset(digests)
        return max(
            (
                entry.until_ms - now_ms
                for parts, entry in self._quarantines.items()
                if parts <= present
            ),
            default=0.0,
        )

    def unproven(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Return the parts with which no response is known to have begun."""
        oldest_ms = self._clock.now_ms() - _EVIDENCE_TTL_MS
        return tuple(
            digest
            for digest in digests
            if self._sound.get(digest, float("-inf")) < oldest_ms
        )

    def record_sound(self, digests: Iterable[str]) -> list[str]:
        """Record that a response with these parts began.

        Returns the parts that were suspected, which are released.
        """
        now_ms = self._clock.now_ms()
        released = []
        for digest in digests:
            self._sound[digest] = now_ms
            self._sound.move_to_end(digest)
            if digest in self._suspected:
                self._release(digest)
                released.append(digest)
        while len(self._sound) > _MAX_SOUND_PARTS:
            self._sound.popitem(last=False)
        return released

    def explains(self, endpoint: str, crashed_ms: float) -> bool:
        """Return whether a suspect of a crash has quarantined parts."""
        crash = self._find(endpoint, crashed_ms, ()) if self._quarantines else None
        return crash is not None and any(
            parts.issubset(suspect.digests)
            for suspect in crash.suspects.values()
            for parts in self._quarantines
        )

    def record_crash(
        self, endpoint: str, crashed_ms: float, suspects: Iterable[Suspect]
    ) -> bool:
        """Record a crash that this or another gateway observed.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        crashed_ms : float
            Monotonic time of the crash.
        suspects : iterable of Suspect
            Requests without a response.

        Returns
        -------
        is_new : bool
            Whether the crash was not known and is not too old to count.
        """
        self._expire()
        if crashed_ms < self._clock.now_ms() - _EVIDENCE_TTL_MS:
            return False
        suspects = list(suspects)
        request_ids = [suspect.request_id for suspect in suspects]
        crash = self._find(endpoint, crashed_ms, request_ids)
        is_new = crash is None
        if crash is None:
            crash = EndpointCrash(endpoint, crashed_ms)
            self._crashes.append(crash)
            del self._crashes[:-_MAX_CRASHES]
        added: set[str] = set()
        for suspect in suspects:
            digests = self.unproven(suspect.digests)
            is_known = suspect.request_id in crash.suspects
            if digests and not is_known and len(crash.suspects) < _MAX_SUSPECTS:
                crash.suspects[suspect.request_id] = dataclasses.replace(
                    suspect, digests=digests
                )
                added.update(digests)
        if added:
            self._suspected |= added
            self._evaluate()
        return is_new

    def _find(
        self, endpoint: str, crashed_ms: float, request_ids: Collection[str]
    ) -> EndpointCrash | None:
        for crash in self._crashes:
            if crash.endpoint != endpoint:
                continue
            distance_ms = abs(crash.crashed_ms - crashed_ms)
            # A gateway that was frozen reads notes late, so their crashes seem later. A
            # request is not sent to an endpoint twice.
            if distance_ms < _SAME_CRASH_INTERVAL_MS or any(
                request_id in crash.suspects for request_id in request_ids
            ):
                return crash
        return None

    def _evaluate(self) -> None:
        """Quarantine the parts that explain the crashes.

        The strongest cause is chosen first. Suspects that contain it are no evidence
        against the other parts of their prompts.
        """
        crashes = sorted(self._crashes, key=lambda crash: crash.crashed_ms)
        unexplained = [
            (crash.crashed_ms, suspect)
            for crash in crashes
            for suspect in crash.suspects.values()
        ]
        every = [frozenset(suspect.digests) for _, suspect in unexplained]
        causes: list[frozenset[str]] = []
        while cause := max(self._causes(unexplained), key=_strength, default=None):
            causes.append(cause.parts)
            self._impose(cause)
            unexplained = [
                entry
                for entry in unexplained
                if not cause.parts <= set(entry[1].digests)
            ]
        for parts in self._quarantines.keys() - set(causes):
            supporters = [digests for digests in every if parts <= digests]
            if supporters and all(
                any(cause <= digests for cause in causes) for digests in supporters
            ):
                self._end(parts)

    def _causes(self, suspects: Sequence[tuple[float, Suspect]]) -> list[_Cause]:
        """Return the possible causes for which the evidence suffices.

        Parts that occur in the same suspects only cannot be told apart and form one
        cause: prompts with all of them are refused. Those with one of them are sent,
        which shows whether it is sound.
        """
        support: dict[str, list[int]] = {}
        for number, (_, suspect) in enumerate(suspects):
            for digest in suspect.digests:
                support.setdefault(digest, []).append(number)
        parts_by_support: dict[tuple[int, ...], set[str]] = {}
        for digest, numbers in support.items():
            parts_by_support.setdefault(tuple(numbers), set()).add(digest)
        causes = []
        for numbers, digests in parts_by_support.items():
            times_ms = [suspects[number][0] for number in numbers]
            cause = _Cause(
                parts=frozenset(digests),
                faults=_count_faults(times_ms),
                requests=frozenset(suspects[n][1].request_id for n in numbers),
                last_ms=times_ms[-1],
            )
            # Copies of one request do not show which of its parts is the cause.
            different = {
                suspects[n][1].identity or suspects[n][1].request_id for n in numbers
            }
            is_proven = cause.faults >= _MIN_CRASHES and len(different) >= _MIN_REQUESTS
            if is_proven or cause.parts in self._quarantines:
                causes.append(cause)
        return causes

    def _impose(self, cause: _Cause) -> None:
        past = self._quarantines.get(cause.parts)
        if past is not None and cause.last_ms < past.until_ms:
            return
        duration_ms = _MIN_QUARANTINE_MS
        if past is not None:
            duration_ms = min(_MAX_QUARANTINE_MS, 2.0 * past.duration_ms)
        until_ms = cause.last_ms + duration_ms
        self._quarantines[cause.parts] = _Quarantine(until_ms, duration_ms)
        self._quarantines.move_to_end(cause.parts)
        if len(self._quarantines) > _MAX_QUARANTINES:
            self._quarantines.popitem(last=False)
        self._events.write(
            EventKind.PROMPT_QUARANTINED,
            digests=sorted(cause.parts),
            crashes=cause.faults,
            requests=sorted(cause.requests),
            pause_ms=round(duration_ms),
        )

    def _end(self, parts: frozenset[str]) -> None:
        del self._quarantines[parts]
        self._events.write(EventKind.PROMPT_RELEASED, digests=sorted(parts))

    def _release(self, digest: str) -> None:
        """Drop a part from the suspects and end its quarantine."""
        self._suspected.discard(digest)
        for crash in self._crashes:
            for suspect in list(crash.suspects.values()):
                if digest not in suspect.digests:
                    continue
                digests = tuple(d for d in suspect.digests if d != digest)
                if digests:
                    crash.suspects[suspect.request_id] = dataclasses.replace(
                        suspect, digests=digests
                    )
                else:
                    del crash.suspects[suspect.request_id]
        for parts in [parts for parts in self._quarantines if digest in parts]:
            self._end(parts)
        self._evaluate()

    def _expire(self) -> None:
        oldest_ms = self._clock.now_ms() - _EVIDENCE_TTL_MS
        # Reports of other gateways do not arrive in the order of the crashes.
        if any(crash.crashed_ms < oldest_ms for crash in self._crashes):
            self._crashes = [c for c in self._crashes if c.crashed_ms >= oldest_ms]
            self._suspected = {
                digest
                for crash in self._crashes
                for suspect in crash.suspects.values()
                for digest in suspect.digests
            }.union(*self._quarantines)


def _count_faults(times_ms: Iterable[float]) -> int:
    """Count crashes at these times, in order; those within an interval are one."""
    faults = 0
    began_ms = float("-inf")
    for at_ms in times_ms:
        if at_ms - began_ms >= _SAME_FAULT_INTERVAL_MS:
            faults += 1
            began_ms = at_ms
    return faults


def _strength(cause: _Cause) -> tuple[int, int, list[str]]:
    return cause.faults, len(cause.requests), sorted(cause.parts)
