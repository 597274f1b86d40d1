"""Server side of a watch stream: receives reports, sends the state of the fleet."""

import asyncio
import contextlib
import hashlib
from dataclasses import dataclass
from typing import Any, Protocol

from bulrushbend.control.membership import Membership
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import NoQuorumError
from bulrushbend.store.base import BaseReplica
from bulrushbend.store.configuration import Node
from bulrushbend.wire.fleet_pb2 import ControlNode, FleetState, Member, MemberReport

# Changes of members within this delay are sent in one message; otherwise a start of
# 1,000 processes would send 1,000 messages to each of them. A message costs about
# 0.3 ms of CPU time, so sending a change to all members takes 0.3 ms per member. The
# delay grows with the number of members to leave the replica time for its other work.
MEMBER_BATCH_DELAY_MS = 20
MEMBER_BATCH_DELAY_PER_MEMBER_MS = 0.5
CONFIRM_TIMEOUT_MS = 1000
# Streams that request a confirmed read within this time share it, since each read
# costs the leader a round trip to a majority. The delay is small compared with the
# lease of a member, which lasts seconds.
CONFIRM_BATCH_DELAY_MS = 100
# A peer that still reports an older version by then may have rejected the manifest; it
# is sent again.
MANIFEST_RESEND_DELAY_MS = 2000


@dataclass(frozen=True)
class WatchOptions:
    """Settings of the watch streams; times are in milliseconds.

    Attributes
    ----------
    name : str
        Name of this replica.
    heartbeat_ms : float
        Longest time without a message to the peer. A client disconnects from a replica
        that has sent nothing for `silence_between_regions_ms`, 6 s by default; an
        interval of a third of that tolerates the loss of two messages.
    silence_ms : float
        The stream is closed when no report has been received for this long.
    push_grace_ms : float
        Time during which only the preferred replica sends a new manifest to a member.
        Then the others send it too if the member still reports an older version. Each
        member watches all replicas; without this delay every replica would send the
        whole manifest.
    """

    name: str = ""
    heartbeat_ms: float = 2000.0
    silence_ms: float = 5000.0
    push_grace_ms: float = 750.0


class ManifestAge(Protocol):
    """Age of the manifests known to a replica."""

    def superseded_for_ms(self, version: int) -> float:
        """Return for how long a manifest newer than `version` has been known."""
        ...


class ReadIndexBatcher:
    """Shares confirmed reads among streams that request one at about the same time.

    Parameters
    ----------
    replica : BaseReplica
        Replica that confirms its state through the leader.
    """

    def __init__(self, replica: BaseReplica):
        self._replica = replica
        self._pending_read: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Wait for a confirmed read that starts after this call.

        Raises
        ------
        NoQuorumError
            No leader confirmed in time.
        """
        if self._pending_read is None:
            self._pending_read = asyncio.create_task(self._start_read_after_delay())
            # All waiting streams may have ended when the read fails.
            self._pending_read.add_done_callback(_mark_error_as_handled)
        await asyncio.shield(self._pending_read)

    async def _start_read_after_delay(self) -> None:
        await asyncio.sleep(CONFIRM_BATCH_DELAY_MS / 1000.0)
        self._pending_read = None
        await self._replica.read_index(CONFIRM_TIMEOUT_MS)


def _mark_error_as_handled(read: asyncio.Task[None]) -> None:
    if not read.cancelled():
        read.exception()


class Watcher:
    """Serves one stream of `Fleet.Watch`.

    Parameters
    ----------
    stream : grpclib.server.Stream
        Stream to serve.
    manifest_age : ManifestAge
        Source of the age of manifests.
    replica : BaseReplica
        Source of the manifest.
    membership : Membership
        Receives the reports.
    options : WatchOptions
        Settings.
    read_index_batcher : ReadIndexBatcher
        Confirmed reads for the leases of members.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        stream: Any,
        manifest_age: ManifestAge,
        replica: BaseReplica,
        membership: Membership,
        options: WatchOptions,
        read_index_batcher: ReadIndexBatcher,
        clock: Clock,
    ):
        self._clock = clock
        self._stream = stream
        self._read_index_batcher = read_index_batcher
        self._requested_stamp = 0
        self._confirmed_stamp = 0
        self._sent_stamp = 0
        self._stamp_requested = asyncio.Event()
        self._sent_nodes: tuple[Node, ...] = ()
        self._manifest_age = manifest_age
        self._replica = replica
        self._membership = membership
        self._options = options
        self._member = Member()
        self._changed_names: set[str] = set()
        self._wake = asyncio.Event()
        self._peer_version = 0
        self._confirmation_requested = False
        self._manifest_requested = False
        self._sent_version = 0
        self._sent_ms = 0.0

    def wake(self) -> None:
        """Wake up the sender to check for changes."""
        self._wake.set()

    async def run(self) -> None:
        """Serve the stream until the peer ends it."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._membership.add_listener(self._handle_member_change))
            receiver = asyncio.create_task(self._receive_reports())
            stack.callback(receiver.cancel)
            stack.callback(asyncio.create_task(self._confirm_leases()).cancel)
            await self._send_initial_state()
            while not receiver.done():
                await self._send_update()
                await self._wait_for_changes(receiver)
            receiver.result()

    def _handle_member_change(self, name: str) -> None:
        self._changed_names.add(name)
        self._wake.set()

    async def _receive_reports(self) -> None:
        try:
            while (report := await self._receive_report()) is not None:
                self._handle_report(report)
        finally:
            self._wake.set()

    async def _receive_report(self) -> MemberReport | None:
        """Return the next report, or None after the end of the stream or a timeout."""
        try:
            async with asyncio.timeout(self._options.silence_ms / 1000.0):
                return await self._stream.recv_message()
        except TimeoutError:
            return None

    def _handle_report(self, report: MemberReport) -> None:
        if report.HasField("member"):
            self._member = report.member
        else:
            report.member.CopyFrom(self._member)
        self._membership.handle_report(report)
        self._peer_version = report.manifest_version
        if report.lease_stamp > self._requested_stamp:
            self._requested_stamp = report.lease_stamp
            self._stamp_requested.set()
        self._confirmation_requested = report.confirm
        self._manifest_requested = report.request_manifest
        if self._needs_manifest():
            self._wake.set()

    async def _confirm_leases(self) -> None:
        while True:
            await self._stamp_requested.wait()
            self._stamp_requested.clear()
            stamp = self._requested_stamp
            try:
                await self._read_index_batcher.wait()
            except NoQuorumError:
                continue
            self._confirmed_stamp = stamp
            self._wake.set()

    async def _wait_for_changes(self, receiver: asyncio.Task[None]) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._options.heartbeat_ms / 1000.0):
                await self._wake.wait()
        if self._changed_names and not receiver.done() and not self._needs_manifest():
            pause_ms = max(
                MEMBER_BATCH_DELAY_MS,
                MEMBER_BATCH_DELAY_PER_MEMBER_MS * len(self._membership),
            )
            await asyncio.sleep(pause_ms / 1000.0)
        self._wake.clear()

    async def _send_initial_state(self) -> None:
        self._changed_names.clear()
        state = FleetState(
            changed=self._membership.members(),
            members_are_complete=True,
            manifest_version=self._replica.state.manifest_version,
        )
        self._add_control(state)
        await self._stream.send_message(state)

    def _needs_manifest(self) -> bool:
        """Return whether to send the manifest to the peer now."""
        version = self._replica.state.manifest_version
        if not self._member.name or version <= self._peer_version:
            return False
        if self._manifest_requested:
            return True
        if self._sent_version > self._peer_version:
            # The peer has not adopted the last one yet. Further ones would queue up
            # there, each superseded by the next.
            return self._clock.now_ms() - self._sent_ms >= MANIFEST_RESEND_DELAY_MS
        age_ms = self._manifest_age.superseded_for_ms(self._peer_version)
        if age_ms >= self._options.push_grace_ms:
            return True
        voters = self._replica.status().voters
        preferred = preferred_replica(self._member.name, voters)
        return preferred in ("", self._options.name)

    async def _send_update(self) -> None:
        state = FleetState()
        self._add_members(state)
        self._add_control(state)
        if self._needs_manifest():
            await self._add_manifest(state)
        state.manifest_version = self._replica.state.manifest_version
        if self._confirmed_stamp > self._sent_stamp:
            self._sent_stamp = state.lease_stamp = self._confirmed_stamp
        await self._stream.send_message(state)

    def _add_control(self, state: FleetState) -> None:
        nodes = self._replica.nodes
        if nodes != self._sent_nodes:
            self._sent_nodes = nodes
            state.control.extend(
                ControlNode(name=node.name, address=node.address) for node in nodes
            )

    def _add_members(self, state: FleetState) -> None:
        names, self._changed_names = self._changed_names, set()
        for name in sorted(names):
            member = self._membership.get(name)
            if member is None:
                state.removed.append(name)
            else:
                state.changed.append(member)

    async def _add_manifest(self, state: FleetState) -> None:
        """Add the manifest, confirmed through the leader if the peer requested it."""
        self._manifest_requested = False
        if self._confirmation_requested:
            try:
                await self._replica.read_index(CONFIRM_TIMEOUT_MS)
            except NoQuorumError:
                return
            state.confirmed = True
        document = self._replica.state.manifest
        state.manifest.CopyFrom(document)
        self._sent_version = document.version
        self._sent_ms = self._clock.now_ms()
        age_ms = self._manifest_age.superseded_for_ms(self._peer_version)
        state.manifest_age_ms = int(age_ms)


def preferred_replica(member: str, voters: tuple[str, ...]) -> str:
    """Return the replica that sends new manifests to `member` without delay.

    Chosen by rendezvous hashing: all replicas compute the same result, and the members
    are spread evenly over the voters.

    Parameters
    ----------
    member : str
        Name of the member.
    voters : tuple of str
        Names of the voting replicas; if there are none, the result is empty.
    """
    return max(
        voters,
        key=lambda name: hashlib.blake2b(f"{member}/{name}".encode()).digest(),
        default="",
    )
