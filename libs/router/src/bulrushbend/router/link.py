"""Link to one agent: one task that dials, sends batches and receives claims."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.logs import part_logger
from bulrushbend.core.settings import RouterSettings, split_address
from bulrushbend.process.inforce import ManifestInForce
from bulrushbend.router import metrics
from bulrushbend.router.advert import BacklogAdvert
from bulrushbend.router.affinity import RecentPrefixes
from bulrushbend.router.queue import WaitingQueues
from bulrushbend.router.relay import RowRelay
from bulrushbend.router.request import Progress
from bulrushbend.wire.fleet_grpc import LinkStub
from bulrushbend.wire.fleet_pb2 import (
    AgentBatch,
    ClaimMiss,
    Member,
    RouterBatch,
    SlotReport,
)
from bulrushbend.wire.record_groups import (
    AgentRecord,
    group_records,
    ungroup_records,
)

_log = part_logger("router.link")

# Errors that mean the connection is gone, or that the peer does not speak the protocol.
LINK_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    DecodeError,
    OSError,
    TimeoutError,
)
_FIRST_BACK_OFF_MS = 100.0
_LONGEST_BACK_OFF_MS = 5_000.0


@dataclass(frozen=True)
class LinkContext:
    """What all links of a router share.

    Attributes
    ----------
    settings : RouterSettings
        Timeouts.
    member : Member
        Identity of this router, sent as hello.
    in_force : ManifestInForce
        Manifest in force.
    queues : WaitingQueues
        Source of the backlog.
    clock : Clock
        Source of time.
    events : EventLog
        Receives ``link-up`` and ``link-down``.
    on_claim : callable
        Called with the link, the attempt id and the team of each claim.
    on_rows : callable
        Called with the link and the accounting rows that it received.
    """

    settings: RouterSettings
    member: Member
    in_force: ManifestInForce
    queues: WaitingQueues
    clock: Clock
    events: EventLog
    on_claim: Callable[["AgentLink", str, str], None]
    on_rows: Callable[["AgentLink", Sequence[AgentRecord]], None]


class AgentLink:
    """Connection to one agent, dialled again until the agent is no member any more.

    Parameters
    ----------
    context : LinkContext
        What all links share.
    agent : Member
        Identity and addresses of the agent.
    relay : RowRelay
        Accounting rows of the agent's service.
    """

    def __init__(self, context: LinkContext, agent: Member, relay: RowRelay):
        self._context = context
        self._clock = context.clock
        self._agent = agent
        self._relay = relay
        self._silence_ms = float(
            context.settings.silence_for(agent.data_centre, agent.region)
        )
        self._recent = RecentPrefixes()
        self._is_up = False
        self._changed_ms = self._clock.now_ms()
        self._slots = SlotReport()
        self._progress: dict[str, Progress] = {}
        self._peer_version = 0
        self._cursor = 0
        self._misses: list[str] = []
        self._advert = BacklogAdvert(
            context.queues, agent.service, context.clock, context.settings.heartbeat_ms
        )
        self._due_ms = 0.0
        self._sent_ms = 0.0
        self._beat_ms = 0.0
        self._urgent = False
        self._wake = asyncio.Event()
        self._control_bytes = 0

    @property
    def agent(self) -> str:
        """Name of the agent."""
        return self._agent.name

    @property
    def member(self) -> Member:
        """Identity and addresses of the agent."""
        return self._agent

    @property
    def service(self) -> str:
        """Service of the agent's endpoint."""
        return self._agent.service

    @property
    def http_address(self) -> str:
        """Address of the agent's data port."""
        return self._agent.http_address

    @property
    def silence_ms(self) -> float:
        """Silence deadline for the agent's place in milliseconds."""
        return self._silence_ms

    @property
    def is_up(self) -> bool:
        """Whether the agent's batches arrive."""
        return self._is_up

    @property
    def is_usable(self) -> bool:
        """Whether the agent may claim requests."""
        return self._is_up and not self._slots.leaving

    @property
    def has_free_slot(self) -> bool:
        """Whether the agent's last report leaves a slot free."""
        return self._slots.in_use < self._slots.limit

    @property
    def recent(self) -> RecentPrefixes:
        """Prefixes that the agent served recently."""
        return self._recent

    @property
    def control_bytes(self) -> int:
        """Bytes of messages sent and received on this link."""
        return self._control_bytes

    def down_ms(self) -> float:
        """Return for how long the link has been down, 0 when it is up."""
        return 0.0 if self._is_up else self._clock.now_ms() - self._changed_ms

    def progress(self, attempt_id: str) -> Progress | None:
        """Return the agent's last report about an attempt."""
        return self._progress.get(attempt_id)

    def send_miss(self, attempt_id: str) -> None:
        """Tell the agent at once that no request follows its claim."""
        self._misses.append(attempt_id)
        self._send_now()

    def pause(self) -> None:
        """Advertise no backlog for a while, because the data port is unusable."""
        self._advert.pause()
        self._send_now()

    def backlog_changed(self, team: str, at_once: bool) -> None:
        """Advertise a team's backlog, at once or with the next periodic batch."""
        self._advert.change(team)
        if at_once:
            self._send_now()
        else:
            spread_ms = self._context.settings.spread_ms
            self._send_by(self._clock.now_ms() + spread_ms)

    def rows_changed(self) -> None:
        """Send the changed accounting rows with the next periodic batch."""
        self._send_by(self._sent_ms + self._context.settings.spread_ms)

    async def run(self) -> None:
        """Keep the link connected until cancelled."""
        back_off_ms = _FIRST_BACK_OFF_MS
        reason = ""
        while True:
            channel = Channel(*split_address(self._agent.link_address))
            try:
                await self._follow(channel)
            except LINK_ERRORS as error:
                reason = type(error).__name__
            finally:
                was_up = self._is_up
                self._set_down()
                channel.close()
            if was_up:
                back_off_ms = _FIRST_BACK_OFF_MS
                _log.warning("lost the link to %s: %s", self.agent, reason)
                self._context.events.write(
                    EventKind.LINK_DOWN, peer=self.agent, reason=reason
                )
            await self._clock.sleep_ms(back_off_ms * random.uniform(0.5, 1.0))
            back_off_ms = min(_LONGEST_BACK_OFF_MS, back_off_ms * 2)

    async def _follow(self, channel: Channel) -> None:
        settings = self._context.settings
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.timeout(settings.connect_timeout_ms / 1000.0):
                stream = await stack.enter_async_context(
                    LinkStub(channel).Connect.open()
                )
                await stream.send_request()
            self._restart()
            sender = asyncio.create_task(self._send_batches(stream))
            sender.add_done_callback(_ignore_error)
            stack.callback(sender.cancel)
            while not sender.done():
                async with asyncio.timeout(self._silence_ms / 1000.0):
                    batch = await stream.recv_message()
                if batch is None:
                    raise ConnectionError("stream ended")
                self._take_batch(batch)
        raise ConnectionError("stream ended")

    def _restart(self) -> None:
        self._cursor = 0
        self._peer_version = 0
        self._misses.clear()
        self._advert.restart()
        self._due_ms = 0.0
        self._beat_ms = 0.0

    def _set_down(self) -> None:
        if self._is_up:
            metrics.LINKS.dec()
            self._is_up = False
            self._changed_ms = self._clock.now_ms()
        self._progress.clear()

    async def _send_batches(self, stream: Any) -> None:
        first = True
        while True:
            batch = self._compose()
            if first:
                batch.hello.CopyFrom(self._context.member)
            first = False
            if self._is_worth_sending(batch):
                self._count(batch, "sent")
                await stream.send_message(batch)
                self._beat_ms = self._clock.now_ms()
            await self._wait_until_due()

    def _is_worth_sending(self, batch: RouterBatch) -> bool:
        """Whether the batch carries news or is due as a heartbeat."""
        if batch.backlog or batch.misses or batch.rows or batch.backlog_is_complete:
            return True
        return batch.HasField("manifest") or self._clock.now_ms() >= self._beat_due_ms

    @property
    def _beat_due_ms(self) -> float:
        return self._beat_ms + self._context.settings.heartbeat_ms

    async def _wait_until_due(self) -> None:
        self._sent_ms = self._clock.now_ms()
        self._due_ms = self._beat_due_ms
        if self._urgent:
            self._due_ms = self._sent_ms
        elif self._advert.has_changes or self._relay.change > self._cursor:
            spread_ms = self._context.settings.spread_ms
            self._due_ms = min(self._due_ms, self._sent_ms + spread_ms)
        while (remaining_ms := self._due_ms - self._clock.now_ms()) > 0:
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_ms / 1000.0):
                    await self._wake.wait()

    def _send_now(self) -> None:
        self._urgent = True
        self._send_by(0.0)

    def _send_by(self, due_ms: float) -> None:
        if due_ms < self._due_ms:
            self._due_ms = due_ms
            self._wake.set()

    def _compose(self) -> RouterBatch:
        self._urgent = False
        in_force = self._context.in_force
        batch = RouterBatch(manifest_version=in_force.version)
        self._advert.fill(batch)
        batch.misses.extend(ClaimMiss(attempt_id=name) for name in self._misses)
        self._misses.clear()
        changed = self._relay.changed_after(self._cursor, self.agent)
        batch.rows.extend(group_records(changed))
        self._cursor = self._relay.change
        document = in_force.document_for(self._peer_version)
        if document is not None and self._is_up:
            batch.manifest.CopyFrom(document)
            self._peer_version = document.version
        return batch

    def _take_batch(self, batch: AgentBatch) -> None:
        self._count(batch, "received")
        if not self._is_up:
            self._is_up = True
            self._changed_ms = self._clock.now_ms()
            metrics.LINKS.inc()
            self._context.events.write(EventKind.LINK_UP, peer=self.agent)
        self._peer_version = max(self._peer_version, batch.manifest_version)
        if batch.HasField("manifest"):
            self._context.in_force.offer(batch.manifest, peer=self.agent)
        if batch.HasField("slots"):
            self._slots = batch.slots
        if batch.running or batch.running_is_complete:
            self._take_progress(batch)
        if batch.rows:
            self._context.on_rows(self, list(ungroup_records(batch.rows)))
        for claim in batch.claims:
            self._context.on_claim(self, claim.attempt_id, claim.team)

    def _take_progress(self, batch: AgentBatch) -> None:
        now_ms = self._clock.now_ms()
        self._progress = {
            item.attempt_id: Progress(item.produced_bytes, item.finished, now_ms)
            for item in batch.running
        }

    def _count(self, batch: RouterBatch | AgentBatch, direction: str) -> None:
        size = batch.ByteSize()
        self._control_bytes += size
        metrics.LINK_BYTES.labels(direction).inc(size)


def _ignore_error(sender: asyncio.Task[None]) -> None:
    """Take the error of a sender; the receiver notices the same loss."""
    if not sender.cancelled():
        sender.exception()
