import asyncio
import math

import pytest
from fleet_model import ModelGateway
from gateway_builders import SERVICE, begin, make_call, make_route

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.events import EventKind, MemoryEventLog
from bulrushbend.gateway.call import Placement, RequestError
from bulrushbend.gateway.coordinators import PROBE_DELAY_MS, Coordinators
from bulrushbend.gateway.demand import demand_of
from bulrushbend.gateway.loads import GRANT_TTL_MS, Load
from bulrushbend.gateway.placement_client import PlacementClient
from bulrushbend.wire.fleet_pb2 import PlaceCancel, PlaceReply, PlaceRequest


class Pair:
    """The coordinator of the service and a gateway that sends it requests."""

    def __init__(self, endpoints=("e1", "e2")):
        self.clock = ManualClock()
        fleet = {}
        for number in (1, 2):
            gateway = ModelGateway(number, endpoints, self.clock, fleet)
            fleet[gateway.name] = gateway
        for gateway in fleet.values():
            others = {name: name for name in fleet if name != gateway.name}
            gateway.coordinators.set_peers(others)
        is_first_coordinator = fleet["g1"].coordinators.choose(SERVICE) is None
        names = ("g1", "g2") if is_first_coordinator else ("g2", "g1")
        self.coordinator, self.requester = (fleet[name] for name in names)

    async def place(self, **fields):
        call = make_call(now_ms=self.clock.now_ms(), **fields)
        return await self.requester.placement.place(
            demand_of(call, self.clock.now_ms())
        )

    def occupy(self, *endpoints):
        for endpoint in endpoints:
            begin(self.coordinator.loads, endpoint, "other", 9_000, 0)

    def change_replies(self, **fields):
        send = self.coordinator.server._send

        def send_changed(address, datagram):
            datagram.reply.MergeFrom(PlaceReply(**fields))
            send(address, datagram)

        self.coordinator.server._send = send_changed

    def total(self, endpoint):
        return self.coordinator.loads.total(endpoint)

    def kinds(self):
        return [record["kind"] for record in self.requester.components.events.records]


CALL = make_call()


async def settle():
    for _ in range(8):
        await asyncio.sleep(0)


def test_gateways_agree_on_the_coordinator():
    # Guards against two coordinators of one service in a healthy fleet.
    clock = ManualClock()
    names = [f"g{number}" for number in range(9)]
    for service in ("a", "b", "c", "d"):
        chosen = set()
        for name in names:
            coordinators = Coordinators(name, clock, MemoryEventLog())
            coordinators.set_peers({other: other for other in names if other != name})
            chosen.add(coordinators.choose(service) or name)
        assert len(chosen) == 1


def test_coordinator_is_a_gateway_with_many_cores():
    # Guards against a fleet whose requests all wait for its smallest VM.
    clock = ManualClock()
    processors = {f"g{n}": 1.38 if n < 3 else 0.387 for n in range(12)}
    for service in ("a", "b", "c", "d"):
        chosen = set()
        for name, own in processors.items():
            coordinators = Coordinators(name, clock, MemoryEventLog(), own)
            others = {other: other for other in processors if other != name}
            coordinators.set_peers(others, processors)
            chosen.add(coordinators.choose(service) or name)
        assert len(chosen) == 1
        assert processors[chosen.pop()] == 1.38


def test_small_gateways_coordinate_when_the_large_ones_are_silent():
    # Guards against a fleet without a coordinator after the loss of its large VMs.
    coordinators = Coordinators("g0", ManualClock(), MemoryEventLog(), 0.387)
    coordinators.set_peers({"g1": "g1", "g2": "g2"}, {"g1": 1.38, "g2": 0.387})
    assert coordinators.choose(SERVICE) == "g1"
    coordinators.suspect("g1", "no reply")
    assert coordinators.choose(SERVICE) in (None, "g2")


async def test_grant_counts_until_the_requester_acknowledges_it():
    # Guards against a second prompt for an endpoint while the grant of the first one is
    # in transit.
    pair = Pair()
    placement = await pair.place()
    assert pair.total(placement.endpoint) == Load(1, 1000)
    pair.requester.report(True, [pair.coordinator])
    assert pair.total(placement.endpoint) == Load(1, 1000)
    pair.requester.loads.end_prefill(placement.endpoint, 1000)
    pair.requester.loads.end(placement.endpoint)
    pair.requester.report(True, [pair.coordinator])
    assert pair.total(placement.endpoint) == Load()


@pytest.mark.parametrize(
    "address", ["10.0.0.1:99999", "a..b:80", "10.0.0.1:80\r\nX: y", "x"]
)
async def test_grant_with_invalid_fields_is_used_without_them(address):
    # Guards against a request that fails because of a malformed reply.
    pair = Pair()
    pair.change_replies(fetch_from=address, unread_tokens=2**64 - 1)
    placement = await pair.place()
    assert placement.fetch_from == ""
    pair.requester.loads.begin(Placement(placement.endpoint, 1), demand_of(CALL, 0.0))
    pair.requester.loads.report().SerializeToString()


@pytest.mark.parametrize("retry_after_ms", [math.nan, math.inf, -1.0, 1e300])
async def test_refusal_with_an_invalid_time_has_a_valid_one(retry_after_ms):
    # Guards against callers that are told to come back never, or at once.
    pair = Pair()
    pair.change_replies(
        result=PlaceReply.REFUSED, code="no-capacity", retry_after_ms=retry_after_ms
    )
    with pytest.raises(RequestError) as refused:
        await pair.place()
    assert 0.0 < refused.value.retry_after_ms <= 3_600_000.0


async def test_grant_that_never_arrived_expires():
    # Guards against an endpoint that appears full forever after a lost reply.
    pair = Pair()
    pair.coordinator.lost_replies = 100
    placement = await pair.place()
    assert pair.requester.loads.own(placement.endpoint) == Load(1, 1000)
    await pair.clock.advance(GRANT_TTL_MS)
    totals = [pair.total(endpoint) for endpoint in ("e1", "e2")]
    assert totals == [Load(), Load()]


async def test_repeated_request_is_placed_once():
    # Guards against two placements of one request after a lost reply.
    pair = Pair()
    pair.coordinator.lost_replies = 1
    placement = await pair.place()
    assert placement.serial == 1
    running = [pair.total(endpoint).running for endpoint in ("e1", "e2")]
    assert sum(running) == 1


async def test_request_asks_the_next_coordinator_when_the_first_is_silent():
    # Guards against requests that are placed by a gateway which has no load reports.
    clock, fleet = ManualClock(), {}
    for number in range(5):
        gateway = ModelGateway(number, ("e1", "e2"), clock, fleet)
        fleet[gateway.name] = gateway
    for gateway in fleet.values():
        gateway.coordinators.set_peers({n: n for n in fleet if n != gateway.name})
    requester = next(g for g in fleet.values() if g.coordinators.choose(SERVICE))
    first = requester.coordinators.choose(SERVICE)
    fleet[first].is_silent = True
    placement = await requester.placement.place(demand_of(make_call(), 0.0))
    chosen_next = requester.coordinators.choose(SERVICE)
    assert placement.coordinator == (chosen_next or "")
    assert chosen_next != first


async def test_requests_are_placed_without_a_silent_coordinator():
    # Guards against requests that fail when one other gateway fails.
    pair = Pair()
    pair.coordinator.is_silent = True
    placement = await pair.place()
    assert placement.serial == 0
    assert EventKind.COORDINATOR_LOST in pair.kinds()
    async with asyncio.timeout(0.02):
        await pair.place()
    pair.coordinator.is_silent = False
    await pair.clock.advance(PROBE_DELAY_MS)
    placement = await pair.place()
    assert placement.serial == 1
    assert EventKind.COORDINATOR_REGAINED in pair.kinds()


async def test_only_one_request_probes_a_silent_coordinator():
    # Guards against a delay of all requests each time the coordinator is probed.
    pair = Pair()
    pair.coordinator.is_silent = True
    await pair.place()
    await pair.clock.advance(PROBE_DELAY_MS)
    probe = asyncio.create_task(pair.place())
    await settle()
    async with asyncio.timeout(0.02):
        await pair.place()
    await probe


async def test_draining_coordinator_declines():
    # Guards against requests that wait in the queue of a gateway about to stop.
    pair = Pair()
    pair.coordinator.is_leaving = True
    async with asyncio.timeout(0.02):
        placement = await pair.place()
    assert placement.serial == 0


async def test_request_that_waits_at_a_draining_coordinator_is_placed_elsewhere():
    # Guards against requests of other gateways that wait until a coordinator has ended.
    pair = Pair()
    pair.occupy("e1", "e2")
    task = asyncio.create_task(pair.place())
    await settle()
    assert pair.coordinator.components.queue.waiting == 1
    pair.coordinator.is_leaving = True
    pair.coordinator.server.decline_waiting()
    async with asyncio.timeout(0.02):
        assert (await task).serial == 0
    assert pair.coordinator.components.queue.waiting == 0


async def test_refusal_of_the_coordinator_reaches_the_caller():
    pair = Pair()
    pair.occupy("e1", "e2")
    route = make_route(objective_ms=100)
    task = asyncio.create_task(pair.place(route=route))
    await settle()
    await pair.clock.advance(80)
    await settle()
    with pytest.raises(RequestError) as raised:
        await task
    assert (raised.value.status, raised.value.code) == (503, "no-capacity")
    assert raised.value.retry_after_ms > 0
    refusals = [
        record
        for record in pair.coordinator.components.events.records
        if record["kind"] == EventKind.PLACEMENT_REFUSED
    ]
    assert [record["request_id"] for record in refusals] == ["r1"]


async def test_coordinator_refuses_a_request_that_crashes_endpoints():
    # Guards against a gateway that has just started and knows of no crash yet.
    pair = Pair()
    requests = pair.coordinator.components.request_quarantine
    identity = make_call().identity
    for number in (1, 2):
        crashed_ms = pair.clock.now_ms() - 2_000.0 * number
        requests.record_crash(f"x{number}", crashed_ms, [(identity, f"s{number}")])
    with pytest.raises(RequestError) as raised:
        await pair.place()
    assert (raised.value.status, raised.value.code) == (503, "request-quarantined")
    assert raised.value.retry_after_ms > 50_000


async def test_waiting_request_is_placed_when_capacity_is_free():
    pair = Pair()
    pair.occupy("e1", "e2")
    task = asyncio.create_task(pair.place())
    await settle()
    assert not task.done()
    pair.coordinator.loads.end_prefill("e2", 9_000)
    await pair.clock.advance(20)
    placement = await task
    assert placement.endpoint == "e2"


async def test_cancelled_request_is_withdrawn_from_the_coordinator():
    # Guards against capacity that is reserved for a caller that has disconnected.
    pair = Pair()
    pair.occupy("e1", "e2")
    task = asyncio.create_task(pair.place())
    await settle()
    assert pair.coordinator.components.queue.waiting == 1
    task.cancel()
    await settle()
    assert pair.coordinator.components.queue.waiting == 0


async def test_tokens_are_charged_once():
    # Guards against a team that is charged by the coordinator and the requester.
    pair = Pair()
    pair.coordinator.report(False, [pair.requester])
    await pair.place(team="crew-a", tokens=1000)
    for is_brief in (True, False, True, False):
        pair.requester.report(is_brief, [pair.coordinator])
        pair.coordinator.report(is_brief, [pair.requester])
    for gateway in (pair.coordinator, pair.requester):
        assert gateway.components.shares.normalized_usage("crew-a") == 1000


async def test_request_without_a_prompt_is_placed_locally():
    pair = Pair()
    placement = await pair.place(tokens=0)
    assert placement.serial == 0
    assert pair.total(placement.endpoint).running == 0


async def test_request_numbers_differ_between_incarnations():
    # Guards against a restarted gateway that accepts a late reply to a request of its
    # earlier incarnation as the reply to another request.
    pair = Pair()
    pair.occupy("e1", "e2")
    numbers = []
    for incarnation in (1, 2):
        client = PlacementClient(
            pair.requester.name,
            incarnation,
            pair.requester.coordinators,
            pair.requester.loads,
            pair.clock,
            lambda address, datagram: numbers.append(datagram.request.number),
        )
        call = make_call()
        task = asyncio.create_task(
            client.request_placement(SERVICE, demand_of(call, 0.0), lambda: None)
        )
        await settle()
        task.cancel()
    sent_numbers = [number for number in numbers if number]
    assert len(sent_numbers) == len(set(sent_numbers)) == 2


async def test_request_cancelled_before_its_task_starts_is_removed():
    # Guards against a request that is reported as waiting forever when it is repeated.
    pair = Pair()
    server = pair.coordinator.server
    request = PlaceRequest(
        gateway="g9", incarnation=1, number=1, service=SERVICE, tokens=9, wait_ms=100
    )
    server.handle_request(request, pair.requester.name)
    server.cancel(PlaceCancel(gateway="g9", incarnation=1, number=1))
    await settle()
    server.handle_request(request, pair.requester.name)
    await settle()
    assert sum(pair.total(endpoint).running for endpoint in ("e1", "e2")) == 1


async def test_request_whose_placement_fails_unexpectedly_is_declined_at_once():
    # Guards against a request that waits for a coordinator until its time is up.
    pair = Pair()
    pair.coordinator.components.queue.place = fail_to_place
    placement = await pair.place()
    assert placement.serial == 0
    assert EventKind.COORDINATOR_LOST in pair.kinds()


async def fail_to_place(demand):
    raise KeyError(demand.request_id)


async def test_paused_endpoint_is_used_by_a_waiting_request_after_its_pause():
    # Guards against a request that waits at a coordinator beside an idle endpoint.
    pair = Pair()
    endpoint = pair.requester.components.source.endpoints[0]
    pair.requester.components.notices.record_pause(endpoint, 100.0)
    pair.occupy("e2")
    placing = asyncio.create_task(pair.place(tokens=5_000))
    for _ in range(30):
        await pair.clock.advance(20.0)
        pair.coordinator.components.queue.place_waiting()
        await asyncio.sleep(0.01)
    assert placing.done()
    assert (await placing).endpoint == "e1"


async def test_request_is_refused_at_once_if_no_endpoint_is_left_at_both_gateways():
    # Guards against callers that wait although one endpoint leaves and one pauses.
    pair = Pair()
    first = pair.requester.components.source.endpoints[0]
    second = pair.coordinator.components.source.endpoints[1]
    pair.requester.components.notices.record_pause(first, 60_000.0)
    pair.coordinator.components.notices.record_leaving(second, "response")
    placing = asyncio.create_task(pair.place(tokens=5_000))
    for _ in range(15):
        await pair.clock.advance(20.0)
        await asyncio.sleep(0.01)
    assert placing.done()
    placing.cancel()
