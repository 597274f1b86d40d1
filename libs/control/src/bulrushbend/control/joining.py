"""Asks the other replicas to take this one in while none of them leads it."""

import random
from collections.abc import Callable, Sequence

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import PeerError
from bulrushbend.core.logs import get_logger
from bulrushbend.core.settings import PeerAddress
from bulrushbend.store.configuration import Node
from bulrushbend.store.replica import Replica
from bulrushbend.store.transport import PeerTransport
from bulrushbend.wire.fleet_pb2 import VotersRequest

_log = get_logger("control.joining")

_ASK_MS = 400.0
_TIMEOUT_MS = 1_500.0


class Joining:
    """Asks to learn as long as this replica is not listed or has no leader.

    A replica on an empty folder has no vote until the leader promotes it. One that was
    replaced while it was cut off does not know that it is not listed any more.

    Parameters
    ----------
    replica : Replica
        This replica.
    own : Node
        Its name and address.
    contacts : callable
        Returns replicas that may know a leader.
    transport : PeerTransport
        Carries the calls.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        replica: Replica,
        own: Node,
        contacts: Callable[[], Sequence[PeerAddress]],
        transport: PeerTransport,
        clock: Clock,
    ):
        self._replica = replica
        self._own = own
        self._contacts = contacts
        self._transport = transport
        self._clock = clock

    async def run(self) -> None:
        """Ask again and again until cancelled."""
        while True:
            await self._clock.sleep_ms(_ASK_MS * random.uniform(0.8, 1.2))
            if not self._replica.is_active_member and not self._replica.has_failed:
                await self._ask()

    async def _ask(self) -> None:
        request = VotersRequest(
            change=VotersRequest.ADD_LEARNER,
            name=self._own.name,
            address=self._own.address,
        )
        nodes = {contact.address: contact.name for contact in self._contacts()}
        nodes |= {node.address: node.name for node in self._replica.nodes}
        nodes.pop(self._own.address, None)
        for address in random.sample(sorted(nodes), len(nodes)):
            node = Node(nodes[address], address)
            try:
                reply = await self._transport.call(
                    node, "ChangeVoters", request, _TIMEOUT_MS
                )
            except PeerError as error:
                _log.info("cannot ask to join: %s", error)
                continue
            if reply.accepted:
                return
