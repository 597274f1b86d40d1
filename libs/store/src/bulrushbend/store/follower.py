"""Follower role: entries and snapshots that a leader sends."""

from bulrushbend.store.core import ReplicaCore
from bulrushbend.store.election import Election
from bulrushbend.store.records import Entry, Position
from bulrushbend.store.snapshots import Snapshot
from bulrushbend.wire.fleet_pb2 import (
    AppendReply,
    AppendRequest,
    SnapshotReply,
    SnapshotRequest,
)


class Follower:
    """Appends the entries and installs the snapshots that a leader sends.

    Parameters
    ----------
    core : ReplicaCore
        State of the replica.
    election : Election
        Assigns a disk id to an empty data folder.
    """

    def __init__(self, core: ReplicaCore, election: Election):
        self._core = core
        self._election = election

    async def append_entries(self, request: AppendRequest) -> AppendReply:
        """Append entries of the leader; they are durable before the reply.

        Raises
        ------
        StoreFailedError
            The store has failed, or the entries could not be made durable.
        """
        self._core.raise_if_failed()
        if not self._accept_leader(request.leader, request.term):
            return self._reply(False, 0, 0)
        match, agrees = await self._core.run_exclusive(lambda: self._merge(request))
        if self._core.term != request.term:
            return self._reply(False, 0, 0)
        self._core.become_follower(request.leader)
        if agrees:
            self._core.commit(min(request.commit_index, match))
        return self._reply(agrees, match, request.round)

    async def install_snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Replace the state by the leader's, unless this replica has applied more.

        Raises
        ------
        StoreFailedError
            The store has failed, or the snapshot could not be made durable.
        """
        core = self._core
        core.raise_if_failed()
        if self._accept_leader(request.leader, request.term):
            last = Position(request.last_index, request.last_term)

            async def replace_state() -> None:
                if core.term == request.term and last.index > core.commit_index:
                    await core.install_snapshot(Snapshot(last, request.data))

            await core.run_exclusive(replace_state)
            if core.term == request.term:
                core.become_follower(request.leader)
        return SnapshotReply(term=core.term)

    def _accept_leader(self, leader: str, term: int) -> bool:
        core = self._core
        if term < core.term:
            return False
        self._election.assign_random_disk_id("the fleet already has a leader")
        core.adopt_term(term, f"{leader} leads a higher term")
        core.become_follower(leader)
        return True

    def _reply(self, success: bool, match: int, confirmed_round: int) -> AppendReply:
        return AppendReply(
            term=self._core.term,
            success=success,
            match_index=match,
            round=confirmed_round,
            disk_id=self._core.disk_id,
        )

    async def _merge(self, request: AppendRequest) -> tuple[int, bool]:
        """Make the log match the entries that the leader sent.

        Returns
        -------
        match : int
            Last index known to match the leader's log, or after a mismatch the last
            one that may match.
        agrees : bool
            Whether the log holds the entry that precedes those of the request.
        """
        core, log = self._core, self._core.stores.log
        if core.term != request.term:
            return 0, False
        previous = Position(request.previous_index, request.previous_term)
        if previous.index > log.last.index:
            return log.last.index, False
        if previous.index >= log.base.index:
            term = log.term_at(previous.index)
            if term != previous.term:
                return self._before_term(previous.index, term), False
        new = [
            Entry(item.index, item.term, item.command)
            for item in request.entries
            if log.term_at(item.index) != item.term and item.index > log.base.index
        ]
        if new:
            await core.truncate_after(new[0].index - 1)
            await core.append(new)
        return previous.index + len(request.entries), True

    def _before_term(self, index: int, term: int | None) -> int:
        """Return the last index before the entries of `term` that end at `index`."""
        log = self._core.stores.log
        while index > log.base.index and log.term_at(index) == term:
            index -= 1
        return index
