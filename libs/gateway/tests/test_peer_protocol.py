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
        self.protocol.set_peers(peers.values())
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
        ) / len(self.protocol._peers)


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


async def test_one_lost_report_does_not_expire_the_load_of_a_gateway():
    # Guards against endpoints that seem idle after the loss of one datagram.
    fixture = ProtocolFixture()
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
