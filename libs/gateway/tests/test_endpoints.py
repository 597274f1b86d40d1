import asyncio

from gateway_builders import SERVICE, Parts, make_endpoint


async def poll(parts, times=1):
    task = asyncio.create_task(parts.directory.run())
    for _ in range(times):
        await parts.clock.advance(1100)
        await asyncio.sleep(0)
    task.cancel()


async def test_leaving_endpoint_gets_no_new_requests():
    parts = Parts(make_endpoint("e1"), make_endpoint("e2"))
    parts.source.endpoints = [make_endpoint("e1", is_leaving=True), make_endpoint("e2")]
    await poll(parts)
    assert [e.id for e in parts.directory.of_service(SERVICE)] == ["e2"]
    assert parts.directory.get("e1") is not None


async def test_last_list_is_kept_when_the_source_fails():
    # Guards against an outage of the platform that stops all traffic.
    parts = Parts(make_endpoint("e1"))
    parts.source.fails = True
    await poll(parts, times=3)
    assert [e.id for e in parts.directory.of_service(SERVICE)] == ["e1"]
    assert parts.directory.age_ms > 1000
    assert [r["kind"] for r in parts.events.records].count("link-down") == 1


async def test_restart_under_the_same_id_is_reported_as_ended():
    parts = Parts(make_endpoint("e1", started_ms=1))
    ended = []
    parts.directory.add_listener(ended.append)
    parts.source.endpoints = [make_endpoint("e1", started_ms=2)]
    await poll(parts)
    assert ended == [{"e1"}]


async def test_gateways_share_the_rate_limit_of_the_source():
    parts = Parts(make_endpoint("e1"))
    parts.source.rate_per_s = 10.0
    parts.directory._gateway_count = lambda: 20
    assert parts.directory._poll_delay_ms(calls=2) >= 0.9 * 8000
