"""Requests that make this replica a learner of its fleet."""

import random
from collections.abc import Callable, Sequence

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import PeerError
from bulrushbend.core.logs import part_logger
from bulrushbend.core.settings import PeerAddress
from bulrushbend.store.configuration import Node
from bulrushbend.store.replica import Replica
from bulrushbend.store.transport import PeerTransport
from bulrushbend.wire.fleet_pb2 import VotersRequest

_log = part_logger("control.joining")

_REQUEST_INTERVAL_MS = 400.0
_REQUEST_TIMEOUT_MS = 1_500.0


class JoinRequester:
    """Asks to be added as a learner while this replica is not an active member.

    A replica that starts with an empty data folder may not vote until the leader
    promotes it. A replica that was replaced while it was partitioned does not know that
    it has been removed from the configuration; all it sees is that it has no leader.

    Parameters
    ----------
    replica : Replica
        This replica.
    own_node : Node
        Name and address of this replica.
    known_replicas : callable
        Returns replicas that may know the leader.
    transport : PeerTransport
        Transport to the other replicas.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        replica: Replica,
        own_node: Node,
        known_replicas: Callable[[], Sequence[PeerAddress]],
        transport: PeerTransport,
        clock: Clock,
    ):
        self._replica = replica
        self._own_node = own_node
        self._known_replicas = known_replicas
        self._transport = transport
        self._clock = clock

    async def run(self) -> None:
        """Send join requests at intervals while they are needed, until cancelled."""
        while True:
            await self._clock.sleep_ms(_REQUEST_INTERVAL_MS * random.uniform(0.8, 1.2))
            if not self._replica.is_active_member and not self._replica.has_failed:
                await self._request_to_join()

    async def _request_to_join(self) -> None:
        request = VotersRequest(
            change=VotersRequest.ADD_LEARNER,
            name=self._own_node.name,
            address=self._own_node.address,
        )
        nodes = {peer.address: peer.name for peer in self._known_replicas()}
        nodes |= {node.address: node.name for node in self._replica.nodes}
        nodes.pop(self._own_node.address, None)
        for address in random.sample(sorted(nodes), len(nodes)):
            node = Node(nodes[address], address)
            try:
                reply = await self._transport.call(
                    node, "ChangeVoters", request, _REQUEST_TIMEOUT_MS
                )
            except PeerError as error:
                _log.info("join request failed; trying the next replica: %s", error)
                continue
            if reply.accepted:
                return
