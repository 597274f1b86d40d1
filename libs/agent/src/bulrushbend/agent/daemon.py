"""Agent daemon: construction of its components, start, drain and stop."""

import asyncio
import contextlib

from grpclib.server import Server
from tornado.httpserver import HTTPServer
from tornado.web import Application

from bulrushbend.agent.attempts import AttemptTable
from bulrushbend.agent.dataport import DataPort, data_routes
from bulrushbend.agent.endpoint import Endpoint
from bulrushbend.agent.leaving import LeavingCause, LeavingState, PlatformPoller
from bulrushbend.agent.link import LinkService, RouterLink, bind_link_socket
from bulrushbend.agent.load import LoadPoller
from bulrushbend.agent.records import pack_records, unpack_records
from bulrushbend.agent.scheduler import SlotScheduler
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind
from bulrushbend.core.identity import Identity, new_identity
from bulrushbend.core.logs import part_logger, set_verbosity
from bulrushbend.core.manifest import Manifest
from bulrushbend.core.settings import AgentSettings
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.daemon import (
    cpu_ms,
    describe_member,
    listen_http,
    open_event_log,
    operational_routes,
    run_until_signal,
)
from bulrushbend.process.fleet_client import FleetClient
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
# Number of links that get accounting records in each dissemination round, by rotation.
# Routers relay records to all agents of the service, so a few links suffice. With
# hundreds of routers, one message for each link and round would cost too much.
_LINKS_PER_ROUND = 4
# The kernel may buffer twice the size that is set, i.e. half a window, and the process
# one chunk. The replay buffer retains 5/8 of a window behind its reader.
_SEND_BUFFERS_PER_REPLAY = 4
# A record waits for the next round of this agent, then for that of the relaying router.
_ROUNDS_PER_RECORD = 2


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
        self._in_force = ActiveManifest(self._events)
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
        self._next_link_index = 0
        self._leaving = LeavingState(self._events, self._update_scheduler)
        self._endpoint = Endpoint(settings, self._clock, self._update_scheduler)
        self._picker = ProportionalPicker(
            horizon_ms=_ROUNDS_PER_RECORD * settings.spread_ms
        )
        self._scheduler = SlotScheduler(
            self._clock,
            self._events,
            settings.claim_timeout_ms,
            lambda attempt_id: self._attempts.record_unused_claim(attempt_id),
        )
        self._attempts = AttemptTable(
            settings, self._scheduler, self._endpoint, self._clock, self._events
        )
        self._data_port = DataPort(
            self._attempts,
            self._scheduler,
            self._in_force,
            settings.endpoint,
            settings.replay_bytes // _SEND_BUFFERS_PER_REPLAY,
            self._events,
        )
        self._links = LinkService(self, settings, self._clock, self._events)
        self._watch = FleetClient(
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
        """Identity and location of this agent."""
        return self._member

    @property
    def in_force(self) -> ActiveManifest:
        """Manifest in force."""
        return self._in_force

    @property
    def manifest_version(self) -> int:
        """Version of the manifest in force."""
        return self._in_force.version

    @property
    def is_ready(self) -> bool:
        """Whether new requests may be claimed and started."""
        return self._scheduler.is_open

    async def start(self) -> None:
        """Open the ports and start the tasks.

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
        routes = data_routes(self._data_port) + operational_routes(
            lambda: self.is_ready
        )
        http_server = HTTPServer(Application(routes), no_keep_alive=True)
        listen_http(http_server, settings.http_bind)
        self._servers.callback(http_server.stop)
        self._in_force.add_listener(self._handle_manifest)
        self._events.write(EventKind.PROCESS_STARTED)
        self._start_tasks()

    async def drain(self) -> None:
        """Refuse new requests and wait for running ones for up to `drain_ms`."""
        self._events.write(EventKind.PROCESS_DRAINING)
        self._watch.set_leaving()
        now_ms = self._clock.now_ms()
        deadline_ms = now_ms + self._settings.drain_ms
        # Until then, requests for claims sent earlier may arrive. With a closed port,
        # their routers would get no proof that the requests did not run.
        claims_expire_ms = now_ms + (
            self._settings.claim_timeout_ms if self._scheduler.claimed else 0
        )
        self._leaving.set(LeavingCause.SIGNAL, True)
        while self._clock.now_ms() < deadline_ms:
            busy = self._attempts.undelivered or self._data_port.open_streams
            if not busy and self._clock.now_ms() >= claims_expire_ms:
                break
            await self._clock.sleep_ms(_DRAIN_POLL_MS)
        if self._scheduler.running:
            _log.warning(
                "drain time limit reached; cancelling %d running requests",
                self._scheduler.running,
            )

    async def stop(self) -> None:
        """Cancel running requests and stop the tasks and servers."""
        await self._attempts.stop()
        await self._endpoint.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._servers.aclose()
        self._events.write(EventKind.PROCESS_STOPPED)
        self._stack.close()

    def handle_link_up(self, link: RouterLink) -> None:
        """Handle a new link."""
        self._attempts.record_router_link(link.identity, linked=True)

    def handle_link_down(self, link: RouterLink) -> None:
        """Remove a link, the requests advertised over it and its claims."""
        self._scheduler.remove_link(link)
        self._attempts.record_router_link(link.identity, linked=False)

    def handle_batch(self, link: RouterLink, batch: RouterBatch) -> None:
        """Handle a batch received from a router."""
        link.record_manifest_version(batch.manifest_version)
        if batch.HasField("manifest"):
            self._in_force.adopt_if_newer(batch.manifest, peer=link.router)
        if self._ledger is not None and batch.rows:
            self._ledger.merge(unpack_records(batch.rows, self._service))
            link.record_known_versions(batch.rows)
        for miss in batch.misses:
            self._scheduler.handle_miss(miss.attempt_id)
        backlog = self._scheduler.backlog
        for entry in batch.backlog:
            backlog.update(link, entry.team, entry.waiting, entry.oldest_age_ms)
        if batch.backlog_is_complete:
            backlog.retain(link, {entry.team for entry in batch.backlog})
        if batch.backlog or batch.backlog_is_complete:
            self._scheduler.schedule()

    def records_after(self, cursor: int) -> tuple[int, list[AgentRecord]]:
        """Return the new cursor and the accounting records changed after `cursor`."""
        if self._ledger is None:
            return 0, []
        cursor, records = self._ledger.records(cursor, refresh=cursor == 0)
        return cursor, pack_records(records)

    def running_for(self, router: Identity) -> list[RunningAttempt]:
        """Return the attempts that `router` has started."""
        return self._attempts.running_for(router)

    def slot_report(self) -> SlotReport:
        """Return the current slot report."""
        return self._scheduler.report(self._leaving.is_leaving)

    def manifest_for(self, version: int) -> ManifestDocument | None:
        """Return the manifest if it is newer than `version`, else None."""
        return self._in_force.document_for(version)

    async def _close_links(self) -> None:
        self._grpc_server.close()
        await self._grpc_server.wait_closed()

    def _start_tasks(self) -> None:
        settings = self._settings
        runs = [
            self._watch.run(),
            self._scheduler.run(),
            self._attempts.run(),
            self._endpoint.probe_while_refused(),
            self._disseminate_records(),
        ]
        if settings.platform_url is not None:
            platform = PlatformPoller(
                settings.platform_url,
                settings.platform_poll_ms,
                settings.vm,
                self._leaving,
                self._clock,
            )
            runs.append(platform.run())
        if settings.load_url is not None:
            poll = LoadPoller(
                settings.load_url,
                settings.load_poll_ms,
                self._clock,
                self._handle_load,
            )
            runs.append(poll.run())
        self._tasks = [asyncio.create_task(run) for run in runs]
        for task in self._tasks:
            task.add_done_callback(_log_failed_task)

    def _handle_manifest(self, manifest: Manifest) -> None:
        endpoint = manifest.endpoints_by_name.get(self._settings.endpoint)
        leaving = endpoint is None or endpoint.state == "leaving"
        self._leaving.set(LeavingCause.MANIFEST, leaving)
        if endpoint is not None:
            self._set_service(endpoint.service, manifest)
            self._set_slots(endpoint.slots)
        self._update_scheduler()

    def _set_service(self, service: str, manifest: Manifest) -> None:
        if self._ledger is None or service != self._service:
            self._service = service
            self._member.service = service
            for link in self._links.links:
                link.reset_record_cursor()
            self._ledger = Ledger(service, self._identity, self._clock, BalancedMean())
            self._scheduler.set_ledger(self._ledger, self._picker)
        self._ledger.set_shares({team.name: team.share for team in manifest.teams})
        peers = sorted(e.name for e in manifest.endpoints if e.service == service)
        self._picker.set_position(peers.index(self._settings.endpoint))

    def _set_slots(self, slots: int) -> None:
        if self._slot_limit is None:
            self._slot_limit = SlotLimit(slots)
        else:
            self._slot_limit.set_upper_bound(slots)

    def _handle_load(self, load: EngineLoad) -> None:
        if self._slot_limit is None:
            return
        before = self._slot_limit.limit
        now_ms = self._clock.now_ms()
        after = self._slot_limit.update(load, self._scheduler.in_use, now_ms)
        if after != before:
            self._events.write(EventKind.SLOT_LIMIT_CHANGED, limit=after, before=before)
            self._scheduler.set_limit(after)

    def _update_scheduler(self) -> None:
        """Update the slot limit, and open or close the scheduler for new requests."""
        if self._slot_limit is not None:
            self._scheduler.set_limit(self._slot_limit.limit)
        may_start = (
            self._ledger is not None
            and self._endpoint.is_up
            and not self._leaving.is_leaving
        )
        if may_start and not self._scheduler.is_open:
            self._scheduler.open()
        elif not may_start and self._scheduler.is_open:
            self._scheduler.close()
        for link in self._links.links:
            link.send_slot_report()

    async def _disseminate_records(self) -> None:
        """Send changed accounting records to some links every `spread_ms`."""
        while True:
            await self._clock.sleep_ms(self._settings.spread_ms)
            self.slot_report()
            if self._ledger is not None:
                # Once for all links. Otherwise the records of running requests would
                # get a new version for each link, and each version would be relayed.
                self._ledger.refresh()
            for link in self._select_links():
                link.send_records()

    def _select_links(self) -> list[RouterLink]:
        links = self._links.links
        if len(links) <= _LINKS_PER_ROUND:
            return links
        start = self._next_link_index % len(links)
        self._next_link_index = start + _LINKS_PER_ROUND
        return (links + links)[start : start + _LINKS_PER_ROUND]

    def _status_detail(self) -> StatusDetail:
        local = self._ledger.local_records() if self._ledger is not None else []
        return StatusDetail(
            slots=self.slot_report(),
            rows=group_records(pack_records(local)),
            running=self._scheduler.running,
            cpu_ms=cpu_ms(),
            control_bytes=self._watch.control_bytes + self._links.control_bytes,
        )


def _log_failed_task(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error(
            "agent task failed and is not restarted: %r",
            task.exception(),
        )


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
    # The signal handlers are installed before the first port is opened. Otherwise a
    # signal during the start would kill the process instead of draining it.
    stopping = asyncio.create_task(run_until_signal(agent.drain))
    await asyncio.sleep(0)
    try:
        await agent.start()
        await stopping
    finally:
        stopping.cancel()
        await agent.stop()
