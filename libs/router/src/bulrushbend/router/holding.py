"""A sink that holds an answer back until control has stored it."""

from tornado.httputil import HTTPHeaders

from bulrushbend.core.errors import BulrushbendError
from bulrushbend.router.sinks import AnswerSink
from bulrushbend.wire.fleet_pb2 import Header, StoredAnswer

HELD_BYTES = 65_536


class HoldingSink:
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
        self._held = bytearray()
        self._passing = False

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        return self._sink.started

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take the status and the headers."""
        self._status = status
        self._headers = headers
        await self._sink.start(status, headers)

    async def write(self, piece: bytes) -> None:
        """Hold a piece, or pass it on once the answer is too large to be stored."""
        if self._passing:
            await self._sink.write(piece)
            return
        self._held += piece
        if len(self._held) > HELD_BYTES:
            self._passing = True
            await self.hand_over()

    async def finish(self) -> None:
        """End the answer; it is complete."""
        await self.hand_over()
        await self._sink.finish()

    async def break_off(self, error: BulrushbendError) -> None:
        """End the answer so that the caller sees that it is incomplete."""
        await self._sink.break_off(error)

    async def hand_over(self) -> None:
        """Pass on what is held."""
        held, self._held = bytes(self._held), bytearray()
        if held:
            await self._sink.write(held)

    def stored(self) -> StoredAnswer:
        """Return the answer as control stores it."""
        return StoredAnswer(
            status=self._status,
            headers=[
                Header(name=name, value=value)
                for name, value in self._headers.get_all()
            ],
            body=bytes(self._held),
            body_kept=not self._passing,
        )
