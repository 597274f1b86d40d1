import asyncio

import pytest
import uvloop

from bulrushbend.core.errors import (
    ConnectFailed,
    PeerError,
    PeerSilent,
    ProtocolFault,
    TruncatedAnswer,
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


async def test_whole_answer_is_read():
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
async def test_answer_cut_in_the_body_is_not_taken_for_whole(answer):
    server, address = await serve_raw(answer)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        with pytest.raises(TruncatedAnswer):
            await exchange.body()


async def test_answer_cut_before_the_headers_end():
    server, address = await serve_raw(b"HTTP/1.1 200 OK\r\n")
    async with server:
        with pytest.raises(TruncatedAnswer):
            await Exchange.open(address, REQUEST, TIMEOUTS)


async def test_silent_connection_is_given_up_in_the_body():
    server, address = await serve_raw(CHUNKED + b"3\r\nabc\r\n", keep_open=True)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        with pytest.raises(PeerSilent):
            await exchange.body()


async def test_silent_connection_is_given_up_before_the_headers():
    server, address = await serve_raw(b"", keep_open=True)
    async with server:
        with pytest.raises(PeerSilent):
            await Exchange.open(address, REQUEST, TIMEOUTS)


async def test_refused_connection_means_nothing_was_sent():
    server, address = await serve_raw(b"")
    server.close()
    await server.wait_closed()
    with pytest.raises(ConnectFailed) as caught:
        await Exchange.open(address, REQUEST, TIMEOUTS)
    assert caught.value.step == "connect"
    assert caught.value.peer == address


async def test_close_ends_the_reading_although_nobody_takes_the_pieces(caplog):
    # Guards against a task and its buffer that stay for each abandoned exchange.
    piece = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    server, address = await serve_raw(CHUNKED + piece * 64)
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
async def test_head_without_an_end_is_given_up(endless):
    # Guards against a peer that fills the memory with bytes that are no answer.
    async def handle(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n")
        while not writer.is_closing():
            writer.write(b"X-Pad: " + endless.replace(b"\r\n", b" ") + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        with pytest.raises(ProtocolFault):
            await Exchange.open(f"{host}:{port}", REQUEST, TIMEOUTS)


async def test_body_without_an_end_is_bounded_while_nobody_takes_it():
    # Guards against pieces that pile up behind a caller that does not read.
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
        held = sent
        await asyncio.sleep(0.3)
        assert sent == held
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
async def test_bytes_that_are_no_answer_are_a_fault_of_the_peer(answer):
    # Guards against an answer whose end two readers would place differently.
    server, address = await serve_raw(answer)
    async with server:
        with pytest.raises(PeerError):
            await Exchange.open(address, REQUEST, TIMEOUTS)


async def test_broken_chunk_is_not_taken_for_the_end():
    # Guards against wrong bytes in a body that would end it as complete.
    server, address = await serve_raw(CHUNKED + b"3\r\nabcXX\r\n0\r\n\r\n")
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        with pytest.raises(PeerError):
            await exchange.body()


async def test_bytes_after_a_complete_answer_are_dropped():
    # Guards against bytes that belong to no request at the end of an answer.
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n"
    server, address = await serve_raw(answer)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        assert await exchange.body() == b"ab"


async def test_interim_answers_are_skipped():
    # Guards against 100 Continue that is taken for the answer.
    interim = b"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
    server, address = await serve_raw(interim + answer)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        assert (exchange.status, await exchange.body()) == (200, b"ab")
        assert "A" not in exchange.headers


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
async def test_status_without_a_body_ends_the_answer(status):
    # Guards against waiting for a body that such an answer never has.
    server, address = await serve_raw(
        b"HTTP/1.1 " + status + b"\r\n\r\n", keep_open=True
    )
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        assert await exchange.body() == b""


async def test_answer_to_head_has_no_body():
    # Guards against waiting for the bytes that Content-Length promises to GET.
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
    server, address = await serve_raw(answer, keep_open=True)
    async with server:
        request = ExchangeRequest("HEAD", "/x")
        exchange = await Exchange.open(address, request, TIMEOUTS)
        assert await exchange.body() == b""


async def test_body_without_a_length_ends_with_its_connection():
    server, address = await serve_raw(b"HTTP/1.1 200 OK\r\n\r\nabc")
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        assert await exchange.body() == b"abc"


async def test_forwarded_pieces_arrive_while_the_answer_goes_on():
    # Guards against pieces that wait for the end of the answer, and lost first ones.
    server, address = await serve_raw(CHUNKED + b"3\r\nabc\r\n", keep_open=True)
    pieces = []
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        await asyncio.sleep(0.05)
        with pytest.raises(PeerSilent):
            await exchange.forward(pieces.append)
        assert pieces == [b"abc"]


async def test_paused_answer_is_not_silent_and_goes_on_after():
    # Guards against a slow caller that is taken for a silent peer.
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
    pieces = []
    async with server:
        exchange = await Exchange.open(f"{host}:{port}", REQUEST, TIMEOUTS)
        exchange.pause()
        asyncio.get_running_loop().call_later(0.5, exchange.resume)
        await exchange.forward(pieces.append)
    assert b"".join(pieces) == b"x" * 8


async def test_error_of_the_taker_ends_the_exchange():
    # Guards against a fault that the parser's callbacks would hide.
    def refuse(piece):
        raise ProtocolFault("no", step="test", peer="taker")

    server, address = await serve_raw(CHUNKED, keep_open=True)
    async with server:
        exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
        exchange._reader.set_consumer(refuse)
        exchange._reader.data_received(b"1\r\nx\r\n")
        with pytest.raises(ProtocolFault, match="no"):
            await exchange.forward(refuse)


async def test_header_that_contains_the_end_of_a_line_is_not_sent():
    # Guards against a second request inside a header of the first.
    server, address = await serve_raw(CHUNKED)
    async with server:
        request = ExchangeRequest("GET", "/x HTTP/1.1\r\nA: b\r\n\r\nGET /y")
        with pytest.raises(ValueError):
            await Exchange.open(address, request, TIMEOUTS)


@pytest.mark.parametrize("loop_factory", [None, uvloop.new_event_loop])
def test_flow_control_after_the_end_has_no_effect(loop_factory):
    # Guards against a caller that reads on after its endpoint's connection has ended.
    async def play():
        server, address = await serve_raw(CHUNKED, keep_open=True)
        async with server:
            for first, second in (("pause", "resume"), ("resume", "pause")):
                exchange = await Exchange.open(address, REQUEST, TIMEOUTS)
                getattr(exchange, first)()
                exchange.close()
                await asyncio.sleep(0.05)
                getattr(exchange, second)()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(play())
