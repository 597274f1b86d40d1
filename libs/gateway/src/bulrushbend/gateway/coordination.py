"""Placement by one gateway for all: the coordinator of a service.

Load that this answers: gateways that each choose by reports of the others see the same
room at the same time and take it together, so that an endpoint reads several prompts at
once and its streams pause. One gateway of the fleet therefore chooses for all, with one
queue for all teams. The others ask it by datagram; whoever gets no reply chooses by its
own view, so no request depends on the coordinator.
"""

import asyncio
import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.gateway.admission import AdmissionQueue, QueueFactory
from bulrushbend.gateway.call import CallEnded, Placement, PromptPart, refused
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
# A coordinator tells after this time that a request waits.
NOTICE_MS = 10.0
# Time between two requests for the same outcome, in case the reply was lost.
POLL_MS = 250.0
# Requests without a reply after which the gateway chooses by itself.
_MOST_SILENT = 2
# Time for which a silent coordinator is left out; one request tries it afterwards.
SUSPECT_MS = 1_000.0
# Outcomes are kept for requests that are repeated.
_OUTCOME_LIFE_MS = 1_000.0

Send = Callable[[str, GatewayDatagram], None]


class Coordinators:
    """Which gateway coordinates a service.

    All gateways rank the members of the fleet the same way, by rendezvous hashing, so
    few services change their coordinator when gateways come and go.

    Parameters
    ----------
    name : str
        Name of this gateway.
    clock : Clock
        Source of time.
    events : EventLog
        Receives lost and regained coordinators.
    """

    def __init__(self, name: str, clock: Clock, events: EventLog):
        self._name = name
        self._clock = clock
        self._events = events
        self._addresses: dict[str, str] = {}
        self._suspects: dict[str, float] = {}
        self._in_use: dict[str, str] = {}
        self._rankings: dict[str, list[str]] = {}

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """Take the other gateways and their addresses."""
        self._addresses = dict(addresses)
        self._suspects = {n: at for n, at in self._suspects.items() if n in addresses}
        self._in_use.clear()
        self._rankings.clear()

    def address_of(self, name: str) -> str | None:
        """Return the address of another gateway, None if it is gone."""
        return self._addresses.get(name)

    def choose(self, service: str) -> str | None:
        """Return the coordinator of a service, None if it is this gateway."""
        now_ms = self._clock.now_ms()
        for name in self._ranked(service):
            if name == self._name:
                break
            retry_ms = self._suspects.get(name)
            if retry_ms is None:
                self._in_use[service] = name
                return name
            if now_ms >= retry_ms:
                self._suspects[name] = now_ms + SUSPECT_MS
                return name
        self._in_use.pop(service, None)
        return None

    def addresses_in_use(self) -> set[str]:
        """Return the addresses of the coordinators that were chosen last."""
        found = {self._addresses.get(name) for name in self._in_use.values()}
        return {address for address in found if address}

    def suspect(self, name: str, reason: str) -> None:
        """Leave out a coordinator that does not answer."""
        if name not in self._suspects:
            self._events.write(EventKind.COORDINATOR_LOST, peer=name, reason=reason)
        self._suspects[name] = self._clock.now_ms() + SUSPECT_MS

    def trust(self, name: str) -> None:
        """Use a coordinator that answered."""
        if self._suspects.pop(name, None) is not None:
            self._events.write(EventKind.COORDINATOR_REGAINED, peer=name)

    def _ranked(self, service: str) -> list[str]:
        ranked = self._rankings.get(service)
        if ranked is None:
            names = [self._name, *self._addresses]
            ranked = sorted(names, key=lambda name: _rank(service, name), reverse=True)
            self._rankings[service] = ranked
        return ranked


def _rank(service: str, name: str) -> bytes:
    return hashlib.blake2b(f"{service}/{name}".encode(), digest_size=8).digest()


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
        self._number = 0
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
            self._loads.mark(reply.serial, reply.coordinator, reply.incarnation)
        if not is_open:
            return
        asked.replies += 1
        if reply.result == PlaceReply.WAITING:
            return
        if reply.result == PlaceReply.GRANTED:
            self._loads.take(_placement(reply), reply.coordinator, reply.incarnation)
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


@dataclass(eq=False)
class _Served:
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
        send: Send,
    ):
        self._name = name
        self._incarnation = incarnation
        self._queue_for = queue_for
        self._is_open = is_open
        self._clock = clock
        self._events = events
        self._send = send
        self._served: dict[tuple[str, int, int], _Served] = {}

    def take(self, request: PlaceRequest, address: str) -> None:
        """Take a request that came from an address."""
        key = (request.gateway, request.incarnation, request.number)
        served = self._served.get(key)
        if served is not None:
            self._answer(address, served.reply or self._reply(request))
            return
        if not self._is_open():
            declined = self._reply(request, PlaceReply.DECLINED, code="not open")
            self._answer(address, declined)
            return
        served = self._served[key] = _Served()
        served.task = asyncio.create_task(self._place(key, served, request, address))
        loop = asyncio.get_running_loop()
        loop.call_later(NOTICE_MS / 1000.0, self._give_notice, served, request, address)

    def cancel(self, cancel: PlaceCancel) -> None:
        """Take back a request."""
        key = (cancel.gateway, cancel.incarnation, cancel.number)
        served = self._served.get(key)
        if served is not None and served.task is not None:
            served.task.cancel()

    async def _place(
        self,
        key: tuple[str, int, int],
        served: _Served,
        request: PlaceRequest,
        address: str,
    ) -> None:
        queue = self._queue_for(request.service)
        began_ms = self._clock.now_ms()
        try:
            placement = await queue.place(_demand(request, began_ms))
        except CallEnded as error:
            self._events.write(
                EventKind.PLACEMENT_REFUSED,
                request_id=request.request_id,
                peer=request.gateway,
                service=request.service,
                team=request.team,
                reason=error.code,
                waited_ms=round(self._clock.now_ms() - began_ms, 1),
                waiting=queue.waiting,
            )
            # An asker whose list of endpoints is newer may know one.
            is_unknown = error.code == "no-endpoint"
            result = PlaceReply.DECLINED if is_unknown else PlaceReply.REFUSED
            served.reply = self._reply(
                request,
                result,
                code=error.code,
                retry_after_ms=error.retry_after_ms or 0.0,
            )
        except asyncio.CancelledError:
            del self._served[key]
            raise
        else:
            served.reply = self._reply(
                request,
                PlaceReply.GRANTED,
                endpoint=placement.endpoint,
                unread_tokens=placement.unread_tokens,
                fetch_from=placement.fetch_from,
                serial=placement.serial,
            )
        self._answer(address, served.reply)
        loop = asyncio.get_running_loop()
        loop.call_later(_OUTCOME_LIFE_MS / 1000.0, self._served.pop, key, None)

    def _give_notice(
        self, served: _Served, request: PlaceRequest, address: str
    ) -> None:
        if served.reply is None and not served.task.done():
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
            placement = await self._client.ask(self._service, demand)
            if placement is not None:
                return placement
        return await self._queue.place(demand)
