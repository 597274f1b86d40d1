"""Deterministic text form of a whole session, for comparison with a snapshot.

Events are in causal order: within a process by its sequence numbers, between processes
by the messages that one sends and another receives. Wall clocks are not used. Whatever
depends on timing alone is left out:

- which control replica leads: the replicas appear as one participant ``control``;
- the order in which connections and members come up: they are listed sorted, and their
  ends are left out, because at a shutdown they depend on which process stops first;
- times, durations, byte counts, ports, digests and random ids: ids are numbered in the
  order of their first appearance.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import Any

from bulrushbend.cli.timeline import Event

_CONNECTION_KINDS = ("link-up", "member-joined")
_TIMING_KINDS = (
    "link-down",
    "member-lost",
    "leader-elected",
    "leader-stepped-down",
    "slot-limit-changed",
)
# Messages between processes, as pairs of the sender's and the receiver's event for the
# same attempt or request.
_MESSAGE_EVENTS = {
    (("control", "key-recorded"), ("router", "key-recorded")),
    (("control", "key-completed"), ("router", "key-completed")),
    (("control", "key-released"), ("router", "key-released")),
    (("router", "attempt-finished"), ("control", "key-completed")),
    (("router", "request-queued"), ("agent", "claim-sent")),
    (("agent", "claim-sent"), ("router", "attempt-sent")),
    (("router", "attempt-sent"), ("agent", "attempt-started")),
    (("router", "attempt-sent"), ("agent", "attempt-refused")),
    (("agent", "attempt-started"), ("router", "attempt-finished")),
    (("agent", "attempt-finished"), ("router", "attempt-finished")),
    (("agent", "attempt-failed"), ("router", "attempt-finished")),
}
_ROLE_ORDER = {"control": 0, "router": 1, "agent": 2}
# An election adds an entry to the log, so indexes depend on timing too.
_DROPPED_KEYS = re.compile(r".*_ms|.*bytes|digest.*|term|role|index")
_IDS = {"request_id": "request", "attempt_id": "attempt"}


def render_session(events: Sequence[Event]) -> str:
    """Return the session as text.

    Parameters
    ----------
    events : sequence of Event
        Events of all processes, in any order that keeps the order within each process.
    """
    kept = [event for event in events if event.kind not in _TIMING_KINDS]
    lines: list[str] = []
    for participant, own in sorted(_group_by_participant(kept).items()):
        lines += [f"process {participant}", *_process_lines(participant, own), ""]
    numbers = _IdNumbers()
    for number, chain in enumerate(_request_chains(kept), 1):
        lines += [f"request-{number}", *_chain_lines(chain, numbers), ""]
    return "\n".join(lines)


class _IdNumbers:
    """Numbers ids in the order of their first appearance."""

    def __init__(self) -> None:
        self._names: dict[tuple[str, str], str] = {}
        self._counts: Counter[str] = Counter()

    def name(self, kind: str, value: str) -> str:
        if (kind, value) not in self._names:
            self._counts[kind] += 1
            self._names[kind, value] = f"{kind}-{self._counts[kind]}"
        return self._names[kind, value]


def _role(event: Event) -> str:
    return event.process.partition("-")[0]


def _participant(event: Event) -> str:
    return "control" if _role(event) == "control" else event.process


def _group_by_participant(events: Iterable[Event]) -> dict[str, list[Event]]:
    participants: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if not any(key in event.details for key in _IDS):
            participants[_participant(event)].append(event)
    return participants


def _process_lines(participant: str, events: list[Event]) -> list[str]:
    steps = [_describe(e) for e in events if e.kind not in _CONNECTION_KINDS]
    if participant == "control":
        # Replicas act concurrently; only the number of events of each kind is fixed.
        counts = Counter(steps)
        return [f"  {count} x {step}" for step, count in sorted(counts.items())]
    found = {_describe(e) for e in events if e.kind in _CONNECTION_KINDS}
    return [f"  {text}" for text in (*steps, *sorted(found))]


def _describe(event: Event) -> str:
    details = {
        key: value
        for key, value in sorted(event.details.items())
        if key not in _IDS and not _DROPPED_KEYS.fullmatch(key) and value != ""
    }
    if event.kind == "manifest-in-force":
        # The first of several equivalent sources delivers it, which depends on timing.
        details.pop("peer", None)
    texts = [f"{key}={_mask_addresses(value)}" for key, value in details.items()]
    return " ".join((event.kind, *texts))


def _mask_addresses(value: Any) -> str:
    return re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", str(value))


def _request_chains(events: Sequence[Event]) -> list[list[Event]]:
    """Return the events of each request, in the order in which requests were queued.

    Sessions send requests one after the other, so this is the order of the test.
    """
    requests = {
        event.details["attempt_id"]: event.details["request_id"]
        for event in events
        if all(key in event.details for key in _IDS)
    }
    chains: dict[str, list[Event]] = {}
    for event in events:
        if event.kind == "request-queued":
            chains.setdefault(event.details["request_id"], [])
    for event in events:
        attempt = event.details.get("attempt_id", "")
        request = event.details.get("request_id") or requests.get(attempt)
        if request in chains:
            chains[request].append(event)
    return [_order_by_cause(chain) for chain in chains.values()]


def _order_by_cause(chain: list[Event]) -> list[Event]:
    """Sort the events of one request topologically by causality."""
    remaining = sorted(chain, key=_sort_key)
    ordered: list[Event] = []
    while remaining:
        ready = next(
            (
                e
                for e in remaining
                if not any(_precedes(o, e) for o in remaining if o is not e)
            ),
            remaining[0],
        )
        remaining.remove(ready)
        ordered.append(ready)
    return ordered


def _sort_key(event: Event) -> tuple[int, str, int, int]:
    role = _ROLE_ORDER.get(_role(event), len(_ROLE_ORDER))
    return role, event.process, event.incarnation, event.sequence


def _precedes(earlier: Event, later: Event) -> bool:
    if (earlier.process, earlier.incarnation) == (later.process, later.incarnation):
        return earlier.sequence < later.sequence
    ends = tuple((_role(event), event.kind) for event in (earlier, later))
    if ends not in _MESSAGE_EVENTS:
        return False
    attempts = [e.details.get("attempt_id") for e in (earlier, later)]
    return None in attempts or attempts[0] == attempts[1]


def _chain_lines(chain: list[Event], numbers: _IdNumbers) -> list[str]:
    lines = []
    for event in chain:
        attempt = event.details.get("attempt_id")
        name = f" {numbers.name('attempt', attempt)}" if attempt else ""
        lines.append(f"  {_participant(event)}: {_describe(event)}{name}")
    return lines
