"""How often gateways report to one another."""

import asyncio

from gateway_builders import begin

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.holdings import PromptHoldings
from bulrushbend.gateway.loads import REPORT_LIFE_MS, LoadView
from bulrushbend.gateway.peer_protocol import PeerProtocol
from bulrushbend.wire.fleet_pb2 import GatewayDatagram

SERVICE = "llm"


class SentDatagrams:
    """Socket that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address, GatewayDatagram.FromString(data)))


class ProtocolRig:
    """The spread of one gateway among three, with the socket replaced."""

    def __init__(self):
        self.clock = ManualClock()
        self.loads = LoadView("g0", 1, self.clock, PromptHoldings())
        self.coordinators = Coordinators("g0", self.clock, MemoryEventLog(), 0.4)
        peers = {"g1": "127.0.0.1:1", "g2": "127.0.0.1:2"}
        self.coordinators.set_peers(peers, {"g1": 1.4, "g2": 0.4})
        self.spread = PeerProtocol(self.loads, self.coordinators, self.clock, 200.0)
        self.spread.set_peers(peers.values())
        self.socket = SentDatagrams()
        self.spread.connection_made(self.socket)

    async def full_reports(self, duration_ms):
        """Return how many full reports each peer gets while work changes."""
        task = asyncio.create_task(self.spread.run())
        await asyncio.sleep(0)
        self.socket.sent.clear()
        for _ in range(int(duration_ms / 20)):
            begin(self.loads, "e1", "crew-a", 100, 100)
            await self.clock.advance(20)
        task.cancel()
        return sum(
            datagram.WhichOneof("content") == "report" and not datagram.report.is_brief
            for _, datagram in self.socket.sent
        ) / len(self.spread._peers)


async def test_full_reports_are_rare_while_the_coordinators_answer():
    # Guards against reports that fill the links between data centres for nobody.
    spread = ProtocolRig()
    assert spread.coordinators.choose(SERVICE) == "g1"
    assert await spread.full_reports(6_000) <= 6


async def test_full_reports_come_fast_when_a_coordinator_is_silent():
    # Guards against gateways that place by a view of a second ago.
    spread = ProtocolRig()
    spread.coordinators.choose(SERVICE)
    spread.coordinators.suspect("g1", "no reply")
    assert await spread.full_reports(6_000) >= 25


async def test_one_lost_report_does_not_make_a_gateway_seem_gone():
    # Guards against endpoints that seem free after one datagram was lost.
    spread = ProtocolRig()
    times = []
    task = asyncio.create_task(spread.spread.run())
    await asyncio.sleep(0)
    for _ in range(500):
        spread.socket.sent.clear()
        await spread.clock.advance(20)
        if spread.socket.sent:
            times.append(spread.clock.now_ms())
    task.cancel()
    gaps = [late - early for early, late in zip(times, times[2:], strict=False)]
    assert max(gaps) < REPORT_LIFE_MS
