"""Peers that send bytes without end, beside requests that are served."""

import asyncio
import contextlib
import json
from pathlib import Path

import pytest
from deadly_deployment import SEED, deployment
from machines import ADDRESS_PREFIX, PORTS, is_loopback_range_usable
from prompt_load import Prompt, PromptLoad

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)

# Machines have 200 MB for both roles and what runs beside them.
MAX_GATEWAY_BYTES = 128 << 20
MIN_COMPLETE_FRACTION = 0.85
RATE_PER_S = 20.0
DURATION_S = 8.0
SHARED = [f"ab{number:02x}" for number in range(8)]

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Seal: i-faulty.1\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
EVENT = b"id: 1\ndata: t\n\n"
SMALL_CHUNK = b"32\r\n" + b"x" * 50 + b"\r\n"
# What a peer sends first, and then without end.
ENGINES = {
    "head": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 16_384),
    "trailer": (STREAM_HEAD + b"0\r\n", b"x" * 16_384),
    "event": (
        STREAM_HEAD + b"32\r\n" + b"id: 1\ndata: ".ljust(50, b"x") + b"\r\n",
        64 * SMALL_CHUNK,
    ),
    "chunk extension": (STREAM_HEAD + b"5;", b"x" * 16_384),
}
REQUEST_HEAD = b"POST /gen/x HTTP/1.1\r\nHost: a.example\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CALLERS = {
    "head": (REQUEST_HEAD + b"A: ", b"x" * 16_384),
    "body": (REQUEST_HEAD + CHUNKED, b"4000\r\n" + b"x" * 16_384 + b"\r\n"),
    "trailer": (REQUEST_HEAD + CHUNKED + b"0\r\n", b"x" * 16_384),
}


def make_engine(kind):
    """Return the handler of an engine that sends bytes without end."""
    start, piece = ENGINES[kind]

    async def respond(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = (line.partition(b": ") for line in head.split(b"\r\n"))
            headers = {name.lower(): value for name, _, value in lines}
            request_id = headers.get(b"attempt-id", b"")
            writer.write(start % request_id if b"%s" in start else start)
            while True:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)

    return respond


async def send_without_end(host, kind):
    """Send bytes as a caller until the gateway closes the connection."""
    start, piece = CALLERS[kind]
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(host, PORTS["front"])
        try:
            writer.write(start)
            while not reader.at_eof():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            writer.transport.abort()


def peak_bytes(process) -> int:
    """Return the peak of a process's resident memory."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmHWM":
            return int(value.split()[0]) * 1024
    raise AssertionError("no VmHWM in the status of the process")


async def check_requests_are_served(machines, routes=("gen", "once")):
    """Send requests while a peer is faulty; check their outcomes and the memory."""
    load = PromptLoad(machines, SEED)

    def make_prompt():
        route = load.random.choice(routes)
        return Prompt("a", (load.random.choice(SHARED),), route)

    await load.send_periodically(RATE_PER_S, DURATION_S, make_prompt)
    complete = sum(attempt.status == 200 for attempt in load.attempts)
    peaks = [peak_bytes(machines.processes[host, "gateway"]) for host in machines.hosts]
    assert max(peaks) <= MAX_GATEWAY_BYTES, peaks
    fraction = complete / len(load.attempts)
    assert fraction >= MIN_COMPLETE_FRACTION, machines.logs()


@pytest.mark.parametrize("kind", ENGINES)
async def test_engine_that_sends_without_end_exhausts_no_gateway(tmp_path, kind):
    # Guards against gateways that run out of memory or time by one faulty engine.
    async with deployment(tmp_path, model_engines=2) as machines:
        address = f"{ADDRESS_PREFIX}.120"
        server = await asyncio.start_server(make_engine(kind), address, 8080)
        entry = machines.engines[0].list_entry() | {
            "id": "i-faulty",
            "addr": f"{address}:8080",
        }
        machines.cloud.other_entries.append(json.dumps(entry).encode())
        try:
            # An event without end is forwarded where the stream cannot be resumed.
            routes = ("gen",) if kind == "event" else ("gen", "once")
            await check_requests_are_served(machines, routes)
        finally:
            server.close()


@pytest.mark.parametrize("kind", CALLERS)
async def test_callers_that_send_without_end_exhaust_no_gateway(tmp_path, kind):
    # Guards against gateways that run out of memory by callers.
    async with deployment(tmp_path, model_engines=2) as machines:

        async def send_repeatedly(host):
            while True:
                await send_without_end(host, kind)
                await asyncio.sleep(0.2)

        senders = [
            asyncio.create_task(send_repeatedly(host))
            for host in machines.hosts
            for _ in range(3)
        ]
        try:
            await check_requests_are_served(machines)
        finally:
            for sender in senders:
                sender.cancel()
            await asyncio.gather(*senders, return_exceptions=True)
