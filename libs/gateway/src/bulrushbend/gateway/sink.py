"""Writing of responses to the connections of callers."""

import asyncio
import socket
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from tornado.httputil import HTTPHeaders

from bulrushbend.wire.exchange import STATUSES_WITHOUT_BODY

# struct linger with time 0: closing resets the connection, which a caller cannot
# mistake for the end of a response.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

FlowControlCallback = Callable[[], None]


class ResponseSink(Protocol):
    """Receiver of the response to one request."""

    @property
    def started(self) -> bool:
        """Whether any bytes were sent to the caller."""
        ...

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Set status and headers."""
        ...

    def write(self, chunk: bytes) -> None:
        """Write a chunk of the body."""
        ...

    def finish(self) -> None:
        """End the response as complete."""
        ...

    def abort_response(self) -> None:
        """End the response so that the caller recognizes it as incomplete."""
        ...

    def set_flow_control(
        self, pause: FlowControlCallback, resume: FlowControlCallback
    ) -> None:
        """Set the callbacks that pause and resume the source of the response.

        `pause` is called when the caller reads too slowly, `resume` when it has caught
        up.
        """
        ...


class ConnectionSink:
    """Writes a response to a connection, the headers together with the first chunk.

    Parameters
    ----------
    transport : asyncio.Transport
        Connection of the request.
    method : str
        Method of the request; the response to HEAD has no body.
    supports_chunked : bool
        Whether the caller supports chunked encoding, as HTTP/1.1 requires.
    close_connection : bool
        Whether to announce the end of the connection and close it after the response.
    should_close : callable, optional
        Returns whether to do so for other reasons, given whether
        `close_after_response` was called. It is called when the headers are sent.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        method: str = "GET",
        supports_chunked: bool = True,
        close_connection: bool = False,
        should_close: Callable[[bool], bool] = bool,
    ):
        self._transport = transport
        self._is_head_request = method == "HEAD"
        self._supports_chunked = supports_chunked
        self._close_connection = close_connection
        self._should_close = should_close
        self._is_close_requested = False
        self._status_and_headers: tuple[int, HTTPHeaders] | None = None
        self._is_chunked = False
        self._has_body = True
        self._started = False
        self._is_finished = False
        self._is_buffer_full = False
        self._pause: FlowControlCallback | None = None
        self._resume: FlowControlCallback | None = None

    @property
    def started(self) -> bool:
        """Whether any bytes were sent to the caller."""
        return self._started

    @property
    def is_finished(self) -> bool:
        """Whether the complete response was sent."""
        return self._is_finished

    def close_after_response(self) -> None:
        """Close the connection unless a request follows the response.

        The response must not have started.
        """
        self._is_close_requested = True

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Set status and headers, which are sent with the first chunk."""
        self._status_and_headers = (status, headers)

    def write(self, chunk: bytes) -> None:
        """Write a chunk of the body."""
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
        """End the response as complete."""
        if self._transport.is_closing():
            return
        if not self._started:
            # An empty body needs an explicit length of zero.
            _, headers = self._status_and_headers
            if "Content-Length" not in headers:
                headers["Content-Length"] = "0"
            self.write(b"")
        elif self._is_chunked and self._has_body:
            self._transport.write(b"0\r\n\r\n")
        self._is_finished = True
        if self._close_connection:
            self._transport.close()

    def abort_response(self) -> None:
        """Reset the connection, so that the response is recognized as incomplete."""
        connection = self._transport.get_extra_info("socket")
        if connection is not None and not self._transport.is_closing():
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def set_flow_control(
        self, pause: FlowControlCallback, resume: FlowControlCallback
    ) -> None:
        """Set the callbacks that pause and resume the source of the response.

        `pause` is called when the caller reads too slowly, `resume` when it has caught
        up.
        """
        self._pause, self._resume = pause, resume
        if self._is_buffer_full:
            pause()

    def set_buffer_full(self, is_full: bool) -> None:
        """Pause or resume the source as the write buffer fills up or drains."""
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
            self._is_chunked = self._supports_chunked
            if self._is_chunked:
                headers["Transfer-Encoding"] = "chunked"
            else:
                self._close_connection = True
        if self._should_close(self._is_close_requested):
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
