"""Answer to a caller over its connection."""

import asyncio
import socket
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from tornado.httputil import HTTPHeaders

from bulrushbend.wire.exchange import STATUSES_WITHOUT_BODY

# struct linger: on, no time. A reset cannot be taken for the end of an answer.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

FlowControl = Callable[[], None]


class ResponseSink(Protocol):
    """Takes the answer to one request."""

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        ...

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take status and headers."""
        ...

    def write(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        ...

    def finish(self) -> None:
        """End the answer; it is complete."""
        ...

    def abort_response(self) -> None:
        """End the answer so that it does not look complete."""
        ...

    def set_flow_control(self, pause: FlowControl, resume: FlowControl) -> None:
        """Call `pause` when the caller reads too slowly, and `resume` afterwards."""
        ...


class ConnectionSink:
    """Writes an answer to a connection, the headers with the first piece.

    Parameters
    ----------
    transport : asyncio.Transport
        Connection of the request.
    method : str
        Method of the request; an answer to HEAD has no body.
    can_chunk : bool
        Whether the caller understands chunks, as HTTP/1.1 does.
    closes : bool
        Whether to announce and make the end of the connection after the answer.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        method: str = "GET",
        can_chunk: bool = True,
        close_connection: bool = False,
    ):
        self._transport = transport
        self._is_head_request = method == "HEAD"
        self._can_chunk = can_chunk
        self._close_connection = close_connection
        self._status_and_headers: tuple[int, HTTPHeaders] | None = None
        self._is_chunked = False
        self._has_body = True
        self._started = False
        self._is_buffer_full = False
        self._pause: FlowControl | None = None
        self._resume: FlowControl | None = None

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        return self._started

    def close_after_response(self) -> None:
        """End the connection after this answer, which has not started."""
        self._close_connection = True

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take status and headers; they leave with the first piece."""
        self._status_and_headers = (status, headers)

    def write(self, chunk: bytes) -> None:
        """Send a piece."""
        if self._transport.is_closing():
            return
        head = b"" if self._started else self._encode_headers()
        if not self._has_body:
            chunk = b""
        elif self._is_chunked and chunk:
            chunk = b"%x\r\n%s\r\n" % (len(chunk), chunk)
        if head or chunk:
            self._transport.write(head + chunk)

    def finish(self) -> None:
        """End the answer; it is complete."""
        if self._transport.is_closing():
            return
        if not self._started:
            # Without a length, no body is one of length zero.
            _, headers = self._status_and_headers
            if "Content-Length" not in headers:
                headers["Content-Length"] = "0"
            self.write(b"")
        elif self._is_chunked and self._has_body:
            self._transport.write(b"0\r\n\r\n")
        if self._close_connection:
            self._transport.close()

    def abort_response(self) -> None:
        """Reset the connection, so that a cut answer does not look complete."""
        connection = self._transport.get_extra_info("socket")
        if connection is not None and not self._transport.is_closing():
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def set_flow_control(self, pause: FlowControl, resume: FlowControl) -> None:
        """Call `pause` when the caller reads too slowly, and `resume` afterwards."""
        self._pause, self._resume = pause, resume
        if self._is_buffer_full:
            pause()

    def set_buffer_full(self, is_full: bool) -> None:
        """Take from the connection whether it holds much that was not sent."""
        self._is_buffer_full = is_full
        control = self._pause if is_full else self._resume
        if control is not None:
            control()

    def _encode_headers(self) -> bytes:
        assert self._status_and_headers is not None
        self._started = True
        status, headers = self._status_and_headers
        self._has_body = not (self._is_head_request or status in STATUSES_WITHOUT_BODY)
        if self._has_body and "Content-Length" not in headers:
            self._is_chunked = self._can_chunk
            if self._is_chunked:
                headers["Transfer-Encoding"] = "chunked"
            else:
                self._close_connection = True
        if self._close_connection:
            headers["Connection"] = "close"
        lines = [f"HTTP/1.1 {status} {_reason_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in headers.get_all()]
        return "\r\n".join(lines).encode("latin1") + b"\r\n\r\n"


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
