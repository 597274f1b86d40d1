"""Intervals of the load reports between gateways."""

import asyncio

from gateway_builders import begin

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.loads import REPORT_TTL_MS, LoadView
from bulrushbend.gateway.peer_protocol import PeerProtocol
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex
from bulrushbend.wire.fleet_pb2 import GatewayDatagram

SERVICE = "llm"


class RecordingTransport:
    """Datagram transport that records what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address, GatewayDatagram.FromString(data)))


class ProtocolFixture:
    """Peer protocol of one gateway among three, with its transport replaced."""

    def __init__(self):
        self.clock = ManualClock()
        self.loads = LoadView("g0", 1, self.clock, PrefixCacheIndex())
        self.coordinators = Coordinators("g0", self.clock, MemoryEventLog(), 0.4)
        peers = {"g1": "127.0.0.1:1", "g2": "127.0.0.1:2"}
        self.coordinators.set_peers(peers, {"g1": 1.4, "g2": 0.4})
        self.protocol = PeerProtocol(self.loads, self.coordinators, self.clock, 200.0)
        self.transport = RecordingTransport()
        self.protocol.connection_made(self.transport)

    async def full_reports(self, duration_ms):
        """Return how many full reports each peer gets while the load changes."""
        task = asyncio.create_task(self.protocol.run())
        await asyncio.sleep(0)
        self.transport.sent.clear()
        for _ in range(int(duration_ms / 20)):
            begin(self.loads, "e1", "crew-a", 100, 100)
            await self.clock.advance(20)
        task.cancel()
        return sum(
            datagram.WhichOneof("content") == "report" and not datagram.report.is_brief
            for _, datagram in self.transport.sent
        ) / len(self.coordinators.report_addresses())


async def test_full_reports_are_rare_while_the_coordinators_reply():
    # Guards against traffic between data centres for reports that no gateway uses.
    fixture = ProtocolFixture()
    assert fixture.coordinators.choose(SERVICE) == "g1"
    assert await fixture.full_reports(6_000) <= 6


async def test_full_reports_are_frequent_while_a_coordinator_is_suspected():
    # Guards against gateways that place requests by loads that are a second old.
    fixture = ProtocolFixture()
    fixture.coordinators.choose(SERVICE)
    fixture.coordinators.suspect("g1", "no reply")
    assert await fixture.full_reports(6_000) >= 25


def make_coordinators(name, gateways, services):
    coordinators = Coordinators(name, ManualClock(), MemoryEventLog(), 1.0)
    others = {f"g{n}": f"g{n}" for n in range(gateways) if f"g{n}" != name}
    coordinators.set_peers(others, dict.fromkeys(others, 1.0))
    coordinators.set_services(services)
    return coordinators


def test_number_of_report_receivers_does_not_grow_with_the_fleet():
    # Guards against report traffic that grows with the square of the fleet.
    for gateways in (7, 70, 390):
        coordinators = make_coordinators("g0", gateways, [SERVICE])
        assert len(coordinators.report_addresses()) in (2, 3)


def test_gateways_that_take_over_a_service_get_its_reports():
    # Guards against a new coordinator that knows no load and no cached prompt.
    names = [f"g{number}" for number in range(9)]
    receivers = {name: make_coordinators(name, 9, [SERVICE]) for name in names}
    first = receivers["g0"].choose(SERVICE) or "g0"
    fallback = make_coordinators("g8", 9, [SERVICE])
    fallback.suspect(first, "no reply")
    second = fallback.choose(SERVICE) or "g8"
    for name, coordinators in receivers.items():
        addresses = coordinators.report_addresses() | {name}
        assert {first, second} <= addresses


async def brief_reports(fixture, changes):
    """Return the brief reports that are sent while the load changes."""
    sent = []
    for change in changes:
        fixture.transport.sent.clear()
        change()
        await asyncio.sleep(0.03)
        sent += [d.report for _, d in fixture.transport.sent]
    return sent


async def test_brief_reports_contain_only_recent_changes():
    # Guards against reports that grow with the number of endpoints in use.
    fixture = ProtocolFixture()
    for number in range(40):
        begin(fixture.loads, f"e{number}", "crew-a", 100, 100)
    fixture.coordinators.choose(SERVICE)
    first, *later = await brief_reports(
        fixture,
        [
            lambda: fixture.loads.end_prefill("e0", 100),
            lambda: fixture.loads.end("e0"),
            lambda: fixture.loads.end_prefill("e1", 100),
            lambda: fixture.loads.end("e1"),
        ],
    )
    assert not first.is_partial
    assert len(first.endpoints) == 40
    assert all(report.is_partial for report in later)
    assert max(len(report.endpoints) for report in later[1:]) <= 2


async def test_new_coordinator_gets_all_loads_at_once():
    # Guards against a coordinator that applies changes to loads it does not have.
    fixture = ProtocolFixture()
    # Both peers are larger than this gateway, so the second in rank is a peer too.
    peers = {"g1": "127.0.0.1:1", "g2": "127.0.0.1:2"}
    fixture.coordinators.set_peers(peers, {"g1": 1.4, "g2": 1.4})
    begin(fixture.loads, "e0", "crew-a", 100, 100)
    begin(fixture.loads, "e1", "crew-a", 100, 100)
    first = fixture.coordinators.choose(SERVICE)
    change = [lambda: fixture.loads.end_prefill("e0", 100)]
    await brief_reports(fixture, change)
    fixture.coordinators.suspect(first, "no reply")
    second = fixture.coordinators.choose(SERVICE)
    assert {first, second} == {"g1", "g2"}
    (report,) = await brief_reports(fixture, [lambda: fixture.loads.end("e0")])
    sent_to = {f"{host}:{port}" for (host, port), _ in fixture.transport.sent}
    assert sent_to == {peers[second]}
    assert not report.is_partial
    assert [entry.endpoint for entry in report.endpoints] == ["e1"]


async def test_one_lost_report_does_not_expire_the_load_of_a_gateway():
    # Guards against endpoints that seem idle after the loss of one datagram.
    fixture = ProtocolFixture()
    fixture.coordinators.choose(SERVICE)
    times = []
    task = asyncio.create_task(fixture.protocol.run())
    await asyncio.sleep(0)
    for _ in range(500):
        fixture.transport.sent.clear()
        await fixture.clock.advance(20)
        if fixture.transport.sent:
            times.append(fixture.clock.now_ms())
    task.cancel()
    gaps = [late - early for early, late in zip(times, times[2:], strict=False)]
    assert max(gaps) < REPORT_TTL_MS
