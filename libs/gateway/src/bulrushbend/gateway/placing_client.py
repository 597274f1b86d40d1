"""Asks the coordinator of a service for an endpoint."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.gateway.admission import AdmissionQueue
from bulrushbend.gateway.call import Placement, refused
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.loads import LoadView
from bulrushbend.wire.fleet_pb2 import (
    GatewayDatagram,
    PlaceCancel,
    PlaceReply,
    PlaceRequest,
)

# Time until a reply counts as missing: a round trip takes 2 to 4 ms within a region,
# and a busy gateway looks at its socket within some 10 ms.
REPLY_MS = 40.0
# Time between two requests for the same outcome, in case the reply was lost.
POLL_MS = 250.0
# Requests without a reply after which the gateway places by itself.
_MOST_SILENT = 2
# Requests that one start of a gateway can number, as a power of two.
_NUMBER_BITS = 24

Send = Callable[[str, GatewayDatagram], None]


@dataclass(eq=False)
class _Asked:
    final: asyncio.Future[PlaceReply]
    replies: int = 0


class PlacementClient:
    """Asks coordinators for endpoints.

    Parameters
    ----------
    name : str
        Name of this gateway.
    incarnation : int
        Start of this gateway.
    coordinators : Coordinators
        Whom to ask.
    loads : LoadView
        Receives what is granted.
    clock : Clock
        Source of time.
    send : callable
        Sends a datagram to an address.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        coordinators: Coordinators,
        loads: LoadView,
        clock: Clock,
        send: Send,
    ):
        self._name = name
        self._incarnation = incarnation
        self._coordinators = coordinators
        self._loads = loads
        self._clock = clock
        self._send = send
        # Numbers of an earlier start are never used again: its late replies could grant
        # an endpoint of another service.
        self._number = (incarnation << _NUMBER_BITS) % (1 << 63)
        self._asked: dict[int, _Asked] = {}

    @property
    def waiting(self) -> int:
        """Number of requests without an outcome."""
        return len(self._asked)

    async def ask(self, service: str, demand: Demand) -> Placement | None:
        """Return what the coordinator of the service grants.

        None means that this gateway has to choose: it is the coordinator itself, or the
        coordinator gives no reply.

        Raises
        ------
        CallEnded
            The coordinator refused the request.
        """
        coordinator = self._coordinators.choose(service)
        if coordinator is None:
            return None
        self._number += 1
        number = self._number
        asked = _Asked(asyncio.get_running_loop().create_future())
        self._asked[number] = asked
        try:
            reply = await self._poll(coordinator, service, demand, number, asked)
        except asyncio.CancelledError:
            self._withdraw(coordinator, number, asked)
            raise
        finally:
            del self._asked[number]
        if reply is None:
            self._coordinators.suspect(coordinator, "no reply")
            return None
        if reply.result == PlaceReply.GRANTED:
            return _placement(reply)
        if reply.result == PlaceReply.REFUSED:
            message = "no endpoint can take the request in time"
            raise refused(503, reply.code, message, reply.retry_after_ms)
        self._coordinators.suspect(coordinator, reply.code or "declined")
        return None

    def take(self, reply: PlaceReply) -> None:
        """Take a reply; a grant counts as own work from now on."""
        if reply.result != PlaceReply.DECLINED:
            self._coordinators.trust(reply.coordinator)
        asked = self._asked.get(reply.number)
        is_open = asked is not None and not asked.final.done()
        if reply.result == PlaceReply.GRANTED and not is_open:
            self._loads.acknowledge_grant(
                reply.serial, reply.coordinator, reply.incarnation
            )
        if not is_open:
            return
        asked.replies += 1
        if reply.result == PlaceReply.WAITING:
            return
        if reply.result == PlaceReply.GRANTED:
            self._loads.add_grant(
                _placement(reply), reply.coordinator, reply.incarnation
            )
        asked.final.set_result(reply)

    async def _poll(
        self,
        coordinator: str,
        service: str,
        demand: Demand,
        number: int,
        asked: _Asked,
    ) -> PlaceReply | None:
        """Repeat a request until its outcome is known or the coordinator is silent."""
        silent = 0
        while silent < _MOST_SILENT:
            address = self._coordinators.address_of(coordinator)
            if address is None:
                return None
            self._send(address, self._request(service, demand, number))
            replies = asked.replies
            wait_ms = POLL_MS if replies else REPLY_MS
            await asyncio.wait({asked.final}, timeout=wait_ms / 1000.0)
            if asked.final.done():
                return asked.final.result()
            silent = silent + 1 if asked.replies == replies else 0
        return None

    def _request(self, service: str, demand: Demand, number: int) -> GatewayDatagram:
        wait_ms = max(0.0, demand.wait_until_ms - self._clock.now_ms())
        return GatewayDatagram(
            request=PlaceRequest(
                gateway=self._name,
                incarnation=self._incarnation,
                number=number,
                service=service,
                team=demand.team,
                tokens=demand.tokens,
                cost=demand.cost,
                digests=[part.digest for part in demand.shared],
                part_tokens=[part.tokens for part in demand.shared],
                avoided=sorted(demand.avoided),
                wait_ms=int(wait_ms),
                request_id=demand.request_id,
            )
        )

    def _withdraw(self, coordinator: str, number: int, asked: _Asked) -> None:
        """Give back what was granted, or take back the request."""
        if asked.final.done():
            if asked.final.result().result == PlaceReply.GRANTED:
                self._loads.release(_placement(asked.final.result()))
            return
        address = self._coordinators.address_of(coordinator)
        if address is not None:
            cancel = PlaceCancel(
                gateway=self._name, incarnation=self._incarnation, number=number
            )
            self._send(address, GatewayDatagram(cancel=cancel))


def _placement(reply: PlaceReply) -> Placement:
    return Placement(
        reply.endpoint,
        reply.unread_tokens,
        reply.fetch_from,
        reply.serial,
        reply.coordinator,
    )


class CoordinatedPlacement:
    """Placement of one service: by its coordinator, or else by the own queue.

    Parameters
    ----------
    service : str
        Name of the service.
    queue : AdmissionQueue
        Queue of this gateway.
    client : PlacementClient
        Asks the coordinator.
    """

    def __init__(self, service: str, queue: AdmissionQueue, client: PlacementClient):
        self._service = service
        self._queue = queue
        self._client = client

    async def place(self, demand: Demand) -> Placement:
        """Wait until an endpoint is chosen for a request and counted as used.

        Requests without a prompt do not slow one another down at an endpoint, so they
        save the round trip.

        Raises
        ------
        CallEnded
            No endpoint can take the request in time; it was not sent.
        """
        if demand.has_prompt:
            placement = await self._client.ask(self._service, demand)
            if placement is not None:
                return placement
        return await self._queue.place(demand)
