"""The `Fleet` service of a control replica."""

from collections import deque
from collections.abc import Callable
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from bulrushbend.control.membership import Membership
from bulrushbend.control.publishing import propose_manifest
from bulrushbend.control.watcher import ReadIndexBatcher, Watcher, WatchOptions
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import ManifestError, NoQuorumError
from bulrushbend.store.base import AppliedEntry, BaseReplica
from bulrushbend.store.state import cap_answer
from bulrushbend.wire.control_pb2 import Command, KeyRecord
from bulrushbend.wire.documents import unpack_manifest
from bulrushbend.wire.fleet_grpc import FleetBase
from bulrushbend.wire.fleet_pb2 import (
    KeyReply,
    KeyRequest,
    PublishReply,
    PublishRequest,
    StatusReply,
)

WRITE_TIMEOUT_MS = 2000
# Number of versions whose arrival time is kept. For a member that is further behind,
# the oldest of them counts.
_MAX_VERSION_TIMES = 256


class FleetService(FleetBase):
    """Implements the `Fleet` service for routers, agents and operators.

    Parameters
    ----------
    replica : BaseReplica
        Replica of the state.
    membership : Membership
        Members that report to this replica.
    clock : Clock
        Source of time.
    options : WatchOptions, optional
        Settings of the watch streams.
    """

    def __init__(
        self,
        replica: BaseReplica,
        membership: Membership,
        clock: Clock,
        options: WatchOptions | None = None,
    ):
        self._replica = replica
        self._membership = membership
        self._clock = clock
        self._options = options or WatchOptions()
        self._watchers: set[Watcher] = set()
        self._read_index_batcher = ReadIndexBatcher(replica)
        self._version_times: deque[tuple[int, float]] = deque(maxlen=_MAX_VERSION_TIMES)
        self._record_version()
        replica.listen(self._handle_applied)

    @property
    def watcher_count(self) -> int:
        """Number of open watch streams."""
        return len(self._watchers)

    def superseded_for_ms(self, version: int) -> float:
        """Return for how long a manifest newer than `version` has been known here.

        The time counts from the first newer version. Counted from the newest one, it
        would start again with every change, and a member that receives no updates would
        stay behind until a series of changes ends.
        """
        for known_version, since_ms in self._version_times:
            if known_version > version:
                return self._clock.now_ms() - since_ms
        return 0.0

    async def Watch(self, stream: Any) -> None:  # noqa: N802
        """Serve a watch stream until it ends."""
        watcher = Watcher(
            stream,
            self,
            self._replica,
            self._membership,
            self._options,
            self._read_index_batcher,
            self._clock,
        )
        self._watchers.add(watcher)
        try:
            await watcher.run()
        finally:
            self._watchers.discard(watcher)

    async def Publish(self, stream: Any) -> None:  # noqa: N802
        """Publish a manifest if it is valid and its version is newer."""
        request = await stream.recv_message()
        self._reject_if_unavailable()
        await stream.send_message(await self.publish(request))

    async def RecordKey(self, stream: Any) -> None:  # noqa: N802
        """Record an idempotency key for its owner."""
        request = await stream.recv_message()
        reply = await self.write_key(request, _record_command)
        await stream.send_message(self._resolve_lost_owner(request, reply))

    async def CompleteKey(self, stream: Any) -> None:  # noqa: N802
        """Store the answer of the request that owns the key."""
        request = await stream.recv_message()
        await stream.send_message(await self.write_key(request, _complete_command))

    async def ReleaseKey(self, stream: Any) -> None:  # noqa: N802
        """Release a key whose request is known not to have run."""
        request = await stream.recv_message()
        await stream.send_message(await self.write_key(request, _release_command))

    async def Status(self, stream: Any) -> None:  # noqa: N802
        """Return manifest, consensus status and members as this replica knows them."""
        request = await stream.recv_message()
        await stream.send_message(self.status(request.with_manifest))

    async def ChangeVoters(self, stream: Any) -> None:  # noqa: N802
        """Add, promote or remove one replica."""
        request = await stream.recv_message()
        await stream.send_message(await self._replica.change_voters(request))

    async def publish(self, request: PublishRequest) -> PublishReply:
        """Validate and propose a manifest."""
        try:
            unpack_manifest(request.manifest, "publish")
        except ManifestError as error:
            return PublishReply(result=PublishReply.INVALID, message=str(error))
        try:
            return await propose_manifest(
                self._replica, self._clock, request.manifest, WRITE_TIMEOUT_MS
            )
        except NoQuorumError as error:
            self._reject_if_unavailable()
            return PublishReply(result=PublishReply.UNAVAILABLE, message=str(error))

    async def write_key(
        self, request: KeyRequest, build: Callable[[KeyRequest, int], Command]
    ) -> KeyReply:
        """Propose the command that `build` returns for the request and the time."""
        self._reject_if_unavailable()
        command = build(request, self._clock.wall_ms())
        try:
            result = await self._replica.propose(command, WRITE_TIMEOUT_MS)
        except NoQuorumError:
            self._reject_if_unavailable()
            return KeyReply(result=KeyReply.UNAVAILABLE)
        return KeyReply.FromString(result)

    def status(self, with_manifest: bool = False) -> StatusReply:
        """Return the status message of this replica, optionally with the manifest."""
        consensus = self._replica.status()
        manifest = self._replica.state.manifest
        return StatusReply(
            manifest_version=self._replica.state.manifest_version,
            manifest_digest=manifest.digest if manifest is not None else "",
            leader=consensus.leader,
            term=consensus.term,
            commit_index=consensus.commit_index,
            members=self._membership.statuses(),
            voters=consensus.voters,
            learners=consensus.learners,
            manifest=manifest if with_manifest else None,
        )

    def _reject_if_unavailable(self) -> None:
        """Make the caller try another replica at once instead of after a timeout."""
        if self._replica.is_unavailable:
            raise GRPCError(Status.UNAVAILABLE, "this replica knows no leader")

    def _resolve_lost_owner(self, request: KeyRequest, reply: KeyReply) -> KeyReply:
        """Change RUNNING to OUTCOME_UNKNOWN if the owner of the key is lost.

        The replicated state cannot do this, since membership is not replicated. A
        replica that has just started does not know all live members yet and returns
        RUNNING.
        """
        if reply.result != KeyReply.RUNNING:
            return reply
        record = self._replica.state.key_record(request)
        if record is None or record.request_id != reply.request_id:
            return reply
        if self._is_owner_lost(record, request):
            reply.result = KeyReply.OUTCOME_UNKNOWN
        return reply

    def _is_owner_lost(self, record: KeyRecord, request: KeyRequest) -> bool:
        """Return whether the router that recorded the key is no longer running."""
        if record.owner == request.owner:
            return record.owner_incarnation < request.owner_incarnation
        return self._membership.startup_grace_elapsed and not self._membership.is_alive(
            record.owner, record.owner_incarnation
        )

    def _handle_applied(self, applied: AppliedEntry) -> None:
        if self._record_version():
            for watcher in self._watchers:
                watcher.wake()

    def _record_version(self) -> bool:
        """Record the time of a new manifest version; return whether it is new."""
        version = self._replica.state.manifest_version
        if version <= (self._version_times[-1][0] if self._version_times else 0):
            return False
        self._version_times.append((version, self._clock.now_ms()))
        return True


def _record_command(request: KeyRequest, time_ms: int) -> Command:
    return Command(time_ms=time_ms, record_key=request)


def _complete_command(request: KeyRequest, time_ms: int) -> Command:
    capped = KeyRequest()
    capped.CopyFrom(request)
    capped.answer.CopyFrom(cap_answer(request.answer))
    return Command(time_ms=time_ms, complete_key=capped)


def _release_command(request: KeyRequest, time_ms: int) -> Command:
    return Command(time_ms=time_ms, release_key=request)
