"""Endpoints that limit the rate of requests from all gateways together."""

import asyncio

import pytest
from gateway_builders import (
    SERVICE,
    GatewayComponents,
    begin,
    make_call,
    make_endpoint,
    make_route,
)

from bulrushbend.gateway.call import RequestError
from bulrushbend.wire.fleet_pb2 import LoadReport

WINDOW_S = 4.0
RATE = 5.0
# Requests that an endpoint with this rate may get within the window.
ALLOWED = 1.5 * RATE * WINDOW_S + 5


def make_gateways(*names, rate=RATE, coordinator="g1"):
    """Return gateways on one clock that know the limit of their endpoint."""
    found = [GatewayComponents(make_endpoint("e1"), name=names[0])]
    clock = found[0].clock
    found += [
        GatewayComponents(make_endpoint("e1"), name=name, clock=clock)
        for name in names[1:]
    ]
    for name, gateway in zip(names, found, strict=True):
        gateway.is_coordinator = name == coordinator
        gateway.limits.set_gateways(len(names))
        gateway.limits.record_statement(make_endpoint("e1"), rate)
    return found


def try_to_place(gateway, requester=""):
    """Place a request if the endpoint may get one, and end it at once."""
    if "e1" in gateway.limits.exhausted(SERVICE, requester):
        return 0
    begin(gateway.loads, "e1", "crew-a", 0, 0, requester=requester)
    return 1


def exchange_reports(gateways):
    reports = [gateway.loads.report() for gateway in gateways]
    for gateway in gateways:
        for report in reports:
            copy = LoadReport.FromString(report.SerializeToString())
            gateway.loads.handle_report(copy)


async def count(gateways, seconds, requesters=("",)):
    """Return the number of placements while all gateways place what they may."""
    placed = 0
    for step in range(int(seconds * 50)):
        for gateway in gateways:
            placed += sum(try_to_place(gateway, name) for name in requesters)
        if step % 10 == 0:
            exchange_reports(gateways)
        await gateways[0].clock.advance(20)
    return placed


@pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 40.0])
async def test_coordinator_places_no_more_than_an_endpoint_accepts(rate):
    """Guards against an endpoint in need that gets more than it has stated."""
    (gateway,) = make_gateways("g1", rate=rate)
    placed = await count([gateway], WINDOW_S, ("", "g2", "g3"))
    assert 0.9 * rate * WINDOW_S <= placed <= 1.5 * rate * WINDOW_S + 5


async def test_large_limit_restricts_nothing():
    (gateway,) = make_gateways("g1", rate=1e9)
    await gateway.clock.advance(1)
    assert await count([gateway], 1.0, ("", "g2")) == 100


async def test_two_coordinators_at_the_same_time_share_one_limit():
    """Guards against a second coordinator that grants the limit once more."""
    gateways = first, second, third = make_gateways("g1", "g2", "g3")
    placed = 0
    for step in range(200):
        for coordinator in (first, second):
            if try_to_place(coordinator, "g3"):
                placed += 1
                begin(third.loads, "e1", "crew-a", 0, 0)
        if step % 10 == 0:
            exchange_reports(gateways)
        await first.clock.advance(20)
    assert placed <= ALLOWED


async def test_gateways_without_a_coordinator_share_one_limit():
    """Guards against gateways that each use the whole limit."""
    gateways = make_gateways("g1", "g2", "g3", "g4", coordinator="")
    placed = 0
    for _ in range(200):
        placed += sum(map(try_to_place, gateways))
        await gateways[0].clock.advance(20)
    assert 0.5 * RATE * WINDOW_S <= placed <= ALLOWED


async def test_grant_that_is_reported_as_load_is_charged_once():
    """Guards against a limit of which half is left unused."""
    first, second = make_gateways("g1", "g2")
    placed = 0
    for _ in range(200):
        if try_to_place(first, "g2"):
            placed += 1
            begin(second.loads, "e1", "crew-a", 0, 0)
            exchange_reports([first, second])
        await first.clock.advance(20)
    assert placed >= 0.9 * RATE * WINDOW_S


async def test_gateway_learns_of_a_limit_and_of_its_end_from_reports():
    first, second = make_gateways("g1", "g2", rate=None)
    first.limits.record_statement(make_endpoint("e1"), 0.5)
    first.loads.handle_report(second.loads.report())
    second.loads.handle_report(first.loads.report())
    assert second.queue.is_limited()
    await second.clock.advance(100)
    first.limits.record_statement(make_endpoint("e1"), None)
    second.loads.handle_report(first.loads.report())
    assert not second.queue.is_limited()


async def test_limit_ends_with_the_incarnation_of_the_endpoint():
    components = GatewayComponents(make_endpoint("e1", started_ms=1))
    components.limits.record_statement(make_endpoint("e1", started_ms=1), 0.5)
    assert components.queue.is_limited()
    components.source.endpoints = [make_endpoint("e1", started_ms=2)]
    components.directory._update_list(components.source.endpoints, 1.0)
    components.limits.update()
    assert not components.queue.is_limited()


async def test_request_that_no_limit_allows_in_time_is_refused_at_once():
    """Guards against requests that wait for a turn that comes too late."""
    (gateway,) = make_gateways("g1", rate=0.5)
    route = make_route(objective_ms=1000)
    placement = await gateway.place(make_call(route=route))
    assert placement.endpoint == "e1"
    with pytest.raises(RequestError) as raised:
        await asyncio.wait_for(gateway.place(make_call(route=route)), 1.0)
    error = raised.value
    assert (error.status, error.code) == (503, "endpoints-limited")
    assert error.retry_after_ms == pytest.approx(2000.0)


async def test_request_waits_for_a_limited_endpoint_that_is_due_in_time():
    (gateway,) = make_gateways("g1", rate=5.0)
    await gateway.place(make_call())
    task = asyncio.create_task(gateway.place(make_call(tokens=10)))
    for _ in range(15):
        await gateway.clock.advance(20)
        await asyncio.sleep(0)
    assert (await task).endpoint == "e1"
