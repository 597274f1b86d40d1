"""Merge the event logs of several processes into one timeline."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bulrushbend.cli.exits import UsageError
from bulrushbend.core.events import EventKind

_STAMP_KEYS = ("wall_ms", "process", "incarnation", "sequence", "kind")
_REQUEST_STARTS = {EventKind.REQUEST_QUEUED}
_REQUEST_ENDS = {
    EventKind.REQUEST_ANSWERED,
    EventKind.REQUEST_NOT_RUN,
    EventKind.REQUEST_UNKNOWN,
    EventKind.REQUEST_FAILED,
    EventKind.REQUEST_ABANDONED,
}
_ATTEMPT_STARTS = {EventKind.ATTEMPT_STARTED}
_ATTEMPT_ENDS = {
    EventKind.ATTEMPT_FINISHED,
    EventKind.ATTEMPT_FAILED,
    EventKind.ATTEMPT_CANCELLED,
}


@dataclass(frozen=True)
class Event:
    """One line of an event log.

    Attributes
    ----------
    wall_ms : int
        Wall time of the process in milliseconds since the Unix epoch.
    process : str
        Name of the process.
    incarnation : int
        Incarnation of the process.
    sequence : int
        Number of the event within the incarnation.
    kind : str
        Kind of the event.
    details : dict
        All other fields of the line.
    """

    wall_ms: int
    process: str
    incarnation: int
    sequence: int
    kind: str
    details: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class BadLine:
    """A line of a log that is not an event."""

    path: str
    number: int
    reason: str

    def __str__(self) -> str:
        return f"{self.path}:{self.number}: {self.reason}, line skipped"


def parse_event(line: str) -> Event:
    """Parse one line of an event log.

    Raises
    ------
    ValueError
        If the line is not a complete event; the message is a single line.
    """
    try:
        record = json.loads(line)
    except (ValueError, RecursionError):
        raise ValueError("not JSON") from None
    if not isinstance(record, dict):
        raise ValueError("not a JSON object")
    for key in _STAMP_KEYS:
        expected = str if key in ("process", "kind") else int
        if type(record.get(key)) is not expected:
            raise ValueError(f"{key} is missing or not of type {expected.__name__}")
    details = {k: value for k, value in record.items() if k not in _STAMP_KEYS}
    return Event(*(record[key] for key in _STAMP_KEYS), details=details)


def read_logs(paths: Sequence[str | Path]) -> tuple[list[Event], list[BadLine]]:
    """Read event logs and order their events by wall time.

    Events of one incarnation keep the order in which they were written.

    Returns
    -------
    events : list of Event
        Events of all logs.
    bad_lines : list of BadLine
        Lines that are not events and were skipped.

    Raises
    ------
    UsageError
        If a file cannot be read.
    """
    events: list[Event] = []
    bad_lines: list[BadLine] = []
    for path in paths:
        try:
            content = Path(path).read_bytes()
        except OSError as error:
            reason = error.strerror or str(error)
            raise UsageError(reason, step="timeline", peer=str(path)) from None
        _parse_content(str(path), content, events, bad_lines)
    return order_events(events), bad_lines


def order_events(events: Iterable[Event]) -> list[Event]:
    """Order events by wall time, keeping the order within each incarnation.

    If a wall clock steps back, the latest earlier wall time of the same incarnation is
    used for an event.
    """
    in_sequence = sorted(events, key=lambda e: (e.process, e.incarnation, e.sequence))
    latest: dict[tuple[str, int], int] = {}
    keyed = []
    for event in in_sequence:
        source = (event.process, event.incarnation)
        latest[source] = max(latest.get(source, event.wall_ms), event.wall_ms)
        keyed.append((latest[source], event))
    keyed.sort(key=lambda pair: pair[0])
    return [event for _, event in keyed]


def format_text(events: Sequence[Event]) -> list[str]:
    """Return one line for each event, with the seconds since the first event."""
    if not events:
        return []
    start_ms = min(event.wall_ms for event in events)
    width = max(len(event.process) for event in events)
    return [_format_line(event, start_ms, width) for event in events]


def chrome_trace(events: Sequence[Event]) -> dict[str, Any]:
    """Return the events in Chrome's trace format.

    Processes appear as pids, requests and attempts as async spans, all other events
    as instants. Times are in microseconds since the first event.
    """
    start_ms = min((event.wall_ms for event in events), default=0)
    pids = {name: i for i, name in enumerate(sorted({e.process for e in events}), 1)}
    entries: list[dict[str, Any]] = [
        {"ph": "M", "name": "process_name", "pid": pid, "args": {"name": name}}
        for name, pid in pids.items()
    ]
    for event in events:
        entries.append(_chrome_entry(event, start_ms, pids[event.process]))
    return {"traceEvents": entries, "displayTimeUnit": "ms"}


def _parse_content(
    path: str, content: bytes, events: list[Event], bad_lines: list[BadLine]
) -> None:
    for number, raw in enumerate(content.split(b"\n"), 1):
        if not raw.strip():
            continue
        try:
            events.append(parse_event(raw.decode()))
        except UnicodeDecodeError:
            bad_lines.append(BadLine(path, number, "not UTF-8"))
        except ValueError as error:
            bad_lines.append(BadLine(path, number, str(error)))


def _format_line(event: Event, start_ms: int, width: int) -> str:
    seconds = (event.wall_ms - start_ms) / 1000.0
    details = " ".join(
        f"{_printable(key)}={_printable(value)}" for key, value in event.details.items()
    )
    process, kind = _printable(event.process), _printable(event.kind)
    return f"{seconds:10.3f}s  {process:<{width}}  {kind}  {details}".rstrip()


def _printable(value: Any) -> str:
    """Return a value as text without line breaks or control characters."""
    if isinstance(value, str) and value.isprintable():
        return value
    return json.dumps(value)


def _chrome_entry(event: Event, start_ms: int, pid: int) -> dict[str, Any]:
    entry = {
        "pid": pid,
        "tid": 1,
        "ts": (event.wall_ms - start_ms) * 1000,
        "args": {**event.details, "kind": event.kind, "sequence": event.sequence},
    }
    for category, key, starts, ends in (
        ("request", "request_id", _REQUEST_STARTS, _REQUEST_ENDS),
        ("attempt", "attempt_id", _ATTEMPT_STARTS, _ATTEMPT_ENDS),
    ):
        span_id = event.details.get(key)
        if span_id is None or event.kind not in starts | ends:
            continue
        phase = "b" if event.kind in starts else "e"
        name = f"{category} {event.details.get('team', '')}".rstrip()
        return entry | {"ph": phase, "cat": category, "id": str(span_id), "name": name}
    return entry | {"ph": "i", "s": "p", "name": event.kind}
