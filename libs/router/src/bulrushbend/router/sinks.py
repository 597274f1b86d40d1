"""Where the answer to a request goes."""

from typing import Protocol

from tornado.httputil import HTTPHeaders

from bulrushbend.core.errors import BulrushbendError


class AnswerSink(Protocol):
    """Receives one answer, piece by piece."""

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        ...

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take the status and the headers; nothing is sent before the first piece."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Send a piece of the body and wait until it has left."""
        ...

    async def finish(self) -> None:
        """End the answer; it is complete."""
        ...

    async def abort(self, error: BulrushbendError) -> None:
        """End the answer so that the caller sees that it is incomplete."""
        ...
