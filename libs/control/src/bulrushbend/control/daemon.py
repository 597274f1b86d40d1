"""The control daemon: a replica of the state behind the `Fleet` service."""

import asyncio
import contextlib

from grpclib.server import Server
from tornado.httpserver import HTTPServer
from tornado.web import Application

from bulrushbend.control.membership import Membership
from bulrushbend.control.service import FleetService
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import SettingsError
from bulrushbend.core.events import EventKind
from bulrushbend.core.identity import new_identity
from bulrushbend.core.logs import part_logger
from bulrushbend.core.settings import ControlSettings, split_address
from bulrushbend.process.daemon import (
    listen_http,
    open_event_log,
    operational_routes,
    run_until_signal,
)
from bulrushbend.store.base import BaseReplica, SoloReplica

_log = part_logger("control.daemon")
SWEEP_MS = 250


class ControlDaemon:
    """One control replica with its servers; `start` and `stop` it.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the replica.
    bootstrap : bool, default=False
        Accept an empty data folder as that of a founding voter.
    clock : Clock, optional
        Source of time.
    """

    def __init__(
        self,
        settings: ControlSettings,
        *,
        bootstrap: bool = False,
        clock: Clock | None = None,
    ):
        self._settings = settings
        self._bootstrap = bootstrap
        self._clock = clock or Clock()
        self._stack = contextlib.AsyncExitStack()
        self._replica: BaseReplica = SoloReplica(settings.name)
        self._membership = Membership(self._clock, settings.member_timeout_ms)
        self._service = FleetService(self._replica, self._membership, self._clock)

    @property
    def replica(self) -> BaseReplica:
        """Replica of the state."""
        return self._replica

    @property
    def service(self) -> FleetService:
        """The `Fleet` service."""
        return self._service

    @property
    def is_ready(self) -> bool:
        """Whether a leader is known, so that writes can succeed."""
        return bool(self._replica.status().leader)

    async def start(self) -> None:
        """Open the event log and start the servers.

        Raises
        ------
        SettingsError
            If a file or an address cannot be opened.
        """
        settings = self._settings
        identity = new_identity(settings.name, self._clock)
        files = self._stack.enter_context(contextlib.ExitStack())
        self._events = open_event_log(files, settings, identity, self._clock)
        self._events.write(EventKind.PROCESS_STARTED, role="control")
        await self._start_grpc()
        self._start_http()
        self._start_task(self._sweep())
        _log.info("replica %s serves on %s", settings.name, settings.link_address)

    async def stop(self) -> None:
        """Stop the servers and close everything."""
        self._events.write(EventKind.PROCESS_STOPPED)
        await self._stack.aclose()

    async def _start_grpc(self) -> None:
        server = Server([self._service])
        host, port = split_address(self._settings.link_address)
        try:
            await server.start(host, port)
        except OSError as error:
            raise SettingsError(
                error.strerror or str(error),
                step="listen",
                peer=self._settings.link_address,
            ) from None
        self._stack.push_async_callback(server.wait_closed)
        self._stack.callback(server.close)

    def _start_http(self) -> None:
        application = Application(operational_routes(lambda: self.is_ready))
        server = HTTPServer(application)
        listen_http(server, self._settings.http_address)
        self._stack.push_async_callback(server.close_all_connections)
        self._stack.callback(server.stop)

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._stack.callback(task.cancel)

    async def _sweep(self) -> None:
        """Drop silent members."""
        while True:
            await self._clock.sleep_ms(SWEEP_MS)
            for name in self._membership.drop_silent():
                self._events.write(EventKind.MEMBER_LOST, peer=name)


async def run_control(settings: ControlSettings, *, bootstrap: bool = False) -> None:
    """Run a control replica until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the replica.
    bootstrap : bool, default=False
        Accept an empty data folder as that of a founding voter; needed once, at the
        first start of a fleet.
    """
    daemon = ControlDaemon(settings, bootstrap=bootstrap)
    await daemon.start()
    try:
        await run_until_signal(_nothing_to_drain)
    finally:
        await daemon.stop()


async def _nothing_to_drain() -> None:
    """Return at once: a control replica holds no requests of callers."""
