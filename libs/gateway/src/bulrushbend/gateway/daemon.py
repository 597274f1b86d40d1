"""Gateway daemon: forwards requests of callers directly to endpoints."""

import asyncio
import contextlib
import json
import random
import resource
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.web import Application

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.identity import Identity, new_identity
from bulrushbend.core.logs import get_logger, set_verbosity
from bulrushbend.core.manifest import Limits, Manifest, hash_token
from bulrushbend.core.settings import GatewaySettings, PeerAddress, split_address
from bulrushbend.gateway import metrics
from bulrushbend.gateway.admission import AdmissionQueue, ServiceQueues
from bulrushbend.gateway.attempt import AttemptContext, Verdict
from bulrushbend.gateway.budgets import RetryBudgets
from bulrushbend.gateway.call import (
    REQUEST_QUARANTINED,
    Call,
    RequestError,
    draining_error,
    not_run_error,
)
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.crash_reports import CrashReports
from bulrushbend.gateway.dispatch import Dispatcher
from bulrushbend.gateway.endpoint_limits import EndpointLimits
from bulrushbend.gateway.endpoint_notices import EndpointNotices
from bulrushbend.gateway.endpoint_sharing import EndpointListExchange, reader_rank
from bulrushbend.gateway.endpoints import EndpointDirectory, EndpointSource
from bulrushbend.gateway.header_codec import HeaderCodec
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.leaving_reports import LeavingReports
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.loop_monitor import EventLoopMonitor
from bulrushbend.gateway.outcomes import (
    CALLER_LEFT,
    RequestOutcome,
    outcome_of_error,
    outcome_of_fault,
    outcome_of_result,
)
from bulrushbend.gateway.peer_protocol import PeerProtocol
from bulrushbend.gateway.placement_client import CoordinatedPlacement, PlacementClient
from bulrushbend.gateway.placement_server import PlacementServer
from bulrushbend.gateway.placer import PlacementLimits, Placer
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex
from bulrushbend.gateway.quarantine import PromptQuarantine
from bulrushbend.gateway.quarantine_file import QuarantineFile
from bulrushbend.gateway.request_quarantine import RequestQuarantine
from bulrushbend.gateway.routes import RouteTable, choose_service
from bulrushbend.gateway.server import INTERNAL_ERROR, CallerServer
from bulrushbend.gateway.shares import TeamShares
from bulrushbend.gateway.sink import ConnectionSink
from bulrushbend.gateway.usage import UsageMeter
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.daemon import (
    cpu_ms,
    describe_member,
    listen_error,
    listen_http,
    open_event_log,
    operational_routes,
    run_until_stopped,
)
from bulrushbend.process.fleet_client import FleetClient
from bulrushbend.process.lease import ManifestLease
from bulrushbend.process.supervision import run_supervised
from bulrushbend.wire.fleet_pb2 import Member, StatusDetail

_log = get_logger("gateway.daemon")

ROLE = "gateway"
_STARTING_RETRY_AFTER_MS = 1_000.0
# Short, because callers retry through another gateway, which may be idle.
_OVERLOADED_RETRY_AFTER_MS = 100.0
# Largest fraction of the drain for which requests are accepted; the rest is for those
# that run.
_MAX_NOTICE_SHARE = 1 / 3
# Time in which requests on the connections accepted last can arrive and be refused.
_LATE_REQUESTS_GRACE_MS = 300.0
# Time in which the errors of requests that are ended by a drain can be sent.
_ERRORS_SENT_MS = 200.0
_MONITOR_INTERVAL_MS = 200.0
# Interval of the load events. It is short, because the effects of a fault in the fleet
# appear within a few seconds.
_LOAD_EVENT_INTERVAL_MS = 1_000.0


class Gateway:
    """One gateway and its components.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    identity : Identity
        Name and incarnation of the process.
    clock : Clock
        Source of time.
    events : EventLog
        Event log of the process.
    header_codec : HeaderCodec
        Encodes and decodes the headers of the deployment.
    source : EndpointSource
        Lists the endpoints.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        identity: Identity,
        clock: Clock,
        events: EventLog,
        header_codec: HeaderCodec,
        source: EndpointSource,
    ):
        self._settings = settings
        self._identity = identity
        self._clock = clock
        self._events = events
        self._header_codec = header_codec
        self._random = random.Random()
        self._is_draining = False
        self._rejects_requests = False
        self._drain_deadline_ms = float("inf")
        self._control_replicas = settings.control
        self._had_lease = False
        self._running = 0
        self._data_centre_count = 1
        self._routes = RouteTable(())
        self._limits = Limits()
        self._in_force = ActiveManifest(events)
        self._lease = ManifestLease(clock, settings.lease_ms)
        member = describe_member(
            settings,
            identity,
            ROLE,
            link_address=settings.spread_address,
            processor=settings.processor,
        )
        self._watch = FleetClient(
            settings,
            member,
            self._in_force,
            clock,
            events,
            self._status_detail,
            self._lease,
        )
        self._directory = EndpointDirectory(
            source,
            clock,
            events,
            settings.endpoints_poll_ms,
            lambda: self._data_centre_count,
        )
        self._prefix_cache = PrefixCacheIndex()
        self._coordinators = Coordinators(
            identity.name, clock, events, settings.processor
        )
        self._endpoint_limits = EndpointLimits(
            clock, events, self._directory.get, self._coordinators.is_first
        )
        self._loads = LoadView(
            identity.name,
            identity.incarnation,
            clock,
            self._prefix_cache,
            self._endpoint_limits,
        )
        self._health = EndpointHealth(clock, events)
        self._notices = EndpointNotices(clock, events, self._directory.get)
        self._shares = TeamShares(clock)
        self._placer = Placer(
            self._loads,
            self._prefix_cache,
            self._health,
            self._notices,
            self._endpoint_limits,
            PlacementLimits(),
            settings.data_centre,
        )
        self._budgets = RetryBudgets(settings.retry_share, settings.retry_burst)
        self._loop_monitor = EventLoopMonitor(clock)
        self._was_overloaded = False
        self._usage = UsageMeter(clock)
        self._server = CallerServer(self, settings.header_timeout_ms, _connection_limit)
        self._queues = ServiceQueues(self._create_queue)
        self._peer_protocol = PeerProtocol(
            self._loads, self._coordinators, clock, settings.spread_ms
        )
        identity_args = (identity.name, identity.incarnation)
        self._placement_client = PlacementClient(
            *identity_args,
            self._coordinators,
            self._loads,
            clock,
            self._peer_protocol.send,
            settings.data_centre,
        )
        quarantine = PromptQuarantine(clock, events)
        request_quarantine = RequestQuarantine(
            clock, events, quarantine.explains, self._coordinators.turn
        )
        self._quarantine_file: QuarantineFile | None = None
        if settings.data_folder is not None:
            self._quarantine_file = QuarantineFile(
                Path(settings.data_folder), quarantine, request_quarantine, clock
            )
            self._quarantine_file.load()
        self._crash_reports = CrashReports(
            quarantine,
            request_quarantine,
            self._health,
            self._coordinators,
            clock,
            events,
            self._peer_protocol.send,
            settings.connect_ms,
        )
        leaving_reports = LeavingReports(
            self._notices,
            self._coordinators,
            clock,
            self._directory.get,
            self._peer_protocol.send,
        )
        self._placement_server = PlacementServer(
            *identity_args,
            self._queues.for_service,
            lambda: self._accepts_placements,
            quarantine,
            request_quarantine,
            clock,
            events,
            self._peer_protocol.send,
        )
        self._list_exchange = EndpointListExchange(
            *identity_args, self._directory, self._peer_protocol.send
        )
        self._peer_protocol.set_receivers(
            self._placement_client,
            self._placement_server,
            self._list_exchange,
            self._crash_reports,
            leaving_reports,
            self._queues.place_waiting_soon,
        )
        context = AttemptContext(
            header_codec,
            self._loads,
            self._health,
            self._crash_reports,
            self._notices,
            self._endpoint_limits,
            leaving_reports,
            clock,
            settings.connect_ms,
        )
        self._dispatcher = Dispatcher(
            context,
            self._directory,
            self._placement_for,
            self._budgets,
            quarantine,
            request_quarantine,
            clock,
            events,
        )
        self._in_force.add_listener(self._apply_manifest)
        self._watch.add_listener(self._update_members)
        self._directory.add_listener(self._update_endpoints)

    @property
    def server(self) -> CallerServer:
        """HTTP server for callers."""
        return self._server

    @property
    def is_ready(self) -> bool:
        """Whether callers should send requests to this gateway."""
        return (
            not self._is_draining
            and self._in_force.current is not None
            and self._lease.is_valid
            and self._directory.has_list
        )

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after the response in progress."""
        return self._is_draining

    @property
    def _accepts_placements(self) -> bool:
        """Whether requests of other gateways may be placed by this gateway."""
        return (
            not self._is_draining
            and not self._loop_monitor.is_overloaded
            and self._in_force.current is not None
        )

    @property
    def _waiting(self) -> int:
        return self._queues.waiting + self._placement_client.waiting

    @property
    def header_bytes(self) -> int:
        """Maximum size of a request's headers."""
        return self._limits.header_bytes

    @property
    def body_bytes(self) -> int:
        """Maximum size of a request's body."""
        return self._limits.body_bytes

    async def handle_request(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        sink: ConnectionSink,
    ) -> None:
        """Handle a request and write exactly one response to `sink`."""
        received_ms = self._clock.now_ms()
        call: Call | None = None
        outcome = outcome_of_fault(0)
        self._running += 1
        try:
            call = self._create_call(start_line, headers, body, received_ms)
            result = await self._dispatcher.serve(call, sink)
            outcome = outcome_of_result(result)
            if result.verdict is Verdict.ANSWERED:
                sink.finish()
            else:
                sink.abort_response()
        except RequestError as error:
            outcome = outcome_of_error(error)
            self._send_error(headers, error, sink)
        except asyncio.CancelledError:
            outcome = CALLER_LEFT
            raise
        except Exception:
            # The server sends the error.
            if not sink.started:
                outcome = outcome_of_fault(INTERNAL_ERROR.status)
            raise
        finally:
            self._running -= 1
            self._record_outcome(headers, call, outcome, received_ms)

    def error_response(
        self, headers: HTTPHeaders, error: RequestError
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Return status, headers and body of the response for `error`."""
        request_id = self._header_codec.read_request_id(headers)
        response_headers = self._header_codec.error_headers(request_id, error)
        document = {"error": {"code": error.code, "message": error.message}}
        content = json.dumps(document).encode()
        response_headers["Content-Type"] = "application/json"
        response_headers["Content-Length"] = str(len(content))
        return error.status, response_headers, content

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Bind the socket for datagrams of other gateways; `stack` closes it.

        Raises
        ------
        SettingsError
            The address cannot be bound.
        """
        address = self._settings.spread_address
        try:
            await self._peer_protocol.open(address)
        except OSError as error:
            raise listen_error(error, address) from None
        stack.callback(self._peer_protocol.close)

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        tasks = {
            "control-watch": self._watch.run,
            "endpoint-list": self._directory.run,
            "load-reports": self._peer_protocol.run,
            "state-monitor": self._monitor_state,
            "loop-monitor": self._loop_monitor.run,
            "crash-reports": self._crash_reports.run,
            "load-events": self._write_load_events,
        }
        if self._quarantine_file is not None:
            tasks["quarantine-file"] = self._quarantine_file.run
        await run_supervised(tasks, self._clock, self._events)

    def update_control_replicas(self, replicas: Sequence[PeerAddress]) -> None:
        """Apply the control replicas of reloaded settings."""
        if tuple(replicas) != self._control_replicas:
            self._control_replicas = tuple(replicas)
            self._watch.set_configured_replicas(replicas)
            names = [replica.name for replica in replicas]
            self._events.write(EventKind.SETTINGS_RELOADED, control=names)

    async def drain(self, stop_listening: Callable[[], None]) -> None:
        """Report unready, stop accepting requests and wait for those that run.

        Requests that end within `drain_ms` are still accepted for `drain_notice_ms`, in
        which callers detect that the gateway is not ready. Those that still run after
        `drain_ms`, or when the drain is cancelled, are ended with an error.
        """
        self._is_draining = True
        self._events.write(EventKind.PROCESS_DRAINING, running=self._running)
        self._watch.set_leaving()
        drain_ms = self._settings.drain_ms
        notice_ms = min(self._settings.drain_notice_ms, _MAX_NOTICE_SHARE * drain_ms)
        self._drain_deadline_ms = self._clock.now_ms() + drain_ms
        self._dispatcher.begin_drain(self._drain_deadline_ms)
        self._crash_reports.hand_over()
        self._placement_server.decline_waiting()
        try:
            await self._clock.sleep_ms(notice_ms)
            self._rejects_requests = True
            stop_listening()
            await self._clock.sleep_ms(_LATE_REQUESTS_GRACE_MS)
            await self._wait_until_idle(self._drain_deadline_ms)
        finally:
            self._rejects_requests = True
            self._dispatcher.end_requests()
            self._server.close_idle_connections()
            await self._wait_until_idle(self._clock.now_ms() + _ERRORS_SENT_MS)

    async def _wait_until_idle(self, deadline_ms: float) -> None:
        """Wait until no request runs and no response is being sent."""
        while (
            self._running or self._server.has_unfinished_work
        ) and self._clock.now_ms() < deadline_ms:
            await self._clock.sleep_ms(20)

    def _create_call(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        received_ms: float,
    ) -> Call:
        """Return the call for a request; raises `RequestError` if it is rejected."""
        if self._rejects_requests:
            raise draining_error("the gateway is about to stop")
        manifest = self._in_force.current
        if manifest is None:
            message = "the gateway has no manifest yet"
            raise not_run_error(503, "starting", message, _STARTING_RETRY_AFTER_MS)
        if self._loop_monitor.is_overloaded:
            message = "the gateway has more requests than processor time"
            raise not_run_error(503, "strained", message, _OVERLOADED_RETRY_AFTER_MS)
        details = self._header_codec.read_details(headers)
        route = self._routes.match(headers.get("Host", ""), start_line.path)
        if route is None:
            self._require_lease()
            raise RequestError(404, "no-route", "no route for this host and path")
        limit_ms = float(route.time_limit_ms)
        if details.deadline_ms is not None:
            limit_ms = min(limit_ms, details.deadline_ms)
        if received_ms + limit_ms > self._drain_deadline_ms:
            raise draining_error()
        team = ""
        if not route.public and manifest.teams:
            self._require_lease()
            found = manifest.teams_by_token.get(hash_token(details.token))
            if found is None or not details.token:
                raise RequestError(401, "bad-token", "the token is not known")
            team = found.name
        call = Call(
            details=details,
            method=start_line.method,
            target=start_line.path,
            headers=headers,
            body=body,
            route=route,
            service=choose_service(route, self._random),
            team=team,
            received_ms=received_ms,
            limit_ms=received_ms + limit_ms,
            last_event_id=details.last_event_id,
        )
        self._usage.record_requested(team, call.cost)
        return call

    def _require_lease(self) -> None:
        """Raise `RequestError` if the manifest in force may be outdated."""
        if not self._lease.is_valid:
            message = "the gateway cannot reach control"
            raise not_run_error(503, "lease-lost", message, _STARTING_RETRY_AFTER_MS)

    def _send_error(
        self, request_headers: HTTPHeaders, error: RequestError, sink: ConnectionSink
    ) -> None:
        if sink.started:
            sink.abort_response()
            return
        if error.retry_after_ms is not None:
            # Callers retry on another connection, so this one would only occupy a
            # file descriptor.
            sink.close_after_response()
        status, headers, content = self.error_response(request_headers, error)
        sink.start(status, headers)
        sink.write(content)
        sink.finish()

    def _record_outcome(
        self,
        headers: HTTPHeaders,
        call: Call | None,
        outcome: RequestOutcome,
        received_ms: float,
    ) -> None:
        taken_ms = self._clock.now_ms() - received_ms
        service = call.service if call else ""
        # The reason of an aborted response contains the error message of the peer. To
        # bound the number of label values, only the step before the colon is used.
        reason = outcome.reason.partition(":")[0]
        metrics.REQUESTS.labels(service, str(outcome.status), reason).inc()
        metrics.LATENCY.labels(service).observe(taken_ms / 1000.0)
        if call is None:
            details = {"request_id": self._header_codec.read_request_id(headers)}
        else:
            details = _describe_call(call)
            if outcome.reason == REQUEST_QUARANTINED:
                details["identity"] = call.identity
            if call.first_event_ms is not None:
                self._usage.record_served(call.team, call.cost)
        self._events.write(
            outcome.kind,
            **details,
            status=outcome.status,
            reason=outcome.reason,
            taken_ms=round(taken_ms, 1),
            waiting=self._waiting,
            version=self._in_force.version,
            lease_age_ms=self._rounded_lease_age_ms(),
        )

    def _rounded_lease_age_ms(self) -> int | None:
        age_ms = self._lease.age_ms
        return None if age_ms == float("inf") else round(age_ms)

    def _create_queue(self, service: str) -> AdmissionQueue:
        return AdmissionQueue(
            service,
            self._directory,
            self._placer,
            self._notices,
            self._endpoint_limits,
            self._loads,
            self._shares,
            self._clock,
            self._settings.most_waiting,
        )

    def _placement_for(self, service: str) -> CoordinatedPlacement:
        return CoordinatedPlacement(
            service,
            self._queues.for_service(service),
            self._placement_client,
            self._notices,
        )

    def add_listener(self, listener: Callable[[Manifest], None]) -> None:
        """Call `listener` with each manifest that comes into force."""
        self._in_force.add_listener(listener)

    def _apply_manifest(self, manifest: Manifest) -> None:
        self._routes = RouteTable(manifest.routes)
        self._limits = manifest.limits
        self._server.set_idle_ms(manifest.limits.idle_connection_ms)
        self._coordinators.set_services(
            service.name for service in manifest.services if service.memory_tokens
        )
        self._shares.set_shares({team.name: team.share for team in manifest.teams})
        self._update_endpoints(set())

    def _update_members(self, members: dict[str, Member]) -> None:
        gateways = [
            member
            for member in members.values()
            if member.role == ROLE and member.name != self._identity.name
        ]
        peers = {member.name: member.link_address for member in gateways}
        cores_by_gateway = {member.name: member.processor for member in gateways}
        self._coordinators.set_peers(peers, cores_by_gateway)
        self._budgets.set_gateways(len(peers) + 1)
        self._endpoint_limits.set_gateways(len(peers) + 1)
        self._update_readers(gateways)

    def _update_readers(self, others: Sequence[Member]) -> None:
        """Update which gateway of the data centre reads the endpoint list."""
        own_data_centre = self._settings.data_centre
        data_centres = {member.data_centre for member in others}
        self._data_centre_count = len(data_centres | {own_data_centre})
        near = [member for member in others if member.data_centre == own_data_centre]
        cores_by_gateway = {member.name: member.processor for member in near}
        cores_by_gateway[self._identity.name] = self._settings.processor
        self._directory.set_rank(reader_rank(self._identity.name, cores_by_gateway))
        self._list_exchange.set_addresses([member.link_address for member in near])

    def _update_endpoints(self, ended: set[str]) -> None:
        for endpoint in ended:
            self._prefix_cache.remove(endpoint)
            self._health.remove(endpoint)
        self._notices.update()
        self._endpoint_limits.update()
        manifest = self._in_force.current
        if manifest is not None:
            for endpoint in self._directory.endpoints:
                service = manifest.services_by_name.get(endpoint.service)
                memory = service.memory_tokens if service else None
                self._prefix_cache.set_capacity(endpoint.id, memory)
        self._queues.place_waiting_soon()

    async def _monitor_state(self) -> None:
        """Record changes of lease and overload, and update the metrics."""
        while True:
            await self._clock.sleep_ms(_MONITOR_INTERVAL_MS)
            if self._lease.is_valid != self._had_lease:
                self._had_lease = self._lease.is_valid
                kind = (
                    EventKind.LEASE_REGAINED
                    if self._had_lease
                    else EventKind.LEASE_LOST
                )
                self._events.write(kind, version=self._in_force.version)
            if self._loop_monitor.is_overloaded != self._was_overloaded:
                self._was_overloaded = self._loop_monitor.is_overloaded
                kind = (
                    EventKind.GATEWAY_STRAINED
                    if self._was_overloaded
                    else EventKind.GATEWAY_EASED
                )
                self._events.write(
                    kind,
                    delay_ms=round(self._loop_monitor.lag_ms, 1),
                    running=self._running,
                )
            metrics.WAITING.set(self._waiting)
            metrics.RUNNING.set(self._running)
            metrics.CONNECTIONS.set(self._server.connections)
            metrics.LOOP_DELAY.set(self._loop_monitor.lag_ms / 1000.0)

    async def _write_load_events(self) -> None:
        """Write an event with the load each second while there are requests."""
        while True:
            await self._clock.sleep_ms(_LOAD_EVENT_INTERVAL_MS)
            fields = self._usage.collect()
            if fields["asked"] or self._running:
                self._events.write(
                    EventKind.GATEWAY_LOAD,
                    **fields,
                    delay_ms=round(self._loop_monitor.lag_ms, 1),
                    running=self._running,
                    waiting=self._waiting,
                    connections=self._server.connections,
                )

    def _status_detail(self) -> StatusDetail:
        return StatusDetail(
            waiting=self._waiting,
            running=self._running,
            cpu_ms=cpu_ms(),
            control_bytes=self._watch.control_bytes,
        )


def _connection_limit() -> int:
    """Return the maximum number of open connections of callers.

    A request in progress needs one file descriptor for its caller and one for its
    endpoint, so the limit is half of the file descriptors.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, descriptors // 2)


async def _listen(server: CallerServer, address: str) -> None:
    """Accept connections of callers at ``"host:port"``.

    Raises
    ------
    SettingsError
        If the address cannot be bound.
    """
    host, port = split_address(address)
    try:
        await server.listen(host, port)
    except OSError as error:
        raise listen_error(error, address) from None


def _describe_call(call: Call) -> dict[str, Any]:
    """Return the event fields that describe a request."""
    return {
        "request_id": call.details.request_id,
        "service": call.service,
        "team": call.team,
        "cost": int(call.cost),
        "waited_ms": _round_optional(call.waited_ms),
        "route": call.route.name,
        "endpoint": call.endpoint,
        "coordinator": call.coordinator,
        "tried": sorted(call.tried),
        "first_event_ms": _round_optional(call.first_event_ms),
        "longest_pause_ms": _round_optional(call.longest_pause_ms),
    }


def _round_optional(value_ms: float | None) -> float | None:
    return None if value_ms is None else round(value_ms, 1)


async def run_gateway(
    settings: GatewaySettings,
    header_codec: HeaderCodec,
    source: EndpointSource,
    ready_path: str = "/readyz",
    reload: Callable[[], GatewaySettings] | None = None,
) -> None:
    """Run the gateway daemon until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    header_codec : HeaderCodec
        Encodes and decodes the headers of the deployment.
    source : EndpointSource
        Lists the endpoints.
    ready_path : str, default="/readyz"
        Additional path of the readiness page.
    reload : callable, optional
        Returns the settings read again after SIGHUP or a change of the file.

    Raises
    ------
    SettingsError
        If an address or the event log cannot be opened.
    """
    set_verbosity(settings.log_level)
    clock = Clock()
    identity = new_identity(settings.name, clock)
    async with contextlib.AsyncExitStack() as stack:
        events = open_event_log(stack, settings, identity, clock)
        gateway = Gateway(settings, identity, clock, events, header_codec, source)
        await gateway.open(stack)
        http_server = gateway.server
        await _listen(http_server, settings.front_address)
        stack.callback(http_server.stop)
        operational_server = HTTPServer(
            Application(operational_routes(lambda: gateway.is_ready, ready_path))
        )
        listen_http(operational_server, settings.http_bind)
        stack.callback(operational_server.stop)
        events.write(EventKind.PROCESS_STARTED, role=ROLE)
        stack.callback(events.write, EventKind.PROCESS_STOPPED)

        def reload_settings() -> None:
            if reload is not None:
                gateway.update_control_replicas(reload().control)

        await run_until_stopped(
            gateway.run(), lambda: gateway.drain(http_server.stop), reload_settings
        )
        http_server.close_connections()
