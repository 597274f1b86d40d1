"""One watch stream: reports of a member in, state of the fleet out."""

import asyncio
import contextlib
import hashlib
from dataclasses import dataclass
from typing import Any, Protocol

from bulrushbend.control.membership import Membership
from bulrushbend.core.errors import NoQuorumError
from bulrushbend.store.base import BaseReplica
from bulrushbend.store.configuration import Node
from bulrushbend.wire.fleet_pb2 import ControlNode, FleetState, Member, MemberReport

# Members that join together are told together; without this pause a start of 1,000
# processes would send each of them 1,000 messages. A message costs about 0.3 ms of CPU,
# so that telling all members of one change takes 0.3 ms for each; the pause grows with
# them and leaves the replica time for its other work.
MEMBER_PAUSE_MS = 20
MEMBER_PAUSE_EACH_MS = 0.5
CONFIRM_TIMEOUT_MS = 1000
# Streams that ask within this time share one confirmed read, which costs a round of the
# leader; it is small against the lease of a member, which lasts seconds.
CONFIRM_PAUSE_MS = 100
# A peer that has not adopted a manifest by then may have lost it with a connection.
RESEND_MS = 2000


@dataclass(frozen=True)
class WatchOptions:
    """Settings of the watch streams; times are in milliseconds.

    Attributes
    ----------
    name : str
        Name of this replica.
    heartbeat_ms : float
        Longest time without a message to the peer. A client gives a silent replica up
        after `silence_between_regions_ms`, 6 s by default; a third of that survives
        the loss of two messages.
    silence_ms : float
        The stream is closed when no report has come for so long.
    push_grace_ms : float
        Time that the preferred replica has for handing on a new manifest before the
        others send it to a member that still reports the old one. Each member watches
        every replica; without the grace each of them would send the whole manifest.
    """

    name: str = ""
    heartbeat_ms: float = 2000.0
    silence_ms: float = 5000.0
    push_grace_ms: float = 750.0


class ManifestAge(Protocol):
    """Tells how long newer manifests have been known here."""

    def newer_for_ms(self, version: int) -> float:
        """Return for how long a manifest newer than `version` has been known."""
        ...


class Confirmation:
    """Confirmed reads of a replica, shared by the streams that ask at about one time.

    Parameters
    ----------
    replica : BaseReplica
        Replica that confirms through the leader.
    """

    def __init__(self, replica: BaseReplica):
        self._replica = replica
        self._next: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Wait for a confirmed read that starts after this call.

        Raises
        ------
        NoQuorumError
            No leader confirmed in time.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._read())
        await asyncio.shield(self._next)

    async def _read(self) -> None:
        await asyncio.sleep(CONFIRM_PAUSE_MS / 1000.0)
        self._next = None
        await self._replica.read_index(CONFIRM_TIMEOUT_MS)


class Watcher:
    """Serves one stream of `Fleet.Watch`.

    Parameters
    ----------
    stream : grpclib.server.Stream
        The stream.
    age : ManifestAge
        Tells how new the manifest is.
    replica : BaseReplica
        Source of the manifest.
    membership : Membership
        Receives the reports.
    options : WatchOptions
        Settings.
    confirmation : Confirmation
        Confirmed reads for the leases of members.
    """

    def __init__(
        self,
        stream: Any,
        age: ManifestAge,
        replica: BaseReplica,
        membership: Membership,
        options: WatchOptions,
        confirmation: Confirmation,
    ):
        self._stream = stream
        self._confirmation = confirmation
        self._asked_stamp = 0
        self._confirmed_stamp = 0
        self._sent_stamp = 0
        self._asked = asyncio.Event()
        self._sent_nodes: tuple[Node, ...] = ()
        self._age = age
        self._replica = replica
        self._membership = membership
        self._options = options
        self._member = Member()
        self._dirty: set[str] = set()
        self._wake = asyncio.Event()
        self._peer_version = 0
        self._wants_confirmation = False
        self._sent_version = 0
        self._sent_age_ms = 0.0

    def wake(self) -> None:
        """Have the sending side look for news."""
        self._wake.set()

    async def run(self) -> None:
        """Serve the stream until the peer ends it."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._membership.listen(self._mark))
            receiver = asyncio.create_task(self._receive())
            stack.callback(receiver.cancel)
            stack.callback(asyncio.create_task(self._confirm_leases()).cancel)
            await self._send_first()
            while not receiver.done():
                await self._send_news()
                await self._wait_for_news(receiver)
            receiver.result()

    def _mark(self, name: str) -> None:
        self._dirty.add(name)
        self._wake.set()

    async def _receive(self) -> None:
        try:
            while (report := await self._next_report()) is not None:
                self._take_report(report)
        finally:
            self._wake.set()

    async def _next_report(self) -> MemberReport | None:
        """Return the next report, None when the peer has ended or gone silent."""
        try:
            async with asyncio.timeout(self._options.silence_ms / 1000.0):
                return await self._stream.recv_message()
        except TimeoutError:
            return None

    def _take_report(self, report: MemberReport) -> None:
        if report.HasField("member"):
            self._member = report.member
        else:
            report.member.CopyFrom(self._member)
        self._membership.take(report)
        self._peer_version = report.manifest_version
        if report.lease_stamp > self._asked_stamp:
            self._asked_stamp = report.lease_stamp
            self._asked.set()
        self._wants_confirmation = report.confirm
        if self._needs_manifest():
            self._wake.set()

    async def _confirm_leases(self) -> None:
        while True:
            await self._asked.wait()
            self._asked.clear()
            stamp = self._asked_stamp
            try:
                await self._confirmation.wait()
            except NoQuorumError:
                continue
            self._confirmed_stamp = stamp
            self._wake.set()

    async def _wait_for_news(self, receiver: asyncio.Task[None]) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._options.heartbeat_ms / 1000.0):
                await self._wake.wait()
        if self._dirty and not receiver.done() and not self._needs_manifest():
            pause_ms = max(
                MEMBER_PAUSE_MS, MEMBER_PAUSE_EACH_MS * len(self._membership)
            )
            await asyncio.sleep(pause_ms / 1000.0)
        self._wake.clear()

    async def _send_first(self) -> None:
        self._dirty.clear()
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
        age_ms = self._age.newer_for_ms(self._peer_version)
        if version == self._sent_version:
            # Reports that were under way still carry the old version.
            return age_ms - self._sent_age_ms >= RESEND_MS
        if age_ms >= self._options.push_grace_ms:
            return True
        voters = self._replica.status().voters
        preferred = preferred_replica(self._member.name, voters)
        return preferred in ("", self._options.name)

    async def _send_news(self) -> None:
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
        names, self._dirty = self._dirty, set()
        for name in sorted(names):
            member = self._membership.get(name)
            if member is None:
                state.removed.append(name)
            else:
                state.changed.append(member)

    async def _add_manifest(self, state: FleetState) -> None:
        """Add the manifest, confirmed through the leader if the peer asked for it."""
        if self._wants_confirmation:
            try:
                await self._replica.read_index(CONFIRM_TIMEOUT_MS)
            except NoQuorumError:
                return
            state.confirmed = True
        document = self._replica.state.manifest
        state.manifest.CopyFrom(document)
        self._sent_version = document.version
        self._sent_age_ms = self._age.newer_for_ms(self._peer_version)


def preferred_replica(member: str, voters: tuple[str, ...]) -> str:
    """Return the replica that hands new manifests to `member` at once.

    Every replica computes the same one, and the members spread over all of them.

    Parameters
    ----------
    member : str
        Name of the member.
    voters : tuple of str
        Names of the voting replicas; without any, the result is empty.
    """
    return max(
        voters,
        key=lambda name: hashlib.blake2b(f"{member}/{name}".encode()).digest(),
        default="",
    )
