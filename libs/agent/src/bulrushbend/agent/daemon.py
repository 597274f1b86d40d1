"""Agent daemon: start, stop and the wiring of its parts."""

import asyncio
import contextlib

from grpclib.server import Server
from tornado.httpserver import HTTPServer
from tornado.web import Application

from bulrushbend.agent.attempts import AttemptTable
from bulrushbend.agent.dataport import DataPort, data_routes
from bulrushbend.agent.endpoint import Endpoint
from bulrushbend.agent.gate import Gate
from bulrushbend.agent.leaving import Leaving, LeavingCause, PlatformList
from bulrushbend.agent.link import LinkService, RouterLink, bind_link_socket
from bulrushbend.agent.load import LoadPoll
from bulrushbend.agent.rows import pack_rows, unpack_rows
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind
from bulrushbend.core.identity import Identity, new_identity
from bulrushbend.core.logs import part_logger, set_verbosity
from bulrushbend.core.manifest import Manifest
from bulrushbend.core.settings import AgentSettings
from bulrushbend.process.daemon import (
    cpu_ms,
    describe_member,
    listen_http,
    open_event_log,
    operational_routes,
    run_until_signal,
)
from bulrushbend.process.inforce import ManifestInForce
from bulrushbend.process.watch import FleetWatch
from bulrushbend.share.estimator import BalancedMean
from bulrushbend.share.ledger import Ledger
from bulrushbend.share.picker import ProportionalPicker
from bulrushbend.share.slots import EngineLoad, SlotLimit
from bulrushbend.wire.fleet_pb2 import (
    ManifestDocument,
    Member,
    RouterBatch,
    RunningAttempt,
    SlotReport,
    StatusDetail,
)
from bulrushbend.wire.record_groups import AgentRecord, group_records

_log = part_logger("agent")

_DRAIN_POLL_MS = 20.0
# Links that get accounting rows at each spread, in turn. Routers relay rows to all
# agents of the service, so a few suffice; with all of them the cost of one message for
# each link and spread would exceed every budget at hundreds of routers.
_LINKS_PER_SPREAD = 4
# The kernel may hold twice the size that is set, half a window, and the process one
# piece; the replay buffer keeps 5/8 of a window behind its reader.
_SEND_BUFFERS_PER_REPLAY = 4
# A row waits for the next batch of this agent, then for that of the relaying router.
_SPREADS_PER_ROW = 2


class Agent:
    """One agent: its servers, links and tasks.

    Parameters
    ----------
    settings : AgentSettings
        Addresses, limits and times.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, settings: AgentSettings, clock: Clock | None = None):
        self._settings = settings
        self._clock = clock or Clock()
        self._stack = contextlib.ExitStack()
        self._servers = contextlib.AsyncExitStack()
        self._identity = new_identity(settings.name, self._clock)
        self._events = open_event_log(
            self._stack, settings, self._identity, self._clock
        )
        self._in_force = ManifestInForce(self._events)
        self._member = describe_member(
            settings,
            self._identity,
            "agent",
            link_address=settings.link_address,
            endpoint=settings.endpoint,
        )
        self._ledger: Ledger | None = None
        self._service = ""
        self._slot_limit: SlotLimit | None = None
        self._spread_turn = 0
        self._leaving = Leaving(self._events, self._adjust)
        self._endpoint = Endpoint(settings, self._clock, self._adjust)
        self._picker = ProportionalPicker(
            horizon_ms=_SPREADS_PER_ROW * settings.spread_ms
        )
        self._gate = Gate(
            self._clock,
            self._events,
            settings.claim_timeout_ms,
            lambda attempt_id: self._attempts.note_unused(attempt_id),
        )
        self._attempts = AttemptTable(
            settings, self._gate, self._endpoint, self._clock, self._events
        )
        self._port = DataPort(
            self._attempts,
            self._gate,
            self._in_force,
            settings.endpoint,
            settings.replay_bytes // _SEND_BUFFERS_PER_REPLAY,
            self._events,
        )
        self._links = LinkService(self, settings, self._clock, self._events)
        self._watch = FleetWatch(
            settings,
            self._member,
            self._in_force,
            self._clock,
            self._events,
            self._status_detail,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._grpc_server = Server([self._links])

    @property
    def member(self) -> Member:
        """Identity and place of this agent."""
        return self._member

    @property
    def in_force(self) -> ManifestInForce:
        """Manifest in force."""
        return self._in_force

    @property
    def manifest_version(self) -> int:
        """Version of the manifest in force."""
        return self._in_force.version

    @property
    def is_ready(self) -> bool:
        """Whether new work may start."""
        return self._gate.is_open

    async def start(self) -> None:
        """Listen and start the tasks.

        Raises
        ------
        SettingsError
            If an address cannot be bound or the event log cannot be opened.
        """
        settings = self._settings
        link_socket = bind_link_socket(
            settings.link_bind, settings.silence_between_regions_ms
        )
        self._servers.callback(link_socket.close)
        await self._grpc_server.start(sock=link_socket)
        self._servers.push_async_callback(self._close_links)
        routes = data_routes(self._port) + operational_routes(lambda: self.is_ready)
        http_server = HTTPServer(Application(routes), no_keep_alive=True)
        listen_http(http_server, settings.http_bind)
        self._servers.callback(http_server.stop)
        self._in_force.listen(self._take_manifest)
        self._events.write(EventKind.PROCESS_STARTED)
        self._start_tasks()

    async def drain(self) -> None:
        """Refuse new work, and wait for running requests up to `drain_ms`."""
        self._events.write(EventKind.PROCESS_DRAINING)
        self._watch.set_leaving()
        now_ms = self._clock.now_ms()
        deadline_ms = now_ms + self._settings.drain_ms
        # Requests for claims sent before arrive until then; a closed port would leave
        # their routers without the proof that they did not run.
        linger_ms = now_ms + (
            self._settings.claim_timeout_ms if self._gate.claimed else 0
        )
        self._leaving.set(LeavingCause.SIGNAL, True)
        while self._clock.now_ms() < deadline_ms:
            busy = self._attempts.undelivered or self._port.open_streams
            if not busy and self._clock.now_ms() >= linger_ms:
                break
            await self._clock.sleep_ms(_DRAIN_POLL_MS)
        if self._gate.running:
            _log.warning("%d requests are cut off", self._gate.running)

    async def stop(self) -> None:
        """Stop the servers and tasks; what still runs is cancelled."""
        await self._attempts.stop()
        await self._endpoint.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._servers.aclose()
        self._events.write(EventKind.PROCESS_STOPPED)
        self._stack.close()

    def link_up(self, link: RouterLink) -> None:
        """Take a new link into use."""
        self._attempts.note_router(link.identity, linked=True)

    def link_down(self, link: RouterLink) -> None:
        """Forget a link, its advertised work and its claims."""
        self._gate.drop_link(link)
        self._attempts.note_router(link.identity, linked=False)

    def take_batch(self, link: RouterLink, batch: RouterBatch) -> None:
        """Handle what a router sent."""
        link.note_version(batch.manifest_version)
        if batch.HasField("manifest"):
            self._in_force.offer(batch.manifest, peer=link.router)
        if self._ledger is not None and batch.rows:
            self._ledger.merge(unpack_rows(batch.rows, self._service))
            link.note_learnt(batch.rows)
        for miss in batch.misses:
            self._gate.miss(miss.attempt_id)
        backlog = self._gate.backlog
        for entry in batch.backlog:
            backlog.update(link, entry.team, entry.waiting, entry.oldest_age_ms)
        if batch.backlog_is_complete:
            backlog.retain(link, {entry.team for entry in batch.backlog})
        if batch.backlog or batch.backlog_is_complete:
            self._gate.fill()

    def rows_after(self, cursor: int) -> tuple[int, list[AgentRecord]]:
        """Return the accounting rows that changed after a cursor, and the new one."""
        if self._ledger is None:
            return 0, []
        cursor, rows = self._ledger.rows(cursor, renew=cursor == 0)
        return cursor, pack_rows(rows)

    def running_of(self, router: Identity) -> list[RunningAttempt]:
        """Return the attempts of a router."""
        return self._attempts.running_of(router)

    def slot_report(self) -> SlotReport:
        """Return the slot report."""
        return self._gate.report(self._leaving.is_leaving)

    def manifest_for(self, version: int) -> ManifestDocument | None:
        """Return the manifest for a peer with an older version."""
        return self._in_force.document_for(version)

    async def _close_links(self) -> None:
        self._grpc_server.close()
        await self._grpc_server.wait_closed()

    def _start_tasks(self) -> None:
        settings = self._settings
        runs = [
            self._watch.run(),
            self._gate.run(),
            self._attempts.run(),
            self._endpoint.probe_while_refused(),
            self._spread_rows(),
        ]
        if settings.platform_url is not None:
            platform = PlatformList(
                settings.platform_url,
                settings.platform_poll_ms,
                settings.vm,
                self._leaving,
                self._clock,
            )
            runs.append(platform.run())
        if settings.load_url is not None:
            poll = LoadPoll(
                settings.load_url,
                settings.load_poll_ms,
                self._clock,
                self._take_load,
            )
            runs.append(poll.run())
        self._tasks = [asyncio.create_task(run) for run in runs]
        for task in self._tasks:
            task.add_done_callback(_report_failed_task)

    def _take_manifest(self, manifest: Manifest) -> None:
        endpoint = manifest.endpoints_by_name.get(self._settings.endpoint)
        gone = endpoint is None or endpoint.state == "leaving"
        self._leaving.set(LeavingCause.MANIFEST, gone)
        if endpoint is not None:
            self._use_service(endpoint.service, manifest)
            self._set_slots(endpoint.slots)
        self._adjust()

    def _use_service(self, service: str, manifest: Manifest) -> None:
        if self._ledger is None or service != self._service:
            self._service = service
            self._member.service = service
            for link in self._links.links:
                link.reset_rows()
            self._ledger = Ledger(service, self._identity, self._clock, BalancedMean())
            self._gate.use_ledger(self._ledger, self._picker)
        self._ledger.set_shares({team.name: team.share for team in manifest.teams})
        peers = sorted(e.name for e in manifest.endpoints if e.service == service)
        self._picker.set_position(peers.index(self._settings.endpoint))

    def _set_slots(self, slots: int) -> None:
        if self._slot_limit is None:
            self._slot_limit = SlotLimit(slots)
        else:
            self._slot_limit.set_upper(slots)

    def _take_load(self, load: EngineLoad) -> None:
        if self._slot_limit is None:
            return
        before = self._slot_limit.limit
        now_ms = self._clock.now_ms()
        after = self._slot_limit.report(load, self._gate.in_use, now_ms)
        if after != before:
            self._events.write(EventKind.SLOT_LIMIT_CHANGED, limit=after, before=before)
            self._gate.set_limit(after)

    def _adjust(self) -> None:
        """Apply the manifest, leaving and the endpoint's state to the gate."""
        if self._slot_limit is not None:
            self._gate.set_limit(self._slot_limit.limit)
        may_start = (
            self._ledger is not None
            and self._endpoint.is_up
            and not self._leaving.is_leaving
        )
        if may_start and not self._gate.is_open:
            self._gate.open()
        elif not may_start and self._gate.is_open:
            self._gate.close()
        for link in self._links.links:
            link.send_now()

    async def _spread_rows(self) -> None:
        """Send changed accounting rows to a few links every `spread_ms`."""
        while True:
            await self._clock.sleep_ms(self._settings.spread_ms)
            self.slot_report()
            if self._ledger is not None:
                # Once for all links: rows of running requests would otherwise get a
                # version for each link, and each version would be relayed.
                self._ledger.renew()
            for link in self._next_links():
                link.send_rows()

    def _next_links(self) -> list[RouterLink]:
        links = self._links.links
        if len(links) <= _LINKS_PER_SPREAD:
            return links
        start = self._spread_turn % len(links)
        self._spread_turn = start + _LINKS_PER_SPREAD
        return (links + links)[start : start + _LINKS_PER_SPREAD]

    def _status_detail(self) -> StatusDetail:
        own = self._ledger.own_rows() if self._ledger is not None else []
        return StatusDetail(
            slots=self.slot_report(),
            rows=group_records(pack_rows(own)),
            running=self._gate.running,
            cpu_ms=cpu_ms(),
            control_bytes=self._watch.control_bytes + self._links.control_bytes,
        )


def _report_failed_task(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("a task failed: %r", task.exception())


async def run_agent(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : AgentSettings
        Addresses, limits and times.

    Raises
    ------
    SettingsError
        If an address cannot be bound or the event log cannot be opened.
    """
    set_verbosity(settings.log_level)
    agent = Agent(settings)
    # The signal handlers are in place before the first port is open: a signal during
    # the start would otherwise kill the process instead of draining it.
    stopping = asyncio.create_task(run_until_signal(agent.drain))
    await asyncio.sleep(0)
    try:
        await agent.start()
        await stopping
    finally:
        stopping.cancel()
        await agent.stop()
