"""Asks the coordinator of a service for an endpoint."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.gateway.admission import AdmissionQueue
from bulrushbend.gateway.call import Placement, not_run_error
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
REPLY_TIMEOUT_MS = 40.0
# Time between two requests for the same outcome, in case the reply was lost.
POLL_INTERVAL_MS = 250.0
# Requests without a reply after which the gateway places by itself.
_MAX_UNANSWERED_REQUESTS = 2
# Requests that one start of a gateway can number, as a power of two.
_NUMBER_BITS = 24

SendDatagram = Callable[[str, GatewayDatagram], None]


@dataclass(eq=False)
class _PendingRequest:
    outcome: asyncio.Future[PlaceReply]
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
        send: SendDatagram,
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
        self._pending: dict[int, _PendingRequest] = {}

    @property
    def waiting(self) -> int:
        """Number of requests without an outcome."""
        return len(self._pending)

    async def request_placement(self, service: str, demand: Demand) -> Placement | None:
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
        pending = _PendingRequest(asyncio.get_running_loop().create_future())
        self._pending[number] = pending
        try:
            reply = await self._poll(coordinator, service, demand, number, pending)
        except asyncio.CancelledError:
            self._cancel(coordinator, number, pending)
            raise
        finally:
            del self._pending[number]
        if reply is None:
            self._coordinators.suspect(coordinator, "no reply")
            return None
        if reply.result == PlaceReply.GRANTED:
            return _placement(reply)
        if reply.result == PlaceReply.REFUSED:
            message = "no endpoint can take the request in time"
            raise not_run_error(503, reply.code, message, reply.retry_after_ms)
        self._coordinators.suspect(coordinator, reply.code or "declined")
        return None

    def handle_reply(self, reply: PlaceReply) -> None:
        """Take a reply; a grant counts as own work from now on."""
        if reply.result != PlaceReply.DECLINED:
            self._coordinators.trust(reply.coordinator)
        pending = self._pending.get(reply.number)
        is_open = pending is not None and not pending.outcome.done()
        if reply.result == PlaceReply.GRANTED and not is_open:
            self._loads.mark(reply.serial, reply.coordinator, reply.incarnation)
        if not is_open:
            return
        pending.replies += 1
        if reply.result == PlaceReply.WAITING:
            return
        if reply.result == PlaceReply.GRANTED:
            self._loads.take(_placement(reply), reply.coordinator, reply.incarnation)
        pending.outcome.set_result(reply)

    async def _poll(
        self,
        coordinator: str,
        service: str,
        demand: Demand,
        number: int,
        pending: _PendingRequest,
    ) -> PlaceReply | None:
        """Repeat a request until its outcome is known or the coordinator is silent."""
        unanswered = 0
        while unanswered < _MAX_UNANSWERED_REQUESTS:
            address = self._coordinators.address_of(coordinator)
            if address is None:
                return None
            self._send(address, self._request(service, demand, number))
            replies = pending.replies
            wait_ms = POLL_INTERVAL_MS if replies else REPLY_TIMEOUT_MS
            await asyncio.wait({pending.outcome}, timeout=wait_ms / 1000.0)
            if pending.outcome.done():
                return pending.outcome.result()
            unanswered = unanswered + 1 if pending.replies == replies else 0
        return None

    def _request(self, service: str, demand: Demand, number: int) -> GatewayDatagram:
        wait_ms = max(0.0, demand.until_ms - self._clock.now_ms())
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

    def _cancel(self, coordinator: str, number: int, pending: _PendingRequest) -> None:
        """Give back what was granted, or take back the request."""
        if pending.outcome.done():
            if pending.outcome.result().result == PlaceReply.GRANTED:
                self._loads.release(_placement(pending.outcome.result()))
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
        if demand.reads_prompt:
            placement = await self._client.request_placement(self._service, demand)
            if placement is not None:
                return placement
        return await self._queue.place(demand)
