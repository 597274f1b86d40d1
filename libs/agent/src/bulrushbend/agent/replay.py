"""Replay buffer: recent bytes of one answer, which a router can request again."""

import asyncio
from collections.abc import AsyncIterator, Callable

from bulrushbend.agent.errors import (
    AnswerNotBufferedError,
    AnswerTruncatedError,
    OffsetBeyondEndError,
    ReaderDetachedError,
    ReaderStalledError,
)
from bulrushbend.core.clock import Clock

_MAX_CHUNK_BYTES = 1 << 16
# Fraction of the window that is retained behind the reader.
_RETAINED_FRACTION = 5 / 8
# A window has room for at least this many chunks.
_CHUNKS_PER_WINDOW = 16


class ReplayBuffer:
    """Sliding window over the body of one answer, bounded in bytes.

    The window starts at offset 0. When it is full, its oldest bytes are removed, but
    never the last 5/8 of a window before the reader's position: if a connection goes
    silent, up to half a window of the bytes that were read may be lost in the kernel's
    send buffer. When nothing can be removed the writer waits, which applies
    backpressure to the endpoint. It waits at most `stall_ms` without progress of the
    reader.

    Parameters
    ----------
    limit_bytes : int
        Size of the window in bytes.
    stall_ms : float
        Longest time in milliseconds for which a writer waits for the reader.
    clock : Clock
        Source of time.
    """

    def __init__(self, limit_bytes: int, stall_ms: float, clock: Clock):
        self._clock = clock
        self._limit_bytes = limit_bytes
        self._retained_bytes = int(limit_bytes * _RETAINED_FRACTION)
        self._max_chunk_bytes = min(
            _MAX_CHUNK_BYTES, max(1, limit_bytes // _CHUNKS_PER_WINDOW)
        )
        self._stall_ms = stall_ms
        self._window = bytearray()
        self._start = 0
        self._end = 0
        self._read_offset = 0
        self._ended = False
        self._complete = False
        self._discarding = False
        self._reader: ReplayReader | None = None
        self._progress = asyncio.Event()
        self._last_activity_ms = clock.now_ms()

    @property
    def last_activity_ms(self) -> float:
        """Time of the last progress of a reader, or of the end of the answer."""
        return self._last_activity_ms

    @property
    def produced(self) -> int:
        """Number of bytes written since the start of the answer."""
        return self._end

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes in the window."""
        return len(self._window)

    @property
    def ended(self) -> bool:
        """Whether no more bytes will be appended."""
        return self._ended

    @property
    def delivered(self) -> bool:
        """Whether a reader has read the answer to its end."""
        return self._ended and self._read_offset == self._end

    async def append(self, data: bytes) -> None:
        """Append `data`; wait for the reader while the window is full.

        Raises
        ------
        ReaderStalledError
            The reader made no progress for `stall_ms`.
        """
        if len(data) > self._max_chunk_bytes:
            for start in range(0, len(data), self._max_chunk_bytes):
                await self.append(data[start : start + self._max_chunk_bytes])
            return
        while not self._discarding and not self._make_room(len(data)):
            self._progress.clear()
            try:
                async with asyncio.timeout(self._stall_ms / 1000.0):
                    await self._progress.wait()
            except TimeoutError:
                raise ReaderStalledError(
                    "replay buffer is full and its reader makes no progress",
                    step="replay",
                ) from None
        self._end += len(data)
        if self._discarding:
            self._start = self._end
            return
        self._window += data
        self._wake_reader()

    def discard(self) -> None:
        """Discard the buffered bytes and all that follow; readers get an error."""
        self._discarding = True
        self._window.clear()
        self._start = self._end
        self._wake_reader()

    def finish(self, *, complete: bool) -> None:
        """Mark the end of the answer.

        Parameters
        ----------
        complete : bool
            Whether the answer is complete; if not, its readers get an error.
        """
        if self._ended:
            return
        self._ended = True
        self._complete = complete and not self._discarding
        self._last_activity_ms = self._clock.now_ms()
        self._wake_reader()

    def release(self) -> None:
        """Free the memory; later readers get `AnswerNotBufferedError`."""
        self._discarding = True
        self._window.clear()
        self._start = self._end + 1
        if self._reader is not None:
            self._reader.detach()

    def open_reader(self, offset: int) -> "ReplayReader":
        """Return a reader that starts at `offset`; an older reader is detached.

        Raises
        ------
        AnswerNotBufferedError
            The offset is before the window.
        OffsetBeyondEndError
            The offset is beyond the bytes produced so far.
        """
        if offset > self._end:
            raise OffsetBeyondEndError(
                f"only {self._end} bytes were produced", step="replay"
            )
        if offset < self._start:
            raise AnswerNotBufferedError(f"held from byte {self._start}", step="replay")
        if self._reader is not None:
            self._reader.detach()
        self._reader = ReplayReader(self, offset)
        self._record_progress(offset)
        return self._reader

    def read(self, offset: int) -> bytes:
        """Return a chunk that starts at `offset`, empty at the end of the window."""
        start = offset - self._start
        return bytes(self._window[start : start + self._max_chunk_bytes])

    def record_read(self, reader: "ReplayReader", offset: int) -> None:
        """Record that `reader` has read everything before `offset`."""
        if reader is self._reader:
            self._record_progress(offset)

    def check_readable(self, offset: int) -> None:
        """Raise `AnswerTruncatedError` if a reader at `offset` can never continue."""
        if offset < self._start or (self._discarding and offset < self._end):
            raise AnswerTruncatedError(
                "the answer is no longer buffered", step="replay"
            )
        if self._ended and not self._complete and offset == self._end:
            raise AnswerTruncatedError(
                "the answer ended before it was complete", step="replay"
            )

    def _record_progress(self, offset: int) -> None:
        self._read_offset = offset
        self._last_activity_ms = self._clock.now_ms()
        self._progress.set()

    def _make_room(self, size: int) -> bool:
        excess = len(self._window) + size - self._limit_bytes
        if excess <= 0:
            return True
        if self._start + excess > self._read_offset - self._retained_bytes:
            return False
        del self._window[:excess]
        self._start += excess
        return True

    def _wake_reader(self) -> None:
        if self._reader is not None:
            self._reader.notify()


class ReplayReader:
    """Position of one connection in a `ReplayBuffer`."""

    def __init__(self, buffer: ReplayBuffer, offset: int):
        self._buffer = buffer
        self._offset = offset
        self._detached = False
        self._on_detach: Callable[[], None] | None = None
        self._changed = asyncio.Event()

    @property
    def detached(self) -> bool:
        """Whether the reader was detached from the buffer."""
        return self._detached

    def notify(self) -> None:
        """Notify the reader that the buffer has changed."""
        self._changed.set()

    def detach(self) -> None:
        """Detach the reader, which then raises `ReaderDetachedError`."""
        if self._detached:
            return
        self._detached = True
        self._changed.set()
        if self._on_detach is not None:
            self._on_detach()

    def set_detach_callback(self, callback: Callable[[], None]) -> None:
        """Call `callback` when the reader is detached.

        A reader that waits for its connection to accept a chunk does not notice the
        detachment by itself.
        """
        self._on_detach = callback

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes as they are appended, until the answer is complete.

        A chunk counts as read when the next one is requested.

        Raises
        ------
        AnswerTruncatedError
            The answer ended before it was complete, or is no longer buffered.
        ReaderDetachedError
            Another connection reads the answer now.
        """
        while True:
            if self._detached:
                raise ReaderDetachedError(
                    "replaced by a newer connection", step="replay"
                )
            self._buffer.check_readable(self._offset)
            chunk = self._buffer.read(self._offset)
            if chunk:
                yield chunk
                self._offset += len(chunk)
                self._buffer.record_read(self, self._offset)
            elif self._buffer.ended:
                return
            else:
                self._changed.clear()
                await self._changed.wait()
