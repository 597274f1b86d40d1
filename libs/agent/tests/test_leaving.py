import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest

from bulrushbend.bench.addresses import free_address
from bulrushbend.core.errors import ConnectFailed
from bulrushbend.wire.documents import pack_manifest

from .builders import (
    CHUNKED,
    LAST_CHUNK,
    FakeEndpoint,
    build_manifest,
    chunk,
    eventually,
    fixed_length,
    read_refusal,
    running_agent,
)

REFUSED = (409, "not-started")


async def answer_slowly(request, writer):
    writer.write(CHUNKED + chunk(b"begin "))
    await writer.drain()
    await asyncio.sleep(0.3)
    writer.write(chunk(b"end") + LAST_CHUNK)


class FakePlatform:
    """Platform list with a state and failures set by the test."""

    def __init__(self):
        self.state = "live"
        self.broken = False
        self.tags = []

    async def serve(self, address):
        return await FakeEndpoint(self._answer).serve(address)

    async def _answer(self, request, writer):
        self.tags.append(request.headers.get("If-None-Match"))
        if self.broken:
            writer.write(fixed_length(b'{"vms": [{"vm": 1}]}'))
            return
        tag = f'"{self.state}"'
        if self.tags[-1] == tag:
            writer.write(b"HTTP/1.1 304 Not Modified\r\n\r\n")
            return
        body = json.dumps({"vms": [{"vm": "vm-1", "state": self.state}]}).encode()
        head = f"HTTP/1.1 200 OK\r\nETag: {tag}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)


def leave_by_manifest(agent, version, state):
    document = pack_manifest(build_manifest(version=version, slots=2, state=state))
    agent.in_force.adopt_if_newer(document, peer="test")


async def test_leaving_stops_claims_and_refuses_claimed_requests():
    # An endpoint that is being returned must not get new requests.
    manifest = build_manifest(slots=2)
    async with running_agent(answer_slowly, manifest) as (_, agent, endpoint, router):
        running = await router.post(await router.claim(waiting=5))
        claimed = await router.next_claim()
        leave_by_manifest(agent, 2, "leaving")
        assert await read_refusal(await router.post(claimed)) == REFUSED
        with pytest.raises(TimeoutError):
            await router.next_claim(timeout=0.1)
        assert await running.body() == b"begin end"
        assert len(endpoint.runs()) == 1
        await eventually(lambda: router.last_report().leaving)
        leave_by_manifest(agent, 3, "live")
        await router.next_claim()


async def test_platform_list_is_applied_and_its_failures_change_nothing():
    platform = FakePlatform()
    address = free_address()
    async with await platform.serve(address) as server:
        url = f"http://{address}/vms"
        async with running_agent(
            answer_slowly, platform_url=url, platform_poll_ms=20
        ) as (_, agent, _, router):
            await eventually(lambda: '"live"' in platform.tags)
            platform.state = "leaving"
            await eventually(lambda: not agent.is_ready)
            platform.broken = True
            await asyncio.sleep(0.1)
            assert not agent.is_ready
            server.close()
            await asyncio.sleep(0.1)
            assert not agent.is_ready
            router.advertise()
            with pytest.raises(TimeoutError):
                await router.next_claim(timeout=0.1)


async def test_failing_platform_list_does_not_stop_claims():
    url = f"http://{free_address()}/vms"
    async with running_agent(
        answer_slowly, platform_url=url, platform_poll_ms=20
    ) as parts:
        await asyncio.sleep(0.1)
        await parts[3].claim()


async def test_drain_lets_requests_finish_and_refuses_late_posts():
    manifest = build_manifest(slots=2)
    async with running_agent(answer_slowly, manifest) as (_, agent, _, router):
        running = await router.post(await router.claim(waiting=5))
        claimed = await router.next_claim()
        draining = asyncio.create_task(agent.drain())
        assert await read_refusal(await router.post(claimed)) == REFUSED
        assert await running.body() == b"begin end"
        await asyncio.wait_for(draining, 2)


async def test_drain_waits_for_a_request_whose_router_is_gone():
    # A request that must not be retried must not be interrupted.
    async with running_agent(answer_slowly) as (_, agent, _, router):
        attempt_id = await router.claim()
        exchange = await router.post(attempt_id, idempotent="false")
        await router.kill()
        exchange.close()
        await asyncio.wait_for(agent.drain(), 2)
        assert agent._attempts.state_of(attempt_id) == "finished"


async def test_drain_waits_for_the_requests_of_pending_claims():
    # With a closed port, routers would get no proof that the requests did not run.
    async with running_agent(answer_slowly) as (_, agent, endpoint, router):
        claimed = await router.claim()
        draining = asyncio.create_task(agent.drain())
        await asyncio.sleep(0.15)
        assert not draining.done()
        assert await read_refusal(await router.post(claimed)) == REFUSED
        await asyncio.wait_for(draining, 1)
        assert endpoint.requests == []


async def test_drain_is_bounded():
    async def stay_silent(request, writer):
        await asyncio.sleep(3600)

    async with running_agent(stay_silent, drain_ms=100, endpoint_idle_ms=9000) as parts:
        _, agent, endpoint, router = parts
        posting = asyncio.create_task(router.post(await router.claim()))
        await eventually(lambda: endpoint.runs())
        await asyncio.wait_for(agent.drain(), 1)
        posting.cancel()


_PROGRAM = """
import asyncio, sys
from bulrushbend.agent.daemon import run_agent
from bulrushbend.core.settings import AgentSettings
asyncio.run(run_agent(AgentSettings.model_validate_json(sys.argv[1])))
"""


async def test_process_exits_on_sigterm_while_control_is_unreachable():
    # The drain must not wait for control.
    from .builders import build_settings

    settings = build_settings()
    libs = Path(__file__).parents[2]
    env = {**os.environ, "PYTHONPATH": ":".join(map(str, libs.glob("*/src")))}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", _PROGRAM, settings.model_dump_json(), env=env
    )
    try:
        await eventually(lambda: _listens(settings.http_address), timeout=10)
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 5) == 0
    finally:
        if process.returncode is None:
            process.kill()


def _listens(address):
    import socket

    host, port = address.split(":")
    with socket.socket() as sock:
        return sock.connect_ex((host, int(port))) == 0


async def test_port_is_closed_after_the_stop():
    async with running_agent(answer_slowly) as (_, agent, _, router):
        await agent.stop()
        with pytest.raises(ConnectFailed):
            await router.get("att-1")
