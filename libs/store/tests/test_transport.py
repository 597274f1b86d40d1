import asyncio
import contextlib

import pytest
from grpclib.server import Server
from store_builders import Cluster

from bulrushbend.core.errors import PeerError, PeerSilent
from bulrushbend.store.configuration import Node
from bulrushbend.store.service import ConsensusService
from bulrushbend.store.transport import GrpcTransport
from bulrushbend.wire.fleet_pb2 import ReadIndexRequest, VoteRequest

PROBE = VoteRequest(candidate="c9", pre_vote=True)


class StatefulDevice:
    """Forwards TCP connections; drops what flows over those it has forgotten."""

    def __init__(self, port):
        self._port = port
        self._known = []

    def forget(self):
        self._known.clear()

    async def serve(self, reader, writer):
        token = object()
        self._known.append(token)
        onward = await asyncio.open_connection("127.0.0.1", self._port)
        await asyncio.gather(
            self._pump(token, reader, onward[1]), self._pump(token, onward[0], writer)
        )

    async def _pump(self, token, reader, writer):
        while data := await reader.read(65536):
            if token in self._known:
                writer.write(data)
        writer.close()


@contextlib.asynccontextmanager
async def server_behind_device(replica):
    server = Server([ConsensusService(replica)])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    device = StatefulDevice(port)
    front = await asyncio.start_server(device.serve, "127.0.0.1", 0)
    host, port = front.sockets[0].getsockname()
    transport = GrpcTransport()
    try:
        yield device, Node("c1", f"{host}:{port}"), transport
    finally:
        transport.close()
        front.close()
        server.close()


async def test_silent_connection_is_replaced_by_a_new_one(tmp_path):
    """A device on the way may forget a connection while new ones work."""
    async with (
        Cluster(tmp_path, ["c1"]) as cluster,
        server_behind_device(cluster.leader) as (device, node, transport),
    ):
        for _ in range(2):
            reply = await transport.call(node, "Vote", PROBE, 1000)
            assert reply.disk_id == "founding"
            device.forget()
            with pytest.raises(PeerSilent) as caught:
                await transport.call(node, "Vote", PROBE, 100)
            assert (caught.value.step, caught.value.peer) == ("Vote", "c1")
        assert (await transport.call(node, "Vote", PROBE, 1000)).disk_id == "founding"


async def test_stopped_replica_refuses_calls(tmp_path):
    """A peer must not keep asking a replica that takes no part any more."""
    async with Cluster(tmp_path, ["c1"]) as cluster:
        replica = cluster.leader
        async with server_behind_device(replica) as (_, node, transport):
            await cluster.stop("c1")
            for method, request in (("Vote", PROBE), ("ReadIndex", ReadIndexRequest())):
                with pytest.raises(PeerError, match="store has failed"):
                    await transport.call(node, method, request, 1000)
