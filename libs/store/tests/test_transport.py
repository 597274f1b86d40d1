import asyncio
import contextlib

import pytest
from grpclib.server import Server
from store_builders import Cluster

from bulrushbend.core.errors import PeerError, PeerTimeoutError
from bulrushbend.store.configuration import Node
from bulrushbend.store.service import ConsensusService
from bulrushbend.store.transport import GrpcTransport
from bulrushbend.wire.fleet_pb2 import ReadIndexRequest, VoteRequest

PROBE = VoteRequest(candidate="c9", pre_vote=True)


class StatefulMiddlebox:
    """Forwards TCP connections; drops the data of those whose state it has lost."""

    def __init__(self, port):
        self._port = port
        self._tracked = []

    def drop_connections(self):
        self._tracked.clear()

    async def serve(self, reader, writer):
        token = object()
        self._tracked.append(token)
        upstream = await asyncio.open_connection("127.0.0.1", self._port)
        await asyncio.gather(
            self._pump(token, reader, upstream[1]),
            self._pump(token, upstream[0], writer),
        )

    async def _pump(self, token, reader, writer):
        while data := await reader.read(65536):
            if token in self._tracked:
                writer.write(data)
        writer.close()


@contextlib.asynccontextmanager
async def server_behind_middlebox(replica):
    server = Server([ConsensusService(replica)])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    middlebox = StatefulMiddlebox(port)
    front = await asyncio.start_server(middlebox.serve, "127.0.0.1", 0)
    host, port = front.sockets[0].getsockname()
    transport = GrpcTransport()
    try:
        yield middlebox, Node("c1", f"{host}:{port}"), transport
    finally:
        transport.close()
        front.close()
        server.close()


async def test_connection_is_replaced_after_a_timeout(tmp_path):
    """A network device may lose the state of a connection while new ones work."""
    async with (
        Cluster(tmp_path, ["c1"]) as cluster,
        server_behind_middlebox(cluster.leader) as (middlebox, node, transport),
    ):
        for _ in range(2):
            reply = await transport.call(node, "Vote", PROBE, 1000)
            assert reply.disk_id == "founding"
            middlebox.drop_connections()
            with pytest.raises(PeerTimeoutError) as error_info:
                await transport.call(node, "Vote", PROBE, 100)
            assert (error_info.value.step, error_info.value.peer) == ("Vote", "c1")
        assert (await transport.call(node, "Vote", PROBE, 1000)).disk_id == "founding"


async def test_stopped_replica_refuses_calls(tmp_path):
    """A stopped replica must reject calls, so that peers do not keep calling it."""
    async with Cluster(tmp_path, ["c1"]) as cluster:
        replica = cluster.leader
        async with server_behind_middlebox(replica) as (_, node, transport):
            await cluster.stop("c1")
            for method, request in (("Vote", PROBE), ("ReadIndex", ReadIndexRequest())):
                with pytest.raises(PeerError, match="store has failed"):
                    await transport.call(node, method, request, 1000)


@pytest.mark.parametrize("address", ["c1:99999", "c1", "a..b:80", "a\0b:80", ":"])
async def test_invalid_address_raises_a_peer_error(address):
    # Guards against a leader that ends because of the address of one learner.
    transport = GrpcTransport()
    with pytest.raises(PeerError):
        await transport.call(Node("c1", address), "Vote", PROBE, 500.0)
    transport.close()
