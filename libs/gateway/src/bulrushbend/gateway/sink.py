"""Answer to a caller over Tornado's server connection."""

import socket
import struct
from http import HTTPStatus
from typing import Protocol

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

# A caller that reads slowly may hold this much of its answer in memory.
_MOST_UNSENT_BYTES = 1 << 18
# struct linger: on, no time. A reset cannot be taken for the end of an answer.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class AnswerSink(Protocol):
    """Takes the answer to one request."""

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        ...

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take status and headers."""
        ...

    async def write(self, piece: bytes) -> None:
        """Take a piece of the body."""
        ...

    async def finish(self) -> None:
        """End the answer; it is complete."""
        ...

    def break_off(self) -> None:
        """End the answer so that it does not look complete."""
        ...


class ConnectionSink:
    """Writes an answer to a connection, the headers with the first piece.

    Parameters
    ----------
    connection : HTTP1Connection
        Connection of the request.
    closes : bool
        Whether to announce and make the end of the connection after the answer.
    """

    def __init__(self, connection: HTTP1Connection, closes: bool):
        self._connection = connection
        self._stream: IOStream = connection.stream
        self._closes = closes
        self._head: tuple[int, HTTPHeaders] | None = None
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        return self._started

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take status and headers; they leave with the first piece."""
        self._head = (status, headers)

    async def write(self, piece: bytes) -> None:
        """Send a piece; waits while the caller has much left to read."""
        if self._stream.closed():
            return
        if not self._started:
            self._send_head(piece)
        else:
            self._connection.write(piece)
        if self._stream.writing() and self._unsent_bytes() > _MOST_UNSENT_BYTES:
            try:
                await self._stream.write(b"")
            except StreamClosedError:
                return

    async def finish(self) -> None:
        """End the answer; it is complete."""
        if self._stream.closed():
            return
        if not self._started:
            self._send_head(None)
        stream = self._stream
        self._connection.finish()
        if self._closes and not stream.closed():
            try:
                await stream.write(b"")
            except StreamClosedError:
                return
            stream.close()

    def break_off(self) -> None:
        """Reset the connection, so that a cut answer does not look complete."""
        if not self._stream.closed():
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            self._connection.close()

    def _unsent_bytes(self) -> int:
        return len(self._stream._write_buffer)

    def _send_head(self, piece: bytes | None) -> None:
        assert self._head is not None
        self._started = True
        status, headers = self._head
        if self._closes:
            headers["Connection"] = "close"
        try:
            reason = HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(start_line, headers, piece)
