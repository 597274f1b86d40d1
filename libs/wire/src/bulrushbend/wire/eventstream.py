"""Framing of server-sent events."""

import re
from collections.abc import Sequence

from bulrushbend.core.errors import PeerProtocolError, TruncatedResponseError
from bulrushbend.wire.buffer_budget import BufferBudget

# Bounds the memory used for an endpoint that never ends an event.
_MAX_EVENT_BYTES = 1 << 20
# Part of an incomplete event that does not count for the budget of all streams.
_FREE_EVENT_BYTES = 4_096
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
# Bytes before new data with which it may complete the end of an event.
_MAX_SPLIT_END = 3
# The lines are searched in place: a list of them can take many times their size.
_LINE = re.compile(rb"[^\r\n]")
_LINE_OF_EVENT = re.compile(rb"(?:^|[\r\n])[^:\r\n]")
_KNOWN_LINE = re.compile(
    rb"(?:^|[\r\n])(?:(?:id|data|event|retry)(?::|(?=[\r\n])|$)|:)"
)
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")
_DATA_LINE = re.compile(rb"(?:^|[\r\n])data")
_BLANK_LINE_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")


class StreamTail:
    """Tells from the last bytes of an event stream whether the stream is whole.

    A stream that ends inside an event has been broken off, however the response is
    framed. A comment has to end with a blank line as well: it may be the first line of
    an event.
    """

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Append `data` to the stream."""
        self._tail = data[-3:] if len(data) > 2 else (self._tail + data)[-3:]

    def check_end(self, peer: str, *, ends_with_connection: bool) -> None:
        """Check that the stream is whole where its response ends.

        Parameters
        ----------
        peer : str
            Address of the endpoint, for the error.
        ends_with_connection : bool
            Whether only the end of the connection ends the response. A stream without
            any byte has been broken off then, and is empty otherwise.

        Raises
        ------
        TruncatedResponseError
            The stream does not end with a blank line.
        """
        is_empty = not self._tail and not ends_with_connection
        if not is_empty and not self._tail.endswith(_BLANK_LINE_ENDS):
            raise TruncatedResponseError(
                "stream ended inside an event", step="body", peer=peer
            )


def contains_event_end(data: bytes) -> bool:
    """Return whether an event that is not only a comment ends within `data`."""
    end = 0
    for match in _EVENT_END.finditer(data):
        end = match.end()
    return _LINE_OF_EVENT.search(data, 0, end) is not None


class EventFramer:
    """Splits an event stream at event boundaries and tracks the last event id.

    Only complete events are returned, so a stream that breaks inside an event can be
    resumed without a gap or a repeated byte. Events without an id that followed the
    last id are sent again by the endpoint after a resume, and are skipped then.

    A resumed stream is checked until its first event with an id, which has to follow
    the last id. Decimal ids increase; other ids differ.

    Parameters
    ----------
    budget : BufferBudget, optional
        Bounds the incomplete events of all streams together.
    """

    def __init__(self, budget: BufferBudget | None = None) -> None:
        self._budget = budget
        self._reserved = 0
        self._partial = bytearray()
        # Bytes of it that contain no end of an event.
        self._searched = 0
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
            An event is larger than 1 MiB, the incomplete events of all streams are
            larger than the budget, or a resumed stream does not continue after
            the last event. No event of `data` counts as passed on then.
        """
        self._partial += data
        start = max(0, self._searched - _MAX_SPLIT_END)
        ends = [match.end() for match in _EVENT_END.finditer(self._partial, start)]
        complete = ends[-1] if ends else 0
        self._searched = len(self._partial) - complete
        if self._searched > _MAX_EVENT_BYTES:
            raise PeerProtocolError("event is larger than 1 MiB", step="event stream")
        self._reserve(self._searched - _FREE_EVENT_BYTES)
        if not ends:
            return b""
        events = [
            bytes(self._partial[start:end])
            for start, end in zip([0, *ends], ends, strict=False)
        ]
        del self._partial[:complete]
        if self._must_continue:
            self._check_continuation(events)
        return b"".join([event for event in events if self._is_new(event)])

    def finish(self) -> bytes:
        """Return the line ends after the last event of a stream that is whole."""
        rest = bytes(self._partial)
        self.close()
        return rest

    def close(self) -> None:
        """Drop the bytes after the last event."""
        self._partial = bytearray()
        self._searched = 0
        self._reserve(0)

    def restart(self) -> None:
        """Reset the state for the stream that the endpoint sends after a resume."""
        self.close()
        self._events_to_skip = self._events_after_id
        self._must_continue = bool(self._last_id)

    def _reserve(self, size: int) -> None:
        """Change the part of the budget that this stream uses."""
        if self._budget is None or (size <= 0 and not self._reserved):
            return
        added = max(0, size) - self._reserved
        if added > 0 and not self._budget.reserve(added):
            raise PeerProtocolError(
                f"incomplete events of all streams are larger than "
                f"{self._budget.limit} bytes",
                step="event stream",
            )
        if added < 0:
            self._budget.release(-added)
        self._reserved += added

    def _check_continuation(self, events: Sequence[bytes]) -> None:
        for event in events:
            if _LINE.search(event) and not _KNOWN_LINE.search(event):
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
    for match in _ID_LINE.finditer(event):
        event_id = match[1].strip().decode("utf-8", "replace")
    return event_id, _DATA_LINE.search(event) is not None


def _follows(event_id: str, last_id: str) -> bool:
    if not (_is_decimal(event_id) and _is_decimal(last_id)):
        return event_id != last_id
    number, last_number = event_id.lstrip("0"), last_id.lstrip("0")
    return (len(number), number) > (len(last_number), last_number)


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdigit()
