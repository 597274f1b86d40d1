"""Quarantine of prompt parts that crash the endpoints that respond to them.

An endpoint that crashes ends all of its responses, so a single crash does not show
which request caused it. Two observations narrow it down. A request that crashes every
endpoint has no response yet, or one that has just begun, when the endpoint crashes. And
a prompt part with which a response began after the crash is not the cause. What remains
are the suspects of the crash. A part that explains several crashes, with different
requests, is quarantined: requests with it are refused instead of being sent to an
endpoint.

A part with which responses began shortly before a crash may have become deadly since,
but it may also be in use by everybody. Such an established part is suspected in the
second place: only crashes that no other part explains count, and it needs some time
without a response between them. Among several, the one with the fewest responses is
the likeliest cause. A wrong choice would refuse many sound requests, so its quarantine
is short at first.

After a quarantine one request at a time is sent, until a response with the part begins.
"""

import dataclasses
import functools
from collections import OrderedDict
from collections.abc import Collection, Hashable, Iterable, Sequence, Set
from dataclasses import dataclass, field

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway.known_quarantines import (
    MAX_QUARANTINE_MS,
    KnownQuarantine,
)
from bulrushbend.gateway.sound_parts import SoundParts
from bulrushbend.gateway.trials import Trials

# Crashes and requests for which a part has to be suspected before it is quarantined.
# Endpoints that share a fault, such as a lost rack, crash within the interval and count
# as one crash.
_MIN_CRASHES = 2
_MIN_REQUESTS = 2
_SAME_FAULT_INTERVAL_MS = 200.0
# The same for an established part. A response with a sound one begins meanwhile.
_ESTABLISHED_FAULT_INTERVAL_MS = 1_000.0
# An endpoint needs longer to restart, so reports about it within this time concern the
# same crash.
_SAME_CRASH_INTERVAL_MS = 2_000.0
# Time for which a crash and the start of a response count as evidence.
_EVIDENCE_TTL_MS = 60_000.0
# Duration of the first quarantine of a part. Afterwards one request with it is sent,
# since it may no longer be the cause, and a single crash suffices for another
# quarantine of twice the duration.
_MIN_QUARANTINE_MS = 60_000.0
_MIN_ESTABLISHED_QUARANTINE_MS = 10_000.0
# Bounds on the memory used.
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
    established : tuple of str
        Further parts that may be the cause, with which responses began in the time
        before the crash.
    """

    request_id: str
    digests: tuple[str, ...]
    identity: str = ""
    established: tuple[str, ...] = ()

    @functools.cached_property
    def parts(self) -> frozenset[str]:
        """All parts that may have caused the crash."""
        return frozenset(self.digests + self.established)

    @property
    def source(self) -> str:
        """What tells different requests apart, but not copies of one."""
        return self.identity or self.request_id


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
    is_established: bool = False


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
        self._sound = SoundParts()
        self._crashes: list[EndpointCrash] = []
        self._suspected: set[str] = set()
        # Quarantines in force and past ones, which determine the next duration.
        self._quarantines: OrderedDict[frozenset[str], KnownQuarantine] = OrderedDict()
        self._started_ms = clock.now_ms()
        # Parts that explain several crashes which may have had a common cause.
        self._restricted: set[frozenset[str]] = set()
        self._trials = Trials(clock)

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

    @property
    def known(self) -> tuple[KnownQuarantine, ...]:
        """Quarantines in force and past ones, the latest last."""
        return tuple(self._quarantines.values())

    def adopt(self, quarantine: KnownQuarantine) -> dict[str, float]:
        """Adopt a quarantine that another gateway or an earlier process imposed.

        The evidence decides about crashes that this gateway could observe.

        Returns
        -------
        sound : dict of str to float
            Parts with which responses began since, and the times of these; the
            quarantine has ended then.
        """
        parts = quarantine.subject
        sound = {digest: self._sound.last_ms(digest) for digest in parts}
        sound = {
            d: at_ms for d, at_ms in sound.items() if at_ms >= quarantine.crashed_ms
        }
        if sound:
            return sound
        observed_ms = max(self._started_ms, self._clock.now_ms() - _EVIDENCE_TTL_MS)
        known = self._quarantines.get(parts)
        if quarantine.crashed_ms < observed_ms and (
            known is None or quarantine.is_newer_than(known)
        ):
            self._set(quarantine)
            self._suspected |= parts
            self._events.write(
                EventKind.PROMPT_QUARANTINED,
                digests=sorted(parts),
                reason="adopted",
                pause_ms=round(quarantine.until_ms - self._clock.now_ms()),
            )
        return {}

    def remaining_ms(
        self, digests: Iterable[str], request: Hashable | None = None
    ) -> float:
        """Return the time for which a prompt with these parts is quarantined, or 0.

        Parameters
        ----------
        digests : iterable of str
            Shared parts of the prompt.
        request : hashable, optional
            The request that is going to be sent if the result is 0. It begins the
            trials of parts that were quarantined.
        """
        if not self._quarantines and not self._restricted:
            return 0.0
        now_ms = self._clock.now_ms()
        present = frozenset(digests)
        remaining_ms = 0.0
        on_trial = [parts for parts in self._restricted if parts <= present]
        for parts, entry in self._quarantines.items():
            if parts <= present:
                remaining_ms = max(remaining_ms, entry.until_ms - now_ms)
                on_trial.append(parts)
        if remaining_ms <= 0.0 and request is not None:
            waits_ms = [self._trials.waiting_ms(parts, request) for parts in on_trial]
            remaining_ms = max(waits_ms, default=0.0)
            if remaining_ms <= 0.0:
                for parts in on_trial:
                    self._trials.begin(parts, request)
        return max(0.0, remaining_ms)

    def end_request(self, request: Hashable) -> None:
        """End the trials of a request that has ended."""
        self._trials.end_request(request)

    def unproven(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Return the parts with which no response is known to have begun recently."""
        oldest_ms = self._clock.now_ms() - _EVIDENCE_TTL_MS
        return tuple(d for d in digests if self._sound.last_ms(d) < oldest_ms)

    def observed_sound(self, digests: Iterable[str]) -> dict[str, float]:
        """Return when responses that this gateway forwarded began, by part.

        Parts without a recent response are left out.
        """
        oldest_ms = self._clock.now_ms() - _EVIDENCE_TTL_MS
        observed = {digest: self._sound.observed_ms(digest) for digest in digests}
        return {d: began_ms for d, began_ms in observed.items() if began_ms > oldest_ms}

    def sound_ms(self, digest: str) -> float:
        """Return when the latest response with a part began, ``-inf`` if none did."""
        return self._sound.last_ms(digest)

    def may_have_crashed(
        self, digests: Iterable[str], except_endpoint: str, has_begun: bool
    ) -> bool:
        """Return whether a part of a prompt is likely enough the cause of a crash.

        Parameters
        ----------
        digests : iterable of str
            Shared parts of the prompt.
        except_endpoint : str
            The endpoint that may have crashed.
        has_begun : bool
            Whether it had begun to respond to the prompt.
        """
        digests = frozenset(digests)
        unproven = set(self.unproven(digests))
        if unproven and not has_begun:
            return True
        if any(parts <= digests for parts in self._quarantines):
            return True
        settled_ms = self._clock.now_ms() - _ESTABLISHED_FAULT_INTERVAL_MS
        for crash in self._crashes:
            if crash.endpoint == except_endpoint:
                continue
            for suspect in crash.suspects.values():
                if not unproven.isdisjoint(suspect.digests):
                    return True
                if crash.crashed_ms <= settled_ms and not digests.isdisjoint(
                    suspect.parts
                ):
                    return True
        return False

    def record_sound(
        self,
        digests: Iterable[str],
        began_ms: float | None = None,
        is_observed: bool = True,
    ) -> list[str]:
        """Record that a response with these parts began and went on.

        Parameters
        ----------
        digests : iterable of str
            Shared parts of the prompt.
        began_ms : float, optional
            Monotonic time at which the response began; now by default. It is no
            evidence about later crashes.
        is_observed : bool, default=True
            Whether this gateway forwarded the response.

        Returns
        -------
        released : list of str
            The parts that are less suspected than before.
        """
        if began_ms is None:
            began_ms = self._clock.now_ms()
        released = []
        quarantined = list(self._quarantines)
        for digest in digests:
            self._sound.record(digest, began_ms, is_observed)
            if digest in self._suspected and (
                self._release(digest, began_ms)
                # A part before may have ended their common quarantine.
                or any(
                    digest in parts and parts not in self._quarantines
                    for parts in quarantined
                )
            ):
                released.append(digest)
        if released:
            self._expire()
            self._index()
            self._evaluate()
        return released

    def explains(self, endpoint: str, crashed_ms: float) -> bool:
        """Return whether a suspect of a crash has quarantined parts."""
        crash = self._find(endpoint, crashed_ms, ()) if self._quarantines else None
        return crash is not None and _is_explained(crash, self._quarantines)

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
            Requests whose responses had not begun, or had just begun.

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
        for reported in suspects:
            suspect = self._weigh(reported, crash.crashed_ms)
            is_known = suspect.request_id in crash.suspects
            if suspect.parts and not is_known and _make_room(crash, suspect):
                crash.suspects[suspect.request_id] = suspect
                added |= suspect.parts
                self._extend_quarantines(crash, suspect)
        if added:
            self._suspected |= added
            self._evaluate()
        return is_new

    def _weigh(self, suspect: Suspect, crashed_ms: float) -> Suspect:
        """Return a suspect with the parts that may have caused a crash at a time."""
        digests, established = [], []
        for digest in (*suspect.digests, *suspect.established):
            sound_ms = self._sound.last_ms(digest)
            if sound_ms >= crashed_ms:
                continue
            is_established = sound_ms >= crashed_ms - _EVIDENCE_TTL_MS
            if is_established or digest in suspect.established:
                established.append(digest)
            else:
                digests.append(digest)
        return dataclasses.replace(
            suspect, digests=tuple(digests), established=tuple(established)
        )

    def _extend_quarantines(self, crash: EndpointCrash, suspect: Suspect) -> None:
        """Impose the ended quarantines again that explain a further crash."""
        for parts, past in list(self._quarantines.items()):
            if crash.crashed_ms >= past.until_ms and parts <= suspect.parts:
                cause = _Cause(
                    parts=parts,
                    faults=1,
                    requests=frozenset([suspect.request_id]),
                    last_ms=crash.crashed_ms,
                    is_established=past.is_established,
                )
                self._impose(cause)

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
            if suspect.digests
        ]
        causes: list[frozenset[str]] = []
        self._restricted.clear()
        while cause := max(self._causes(unexplained), key=_strength, default=None):
            causes.append(cause.parts)
            self._impose(cause)
            unexplained = [
                entry
                for entry in unexplained
                if not cause.parts <= set(entry[1].digests)
            ]
        causes += self._impose_established(
            [crash for crash in crashes if not _is_explained(crash, causes)]
        )
        self._restricted.difference_update(causes)
        self._end_disproved(crashes, causes)

    def _impose_established(
        self, crashes: Sequence[EndpointCrash]
    ) -> list[frozenset[str]]:
        """Quarantine the established parts that explain crashes; return them."""
        causes: list[frozenset[str]] = []
        candidates = self._established_candidates(crashes)
        while candidates and (
            cause := max(
                self._established_causes(crashes, candidates),
                key=self._established_strength,
                default=None,
            )
        ):
            causes.append(cause.parts)
            self._impose(cause)
            crashes = [c for c in crashes if not _is_explained(c, [cause.parts])]
        return causes

    def _end_disproved(
        self, crashes: Sequence[EndpointCrash], causes: Sequence[frozenset[str]]
    ) -> None:
        """End the quarantines whose evidence other causes explain."""
        for parts in self._quarantines.keys() - set(causes):
            supporting = [c for c in crashes if _is_explained(c, [parts])]
            if self._quarantines[parts].is_established:
                is_disproved = all(_is_explained(c, causes) for c in supporting)
            else:
                is_disproved = all(
                    any(cause <= suspect.parts for cause in causes)
                    for crash in supporting
                    for suspect in crash.suspects.values()
                    if parts <= suspect.parts
                )
            if supporting and is_disproved:
                self._end(parts)

    def _causes(self, suspects: Sequence[tuple[float, Suspect]]) -> list[_Cause]:
        """Return the possible causes for which the evidence suffices.

        Parts that occur in the same suspects only cannot be told apart and form one
        cause: prompts with all of them are refused. Those with one of them are sent,
        which shows whether it is sound.
        """
        causes = []
        for parts, numbers in _group_parts([s.digests for _, s in suspects]):
            times_ms = [suspects[number][0] for number in numbers]
            cause = _Cause(
                parts=parts,
                faults=_count_faults(times_ms, _SAME_FAULT_INTERVAL_MS),
                requests=frozenset(suspects[n][1].request_id for n in numbers),
                last_ms=times_ms[-1],
            )
            # Copies of one request do not show which of its parts is the cause.
            different = {suspects[n][1].source for n in numbers}
            if len(different) < _MIN_REQUESTS and parts not in self._quarantines:
                continue
            if cause.faults >= _MIN_CRASHES or parts in self._quarantines:
                causes.append(cause)
            elif len(set(times_ms)) >= _MIN_CRASHES:
                self._restricted.add(parts)
        return causes

    def _established_candidates(self, crashes: Sequence[EndpointCrash]) -> set[str]:
        """Return the established parts at crashes that are no single fault."""
        first_ms: dict[str, float] = {}
        candidates = set().union(
            *(parts for parts, past in self._quarantines.items() if past.is_established)
        )
        for crash in crashes:
            latest_first_ms = crash.crashed_ms - _ESTABLISHED_FAULT_INTERVAL_MS
            for suspect in crash.suspects.values():
                for digest in suspect.established:
                    if first_ms.setdefault(digest, crash.crashed_ms) <= latest_first_ms:
                        candidates.add(digest)
        return candidates

    def _established_causes(
        self, crashes: Sequence[EndpointCrash], candidates: Set[str]
    ) -> list[_Cause]:
        """Return the possible causes among the established parts."""
        suspects = [
            (crash.crashed_ms, suspect)
            for crash in crashes
            for suspect in crash.suspects.values()
            if not candidates.isdisjoint(suspect.established)
        ]
        prompts = [candidates.intersection(s.established) for _, s in suspects]
        causes = []
        for parts, numbers in _group_parts(prompts):
            times_ms = [suspects[number][0] for number in numbers]
            faults = _count_faults(times_ms, _ESTABLISHED_FAULT_INTERVAL_MS)
            different = {suspects[n][1].source for n in numbers}
            is_proven = faults >= _MIN_CRASHES and len(different) >= _MIN_REQUESTS
            if is_proven or parts in self._quarantines:
                causes.append(
                    _Cause(
                        parts=parts,
                        faults=faults,
                        requests=frozenset(suspects[n][1].request_id for n in numbers),
                        last_ms=times_ms[-1],
                        is_established=True,
                    )
                )
        return causes

    def _established_strength(self, cause: _Cause) -> tuple[int, float, list[str]]:
        responses = min(self._sound.responses(part) for part in cause.parts)
        return cause.faults, -responses, sorted(cause.parts)

    def _impose(self, cause: _Cause) -> None:
        past = self._quarantines.get(cause.parts)
        if past is not None and cause.last_ms < past.until_ms:
            return
        duration_ms = _MIN_QUARANTINE_MS
        if past is not None:
            duration_ms = min(MAX_QUARANTINE_MS, 2.0 * past.duration_ms)
        elif cause.is_established:
            duration_ms = _MIN_ESTABLISHED_QUARANTINE_MS
        self._set(
            KnownQuarantine(
                cause.parts,
                cause.last_ms,
                duration_ms,
                is_established=cause.is_established,
            )
        )
        self._events.write(
            EventKind.PROMPT_QUARANTINED,
            digests=sorted(cause.parts),
            crashes=cause.faults,
            requests=sorted(cause.requests),
            pause_ms=round(duration_ms),
        )

    def _set(self, quarantine: KnownQuarantine) -> None:
        parts = quarantine.subject
        self._quarantines[parts] = quarantine
        self._quarantines.move_to_end(parts)
        self._trials.end(parts)
        if len(self._quarantines) > _MAX_QUARANTINES:
            self._quarantines.popitem(last=False)

    def _end(self, parts: frozenset[str]) -> None:
        del self._quarantines[parts]
        self._trials.end(parts)
        self._events.write(EventKind.PROMPT_RELEASED, digests=sorted(parts))

    def _release(self, digest: str, began_ms: float) -> bool:
        """Apply a response with a suspected part that began at a time.

        The part did not cause earlier crashes, and is an established one at those that
        followed. Returns whether this changes what is known.
        """
        has_changed = False
        for crash in self._crashes:
            is_sound = began_ms >= crash.crashed_ms
            if not is_sound and began_ms < crash.crashed_ms - _EVIDENCE_TTL_MS:
                continue
            for suspect in list(crash.suspects.values()):
                if digest not in (suspect.parts if is_sound else suspect.digests):
                    continue
                has_changed = True
                changed = dataclasses.replace(
                    suspect,
                    digests=_without(suspect.digests, digest),
                    established=_without(suspect.established, digest)
                    + (() if is_sound else (digest,)),
                )
                if changed.parts:
                    crash.suspects[suspect.request_id] = changed
                else:
                    del crash.suspects[suspect.request_id]
        for parts, entry in list(self._quarantines.items()):
            if digest not in parts:
                continue
            if began_ms >= entry.crashed_ms or (
                has_changed and not entry.is_established
            ):
                has_changed = True
                self._end(parts)
        return has_changed

    def _index(self) -> None:
        self._suspected = {
            digest
            for crash in self._crashes
            for suspect in crash.suspects.values()
            for digest in suspect.parts
        }.union(*self._quarantines)

    def _expire(self) -> None:
        oldest_ms = self._clock.now_ms() - _EVIDENCE_TTL_MS
        # Reports of other gateways do not arrive in the order of the crashes.
        if any(crash.crashed_ms < oldest_ms for crash in self._crashes):
            self._crashes = [c for c in self._crashes if c.crashed_ms >= oldest_ms]
            self._index()
            if self._restricted:
                self._evaluate()


def _without(digests: tuple[str, ...], digest: str) -> tuple[str, ...]:
    return tuple(entry for entry in digests if entry != digest)


def _is_explained(crash: EndpointCrash, causes: Collection[frozenset[str]]) -> bool:
    """Return whether a suspect of a crash has all parts of a cause."""
    return bool(causes) and any(
        cause <= suspect.parts
        for suspect in crash.suspects.values()
        for cause in causes
    )


def _make_room(crash: EndpointCrash, suspect: Suspect) -> bool:
    """Return whether a crash has room for a suspect, which may replace another one.

    A suspect with unproven parts replaces one that has established parts only.
    """
    if len(crash.suspects) < _MAX_SUSPECTS:
        return True
    if suspect.digests:
        for request_id, other in crash.suspects.items():
            if not other.digests:
                del crash.suspects[request_id]
                return True
    return False


def _group_parts(
    prompts: Sequence[Collection[str]],
) -> list[tuple[frozenset[str], tuple[int, ...]]]:
    """Return the parts that occur in the same prompts, with the numbers of these."""
    numbers_by_part: dict[str, list[int]] = {}
    for number, digests in enumerate(prompts):
        for digest in digests:
            numbers_by_part.setdefault(digest, []).append(number)
    groups: dict[tuple[int, ...], set[str]] = {}
    for digest, numbers in numbers_by_part.items():
        groups.setdefault(tuple(numbers), set()).add(digest)
    return [(frozenset(digests), numbers) for numbers, digests in groups.items()]


def _count_faults(times_ms: Iterable[float], interval_ms: float) -> int:
    """Count crashes at these times, in order; those within an interval are one."""
    faults = 0
    began_ms = float("-inf")
    for at_ms in times_ms:
        if at_ms - began_ms >= interval_ms:
            faults += 1
            began_ms = at_ms
    return faults


def _strength(cause: _Cause) -> tuple[int, int, list[str]]:
    return cause.faults, len(cause.requests), sorted(cause.parts)
