"""Endpoints that state in their responses what they want no longer."""

import asyncio
import itertools

import pytest
from machines import is_loopback_range_usable
from platform_builders import make_route
from test_sessions import BASE_HEADERS, config, deployment, send_booking

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)

_serials = itertools.count()


def engines_that_read(machines, prefix):
    """Return the names of the engines that read requests with such ids, in order."""
    arrivals = sorted(
        (arrival.at_s, arrival.request_id, engine.name)
        for engine in machines.engines
        for arrival in engine.arrivals
    )
    return [name for _, request, name in arrivals if request.startswith(prefix)]


async def send_generations(machines, prefix, count=4):
    """Send requests with different prompts through all gateways, return statuses."""
    statuses = []
    for _ in range(count):
        for host in machines.hosts:
            request_id = f"{prefix}{next(_serials)}"
            headers = BASE_HEADERS | {
                "Attempt-Id": request_id,
                "Model": "m",
                "Token-Usage": "100,10",
                "Prefix-Hash": f"{request_id}:50,e4:50",
            }
            answer = await machines.call(
                host, "front", "POST", "/gen/x", headers, b"{}"
            )
            statuses.append(answer[0])
    return statuses


async def test_gateways_send_nothing_to_an_endpoint_that_states_it_leaves(tmp_path):
    # Guards against requests to a leaving endpoint that is listed as ready for long.
    async with deployment(tmp_path, model_engines=3) as machines:
        leaving = machines.engines[0]
        leaving.is_leaving = True
        statuses = await send_generations(machines, "a")
        assert statuses == [200] * len(statuses)
        told = engines_that_read(machines, "a").count(leaving.name)
        assert 1 <= told <= len(machines.hosts)
        statuses = await send_generations(machines, "b")
        assert statuses == [200] * len(statuses)
        assert leaving.name not in engines_that_read(machines, "b")
        kinds = [
            line
            for path in tmp_path.glob("*gateway.log")
            for line in path.read_text().splitlines()
            if '"kind":"endpoint-leaving"' in line
        ]
        assert any('"reason":"response"' in line for line in kinds)
        leaving.replace()

        async def used():
            await send_generations(machines, "c", 1)
            return leaving.name in engines_that_read(machines, "c")

        await machines.wait_until(used, "the next endpoint at the address is used")


async def test_started_again_endpoint_with_the_same_id_is_used(tmp_path):
    # Guards against an endpoint that is left out for good for what it said before.
    async with deployment(tmp_path, model_engines=2) as machines:
        engine = machines.engines[0]
        engine.started_ms = 1_000
        await asyncio.sleep(2.5)
        engine.is_leaving = True
        await send_generations(machines, "a")
        assert engine.name not in engines_that_read(machines, "a")[-6:]
        engine.is_leaving = False
        engine.started_ms = 2_000

        async def used():
            await send_generations(machines, "c", 1)
            return engine.name in engines_that_read(machines, "c")

        await machines.wait_until(used, "the started endpoint is used")


async def test_repeated_and_resumed_requests_avoid_leaving_endpoints(tmp_path):
    # Guards against a retry or a resumed stream at an endpoint that states it leaves.
    async with deployment(tmp_path, model_engines=3) as machines:
        first, leaving, _ = machines.engines[:3]
        leaving.is_leaving = True
        await send_generations(machines, "a")
        first.reset_share = 1.0
        statuses = await send_generations(machines, "b", 6)
        assert leaving.name not in engines_that_read(machines, "b")
        assert statuses.count(200) >= len(statuses) - 2


async def test_request_is_refused_at_once_when_all_endpoints_leave(tmp_path):
    # Guards against callers that wait for endpoints that accept no requests.
    route = make_route("book", service="app", type="idempotent", resumable=False)
    async with deployment(tmp_path) as machines:
        host = machines.hosts[0]
        content = config(4, routes=[route, make_route("gen", service="llm")])
        assert await machines.publish(host, content) == 200
        app = machines.engines[2]
        app.is_leaving = True
        assert (await send_booking(machines, host, "a1"))[0] == 200
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        status, headers, _ = await send_booking(machines, host, "b1")
        assert (status, loop.time() - started_s < 0.3) == (503, True)
        assert float(headers["Retry-After"]) > 0
        assert engines_that_read(machines, "b") == []
