import asyncio

import pytest
from gateway_builders import SERVICE, GatewayComponents, make_endpoint


async def poll(components, times=1):
    task = asyncio.create_task(components.directory.run())
    for _ in range(times):
        await components.clock.advance(1100)
        await asyncio.sleep(0)
    task.cancel()


async def test_leaving_endpoint_gets_no_new_requests():
    components = GatewayComponents(make_endpoint("e1"), make_endpoint("e2"))
    components.source.endpoints = [
        make_endpoint("e1", is_leaving=True),
        make_endpoint("e2"),
    ]
    await poll(components)
    assert [e.id for e in components.directory.of_service(SERVICE)] == ["e2"]
    assert components.directory.get("e1") is not None


async def test_last_list_is_kept_when_the_source_fails():
    # Guards against an outage of the platform that stops all traffic.
    components = GatewayComponents(make_endpoint("e1"))
    components.source.fails = True
    await poll(components, times=3)
    assert [e.id for e in components.directory.of_service(SERVICE)] == ["e1"]
    assert components.directory.age_ms > 1000
    assert [r["kind"] for r in components.events.records].count("link-down") == 1


async def test_restart_under_the_same_id_is_reported_as_ended():
    components = GatewayComponents(make_endpoint("e1", started_ms=1))
    ended = []
    components.directory.add_listener(ended.append)
    components.source.endpoints = [make_endpoint("e1", started_ms=2)]
    await poll(components)
    assert ended == [{"e1"}]


@pytest.mark.parametrize(
    ("other", "used"),
    [
        (make_endpoint("e1", "10.0.0.9:1", started_ms=1), "10.0.0.1:1"),
        (make_endpoint("e1", "10.0.0.9:1", started_ms=3), "10.0.0.9:1"),
        (make_endpoint("e1", "10.0.0.9:1"), "10.0.0.1:1"),
        (
            make_endpoint("e1", "10.0.0.9:1", started_ms=2, is_leaving=True),
            "10.0.0.1:1",
        ),
    ],
)
@pytest.mark.parametrize("is_first", [True, False])
async def test_one_of_several_endpoints_with_one_id_is_used(
    other, used, is_first, caplog
):
    # Guards against requests to an endpoint that another entry with its id replaces.
    endpoint = make_endpoint("e1", "10.0.0.1:1", started_ms=2)
    components = GatewayComponents(make_endpoint("e2"))
    found = [other, endpoint] if is_first else [endpoint, other]
    components.source.endpoints = [*found, make_endpoint("e2")]
    await poll(components, times=3)
    listed = components.directory.of_service(SERVICE)
    assert [e.address for e in listed if e.id == "e1"] == [used]
    assert components.directory.get("e1").address == used
    assert caplog.text.count("more than one entry") == 1


async def test_gateways_share_the_rate_limit_of_the_source():
    components = GatewayComponents(make_endpoint("e1"))
    components.source.rate_per_s = 10.0
    components.directory._reader_count = lambda: 20
    assert components.directory._poll_delay_ms(calls=2) >= 0.9 * 8000


async def test_error_of_a_listener_affects_neither_the_list_nor_other_listeners():
    # Guards against a gateway that stops following the list after an unexpected error.
    components = GatewayComponents(make_endpoint("e1"))
    directory, changes, reads = components.directory, [], []
    directory.add_listener(lambda ended: 1 / 0)
    directory.add_listener(changes.append)
    directory.add_read_listener(lambda found: 1 / 0)
    directory.add_read_listener(reads.append)
    task = asyncio.create_task(directory.run())
    for name in ("e2", "e3"):
        components.source.endpoints = [make_endpoint(name)]
        await components.clock.advance(1100)
        await asyncio.sleep(0)
    assert not task.done()
    assert [e.id for e in directory.of_service(SERVICE)] == ["e3"]
    assert changes == [{"e1"}, {"e2"}]
    assert reads[-1] == components.source.endpoints
    task.cancel()


async def test_unexpected_error_of_the_source_does_not_hasten_the_next_read():
    # Guards against reads above the rate limit of the source by gateways that fail.
    components = GatewayComponents(make_endpoint("e1"))
    calls = []

    async def fetch():
        calls.append(components.clock.now_ms())
        raise ValueError("unexpected")

    components.source.fetch = fetch
    components.directory.set_rank(2)
    await poll(components, times=6)
    assert 2 <= len(calls) <= 4
    assert [e.id for e in components.directory.of_service(SERVICE)] == ["e1"]
    assert [r["kind"] for r in components.events.records].count("link-down") == 1
