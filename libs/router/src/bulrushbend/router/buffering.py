"""Sink that buffers an answer until control has stored it."""

from tornado.httputil import HTTPHeaders

from bulrushbend.core.errors import BulrushbendError
from bulrushbend.router.sinks import AnswerSink
from bulrushbend.wire.fleet_pb2 import Header, StoredAnswer

MAX_BUFFERED_BYTES = 65_536


class BufferingSink:
    """Buffers an answer of up to 64 KiB; a larger one is forwarded as it arrives.

    Of a larger answer only the end is delayed: the caller sees the answer complete only
    after the idempotency key has been completed.

    Parameters
    ----------
    sink : AnswerSink
        Receives the answer when the buffer is flushed or full.
    """

    def __init__(self, sink: AnswerSink):
        self._sink = sink
        self._status = 200
        self._headers = HTTPHeaders()
        self._buffer = bytearray()
        self._passing_through = False

    @property
    def started(self) -> bool:
        """Whether any bytes of the answer have been sent to the caller."""
        return self._sink.started

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Set the status and the headers."""
        self._status = status
        self._headers = headers
        await self._sink.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Buffer a chunk, or forward it once the answer is too large to be stored."""
        if self._passing_through:
            await self._sink.write(chunk)
            return
        self._buffer += chunk
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._passing_through = True
            await self.flush()

    async def finish(self) -> None:
        """Flush the buffer and complete the answer."""
        await self.flush()
        await self._sink.finish()

    async def abort(self, error: BulrushbendError) -> None:
        """End the answer such that the caller can detect that it is incomplete."""
        await self._sink.abort(error)

    async def flush(self) -> None:
        """Forward the buffered bytes."""
        data, self._buffer = bytes(self._buffer), bytearray()
        if data:
            await self._sink.write(data)

    def to_stored_answer(self) -> StoredAnswer:
        """Return the answer in the form that control stores."""
        return StoredAnswer(
            status=self._status,
            headers=[
                Header(name=name, value=value)
                for name, value in self._headers.get_all()
            ],
            body=bytes(self._buffer),
            body_kept=not self._passing_through,
        )
