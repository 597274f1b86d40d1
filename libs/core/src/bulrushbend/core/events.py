"""Event log: the events of one process as JSON lines.

Each process appends to its own log; ``bulrushbend timeline`` merges the logs.
"""

import enum
import json
from collections.abc import Callable
from typing import Any, Protocol, TextIO

from bulrushbend.core.clock import Clock
from bulrushbend.core.logs import get_logger

_log = get_logger("core.events")


class EventKind(enum.StrEnum):
    """Kinds of events in an event log."""

    PROCESS_STARTED = "process-started"
    PROCESS_READY = "process-ready"
    PROCESS_DRAINING = "process-draining"
    PROCESS_STOPPED = "process-stopped"
    MANIFEST_ACCEPTED = "manifest-accepted"
    MANIFEST_CONFLICT = "manifest-conflict"
    MANIFEST_STALE = "manifest-stale"
    MANIFEST_IN_FORCE = "manifest-in-force"
    MEMBER_JOINED = "member-joined"
    MEMBER_LOST = "member-lost"
    LINK_UP = "link-up"
    LINK_DOWN = "link-down"
    LEADER_ELECTED = "leader-elected"
    LEADER_STEPPED_DOWN = "leader-stepped-down"
    VOTERS_CHANGED = "voters-changed"
    STORE_REPAIRED = "store-repaired"
    STORE_FAILED = "store-failed"
    REQUEST_QUEUED = "request-queued"
    REQUEST_REFUSED = "request-refused"
    REQUEST_ANSWERED = "request-answered"
    REQUEST_NOT_RUN = "request-not-run"
    REQUEST_UNKNOWN = "request-unknown"
    REQUEST_FAILED = "request-failed"
    REQUEST_REQUEUED = "request-requeued"
    REQUEST_ABANDONED = "request-abandoned"
    KEY_RECORDED = "key-recorded"
    KEY_COMPLETED = "key-completed"
    KEY_RELEASED = "key-released"
    CLAIM_SENT = "claim-sent"
    CLAIM_MISSED = "claim-missed"
    CLAIM_EXPIRED = "claim-expired"
    ATTEMPT_SENT = "attempt-sent"
    ATTEMPT_STARTED = "attempt-started"
    ATTEMPT_REFUSED = "attempt-refused"
    ATTEMPT_RESUMED = "attempt-resumed"
    ATTEMPT_FINISHED = "attempt-finished"
    ATTEMPT_FAILED = "attempt-failed"
    ATTEMPT_CANCELLED = "attempt-cancelled"
    LEAVING_STARTED = "leaving-started"
    LEAVING_FINISHED = "leaving-finished"
    SLOT_LIMIT_CHANGED = "slot-limit-changed"
    ENDPOINT_FOUND = "endpoint-found"
    ENDPOINT_LEAVING = "endpoint-leaving"
    ENDPOINT_GONE = "endpoint-gone"
    ENDPOINT_LIMITED = "endpoint-limited"
    ENDPOINT_PAUSED = "endpoint-paused"
    ENDPOINT_AVOIDED = "endpoint-avoided"
    ENDPOINT_SOUND = "endpoint-sound"
    ENDPOINT_CRASHED = "endpoint-crashed"
    PROMPT_QUARANTINED = "prompt-quarantined"
    PROMPT_RELEASED = "prompt-released"
    REQUEST_QUARANTINED = "request-quarantined"
    REQUEST_RELEASED = "request-released"
    LEASE_LOST = "lease-lost"
    LEASE_REGAINED = "lease-regained"
    COORDINATOR_LOST = "coordinator-lost"
    COORDINATOR_REGAINED = "coordinator-regained"
    PLACEMENT_REFUSED = "placement-refused"
    GATEWAY_STRAINED = "gateway-strained"
    GATEWAY_EASED = "gateway-eased"
    GATEWAY_LOAD = "gateway-load"
    LINES_DROPPED = "lines-dropped"
    SETTINGS_RELOADED = "settings-reloaded"
    TASK_RESTARTED = "task-restarted"


class EventLog(Protocol):
    """Destination of the events of one process."""

    def write(self, kind: EventKind, **fields: Any) -> None:
        """Append one event.

        Parameters
        ----------
        kind : EventKind
            Kind of the event.
        **fields : JSON values
            Details. Common names are ``request_id``, ``attempt_id``, ``team``,
            ``service``, ``peer``, ``version`` and ``reason``.
        """
        ...


class EventLines:
    """Formats the events of one process as numbered JSON lines.

    Parameters
    ----------
    process : str
        Name of the process.
    incarnation : int
        Incarnation of the process.
    clock : Clock
        Gives the wall time of each event in milliseconds.
    """

    def __init__(self, process: str, incarnation: int, clock: Clock):
        self._process = process
        self._incarnation = incarnation
        self._clock = clock
        self._sequence = 0

    def format(self, kind: EventKind, fields: dict[str, Any]) -> str:
        """Return the line of one event, with its line break."""
        self._sequence += 1
        record = {
            "wall_ms": self._clock.wall_ms(),
            "process": self._process,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "kind": str(kind),
            **fields,
        }
        return json.dumps(record, separators=(",", ":")) + "\n"


class StreamEventLog:
    """Event log over an open text file.

    Parameters
    ----------
    stream : text file
        Destination of the JSON lines.
    process : str
        Name of the process.
    incarnation : int
        Incarnation of the process.
    clock : Clock
        Gives the wall time of each event in milliseconds.
    """

    def __init__(self, stream: TextIO, process: str, incarnation: int, clock: Clock):
        self._stream = stream
        self._lines = EventLines(process, incarnation, clock)
        self._is_failing = False

    def write(self, kind: EventKind, **fields: Any) -> None:
        """Append one event and flush it, so that it survives a kill of the process.

        If that fails, as on a full disk, the event may be missing from the file, which
        the sequence numbers show.
        """
        try:
            self._stream.write(self._lines.format(kind, fields))
            self._stream.flush()
            self._is_failing = False
        except OSError as error:
            if not self._is_failing:
                _log.error("cannot write to the event log: %s", error)
            self._is_failing = True

    def close(self) -> None:
        """Close the stream."""
        try:
            self._stream.close()
        except OSError as error:
            _log.error("cannot write the last events to the event log: %s", error)


class MemoryEventLog:
    """Event log in memory, for tests and for processes without a log file.

    Parameters
    ----------
    observer : callable, optional
        Called with each record.
    capacity : int, default=10_000
        Number of records kept; the oldest are dropped first.
    """

    def __init__(
        self,
        observer: Callable[[dict[str, Any]], None] | None = None,
        capacity: int = 10_000,
    ):
        self._observer = observer
        self._capacity = capacity
        self._records: list[dict[str, Any]] = []

    @property
    def records(self) -> list[dict[str, Any]]:
        """Records in the order in which they were written."""
        return self._records

    def write(self, kind: EventKind, **fields: Any) -> None:
        """Append one event."""
        record = {"kind": str(kind), **fields}
        self._records.append(record)
        if len(self._records) > self._capacity:
            del self._records[: -self._capacity]
        if self._observer is not None:
            self._observer(record)
