import asyncio

import pytest

from bulrushbend.core.errors import ConnectFailed, PeerSilent, TruncatedAnswer
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
        await asyncio.wait({exchange._reader}, timeout=1)
        assert exchange._reader.done()
        assert "Uncaught" not in caplog.text
