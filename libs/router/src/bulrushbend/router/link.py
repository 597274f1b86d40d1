"""Link to one agent: a task that connects, sends batches and receives claims."""

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
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.router import metrics
from bulrushbend.router.affinity import RecentPrefixes
from bulrushbend.router.backlog import BacklogReporter
from bulrushbend.router.queue import WaitingQueues
from bulrushbend.router.relay import AccountingRelay
from bulrushbend.router.request import AttemptProgress
from bulrushbend.wire.fleet_grpc import LinkStub
from bulrushbend.wire.fleet_pb2 import (
    AgentBatch,
    ClaimMiss,
    Member,
    RouterBatch,
    SlotReport,
)
from bulrushbend.wire.record_groups import AgentRecord, group_records, ungroup_records

_log = part_logger("router.link")

# Errors of a lost connection or of a peer that violates the protocol.
LINK_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    DecodeError,
    OSError,
    TimeoutError,
)
_INITIAL_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 5_000.0


@dataclass(frozen=True)
class LinkContext:
    """Dependencies shared by all links of a router.

    Attributes
    ----------
    settings : RouterSettings
        Time-outs and intervals.
    member : Member
        Identity of this router, sent in the first batch of each connection.
    in_force : ActiveManifest
        Manifest in force.
    queues : WaitingQueues
        Source of the backlog.
    clock : Clock
        Source of time.
    events : EventLog
        Receives ``link-up`` and ``link-down``.
    on_claim : callable
        Called with the link, the attempt id and the team of each claim.
    on_records : callable
        Called with the link and the accounting records received on it.
    """

    settings: RouterSettings
    member: Member
    in_force: ActiveManifest
    queues: WaitingQueues
    clock: Clock
    events: EventLog
    on_claim: Callable[["AgentLink", str, str], None]
    on_records: Callable[["AgentLink", Sequence[AgentRecord]], None]


class AgentLink:
    """Connection to one agent, re-established by `run` after each loss.

    Parameters
    ----------
    context : LinkContext
        Dependencies shared by all links.
    agent : Member
        Identity and addresses of the agent.
    relay : AccountingRelay
        Relay of the accounting records of the agent's service.
    """

    def __init__(self, context: LinkContext, agent: Member, relay: AccountingRelay):
        self._context = context
        self._clock = context.clock
        self._agent = agent
        self._relay = relay
        self._silence_ms = float(
            context.settings.silence_for(agent.data_centre, agent.region)
        )
        self._recent_prefixes = RecentPrefixes()
        self._is_up = False
        self._state_changed_ms = self._clock.now_ms()
        self._slots = SlotReport()
        self._progress: dict[str, AttemptProgress] = {}
        self._peer_version = 0
        self._record_cursor = 0
        self._misses: list[str] = []
        self._backlog_reporter = BacklogReporter(
            context.queues, agent.service, context.clock, context.settings.heartbeat_ms
        )
        self._next_check_ms = 0.0
        self._last_check_ms = 0.0
        self._last_batch_ms = 0.0
        self._batch_requested = False
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
        """Silence time-out for the location of the agent in milliseconds."""
        return self._silence_ms

    @property
    def is_up(self) -> bool:
        """Whether batches of the agent arrive."""
        return self._is_up

    @property
    def is_usable(self) -> bool:
        """Whether the agent may claim requests."""
        return self._is_up and not self._slots.leaving

    @property
    def has_free_slot(self) -> bool:
        """Whether the last report of the agent shows a free slot."""
        return self._slots.in_use < self._slots.limit

    @property
    def recent_prefixes(self) -> RecentPrefixes:
        """Prompt prefixes that the agent served recently."""
        return self._recent_prefixes

    @property
    def control_bytes(self) -> int:
        """Bytes of messages sent and received on this link."""
        return self._control_bytes

    def down_ms(self) -> float:
        """Return the time since the link went down in milliseconds, 0 if it is up."""
        return 0.0 if self._is_up else self._clock.now_ms() - self._state_changed_ms

    def progress(self, attempt_id: str) -> AttemptProgress | None:
        """Return the last report of the agent on an attempt."""
        return self._progress.get(attempt_id)

    def send_miss(self, attempt_id: str) -> None:
        """Notify the agent at once that its claim got no request."""
        self._misses.append(attempt_id)
        self._send_now()

    def pause_backlog(self) -> None:
        """Report no backlog for a while, because the data port refused a connection."""
        self._backlog_reporter.pause()
        self._send_now()

    def backlog_changed(self, team: str, immediately: bool) -> None:
        """Report the backlog of a team, at once or with the next periodic batch."""
        self._backlog_reporter.mark_changed(team)
        if immediately:
            self._send_now()
        else:
            spread_ms = self._context.settings.spread_ms
            self._send_by(self._clock.now_ms() + spread_ms)

    def records_changed(self) -> None:
        """Send the changed accounting records with the next periodic batch."""
        self._send_by(self._last_check_ms + self._context.settings.spread_ms)

    async def run(self) -> None:
        """Connect, and reconnect with exponential backoff, until cancelled."""
        backoff_ms = _INITIAL_BACKOFF_MS
        reason = ""
        while True:
            channel = Channel(*split_address(self._agent.link_address))
            try:
                await self._run_connection(channel)
            except LINK_ERRORS as error:
                reason = type(error).__name__
            finally:
                was_up = self._is_up
                self._set_down()
                channel.close()
            if was_up:
                backoff_ms = _INITIAL_BACKOFF_MS
                _log.warning(
                    "link to agent %s lost, reconnecting: %s", self.agent, reason
                )
                self._context.events.write(
                    EventKind.LINK_DOWN, peer=self.agent, reason=reason
                )
            await self._clock.sleep_ms(backoff_ms * random.uniform(0.5, 1.0))
            backoff_ms = min(_MAX_BACKOFF_MS, backoff_ms * 2)

    async def _run_connection(self, channel: Channel) -> None:
        settings = self._context.settings
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.timeout(settings.connect_timeout_ms / 1000.0):
                stream = await stack.enter_async_context(
                    LinkStub(channel).Connect.open()
                )
                await stream.send_request()
            self._reset()
            sender = asyncio.create_task(self._send_batches(stream))
            sender.add_done_callback(_consume_error)
            stack.callback(sender.cancel)
            while not sender.done():
                async with asyncio.timeout(self._silence_ms / 1000.0):
                    batch = await stream.recv_message()
                if batch is None:
                    raise ConnectionError("the agent closed the link stream")
                self._handle_batch(batch)
        raise ConnectionError("the sending task of the link ended")

    def _reset(self) -> None:
        self._record_cursor = 0
        self._peer_version = 0
        self._misses.clear()
        self._backlog_reporter.reset()
        self._next_check_ms = 0.0
        self._last_batch_ms = 0.0

    def _set_down(self) -> None:
        if self._is_up:
            metrics.LINKS.dec()
            self._is_up = False
            self._state_changed_ms = self._clock.now_ms()
        self._progress.clear()

    async def _send_batches(self, stream: Any) -> None:
        first = True
        while True:
            batch = self._build_batch()
            if first:
                batch.hello.CopyFrom(self._context.member)
            first = False
            if self._is_due(batch):
                self._count_bytes(batch, "sent")
                await stream.send_message(batch)
                self._last_batch_ms = self._clock.now_ms()
            await self._wait_until_due()

    def _is_due(self, batch: RouterBatch) -> bool:
        """Whether the batch has content or a heartbeat is due."""
        if batch.backlog or batch.misses or batch.rows or batch.backlog_is_complete:
            return True
        return (
            batch.HasField("manifest") or self._clock.now_ms() >= self._heartbeat_due_ms
        )

    @property
    def _heartbeat_due_ms(self) -> float:
        return self._last_batch_ms + self._context.settings.heartbeat_ms

    async def _wait_until_due(self) -> None:
        self._last_check_ms = self._clock.now_ms()
        self._next_check_ms = self._heartbeat_due_ms
        if self._batch_requested:
            self._next_check_ms = self._last_check_ms
        elif (
            self._backlog_reporter.has_changes
            or self._relay.revision > self._record_cursor
        ):
            spread_ms = self._context.settings.spread_ms
            self._next_check_ms = min(
                self._next_check_ms, self._last_check_ms + spread_ms
            )
        while (remaining_ms := self._next_check_ms - self._clock.now_ms()) > 0:
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_ms / 1000.0):
                    await self._wake.wait()

    def _send_now(self) -> None:
        self._batch_requested = True
        self._send_by(0.0)

    def _send_by(self, due_ms: float) -> None:
        if due_ms < self._next_check_ms:
            self._next_check_ms = due_ms
            self._wake.set()

    def _build_batch(self) -> RouterBatch:
        self._batch_requested = False
        in_force = self._context.in_force
        batch = RouterBatch(manifest_version=in_force.version)
        self._backlog_reporter.add_to(batch)
        batch.misses.extend(ClaimMiss(attempt_id=name) for name in self._misses)
        self._misses.clear()
        changed = self._relay.changed_after(self._record_cursor, self.agent)
        batch.rows.extend(group_records(changed))
        self._record_cursor = self._relay.revision
        document = in_force.document_for(self._peer_version)
        if document is not None and self._is_up:
            batch.manifest.CopyFrom(document)
            self._peer_version = document.version
        return batch

    def _handle_batch(self, batch: AgentBatch) -> None:
        self._count_bytes(batch, "received")
        if not self._is_up:
            self._is_up = True
            self._state_changed_ms = self._clock.now_ms()
            metrics.LINKS.inc()
            self._context.events.write(EventKind.LINK_UP, peer=self.agent)
        self._peer_version = max(self._peer_version, batch.manifest_version)
        if batch.HasField("manifest"):
            self._context.in_force.adopt_if_newer(batch.manifest, peer=self.agent)
        if batch.HasField("slots"):
            self._slots = batch.slots
        if batch.running or batch.running_is_complete:
            self._update_progress(batch)
        if batch.rows:
            self._context.on_records(self, list(ungroup_records(batch.rows)))
        for claim in batch.claims:
            self._context.on_claim(self, claim.attempt_id, claim.team)

    def _update_progress(self, batch: AgentBatch) -> None:
        now_ms = self._clock.now_ms()
        self._progress = {
            item.attempt_id: AttemptProgress(item.produced_bytes, item.finished, now_ms)
            for item in batch.running
        }

    def _count_bytes(self, batch: RouterBatch | AgentBatch, direction: str) -> None:
        size = batch.ByteSize()
        self._control_bytes += size
        metrics.LINK_BYTES.labels(direction).inc(size)


def _consume_error(sender: asyncio.Task[None]) -> None:
    """Retrieve the error of the sender, so that asyncio does not log it.

    The receiver detects the same loss of the connection.
    """
    if not sender.cancelled():
        sender.exception()
