"""Places requests of other gateways in the queues of a coordinator."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway.admission import QueueFactory
from bulrushbend.gateway.call import PromptPart, RequestError
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.placement_client import SendDatagram
from bulrushbend.wire.fleet_pb2 import (
    GatewayDatagram,
    PlaceCancel,
    PlaceReply,
    PlaceRequest,
)

# An asker is told after this time that its request waits: well before it counts the
# reply as missing.
WAITING_REPLY_DELAY_MS = 10.0
# Outcomes are kept for requests that are repeated: four times the time between two.
_OUTCOME_RETENTION_MS = 1_000.0


@dataclass(eq=False)
class _PendingPlacement:
    task: asyncio.Task[None] | None = None
    reply: PlaceReply | None = None


class PlacementServer:
    """Places requests of other gateways in the queues of this one.

    Parameters
    ----------
    name : str
        Name of this gateway.
    incarnation : int
        Start of this gateway.
    queue_for : callable
        Returns the queue of a service.
    is_open : callable
        Whether this gateway takes requests of others now.
    clock : Clock
        Source of time.
    events : EventLog
        Receives refusals.
    send : callable
        Sends a datagram to an address.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        queue_for: QueueFactory,
        is_open: Callable[[], bool],
        clock: Clock,
        events: EventLog,
        send: SendDatagram,
    ):
        self._name = name
        self._incarnation = incarnation
        self._queue_for = queue_for
        self._accepts_placements = is_open
        self._clock = clock
        self._events = events
        self._send = send
        self._pending: dict[tuple[str, int, int], _PendingPlacement] = {}

    def handle_request(self, request: PlaceRequest, address: str) -> None:
        """Take a request that came from an address."""
        key = (request.gateway, request.incarnation, request.number)
        pending = self._pending.get(key)
        if pending is not None:
            self._answer(address, pending.reply or self._reply(request))
            return
        if not self._accepts_placements():
            declined = self._reply(request, PlaceReply.DECLINED, code="not open")
            self._answer(address, declined)
            return
        pending = self._pending[key] = _PendingPlacement()
        pending.task = asyncio.create_task(self._place(pending, request, address))
        pending.task.add_done_callback(lambda _: self._schedule_removal(key, pending))
        loop = asyncio.get_running_loop()
        loop.call_later(
            WAITING_REPLY_DELAY_MS / 1000.0,
            self._send_waiting_reply,
            pending,
            request,
            address,
        )

    def cancel(self, cancel: PlaceCancel) -> None:
        """Take back a request."""
        key = (cancel.gateway, cancel.incarnation, cancel.number)
        pending = self._pending.get(key)
        if pending is not None and pending.task is not None:
            pending.task.cancel()

    async def _place(
        self, pending: _PendingPlacement, request: PlaceRequest, address: str
    ) -> None:
        queue = self._queue_for(request.service)
        started_ms = self._clock.now_ms()
        try:
            placement = await queue.place(_demand(request, started_ms))
        except RequestError as error:
            self._events.write(
                EventKind.PLACEMENT_REFUSED,
                request_id=request.request_id,
                peer=request.gateway,
                service=request.service,
                team=request.team,
                reason=error.code,
                waited_ms=round(self._clock.now_ms() - started_ms, 1),
                waiting=queue.waiting,
            )
            # An asker whose list of endpoints is newer may know one.
            is_unknown = error.code == "no-endpoint"
            result = PlaceReply.DECLINED if is_unknown else PlaceReply.REFUSED
            pending.reply = self._reply(
                request,
                result,
                code=error.code,
                retry_after_ms=error.retry_after_ms or 0.0,
            )
        else:
            pending.reply = self._reply(
                request,
                PlaceReply.GRANTED,
                endpoint=placement.endpoint,
                unread_tokens=placement.unread_tokens,
                fetch_from=placement.fetch_from,
                serial=placement.serial,
            )
        self._answer(address, pending.reply)

    def _schedule_removal(
        self, key: tuple[str, int, int], pending: _PendingPlacement
    ) -> None:
        """Forget a request that ended; one with an outcome may be repeated a while."""
        if pending.reply is None:
            del self._pending[key]
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_OUTCOME_RETENTION_MS / 1000.0, self._pending.pop, key, None)

    def _send_waiting_reply(
        self, pending: _PendingPlacement, request: PlaceRequest, address: str
    ) -> None:
        if pending.reply is None and not pending.task.done():
            self._answer(address, self._reply(request))

    def _reply(
        self, request: PlaceRequest, result: int = PlaceReply.WAITING, **fields: object
    ) -> PlaceReply:
        return PlaceReply(
            coordinator=self._name,
            incarnation=self._incarnation,
            number=request.number,
            result=result,
            **fields,
        )

    def _answer(self, address: str, reply: PlaceReply) -> None:
        self._send(address, GatewayDatagram(reply=reply))


def _demand(request: PlaceRequest, now_ms: float) -> Demand:
    sizes = zip(request.digests, request.part_tokens, strict=False)
    return Demand(
        team=request.team,
        tokens=request.tokens,
        cost=request.cost,
        shared=tuple(PromptPart(digest, tokens) for digest, tokens in sizes),
        avoided=frozenset(request.avoided),
        since_ms=now_ms,
        until_ms=now_ms + request.wait_ms,
        request_id=request.request_id,
        asker=request.gateway,
    )
