"""What callers may send on a connection, and what they get."""

import asyncio
import contextlib

import pytest
from tornado.httputil import HTTPHeaders

from bulrushbend.gateway.server import CallerServer

END = b"\r\n\r\n"


class EchoHandler:
    """Answers with the method, the target and the body of each request."""

    def __init__(self):
        self.header_bytes = 1_000
        self.body_bytes = 1_000
        self.is_draining = False
        self.requests = []
        self.left = 0
        self.answer = self.echo

    async def serve(self, start_line, headers, body, sink):
        self.requests.append((start_line.method, start_line.path, body))
        try:
            await self.answer(start_line, headers, body, sink)
        except asyncio.CancelledError:
            self.left += 1
            raise

    async def echo(self, start_line, headers, body, sink):
        content = f"{start_line.method} {start_line.path} ".encode() + body
        sink.start(200, HTTPHeaders({"Content-Length": str(len(content))}))
        sink.write(content)
        sink.finish()

    def error_response(self, headers, error):
        content = error.code.encode()
        return error.status, HTTPHeaders({"Content-Length": str(len(content))}), content


@contextlib.asynccontextmanager
async def serving(handler, idle_ms=15_000.0, connection_limit=100):
    server = CallerServer(handler, idle_ms, lambda: connection_limit)
    await server.listen("127.0.0.1", 0)
    try:
        yield server, server._server.sockets[0].getsockname()[1]
    finally:
        server.stop()
        server.close_connections()


async def ask(port, *pieces, pause_s=0.01):
    """Send pieces and return all that comes until the connection ends or is idle."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(pause_s)
    answer = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(0.3):
            while piece := await reader.read(65_536):
                answer += piece
    writer.close()
    return answer


def get(path, *headers):
    return "\r\n".join([f"GET {path} HTTP/1.1", "Host: a", *headers, "", ""]).encode()


async def test_requests_on_one_connection_are_answered_in_order():
    # Guards against answers that belong to another request of the connection.
    handler = EchoHandler()

    async def slow_first(start_line, headers, body, sink):
        await asyncio.sleep(0.05 if start_line.path == "/1" else 0)
        await handler.echo(start_line, headers, body, sink)

    handler.answer = slow_first
    async with serving(handler) as (_, port):
        answer = await ask(port, get("/1") + get("/2"), get("/3"))
    assert answer.index(b"GET /1") < answer.index(b"GET /2") < answer.index(b"GET /3")
    assert answer.count(b"HTTP/1.1 200 OK") == 3


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n"
        b"2\r\nhe\r\n3;x=1\r\nllo\r\n0\r\nA: b\r\n\r\n",
    ],
)
@pytest.mark.parametrize("size", [1, 7, 1_000])
async def test_body_is_read_whole_however_it_is_cut(body, size):
    # Guards against bodies that lose bytes at the borders of packets.
    handler = EchoHandler()
    request = b"POST /x HTTP/1.1\r\nHost: a\r\n" + body + get("/after")
    pieces = [request[at : at + size] for at in range(0, len(request), size)]
    async with serving(handler) as (_, port):
        await ask(port, *pieces, pause_s=0)
    assert handler.requests == [("POST", "/x", b"hello"), ("GET", "/after", b"")]


@pytest.mark.parametrize(
    "head",
    [
        b"POST /x HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0",
        b"POST /x HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        b"POST /x HTTP/1.1\r\nContent-Length: +4\r\n\r\nabcd",
        b"POST /x HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        b"POST /x HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"POST /x HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        b"GET /x HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
        b"GET /x HTTP/1.1\nHost: a\n\n",
        b"GET /x\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    ],
)
async def test_request_whose_end_is_unclear_is_not_served(head):
    # Guards against a second request that is smuggled inside another.
    handler = EchoHandler()
    async with serving(handler) as (_, port):
        answer = await ask(port, head + get("/smuggled"))
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert handler.requests == []


async def test_bad_request_does_not_harm_the_answer_before_it():
    # Guards against an error that is written into another answer.
    handler = EchoHandler()

    async def slow(start_line, headers, body, sink):
        await asyncio.sleep(0.05)
        await handler.echo(start_line, headers, body, sink)

    handler.answer = slow
    async with serving(handler) as (_, port):
        answer = await ask(port, get("/1"), b"no request at all\r\n\r\n")
    assert answer.index(b"GET /1") < answer.index(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1 ") == 2


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (get("/x", "A: " + "b" * 1_200), b"431"),
        (b"GET /" + b"x" * 4_000, b"431"),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", b"413"),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"800\r\n" + b"x" * 2_048,
            b"413",
        ),
    ],
)
async def test_request_over_the_limits_is_refused_before_it_is_read(
    request_bytes, status
):
    # Guards against callers that make a gateway hold what the manifest forbids.
    handler = EchoHandler()
    async with serving(handler) as (_, port):
        answer = await ask(port, request_bytes)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert b"Connection: close" in answer
    assert handler.requests == []


async def test_caller_that_leaves_ends_its_request():
    # Guards against work for callers that are gone.
    handler = EchoHandler()

    async def never(start_line, headers, body, sink):
        await asyncio.sleep(60)

    handler.answer = never
    async with serving(handler) as (server, port):
        await ask(port, get("/x"))
        await asyncio.sleep(0.05)
        assert handler.left == 1
        assert server.connections == 0


async def test_idle_connections_are_closed():
    # Guards against connections that stay for good.
    handler = EchoHandler()
    async with serving(handler, idle_ms=-2_900.0) as (server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/x"))
        assert await reader.readuntil(b"GET /x ")
        async with asyncio.timeout(1):
            assert await reader.read() == b""
        writer.close()
        assert server.connections == 0


async def test_longest_idle_connection_yields_when_there_are_too_many():
    # Guards against idle connections that use up the descriptors.
    handler = EchoHandler()
    async with serving(handler, connection_limit=3) as (server, port):
        opened = []
        for number in range(5):
            opened.append(await asyncio.open_connection("127.0.0.1", port))
            opened[-1][1].write(get(f"/{number}"))
            await opened[-1][0].readuntil(f"GET /{number} ".encode())
        await asyncio.sleep(0.05)
        assert server.connections == 3
        assert [reader.at_eof() for reader, _ in opened] == [True, True] + [False] * 3
        for _, writer in opened:
            writer.close()


async def test_connection_in_use_is_never_closed_to_make_room():
    # Guards against answers that are cut since others connect.
    handler = EchoHandler()

    async def slow(start_line, headers, body, sink):
        await asyncio.sleep(0.2)
        await handler.echo(start_line, headers, body, sink)

    handler.answer = slow
    async with serving(handler, connection_limit=1) as (_, port):
        asking = []
        for number in range(4):
            asking.append(asyncio.create_task(ask(port, get(f"/{number}"))))
            await asyncio.sleep(0.02)
        answers = await asyncio.gather(*asking)
    assert [f"GET /{n}".encode() in answer for n, answer in enumerate(answers)] == (
        [True] * 4
    )


async def test_stream_is_sent_in_chunks_as_it_comes():
    # Guards against pieces that wait for the end of the answer.
    handler = EchoHandler()

    async def stream(start_line, headers, body, sink):
        sink.start(200, HTTPHeaders({"Content-Type": "text/event-stream"}))
        for piece in (b"id: 1\n\n", b"id: 2\n\n"):
            sink.write(piece)
            await asyncio.sleep(0.02)
        sink.finish()

    handler.answer = stream
    async with serving(handler) as (_, port):
        answer = await ask(port, get("/x"))
    head, _, body = answer.partition(END)
    assert b"Transfer-Encoding: chunked" in head
    assert body == b"7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n"


async def test_answer_that_breaks_off_does_not_look_complete():
    # Guards against half an answer that a caller takes for a whole one.
    handler = EchoHandler()

    async def broken(start_line, headers, body, sink):
        sink.start(200, HTTPHeaders())
        sink.write(b"half")
        await asyncio.sleep(0.02)
        sink.abort_response()

    handler.answer = broken
    async with serving(handler) as (_, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/x"))
        assert await reader.readuntil(b"half")
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(5)
        writer.close()


async def test_old_caller_gets_a_body_that_ends_with_its_connection():
    # Guards against chunks that HTTP/1.0 does not know.
    handler = EchoHandler()

    async def stream(start_line, headers, body, sink):
        sink.start(200, HTTPHeaders())
        sink.write(b"abc")
        sink.finish()

    handler.answer = stream
    async with serving(handler) as (_, port):
        answer = await ask(port, b"GET /x HTTP/1.0\r\nHost: a\r\n\r\n")
    assert b"chunked" not in answer
    assert answer.endswith(END + b"abc")


async def test_answer_to_head_has_no_body():
    # Guards against a body that the caller takes for the next answer.
    handler = EchoHandler()
    async with serving(handler) as (_, port):
        answer = await ask(port, b"HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n")
    assert answer.endswith(END)
    assert b"Content-Length: 8" in answer


async def test_caller_that_asks_first_is_told_to_go_on():
    # Guards against callers that wait with their body until they give up.
    handler = EchoHandler()
    head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
    async with serving(handler) as (_, port):
        answer = await ask(port, head + b"Expect: 100-continue\r\n\r\n", b"ab")
    assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK")


async def test_upgrade_is_ignored_and_what_follows_is_no_request():
    # Guards against bytes of another protocol that are read as requests.
    handler = EchoHandler()
    upgrade = get("/x", "Upgrade: websocket", "Connection: upgrade")
    async with serving(handler) as (_, port):
        answer = await ask(port, upgrade + get("/smuggled"))
    assert handler.requests == [("GET", "/x", b"")]
    assert b"Connection: close" in answer


async def test_slow_caller_pauses_the_endpoint():
    # Guards against an answer that fills the memory since its caller does not read.
    handler = EchoHandler()
    flow = []

    async def flood(start_line, headers, body, sink):
        sink.start(200, HTTPHeaders())
        sink.set_flow_control(
            lambda: flow.append("pause"), lambda: flow.append("resume")
        )
        for _ in range(400):
            sink.write(b"x" * 65_536)
            await asyncio.sleep(0)
            if flow:
                break
        while flow[-1] == "pause":
            await asyncio.sleep(0.01)
        sink.finish()

    handler.answer = flood
    async with serving(handler) as (_, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/x"))
        await asyncio.sleep(0.3)
        assert flow == ["pause"]
        async with asyncio.timeout(2):
            while flow[-1] == "pause":
                await reader.read(1 << 16)
        assert flow == ["pause", "resume"]
        writer.close()


async def test_connections_close_after_answers_while_draining():
    # Guards against callers that stay at a gateway which is about to stop.
    handler = EchoHandler()
    handler.is_draining = True
    async with serving(handler) as (_, port):
        answer = await ask(port, get("/x"))
    assert b"Connection: close" in answer
