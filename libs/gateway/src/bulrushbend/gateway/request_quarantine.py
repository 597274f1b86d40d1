"""Quarantine of requests that crash the endpoints that run them.

A request that crashes every endpoint may share all parts of its prompt with sound ones,
or have none. What its copies have in common is their identity (`Call.identity`).

Each request that an endpoint had just begun to run when it crashed is a candidate for
the cause. A complete response that began after the crash clears it. A candidate of
several crashes is quarantined if no other one was present at the same crashes.
Candidates that cannot be told apart are quarantined together after a further crash.
Crashes that a quarantined prompt part explains are no evidence about requests. After a
quarantine one copy at a time is sent, until one of them is answered completely.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Hashable, Iterable, Sequence, Set
from dataclasses import dataclass, field

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway.known_quarantines import (
    MAX_QUARANTINE_MS,
    KnownQuarantine,
)
from bulrushbend.gateway.trials import Trials

# Crashes after which a request is quarantined, by whether it is the only candidate of
# all of them. Endpoints that share a fault, such as a lost rack, crash within the
# interval and count as one crash, unless the request was at all of them: copies that
# are sent at the same time crash several endpoints at once. A sound request with copies
# at several endpoints is released soon, when one of its other copies ends.
_MIN_CRASHES = 2
_MIN_CRASHES_IF_AMBIGUOUS = 3
_SAME_FAULT_INTERVAL_MS = 200.0
# An endpoint needs longer to restart, so reports about it within this time concern the
# same crash.
_SAME_CRASH_INTERVAL_MS = 2_000.0
# Time for which a crash counts as evidence.
_EVIDENCE_TTL_MS = 60_000.0
# Duration of the first quarantine of a request. Afterwards one copy is sent, since it
# may no longer be the cause. Within the same time a single crash suffices for another
# quarantine of twice the duration.
_MIN_QUARANTINE_MS = 60_000.0
# Time in which one gateway may send a copy after a quarantine, and learn whether the
# endpoint crashed, before the next one does.
_TRIAL_TURN_MS = 3_000.0
# Bounds on the memory used.
_MAX_CRASHES = 64
_MAX_CANDIDATES = 32
_MAX_COPIES = 4
_MAX_COMPLETED = 1_024
_MAX_QUARANTINES = 256


@dataclass
class CandidateCrash:
    """A crash of an endpoint, at a monotonic time in milliseconds.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint.
    crashed_ms : float
        Time of the crash.
    candidates : dict of str to set of str
        Ids of the requests that may be the cause, by identity.
    """

    endpoint: str
    crashed_ms: float
    candidates: dict[str, set[str]] = field(default_factory=dict)


@dataclass(frozen=True)
class _Cause:
    identities: frozenset[str]
    faults: int
    requests: frozenset[str]
    last_ms: float
    is_simultaneous: bool


class RequestQuarantine:
    """Collects the evidence about crashes and quarantines requests by identity.

    Parameters
    ----------
    clock : Clock
        Source of time.
    events : EventLog
        Records the requests that are quarantined and released.
    is_explained : callable
        Returns whether the crash of an endpoint at a time has another known cause.
    turn : callable, optional
        Returns how many gateways try a request before this one, by its identity.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        is_explained: Callable[[str, float], bool],
        turn: Callable[[str], int] = lambda identity: 0,
    ):
        self._is_explained = is_explained
        self._turn = turn
        self._clock = clock
        self._events = events
        # Crashes in the order of their times, and their number by candidate.
        self._crashes: list[CandidateCrash] = []
        self._counts: Counter[str] = Counter()
        # Times at which complete responses to former candidates began.
        self._completed: OrderedDict[str, float] = OrderedDict()
        # Quarantines in force and past ones, which determine the next duration.
        self._quarantines: OrderedDict[str, KnownQuarantine] = OrderedDict()
        self._started_ms = clock.now_ms()
        self._trials = Trials(clock)

    @property
    def active(self) -> int:
        """Number of quarantines in force."""
        now_ms = self._clock.now_ms()
        return sum(entry.until_ms > now_ms for entry in self._quarantines.values())

    @property
    def has_quarantines(self) -> bool:
        """Whether there are quarantines, in force or past."""
        return bool(self._quarantines)

    @property
    def has_candidates(self) -> bool:
        """Whether a request may be the cause of a recent crash."""
        self._expire()
        return bool(self._counts or self._quarantines)

    @property
    def crashes(self) -> Sequence[CandidateCrash]:
        """Crashes for other gateways, those that led to a quarantine last."""
        self._expire()
        crashes = [crash for crash in self._crashes if crash.candidates]
        crashes.sort(
            key=lambda crash: not self._quarantines.keys().isdisjoint(crash.candidates)
        )
        return crashes

    @property
    def known(self) -> tuple[KnownQuarantine, ...]:
        """Quarantines in force and past ones, the latest last."""
        self._expire()
        return tuple(self._quarantines.values())

    def adopt(self, quarantine: KnownQuarantine) -> bool:
        """Adopt a quarantine that another gateway or an earlier process imposed.

        The evidence decides about crashes that this gateway could observe.

        Returns
        -------
        is_disproved : bool
            Whether there was a complete response since, so that it has ended.
        """
        identity = quarantine.subject
        if self.completed_ms(identity) >= quarantine.crashed_ms:
            return True
        now_ms = self._clock.now_ms()
        observed_ms = max(self._started_ms, now_ms - _EVIDENCE_TTL_MS)
        known = self._quarantines.get(identity)
        if (
            quarantine.crashed_ms < observed_ms
            and now_ms < quarantine.until_ms + quarantine.duration_ms
            and (known is None or quarantine.is_newer_than(known))
        ):
            self._set(quarantine)
            self._events.write(
                EventKind.REQUEST_QUARANTINED,
                identity=identity,
                reason="adopted",
                pause_ms=round(quarantine.until_ms - now_ms),
            )
        return False

    def remaining_ms(self, identity: str, request: Hashable | None = None) -> float:
        """Return the time for which a request is quarantined, or 0.

        Parameters
        ----------
        identity : str
            Identity of the request.
        request : hashable, optional
            The copy that is going to be sent if the result is 0. It begins the trial
            of a request that was quarantined.
        """
        entry = self._quarantines.get(identity)
        if entry is None:
            return 0.0
        remaining_ms = max(0.0, entry.until_ms - self._clock.now_ms())
        if remaining_ms <= 0.0 and request is not None:
            remaining_ms = self._waiting_ms(identity, entry, request)
            if remaining_ms <= 0.0:
                self._trials.begin(identity, request)
        return remaining_ms

    def _waiting_ms(
        self, identity: str, quarantine: KnownQuarantine, request: Hashable
    ) -> float:
        """Return the time for which a copy waits for its trial, 0 if it is admitted.

        The gateways take turns: copies may arrive at all of them at the same time, and
        each of those would crash an endpoint. A gateway that gets none lets the next
        one have its turn.
        """
        turn_ms = quarantine.until_ms + self._turn(identity) * _TRIAL_TURN_MS
        left_ms = turn_ms - self._clock.now_ms()
        if left_ms > 0.0:
            return min(left_ms, _TRIAL_TURN_MS)
        return self._trials.waiting_ms(identity, request)

    def end_request(self, request: Hashable) -> None:
        """End the trial of a copy that has ended."""
        self._trials.end_request(request)

    def completed_ms(self, identity: str) -> float:
        """Return when the latest complete response began, ``-inf`` if none is known."""
        return self._completed.get(identity, float("-inf"))

    def is_candidate(self, identity: str, except_endpoint: str = "") -> bool:
        """Return whether a request may be the cause of a recent crash.

        Parameters
        ----------
        identity : str
            Identity of the request.
        except_endpoint : str, default=""
            Endpoint whose crashes are not considered.
        """
        self._expire()
        if identity in self._quarantines:
            return True
        return identity in self._counts and any(
            identity in crash.candidates and crash.endpoint != except_endpoint
            for crash in self._crashes
        )

    def record_complete(self, identity: str, began_ms: float | None = None) -> bool:
        """Record a complete response; return whether the request was a candidate.

        Parameters
        ----------
        identity : str
            Identity of the request.
        began_ms : float, optional
            Monotonic time at which the response began; now by default. It is no
            evidence about later crashes.
        """
        if identity not in self._quarantines and identity not in self._counts:
            return False
        now_ms = self._clock.now_ms()
        began_ms = now_ms if began_ms is None else began_ms
        entry = self._quarantines.get(identity)
        if entry is not None and entry.is_simultaneous:
            # The copies that ran when the endpoints crashed are evidence as well.
            began_ms = now_ms
        was_relevant = self._is_relevant(identity)
        for crash in self._crashes:
            if crash.crashed_ms <= began_ms and identity in crash.candidates:
                del crash.candidates[identity]
                self._counts[identity] -= 1
        if not self._counts[identity]:
            del self._counts[identity]
        self._completed[identity] = max(began_ms, self.completed_ms(identity))
        self._completed.move_to_end(identity)
        if len(self._completed) > _MAX_COMPLETED:
            self._completed.popitem(last=False)
        if entry is not None and began_ms >= entry.crashed_ms:
            self._end(identity)
        if was_relevant:
            self.evaluate()
        return True

    def record_crash(
        self,
        endpoint: str,
        crashed_ms: float,
        candidates: Iterable[tuple[str, str]],
    ) -> list[str]:
        """Record a crash that this or another gateway observed.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        crashed_ms : float
            Monotonic time of the crash.
        candidates : iterable of tuple of str
            Identity and id of each request that may be the cause.

        Returns
        -------
        completed : list of str
            Identities with a complete response that began after the crash.
        """
        self._expire()
        if crashed_ms < self._clock.now_ms() - _EVIDENCE_TTL_MS:
            return []
        candidates = list(candidates)
        request_ids = {request_id for _, request_id in candidates}
        known = self._find(endpoint, crashed_ms, request_ids)
        crash = known or CandidateCrash(endpoint, crashed_ms)
        completed = []
        has_changed = False
        for identity, request_id in candidates:
            # A gateway of an earlier version sends none.
            if not identity:
                continue
            if self._completed.get(identity, float("-inf")) >= crash.crashed_ms:
                completed.append(identity)
                continue
            copies = crash.candidates.get(identity)
            if copies is None:
                if len(crash.candidates) >= _MAX_CANDIDATES:
                    continue
                copies = crash.candidates[identity] = set()
                self._counts[identity] += 1
            if request_id not in copies and len(copies) < _MAX_COPIES:
                copies.add(request_id)
                has_changed = has_changed or self._is_relevant(identity)
        if known is None:
            self._add_crash(crash)
        if known is None:
            self._release_unproven(crash)
        if has_changed:
            self.evaluate()
        return completed

    def evaluate(self) -> None:
        """Quarantine the requests that explain the crashes, and release others.

        The strongest cause is chosen first. A crash that it explains is no evidence
        against the other candidates.
        """
        unexplained: list[CandidateCrash] = []
        explained: set[str] = set()
        for crash in self._crashes:
            if self._is_explained(crash.endpoint, crash.crashed_ms):
                explained.update(crash.candidates)
            else:
                unexplained.append(crash)
        imposed: set[str] = set()
        while cause := max(self._causes(unexplained), key=_strength, default=None):
            imposed |= cause.identities
            self._impose(cause)
            for crash in unexplained:
                if not cause.identities.isdisjoint(crash.candidates):
                    explained.update(crash.candidates)
            unexplained = [
                crash
                for crash in unexplained
                if cause.identities.isdisjoint(crash.candidates)
            ]
        for identity in self._quarantines.keys() & explained - imposed:
            if not any(identity in crash.candidates for crash in unexplained):
                self._end(identity)

    def _release_unproven(self, crash: CandidateCrash) -> None:
        """Release requests that did not cause a crash at the moment of their crashes.

        Parameters
        ----------
        crash : CandidateCrash
            The crash that was added last.
        """
        for identity, entry in list(self._quarantines.items()):
            if not entry.is_simultaneous or identity in crash.candidates:
                continue
            supporting = [c for c in self._crashes if identity in c.candidates]
            if (
                len(supporting) >= _MIN_CRASHES
                and _count_faults(supporting, identity) < _MIN_CRASHES
                and not _explains_all_at_once(self._crashes, supporting)
            ):
                self._end(identity)

    def _is_relevant(self, identity: str) -> bool:
        """Return whether a candidate may be a cause for which the evidence suffices."""
        return self._counts[identity] >= _MIN_CRASHES or identity in self._quarantines

    def _add_crash(self, crash: CandidateCrash) -> None:
        """Add a crash; one without candidates shows that endpoints share a fault."""
        self._crashes.append(crash)
        self._crashes.sort(key=lambda entry: entry.crashed_ms)
        if len(self._crashes) > _MAX_CRASHES:
            empty = (entry for entry in self._crashes if not entry.candidates)
            oldest_empty = next(empty, None)
            if oldest_empty is not None:
                self._crashes.remove(oldest_empty)
        self._drop_oldest(len(self._crashes) - _MAX_CRASHES)

    def _drop_oldest(self, number: int) -> None:
        for crash in self._crashes[: max(0, number)]:
            self._counts.subtract(crash.candidates.keys())
            for identity in crash.candidates:
                if not self._counts[identity]:
                    del self._counts[identity]
        del self._crashes[: max(0, number)]

    def _find(
        self, endpoint: str, crashed_ms: float, request_ids: Set[str]
    ) -> CandidateCrash | None:
        for crash in self._crashes:
            if crash.endpoint != endpoint:
                continue
            distance_ms = abs(crash.crashed_ms - crashed_ms)
            # A gateway that was frozen reads notes late, so their crashes seem later. A
            # request is not sent to an endpoint twice.
            if distance_ms < _SAME_CRASH_INTERVAL_MS or any(
                not copies.isdisjoint(request_ids)
                for copies in crash.candidates.values()
            ):
                return crash
        return None

    def _causes(self, crashes: Sequence[CandidateCrash]) -> list[_Cause]:
        """Return the possible causes for which the evidence suffices."""
        support: dict[str, list[int]] = {}
        for number, crash in enumerate(crashes):
            for identity in filter(self._is_relevant, crash.candidates):
                support.setdefault(identity, []).append(number)
        identities_by_support: dict[tuple[int, ...], set[str]] = {}
        for identity, numbers in support.items():
            identities_by_support.setdefault(tuple(numbers), set()).add(identity)
        causes = []
        for numbers, identities in identities_by_support.items():
            supporting = [crashes[number] for number in numbers]
            faults = max(_count_faults(supporting, name) for name in identities)
            if len(identities) > 1:
                is_proven = faults >= _MIN_CRASHES_IF_AMBIGUOUS
            else:
                is_proven = faults >= _MIN_CRASHES or _explains_all_at_once(
                    crashes, supporting
                )
            if not is_proven:
                identities = identities & self._quarantines.keys()
            if identities:
                requests = {
                    request
                    for crash in supporting
                    for identity in identities
                    for request in crash.candidates[identity]
                }
                causes.append(
                    _Cause(
                        frozenset(identities),
                        faults,
                        frozenset(requests),
                        supporting[-1].crashed_ms,
                        is_proven and faults < _MIN_CRASHES,
                    )
                )
        return causes

    def _impose(self, cause: _Cause) -> None:
        for identity in sorted(cause.identities):
            past = self._quarantines.get(identity)
            if past is not None and cause.last_ms < past.until_ms:
                continue
            duration_ms = _MIN_QUARANTINE_MS
            if past is not None:
                duration_ms = min(MAX_QUARANTINE_MS, 2.0 * past.duration_ms)
            self._set(
                KnownQuarantine(
                    identity,
                    cause.last_ms,
                    duration_ms,
                    is_simultaneous=cause.is_simultaneous,
                )
            )
            self._events.write(
                EventKind.REQUEST_QUARANTINED,
                identity=identity,
                crashes=cause.faults,
                requests=sorted(cause.requests),
                pause_ms=round(duration_ms),
            )

    def _set(self, quarantine: KnownQuarantine) -> None:
        identity = quarantine.subject
        self._quarantines[identity] = quarantine
        self._quarantines.move_to_end(identity)
        self._trials.end(identity)
        if len(self._quarantines) > _MAX_QUARANTINES:
            self._quarantines.popitem(last=False)

    def _end(self, identity: str) -> None:
        del self._quarantines[identity]
        self._trials.end(identity)
        self._events.write(EventKind.REQUEST_RELEASED, identity=identity)

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - _EVIDENCE_TTL_MS
        self._drop_oldest(sum(crash.crashed_ms < oldest_ms for crash in self._crashes))
        forgotten = [
            identity
            for identity, entry in self._quarantines.items()
            if now_ms >= entry.until_ms + entry.duration_ms
        ]
        for identity in forgotten:
            del self._quarantines[identity]


def _count_faults(crashes: Iterable[CandidateCrash], identity: str) -> int:
    """Count the crashes of a request, in order; those within an interval are one.

    Attempts of one request follow each other, so its next crash is another fault.
    """
    faults = 0
    began_ms = float("-inf")
    earlier: set[str] = set()
    for crash in crashes:
        requests = crash.candidates[identity]
        is_later = crash.crashed_ms - began_ms >= _SAME_FAULT_INTERVAL_MS
        if is_later or not requests.isdisjoint(earlier):
            faults += 1
            began_ms = crash.crashed_ms
        earlier |= requests
    return faults


def _explains_all_at_once(
    crashes: Sequence[CandidateCrash], supporting: Sequence[CandidateCrash]
) -> bool:
    """Return whether enough of the crashes happened at once, and no others then.

    Others count within the interval before the first of them, too.
    """
    supporting_times = [crash.crashed_ms for crash in supporting]
    times = [crash.crashed_ms for crash in crashes]
    for began_ms in supporting_times:
        end_ms = began_ms + _SAME_FAULT_INTERVAL_MS
        number = sum(began_ms <= at_ms < end_ms for at_ms in supporting_times)
        if number >= _MIN_CRASHES and number == sum(
            began_ms - _SAME_FAULT_INTERVAL_MS < at_ms < end_ms for at_ms in times
        ):
            return True
    return False


def _strength(cause: _Cause) -> tuple[int, int, list[str]]:
    return cause.faults, len(cause.requests), sorted(cause.identities)
