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


async def send_generations(machines, prefix, count=4, hosts=None):
    """Send requests with different prompts, and return the failures.

    A gateway may refuse any request while it has too little processor time.
    """
    failures = []
    for _ in range(count):
        for host in hosts or machines.hosts:
            request_id = f"{prefix}{next(_serials)}"
            headers = BASE_HEADERS | {
                "Attempt-Id": request_id,
                "Model": "m",
                "Token-Usage": "100,10",
                "Prefix-Hash": f"{request_id}:50,e4:50",
            }
            status, _, body = await machines.call(
                host, "front", "POST", "/gen/x", headers, b"{}"
            )
            if status != 200 and not (status == 503 and b'"strained"' in body):
                failures.append((request_id, status, body))
    return failures


async def test_gateways_send_nothing_to_an_endpoint_that_states_it_leaves(tmp_path):
    # Guards against requests to a leaving endpoint that is listed as ready for long.
    async with deployment(tmp_path, model_engines=3) as machines:
        leaving = machines.engines[0]
        leaving.is_leaving = True
        failures = await send_generations(machines, "a")
        assert failures == []
        told = engines_that_read(machines, "a").count(leaving.name)
        assert 1 <= told <= len(machines.hosts)
        failures = await send_generations(machines, "b")
        assert failures == []
        read = engines_that_read(machines, "b")
        assert read and leaving.name not in read
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
        # Each request earns a tenth of a retry.
        await send_generations(machines, "a", 60)
        first.reset_share = 1.0
        failures = await send_generations(machines, "b", 6)
        read = engines_that_read(machines, "b")
        assert read and leaving.name not in read
        assert failures == []


async def test_gateway_that_was_turned_away_sends_nothing_until_the_pause_ends(
    tmp_path,
):
    # Guards against requests within a pause, also by grants of another gateway.
    async with deployment(tmp_path, model_engines=2) as machines:
        engine = machines.engines[0]
        first, *others = machines.hosts

        async def is_turned_away():
            await send_generations(machines, "a", 1, [first])
            return engine.pauses

        engine.turn_away_s = 3.0
        await machines.wait_until(is_turned_away, "the first gateway is turned away")
        engine.turn_away_s = 0.0
        end_s = engine.pauses[-1].at_s + 3.0
        while asyncio.get_running_loop().time() < end_s - 0.3:
            failures = await send_generations(machines, "b", 2, [first])
            failures += await send_generations(machines, "c", 2, others)
            assert failures == []
        read = engines_that_read(machines, "b")
        assert read and engine.name not in read
        assert engine.name in engines_that_read(machines, "c")

        async def is_used():
            await send_generations(machines, "d", 2, [first])
            return engine.name in engines_that_read(machines, "d")

        await machines.wait_until(is_used, "the endpoint is used after the pause", 5.0)


async def test_load_of_gateways_that_are_turned_away_stays_away(tmp_path):
    # Guards against repeated and concurrent requests at endpoints that want none.
    async with deployment(tmp_path, model_engines=3) as machines:
        turning_away = machines.engines[:2]
        for engine in turning_away:
            engine.turn_away_s = 3.0
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 2.5

        async def send(prefix, host):
            while loop.time() < end_s:
                await send_generations(machines, prefix, 1, [host])

        load = [
            send(f"h{n}-", host) for n, host in enumerate(machines.hosts) for _ in "ab"
        ]
        await asyncio.gather(*load)
        assert any(engine.pauses for engine in turning_away)
        for engine in turning_away:
            for number in range(len(machines.hosts)):
                prefix = f"h{number}-"
                told_s = [
                    pause.at_s
                    for pause in engine.pauses
                    if pause.request_id.startswith(prefix)
                ]
                late = [
                    arrival
                    for arrival in engine.arrivals
                    if arrival.request_id.startswith(prefix)
                    and told_s[0] + 0.5 < arrival.at_s < told_s[0] + 3.0
                ]
                assert len(late) <= 2


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


async def test_retry_after_is_the_pause_when_all_endpoints_pause(tmp_path):
    # Guards against callers that wait, or return while no endpoint wants requests.
    async with deployment(tmp_path) as machines:
        host = machines.hosts[0]
        app = machines.engines[2]
        app.turn_away_s = 2.0
        for request_id in ("a1", "b1", "b2"):
            status, headers, _ = await send_booking(machines, host, request_id)
            assert status == 503
            assert 1.5 < float(headers["Retry-After"]) <= 2.0
        assert engines_that_read(machines, "b") == []
