"""HTTP interface for callers."""

import asyncio
from typing import Protocol

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)

from bulrushbend.core.logs import part_logger
from bulrushbend.gateway.call import CallEnded
from bulrushbend.gateway.sink import ConnectionSink

_log = part_logger("gateway.server")
_BODY_TOO_LARGE = CallEnded(413, "body-too-large", "the body is too large")


class Desk(Protocol):
    """What the HTTP interface needs of the gateway."""

    @property
    def header_bytes(self) -> int:
        """Largest size of a request's headers."""
        ...

    @property
    def body_bytes(self) -> int:
        """Largest size of a request's body."""
        ...

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after their answers."""
        ...

    async def serve(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        sink: ConnectionSink,
    ) -> None:
        """Give a request exactly one answer."""
        ...

    def refuse(
        self, headers: HTTPHeaders, error: CallEnded
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Return the gateway's own answer."""
        ...


class CallerServer(HTTPServerConnectionDelegate):
    """Reads requests and hands each to the desk as a task of its own."""

    def __init__(self, desk: Desk):
        self._desk = desk
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[object] = set()

    @property
    def connections(self) -> int:
        """Number of open connections that have carried a request."""
        return len(self._connections)

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return len(self._tasks)

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of one request."""
        self._connections.add(server_conn)
        return _RequestReader(self._desk, request_conn, self._tasks)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(server_conn)


class _RequestReader(HTTPMessageDelegate):
    """Collects one request; its answer starts when the request is complete."""

    def __init__(
        self,
        desk: Desk,
        connection: HTTP1Connection,
        tasks: set[asyncio.Task[None]],
    ):
        self._desk = desk
        self._connection = connection
        self._tasks = tasks
        self._task: asyncio.Task[None] | None = None
        self._body: list[bytes] = []
        self._length = 0
        self._too_large = False

    def headers_received(self, start_line, headers):
        self._start_line = start_line
        self._headers = headers
        size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        length = headers.get("Content-Length", "")
        if size > self._desk.header_bytes:
            self._refuse(
                CallEnded(431, "headers-too-large", "the headers are too large")
            )
        elif length.isdigit() and int(length) > self._desk.body_bytes:
            self._refuse(_BODY_TOO_LARGE)

    def data_received(self, chunk: bytes) -> None:
        if self._too_large:
            return
        self._length += len(chunk)
        if self._length > self._desk.body_bytes:
            self._refuse(_BODY_TOO_LARGE)
            return
        self._body.append(chunk)

    def finish(self) -> None:
        if self._too_large:
            return
        self._connection.set_close_callback(self._caller_left)
        task = asyncio.create_task(self._serve())
        self._task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def on_connection_close(self) -> None:
        """Drop a request whose caller left before it was complete."""
        self._body.clear()

    def _refuse(self, error: CallEnded) -> None:
        """Answer before the body is read; Tornado then closes the connection."""
        self._too_large = True
        self._body.clear()
        task = asyncio.create_task(self._answer_error(error))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_error(self, error: CallEnded) -> None:
        status, headers, body = self._desk.refuse(self._headers, error)
        sink = ConnectionSink(self._connection, closes=True)
        await sink.start(status, headers)
        await sink.write(body)
        await sink.finish()

    def _caller_left(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _serve(self) -> None:
        body = b"".join(self._body)
        self._body.clear()
        sink = ConnectionSink(self._connection, self._desk.is_draining)
        try:
            await self._desk.serve(self._start_line, self._headers, body, sink)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            _log.error("a request failed: %r", error)
            sink.break_off()
