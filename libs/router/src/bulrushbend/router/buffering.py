"""A sink that holds an answer back until control has stored it."""

from tornado.httputil import HTTPHeaders

from bulrushbend.core.errors import BulrushbendError
from bulrushbend.router.sinks import AnswerSink
from bulrushbend.wire.fleet_pb2 import Header, StoredAnswer

MAX_BUFFERED_BYTES = 65_536


class BufferingSink:
    """Holds an answer of up to 64 KiB; a larger one is passed on as it arrives.

    Of a larger answer only the end is held back: the caller sees it complete after
    the key has been completed.

    Parameters
    ----------
    sink : AnswerSink
        Receives the answer in the end.
    """

    def __init__(self, sink: AnswerSink):
        self._sink = sink
        self._status = 200
        self._headers = HTTPHeaders()
        self._buffer = bytearray()
        self._passing_through = False

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        return self._sink.started

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take the status and the headers."""
        self._status = status
        self._headers = headers
        await self._sink.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Hold a piece, or pass it on once the answer is too large to be stored."""
        if self._passing_through:
            await self._sink.write(chunk)
            return
        self._buffer += chunk
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._passing_through = True
            await self.flush()

    async def finish(self) -> None:
        """End the answer; it is complete."""
        await self.flush()
        await self._sink.finish()

    async def abort(self, error: BulrushbendError) -> None:
        """End the answer so that the caller sees that it is incomplete."""
        await self._sink.abort(error)

    async def flush(self) -> None:
        """Pass on what is held."""
        data, self._buffer = bytes(self._buffer), bytearray()
        if data:
            await self._sink.write(data)

    def to_stored_answer(self) -> StoredAnswer:
        """Return the answer as control stores it."""
        return StoredAnswer(
            status=self._status,
            headers=[
                Header(name=name, value=value)
                for name, value in self._headers.get_all()
            ],
            body=bytes(self._buffer),
            body_kept=not self._passing_through,
        )
