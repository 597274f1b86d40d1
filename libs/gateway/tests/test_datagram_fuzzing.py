"""Datagrams that are malformed, or that no gateway of this build sends."""

import asyncio

from fleet_model import ModelGateway
from gateway_builders import SERVICE
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.manifest import MAX_SLOTS
from bulrushbend.core.settings import split_address
from bulrushbend.gateway.endpoint_sharing import EndpointListExchange
from bulrushbend.gateway.peer_protocol import PeerProtocol
from bulrushbend.wire.fleet_pb2 import (
    CrashNote,
    EndpointCrash,
    EndpointEntry,
    EndpointListNote,
    EndpointListPage,
    EndpointListRequest,
    EndpointLoad,
    GatewayDatagram,
    GrantMark,
    LeavingEndpoint,
    LoadReport,
    PlaceCancel,
    PlaceReply,
    PlaceRequest,
    SharedPrompt,
    SuspectPrompt,
    TeamUse,
    WaitingLevel,
)

ADDRESS = ("127.0.0.1", 1)
texts = st.sampled_from(["", "e1", "e2", "g0", "g1", "10.0.0.1:80", "x:y", SERVICE])
addresses = texts | st.sampled_from(
    ["10.0.0.1:0", "10.0.0.1:99999", "a..b:80", "a\0b:80", "10.0.0.1:\u00b2"]
)
counts = st.sampled_from([0, 1, 2, 50, 2**31, 2**32 - 1])
large_counts = counts | st.just(2**64 - 1)


def messages(kind, **fields):
    return st.builds(kind, **fields)


reports = messages(
    LoadReport,
    gateway=texts,
    incarnation=large_counts,
    sequence=large_counts,
    is_brief=st.booleans(),
    is_partial=st.booleans(),
    endpoints=st.lists(
        messages(
            EndpointLoad, endpoint=texts, running=counts, unread_tokens=large_counts
        ),
        max_size=4,
    ),
    teams=st.lists(messages(TeamUse, team=texts, tokens=large_counts), max_size=3),
    waiting=st.lists(
        messages(WaitingLevel, service=texts, level=st.floats()), max_size=3
    ),
    prompts=st.lists(
        messages(
            SharedPrompt,
            endpoint=texts,
            digests=st.lists(texts, max_size=3),
            tokens=st.lists(counts, max_size=3),
            own_tokens=counts,
        ),
        max_size=3,
    ),
    grants=st.lists(
        messages(
            GrantMark, coordinator=texts, incarnation=large_counts, serial=large_counts
        ),
        max_size=3,
    ),
)
datagrams = st.one_of(
    messages(GatewayDatagram, report=reports),
    messages(
        GatewayDatagram,
        request=messages(
            PlaceRequest,
            gateway=texts,
            incarnation=counts,
            number=counts,
            service=texts,
            team=texts,
            tokens=large_counts,
            cost=large_counts,
            digests=st.lists(texts, max_size=3),
            part_tokens=st.lists(counts, max_size=3),
            avoided=st.lists(texts, max_size=3),
            wait_ms=counts,
            data_centre=texts,
        ),
    ),
    messages(
        GatewayDatagram,
        reply=messages(
            PlaceReply,
            coordinator=texts,
            incarnation=counts,
            number=counts,
            result=st.integers(0, 9),
            endpoint=texts,
            unread_tokens=large_counts,
            serial=large_counts,
            retry_after_ms=st.floats(),
        ),
    ),
    messages(
        GatewayDatagram,
        leaving_endpoint=messages(
            LeavingEndpoint,
            endpoint=texts,
            started_ms=st.none() | st.integers(-(2**63), 2**63 - 1),
        ),
    ),
    messages(
        GatewayDatagram,
        crash_note=messages(
            CrashNote,
            crashes=st.lists(
                messages(
                    EndpointCrash,
                    endpoint=texts,
                    age_ms=counts,
                    suspects=st.lists(
                        messages(
                            SuspectPrompt,
                            request_id=texts,
                            digests=st.lists(texts, max_size=3),
                        ),
                        max_size=3,
                    ),
                ),
                max_size=3,
            ),
            sound=st.lists(texts, max_size=3),
        ),
    ),
    messages(
        GatewayDatagram,
        cancel=messages(PlaceCancel, gateway=texts, incarnation=counts, number=counts),
    ),
    messages(
        GatewayDatagram,
        list_note=messages(
            EndpointListNote, gateway=texts, incarnation=counts, version=counts
        ),
    ),
    messages(
        GatewayDatagram,
        list_request=messages(EndpointListRequest, incarnation=counts, version=counts),
    ),
    messages(
        GatewayDatagram,
        list_page=messages(
            EndpointListPage,
            gateway=texts,
            incarnation=counts,
            version=counts,
            page=counts,
            pages=counts,
            entries=st.lists(
                messages(
                    EndpointEntry,
                    id=texts,
                    service=texts,
                    address=addresses,
                    data_centre=texts,
                    slots=counts,
                    started_ms=st.sampled_from([-1, 0, 2**63 - 1]),
                ),
                max_size=3,
            ),
        ),
    ),
)


def place_request(number=1, **fields):
    values = {"tokens": 10, "cost": 20, "digests": ["a"], "part_tokens": [5]}
    request = PlaceRequest(
        gateway="g1",
        number=number,
        service=SERVICE,
        team="crew-a",
        wait_ms=50,
        **(values | fields),
    )
    return GatewayDatagram(request=request)


class Receiver:
    """Gateway that receives datagrams from anywhere."""

    def __init__(self):
        clock, fleet = ManualClock(), {}
        self.gateway = ModelGateway(0, ("e1", "e2"), clock, fleet)
        fleet[self.gateway.name] = self.gateway
        components = self.gateway.components
        self.protocol = PeerProtocol(
            self.gateway.loads, self.gateway.coordinators, clock, 200.0
        )
        self.gateway.server._send = self.gateway.client._send = lambda *_: None
        self.directory = components.directory
        exchange = EndpointListExchange("g0", 1, self.directory, lambda *_: None)
        self.protocol.set_receivers(
            self.gateway.client,
            self.gateway.server,
            exchange,
            components.make_crash_reports(self.gateway.coordinators, lambda *_: None),
            components.make_leaving_reports(self.gateway.coordinators, lambda *_: None),
            components.queue.place_waiting_soon,
        )


async def receive_all(contents):
    receiver = Receiver()
    for content in contents:
        receiver.protocol.datagram_received(content, ADDRESS)
    await asyncio.sleep(0)
    return receiver


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(datagrams, min_size=1, max_size=6))
@example([place_request(n, digests=[], cost=2**64 - 1) for n in (1, 2)])
@example([place_request(n, digests=[], tokens=2**64 - 1) for n in (1, 2)])
@example([place_request(part_tokens=[2**32 - 1])])
def test_message_with_any_fields_is_handled(sent):
    """A datagram with unexpected fields raises an error in the receiving gateway."""

    async def run():
        receiver = Receiver()
        for datagram in sent:
            receiver.protocol._handle_datagram(datagram, "127.0.0.1:1")
        for _ in range(3):
            await asyncio.sleep(0)
        for endpoint in receiver.directory.endpoints:
            assert endpoint.id and 0 < endpoint.slots <= MAX_SLOTS
            host, port = split_address(endpoint.address)
            assert host.encode("idna") and port
        receiver.gateway.loads.totals()
        for is_brief in (True, False):
            receiver.gateway.loads.report(is_brief=is_brief).SerializeToString()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


@settings(max_examples=150, deadline=None)
@given(st.lists(st.binary(max_size=200), max_size=4))
@example([b""])
@example([b"\xff" * 40])
def test_bytes_that_are_no_message_are_dropped(contents):
    """A malformed datagram ends the process that receives it."""
    receiver = asyncio.run(receive_all(contents))
    assert [e.id for e in receiver.directory.endpoints] == ["e1", "e2"]


async def test_unexpected_error_drops_only_the_datagram(caplog):
    # Guards against one message that ends the reading of the socket.
    receiver = await receive_all([])
    receiver.gateway.loads.handle_report = lambda report: 1 / 0
    content = GatewayDatagram(report=LoadReport(gateway="g1")).SerializeToString()
    receiver.protocol.datagram_received(content, ADDRESS)
    assert "unexpected error" in caplog.text
