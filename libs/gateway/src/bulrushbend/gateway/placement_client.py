"""Client that requests placements from the coordinator of a service."""

import asyncio
import dataclasses
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.logs import get_logger
from bulrushbend.gateway.admission import AdmissionQueue
from bulrushbend.gateway.call import (
    MAX_TOKENS,
    QUARANTINED,
    REQUEST_QUARANTINED,
    Placement,
    RequestError,
    not_run_error,
    quarantine_error,
)
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.endpoint_notices import EndpointNotices
from bulrushbend.gateway.endpoint_validation import check_address
from bulrushbend.gateway.loads import LoadView
from bulrushbend.wire.fleet_pb2 import (
    GatewayDatagram,
    PlaceCancel,
    PlaceReply,
    PlaceRequest,
)

_log = get_logger("gateway.placement")

# Time after which a reply counts as missing. A round trip takes 2 to 4 ms within a
# region, and a busy gateway reads its socket within about 10 ms.
REPLY_TIMEOUT_MS = 40.0
# Interval at which a waiting request is repeated, in case its final reply was lost.
POLL_INTERVAL_MS = 250.0
# Unanswered requests after which the gateway chooses the endpoint itself.
_MAX_UNANSWERED_REQUESTS = 2
# Coordinators that a request asks in turn before the gateway chooses the endpoint.
_MAX_COORDINATORS = 2
# Paused endpoints that a request names; a datagram with them stays under 8 KB.
_MAX_PAUSED = 256
# Longest pause that fits in a request.
_MAX_PAUSE_MS = (1 << 32) - 1
# Bits of a request number that count the requests of one incarnation.
_NUMBER_BITS = 24
# Range of the times in refusals, and the time used instead of one outside of it.
_MAX_RETRY_AFTER_MS = 3_600_000.0
_DEFAULT_RETRY_AFTER_MS = 1_000.0

DatagramSender = Callable[[str, GatewayDatagram], None]


@dataclass(eq=False)
class _PendingRequest:
    final_reply: asyncio.Future[PlaceReply]
    replies: int = 0


class PlacementClient:
    """Requests endpoints from coordinators.

    Parameters
    ----------
    name : str
        Name of this gateway.
    incarnation : int
        Incarnation of this gateway.
    coordinators : Coordinators
        Chooses the coordinator of a service.
    loads : LoadView
        Receives the granted placements.
    clock : Clock
        Source of time.
    send : callable
        Sends a datagram to an address.
    data_centre : str, default=""
        Data centre of this gateway.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        coordinators: Coordinators,
        loads: LoadView,
        clock: Clock,
        send: DatagramSender,
        data_centre: str = "",
    ):
        self._name = name
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._coordinators = coordinators
        self._loads = loads
        self._clock = clock
        self._send = send
        # Numbers of an earlier incarnation are never reused: a delayed reply to one of
        # them could grant an endpoint of another service.
        self._number = (incarnation << _NUMBER_BITS) % (1 << 63)
        self._pending: dict[int, _PendingRequest] = {}

    @property
    def waiting(self) -> int:
        """Number of requests without a final reply."""
        return len(self._pending)

    async def request_placement(
        self, service: str, demand: Demand, check: Callable[[], None]
    ) -> Placement | None:
        """Return the placement granted by a coordinator of the service.

        None means that this gateway has to choose the endpoint: it is the coordinator
        itself, or the first two in rank declined or did not reply.

        Parameters
        ----------
        service : str
            Name of the service.
        demand : Demand
            The request.
        check : callable
            Raises `RequestError` if the request need not wait any longer.

        Raises
        ------
        RequestError
            The coordinator refused the request, or `check` did.
        """
        for _ in range(_MAX_COORDINATORS):
            coordinator = self._coordinators.choose(service)
            if coordinator is None:
                return None
            placement = await self._request_from(coordinator, service, demand, check)
            if placement is not None:
                return placement
        return None

    async def _request_from(
        self,
        coordinator: str,
        service: str,
        demand: Demand,
        check: Callable[[], None],
    ) -> Placement | None:
        """Return the placement granted by a coordinator, None if it grants none.

        Raises
        ------
        RequestError
            The coordinator refused the request, or `check` did.
        """
        self._number += 1
        number = self._number
        pending = _PendingRequest(asyncio.get_running_loop().create_future())
        self._pending[number] = pending
        try:
            reply = await self._poll(
                coordinator, service, demand, number, pending, check
            )
        except (asyncio.CancelledError, RequestError):
            self._cancel(coordinator, number, pending)
            raise
        finally:
            del self._pending[number]
        if reply is None:
            self._coordinators.suspect(coordinator, "no reply")
            return None
        if reply.result == PlaceReply.GRANTED:
            return _placement_from_reply(reply)
        if reply.result == PlaceReply.REFUSED:
            retry_after_ms = _retry_after_from_reply(reply)
            if reply.code in (QUARANTINED, REQUEST_QUARANTINED):
                raise quarantine_error(retry_after_ms, reply.code)
            message = "no endpoint can take the request in time"
            raise not_run_error(503, reply.code, message, retry_after_ms)
        self._coordinators.suspect(coordinator, reply.code or "declined")
        return None

    def handle_reply(self, reply: PlaceReply) -> None:
        """Handle a reply; a grant is counted as own load from now on."""
        if reply.result != PlaceReply.DECLINED:
            self._coordinators.trust(reply.coordinator)
        pending = self._pending.get(reply.number)
        is_pending = pending is not None and not pending.final_reply.done()
        if reply.result == PlaceReply.GRANTED and not is_pending:
            self._loads.acknowledge_grant(
                reply.serial, reply.coordinator, reply.incarnation
            )
        if not is_pending:
            return
        pending.replies += 1
        if reply.result == PlaceReply.WAITING:
            return
        if reply.result == PlaceReply.GRANTED:
            self._loads.add_grant(
                _placement_from_reply(reply), reply.coordinator, reply.incarnation
            )
        pending.final_reply.set_result(reply)

    async def _poll(
        self,
        coordinator: str,
        service: str,
        demand: Demand,
        number: int,
        pending: _PendingRequest,
        check: Callable[[], None],
    ) -> PlaceReply | None:
        """Repeat a request until the final reply; None if the replies stop."""
        unanswered = 0
        while unanswered < _MAX_UNANSWERED_REQUESTS:
            address = self._coordinators.address_of(coordinator)
            if address is None:
                return None
            self._send(address, self._build_request(service, demand, number))
            replies = pending.replies
            wait_ms = POLL_INTERVAL_MS if replies else REPLY_TIMEOUT_MS
            await asyncio.wait({pending.final_reply}, timeout=wait_ms / 1000.0)
            if pending.final_reply.done():
                return pending.final_reply.result()
            check()
            unanswered = unanswered + 1 if pending.replies == replies else 0
        return None

    def _build_request(
        self, service: str, demand: Demand, number: int
    ) -> GatewayDatagram:
        now_ms = self._clock.now_ms()
        wait_ms = max(0.0, demand.wait_until_ms - now_ms)
        pauses = {
            name: end_ms - now_ms
            for name, end_ms in demand.pauses.items()
            if name not in demand.avoided and end_ms > now_ms
        }
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
                # A coordinator of an earlier release avoids paused endpoints for good.
                avoided=sorted(demand.avoided.union(pauses)),
                wait_ms=int(wait_ms),
                request_id=demand.request_id,
                data_centre=self._data_centre,
                identity=demand.identity,
                paused=pauses.keys(),
                pause_ms=[min(_MAX_PAUSE_MS, math.ceil(n)) for n in pauses.values()],
            )
        )

    def _cancel(self, coordinator: str, number: int, pending: _PendingRequest) -> None:
        """Release the granted placement, or cancel the request at the coordinator."""
        if pending.final_reply.done():
            if pending.final_reply.result().result == PlaceReply.GRANTED:
                self._loads.release(_placement_from_reply(pending.final_reply.result()))
            return
        address = self._coordinators.address_of(coordinator)
        if address is not None:
            cancel = PlaceCancel(
                gateway=self._name, incarnation=self._incarnation, number=number
            )
            self._send(address, GatewayDatagram(cancel=cancel))


def _placement_from_reply(reply: PlaceReply) -> Placement:
    return Placement(
        reply.endpoint,
        min(reply.unread_tokens, MAX_TOKENS),
        _fetch_address_from_reply(reply),
        reply.serial,
        reply.coordinator,
    )


def _fetch_address_from_reply(reply: PlaceReply) -> str:
    """Return the address to fetch cached parts from, empty if it is invalid."""
    try:
        return check_address(reply.fetch_from) if reply.fetch_from else ""
    except ValueError:
        return ""


def _retry_after_from_reply(reply: PlaceReply) -> float:
    if 0.0 <= reply.retry_after_ms <= _MAX_RETRY_AFTER_MS:
        return reply.retry_after_ms
    _log.warning(
        "coordinator %s refused a request with an invalid time of %r ms; using %r ms",
        reply.coordinator,
        reply.retry_after_ms,
        _DEFAULT_RETRY_AFTER_MS,
    )
    return _DEFAULT_RETRY_AFTER_MS


class CoordinatedPlacement:
    """Placement for one service, by its coordinator or else by the local queue.

    Parameters
    ----------
    service : str
        Name of the service.
    queue : AdmissionQueue
        Queue of this gateway.
    client : PlacementClient
        Requests placements from the coordinator.
    notices : EndpointNotices
        Determines which endpoints want no requests.
    """

    def __init__(
        self,
        service: str,
        queue: AdmissionQueue,
        client: PlacementClient,
        notices: EndpointNotices,
    ):
        self._service = service
        self._queue = queue
        self._client = client
        self._notices = notices

    async def place(self, demand: Demand) -> Placement:
        """Wait until an endpoint is chosen for a request and its load is counted.

        Requests without a prompt do not slow one another down at an endpoint. They are
        placed locally, which saves the round trip to the coordinator, unless endpoints
        limit what they get from all gateways together.

        Raises
        ------
        RequestError
            No endpoint can accept the request in time; it was not sent.
        """
        self._queue.check_notices()
        if demand.has_prompt or self._queue.is_limited():
            # The coordinator does not know which endpoints paused this gateway.
            pauses = itertools.islice(self._notices.pauses().items(), _MAX_PAUSED)
            asked = dataclasses.replace(demand, pauses=dict(pauses))
            placement = await self._client.request_placement(
                self._service, asked, self._queue.check_notices
            )
            if placement is not None:
                return placement
        return await self._queue.place(demand)
