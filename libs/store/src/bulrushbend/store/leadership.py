"""Leader role: batched appends, replication and confirmed reads."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from bulrushbend.core.errors import (
    ConnectError,
    NoQuorumError,
    PeerError,
    PeerTimeoutError,
    StoreFailedError,
)
from bulrushbend.core.logs import get_logger
from bulrushbend.store.configuration import Node
from bulrushbend.store.core import ReplicaCore
from bulrushbend.store.options import Role
from bulrushbend.store.records import Entry
from bulrushbend.store.transport import PeerTransport
from bulrushbend.wire.control_pb2 import Command, NoOperation
from bulrushbend.wire.fleet_pb2 import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotRequest,
)

_log = get_logger("store.leader")
# Limit for the commands in one message, so that sending entries to a follower far
# behind does not occupy the connection for longer than a heartbeat interval.
BATCH_BYTES = 1 << 20
# Time-outs of the transfer of a snapshot: of the first try, since its connection may be
# silent, and of later ones, which double, since a slow disk or link needs longer.
FIRST_SNAPSHOT_TIMEOUT_MS = 2_000
SNAPSHOT_TIMEOUT_MS = 30_000
# Time for which a committed command waits for a voter that may have to be replaced, and
# the interval of checks. Clients wait about a second for a reply.
_SECURE_TIMEOUT_MS = 500.0
_SECURE_POLL_MS = 10.0
# Time after which a replica that said that it stops counts as running again.
_LEAVING_TTL_MS = 10_000.0


@dataclass
class Progress:
    """Replication progress of one peer."""

    node: Node
    next_index: int
    match_index: int = 0
    last_contact_ms: float = 0.0
    confirmed_round: int = 0
    sent_commit_index: int = 0
    disk_id: str = ""
    snapshot_timeout_ms: float = FIRST_SNAPSHOT_TIMEOUT_MS
    is_refusing: bool = False
    wake: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True)
class PeerStatus:
    """Status of a peer as its leader sees it, for changes of the voter list.

    Attributes
    ----------
    silent_ms : float
        Time since the leader sent the last call that the peer answered, or since the
        term began, in milliseconds.
    disk_id : str
        Identity of the peer's data folder, empty before its first reply.
    has_caught_up : bool
        Whether the peer holds all committed entries.
    is_refusing : bool
        Whether the peer's address refused the last connection: its process has ended.
    """

    silent_ms: float
    disk_id: str
    has_caught_up: bool
    is_refusing: bool = False


@dataclass(frozen=True)
class _PendingCommand:
    command: bytes
    future: asyncio.Future[bytes]


class Leadership:
    """One term of leadership; ends when the replica steps down.

    Parameters
    ----------
    core : ReplicaCore
        State of the replica, which has just won an election.
    transport : PeerTransport
        Calls to the other replicas.
    """

    def __init__(self, core: ReplicaCore, transport: PeerTransport):
        self._core = core
        self._transport = transport
        self._term = core.term
        self._first_index = core.stores.log.last.index + 1
        self._pending_commands: list[_PendingCommand] = []
        self._submitted = asyncio.Event()
        self._peers: dict[str, Progress] = {}
        self._peer_tasks: dict[str, asyncio.Task[None]] = {}
        self._round = 0
        self._pending_reads: list[tuple[int, asyncio.Future[None]]] = []
        self._started_ms = core.clock.now_ms()
        self._write_started_ms: float | None = None
        # Times at which replicas said that they stop.
        self._leaving_ms: dict[str, float] = {}
        self.change_lock = asyncio.Lock()

    @property
    def is_active(self) -> bool:
        """Whether the replica still leads this term."""
        return self._core.role is Role.LEADER and self._core.term == self._term

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._core.commit_index >= self._first_index

    def progress(self, name: str) -> Progress | None:
        """Return the replication progress of the peer called `name`."""
        return self._peers.get(name)

    def peer_statuses(self) -> dict[str, PeerStatus]:
        """Return the status of each peer by name."""
        now_ms = self._core.clock.now_ms()
        return {
            name: PeerStatus(
                now_ms - max(peer.last_contact_ms, self._started_ms),
                peer.disk_id,
                bool(peer.disk_id) and peer.match_index >= self._core.commit_index,
                peer.is_refusing,
            )
            for name, peer in self._peers.items()
        }

    def record_leaving(self, name: str) -> None:
        """Record that the replica called `name` is stopping."""
        self._leaving_ms[name] = self._core.clock.now_ms()

    def leaving_replicas(self) -> frozenset[str]:
        """Return the replicas that are stopping."""
        oldest_ms = self._core.clock.now_ms() - _LEAVING_TTL_MS
        return frozenset(
            n for n, at_ms in self._leaving_ms.items() if at_ms > oldest_ms
        )

    async def run(self) -> None:
        """Act as the leader until the replica steps down."""
        writer = asyncio.create_task(self._write_batches())
        try:
            self._submit_initial_entry()
            self._update_peer_tasks()
            while self.is_active:
                self._core.role_changed.clear()
                await self._wait_for_role_change()
                self._check_quorum()
                self._check_disk()
        finally:
            self._shut_down(writer)

    async def submit(self, command: bytes) -> bytes:
        """Commit and apply a command and return its result.

        Raises
        ------
        NoQuorumError
            The replica stepped down first; the outcome is unknown.
        """
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._pending_commands.append(_PendingCommand(command, future))
        self._submitted.set()
        return await future

    async def wait_until_secure(self) -> None:
        """Wait until all voters hold what is committed, if a learner can replace one.

        With a voter that has ended and is not replaced yet, the loss of a further disk
        would leave no majority. Without a learner, or for a voter that merely does not
        answer, waiting longer than some time does not help.
        """
        index = self._core.commit_index
        deadline_ms = self._core.clock.now_ms() + _SECURE_TIMEOUT_MS
        while self.is_active and self._awaits_replacement(index):
            if self._core.clock.now_ms() >= deadline_ms:
                return
            await self._core.clock.sleep_ms(_SECURE_POLL_MS)

    def _awaits_replacement(self, index: int) -> bool:
        configuration = self._core.configuration
        if configuration.is_joint:
            return True
        learners = [self._peers.get(node.name) for node in configuration.learners]
        voters = [self._peers.get(node.name) for node in configuration.voters]
        oldest_ms = self._core.clock.now_ms() - self._core.options.election_timeout_ms
        has_learner = any(p and p.last_contact_ms > oldest_ms for p in learners)
        return has_learner and any(p and p.match_index < index for p in voters)

    async def confirm_read(self) -> int:
        """Return an index that covers everything committed before the call.

        Raises
        ------
        NoQuorumError
            The replica stepped down first.
        """
        await self._core.wait_applied(self._first_index)
        if not self.is_active:
            raise NoQuorumError("stepped down", step="read index", peer=self._core.name)
        index = self._core.commit_index
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._round += 1
        self._pending_reads.append((self._round, future))
        self._complete_reads()
        self._notify_peers()
        await future
        return index

    def _submit_initial_entry(self) -> None:
        """Submit an entry of this term, which commits those of earlier terms.

        In the first term of a fleet it also writes the initial voters to the log, so
        that replicas that join later receive them.
        """
        command = Command(no_operation=NoOperation())
        if self._core.history.current_index == 0 and not self._core.state.voters.voters:
            command = Command(set_voters=self._core.configuration.message())
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._pending_commands.append(
            _PendingCommand(command.SerializeToString(), future)
        )
        self._submitted.set()

    async def _wait_for_role_change(self) -> None:
        try:
            interval_s = self._core.options.append_interval_ms / 1000.0
            async with asyncio.timeout(interval_s):
                await self._core.role_changed.wait()
        except TimeoutError:
            pass

    def _check_quorum(self) -> None:
        """Step down when no majority has answered within the election timeout."""
        now_ms = self._core.clock.now_ms()
        oldest_contact_ms = now_ms - self._core.options.election_timeout_ms
        if self._started_ms > oldest_contact_ms or not self.is_active:
            return
        responding = {
            name
            for name, peer in self._voting_peers()
            if peer.last_contact_ms >= oldest_contact_ms
        }
        if not self._core.configuration.has_majority(responding | {self._core.name}):
            self._core.step_down("no answer from a majority of the voters")

    def _check_disk(self) -> None:
        """Step down when a disk write hangs; the disk of another replica may work."""
        if self._write_started_ms is None or not self.is_active:
            return
        writing_ms = self._core.clock.now_ms() - self._write_started_ms
        if writing_ms > self._core.options.election_timeout_ms:
            self._core.step_down("the disk does not finish a write")

    def _voting_peers(self) -> list[tuple[str, Progress]]:
        """Return the voters that run on the data folder with which they may vote."""
        configuration = self._core.configuration
        return [
            (name, peer)
            for name, peer in self._peers.items()
            if configuration.may_vote(name, peer.disk_id)
        ]

    def _shut_down(self, writer: asyncio.Task[None]) -> None:
        writer.cancel()
        for task in self._peer_tasks.values():
            task.cancel()
        futures = [pending.future for pending in self._pending_commands]
        futures += [future for _, future in self._pending_reads]
        for future in futures:
            if not future.done():
                future.set_exception(
                    NoQuorumError("stepped down", step="propose", peer=self._core.name)
                )
                future.exception()

    async def _write_batches(self) -> None:
        """Append all commands submitted since the last batch with one sync."""
        while self.is_active:
            await self._submitted.wait()
            self._submitted.clear()
            self._write_started_ms = self._core.clock.now_ms()
            try:
                await self._core.run_exclusive(self._write_batch)
            except StoreFailedError as error:
                _log.error(
                    "cannot append entries to the log, stopping as leader: %s", error
                )
                return
            finally:
                self._write_started_ms = None

    async def _write_batch(self) -> None:
        if not self.is_active:
            return
        batch, self._pending_commands = self._pending_commands, []
        first = self._core.stores.log.last.index + 1
        entries = []
        for index, pending in enumerate(batch, first):
            entries.append(Entry(index, self._term, pending.command))
            self._core.register_result(index, pending.future)
        await self._core.append(entries)
        if self.is_active:
            self._update_peer_tasks()
            self._advance_commit()
            self._notify_peers()

    def _update_peer_tasks(self) -> None:
        """Run one replication task for each peer of the newest configuration."""
        nodes = {
            node.name: node
            for node in self._core.configuration.nodes
            if node.name != self._core.name
        }
        for name in list(self._peers):
            if (
                name not in nodes
                or nodes[name].address != self._peers[name].node.address
            ):
                self._peer_tasks.pop(name).cancel()
                del self._peers[name]
        for name, node in nodes.items():
            if name not in self._peers:
                peer = Progress(node, self._core.stores.log.last.index + 1)
                self._peers[name] = peer
                self._peer_tasks[name] = asyncio.create_task(self._replicate(peer))

    def _notify_peers(self) -> None:
        for peer in self._peers.values():
            peer.wake.set()

    async def _replicate(self, peer: Progress) -> None:
        """Replicate the log to one peer until this term of leadership ends."""
        while self.is_active:
            peer.wake.clear()
            try:
                await self._send(peer)
            except PeerError as error:
                peer.is_refusing = isinstance(error, ConnectError)
                _log.info("replication failed, retrying: %s", error)
                await self._core.clock.sleep_ms(self._core.options.append_interval_ms)
                continue
            except StoreFailedError as error:
                _log.error("stopping the replication to %s: %s", peer.node.name, error)
                return
            if not self._has_pending_updates(peer):
                await self._wait_for_updates(peer)

    def _has_pending_updates(self, peer: Progress) -> bool:
        return (
            peer.next_index <= self._core.stores.log.last.index
            or peer.sent_commit_index < self._core.commit_index
            or peer.confirmed_round < self._round
        )

    async def _wait_for_updates(self, peer: Progress) -> None:
        try:
            async with asyncio.timeout(self._core.options.append_interval_ms / 1000.0):
                await peer.wake.wait()
        except TimeoutError:
            pass

    async def _send(self, peer: Progress) -> None:
        previous_index = peer.next_index - 1
        following = self._core.stores.log.entries_after(previous_index, BATCH_BYTES)
        if following is None:
            await self._send_snapshot(peer)
        else:
            await self._send_entries(peer, previous_index, *following)

    async def _send_entries(
        self,
        peer: Progress,
        previous_index: int,
        previous_term: int,
        entries: Sequence[Entry],
    ) -> None:
        request = AppendRequest(
            leader=self._core.name,
            term=self._term,
            previous_index=previous_index,
            previous_term=previous_term,
            entries=[
                LogEntry(index=e.index, term=e.term, command=e.command) for e in entries
            ],
            commit_index=self._core.commit_index,
            round=self._round,
        )
        sent_ms = self._core.clock.now_ms()
        timeout_ms = self._core.options.election_timeout_ms
        reply = await self._transport.call(peer.node, "Append", request, timeout_ms)
        peer.sent_commit_index = request.commit_index
        self._handle_append_reply(peer, reply, sent_ms)

    def _handle_append_reply(
        self, peer: Progress, reply: AppendReply, sent_ms: float
    ) -> None:
        if not self.is_active:
            return
        if reply.term > self._term:
            self._core.adopt_term(reply.term, f"{peer.node.name} has a higher term")
            return
        if peer.disk_id != reply.disk_id:
            # The peer has a different data folder, so no entry on it is known to match.
            peer.disk_id = reply.disk_id
            peer.match_index = 0
        peer.last_contact_ms = sent_ms
        peer.is_refusing = False
        if not reply.success:
            peer.next_index = max(1, min(peer.next_index - 1, reply.match_index + 1))
            return
        peer.match_index = reply.match_index
        peer.next_index = reply.match_index + 1
        peer.confirmed_round = reply.round
        self._advance_commit()
        self._complete_reads()

    async def _send_snapshot(self, peer: Progress) -> None:
        snapshot = self._core.stores.snapshots.latest
        request = SnapshotRequest(
            leader=self._core.name,
            term=self._term,
            last_index=snapshot.last.index,
            last_term=snapshot.last.term,
            data=snapshot.data,
        )
        timeout_ms = peer.snapshot_timeout_ms
        try:
            reply = await self._transport.call(
                peer.node, "InstallSnapshot", request, timeout_ms
            )
        except PeerTimeoutError:
            peer.snapshot_timeout_ms = min(SNAPSHOT_TIMEOUT_MS, 2 * timeout_ms)
            raise
        peer.snapshot_timeout_ms = FIRST_SNAPSHOT_TIMEOUT_MS
        if reply.term > self._term:
            self._core.adopt_term(reply.term, f"{peer.node.name} has a higher term")
            return
        _log.info(
            "replica %s has the snapshot up to index %d",
            peer.node.name,
            snapshot.last.index,
        )
        peer.next_index = snapshot.last.index + 1

    def _advance_commit(self) -> None:
        """Commit the entries that a majority of the voters has made durable.

        Only an entry of this term is committed by counting replicas; it commits the
        earlier entries as well.
        """
        if not self.is_active:
            return
        log, configuration = self._core.stores.log, self._core.configuration
        indexes = {name: peer.match_index for name, peer in self._voting_peers()}
        if configuration.may_vote(self._core.name, self._core.disk_id):
            indexes[self._core.name] = log.last.index
        index = configuration.agreed_index(indexes)
        if index <= self._core.commit_index or log.term_at(index) != self._term:
            return
        self._core.commit(index)
        self._notify_peers()
        self._step_down_if_removed()

    def _step_down_if_removed(self) -> None:
        history = self._core.history
        removed = self._core.configuration.voter(self._core.name) is None
        if removed and history.current_index <= self._core.commit_index:
            self._core.step_down("removed from the voters")

    def _complete_reads(self) -> None:
        """Complete the reads whose round a majority has confirmed."""
        waiting = []
        for number, future in self._pending_reads:
            responding = {
                n for n, p in self._voting_peers() if p.confirmed_round >= number
            }
            if self._core.configuration.has_majority(responding | {self._core.name}):
                if not future.done():
                    future.set_result(None)
            else:
                waiting.append((number, future))
        self._pending_reads = waiting
