"""The `Fleet` service of a control replica."""

from collections import deque
from collections.abc import Callable
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from bulrushbend.control.membership import Membership
from bulrushbend.control.publishing import propose_manifest
from bulrushbend.control.watcher import Confirmation, Watcher, WatchOptions
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
# Versions whose time of arrival is kept; one further behind counts from the oldest.
_VERSIONS_KEPT = 256


class FleetService(FleetBase):
    """Answers routers, agents and operators.

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
        self._confirmation = Confirmation(replica)
        self._learnt: deque[tuple[int, float]] = deque(maxlen=_VERSIONS_KEPT)
        replica.listen(self._after_apply)

    @property
    def watcher_count(self) -> int:
        """Number of open watch streams."""
        return len(self._watchers)

    def newer_for_ms(self, version: int) -> float:
        """Return for how long a manifest newer than `version` has been known here.

        The time counts from the first newer one: in a row of changes the newest is
        always young, and a member that learns none of them must not wait for its end.
        """
        for learnt, since_ms in self._learnt:
            if learnt > version:
                return self._clock.now_ms() - since_ms
        return 0.0

    async def Watch(self, stream: Any) -> None:  # noqa: N802
        """Serve one watch stream."""
        watcher = Watcher(
            stream,
            self,
            self._replica,
            self._membership,
            self._options,
            self._confirmation,
        )
        self._watchers.add(watcher)
        try:
            await watcher.run()
        finally:
            self._watchers.discard(watcher)

    async def Publish(self, stream: Any) -> None:  # noqa: N802
        """Publish a manifest."""
        request = await stream.recv_message()
        self._refuse_when_cut_off()
        await stream.send_message(await self.publish(request))

    async def RecordKey(self, stream: Any) -> None:  # noqa: N802
        """Record an idempotency key for its owner."""
        request = await stream.recv_message()
        reply = await self.write_key(request, _record_command)
        await stream.send_message(self._judge_owner(request, reply))

    async def CompleteKey(self, stream: Any) -> None:  # noqa: N802
        """Keep the answer of the request that holds the key."""
        request = await stream.recv_message()
        await stream.send_message(await self.write_key(request, _complete_command))

    async def ReleaseKey(self, stream: Any) -> None:  # noqa: N802
        """Remove a key whose request provably did not run."""
        request = await stream.recv_message()
        await stream.send_message(await self.write_key(request, _release_command))

    async def Status(self, stream: Any) -> None:  # noqa: N802
        """Answer with manifest, consensus and members as this replica sees them."""
        request = await stream.recv_message()
        await stream.send_message(self.status(request.with_manifest))

    async def ChangeVoters(self, stream: Any) -> None:  # noqa: N802
        """Change the voter list by one replica."""
        request = await stream.recv_message()
        await stream.send_message(await self._replica.change_voters(request))

    async def publish(self, request: PublishRequest) -> PublishReply:
        """Check and propose a manifest; see `Publish`."""
        try:
            unpack_manifest(request.manifest, "publish")
        except ManifestError as error:
            return PublishReply(result=PublishReply.INVALID, message=str(error))
        try:
            return await propose_manifest(
                self._replica, self._clock, request.manifest, WRITE_TIMEOUT_MS
            )
        except NoQuorumError as error:
            return PublishReply(result=PublishReply.UNAVAILABLE, message=str(error))

    async def write_key(
        self, request: KeyRequest, build: Callable[[KeyRequest, int], Command]
    ) -> KeyReply:
        """Propose a key command; `build` makes it from the request and the time."""
        self._refuse_when_cut_off()
        command = build(request, self._clock.wall_ms())
        try:
            result = await self._replica.propose(command, WRITE_TIMEOUT_MS)
        except NoQuorumError:
            return KeyReply(result=KeyReply.UNAVAILABLE)
        return KeyReply.FromString(result)

    def status(self, with_manifest: bool = False) -> StatusReply:
        """Return the status message of this replica, on request with the manifest."""
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

    def _refuse_when_cut_off(self) -> None:
        """Send the caller to another replica at once instead of after a timeout."""
        if self._replica.is_unavailable:
            raise GRPCError(Status.UNAVAILABLE, "this replica knows no leader")

    def _judge_owner(self, request: KeyRequest, reply: KeyReply) -> KeyReply:
        """Turn RUNNING into OUTCOME_UNKNOWN when the recording router is gone.

        The state does not know who is alive, since membership is not replicated. A
        replica that has just started cannot tell either and answers RUNNING.
        """
        if reply.result != KeyReply.RUNNING:
            return reply
        record = self._replica.state.key_record(request)
        if record is None or record.request_id != reply.request_id:
            return reply
        if self._is_gone(record, request):
            reply.result = KeyReply.OUTCOME_UNKNOWN
        return reply

    def _is_gone(self, record: KeyRecord, request: KeyRequest) -> bool:
        """Return whether the router that recorded the key does not run any more."""
        if record.owner == request.owner:
            return record.owner_incarnation < request.owner_incarnation
        return self._membership.is_settled and not self._membership.is_alive(
            record.owner, record.owner_incarnation
        )

    def _after_apply(self, applied: AppliedEntry) -> None:
        version = self._replica.state.manifest_version
        if version > (self._learnt[-1][0] if self._learnt else 0):
            self._learnt.append((version, self._clock.now_ms()))
            for watcher in self._watchers:
                watcher.wake()


def _record_command(request: KeyRequest, time_ms: int) -> Command:
    return Command(time_ms=time_ms, record_key=request)


def _complete_command(request: KeyRequest, time_ms: int) -> Command:
    capped = KeyRequest()
    capped.CopyFrom(request)
    capped.answer.CopyFrom(cap_answer(request.answer))
    return Command(time_ms=time_ms, complete_key=capped)


def _release_command(request: KeyRequest, time_ms: int) -> Command:
    return Command(time_ms=time_ms, release_key=request)
