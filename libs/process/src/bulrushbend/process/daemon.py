"""Lifecycle of a daemon and its operational HTTP endpoints."""

import asyncio
import contextlib
import re
import resource
import signal
import socket
import sys
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import prometheus_client
import uvloop
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import RequestHandler

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import SettingsError
from bulrushbend.core.events import EventLog, MemoryEventLog, StreamEventLog
from bulrushbend.core.identity import Identity
from bulrushbend.core.logs import get_logger
from bulrushbend.core.pipelog import PipeEventLog
from bulrushbend.core.settings import ProcessSettings, split_address
from bulrushbend.wire.fleet_pb2 import Member

_log = get_logger("process.daemon")
# Interval for rereading the settings, which may change without a SIGHUP.
RELOAD_INTERVAL_S = 1.0
# Value of the setting `event_log` that selects standard output.
STANDARD_OUTPUT = "-"


class MetricsHandler(RequestHandler):
    """``/metrics`` in the Prometheus text format."""

    def get(self) -> None:
        """Return the metrics of this process."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.write(prometheus_client.generate_latest())


class HealthHandler(RequestHandler):
    """``/healthz``: the event loop of the process is running."""

    def get(self) -> None:
        """Return status 200."""
        self.write("ok\n")


class ReadyHandler(RequestHandler):
    """``/readyz``: the process accepts work."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Store the callable that returns whether the process is ready."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Return status 200 when ready, else 503."""
        ready = self._is_ready()
        self.set_status(200 if ready else 503)
        self.write("ready\n" if ready else "not ready\n")


def operational_routes(
    is_ready: Callable[[], bool], ready_path: str = "/readyz"
) -> list[tuple]:
    """Return the Tornado routes that every process serves.

    Parameters
    ----------
    is_ready : callable
        Returns whether the process accepts work.
    ready_path : str, default="/readyz"
        Additional path for the health check of a load balancer.
    """
    return [
        (r"/metrics", MetricsHandler),
        (r"/healthz", HealthHandler),
        (r"/readyz", ReadyHandler, {"is_ready": is_ready}),
        (re.escape(ready_path), ReadyHandler, {"is_ready": is_ready}),
    ]


def listen_http(server: HTTPServer, address: str) -> list[socket.socket]:
    """Bind `server` to ``"host:port"`` and return its listening sockets.

    Raises
    ------
    SettingsError
        If the address cannot be bound.
    """
    host, port = split_address(address)
    try:
        listeners = bind_sockets(port, host)
    except OSError as error:
        raise listen_error(error, address) from None
    server.add_sockets(listeners)
    return listeners


def listen_error(error: OSError, address: str) -> SettingsError:
    """Return the error for an address that cannot be bound."""
    return SettingsError(error.strerror or str(error), step="listen", peer=address)


def open_event_log(
    stack: contextlib.ExitStack,
    settings: ProcessSettings,
    identity: Identity,
    clock: Clock,
) -> EventLog:
    """Open the event log that the settings name; `stack` closes it.

    Raises
    ------
    SettingsError
        If the file cannot be opened.
    """
    if settings.event_log is None:
        return MemoryEventLog()
    if settings.event_log == STANDARD_OUTPUT:
        log = PipeEventLog(
            sys.stdout.fileno(), identity.name, identity.incarnation, clock
        )
        stack.callback(log.flush)
        return log
    try:
        Path(settings.event_log).parent.mkdir(parents=True, exist_ok=True)
        stream = stack.enter_context(open(settings.event_log, "a"))  # noqa: SIM115
    except OSError as error:
        raise SettingsError(
            error.strerror or str(error), step="event log", peer=settings.event_log
        ) from None
    return StreamEventLog(stream, identity.name, identity.incarnation, clock)


def describe_member(
    settings: ProcessSettings, identity: Identity, role: str, **fields: str | float
) -> Member:
    """Return the `Member` message of this process.

    Parameters
    ----------
    settings : ProcessSettings
        Location and addresses.
    identity : Identity
        Name and incarnation.
    role : {"control", "router", "agent"}
        Role of the process.
    **fields : str or float
        Further fields of `Member`.
    """
    return Member(
        name=identity.name,
        role=role,
        incarnation=identity.incarnation,
        vm=settings.vm,
        data_centre=settings.data_centre,
        region=settings.region,
        http_address=settings.http_address,
        **fields,
    )


def cpu_ms() -> float:
    """Return the CPU time that this process has used, in milliseconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return (usage.ru_utime + usage.ru_stime) * 1000.0


def run_on_uvloop(main: Coroutine[Any, Any, None]) -> None:
    """Run `main` on a uvloop event loop.

    For daemons that spend most of their CPU time on many small reads and writes.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


async def run_until_signal(
    drain: Callable[[], Awaitable[None]],
    reload: Callable[[], None] | None = None,
) -> None:
    """Wait for SIGTERM or SIGINT, then drain; a second signal aborts the drain.

    Parameters
    ----------
    drain : callable
        Coroutine function that completes the work in progress.
    reload : callable, optional
        Reloads the settings; called after SIGHUP and once a second, since settings
        may change without a signal. It may raise `SettingsError`, which is logged.
    """
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[int] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    reloading = asyncio.ensure_future(_reload_settings_periodically(loop, reload))
    await signals.get()
    reloading.cancel()
    draining = asyncio.ensure_future(drain())
    second_signal = asyncio.ensure_future(signals.get())
    await asyncio.wait({draining, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    second_signal.cancel()
    draining.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await draining


async def run_until_stopped(
    run: Coroutine[Any, Any, None],
    drain: Callable[[], Awaitable[None]],
    reload: Callable[[], None] | None = None,
) -> None:
    """Run the tasks of a daemon until it has drained after a signal.

    An exception in one of its tasks ends the process, so that a supervisor restarts it;
    a daemon that only served its operational endpoints would look healthy.

    Parameters
    ----------
    run : coroutine
        Coroutine that runs all tasks of the daemon.
    drain, reload : callable
        See `run_until_signal`.
    """
    running = asyncio.create_task(run)
    stopping = asyncio.create_task(run_until_signal(drain, reload))
    try:
        done, _ = await asyncio.wait(
            {running, stopping}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            task.result()
    finally:
        running.cancel()
        stopping.cancel()
        await asyncio.gather(running, stopping, return_exceptions=True)


async def _reload_settings_periodically(
    loop: asyncio.AbstractEventLoop, reload: Callable[[], None] | None
) -> None:
    hangup = asyncio.Event()
    # The default action of SIGHUP would terminate the process.
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELOAD_INTERVAL_S):
                await hangup.wait()
        if hangup.is_set():
            _log.info("SIGHUP received; reloading the settings")
        hangup.clear()
        if reload is None:
            continue
        try:
            reload()
        except SettingsError as error:
            _log.error(
                "cannot reload the settings; keeping the current ones: %s", error
            )
        except Exception as error:
            _log.error(
                "reloading the settings failed with unexpected error: %r; keeping the "
                "current ones",
                error,
            )
