"""Detection of endpoint crashes, and their exchange between the gateways.

Requests with the same prompt part arrive at any gateway, and each gateway sees only
its own connections to an endpoint. The gateways therefore send each other the crashes
that they observe. A crash without suspects only concerns the placement of requests, so
it is sent to the coordinators.
"""

import asyncio
import itertools
import random
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import ConnectError
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway import metrics
from bulrushbend.gateway.call import Call
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.known_quarantines import (
    KnownQuarantine,
    quarantine_from_message,
)
from bulrushbend.gateway.placement_client import DatagramSender
from bulrushbend.gateway.quarantine import PromptQuarantine, Suspect
from bulrushbend.gateway.request_quarantine import RequestQuarantine
from bulrushbend.wire.exchange import Exchange, ExchangeTimeouts
from bulrushbend.wire.fleet_pb2 import (
    CrashNote,
    EndpointCrash,
    GatewayDatagram,
    SuspectPrompt,
)

# Interval at which known crashes are repeated to a few gateways, in case a datagram was
# lost or a gateway has restarted.
_REPEAT_INTERVAL_MS = 1_000.0
_REPEAT_RECIPIENTS = 3
# Interval at which a gateway that has just started looks for others to ask.
_START_INTERVAL_MS = 50.0
# A gateway whose tasks did not run for so long may have lost notes, and asks again.
_STALL_MS = 1_000.0
# Time after which a replaced endpoint is reported again, and the number remembered.
_REPLACED_INTERVAL_MS = 1_000.0
_MAX_REPLACED = 256
# Number of crashes that are repeated, and the size of a note; a datagram with one more
# suspect of the usual size stays under 8 KB.
_MAX_REPEATED_CRASHES = 8
_MAX_NOTE_BYTES = 6_144
# Quarantines that are repeated, for as long again as they last.
_MAX_REPEATED_QUARANTINES = 8
# Requests of one crash that a gateway reports as suspects.
_MAX_SUSPECTS = 16
# Time for which complete responses to suspected requests are collected into one note.
_COMPLETED_DELAY_MS = 100.0
# Age of a response that an earlier version states without one.
_UNKNOWN_AGE_MS = 30_000


@dataclass(frozen=True)
class _Candidate:
    """A request whose connection ended.

    Attributes
    ----------
    call : Call
        The request.
    has_begun : bool
        Whether the response shows that no part of the prompt is the cause.
    started_ms : float
        Time at which the request was sent to the endpoint.
    is_early : bool
        Whether the response had begun, but too recently to show that.
    may_be_cause : bool
        Whether the request itself may be the cause of a crash.
    """

    call: Call
    has_begun: bool
    started_ms: float
    is_early: bool = False
    may_be_cause: bool = True


class CrashReports:
    """Detects crashes of endpoints and exchanges them with the other gateways.

    Parameters
    ----------
    quarantine : PromptQuarantine
        Collects the evidence about prompts.
    request_quarantine : RequestQuarantine
        Collects the evidence about requests.
    health : EndpointHealth
        Avoids crashed endpoints.
    coordinators : Coordinators
        Knows the other gateways.
    clock : Clock
        Source of time.
    events : EventLog
        Records crashes.
    send : callable
        Sends a datagram to an address.
    connect_ms : float
        Time-out for establishing a connection to an endpoint, in milliseconds.
    """

    def __init__(
        self,
        quarantine: PromptQuarantine,
        request_quarantine: RequestQuarantine,
        health: EndpointHealth,
        coordinators: Coordinators,
        clock: Clock,
        events: EventLog,
        send: DatagramSender,
        connect_ms: float,
    ):
        self._quarantine = quarantine
        self._request_quarantine = request_quarantine
        self._health = health
        self._coordinators = coordinators
        self._clock = clock
        self._events = events
        self._send = send
        self._timeouts = ExchangeTimeouts(connect_ms=connect_ms)
        self._random = random.Random()
        # Parts that this gateway reported as suspected.
        self._reported: set[str] = set()
        # Times at which replaced endpoints were reported.
        self._replaced: dict[str, float] = {}
        # Probe in progress of each endpoint, and the requests that wait for its result.
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._candidates: dict[str, list[_Candidate]] = {}
        # Suspected requests with complete responses that the others do not know of yet.
        self._completed: set[str] = set()

    def record_sound(self, call: Call, began_ms: float | None = None) -> None:
        """Record that the response to a request began at a time and went on.

        Parameters
        ----------
        call : Call
            The request.
        began_ms : float, optional
            Monotonic time at which the response began; now by default.
        """
        if not call.details.shared_parts:
            return
        self._broadcast_released(self._record_sound(call.shared_digests, began_ms))

    def record_complete(self, call: Call, began_ms: float | None = None) -> None:
        """Record a complete response of an endpoint, which began at a time."""
        if self._request_quarantine.has_candidates:
            if began_ms is None:
                began_ms = self._clock.now_ms()
            self._record_completed(call.identity, began_ms)

    def record_replaced(self, endpoint: str) -> None:
        """Record that another endpoint responds at the address of this one.

        The endpoint list shows a restarted endpoint late, and the coordinators place
        requests at the old one until then.
        """
        self._health.record_crash(endpoint)
        now_ms = self._clock.now_ms()
        reported_ms = self._replaced.get(endpoint, float("-inf"))
        if now_ms - reported_ms < _REPLACED_INTERVAL_MS:
            return
        self._replaced[endpoint] = now_ms
        while len(self._replaced) > _MAX_REPLACED:
            del self._replaced[next(iter(self._replaced))]
        addresses = self._coordinators.report_addresses()
        self._send_to(addresses, CrashNote(replaced=[endpoint]))

    async def examine(
        self,
        endpoint: DiscoveredEndpoint,
        call: Call,
        has_begun: bool,
        may_be_cause: bool = True,
        started_ms: float = 0.0,
        is_early: bool = False,
    ) -> bool:
        """Examine why the connection of a request ended.

        Parameters
        ----------
        endpoint : DiscoveredEndpoint
            Endpoint that ended the connection.
        call : Call
            The request.
        has_begun : bool
            Whether the endpoint had responded for long enough to show that no part of
            the prompt is the cause.
        may_be_cause : bool, default=True
            Whether the request itself may be the cause of a crash.
        started_ms : float, default=0.0
            Time at which the request was sent to the endpoint.
        is_early : bool, default=False
            Whether the endpoint had begun to respond, but not for long enough.

        Returns
        -------
        is_suspect : bool
            Whether the request must not be sent to another endpoint: this one crashed,
            and a part of the prompt may be the cause, or the request itself may be and
            was at another crash before.
        """
        probe = self._probes.get(endpoint.id)
        if probe is None:
            probe = asyncio.create_task(self._probe(endpoint))
            self._probes[endpoint.id] = probe
            self._candidates[endpoint.id] = []
        if has_begun and not may_be_cause:
            return False
        candidate = _Candidate(call, has_begun, started_ms, is_early, may_be_cause)
        self._candidates[endpoint.id].append(candidate)
        if not self._is_suspect(endpoint, candidate):
            return False
        has_crashed = await asyncio.shield(probe)
        return has_crashed and self._is_suspect(endpoint, candidate)

    def handle_note(self, note: CrashNote, sender: str) -> None:
        """Handle a note of another gateway, and correct it if it suspects sound parts.

        Parameters
        ----------
        note : CrashNote
            The note.
        sender : str
            Address of the other gateway.
        """
        now_ms = self._clock.now_ms()
        if note.is_request:
            self._send_known([sender], is_complete=True)
        released: list[str] = []
        for digest, age_ms in _with_ages(note.sound, note.sound_age_ms):
            began_ms = now_ms - age_ms
            released += self._record_sound([digest], began_ms, is_observed=False)
        self._broadcast_released(self._reported.intersection(released))
        for endpoint in note.replaced:
            self._health.record_crash(endpoint)
        for identity, age_ms in _with_ages(note.completed, note.completed_age_ms):
            began_ms = now_ms - age_ms
            self._request_quarantine.record_complete(identity, began_ms)
        sound: dict[str, float] = {}
        completed: set[str] = set()
        for crash in note.crashes:
            crashed_ms = now_ms - crash.age_ms
            sound.update(self._correct(crash, crashed_ms))
            suspects = [
                Suspect(
                    s.request_id, tuple(s.digests), s.identity, tuple(s.established)
                )
                for s in crash.suspects
            ]
            is_new, answered = self._record_crash(crash.endpoint, crashed_ms, suspects)
            if is_new:
                self._health.record_crash(crash.endpoint)
            completed.update(answered)
        for described in note.quarantines:
            known = quarantine_from_message(described, now_ms)
            if not known.is_valid:
                continue
            if isinstance(known.subject, frozenset):
                sound.update(self._quarantine.adopt(known))
            elif self._request_quarantine.adopt(known):
                completed.add(known.subject)
        if sound or completed:
            correction = self._build_correction(sound, completed)
            self._send(sender, GatewayDatagram(crash_note=correction))

    def _correct(self, crash: EndpointCrash, crashed_ms: float) -> dict[str, float]:
        """Return the reported parts that are less suspected here.

        The values are the times at which responses with them began.
        """
        suspected = {d for suspect in crash.suspects for d in suspect.digests}
        reported = suspected.union(*(s.established for s in crash.suspects))
        return {
            digest: began_ms
            for digest, began_ms in self._quarantine.observed_sound(reported).items()
            if digest in suspected or began_ms >= crashed_ms
        }

    def _build_correction(
        self, sound: Mapping[str, float], completed: Iterable[str]
    ) -> CrashNote:
        now_ms = self._clock.now_ms()
        identities = {
            identity: self._request_quarantine.completed_ms(identity)
            for identity in completed
        }
        return CrashNote(
            sound=sound.keys(),
            sound_age_ms=[_age_ms(now_ms, at_ms) for at_ms in sound.values()],
            completed=identities.keys(),
            completed_age_ms=[_age_ms(now_ms, at_ms) for at_ms in identities.values()],
        )

    async def run(self) -> None:
        """Exchange known crashes with some gateways until cancelled."""
        while not self._choose_peers():
            await self._clock.sleep_ms(_START_INTERVAL_MS)
        self._ask()
        known_peers = self._coordinators.addresses()
        while True:
            due_ms = self._clock.now_ms() + _REPEAT_INTERVAL_MS
            await self._clock.sleep_ms(_REPEAT_INTERVAL_MS)
            if self._clock.now_ms() > due_ms + _STALL_MS:
                self._ask()
            metrics.QUARANTINED.set(self._quarantine.active)
            metrics.QUARANTINED_REQUESTS.set(self._request_quarantine.active)
            peers = self._coordinators.addresses()
            # A gateway that has just started may have asked others that know nothing.
            self._send_known(peers - known_peers, is_complete=True)
            known_peers = peers
            self._send_known(self._choose_peers())

    def hand_over(self) -> None:
        """Tell all gateways the known crashes before this one stops."""
        self._send_known(self._coordinators.addresses(), is_complete=True)

    def _send_known(
        self, recipients: Collection[str], is_complete: bool = False
    ) -> None:
        """Send all known crashes and quarantines, or those to repeat."""
        if not recipients:
            return
        described = self._describe_known(is_complete)
        notes = _build_notes(described) if described else []
        now_ms = self._clock.now_ms()
        known = [*self._quarantine.known, *self._request_quarantine.known]
        if not is_complete:
            known = [q for q in known if now_ms < q.until_ms + q.duration_ms]
            known = known[-_MAX_REPEATED_QUARANTINES:]
        for note in notes + _build_quarantine_notes(known, now_ms):
            self._send_to(recipients, note)

    def _choose_peers(self) -> list[str]:
        addresses = sorted(self._coordinators.addresses())
        count = min(_REPEAT_RECIPIENTS, len(addresses))
        return self._random.sample(addresses, count)

    def _ask(self) -> None:
        """Ask some gateways for the crashes that they know."""
        self._send_to(self._choose_peers(), CrashNote(is_request=True))

    async def _probe(self, endpoint: DiscoveredEndpoint) -> bool:
        """Return whether an endpoint crashed, and report it with its suspects.

        An endpoint that accepts a new connection only ended single responses.
        """
        crashed_ms = self._clock.now_ms()
        try:
            exchange = await Exchange.connect(endpoint.address, self._timeouts)
        except ConnectError:
            self._report(endpoint.id, crashed_ms)
            return True
        finally:
            del self._probes[endpoint.id]
            self._candidates.pop(endpoint.id, None)
        exchange.close()
        return False

    def _is_suspect(self, endpoint: DiscoveredEndpoint, candidate: _Candidate) -> bool:
        call = candidate.call
        if not candidate.has_begun and self._quarantine.may_have_crashed(
            call.shared_digests, endpoint.id, candidate.is_early
        ):
            return True
        requests = self._request_quarantine
        return (
            candidate.may_be_cause
            and requests.has_candidates
            and requests.is_candidate(call.identity, except_endpoint=endpoint.id)
        )

    def _describe_known(self, is_complete: bool = False) -> list[EndpointCrash]:
        """Return messages about all known crashes, or about those to repeat."""
        first = 0 if is_complete else -_MAX_REPEATED_CRASHES
        now_ms = self._clock.now_ms()
        described = [
            _describe(
                crash.endpoint, now_ms - crash.crashed_ms, crash.suspects.values()
            )
            for crash in self._quarantine.crashes[first:]
        ]
        for crash in self._request_quarantine.crashes[first:]:
            suspects = [
                Suspect(request_id, (), identity)
                for identity, requests in crash.candidates.items()
                for request_id in requests
            ]
            age_ms = now_ms - crash.crashed_ms
            described.append(_describe(crash.endpoint, age_ms, suspects))
        return described

    def _report(self, endpoint: str, crashed_ms: float) -> None:
        # A crash follows the start of its cause soon.
        candidates = sorted(
            self._candidates[endpoint], key=lambda entry: -entry.started_ms
        )
        suspects = []
        for candidate in candidates[:_MAX_SUSPECTS]:
            suspects.append(self._build_suspect(candidate, crashed_ms))
        is_new, _ = self._record_crash(endpoint, crashed_ms, suspects)
        if not is_new and not suspects:
            return
        metrics.CRASHES.inc()
        self._health.record_crash(endpoint)
        self._events.write(
            EventKind.ENDPOINT_CRASHED,
            endpoint=endpoint,
            suspects={s.request_id: list(s.digests) for s in suspects},
            established={s.request_id: list(s.established) for s in suspects},
            identities={s.request_id: s.identity for s in suspects},
        )
        age_ms = self._clock.now_ms() - crashed_ms
        if suspects:
            self._reported &= self._quarantine.suspected
            self._reported.update(d for suspect in suspects for d in suspect.parts)
            addresses = self._coordinators.addresses()
        else:
            addresses = self._coordinators.report_addresses()
        for note in _build_notes([_describe(endpoint, age_ms, suspects)]):
            self._send_to(addresses, note)

    def _build_suspect(self, candidate: _Candidate, crashed_ms: float) -> Suspect:
        call = candidate.call
        digests: tuple[str, ...] = ()
        established: tuple[str, ...] = ()
        if not candidate.has_begun:
            digests = self._quarantine.unproven(call.shared_digests)
            established = tuple(
                digest
                for digest in call.shared_digests
                if digest not in digests
                and self._quarantine.sound_ms(digest) < crashed_ms
            )
        identity = call.identity if candidate.may_be_cause else ""
        return Suspect(call.details.request_id, digests, identity, established)

    def _record_crash(
        self, endpoint: str, crashed_ms: float, suspects: list[Suspect]
    ) -> tuple[bool, list[str]]:
        """Record a crash; return whether it is new, and the requests it cannot be.

        The latter are the identities to which there was a complete response since.
        """
        quarantined = self._quarantine.active
        is_new = self._quarantine.record_crash(endpoint, crashed_ms, suspects)
        identities = [(s.identity, s.request_id) for s in suspects]
        completed = self._request_quarantine.record_crash(
            endpoint, crashed_ms, identities
        )
        if self._quarantine.active != quarantined:
            self._request_quarantine.evaluate()
        return is_new, completed

    def _record_sound(
        self,
        digests: Iterable[str],
        began_ms: float | None = None,
        is_observed: bool = True,
    ) -> list[str]:
        """Record sound parts, and return those that are less suspected now."""
        released = self._quarantine.record_sound(digests, began_ms, is_observed)
        if released:
            # Crashes that they explained are evidence about requests again.
            self._request_quarantine.evaluate()
        return released

    def _broadcast_released(self, digests: Collection[str]) -> None:
        """Tell all gateways that responses with suspected parts began."""
        if digests:
            self._reported.difference_update(digests)
            sound = {digest: self._quarantine.sound_ms(digest) for digest in digests}
            note = self._build_correction(sound, ())
            self._send_to(self._coordinators.addresses(), note)

    def _record_completed(self, identity: str, began_ms: float) -> None:
        """Tell all gateways of a complete response to a suspected request."""
        if not self._request_quarantine.record_complete(identity, began_ms):
            return
        if not self._completed:
            loop = asyncio.get_running_loop()
            loop.call_later(_COMPLETED_DELAY_MS / 1000.0, self._broadcast_completed)
        self._completed.add(identity)

    def _broadcast_completed(self) -> None:
        note = self._build_correction({}, sorted(self._completed))
        self._completed.clear()
        self._send_to(self._coordinators.addresses(), note)

    def _send_to(self, addresses: Iterable[str], note: CrashNote) -> None:
        for address in addresses:
            self._send(address, GatewayDatagram(crash_note=note))


def _age_ms(now_ms: float, at_ms: float) -> int:
    return max(0, int(now_ms - at_ms))


def _with_ages(
    names: Sequence[str], ages_ms: Sequence[int]
) -> Iterator[tuple[str, int]]:
    """Return names in a note with the ages of the responses that it states."""
    for name, age_ms in itertools.zip_longest(names, ages_ms[: len(names)]):
        yield name, _UNKNOWN_AGE_MS if age_ms is None else age_ms


def _describe(
    endpoint: str, age_ms: float, suspects: Iterable[Suspect]
) -> EndpointCrash:
    return EndpointCrash(
        endpoint=endpoint,
        age_ms=max(0, int(age_ms)),
        suspects=[
            SuspectPrompt(
                request_id=s.request_id,
                digests=s.digests,
                identity=s.identity,
                established=s.established,
            )
            for s in suspects
        ],
    )


def _build_notes(crashes: Iterable[EndpointCrash]) -> list[CrashNote]:
    """Return notes about crashes, each in one datagram.

    The suspects of a crash may be in several notes, which the recipients combine.
    """
    notes = [CrashNote()]
    size = 0
    for crash in crashes:
        head = EndpointCrash(endpoint=crash.endpoint, age_ms=crash.age_ms)
        part: EndpointCrash | None = None
        for suspect in crash.suspects or [None]:
            added = 0 if suspect is None else suspect.ByteSize()
            if size and size + added > _MAX_NOTE_BYTES:
                notes.append(CrashNote())
                size, part = 0, None
            if part is None:
                part = notes[-1].crashes.add()
                part.CopyFrom(head)
                size += head.ByteSize()
            if suspect is not None:
                part.suspects.append(suspect)
                size += added
    return notes


def _build_quarantine_notes(
    quarantines: Iterable[KnownQuarantine], now_ms: float
) -> list[CrashNote]:
    """Return notes about quarantines, each in one datagram."""
    notes: list[CrashNote] = []
    size = _MAX_NOTE_BYTES
    for quarantine in quarantines:
        message = quarantine.message(now_ms)
        if size + message.ByteSize() > _MAX_NOTE_BYTES:
            notes.append(CrashNote())
            size = 0
        notes[-1].quarantines.append(message)
        size += message.ByteSize()
    return notes
