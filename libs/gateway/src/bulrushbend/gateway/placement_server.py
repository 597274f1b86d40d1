"""Server that places requests of other gateways at the coordinator of a service."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.logs import get_logger
from bulrushbend.gateway.admission import QueueFactory
from bulrushbend.gateway.call import (
    MAX_COST,
    MAX_TOKENS,
    QUARANTINED,
    REQUEST_QUARANTINED,
    PromptPart,
    RequestError,
)
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.placement_client import DatagramSender
from bulrushbend.gateway.quarantine import PromptQuarantine
from bulrushbend.gateway.request_quarantine import RequestQuarantine
from bulrushbend.wire.fleet_pb2 import (
    GatewayDatagram,
    PlaceCancel,
    PlaceReply,
    PlaceRequest,
)

_log = get_logger("gateway.placement")

# Delay after which a gateway is notified that its request waits. It must be well below
# `placement_client.REPLY_TIMEOUT_MS`, after which the gateway counts the reply as
# missing.
WAITING_REPLY_DELAY_MS = 10.0
# Time for which final replies are kept for repeated requests: four times
# `placement_client.POLL_INTERVAL_MS`.
_OUTCOME_RETENTION_MS = 1_000.0


@dataclass(eq=False)
class _PlacementState:
    request: PlaceRequest
    address: str
    task: asyncio.Task[None] | None = None
    reply: PlaceReply | None = None


class PlacementServer:
    """Places requests of other gateways through the queues of this gateway.

    Parameters
    ----------
    name : str
        Name of this gateway.
    incarnation : int
        Incarnation of this gateway.
    queue_for : callable
        Returns the queue of a service.
    accepts_placements : callable
        Returns whether this gateway accepts requests of other gateways now.
    quarantine : PromptQuarantine
        Prompts that are not sent to endpoints. A gateway that has just started does
        not know them yet.
    request_quarantine : RequestQuarantine
        Requests that are not sent to endpoints.
    clock : Clock
        Source of time.
    events : EventLog
        Receives refused placements.
    send : callable
        Sends a datagram to an address.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        queue_for: QueueFactory,
        accepts_placements: Callable[[], bool],
        quarantine: PromptQuarantine,
        request_quarantine: RequestQuarantine,
        clock: Clock,
        events: EventLog,
        send: DatagramSender,
    ):
        self._name = name
        self._incarnation = incarnation
        self._queue_for = queue_for
        self._accepts_placements = accepts_placements
        self._quarantine = quarantine
        self._request_quarantine = request_quarantine
        self._clock = clock
        self._events = events
        self._send = send
        self._placements: dict[tuple[str, int, int], _PlacementState] = {}

    def handle_request(self, request: PlaceRequest, address: str) -> None:
        """Handle a request that was received from `address`."""
        key = (request.gateway, request.incarnation, request.number)
        state = self._placements.get(key)
        if state is not None:
            self._send_reply(address, state.reply or self._build_reply(request))
            return
        if not self._accepts_placements():
            declined = self._build_reply(request, PlaceReply.DECLINED, code="not open")
            self._send_reply(address, declined)
            return
        for code, quarantine_ms in (
            (QUARANTINED, self._quarantine.remaining_ms(request.digests, key)),
            (
                REQUEST_QUARANTINED,
                self._request_quarantine.remaining_ms(request.identity, key),
            ),
        ):
            if quarantine_ms > 0.0:
                refused = self._build_reply(
                    request,
                    PlaceReply.REFUSED,
                    code=code,
                    retry_after_ms=quarantine_ms,
                )
                self._send_reply(address, refused)
                return
        state = self._placements[key] = _PlacementState(request, address)
        state.task = asyncio.create_task(self._place(state))
        state.task.add_done_callback(lambda _: self._schedule_removal(key, state))
        loop = asyncio.get_running_loop()
        loop.call_later(
            WAITING_REPLY_DELAY_MS / 1000.0,
            self._send_waiting_reply,
            state,
        )

    def cancel(self, cancel: PlaceCancel) -> None:
        """Cancel a request."""
        key = (cancel.gateway, cancel.incarnation, cancel.number)
        state = self._placements.get(key)
        if state is not None and state.task is not None:
            state.task.cancel()

    def decline_waiting(self) -> None:
        """Decline the requests that wait, so that other coordinators place them."""
        for state in list(self._placements.values()):
            if state.reply is None:
                state.reply = self._build_reply(
                    state.request, PlaceReply.DECLINED, code="not open"
                )
                state.task.cancel()
                self._send_reply(state.address, state.reply)

    async def _place(self, state: _PlacementState) -> None:
        request = state.request
        queue = self._queue_for(request.service)
        started_ms = self._clock.now_ms()
        try:
            placement = await queue.place(_demand_from_request(request, started_ms))
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
            # The other gateway may know an endpoint from a newer list.
            is_unknown = error.code == "no-endpoint"
            result = PlaceReply.DECLINED if is_unknown else PlaceReply.REFUSED
            state.reply = self._build_reply(
                request,
                result,
                code=error.code,
                retry_after_ms=error.retry_after_ms or 0.0,
            )
        except Exception as error:
            _log.error(
                "placement of request %s for gateway %s failed with unexpected error: "
                "%r; declining it",
                request.request_id,
                request.gateway,
                error,
            )
            state.reply = self._build_reply(
                request, PlaceReply.DECLINED, code="internal error"
            )
        else:
            state.reply = self._build_reply(
                request,
                PlaceReply.GRANTED,
                endpoint=placement.endpoint,
                unread_tokens=placement.unread_tokens,
                fetch_from=placement.fetch_from,
                serial=placement.serial,
            )
        self._send_reply(state.address, state.reply)

    def _schedule_removal(
        self, key: tuple[str, int, int], state: _PlacementState
    ) -> None:
        """Remove a request that has ended; its final reply is kept for a time."""
        if state.reply is None or state.reply.result != PlaceReply.GRANTED:
            self._quarantine.end_request(key)
            self._request_quarantine.end_request(key)
        if state.reply is None:
            del self._placements[key]
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_OUTCOME_RETENTION_MS / 1000.0, self._placements.pop, key, None)

    def _send_waiting_reply(self, state: _PlacementState) -> None:
        if state.reply is None and not state.task.done():
            self._send_reply(state.address, self._build_reply(state.request))

    def _build_reply(
        self, request: PlaceRequest, result: int = PlaceReply.WAITING, **fields: object
    ) -> PlaceReply:
        return PlaceReply(
            coordinator=self._name,
            incarnation=self._incarnation,
            number=request.number,
            result=result,
            **fields,
        )

    def _send_reply(self, address: str, reply: PlaceReply) -> None:
        self._send(address, GatewayDatagram(reply=reply))


def _demand_from_request(request: PlaceRequest, now_ms: float) -> Demand:
    sizes = zip(request.digests, request.part_tokens, strict=False)
    return Demand(
        team=request.team,
        tokens=min(request.tokens, MAX_TOKENS),
        cost=min(request.cost, MAX_COST),
        shared=tuple(PromptPart(digest, tokens) for digest, tokens in sizes),
        avoided=frozenset(request.avoided).difference(request.paused),
        wait_start_ms=now_ms,
        wait_until_ms=now_ms + request.wait_ms,
        request_id=request.request_id,
        requester=request.gateway,
        data_centre=request.data_centre,
        identity=request.identity,
        pauses={
            name: now_ms + pause_ms
            for name, pause_ms in zip(request.paused, request.pause_ms, strict=False)
        },
    )
