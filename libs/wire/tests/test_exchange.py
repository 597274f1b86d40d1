import asyncio

import pytest
import uvloop

from bulrushbend.core.errors import (
    ConnectError,
    PeerError,
    PeerProtocolError,
    PeerTimeoutError,
    TruncatedResponseError,
)
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts

TIMEOUTS = ExchangeTimeouts(connect_ms=500, first_byte_ms=300, idle_ms=300)
REQUEST = ExchangeRequest("POST", "/echo", body=b"question")
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def serve_raw(answer, keep_open=False):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        if keep_open:
            await asyncio.sleep(5)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def test_complete_response_is_read():
    server, address = await serve_raw(CHUNKED + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        assert exchange.status == 200
        assert await exchange.body() == b"abcde"


@pytest.mark.parametrize(
    "answer",
    [
        CHUNKED + b"3\r\nabc\r\n",
        CHUNKED + b"9\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
    ],
)
async def test_body_truncated_by_the_peer_raises_an_error(answer):
    server, address = await serve_raw(answer)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        with pytest.raises(TruncatedResponseError):
            await exchange.body()


WITH_LENGTH = b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 12\r\n\r\n" + b"x" * 12
IN_CHUNKS = CHUNKED + b"3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nTrailer: c\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\nA: b\r\n\r\n"
NOT_MODIFIED = b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"


@pytest.mark.parametrize(
    ("answer", "method"),
    [
        (WITH_LENGTH, "POST"),
        (IN_CHUNKS, "POST"),
        (UNFRAMED, "POST"),
        (INTERIM + WITH_LENGTH, "POST"),
        (INTERIM + UNFRAMED, "POST"),
        (NO_CONTENT, "POST"),
        (NOT_MODIFIED, "GET"),
        (WITH_LENGTH[:-12], "HEAD"),
        (UNFRAMED, "HEAD"),
        (INTERIM + CHUNKED, "HEAD"),
    ],
)
async def test_answer_cut_at_any_byte_is_not_complete(answer, method):
    # Guards against a 200 with an empty or short body that looks complete.
    request = ExchangeRequest(method, "/x")
    for size in range(len(answer)):
        server, address = await serve_raw(answer[:size])
        async with server:
            with pytest.raises(TruncatedResponseError):
                exchange = await Exchange.open(address, request, TIMEOUTS)
                await exchange.body()
    server, address = await serve_raw(answer)
    async with server:
        exchange = await Exchange.open(address, request, TIMEOUTS)
        await exchange.body()


async def test_connection_closed_before_the_end_of_headers_raises_an_error():
    server, address = await serve_raw(b"HTTP/1.1 200 OK\r\n")
    async with server:
        with pytest.raises(TruncatedResponseError):
            await Exchange.open(address, REQUEST, TIMEOUTS)


async def test_idle_timeout_in_the_body():
    server, address = await serve_raw(CHUNKED + b"3\r\nabc\r\n", keep_open=True)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        with pytest.raises(PeerTimeoutError):
            await exchange.body()


async def test_first_byte_timeout_before_the_headers():
    server, address = await serve_raw(b"", keep_open=True)
    async with server:
        with pytest.raises(PeerTimeoutError):
            await Exchange.open(address, REQUEST, TIMEOUTS)


async def test_refused_connection_raises_connect_failed():
    server, address = await serve_raw(b"")
    server.close()
    await server.wait_closed()
    with pytest.raises(ConnectError) as caught:
        await Exchange.open(address, REQUEST, TIMEOUTS)
    assert caught.value.step == "connect"
    assert caught.value.peer == address


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:99999",
        "127.0.0.1:\u00b2",
        "127.0.0.1:",
        "127.0.0.1",
        "127.0.0.1:" + 5000 * "1",
        "a..b:80",
        f"{64 * 'a'}.b:80",
        "a\0b:80",
        "\ud800:80",
    ],
)
async def test_invalid_address_raises_connect_failed(address):
    # Guards against a request that fails because one endpoint has an invalid address.
    with pytest.raises(ConnectError):
        await Exchange.connect(address, TIMEOUTS)


async def test_close_with_unread_chunks_leaves_no_task_or_buffer(caplog):
    # Guards against a task and a buffer leaked by each exchange that is closed early.
    chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    server, address = await serve_raw(CHUNKED + chunk * 64)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        await asyncio.sleep(0.1)
        exchange.close()
        await asyncio.sleep(0.1)
        assert exchange._reader.transport.is_closing()
        assert exchange._reader.pop_chunk() is None
        serving = {t for t in asyncio.all_tasks() if t.get_coro().__name__ == "handle"}
        assert asyncio.all_tasks() - serving == {asyncio.current_task()}
        assert "Uncaught" not in caplog.text


@pytest.mark.parametrize("endless", [b"x" * 1024, b"HTTP/1.1 200 OK\r\nA: b" * 64])
async def test_unterminated_header_section_is_rejected(endless):
    # Guards against unbounded memory use when a peer never ends the header section.
    async def handle(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n")
        while not writer.is_closing():
            writer.write(b"X-Pad: " + endless.replace(b"\r\n", b" ") + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        with pytest.raises(PeerProtocolError):
            await Exchange.open(f"{host}:{port}", REQUEST, TIMEOUTS)


async def test_buffer_is_bounded_while_the_body_is_not_read():
    # Guards against chunks that accumulate while the reader of the body is slow.
    sent = 0

    async def handle(reader, writer):
        nonlocal sent
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"x" * 65_536)
            sent += 65_536
            await writer.drain()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        exchange = await Exchange.open(f"{host}:{port}", REQUEST, TIMEOUTS)
        await asyncio.sleep(0.3)
        sent_before = sent
        await asyncio.sleep(0.3)
        assert sent == sent_before
        assert exchange._reader._buffered_bytes < 1 << 20
        exchange.close()


@pytest.mark.parametrize(
    "answer",
    [
        b"SSH-2.0-OpenSSH_9.6\r\n",
        b"HTTP/1.1 99 Odd\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    ],
)
async def test_invalid_or_ambiguous_response_raises_peer_error(answer):
    # Guards against response splitting: two parsers could disagree where it ends.
    server, address = await serve_raw(answer)
    async with server:
        with pytest.raises(PeerError):
            await Exchange.open(address, REQUEST, TIMEOUTS)


async def test_malformed_chunk_does_not_complete_the_body():
    # Guards against malformed framing after which a body would count as complete.
    server, address = await serve_raw(CHUNKED + b"3\r\nabcXX\r\n0\r\n\r\n")
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        with pytest.raises(PeerError):
            await exchange.body()


async def test_bytes_after_a_complete_response_are_dropped():
    # Guards against surplus bytes that are appended to the body.
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n"
    server, address = await serve_raw(answer)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        assert await exchange.body() == b"ab"


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
@pytest.mark.parametrize("method", ["POST", "HEAD"])
@pytest.mark.parametrize(
    "extra",
    [
        b"HTTP/1.1 421 Misdirected\r\nE: x\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nE: x\r\nNot-Executed: 1\r\n\r\nrefused",
        b"HTTP/1.1 200 OK\r\nE: x\r\nContent-Length: 5\r\n\r\nextra",
        b"HTTP/1.1 204 No Content\r\nE: x\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nE: x\r\n\r\n",
        b"HTTP/1.1 99 Odd\r\nE: x\r\n\r\n",
        b"SSH-2.0-OpenSSH_9.6\r\n",
    ],
)
@pytest.mark.parametrize(
    ("status", "head", "body"),
    [
        (200, b"OK\r\nA: b\r\nContent-Length: 2\r\n\r\n", b"ab"),
        (500, b"Error\r\nA: b\r\nContent-Length: 2\r\n\r\n", b"ab"),
        (200, b"OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n", b"ab"),
        (204, b"No Content\r\nA: b\r\n\r\n", b""),
        (304, b"Not Modified\r\nA: b\r\n\r\n", b""),
    ],
)
async def test_extra_response_does_not_replace_a_complete_one(
    status, head, body, extra, method, pause_s
):
    # Guards against a request that ran and is repeated for the status of the extra one.
    framed = b"2\r\nab\r\n0\r\n\r\n" if b"chunked" in head else body
    response = b"HTTP/1.1 %d " % status + head
    if method == "POST":
        response += framed
    else:
        body = b""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if pause_s:
            writer.write(response)
            await asyncio.sleep(pause_s)
            writer.write(extra)
        else:
            writer.write(response + extra)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        request = ExchangeRequest(method, "/x")
        exchange = await Exchange.open(f"{host}:{port}", request, TIMEOUTS)
        await asyncio.sleep(2 * pause_s)
        assert exchange.status == status
        assert (exchange.headers.get("A"), exchange.headers.get("E")) == ("b", None)
        assert await exchange.body() == body


@pytest.mark.parametrize("early", [b"HTTP/1.1 421 Misdirected\r\n\r\n", b"H", b""])
async def test_no_request_is_sent_after_data_or_the_end_of_the_connection(early):
    # Guards against a late response to another request that is taken for the own one.
    received = []

    async def handle(reader, writer):
        writer.write(early)
        if not early:
            writer.close()
        received.append(await reader.read())
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        exchange = await Exchange.connect(f"{host}:{port}", TIMEOUTS)
        await asyncio.sleep(0.05)
        with pytest.raises(ConnectError):
            await exchange.send(REQUEST)
        await asyncio.sleep(0.05)
    assert b"".join(received) == b""


async def test_interim_responses_are_skipped():
    # Guards against 100 Continue being returned as the final response.
    interim = b"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
    server, address = await serve_raw(interim + answer)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        assert (exchange.status, await exchange.body()) == (200, b"ab")
        assert "A" not in exchange.headers


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
async def test_status_without_a_body_completes_the_response(status):
    # Guards against waiting for a body that such a response never has.
    server, address = await serve_raw(
        b"HTTP/1.1 " + status + b"\r\n\r\n", keep_open=True
    )
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        assert await exchange.body() == b""


async def test_response_to_head_has_no_body():
    # Guards against waiting for the bytes that Content-Length announces.
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
    server, address = await serve_raw(answer, keep_open=True)
    async with server:
        request = ExchangeRequest("HEAD", "/x")
        exchange = await Exchange.open(address, request, TIMEOUTS)
        assert await exchange.body() == b""


async def test_body_without_a_length_ends_with_the_connection():
    server, address = await serve_raw(b"HTTP/1.1 200 OK\r\n\r\nabc")
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        assert await exchange.body() == b"abc"


async def test_chunks_are_forwarded_before_the_response_ends():
    # Guards against chunks that are held back until the end of the response, and
    # against the loss of those that arrive before the consumer is set.
    server, address = await serve_raw(CHUNKED + b"3\r\nabc\r\n", keep_open=True)
    chunks = []
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        await asyncio.sleep(0.05)
        with pytest.raises(PeerTimeoutError):
            await exchange.forward(chunks.append)
        assert chunks == [b"abc"]


async def test_pause_does_not_count_towards_the_idle_timeout():
    # Guards against a slow caller that makes the exchange time out.
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED)
        for _ in range(8):
            writer.write(b"1\r\nx\r\n")
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    chunks = []
    async with server:
        exchange = await Exchange.open(f"{host}:{port}", REQUEST, TIMEOUTS)
        exchange.pause()
        asyncio.get_running_loop().call_later(0.5, exchange.resume)
        await exchange.forward(chunks.append)
    assert b"".join(chunks) == b"x" * 8


async def test_error_of_the_consumer_ends_the_exchange():
    # Guards against an error that the callbacks of the parser swallow.
    def refuse(chunk):
        raise PeerProtocolError("no", step="test", peer="consumer")

    server, address = await serve_raw(CHUNKED, keep_open=True)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        exchange._reader.set_consumer(refuse)
        exchange._reader.data_received(b"1\r\nx\r\n")
        with pytest.raises(PeerProtocolError, match="no"):
            await exchange.forward(refuse)


async def test_request_line_with_a_line_break_is_not_sent():
    # Guards against request smuggling through line breaks in the request line.
    server, address = await serve_raw(CHUNKED)
    async with server:
        request = ExchangeRequest("GET", "/x HTTP/1.1\r\nA: b\r\n\r\nGET /y")
        with pytest.raises(ValueError):
            await Exchange.open(address, request, TIMEOUTS)


@pytest.mark.parametrize("loop_factory", [None, uvloop.new_event_loop])
def test_flow_control_after_close_has_no_effect(loop_factory):
    # Guards against an error when a caller catches up after the connection to its
    # endpoint has ended.
    async def pause_and_resume():
        server, address = await serve_raw(CHUNKED, keep_open=True)
        async with server:
            for first, second in (("pause", "resume"), ("resume", "pause")):
                exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
                getattr(exchange, first)()
                exchange.close()
                await asyncio.sleep(0.05)
                getattr(exchange, second)()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(pause_and_resume())


ENDLESS = {
    "head": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 65_536),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"".join(b"a%d:\r\n" % n for n in range(300))),
    "interim responses": (b"", INTERIM * 500),
    "trailer": (CHUNKED + b"1\r\na\r\n0\r\n", b"x" * 65_536),
    "chunk extension": (CHUNKED + b"1;", b"x" * 65_536),
}


@pytest.mark.parametrize("part", ENDLESS)
async def test_bytes_without_end_outside_of_the_body_end_the_exchange(part):
    # Guards against a peer whose bytes the parser keeps until memory is exhausted.
    start, piece = ENDLESS[part]
    sent = 0

    async def handle(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        try:
            while sent < 1 << 24:
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
        except ConnectionError:
            pass
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    timeouts = ExchangeTimeouts(500, 5_000, 5_000)
    async with server:
        with pytest.raises(PeerProtocolError):
            exchange = await Exchange.open(f"{host}:{port}", REQUEST, timeouts)
            await exchange.body()
    # What the buffers of the sockets take is sent as well.
    assert sent < 1 << 23
