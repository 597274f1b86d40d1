import asyncio
import random

import pytest
from gateway_builders import SERVICE, FakeSource, make_endpoint

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.gateway.endpoint_sharing import EndpointListExchange, reader_rank
from bulrushbend.gateway.endpoints import EndpointDirectory
from bulrushbend.wire.fleet_pb2 import EndpointListPage

POLL_MS = 1_000.0


class SharingGateway:
    """Endpoint list of one gateway, connected with the others of a data centre."""

    def __init__(self, name, group):
        self.name = name
        self.group = group
        self.is_silent = False
        self.directory = EndpointDirectory(
            group.source, group.clock, MemoryEventLog(), POLL_MS, lambda: 1
        )
        self.exchange = EndpointListExchange(name, 1, self.directory, self.send)
        self.task = None

    def send(self, address, datagram):
        self.group.sent += 1
        target = self.group.gateways[address]
        if self.is_silent or target.is_silent:
            return
        if self.group.random.random() < self.group.loss:
            return
        exchange = target.exchange
        match datagram.WhichOneof("content"):
            case "list_note":
                exchange.handle_note(datagram.list_note, self.name)
            case "list_request":
                exchange.handle_request(datagram.list_request, self.name)
            case "list_page":
                exchange.handle_page(datagram.list_page)

    @property
    def known(self):
        return [endpoint.id for endpoint in self.directory.endpoints]


class DataCentre:
    """Gateways that share the reads of one source."""

    def __init__(self, gateways, endpoints=4, loss=0.0):
        self.clock = ManualClock()
        self.source = FakeSource(*(make_endpoint(f"e{i}") for i in range(endpoints)))
        self.loss = loss
        self.random = random.Random(3)
        self.sent = 0
        names = [f"g{number}" for number in range(gateways)]
        self.gateways = {name: SharingGateway(name, self) for name in names}
        cores_by_gateway = dict.fromkeys(names, 0.4)
        for name, gateway in self.gateways.items():
            gateway.exchange.set_addresses([n for n in names if n != name])
            gateway.directory.set_rank(reader_rank(name, cores_by_gateway))
        self.ranked = sorted(names, key=lambda n: reader_rank(n, cores_by_gateway))

    async def __aenter__(self):
        for gateway in self.gateways.values():
            gateway.task = asyncio.create_task(gateway.directory.run())
        await self.run(100)
        self.source.calls = 0
        return self

    async def __aexit__(self, *_):
        for gateway in self.gateways.values():
            gateway.task.cancel()

    async def run(self, duration_ms):
        for _ in range(int(duration_ms / 20)):
            await self.clock.advance(20)
            for _ in range(4):
                await asyncio.sleep(0)

    def stop(self, name):
        self.gateways[name].is_silent = True
        self.gateways[name].task.cancel()


def test_largest_gateway_reads_the_list():
    cores_by_gateway = {"g1": 0.4, "g2": 1.4, "g3": 0.4}
    ranks = [reader_rank(name, cores_by_gateway) for name in cores_by_gateway]
    assert ranks[1] == 0
    assert sorted(ranks) == [0, 1, 2]


async def test_one_gateway_reads_the_list_for_its_data_centre():
    # Guards against calls to the platform that grow with the number of gateways.
    async with DataCentre(14) as data_centre:
        await data_centre.run(20_000)
        assert data_centre.source.calls <= 24
        for gateway in data_centre.gateways.values():
            assert gateway.directory.age_ms < 1.5 * POLL_MS


async def test_changed_list_reaches_all_gateways_with_the_next_read():
    # Guards against requests that are sent to an endpoint which drains.
    async with DataCentre(14) as data_centre:
        data_centre.source.endpoints = [
            make_endpoint("e0", is_leaving=True),
            make_endpoint("e9"),
        ]
        await data_centre.run(1.2 * POLL_MS)
        for gateway in data_centre.gateways.values():
            ready = gateway.directory.of_service(SERVICE)
            assert [endpoint.id for endpoint in ready] == ["e9"]


async def test_lost_reader_is_replaced():
    # Guards against a data centre whose list ages after the loss of one gateway.
    async with DataCentre(14) as data_centre:
        data_centre.stop(data_centre.ranked[0])
        data_centre.source.endpoints = [make_endpoint("e9")]
        await data_centre.run(2.5 * POLL_MS)
        for name in data_centre.ranked[1:]:
            assert data_centre.gateways[name].known == ["e9"]
        data_centre.source.calls = 0
        await data_centre.run(10_000)
        assert data_centre.source.calls <= 8


async def test_list_is_at_most_five_polls_old_when_several_readers_are_lost():
    async with DataCentre(14) as data_centre:
        for name in data_centre.ranked[:6]:
            data_centre.stop(name)
        data_centre.source.endpoints = [make_endpoint("e9")]
        await data_centre.run(5.5 * POLL_MS)
        for name in data_centre.ranked[6:]:
            assert data_centre.gateways[name].known == ["e9"]


@pytest.mark.parametrize("endpoints", [0, 1, 50, 51, 750])
async def test_list_of_any_size_arrives_although_datagrams_are_lost(endpoints):
    # Guards against a list that is never complete when one of its pages is lost.
    async with DataCentre(5, endpoints=1, loss=0.1) as data_centre:
        found = [make_endpoint(f"n{number}") for number in range(endpoints)]
        data_centre.source.endpoints = found
        await data_centre.run(8_000)
        for gateway in data_centre.gateways.values():
            assert gateway.known == [endpoint.id for endpoint in found]


async def test_list_from_before_a_pause_is_not_adopted():
    # Guards against a gateway that was paused and passes on a list from before it.
    async with DataCentre(2) as data_centre:
        first, second = (data_centre.gateways[name] for name in data_centre.ranked)
        assert not second.directory.adopt([make_endpoint("old")], 60_000.0)
        assert second.known == first.known
        stale = [make_endpoint("older")]
        assert second.directory.adopt([make_endpoint("new")], 0.0)
        assert not second.directory.adopt(stale, 1.0)
        assert second.known == ["new"]


async def test_source_that_fails_is_not_asked_by_all_gateways_at_once():
    # Guards against an outage of the platform that multiplies the calls.
    async with DataCentre(14) as data_centre:
        data_centre.source.fails = True
        await data_centre.run(10_000)
        assert data_centre.source.calls <= 14 * 10 / 2
        assert data_centre.gateways["g0"].known == ["e0", "e1", "e2", "e3"]


@pytest.mark.parametrize(
    "fields",
    [
        {"id": ""},
        {"id": "e 9"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:\u00b2"},
        {"address": "a..b:80"},
        {"address": "a\0b:80"},
        {"slots": 0},
        {"slots": 2**32 - 1},
        {"started_ms": -1},
    ],
    ids=str,
)
async def test_invalid_entry_of_another_gateway_is_skipped(fields, caplog):
    # Guards against an endpoint that every request fails at, or that hides the others.
    async with DataCentre(1) as data_centre:
        gateway = data_centre.gateways["g0"]
        await data_centre.clock.advance(POLL_MS / 2)
        valid = {
            "id": "e9",
            "service": SERVICE,
            "address": "10.0.0.1:80",
            "data_centre": "papantla",
            "slots": 1,
        }
        for version in (1, 2):
            page = EndpointListPage(gateway="g1", version=version, pages=1)
            page.entries.add(**(valid | {"id": "e8"}))
            page.entries.add(**(valid | fields))
            gateway.exchange.handle_page(page)
        assert gateway.known == ["e8"]
        assert caplog.text.count("skipped the entry") == 1
