"""Framing of server-sent events."""

import re

from bulrushbend.core.errors import PeerProtocolError

# Bounds the memory used for an endpoint that never ends an event.
_MAX_EVENT_BYTES = 1 << 20
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LINE_END = re.compile(rb"\r\n|\n|\r")
# Line of a known field, or comment.
_KNOWN_LINE = re.compile(rb"(?:id|data|event|retry)(?::|$)|:")
_BLANK_LINE_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")


class StreamTail:
    """Tells from the last bytes of an event stream whether it ends after an event.

    A stream that ends with its connection has been broken off otherwise. A comment has
    to end with a blank line as well: it may be the first line of an event.
    """

    def __init__(self) -> None:
        self._tail = b""

    @property
    def is_after_event(self) -> bool:
        """Whether the stream ends with a blank line."""
        return self._tail.endswith(_BLANK_LINE_ENDS)

    def feed(self, data: bytes) -> None:
        """Append `data` to the stream."""
        self._tail = data[-3:] if len(data) > 2 else (self._tail + data)[-3:]


def contains_event_end(data: bytes) -> bool:
    """Return whether an event that is not only a comment ends within `data`."""
    *events, _ = _EVENT_END.split(data)
    return any(
        line and not line.startswith(b":")
        for event in events
        for line in _LINE_END.split(event)
    )


class EventFramer:
    """Splits an event stream at event boundaries and tracks the last event id.

    Only complete events are returned, so a stream that breaks inside an event can be
    resumed without a gap or a repeated byte. Events without an id that followed the
    last id are sent again by the endpoint after a resume, and are skipped then.

    A resumed stream is checked until its first event with an id, which has to follow
    the last id. Decimal ids increase; other ids differ.
    """

    def __init__(self) -> None:
        self._partial = b""
        self._last_id = ""
        self._events_after_id = 0
        self._events_to_skip = 0
        self._must_continue = False

    @property
    def last_id(self) -> str:
        """Id of the last complete event that has one, empty before the first."""
        return self._last_id

    def feed(self, data: bytes) -> bytes:
        """Append `data` to the stream and return the events that are complete now.

        Raises
        ------
        PeerProtocolError
            An event is larger than 1 MiB, or a resumed stream does not continue after
            the last event. No event of `data` counts as passed on then.
        """
        self._partial += data
        if self._must_continue:
            self._check_continuation()
        passed: list[bytes] = []
        start = 0
        for match in _EVENT_END.finditer(self._partial):
            event = self._partial[start : match.end()]
            start = match.end()
            if self._is_new(event):
                passed.append(event)
        self._partial = self._partial[start:]
        if len(self._partial) > _MAX_EVENT_BYTES:
            raise PeerProtocolError("event is larger than 1 MiB", step="event stream")
        return b"".join(passed)

    def finish(self) -> bytes:
        """Return the bytes after the last event, at the regular end of the stream."""
        rest, self._partial = self._partial, b""
        return rest

    def restart(self) -> None:
        """Reset the state for the stream that the endpoint sends after a resume."""
        self._partial = b""
        self._events_to_skip = self._events_after_id
        self._must_continue = bool(self._last_id)

    def _check_continuation(self) -> None:
        start = 0
        for match in _EVENT_END.finditer(self._partial):
            event = self._partial[start : match.end()]
            start = match.end()
            lines = [line for line in _LINE_END.split(event) if line]
            if lines and not any(map(_KNOWN_LINE.match, lines)):
                raise PeerProtocolError(
                    "resumed stream contains no events", step="event stream"
                )
            event_id, _ = _parse_event(event)
            if event_id is None:
                continue
            if not _follows(event_id, self._last_id):
                raise PeerProtocolError(
                    f"resumed stream has event {event_id!r} after {self._last_id!r}",
                    step="event stream",
                )
            self._must_continue = False
            return

    def _is_new(self, event: bytes) -> bool:
        event_id, has_data = _parse_event(event)
        if event_id is not None:
            self._last_id = event_id
            self._events_after_id = 0
            self._events_to_skip = 0
            return True
        if not has_data:
            return True
        if self._events_to_skip:
            self._events_to_skip -= 1
            return False
        self._events_after_id += 1
        return True


def _parse_event(event: bytes) -> tuple[str | None, bool]:
    event_id: str | None = None
    has_data = False
    for line in _LINE_END.split(event):
        if line.startswith(b"id:"):
            event_id = line[3:].strip().decode("utf-8", "replace")
        elif line.startswith(b"data"):
            has_data = True
    return event_id, has_data


def _follows(event_id: str, last_id: str) -> bool:
    if not (_is_decimal(event_id) and _is_decimal(last_id)):
        return event_id != last_id
    number, last_number = event_id.lstrip("0"), last_id.lstrip("0")
    return (len(number), number) > (len(last_number), last_number)


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdigit()
