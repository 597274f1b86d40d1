"""Notices of endpoints about themselves, and their reports between gateways."""

import asyncio
import dataclasses

import pytest
from fleet_model import ModelGateway
from gateway_builders import (
    SERVICE,
    GatewayComponents,
    begin,
    make_call,
    make_endpoint,
    make_route,
)

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.events import EventKind
from bulrushbend.gateway.call import RequestError
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.demand import demand_of
from bulrushbend.gateway.endpoint_notices import _MAX_NOTICES, _RETENTION_MS
from bulrushbend.wire.fleet_pb2 import LeavingEndpoint


def list_endpoints(components, *endpoints):
    components.directory._update_list(list(endpoints), components.clock.boot_ms())


async def test_leaving_endpoint_is_not_chosen_although_it_is_listed_as_ready():
    # Guards against requests that an endpoint gets after it said that it leaves.
    components = GatewayComponents(make_endpoint("e1"), make_endpoint("e2"))
    components.notices.record_leaving(make_endpoint("e1"), "response")
    for _ in range(6):
        placement = await components.place(make_call(tokens=100))
        assert placement.endpoint == "e2"


async def test_endpoints_of_a_leaving_majority_are_not_chosen():
    # Guards against the bound on avoided endpoints, which leaving ones do not have.
    components = GatewayComponents(*(make_endpoint(f"e{n}") for n in range(4)))
    for name in ("e0", "e1", "e2"):
        components.notices.record_leaving(make_endpoint(name), "response")
    components.health.record_failure("e3", "reset")
    assert (await components.place(make_call())).endpoint == "e3"


async def test_request_without_staying_endpoints_is_refused_at_once():
    # Guards against callers that wait in the queue for endpoints that all leave.
    components = GatewayComponents(make_endpoint("e1"))
    components.notices.record_leaving(make_endpoint("e1"), "response")
    with pytest.raises(RequestError) as raised:
        await components.place(make_call())
    assert (raised.value.status, raised.value.code) == (503, "no-endpoint")
    assert raised.value.retry_after_ms > 0


def test_another_start_of_an_endpoint_is_used_at_once():
    # Guards against a new endpoint that is left out for what its predecessor said.
    components = GatewayComponents(make_endpoint("e1", started_ms=5))
    components.notices.record_leaving(make_endpoint("e1", started_ms=5), "response")
    restarted = make_endpoint("e1", started_ms=6)
    successor = make_endpoint("e2")
    list_endpoints(components, restarted, successor)
    assert components.notices.leaving == frozenset()
    assert components.notices.may_send(restarted)
    assert components.notices.may_send(successor)


def test_late_statement_of_an_earlier_start_is_ignored():
    # Guards against a restarted endpoint that is left out for an old response.
    components = GatewayComponents(make_endpoint("e1", started_ms=6))
    components.notices.record_leaving(make_endpoint("e1", started_ms=5), "response")
    assert components.notices.leaving == frozenset()


@pytest.mark.parametrize("started_ms", [None, 5])
def test_leaving_endpoint_that_is_listed_again_is_still_leaving(started_ms):
    # Guards against a list that loses an endpoint for a moment, or shows an older one.
    endpoint = make_endpoint("e1", started_ms=started_ms)
    components = GatewayComponents(endpoint)
    components.notices.record_leaving(endpoint, "response")
    for later in (endpoint, make_endpoint("e1", started_ms=4)):
        list_endpoints(components)
        list_endpoints(components, later)
        assert components.notices.leaving == {"e1"}
        assert not components.notices.may_send(later)


async def test_notice_of_a_listed_endpoint_does_not_expire():
    # Guards against a request to an endpoint that stays listed for long.
    endpoint = make_endpoint("e1", started_ms=5)
    components = GatewayComponents(endpoint)
    components.notices.record_leaving(endpoint, "response")
    await components.clock.advance(2 * _RETENTION_MS)
    list_endpoints(components, endpoint, make_endpoint("e2"))
    assert not components.notices.may_send(endpoint)
    list_endpoints(components, make_endpoint("e2"))
    await components.clock.advance(_RETENTION_MS)
    list_endpoints(components)
    assert components.notices.may_send(endpoint)


def test_number_of_notices_is_bounded():
    # Guards against memory that grows with every endpoint that ever left.
    components = GatewayComponents()
    for number in range(_MAX_NOTICES + 5):
        components.notices.record_leaving(make_endpoint(f"e{number}"), "response")
    assert components.notices.size == _MAX_NOTICES
    assert not components.notices.may_send(make_endpoint(f"e{_MAX_NOTICES}"))


def test_leaving_is_logged_once():
    # Guards against a log line for each response of a leaving endpoint.
    components = GatewayComponents(make_endpoint("e1"))
    for _ in range(3):
        components.notices.record_leaving(make_endpoint("e1"), "response")
    records = [
        record
        for record in components.events.records
        if record["kind"] == EventKind.ENDPOINT_LEAVING
    ]
    assert [record["endpoint"] for record in records] == ["e1"]


class Fleet:
    """Two gateways, each the coordinator of the other, that report to each other."""

    def __init__(self, **listed):
        self.sent = []
        self.reports = {}
        self.components = {}
        clock = ManualClock()
        for name, endpoint in listed.items():
            components = GatewayComponents(endpoint, clock=clock, name=name)
            coordinators = Coordinators(name, clock, components.events)
            coordinators.set_peers({n: n for n in listed if n != name})
            coordinators.set_services([SERVICE])
            self.components[name] = components
            self.reports[name] = components.make_leaving_reports(
                coordinators, self._deliver
            )

    def _deliver(self, address, datagram):
        self.sent.append(address)
        self.reports[address].handle_report(datagram.leaving_endpoint)


def test_coordinators_learn_that_an_endpoint_is_leaving():
    # Guards against coordinators that place requests of others at a leaving endpoint.
    endpoint = make_endpoint("e1", started_ms=5)
    fleet = Fleet(g1=endpoint, g2=endpoint)
    for _ in range(3):
        fleet.reports["g1"].record_leaving(endpoint)
    assert fleet.components["g2"].notices.leaving == {"e1"}
    assert fleet.sent == ["g2"]


@pytest.mark.parametrize("started_ms", [None, 4, 6])
def test_report_on_another_start_of_an_endpoint_is_ignored(started_ms):
    # Guards against an endpoint that is left out for what another incarnation said.
    fleet = Fleet(
        g1=make_endpoint("e1", started_ms=started_ms),
        g2=make_endpoint("e1", started_ms=5),
    )
    fleet.reports["g1"].record_leaving(make_endpoint("e1", started_ms=started_ms))
    assert fleet.components["g2"].notices.leaving == frozenset()


def test_report_on_an_unknown_endpoint_is_ignored():
    # Guards against memory for endpoints that only a malformed datagram names.
    fleet = Fleet(g1=make_endpoint("e1"))
    fleet.reports["g1"].handle_report(LeavingEndpoint(endpoint="e9"))
    assert fleet.components["g1"].notices.size == 0


async def test_leaving_endpoint_that_is_still_chosen_is_reported_again():
    # Guards against a coordinator that never learns it because a datagram was lost.
    endpoint = make_endpoint("e1")
    fleet = Fleet(g1=endpoint, g2=endpoint)
    fleet.components["g1"].notices.record_leaving(endpoint, "response")
    for _ in range(10):
        fleet.reports["g1"].repeat(endpoint)
        await fleet.components["g1"].clock.advance(100)
    assert fleet.components["g2"].notices.leaving == {"e1"}
    assert len(fleet.sent) == 2


def pauses(components):
    return [
        record["pause_ms"]
        for record in components.events.records
        if record["kind"] == EventKind.ENDPOINT_PAUSED
    ]


async def test_paused_endpoint_is_used_again_when_its_pause_ends():
    # Guards against requests within the pause, and an endpoint that is left out after.
    endpoint = make_endpoint("e1")
    components = GatewayComponents(endpoint, make_endpoint("e2"))
    components.notices.record_pause(endpoint, 2_000.0)
    for _ in range(5):
        assert components.choose(make_call()).endpoint.id == "e2"
        assert not components.notices.may_send(endpoint)
        await components.clock.advance(399.0)
    await components.clock.advance(5.0)
    components.begin("e2", tokens=2_000)
    assert components.choose(make_call()).endpoint.id == "e1"
    assert components.notices.may_send(endpoint)


async def test_shorter_pause_does_not_cut_a_longer_one():
    # Guards against two responses that cross, of which the newer asks for less.
    endpoint = make_endpoint("e1")
    components = GatewayComponents(endpoint)
    for pause_ms in (1_000.0, 3_000.0, 500.0):
        components.notices.record_pause(endpoint, pause_ms)
    await components.clock.advance(2_999.0)
    assert components.notices.paused == {"e1"}
    await components.clock.advance(1.0)
    assert components.notices.paused == frozenset()
    assert pauses(components) == [1_000, 3_000]


@pytest.mark.parametrize("pause_ms", [0.0, 0.0004])
async def test_pause_without_a_duration_has_no_effect(pause_ms):
    # Guards against an endpoint that is left out although it asked for no time.
    endpoint = make_endpoint("e1")
    components = GatewayComponents(endpoint)
    components.notices.record_pause(endpoint, pause_ms)
    await components.clock.advance(1.0)
    assert components.notices.may_send(endpoint)
    assert (await components.place(make_call())).endpoint == "e1"


@pytest.mark.parametrize("pause_ms", [1e12, 1e300])
async def test_endless_pause_ends_with_its_endpoint(pause_ms):
    # Guards against an absurd pause that outlives the endpoint that asked for it.
    endpoint = make_endpoint("e1", started_ms=5)
    components = GatewayComponents(endpoint, make_endpoint("e2"))
    components.notices.record_pause(endpoint, pause_ms)
    await components.clock.advance(100_000.0)
    assert components.choose(make_call()).endpoint.id == "e2"
    restarted = make_endpoint("e1", started_ms=6)
    list_endpoints(components, restarted)
    assert components.choose(make_call()).endpoint.id == "e1"
    assert components.notices.may_send(restarted)


async def test_own_pauses_do_not_bind_other_gateways():
    # Guards against a coordinator that grants less to others since it was turned away.
    components = GatewayComponents(make_endpoint("e1"))
    components.notices.record_pause(make_endpoint("e1"), 2_000.0)
    demand = demand_of(make_call(), components.clock.now_ms())
    others = dataclasses.replace(demand, requester="g2")
    assert (await components.queue.place(others)).endpoint == "e1"
    with pytest.raises(RequestError) as raised:
        await components.queue.place(demand)
    assert (raised.value.status, raised.value.code) == (503, "endpoints-paused")


async def test_retry_after_is_the_end_of_the_first_pause():
    # Guards against callers that return while all endpoints are paused, or far later.
    found = [make_endpoint("e1"), make_endpoint("e2"), make_endpoint("e3")]
    components = GatewayComponents(*found)
    for endpoint, pause_ms in zip(found, (2_000.0, 9_000.0), strict=False):
        components.notices.record_pause(endpoint, pause_ms)
    components.notices.record_leaving(found[2], "response")
    for expected_ms in (2_000.0, 1_500.0, 1_000.0):
        with pytest.raises(RequestError) as raised:
            await components.place(make_call())
        assert raised.value.retry_after_ms == expected_ms
        await components.clock.advance(500.0)
    components.notices.record_pause(found[0], 1e12)
    with pytest.raises(RequestError) as raised:
        await components.place(make_call())
    assert raised.value.retry_after_ms == 3_000.0


async def test_waiting_requests_of_this_gateway_are_refused_when_all_endpoints_pause():
    # Guards against callers that wait for endpoints which this gateway may not use.
    components = GatewayComponents(make_endpoint("e1"))
    components.begin("e1", tokens=9_000)
    demand = demand_of(make_call(tokens=5_000), components.clock.now_ms())
    others = dataclasses.replace(demand, requester="g2")
    tasks = [asyncio.create_task(components.queue.place(d)) for d in (demand, others)]
    await asyncio.sleep(0)
    components.notices.record_pause(make_endpoint("e1"), 2_000.0)
    components.queue.place_waiting()
    await asyncio.sleep(0)
    assert tasks[0].exception().code == "endpoints-paused"
    components.loads.end_prefill("e1", 9_000)
    components.queue.place_waiting()
    assert (await tasks[1]).endpoint == "e1"


LONG = make_route(objective_ms=10_000)


def make_pair(*endpoints):
    """Return a gateway and the coordinator that it asks."""
    clock, fleet = ManualClock(), {}
    for number in (1, 2):
        gateway = ModelGateway(number, endpoints, clock, fleet)
        fleet[gateway.name] = gateway
    for gateway in fleet.values():
        others = {name: name for name in fleet if name != gateway.name}
        gateway.coordinators.set_peers(others)
    pair = sorted(fleet.values(), key=lambda g: g.coordinators.choose(SERVICE) is None)
    return tuple(pair)


async def test_coordinator_does_not_choose_what_paused_the_asking_gateway():
    # Guards against a round trip for each request, and a grant that cannot be used.
    asking, _ = make_pair("e1", "e2")
    asking.components.notices.record_pause(make_endpoint("e1"), 2_000.0)
    for _ in range(4):
        demand = demand_of(make_call(tokens=100), 0.0)
        placement = await asking.placement.place(demand)
        assert (placement.endpoint, bool(placement.coordinator)) == ("e2", True)


async def test_request_at_a_coordinator_is_refused_when_its_endpoints_pause():
    # Guards against callers that wait elsewhere for what their gateway may not use.
    asking, coordinator = make_pair("e1")
    begin(coordinator.loads, "e1", "other", 9_000, 0)
    demand = demand_of(make_call(tokens=5_000, route=LONG), 0.0)
    waiting = asyncio.create_task(asking.placement.place(demand))
    await asyncio.sleep(0.05)
    asking.components.notices.record_pause(make_endpoint("e1"), 2_000.0)
    async with asyncio.timeout(1.0):
        with pytest.raises(RequestError) as raised:
            await waiting
    assert raised.value.code == "endpoints-paused"
    await asyncio.sleep(0.01)
    assert coordinator.components.queue.waiting == 0
