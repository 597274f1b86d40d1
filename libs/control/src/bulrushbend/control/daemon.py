"""The control daemon: one replica of the state that the `Fleet` service serves."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application

from bulrushbend.control import metrics
from bulrushbend.control.command_events import CommandEventWriter
from bulrushbend.control.join_requester import JoinRequester
from bulrushbend.control.membership import Membership
from bulrushbend.control.publishing import (
    PUBLISH_TIMEOUT_MS,
    HighestVersionPublisher,
    Publisher,
)
from bulrushbend.control.server import ClosingServer
from bulrushbend.control.service import FleetService
from bulrushbend.control.vote_handover import hand_over_vote
from bulrushbend.control.watcher import WatchOptions
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import NoQuorumError, SettingsError, StoreFailedError
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.identity import new_identity
from bulrushbend.core.logs import get_logger
from bulrushbend.core.settings import (
    ControlSettings,
    PeerAddress,
    ProcessSettings,
    split_address,
)
from bulrushbend.process.daemon import (
    listen_http,
    open_event_log,
    operational_routes,
    run_until_signal,
)
from bulrushbend.process.listening import stop_http
from bulrushbend.store.configuration import Configuration, Node
from bulrushbend.store.files import FileSystem
from bulrushbend.store.options import ReplicaOptions
from bulrushbend.store.replica import Replica
from bulrushbend.store.service import ConsensusService
from bulrushbend.store.stores import Stores, open_stores
from bulrushbend.store.transport import GrpcTransport, PeerTransport
from bulrushbend.store.vote import BOOTSTRAP_DISK_ID
from bulrushbend.store.voter_repair import VoterRepair
from bulrushbend.wire.control_pb2 import Command, ExpireKeys

_log = get_logger("control.daemon")
SWEEP_INTERVAL_MS = 250
EXPIRE_KEYS_TIMEOUT_MS = 2000
# Interval of checks for a store failure, and delay before the store is reopened.
STORE_CHECK_INTERVAL_S = 0.1
STORE_RETRY_DELAY_S = 0.5
# Time in which the operators' calls in progress end by their own time limits, and time
# for those in progress when the replica stops.
_DRAIN_MS = PUBLISH_TIMEOUT_MS + 500
CALL_TIMEOUT_MS = 500
# Time in which the calls on open connections arrive, whose responses close them.
_LATE_CALLS_GRACE_MS = 300


class ControlDaemon:
    """One control replica with its gRPC and HTTP servers.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the replica.
    bootstrap : bool, default=False
        Accept an empty data folder as that of a voter of the initial configuration.
    clock : Clock, optional
        Source of time.
    files : FileSystem, optional
        File system of the store.
    events : EventLog, optional
        Event log to use instead of the one that the settings name.
    transport : PeerTransport, optional
        Transport to the other replicas; gRPC by default.
    operator_routes : callable, optional
        Returns additional HTTP routes for operators who publish and read manifests.
    known_replicas : callable, optional
        Returns the replicas that a join request is sent to; those of the settings by
        default.
    """

    def __init__(
        self,
        settings: ControlSettings,
        *,
        bootstrap: bool = False,
        clock: Clock | None = None,
        files: FileSystem | None = None,
        events: EventLog | None = None,
        transport: PeerTransport | None = None,
        operator_routes: Callable[[Publisher], list[tuple]] | None = None,
        known_replicas: Callable[[], Sequence[PeerAddress]] | None = None,
    ):
        self._operator_routes = operator_routes
        self._known_replicas = known_replicas or (lambda: settings.control)
        self._settings = settings
        self._bootstrap = bootstrap
        self._clock = clock or Clock()
        self._files = files
        self._events = events
        self._transport = transport or GrpcTransport()
        self._publisher: HighestVersionPublisher | None = None
        self._stop_listening: Callable[[], None] | None = None
        self._joining: asyncio.Task[None] | None = None
        self._stack = contextlib.AsyncExitStack()

    @property
    def replica(self) -> Replica:
        """Consensus replica of this daemon."""
        return self._replica

    @property
    def service(self) -> FleetService:
        """The `Fleet` service of this daemon."""
        return self._service

    @property
    def membership(self) -> Membership:
        """Members that report to this replica."""
        return self._membership

    @property
    def is_ready(self) -> bool:
        """Whether a leader is known, so that writes can succeed."""
        return bool(self._replica.status().leader)

    async def start(self) -> None:
        """Open the stores and start the replica and the servers.

        Raises
        ------
        SettingsError
            The event log or an address cannot be opened.
        StoreError
            The data folder is damaged or cannot be used.
        """
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise

    async def drain(self) -> None:
        """Hand over the vote, and finish the calls of operators."""
        if self._stop_listening is None:
            return
        self._events.write(EventKind.PROCESS_DRAINING)
        if self._joining is not None:
            self._joining.cancel()
            await hand_over_vote(self._replica, self._settings.name, self._clock)
        self._stop_listening()
        await self._clock.sleep_ms(_LATE_CALLS_GRACE_MS)
        await self._publisher.wait_idle(_DRAIN_MS)

    async def stop(self) -> None:
        """Stop the servers and the replica, then close the stores."""
        self._stop_listening = None
        await self._stack.aclose()

    async def _start(self) -> None:
        settings = self._settings
        closing = self._stack.enter_context(contextlib.ExitStack())
        identity = new_identity(settings.name, self._clock)
        if self._events is None:
            self._events = open_event_log(closing, settings, identity, self._clock)
        self._events.write(EventKind.PROCESS_STARTED, role="control")
        closing.callback(self._events.write, EventKind.PROCESS_STOPPED)
        stores = open_stores(Path(settings.data_folder), closing, self._files)
        if stores.repaired_bytes:
            self._record_log_repair(stores.repaired_bytes)
        self._build(stores)
        await self._start_grpc()
        self._replica.start()
        self._start_http()
        self._start_task(self._sweep())
        if settings.voters is not None:
            self._start_voter_repair(settings.voters)
        _log.info("replica %s is listening on %s", settings.name, settings.link_bind)

    def _record_log_repair(self, length: int) -> None:
        _log.warning("truncated %d bytes of an incomplete append from the log", length)
        self._events.write(EventKind.STORE_REPAIRED, bytes=length)

    def _build(self, stores: Stores) -> None:
        settings = self._settings
        self._replica = Replica(
            _replica_options(settings, self._bootstrap),
            stores,
            self._transport,
            self._clock,
            self._events,
        )
        self._replica.listen(CommandEventWriter(self._events).write)
        self._membership = Membership(self._clock, settings.member_timeout_ms)
        options = WatchOptions(
            name=settings.name,
            heartbeat_ms=settings.silence_between_regions_ms / 3,
            silence_ms=settings.member_timeout_ms,
        )
        self._service = FleetService(
            self._replica, self._membership, self._clock, options
        )

    async def _start_grpc(self) -> None:
        server = ClosingServer([self._service, ConsensusService(self._replica)])
        host, port = split_address(self._settings.link_bind)
        try:
            await server.start(host, port)
        except OSError as error:
            raise SettingsError(
                error.strerror or str(error),
                step="listen",
                peer=self._settings.link_bind,
            ) from None
        self._stack.push_async_callback(server.wait_closed)
        self._stack.callback(server.close)

    def _start_http(self) -> None:
        """Start the HTTP server, and register how it and the replica are stopped.

        The server stops accepting connections first. Calls that another leader answers
        may then end. The stop of the replica ends the others with an error, which is
        sent before the connections are closed.
        """
        routes = operational_routes(lambda: self.is_ready)
        publisher = HighestVersionPublisher(self._replica, self._clock)
        if self._operator_routes is not None:
            routes += self._operator_routes(publisher)
        server = HTTPServer(Application(routes))
        self._stack.push_async_callback(server.close_all_connections)
        self._stack.push_async_callback(publisher.wait_idle, CALL_TIMEOUT_MS)
        self._stack.push_async_callback(self._replica.stop)
        self._stack.push_async_callback(publisher.wait_idle, CALL_TIMEOUT_MS)
        listeners = listen_http(server, self._settings.http_bind)
        self._stack.callback(server.stop)
        self._publisher = publisher
        self._stop_listening = lambda: _stop_accepting(server, listeners)

    def _start_voter_repair(self, voters: int) -> None:
        name = self._settings.name
        own_node = Node(name, self._settings.link_address)
        voter_repair = VoterRepair(
            self._replica, name, voters, self._clock, self._events
        )
        join_requester = JoinRequester(
            self._replica, own_node, self._known_replicas, self._transport, self._clock
        )
        self._start_task(voter_repair.run())
        self._joining = self._start_task(join_requester.run())

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._stack.callback(task.cancel)
        return task

    async def _sweep(self) -> None:
        """Expire members and keys and update the metrics at a fixed interval."""
        while True:
            await self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            for name in self._membership.expire_members():
                self._events.write(EventKind.MEMBER_LOST, peer=name)
            self._set_metrics()
            await self._expire_keys()

    async def _expire_keys(self) -> None:
        now_ms = self._clock.wall_ms()
        if not self._replica.is_leader:
            return
        if not self._replica.state.has_expired_keys(now_ms):
            return
        command = Command(time_ms=now_ms, expire_keys=ExpireKeys())
        with contextlib.suppress(NoQuorumError):
            await self._replica.propose(command, EXPIRE_KEYS_TIMEOUT_MS)

    def _set_metrics(self) -> None:
        name = self._settings.name
        replica = self._replica
        status = replica.status()
        metrics.TERM.labels(name).set(status.term)
        metrics.COMMIT_INDEX.labels(name).set(status.commit_index)
        metrics.LEADS.labels(name).set(replica.is_leader)
        metrics.MAY_VOTE.labels(name).set(replica.may_vote)
        metrics.STORE_FAILED.labels(name).set(replica.has_failed)
        metrics.MANIFEST_VERSION.labels(name).set(replica.state.manifest_version)
        metrics.MEMBERS.labels(name).set(len(self._membership.members()))
        metrics.WATCHERS.labels(name).set(self._service.watcher_count)
        metrics.KEYS.labels(name).set(replica.state.key_count)


def _replica_options(settings: ControlSettings, bootstrap: bool) -> ReplicaOptions:
    nodes = sorted(
        (Node(peer.name, peer.address, BOOTSTRAP_DISK_ID) for peer in settings.control),
        key=lambda node: node.name,
    )
    return ReplicaOptions(
        name=settings.name,
        initial_configuration=Configuration(tuple(nodes)),
        bootstrap=bootstrap,
        election_timeout_ms=settings.election_timeout_ms,
        append_interval_ms=settings.append_interval_ms,
        snapshot_entries=settings.snapshot_entries,
    )


def _stop_accepting(server: HTTPServer, listeners: list[socket.socket]) -> None:
    """Accept no more connections, and close each one after its next response."""
    stop_http(server, listeners)
    server.conn_params.no_keep_alive = True


async def run_control(
    settings: ControlSettings,
    *,
    bootstrap: bool = False,
    operator_routes: Callable[[Publisher], list[tuple]] | None = None,
    reload: Callable[[], ControlSettings] | None = None,
) -> None:
    """Run a control replica until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the replica.
    bootstrap : bool, default=False
        Accept an empty data folder as that of a voter of the initial configuration;
        needed once, at the first start of a fleet.
    operator_routes : callable, optional
        Returns additional HTTP routes for operators who publish and read manifests.
    reload : callable, optional
        Rereads the settings; called after SIGHUP and once a second.

    Raises
    ------
    SettingsError
        The event log or an address cannot be opened.
    CorruptLogError
        The data folder is damaged.
    """
    known_replicas = ReplicaList(settings.control)

    def reload_settings() -> None:
        if reload is not None:
            known_replicas.replicas = reload().control

    daemon: ControlDaemon | None = None

    async def drain() -> None:
        if daemon is not None:
            await daemon.drain()

    def build() -> ControlDaemon:
        nonlocal daemon
        daemon = ControlDaemon(
            settings,
            bootstrap=bootstrap,
            operator_routes=operator_routes,
            known_replicas=lambda: known_replicas.replicas,
        )
        return daemon

    stopping = asyncio.create_task(run_until_signal(drain, reload_settings))
    await run_replicas(build, stopping)


async def run_replicas(
    build: Callable[[], ControlDaemon], stopping: asyncio.Task[None]
) -> None:
    """Run a replica, and another one after each failure of its store.

    The failure may be temporary, such as a full disk.

    Parameters
    ----------
    build : callable
        Returns a replica that was not started.
    stopping : asyncio.Task
        The replica is stopped when this task ends.

    Raises
    ------
    SettingsError
        The event log or an address cannot be opened.
    CorruptLogError
        The data folder is damaged.
    """
    while not stopping.done():
        daemon = build()
        try:
            await daemon.start()
        except StoreFailedError as error:
            _log.error(
                "cannot open the store; retrying in %.1f s: %s",
                STORE_RETRY_DELAY_S,
                error,
            )
            await _wait_before_retry(stopping)
            continue
        try:
            await _wait_for_stop_or_failure(daemon, stopping)
        finally:
            await daemon.stop()
        if not stopping.done():
            await _wait_before_retry(stopping)
    stopping.result()


async def run_standby(settings: ProcessSettings) -> None:
    """Wait for SIGTERM or SIGINT without running a replica.

    For a VM that is assigned the control role but has no disk. A replica there could
    lose entries that it has acknowledged, and a process that exits would be restarted
    over and over.

    Raises
    ------
    SettingsError
        The event log cannot be opened.
    """
    clock = Clock()
    with contextlib.ExitStack() as stack:
        identity = new_identity(settings.name, clock)
        events = open_event_log(stack, settings, identity, clock)
        events.write(EventKind.PROCESS_STARTED, role="standby", reason="no data folder")
        await run_until_signal(_nothing_to_drain)
        events.write(EventKind.PROCESS_STOPPED)


@dataclass
class ReplicaList:
    """Control replicas of the settings; replaced when the settings are reloaded."""

    replicas: Sequence[PeerAddress]


async def _wait_for_stop_or_failure(
    daemon: ControlDaemon, stopping: asyncio.Task[None]
) -> None:
    """Wait until the process is to stop or the store has failed."""
    while not stopping.done() and not daemon.replica.has_failed:
        await asyncio.wait({stopping}, timeout=STORE_CHECK_INTERVAL_S)


async def _wait_before_retry(stopping: asyncio.Task[None]) -> None:
    await asyncio.wait({stopping}, timeout=STORE_RETRY_DELAY_S)


async def _nothing_to_drain() -> None:
    """Do nothing: a process without a replica has no calls in progress."""
