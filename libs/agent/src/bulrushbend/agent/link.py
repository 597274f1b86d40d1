"""Links to the routers, one task each way for every router."""

import asyncio
import contextlib
import socket
from collections.abc import Iterable
from typing import Any, Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from bulrushbend.agent import metrics
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import PeerSilent
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.identity import Identity
from bulrushbend.core.logs import part_logger
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
from bulrushbend.wire.record_groups import (
    AgentRecord,
    group_records,
    ungroup_records,
)

_log = part_logger("agent.link")


class LinkHost(Protocol):
    """What links need from the agent."""

    @property
    def member(self) -> Member:
        """Identity and place of the agent."""
        ...

    @property
    def manifest_version(self) -> int:
        """Version of the manifest in force."""
        ...

    def link_up(self, link: "RouterLink") -> None:
        """Take a new link into use."""
        ...

    def link_down(self, link: "RouterLink") -> None:
        """Forget a link, its advertised work and its claims."""
        ...

    def take_batch(self, link: "RouterLink", batch: RouterBatch) -> None:
        """Handle what a router sent."""
        ...

    def rows_after(self, cursor: int) -> tuple[int, list[AgentRecord]]:
        """Return the accounting rows that changed after a cursor, and the new one."""
        ...

    def running_of(self, router: Identity) -> list[RunningAttempt]:
        """Return the attempts of a router."""
        ...

    def slot_report(self) -> SlotReport:
        """Return the slot report."""
        ...

    def manifest_for(self, version: int) -> ManifestDocument | None:
        """Return the manifest for a peer with an older version."""
        ...


class RouterLink:
    """One open link; created by `LinkService` for each connection.

    Parameters
    ----------
    host : LinkHost
        The agent.
    hello : Member
        Identity and place of the router.
    stream : grpclib stream
        Carries the batches.
    clock : Clock
        Source of time.
    heartbeat_ms : float
        Longest pause in milliseconds between two lists of running attempts.
    """

    def __init__(
        self,
        host: LinkHost,
        hello: Member,
        stream: Any,
        clock: Clock,
        heartbeat_ms: float,
    ):
        self._host = host
        self._hello = hello
        self._stream = stream
        self._heartbeat_ms = heartbeat_ms
        self._identity = Identity(hello.name, hello.incarnation)
        self._peer_version = 0
        self._clock = clock
        self._full_due_ms = 0.0
        self._report_changed = False
        self._claims: list[Claim] = []
        self._rows: list[AgentRecord] = []
        self._row_cursor = 0
        self._reported_ends: set[str] = set()
        self._learnt: dict[tuple[str, int, str], int] = {}
        self._bytes = 0
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
    def hello(self) -> Member:
        """Identity and place of the router."""
        return self._hello

    @property
    def control_bytes(self) -> int:
        """Bytes of messages sent and received."""
        return self._bytes

    def send_claim(self, attempt_id: str, team: str) -> None:
        """Send a claim at once."""
        self._claims.append(Claim(attempt_id=attempt_id, team=team))
        self._wake.set()

    def send_rows(self) -> None:
        """Send the accounting rows that this router does not have, at once."""
        self._take_rows()
        if self._rows:
            self._wake.set()

    def reset_rows(self) -> None:
        """Send all rows anew, because the service of the endpoint changed."""
        self._row_cursor = 0

    def note_learnt(self, groups: Iterable[RowGroup]) -> None:
        """Remember which rows the router has sent, so that they are not echoed."""
        for row in ungroup_records(groups):
            key = row.key
            self._learnt[key] = max(row.sequence, self._learnt.get(key, 0))

    def send_now(self) -> None:
        """Send a batch at once, because the slot report changed."""
        self._report_changed = True
        self._wake.set()

    def note_version(self, version: int) -> None:
        """Record the manifest version of the router."""
        self._peer_version = max(self._peer_version, version)

    def close(self) -> None:
        """End the link, because a newer one of the same router replaces it."""
        self._closed.set()

    async def wait_closed(self) -> None:
        """Wait for `close`."""
        await self._closed.wait()

    async def write(self) -> None:
        """Send batches until cancelled."""
        self._take_rows()
        await self._send(AgentBatch(hello=self._host.member))
        while True:
            await self._wait_for_news()
            self._wake.clear()
            await self._send(AgentBatch())

    def note_received(self, batch: RouterBatch) -> None:
        """Count a received batch."""
        self._bytes += batch.ByteSize()

    def _take_rows(self) -> None:
        self._row_cursor, rows = self._host.rows_after(self._row_cursor)
        self._rows.extend(row for row in rows if not self._has(row))

    def _has(self, row: AgentRecord) -> bool:
        known = self._learnt.get(row.key, -1)
        return known >= row.sequence

    async def _wait_for_news(self) -> None:
        remaining_ms = max(0.0, self._full_due_ms - self._clock.now_ms())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining_ms / 1000.0):
                await self._wake.wait()

    async def _send(self, batch: AgentBatch) -> None:
        batch.manifest_version = self._host.manifest_version
        batch.claims.extend(self._claims)
        batch.rows.extend(group_records(self._rows))
        self._claims.clear()
        self._rows.clear()
        document = self._host.manifest_for(self._peer_version)
        if document is not None and self._peer_version:
            batch.manifest.CopyFrom(document)
            self._peer_version = document.version
        now_ms = self._clock.now_ms()
        if now_ms >= self._full_due_ms or self._report_changed:
            self._report_changed = False
            batch.slots.CopyFrom(self._host.slot_report())
        if now_ms >= self._full_due_ms:
            self._full_due_ms = now_ms + self._heartbeat_ms
            batch.running.extend(self._take_running())
            batch.running_is_complete = True
        self._bytes += batch.ByteSize()
        await self._stream.send_message(batch)

    def _take_running(self) -> list[RunningAttempt]:
        """Return the running attempts and those whose end was not reported yet.

        Answers are held for some seconds after their end. Listing them until then
        took 40% of all control bytes.
        """
        attempts = self._host.running_of(self._identity)
        reported = self._reported_ends
        self._reported_ends = {a.attempt_id for a in attempts if a.finished}
        return [a for a in attempts if a.attempt_id not in reported]


class LinkService(LinkBase):
    """gRPC service that routers dial.

    Parameters
    ----------
    host : LinkHost
        The agent.
    settings : AgentSettings
        Heartbeat and silence deadlines.
    clock : Clock
        Source of time.
    events : EventLog
        Receives ``link-up`` and ``link-down``.
    """

    def __init__(
        self, host: LinkHost, settings: AgentSettings, clock: Clock, events: EventLog
    ):
        self._host = host
        self._settings = settings
        self._clock = clock
        self._events = events
        self._links: dict[str, RouterLink] = {}
        self._past_bytes = 0

    @property
    def links(self) -> list[RouterLink]:
        """Open links."""
        return list(self._links.values())

    @property
    def control_bytes(self) -> int:
        """Bytes of messages on all links since the start."""
        return self._past_bytes + sum(link.control_bytes for link in self.links)

    async def Connect(self, stream: Any) -> None:  # noqa: N802 - name in fleet.proto
        """Serve one router until its link ends or goes silent."""
        hello = await self._read_hello(stream)
        link = RouterLink(
            self._host, hello.hello, stream, self._clock, self._settings.heartbeat_ms
        )
        self._register(link)
        tasks = [
            asyncio.create_task(self._read(link, stream, hello)),
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
        # An error status tells the router that the stream did not end by its wish.
        raise GRPCError(Status.ABORTED, reason)

    async def _read_hello(self, stream: Any) -> RouterBatch:
        try:
            async with asyncio.timeout(self._settings.silence_ms / 1000.0):
                batch = await stream.recv_message()
        except TimeoutError:
            raise GRPCError(Status.DEADLINE_EXCEEDED, "no hello") from None
        if batch is None or not batch.hello.name:
            raise GRPCError(Status.INVALID_ARGUMENT, "first batch has no hello")
        return batch

    async def _read(self, link: RouterLink, stream: Any, hello: RouterBatch) -> None:
        place = link.hello
        silence_ms = self._settings.silence_for(place.data_centre, place.region)
        batch = hello
        while batch is not None:
            link.note_received(batch)
            self._host.take_batch(link, batch)
            try:
                async with asyncio.timeout(silence_ms / 1000.0):
                    batch = await stream.recv_message()
            except TimeoutError:
                raise PeerSilent(
                    f"nothing received for {silence_ms} ms", step="link"
                ) from None

    def _register(self, link: RouterLink) -> None:
        older = self._links.get(link.router)
        if older is not None:
            # A router dials again when its old connection went silent.
            self._unregister(older, "replaced by a newer link")
            older.close()
        self._links[link.router] = link
        metrics.LINKS.set(len(self._links))
        self._events.write(EventKind.LINK_UP, peer=link.router)
        self._host.link_up(link)

    def _unregister(self, link: RouterLink, reason: str) -> None:
        if self._links.get(link.router) is not link:
            return
        del self._links[link.router]
        self._past_bytes += link.control_bytes
        metrics.LINKS.set(len(self._links))
        _log.info("link to router %s ended: %s", link.router, reason)
        self._events.write(EventKind.LINK_DOWN, peer=link.router, reason=reason)
        self._host.link_down(link)


def _describe_end(done: set[asyncio.Task[None]]) -> str:
    for task in done:
        error = task.exception()
        if error is not None:
            return str(error) or type(error).__name__
    return "closed"


def bind_link_socket(address: str, silence_ms: float) -> socket.socket:
    """Return a listening socket whose connections the kernel gives up when silent.

    The stream's own deadline ends the link, but not the TCP connection below it,
    which would otherwise stay open for ever after its peer vanished.

    Parameters
    ----------
    address : str
        ``"host:port"``.
    silence_ms : float
        Time in milliseconds after which unacknowledged data ends a connection.

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
    # asyncio sets this only on sockets that name their protocol, which the ones
    # accepted here do not. Without it a claim waits for a delayed ACK of 40 ms.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000 * seconds)
    sock.setblocking(False)
    return sock
