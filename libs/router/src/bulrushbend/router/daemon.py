"""Router daemon: accepts requests of callers and runs them through agents."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from tornado.httpserver import HTTPServer

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.identity import Identity, new_identity
from bulrushbend.core.logs import get_logger, set_verbosity
from bulrushbend.core.manifest import Manifest
from bulrushbend.core.settings import RouterSettings
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.daemon import (
    cpu_ms,
    describe_member,
    listen_http,
    open_event_log,
    operational_routes,
    run_until_stopped,
)
from bulrushbend.process.fleet_client import FleetClient
from bulrushbend.process.listening import stop_http
from bulrushbend.process.supervision import run_supervised
from bulrushbend.router import metrics
from bulrushbend.router.attempt import AttemptContext
from bulrushbend.router.dispatch import Dispatcher
from bulrushbend.router.drain import Drain
from bulrushbend.router.errors import RequestEndedError, caller_disconnected, not_run
from bulrushbend.router.http import caller_application
from bulrushbend.router.keys import IdempotencyKeys
from bulrushbend.router.link import AgentLink, LinkContext
from bulrushbend.router.links import AgentLinks
from bulrushbend.router.queue import Reservation, WaitingQueues
from bulrushbend.router.request import CallerRequest
from bulrushbend.router.sinks import AnswerSink
from bulrushbend.router.validation import RequestHead
from bulrushbend.wire.fleet_pb2 import StatusDetail
from bulrushbend.wire.names import Outcome
from bulrushbend.wire.record_groups import AgentRecord

_log = get_logger("router.daemon")

_STARTING_RETRY_AFTER_MS = 1_000.0
_SWEEP_INTERVAL_MS = 500.0
# Extra time at shutdown for key operations that control has not confirmed yet.
_UNCONFIRMED_KEYS_TIMEOUT_S = 5.0
# Tornado closes a connection without an answer if the headers exceed its own limit.
# That limit is therefore higher than the one that is answered with status 431.
_HEADER_LIMIT_FACTOR = 4
_MAX_BODY_BYTES = 1 << 30
_BODY_TIMEOUT_S = 30.0
_IDLE_CONNECTION_TIMEOUT_S = 120.0

_EVENT_KINDS = {
    Outcome.NOT_RUN: EventKind.REQUEST_NOT_RUN,
    Outcome.UNKNOWN: EventKind.REQUEST_UNKNOWN,
    Outcome.FAILED: EventKind.REQUEST_FAILED,
}


class Router:
    """Wires the components of one router and implements its `RouterInterface`.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the process.
    identity : Identity
        Name and incarnation.
    clock : Clock
        Source of time.
    events : EventLog
        Event log of the process.
    """

    def __init__(
        self,
        settings: RouterSettings,
        identity: Identity,
        clock: Clock,
        events: EventLog,
    ):
        self._settings = settings
        self._clock = clock
        self._events = events
        member = describe_member(settings, identity, "router")
        self._in_force = ActiveManifest(events)
        self._watch = FleetClient(
            settings, member, self._in_force, clock, events, self._status_detail
        )
        self._queues = WaitingQueues(clock)
        context = AttemptContext(settings, clock, events)
        self._dispatcher = Dispatcher(context, self._queues)
        self._links = AgentLinks(
            LinkContext(
                settings,
                member,
                self._in_force,
                self._queues,
                clock,
                events,
                self._dispatcher.handle_claim,
                self._handle_records,
            )
        )
        self._keys = IdempotencyKeys(
            self._watch, identity, clock, events, settings.key_timeout_ms
        )
        self._drain = Drain(settings, clock, events, self._queues)
        self._in_force.add_listener(self._apply_manifest)
        self._watch.add_listener(self._links.update)

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def header_bytes(self) -> int:
        """Largest size of a request's headers."""
        return self._settings.header_bytes

    @property
    def is_ready(self) -> bool:
        """Whether the router accepts requests."""
        return self._in_force.current is not None and not self._drain.started

    @property
    def waiting(self) -> int:
        """Number of requests that wait or whose bodies are being received."""
        return self._queues.waiting

    def require_manifest(self) -> Manifest:
        """Return the manifest in force.

        Raises
        ------
        RequestEndedError
            The router drains or has no manifest yet.
        """
        if self._drain.started:
            raise self._drain.draining_error()
        if self._in_force.current is None:
            message = "the router has no manifest yet"
            raise not_run(503, "starting", message, _STARTING_RETRY_AFTER_MS)
        return self._in_force.current

    def reserve(self, team: str) -> Reservation:
        """Reserve room in the queues.

        Raises
        ------
        RequestEndedError
            The queues of the team or of the router are full.
        """
        return self._queues.reserve(team)

    async def serve(
        self, request: CallerRequest, reservation: Reservation, sink: AnswerSink
    ) -> None:
        """Run `request` and forward its answer to `sink`.

        Raises
        ------
        RequestEndedError
            The request ended without a complete answer of an endpoint.
        """
        error = self._no_endpoint_error(request.service)
        if error is not None:
            raise error
        if request.key is None:
            await self._run(request, reservation, sink)
            return
        await self._keys.serve(
            request, sink, lambda buffered: self._run(request, reservation, buffered)
        )

    async def _run(
        self, request: CallerRequest, reservation: Reservation, sink: AnswerSink
    ) -> None:
        self._record_event(EventKind.REQUEST_QUEUED, request)
        await self._dispatcher.serve(request, reservation, sink)

    def track(self) -> contextlib.AbstractContextManager[None]:
        """Count a request as in progress, which delays the end of a drain."""
        return self._drain.track()

    def abandon(self, request: CallerRequest) -> bool:
        """Withdraw a waiting request whose caller disconnected; False if it runs."""
        self._record_event(EventKind.REQUEST_ABANDONED, request)
        request.abandoned = True
        return self._queues.withdraw(request, caller_disconnected())

    def record_end(
        self,
        request_id: str,
        head: RequestHead | None,
        request: CallerRequest | None,
        error: RequestEndedError | None,
    ) -> None:
        """Record the end of a request in the metrics and the event log."""
        outcome = error.outcome if error else Outcome.ANSWERED
        service = request.service if request else ""
        metrics.REQUESTS.labels(service, str(outcome)).inc()
        kind = EventKind.REQUEST_ANSWERED
        if error is not None:
            kind = _EVENT_KINDS.get(error.outcome, EventKind.REQUEST_REFUSED)
        self._events.write(
            kind,
            request_id=request_id,
            team=head.team.name if head else "",
            service=service,
            reason=error.code if error else "",
        )

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        try:
            tasks = {
                "control-watch": self._watch.run,
                "stalls": self._dispatcher.watch_stalls,
                "sweep": self._sweep,
                "unconfirmed-keys": self._keys.retry_unconfirmed,
                "readiness": self._record_ready,
            }
            await run_supervised(tasks, self._clock, self._events)
        finally:
            self._links.close()

    async def drain(self, stop_listening: Callable[[], None]) -> None:
        """Finish the requests in progress; see `Drain.run`."""
        self._watch.set_leaving()
        await self._drain.run(stop_listening)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_UNCONFIRMED_KEYS_TIMEOUT_S):
                while self._keys.unconfirmed:
                    await self._clock.sleep_ms(50)

    async def _record_ready(self) -> None:
        await self._in_force.wait()
        self._events.write(EventKind.PROCESS_READY)

    async def _sweep(self) -> None:
        """Remove lost agents and withdraw requests without an agent."""
        while True:
            await self._clock.sleep_ms(_SWEEP_INTERVAL_MS)
            self._links.remove_lost()
            for service in self._queues.services():
                error = self._no_endpoint_error(service)
                if error is not None:
                    self._queues.withdraw_all(error, service)

    def _no_endpoint_error(self, service: str) -> RequestEndedError | None:
        """Return the error if no endpoint of `service` is expected to claim.

        The grace period covers the time in which links are established after the start
        and after a loss.
        """
        manifest = self._in_force.current
        is_configured = manifest is not None and any(
            endpoint.service == service for endpoint in manifest.endpoints
        )
        grace_ms = self._settings.silence_between_regions_ms
        if is_configured and self._links.unusable_ms(service) <= grace_ms:
            return None
        message = "the service has no endpoint now"
        return not_run(503, "no-endpoint", message, grace_ms)

    def _apply_manifest(self, manifest: Manifest) -> None:
        self._queues.set_limits(manifest.limits)
        self._dispatcher.budget.set_share(manifest.limits.retry_share)

    def _handle_records(self, link: AgentLink, records: Sequence[AgentRecord]) -> None:
        self._links.relay_records(link, records)

    def _status_detail(self) -> StatusDetail:
        waiting, running = self._queues.waiting, self._dispatcher.running
        metrics.WAITING.set(waiting)
        metrics.RUNNING.set(running)
        return StatusDetail(
            waiting=waiting,
            running=running,
            cpu_ms=cpu_ms(),
            control_bytes=self._watch.control_bytes + self._links.control_bytes,
        )

    def _record_event(self, kind: EventKind, request: CallerRequest) -> None:
        self._events.write(
            kind,
            request_id=request.request_id,
            team=request.team,
            service=request.service,
        )


async def run_router(settings: RouterSettings) -> None:
    """Run the router daemon until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the process.

    Raises
    ------
    SettingsError
        If the address or the event log cannot be opened.
    """
    set_verbosity(settings.log_level)
    clock = Clock()
    identity = new_identity(settings.name, clock)
    async with contextlib.AsyncExitStack() as stack:
        events = open_event_log(stack, settings, identity, clock)
        router = Router(settings, identity, clock, events)
        server = HTTPServer(
            caller_application(router, operational_routes(lambda: router.is_ready)),
            max_header_size=settings.header_bytes * _HEADER_LIMIT_FACTOR,
            max_body_size=_MAX_BODY_BYTES,
            body_timeout=_BODY_TIMEOUT_S,
            idle_connection_timeout=_IDLE_CONNECTION_TIMEOUT_S,
        )
        listeners = listen_http(server, settings.http_bind)
        stack.callback(server.stop)
        events.write(EventKind.PROCESS_STARTED)
        await run_until_stopped(
            router.run(), lambda: router.drain(lambda: stop_http(server, listeners))
        )
        await server.close_all_connections()
        events.write(EventKind.PROCESS_STOPPED)
