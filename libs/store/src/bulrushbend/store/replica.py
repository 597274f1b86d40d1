"""A replica of the state, kept consistent with its peers by consensus."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import (
    NoQuorumError,
    NotLeaderError,
    PeerError,
    StoreFailedError,
)
from bulrushbend.core.events import EventLog
from bulrushbend.core.logs import get_logger
from bulrushbend.store.base import BaseReplica, ReplicaStatus
from bulrushbend.store.configuration import Configuration, Node
from bulrushbend.store.core import ReplicaCore
from bulrushbend.store.election import Election
from bulrushbend.store.follower import Follower
from bulrushbend.store.leadership import Leadership, PeerStatus
from bulrushbend.store.options import ReplicaOptions, Role
from bulrushbend.store.stores import Stores
from bulrushbend.store.transport import PeerTransport
from bulrushbend.store.voters import VoterChange
from bulrushbend.wire.control_pb2 import Command
from bulrushbend.wire.fleet_pb2 import (
    AppendReply,
    AppendRequest,
    ForwardRequest,
    ReadIndexRequest,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
    VotersReply,
    VotersRequest,
)

_log = get_logger("store.replica")
Value = TypeVar("Value")
RETRY_DELAY_MS = 20
CHANGE_TIMEOUT_MS = 10_000


class Replica(BaseReplica):
    """Consensus replica: elections, replication, proposals and confirmed reads.

    Parameters
    ----------
    options : ReplicaOptions
        Settings.
    stores : Stores
        Log, vote and snapshot; the caller closes them after `stop`.
    transport : PeerTransport
        Calls to the other replicas; `stop` closes it.
    clock : Clock
        Source of time.
    events : EventLog
        Receives the events of the replica.
    """

    def __init__(
        self,
        options: ReplicaOptions,
        stores: Stores,
        transport: PeerTransport,
        clock: Clock,
        events: EventLog,
    ):
        super().__init__()
        self._transport = transport
        self._clock = clock
        self._core = ReplicaCore(
            options, stores, self._state, self._notify_listeners, clock, events
        )
        self._election = Election(self._core, transport)
        self._follower = Follower(self._core, self._election)
        self._leadership: Leadership | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def role(self) -> Role:
        """Current role."""
        return self._core.role

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads."""
        return self._leadership is not None and self._leadership.is_active

    @property
    def has_failed(self) -> bool:
        """Whether the store has failed, so that the replica no longer participates."""
        return self._core.role is Role.FAILED

    @property
    def is_unavailable(self) -> bool:
        """Whether the store failed or there is no leader for the election timeout.

        An election among connected replicas takes less than the election timeout,
        counted from the time at which the first of them detects the leader's loss.
        """
        if self.has_failed:
            return True
        leaderless_ms = self._clock.now_ms() - self._core.leaderless_since_ms
        return not self._core.leader and (
            leaderless_ms > self._core.options.election_timeout_ms
        )

    @property
    def may_vote(self) -> bool:
        """Whether this replica is a voter on its data folder."""
        return self._core.may_vote

    @property
    def configuration(self) -> Configuration:
        """Newest configuration in the log."""
        return self._core.configuration

    @property
    def nodes(self) -> tuple[Node, ...]:
        """Voters and learners of the newest configuration."""
        return self._core.configuration.nodes

    @property
    def is_active_member(self) -> bool:
        """Whether this replica is a voter or learner and knows a leader, or leads."""
        listed = self._core.configuration.node(self._core.name) is not None
        return listed and bool(self._core.leader)

    def peers(self) -> dict[str, PeerStatus]:
        """Return the status of each peer by name; empty unless this replica leads."""
        leadership = self._leadership
        if leadership is None or not leadership.is_active:
            return {}
        return leadership.peer_statuses()

    def leaving_replicas(self) -> frozenset[str]:
        """Return the replicas that are stopping; empty unless this replica leads."""
        leadership = self._leadership
        if leadership is None or not leadership.is_active:
            return frozenset()
        return leadership.leaving_replicas()

    def status(self) -> ReplicaStatus:
        """Return the consensus status as this replica sees it."""
        configuration = self._core.configuration
        return ReplicaStatus(
            leader=self._core.leader,
            term=self._core.term,
            commit_index=self._core.commit_index,
            voters=tuple(node.name for node in configuration.electorate),
            learners=tuple(node.name for node in configuration.learners),
        )

    def start(self) -> None:
        """Start participating; calls of peers may arrive from now on."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop, after the running store operation has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})
        await self._core.close()
        self._transport.close()

    async def propose(self, command: Command, timeout_ms: float) -> bytes:
        """Commit and apply `command`; see `BaseReplica.propose`."""
        data = command.SerializeToString()

        async def attempt(remaining_ms: float) -> bytes:
            if self.is_leader:
                return await self.propose_as_leader(data)
            return await self._forward(data, remaining_ms)

        return await self._retry_until_deadline(attempt, timeout_ms, "propose")

    async def read_index(self, timeout_ms: float) -> int:
        """Wait for the confirmed state; see `BaseReplica.read_index`."""

        async def attempt(remaining_ms: float) -> int:
            if self.is_leader:
                index = await self.read_index_as_leader()
            else:
                index = await self._request_read_index(remaining_ms)
            await self._core.wait_applied(index)
            return index

        return await self._retry_until_deadline(attempt, timeout_ms, "read index")

    async def change_voters(self, request: VotersRequest) -> VotersReply:
        """Change the voter list by one replica, through the leader."""

        async def attempt(remaining_ms: float) -> VotersReply:
            if self.is_leader:
                return await VoterChange(self._core, self._leadership).run(request)
            return await self._transport.call(
                self._leader_node(), "ChangeVoters", request, remaining_ms
            )

        try:
            return await self._retry_until_deadline(
                attempt, CHANGE_TIMEOUT_MS, "voters"
            )
        except NoQuorumError as error:
            return VotersReply(accepted=False, message=str(error))

    async def propose_as_leader(self, command: bytes) -> bytes:
        """Commit a command if this replica leads.

        Raises
        ------
        NotLeaderError
            This replica does not lead.
        NoQuorumError
            It stepped down first; the outcome is unknown.
        StoreFailedError
            The store has failed, or the replica was stopped.
        """
        self._core.raise_if_failed()
        if not self.is_leader:
            raise NotLeaderError(
                "not the leader", step="propose", peer=self._core.leader
            )
        leadership = self._leadership
        result = await leadership.submit(command)
        await leadership.wait_until_secure()
        return result

    async def read_index_as_leader(self) -> int:
        """Return a confirmed index if this replica leads.

        Raises
        ------
        NotLeaderError
            This replica does not lead.
        NoQuorumError
            It stepped down first.
        StoreFailedError
            The store has failed, or the replica was stopped.
        """
        self._core.raise_if_failed()
        if not self.is_leader:
            raise NotLeaderError(
                "not the leader", step="read index", peer=self._core.leader
            )
        return await self._leadership.confirm_read()

    def handle_vote_request(self, request: VoteRequest) -> VoteReply:
        """Handle a vote request of a peer."""
        return self._election.answer(request)

    async def handle_append_request(self, request: AppendRequest) -> AppendReply:
        """Append entries of a leader."""
        return await self._follower.append_entries(request)

    async def handle_snapshot_request(self, request: SnapshotRequest) -> SnapshotReply:
        """Install a snapshot of a leader."""
        return await self._follower.install_snapshot(request)

    async def _run(self) -> None:
        try:
            await self._election.initialise_disk_id()
            while not self.has_failed:
                await self._wait_for_election_timeout()
                self._core.step_down("no leader is heard")
                if self._core.may_vote and await self._election.campaign():
                    await self._run_leadership()
        except StoreFailedError as error:
            _log.error(
                "replica %s stopped after a store failure: %s", self._core.name, error
            )

    async def _wait_for_election_timeout(self) -> None:
        """Return after a random election timeout without a leader or a granted vote."""
        timeout_ms = self._core.options.election_timeout_ms
        limit_ms = random.uniform(timeout_ms, 2 * timeout_ms)
        started_ms = self._clock.now_ms()
        while not self.has_failed:
            silent_since_ms = max(self._core.last_contact_ms, started_ms)
            remaining_ms = silent_since_ms + limit_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                return
            await self._clock.sleep_ms(remaining_ms)

    async def _run_leadership(self) -> None:
        self._leadership = Leadership(self._core, self._transport)
        try:
            await self._leadership.run()
        finally:
            self._leadership = None

    async def _retry_until_deadline(
        self,
        attempt: Callable[[float], Awaitable[Value]],
        timeout_ms: float,
        step: str,
    ) -> Value:
        """Retry until an attempt succeeds, the deadline passes or the store fails.

        Each attempt gets half of the remaining time, so that time is left to reach a
        new leader when the old one does not answer.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        reason = "no leader is known"
        while (remaining_ms := deadline_ms - self._clock.now_ms()) > 0:
            attempt_timeout_ms = remaining_ms / 2 + RETRY_DELAY_MS
            try:
                async with asyncio.timeout(attempt_timeout_ms / 1000.0):
                    return await attempt(attempt_timeout_ms)
            except TimeoutError:
                reason = "no majority answered in time"
            except (
                NotLeaderError,
                NoQuorumError,
                PeerError,
                StoreFailedError,
            ) as error:
                reason = str(error)
            if self.has_failed:
                # It follows no leader any more, so that no attempt can succeed.
                break
            await self._clock.sleep_ms(RETRY_DELAY_MS)
        raise NoQuorumError(reason, step=step, peer=self._core.leader)

    def _leader_node(self) -> Node:
        leader = self._core.leader
        node = self._core.configuration.node(leader)
        if node is None:
            node = self._core.options.initial_configuration.node(leader)
        if node is None or leader == self._core.name:
            raise NotLeaderError("no leader is known", step="forward")
        return node

    async def _forward(self, command: bytes, timeout_ms: float) -> bytes:
        request = ForwardRequest(command=command)
        node = self._leader_node()
        reply = await self._transport.call(node, "Forward", request, timeout_ms)
        if not reply.accepted:
            raise NotLeaderError(reply.message, step="forward", peer=node.name)
        return reply.result

    async def _request_read_index(self, timeout_ms: float) -> int:
        node = self._leader_node()
        reply = await self._transport.call(
            node, "ReadIndex", ReadIndexRequest(), timeout_ms
        )
        if not reply.confirmed:
            raise NotLeaderError("did not confirm", step="read index", peer=node.name)
        return reply.index
