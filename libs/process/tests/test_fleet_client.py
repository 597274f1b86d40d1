import asyncio

import pytest

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.core.settings import PeerAddress, ProcessSettings
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.fleet_client import FleetClient
from bulrushbend.wire.fleet_pb2 import ControlNode, FleetState, Member, StatusDetail


def make_client(*addresses):
    settings = ProcessSettings(
        name="g1",
        vm="vm-1",
        data_centre="papantla",
        http_address="127.0.0.1:1",
        control=[
            PeerAddress(name=f"c{number}", address=address)
            for number, address in enumerate(addresses)
        ],
    )
    events = MemoryEventLog()
    return FleetClient(
        settings, Member(), ActiveManifest(events), Clock(), events, StatusDetail
    )


@pytest.mark.parametrize(
    ("name", "address"), [("c 1", "127.0.0.1:2"), ("c1", "127.0.0.1:99999"), ("", "x")]
)
def test_invalid_replica_in_the_list_of_control_is_skipped(name, address, caplog):
    # Guards against processes that cannot follow control while the list has it.
    client = make_client("127.0.0.1:1")
    nodes = [
        ControlNode(name=name, address=address),
        ControlNode(name="c2", address="127.0.0.1:3"),
    ]
    client._handle_state("c0", FleetState(control=nodes))
    addresses = {replica.address for replica in client._replicas()}
    assert addresses == {"127.0.0.1:1", "127.0.0.1:3"}
    assert "skipped control replica" in caplog.text


@pytest.mark.parametrize("address", ["a..b:80", "a\0b:80"])
async def test_replica_with_an_unusable_host_does_not_end_the_watch(address):
    # Guards against one replica whose address ends the connections to all others.
    client = make_client(address, "127.0.0.1:1")
    task = asyncio.create_task(client.run())
    await asyncio.sleep(0.3)
    assert not task.done()
    task.cancel()
