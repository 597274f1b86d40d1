"""Client of the `Fleet` service of control, for gateways, routers and agents."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from prometheus_client import Histogram
from pydantic import ValidationError

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import NoQuorumError, outer_name_of
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.logs import get_logger
from bulrushbend.core.settings import PeerAddress, ProcessSettings, split_address
from bulrushbend.core.validation import format_validation_error
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.lease import ManifestLease
from bulrushbend.process.manifest_requests import ManifestRequests
from bulrushbend.wire.fleet_grpc import FleetStub
from bulrushbend.wire.fleet_pb2 import (
    ControlNode,
    FleetState,
    Member,
    MemberReport,
    StatusDetail,
)

_log = get_logger("process.watch")

MANIFEST_DELAY = Histogram(
    "bulrushbend_manifest_delay_seconds",
    "Time from the first announcement of a newer manifest to the manifest in force.",
    buckets=(0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0),
)

MemberListener = Callable[[dict[str, Member]], None]
# Interval of the status detail in reports. Status pages need no finer resolution, and
# the detail is sent to every replica.
DETAIL_INTERVAL_MS = 1000.0
# Delay before a lost connection is opened again, and after further failures. Both are
# random, so that not all processes connect in the same moment.
_RECONNECT_DELAY_MS = (0.0, 100.0)
_RETRY_DELAY_MS = (500.0, 1000.0)
# Errors that mean the connection to a control replica is lost or unusable.
CONNECTION_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


class FleetClient:
    """Sends reports of this process to all control replicas and watches their state.

    Each replica is watched by a task of its own, so a partitioned replica cannot hide a
    new manifest or member.

    Parameters
    ----------
    settings : ProcessSettings
        Addresses and timeouts.
    member : Member
        Identity of this process.
    in_force : ActiveManifest
        Adopts the manifests that control sends.
    clock : Clock
        Source of time.
    events : EventLog
        Receives events of connections and members.
    detail : callable
        Returns the `StatusDetail` of this process for its reports.
    lease : ManifestLease, optional
        Renewed when control confirms that the manifest in force is the newest.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        member: Member,
        in_force: ActiveManifest,
        clock: Clock,
        events: EventLog,
        detail: Callable[[], StatusDetail],
        lease: ManifestLease | None = None,
    ):
        self._lease = lease
        self._settings = settings
        self._member = member
        self._in_force = in_force
        self._clock = clock
        self._events = events
        self._collect_detail = detail
        self._leaving = False
        self._views: dict[str, dict[str, Member]] = {}
        self._connected: set[str] = set()
        self._members: dict[str, Member] = {}
        self._listeners: list[MemberListener] = []
        self._channels: dict[str, Channel] = {}
        self._control_bytes = 0
        self._manifest_requests = ManifestRequests(in_force, clock, self._ask)
        # Names of the replicas to ask for their manifest, and what wakes the senders.
        self._asked: set[str] = set()
        self._report_wakers: dict[str, asyncio.Event] = {}
        self._behind_since_ms: float | None = None
        self._configured_replicas = settings.control
        self._advertised_replicas: dict[str, tuple[PeerAddress, ...]] = {}
        self._replicas_changed = asyncio.Event()

    @property
    def members(self) -> dict[str, Member]:
        """Known routers and agents by name."""
        return self._members

    @property
    def connected_count(self) -> int:
        """Number of control replicas with an established watch stream."""
        return len(self._connected)

    @property
    def control_bytes(self) -> int:
        """Size of all watch messages exchanged with control, in bytes."""
        return self._control_bytes

    def add_listener(self, listener: MemberListener) -> None:
        """Call `listener` with all members now and after each change."""
        self._listeners.append(listener)
        listener(self._members)

    def set_leaving(self) -> None:
        """Mark this process as leaving in all further reports."""
        self._leaving = True

    def set_configured_replicas(self, replicas: Sequence[PeerAddress]) -> None:
        """Replace the control replicas of the settings, for example after a reload."""
        self._configured_replicas = tuple(replicas)
        self._replicas_changed.set()

    async def run(self) -> None:
        """Watch all control replicas until cancelled."""
        tasks: dict[PeerAddress, asyncio.Task[None]] = {}
        requests = asyncio.create_task(self._manifest_requests.run())
        try:
            while True:
                self._replicas_changed.clear()
                wanted = set(self._replicas())
                for replica in tasks.keys() - wanted:
                    tasks.pop(replica).cancel()
                for replica in wanted - tasks.keys():
                    tasks[replica] = asyncio.create_task(self._watch_replica(replica))
                await self._wait_for_replica_change([requests, *tasks.values()])
        finally:
            requests.cancel()
            for task in tasks.values():
                task.cancel()
            for channel in self._channels.values():
                channel.close()

    async def _wait_for_replica_change(
        self, tasks: Iterable[asyncio.Task[None]]
    ) -> None:
        """Return when the set of replicas changes; raise the error of a failed task."""
        change = asyncio.create_task(self._replicas_changed.wait())
        done, _ = await asyncio.wait(
            {change, *tasks}, return_when=asyncio.FIRST_COMPLETED
        )
        change.cancel()
        for task in done:
            if task is not change:
                task.result()

    def _replicas(self) -> list[PeerAddress]:
        """Return the replicas of the settings and those that control advertises."""
        by_address = {replica.address: replica for replica in self._configured_replicas}
        for replicas in self._advertised_replicas.values():
            by_address |= {replica.address: replica for replica in replicas}
        return list(by_address.values())

    async def call(self, method: str, request: Any, timeout_ms: float) -> Any:
        """Call a unary method of the `Fleet` service, retrying on other replicas.

        Parameters
        ----------
        method : str
            Method name such as ``"RecordKey"``; it must be idempotent, since a
            replica that fails may have executed it.
        request : message
            Request message.
        timeout_ms : float
            Time limit for all attempts together in milliseconds.

        Raises
        ------
        NoQuorumError
            No replica answered in time; the outcome of a write is unknown.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        last_error = "no control replica is connected"
        while True:
            replicas = sorted(
                self._replicas(),
                key=lambda r: (r.name not in self._connected, random.random()),
            )
            for replica in replicas:
                remaining_ms = deadline_ms - self._clock.now_ms()
                if remaining_ms <= 0:
                    raise NoQuorumError(last_error, step=method, peer="control")
                try:
                    async with asyncio.timeout(remaining_ms / 1000.0 / 2 + 0.05):
                        stub = FleetStub(self._channel(replica))
                        return await getattr(stub, method)(request)
                except CONNECTION_ERRORS as error:
                    last_error = f"{outer_name_of(error)} from {replica.name}"
                    self._drop_channel(replica)
            await self._clock.sleep_ms(50)

    def _channel(self, replica: PeerAddress) -> Channel:
        channel = self._channels.get(replica.name)
        if channel is None:
            host, port = split_address(replica.address)
            channel = Channel(host, port)
            self._channels[replica.name] = channel
        return channel

    def _drop_channel(self, replica: PeerAddress) -> None:
        channel = self._channels.pop(replica.name, None)
        if channel is not None:
            channel.close()

    async def _watch_replica(self, replica: PeerAddress) -> None:
        while True:
            host, port = split_address(replica.address)
            channel = Channel(host, port)
            started_ms = self._clock.now_ms()
            try:
                await self._run_watch_stream(replica, channel)
            except CONNECTION_ERRORS as error:
                if replica.name in self._connected:
                    reason = outer_name_of(error)
                    _log.warning(
                        "lost connection to control replica %s: %s; reconnecting",
                        replica.name,
                        reason,
                    )
                    self._events.write(
                        EventKind.LINK_DOWN, peer=replica.name, reason=reason
                    )
            except Exception as error:
                _log.error(
                    "watching control replica %s at %s failed with unexpected error: "
                    "%r; trying again",
                    replica.name,
                    replica.address,
                    error,
                )
            finally:
                channel.close()
                was_connected = replica.name in self._connected
                self._connected.discard(replica.name)
                self._manifest_requests.remove(replica.name)
                self._merge_views()
            lasted = self._clock.now_ms() - started_ms >= _RETRY_DELAY_MS[1]
            delay_ms = (
                _RECONNECT_DELAY_MS if was_connected and lasted else _RETRY_DELAY_MS
            )
            await self._clock.sleep_ms(random.uniform(*delay_ms))

    async def _run_watch_stream(self, replica: PeerAddress, channel: Channel) -> None:
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.timeout(self._settings.connect_timeout_ms / 1000.0):
                stream = await stack.enter_async_context(
                    FleetStub(channel).Watch.open()
                )
                await stream.send_request()
            waker = self._report_wakers[replica.name] = asyncio.Event()
            sender = asyncio.create_task(
                self._send_reports(replica.name, stream, waker)
            )
            stack.callback(sender.cancel)
            silence_s = self._settings.silence_between_regions_ms / 1000.0
            while not sender.done():
                async with asyncio.timeout(silence_s):
                    state = await stream.recv_message()
                if state is None:
                    raise ConnectionError("watch stream closed by the control replica")
                self._handle_state(replica.name, state)
        raise ConnectionError("sending reports to the control replica ended")

    async def _send_reports(
        self, replica_name: str, stream: Any, waker: asyncio.Event
    ) -> None:
        """Send a report at each heartbeat and when `waker` is set."""
        sent_member = Member()
        next_detail_ms = self._clock.now_ms()
        while True:
            report = MemberReport(
                manifest_version=self._in_force.version,
                confirm=self._in_force.current is None,
                leaving=self._leaving,
                request_manifest=replica_name in self._asked,
            )
            self._asked.discard(replica_name)
            if self._lease is not None:
                report.lease_stamp = self._lease.stamp()
            if sent_member != self._member:
                sent_member.CopyFrom(self._member)
                report.member.CopyFrom(sent_member)
            now_ms = self._clock.now_ms()
            # By default every second report carries the detail. The tolerance of half a
            # heartbeat keeps the jitter of the sleep from delaying it to the next one.
            if now_ms >= next_detail_ms - self._settings.heartbeat_ms / 2:
                next_detail_ms = now_ms + DETAIL_INTERVAL_MS
                report.detail.CopyFrom(self._collect_detail())
            self._control_bytes += report.ByteSize()
            await stream.send_message(report)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.heartbeat_ms / 1000.0):
                    await waker.wait()
            waker.clear()

    def _ask(self, replica_name: str) -> None:
        """Ask a replica for the manifest that it announced."""
        self._asked.add(replica_name)
        self._report_wakers[replica_name].set()

    def _handle_state(self, replica_name: str, state: FleetState) -> None:
        self._control_bytes += state.ByteSize()
        if replica_name not in self._connected:
            self._connected.add(replica_name)
            self._events.write(EventKind.LINK_UP, peer=replica_name)
        self._handle_announcement(replica_name, state.manifest_version)
        if state.HasField("manifest"):
            self._adopt(replica_name, state)
        is_newest = state.manifest_version <= self._in_force.version
        if self._lease is not None and state.lease_stamp and is_newest:
            self._lease.renew(state.lease_stamp)
        if state.control:
            self._advertised_replicas[replica_name] = _decode_replicas(
                state.control, replica_name
            )
            self._replicas_changed.set()
        if state.members_are_complete:
            self._views[replica_name] = {}
        view = self._views.setdefault(replica_name, {})
        for member in state.changed:
            view[member.name] = member
        for name in state.removed:
            view.pop(name, None)
        if state.members_are_complete or state.changed or state.removed:
            self._merge_views()

    def _handle_announcement(self, replica_name: str, version: int) -> None:
        """Record the version of a replica, and since when this process is behind."""
        self._manifest_requests.handle_announcement(replica_name, version)
        if self._manifest_requests.is_behind and self._behind_since_ms is None:
            self._behind_since_ms = self._clock.now_ms()

    def _adopt(self, replica_name: str, state: FleetState) -> None:
        now_ms = self._clock.now_ms()
        since_ms = now_ms if self._behind_since_ms is None else self._behind_since_ms
        adopted = self._in_force.adopt_if_newer(
            state.manifest,
            peer=replica_name,
            confirmed=state.confirmed,
            announced_ms=round(now_ms - since_ms, 1),
            age_ms=state.manifest_age_ms,
        )
        if adopted:
            self._manifest_requests.handle_adoption()
            MANIFEST_DELAY.observe((now_ms - since_ms) / 1000.0)
            is_behind = self._manifest_requests.is_behind
            self._behind_since_ms = now_ms if is_behind else None
        # A replica sends the next manifest once it knows that this one was adopted.
        self._report_wakers[replica_name].set()

    def _merge_views(self) -> None:
        """Merge the views of the connected replicas, or of all if none is connected."""
        names = [name for name in self._views if name in self._connected]
        merged_members: dict[str, Member] = {}
        for name in names or list(self._views):
            for member in self._views[name].values():
                known = merged_members.get(member.name)
                if known is None or member.incarnation > known.incarnation:
                    merged_members[member.name] = member
        if merged_members == self._members:
            return
        for name in merged_members.keys() - self._members.keys():
            self._events.write(EventKind.MEMBER_JOINED, peer=name)
        for name in self._members.keys() - merged_members.keys():
            self._events.write(EventKind.MEMBER_LOST, peer=name)
        self._members = merged_members
        for listener in self._listeners:
            listener(merged_members)


def _decode_replicas(
    nodes: Iterable[ControlNode], source: str
) -> tuple[PeerAddress, ...]:
    """Return the control replicas; invalid entries are logged and skipped."""
    replicas = []
    for node in nodes:
        try:
            replicas.append(PeerAddress(name=node.name, address=node.address))
        except ValidationError as error:
            _log.warning(
                "skipped control replica %r at %r in the list of %s: %s",
                node.name,
                node.address,
                source,
                format_validation_error(error),
            )
    return tuple(replicas)
