import asyncio
import socket
from urllib.parse import quote

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bulrushbend.bench.addresses import free_address
from bulrushbend.core.errors import TruncatedResponseError
from bulrushbend.core.settings import split_address

from .builders import (
    CHUNKED,
    LAST_CHUNK,
    chunk,
    eventually,
    fixed_length,
    running_agent,
)

_TEXT = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=30)


async def answer(request, writer):
    writer.write(fixed_length(b"done"))


def stream_of(size, pieces=64):
    data = bytes(range(256)) * (size // 256)
    step = max(1, len(data) // pieces)

    async def send(request, writer):
        writer.write(CHUNKED)
        for start in range(0, len(data), step):
            writer.write(chunk(data[start : start + step]))
            await writer.drain()
        writer.write(LAST_CHUNK)

    return data, send


async def test_get_continues_at_the_offset_and_closes_the_older_connection():
    # No byte may be lost or repeated after a connection has become silent.
    release = asyncio.Event()

    async def send(request, writer):
        writer.write(CHUNKED + chunk(b"0123456789"))
        await release.wait()
        writer.write(chunk(b"abcdef") + LAST_CHUNK)

    async with running_agent(send) as (_, _, endpoint, router):
        attempt_id = await router.claim()
        older = await router.post(attempt_id)
        assert await anext(older.chunks()) == b"0123456789"
        newer = await router.get(attempt_id, offset=4)
        with pytest.raises(TruncatedResponseError):
            await older.body()
        release.set()
        assert newer.headers["Bulrushbend-Status"] == "200"
        assert await newer.body() == b"456789abcdef"
        again = await router.get(attempt_id, offset=16)
        assert await again.body() == b""
        assert (await router.get(attempt_id, offset=17)).status == 416
        assert len(endpoint.requests) == 1


async def test_get_returns_the_same_failure_again():
    async def fail(request, writer):
        pass

    async with running_agent(fail) as (_, _, _, router):
        attempt_id = await router.claim()
        assert (await router.post(attempt_id)).status == 502
        again = await router.get(attempt_id)
        assert again.headers["Bulrushbend-Failure"] == "unknown"


async def test_answer_expires_after_the_replay_time():
    async with running_agent(answer, replay_keep_ms=60) as (_, _, _, router):
        attempt_id = await router.claim()
        await (await router.post(attempt_id)).body()
        await asyncio.sleep(0.2)
        assert (await router.get(attempt_id)).status == 410
        assert (await router.get("att-unknown")).status == 404


async def test_slow_reader_gets_the_whole_answer_in_bounded_memory():
    # Memory must not grow with the size of the answer, and no byte may be lost.
    data, send = stream_of(4 << 20)
    async with running_agent(send, replay_bytes=1 << 16) as (_, agent, _, router):
        attempt_id = await router.claim()
        exchange = await router.post(attempt_id)
        received, max_buffered_bytes = b"", 0
        async for piece in exchange.chunks():
            received += piece
            attempt = agent._attempts.find(attempt_id)
            max_buffered_bytes = max(max_buffered_bytes, attempt.body.buffered_bytes)
            await asyncio.sleep(0.002)
        assert received == data
        assert max_buffered_bytes <= 1 << 16


async def test_silent_connection_is_continued_without_a_gap():
    # Bytes in the kernel's send buffer of a dead connection must still be in the replay
    # buffer. A small receive buffer prevents the peer from acknowledging more bytes
    # than the test reads.
    data, send = stream_of(8 << 20)
    async with running_agent(send, orphan_ms=5000) as (settings, agent, _, router):
        attempt_id = await router.claim()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        sock.connect(split_address(settings.http_address))
        reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
        writer.write(
            f"POST /attempts/{attempt_id} HTTP/1.1\r\nHost: a\r\n"
            "Bulrushbend-Path: /\r\nContent-Length: 0\r\n\r\n".encode()
        )
        await reader.readuntil(b"\r\n\r\n")
        first = await reader.readexactly(int(await reader.readline(), 16))
        await asyncio.sleep(0.3)
        rest = await router.get(attempt_id, offset=len(first))
        assert rest.status == 200
        assert first + await rest.body() == data
        # The older connection must not wait forever to send its chunk.
        await eventually(lambda: agent._data_port.open_streams == 0)
        writer.close()


@pytest.mark.parametrize("idempotent", ["true", "false"])
async def test_silent_reader_does_not_occupy_the_slot_forever(idempotent):
    # An idempotent request is cancelled; other requests run to their end.
    data, send = stream_of(32 << 20)
    ended = asyncio.Event()

    async def send_all(request, writer):
        if request.method == "POST":
            await send(request, writer)
            ended.set()

    async with running_agent(send_all, replay_bytes=1 << 16, orphan_ms=100) as parts:
        router = parts[3]
        exchange = await router.post(
            await router.claim(waiting=2), idempotent=idempotent
        )
        await router.next_claim(timeout=5)
        assert ended.is_set() == (idempotent == "false")
        with pytest.raises(TruncatedResponseError):
            received = await exchange.body()
            assert received == data


async def test_request_is_forwarded_unchanged():
    # Form bodies must not be parsed, and hop-by-hop headers must not be forwarded.
    async with running_agent(answer) as (_, _, endpoint, router):
        headers = {
            "Bulrushbend-Method": "PUT",
            "Bulrushbend-Path": "/a%20b?x=1&y=%ff",
            "Bulrushbend-Team": "crew-a",
            "Content-Type": "multipart/form-data; boundary=broken",
            "X-Caller": "kept",
            "TE": "trailers",
        }
        path = f"/attempts/{await router.claim()}"
        exchange = await router.call("POST", path, headers, b"--bro")
        assert await exchange.body() == b"done"
        [request] = endpoint.requests
        assert (request.method, request.path) == ("PUT", "/a%20b?x=1&y=%ff")
        assert request.headers["X-Caller"] == "kept"
        assert "TE" not in request.headers
        assert "Bulrushbend-Team" not in request.headers


@pytest.mark.parametrize(
    "bad",
    [
        {"method": "get"},
        {"method": "GET / HTTP/1.1"},
        {"path": "http://other/"},
        {"path": "/a b"},
        {"path": ""},
        {"deadline_ms": "0"},
        {"deadline_ms": "1e3"},
        {"deadline_ms": "\u00b2"},
        {"idempotent": "yes"},
    ],
)
async def test_bad_header_is_refused_before_the_start(bad):
    async with running_agent(answer) as (_, _, endpoint, router):
        exchange = await router.post(await router.claim(), **bad)
        assert exchange.status == 400
        assert exchange.headers["Bulrushbend-Refused"] == "not-started"
        assert endpoint.requests == []


@settings(max_examples=60, suppress_health_check=list(HealthCheck), deadline=None)
@given(requests=st.lists(st.tuples(*[_TEXT] * 6), min_size=1, max_size=20))
def test_no_input_leads_to_a_server_error(requests):
    # Invalid input must be answered with a client error and not raise in a handler.
    async def send_all():
        async with running_agent(answer) as (_, _, endpoint, router):
            ended_id = await router.claim()
            await (await router.post(ended_id)).body()
            for *values, attempt_id, offset in requests:
                unknown = f"/attempts/{quote(attempt_id)}"
                names = ("Method", "Path", "Deadline-Ms", "Idempotent")
                pairs = zip(names, values, strict=True)
                headers = {f"Bulrushbend-{n}": value.strip() for n, value in pairs}
                for method in ("POST", "GET", "DELETE", "PUT"):
                    exchange = await router.call(method, unknown, headers)
                    assert 400 <= exchange.status < 500
                    exchange.close()
                for method in ("GET", "DELETE"):
                    query = f"?offset={quote(offset)}&cancel={quote(offset)}"
                    path = f"/attempts/{ended_id}{query}"
                    exchange = await router.call(method, path)
                    assert exchange.status < 500
                    exchange.close()
            assert len(endpoint.requests) == 1

    asyncio.run(send_all())


async def test_malformed_http_is_answered_with_a_client_error():
    async with running_agent(answer, http_address=free_address()) as parts:
        host, port = parts[0].http_address.split(":")
        for raw in (
            b"POST /attempts/a HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
            b"GET /attempts/%ff?offset=%ff HTTP/1.1\r\nHost: a\r\n\r\n",
            b"POST /attempts/a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n",
        ):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(raw)
            assert b" 4" in (await reader.readline())[:14]
            writer.close()
        await eventually(lambda: parts[1].is_ready)
