"""Interface of the receivers of an answer."""

from typing import Protocol

from tornado.httputil import HTTPHeaders

from bulrushbend.core.errors import BulrushbendError


class AnswerSink(Protocol):
    """Receives one answer in chunks."""

    @property
    def started(self) -> bool:
        """Whether any bytes of the answer have been sent to the caller."""
        ...

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Set the status and the headers; nothing is sent before the first chunk."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body and wait until it is flushed."""
        ...

    async def finish(self) -> None:
        """Complete the answer."""
        ...

    async def abort(self, error: BulrushbendError) -> None:
        """End the answer such that the caller can detect that it is incomplete."""
        ...
