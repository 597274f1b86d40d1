"""Links to the routers, with one reader task and one writer task per router."""

import asyncio
import contextlib
import socket
from collections.abc import Iterable
from typing import Any, Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from bulrushbend.agent import metrics
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import PeerTimeoutError
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.identity import Identity
from bulrushbend.core.logs import get_logger
from bulrushbend.core.settings import AgentSettings, split_address
from bulrushbend.process.daemon import listen_error
from bulrushbend.wire.fleet_grpc import LinkBase
from bulrushbend.wire.fleet_pb2 import (
    AgentBatch,
    Claim,
    ManifestDocument,
    Member,
    RouterBatch,
    RowGroup,
    RunningAttempt,
    SlotReport,
)
from bulrushbend.wire.record_groups import AgentRecord, group_records, ungroup_records

_log = get_logger("agent.link")


class LinkHost(Protocol):
    """Interface of the agent that the links use."""

    @property
    def member(self) -> Member:
        """Identity and location of the agent."""
        ...

    @property
    def manifest_version(self) -> int:
        """Version of the manifest in force."""
        ...

    def handle_link_up(self, link: "RouterLink") -> None:
        """Handle a new link."""
        ...

    def handle_link_down(self, link: "RouterLink") -> None:
        """Remove a link, the requests advertised over it and its claims."""
        ...

    def handle_batch(self, link: "RouterLink", batch: RouterBatch) -> None:
        """Handle a batch received from a router."""
        ...

    def records_after(self, cursor: int) -> tuple[int, list[AgentRecord]]:
        """Return the new cursor and the accounting records changed after `cursor`."""
        ...

    def running_for(self, router: Identity) -> list[RunningAttempt]:
        """Return the attempts that `router` has started."""
        ...

    def slot_report(self) -> SlotReport:
        """Return the current slot report."""
        ...

    def manifest_for(self, version: int) -> ManifestDocument | None:
        """Return the manifest if it is newer than `version`, else None."""
        ...


class RouterLink:
    """One open link, created by `LinkService` for each connection.

    Parameters
    ----------
    host : LinkHost
        The agent.
    router_member : Member
        Identity and location of the router.
    stream : grpclib stream
        Stream of batches.
    clock : Clock
        Source of time.
    heartbeat_ms : float
        Interval in milliseconds at which running attempts are listed.
    """

    def __init__(
        self,
        host: LinkHost,
        router_member: Member,
        stream: Any,
        clock: Clock,
        heartbeat_ms: float,
    ):
        self._host = host
        self._router_member = router_member
        self._stream = stream
        self._heartbeat_ms = heartbeat_ms
        self._identity = Identity(router_member.name, router_member.incarnation)
        self._peer_version = 0
        self._clock = clock
        self._heartbeat_due_ms = 0.0
        self._report_changed = False
        self._pending_claims: list[Claim] = []
        self._pending_records: list[AgentRecord] = []
        self._record_cursor = 0
        self._reported_ends: set[str] = set()
        self._known_versions: dict[tuple[str, int, str], int] = {}
        self._control_bytes = 0
        self._wake = asyncio.Event()
        self._closed = asyncio.Event()

    @property
    def router(self) -> str:
        """Name of the router."""
        return self._identity.name

    @property
    def identity(self) -> Identity:
        """Name and incarnation of the router."""
        return self._identity

    @property
    def router_member(self) -> Member:
        """Identity and location of the router."""
        return self._router_member

    @property
    def control_bytes(self) -> int:
        """Bytes of messages sent and received."""
        return self._control_bytes

    def send_claim(self, attempt_id: str, team: str) -> None:
        """Send a claim without delay."""
        self._pending_claims.append(Claim(attempt_id=attempt_id, team=team))
        self._wake.set()

    def send_records(self) -> None:
        """Send the accounting records that this router does not have, without delay."""
        self._collect_records()
        if self._pending_records:
            self._wake.set()

    def reset_record_cursor(self) -> None:
        """Send all records again, because the service of the endpoint changed."""
        self._record_cursor = 0

    def record_known_versions(self, groups: Iterable[RowGroup]) -> None:
        """Record the versions received from the router, so that they are not echoed."""
        for record in ungroup_records(groups):
            key = record.key
            self._known_versions[key] = max(
                record.sequence, self._known_versions.get(key, 0)
            )

    def send_slot_report(self) -> None:
        """Send a batch without delay, because the slot report changed."""
        self._report_changed = True
        self._wake.set()

    def record_manifest_version(self, version: int) -> None:
        """Record the newest manifest version that the router is known to have."""
        self._peer_version = max(self._peer_version, version)

    def close(self) -> None:
        """Close the link, because a newer one of the same router replaces it."""
        self._closed.set()

    async def wait_closed(self) -> None:
        """Wait for `close`."""
        await self._closed.wait()

    async def write(self) -> None:
        """Send batches until cancelled."""
        self._collect_records()
        await self._send(AgentBatch(hello=self._host.member))
        while True:
            await self._wait_for_changes()
            self._wake.clear()
            await self._send(AgentBatch())

    def record_received(self, batch: RouterBatch) -> None:
        """Add the size of a received batch to the control bytes."""
        self._control_bytes += batch.ByteSize()

    def _collect_records(self) -> None:
        self._record_cursor, records = self._host.records_after(self._record_cursor)
        self._pending_records.extend(
            record for record in records if not self._is_known(record)
        )

    def _is_known(self, record: AgentRecord) -> bool:
        known = self._known_versions.get(record.key, -1)
        return known >= record.sequence

    async def _wait_for_changes(self) -> None:
        remaining_ms = max(0.0, self._heartbeat_due_ms - self._clock.now_ms())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining_ms / 1000.0):
                await self._wake.wait()

    async def _send(self, batch: AgentBatch) -> None:
        batch.manifest_version = self._host.manifest_version
        batch.claims.extend(self._pending_claims)
        batch.rows.extend(group_records(self._pending_records))
        self._pending_claims.clear()
        self._pending_records.clear()
        document = self._host.manifest_for(self._peer_version)
        if document is not None and self._peer_version:
            batch.manifest.CopyFrom(document)
            self._peer_version = document.version
        now_ms = self._clock.now_ms()
        if now_ms >= self._heartbeat_due_ms or self._report_changed:
            self._report_changed = False
            batch.slots.CopyFrom(self._host.slot_report())
        if now_ms >= self._heartbeat_due_ms:
            self._heartbeat_due_ms = now_ms + self._heartbeat_ms
            batch.running.extend(self._collect_running())
            batch.running_is_complete = True
        self._control_bytes += batch.ByteSize()
        await self._stream.send_message(batch)

    def _collect_running(self) -> list[RunningAttempt]:
        """Return the running attempts and those whose end was not reported yet.

        Ended answers stay in the replay buffer for some seconds. Listing them for
        that time took 40% of all control bytes.
        """
        attempts = self._host.running_for(self._identity)
        reported = self._reported_ends
        self._reported_ends = {a.attempt_id for a in attempts if a.finished}
        return [a for a in attempts if a.attempt_id not in reported]


class LinkService(LinkBase):
    """gRPC service to which the routers connect.

    Parameters
    ----------
    host : LinkHost
        The agent.
    settings : AgentSettings
        Heartbeat interval and silence time-outs.
    clock : Clock
        Source of time.
    events : EventLog
        Event log for ``link-up`` and ``link-down``.
    """

    def __init__(
        self, host: LinkHost, settings: AgentSettings, clock: Clock, events: EventLog
    ):
        self._host = host
        self._settings = settings
        self._clock = clock
        self._events = events
        self._links: dict[str, RouterLink] = {}
        self._closed_link_bytes = 0

    @property
    def links(self) -> list[RouterLink]:
        """Open links."""
        return list(self._links.values())

    @property
    def control_bytes(self) -> int:
        """Bytes of messages on all links since the start."""
        return self._closed_link_bytes + sum(link.control_bytes for link in self.links)

    async def Connect(self, stream: Any) -> None:  # noqa: N802 - name in fleet.proto
        """Serve one router until its link ends or its silence time-out expires."""
        first_batch = await self._read_first_batch(stream)
        link = RouterLink(
            self._host,
            first_batch.hello,
            stream,
            self._clock,
            self._settings.heartbeat_ms,
        )
        self._register(link)
        tasks = [
            asyncio.create_task(self._read(link, stream, first_batch)),
            asyncio.create_task(link.write()),
            asyncio.create_task(link.wait_closed()),
        ]
        reason = "cancelled"
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            reason = _describe_end(done)
        finally:
            for task in tasks:
                task.cancel()
            self._unregister(link, reason)
        await asyncio.gather(*tasks, return_exceptions=True)
        # The error status tells the router that it did not end the stream itself.
        raise GRPCError(Status.ABORTED, reason)

    async def _read_first_batch(self, stream: Any) -> RouterBatch:
        try:
            async with asyncio.timeout(self._settings.silence_ms / 1000.0):
                batch = await stream.recv_message()
        except TimeoutError:
            raise GRPCError(Status.DEADLINE_EXCEEDED, "no hello") from None
        if batch is None or not batch.hello.name:
            raise GRPCError(Status.INVALID_ARGUMENT, "first batch has no hello")
        return batch

    async def _read(
        self, link: RouterLink, stream: Any, first_batch: RouterBatch
    ) -> None:
        member = link.router_member
        silence_ms = self._settings.silence_timeout_ms(
            member.data_centre, member.region
        )
        batch = first_batch
        while batch is not None:
            link.record_received(batch)
            self._host.handle_batch(link, batch)
            try:
                async with asyncio.timeout(silence_ms / 1000.0):
                    batch = await stream.recv_message()
            except TimeoutError:
                raise PeerTimeoutError(
                    f"nothing received for {silence_ms} ms", step="link"
                ) from None

    def _register(self, link: RouterLink) -> None:
        older = self._links.get(link.router)
        if older is not None:
            # A router reconnects when its old connection has become silent.
            self._unregister(older, "replaced by a newer link")
            older.close()
        self._links[link.router] = link
        metrics.LINKS.set(len(self._links))
        self._events.write(EventKind.LINK_UP, peer=link.router)
        self._host.handle_link_up(link)

    def _unregister(self, link: RouterLink, reason: str) -> None:
        if self._links.get(link.router) is not link:
            return
        del self._links[link.router]
        self._closed_link_bytes += link.control_bytes
        metrics.LINKS.set(len(self._links))
        _log.info("link to router %s ended: %s", link.router, reason)
        self._events.write(EventKind.LINK_DOWN, peer=link.router, reason=reason)
        self._host.handle_link_down(link)


def _describe_end(done: set[asyncio.Task[None]]) -> str:
    for task in done:
        error = task.exception()
        if error is not None:
            return str(error) or type(error).__name__
    return "closed"


def bind_link_socket(address: str, silence_ms: float) -> socket.socket:
    """Return a listening socket whose silent connections are closed by the kernel.

    The time-out of the stream ends the link but not the TCP connection below it, which
    would otherwise stay open forever after its peer has disappeared.

    Parameters
    ----------
    address : str
        ``"host:port"``.
    silence_ms : float
        Time in milliseconds after which unacknowledged data closes a connection.

    Raises
    ------
    SettingsError
        If the address cannot be bound.
    """
    host, port = split_address(address)
    try:
        family = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0][0]
        sock = socket.create_server((host, port), family=family, backlog=1024)
    except OSError as error:
        raise listen_error(error, address) from None
    seconds = max(1, int(silence_ms / 1000))
    # asyncio sets TCP_NODELAY only on sockets with an explicit protocol number, which
    # accepted sockets lack. Without it a claim waits for a delayed ACK of 40 ms.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000 * seconds)
    sock.setblocking(False)
    return sock
