"""Elections: granted votes, own campaigns and the bootstrap of a fleet."""

import asyncio
import secrets
from collections.abc import Iterable

from bulrushbend.core.errors import PeerError
from bulrushbend.core.logs import get_logger
from bulrushbend.store.configuration import Node
from bulrushbend.store.core import ReplicaCore
from bulrushbend.store.options import Role
from bulrushbend.store.records import Position
from bulrushbend.store.transport import PeerTransport
from bulrushbend.store.vote import BOOTSTRAP_DISK_ID
from bulrushbend.wire.fleet_pb2 import VoteReply, VoteRequest

_log = get_logger("store.election")


class Election:
    """Grants votes, campaigns for leadership and assigns the disk id.

    Parameters
    ----------
    core : ReplicaCore
        State of the replica.
    transport : PeerTransport
        Calls to the other replicas.
    """

    def __init__(self, core: ReplicaCore, transport: PeerTransport):
        self._core = core
        self._transport = transport

    def answer(self, request: VoteRequest) -> VoteReply:
        """Answer a vote request; a pre-vote changes nothing.

        Raises
        ------
        StoreFailedError
            The store has failed, or the vote could not be made durable.
        """
        self._core.raise_if_failed()
        if request.pre_vote:
            return self._reply(self._grants_pre_vote(request))
        if not self._core.disk_id:
            return self._reply(False)
        self._core.adopt_term(request.term, f"{request.candidate} has a higher term")
        return self._reply(self._grant_vote(request))

    def _reply(self, granted: bool) -> VoteReply:
        core = self._core
        return VoteReply(term=core.term, granted=granted, disk_id=core.disk_id)

    def _grants_pre_vote(self, request: VoteRequest) -> bool:
        core = self._core
        if request.term <= core.term or not core.may_vote or core.role is Role.LEADER:
            return False
        silent_ms = core.clock.now_ms() - core.last_contact_ms
        if core.leader and silent_ms < core.options.election_timeout_ms:
            return False
        return self._is_up_to_date(request)

    def _grant_vote(self, request: VoteRequest) -> bool:
        core = self._core
        if request.term < core.term or not core.may_vote:
            return False
        if core.stores.votes.vote.candidate not in ("", request.candidate):
            return False
        if not self._is_up_to_date(request):
            return False
        core.save_vote(candidate=request.candidate)
        core.last_contact_ms = core.clock.now_ms()
        return True

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        last = self._core.stores.log.last
        candidate_last = (request.last_term, request.last_index)
        return candidate_last >= (last.term, last.index)

    async def initialise_disk_id(self) -> None:
        """Assign a disk id to an empty data folder.

        Only a folder that was never used in a fleet gets the disk id of the initial
        voters. All other initial voters must answer first, because one that cannot be
        reached may know of votes that this replica cast before its folder was lost. A
        process that ends meanwhile may be started again without `bootstrap`, so the
        folder tells that it is at its first start.
        """
        core = self._core
        initial_configuration = core.options.initial_configuration
        is_listed = initial_configuration.voter(core.name) is not None
        if core.options.bootstrap and is_listed and not core.disk_id:
            core.save_vote(is_initial=True)
        if not core.stores.votes.vote.is_initial or not is_listed:
            self.assign_random_disk_id(
                "started without --bootstrap or not an initial voter"
            )
        while not core.disk_id:
            replies = await self._request_votes(
                initial_configuration.voters, self._vote_request(0, True)
            )
            if any(reply.term > 0 for _, reply in replies):
                self.assign_random_disk_id("the fleet has already been bootstrapped")
            elif len(replies) == len(initial_configuration.voters) - 1:
                core.save_vote(disk_id=BOOTSTRAP_DISK_ID, is_initial=False)
                core.reset_history()
                _log.info(
                    "replica %s starts on an empty data folder as an initial voter",
                    core.name,
                )
            else:
                await core.clock.sleep_ms(core.options.append_interval_ms)

    def assign_random_disk_id(self, reason: str) -> None:
        """Assign an empty data folder a random disk id, with which it has no vote."""
        if not self._core.disk_id:
            self._core.save_vote(disk_id=secrets.token_hex(8), is_initial=False)
            _log.warning(
                "replica %s starts on an empty data folder without a vote: %s",
                self._core.name,
                reason,
            )

    async def campaign(self) -> bool:
        """Run one election: a pre-vote, then a vote in the next term.

        Returns
        -------
        bool
            True if this replica now leads.
        """
        core = self._core
        core.become_candidate()
        term = core.term + 1
        if not await self._collect_votes(term, pre_vote=True):
            return False
        core.save_vote(term=term, candidate=core.name)
        if not await self._collect_votes(term, pre_vote=False):
            return False
        core.become_leader()
        return True

    async def _collect_votes(self, term: int, pre_vote: bool) -> bool:
        """Return whether enough voters granted their vote.

        False also if the role or the term changed meanwhile.
        """
        core = self._core
        before = core.term
        configuration = core.configuration
        replies = await self._request_votes(
            configuration.electorate, self._vote_request(term, pre_vote)
        )
        if core.role is not Role.CANDIDATE or core.term != before:
            return False
        highest = max((reply.term for _, reply in replies), default=0)
        if highest > core.term:
            core.adopt_term(highest, "a voter has a higher term")
            return False
        granted = {core.name} | {node.name for node, r in replies if r.granted}
        if before == 0 and pre_vote:
            # Before the first election all initial voters must have a disk id: one that
            # receives a term above 0 meanwhile gets no vote. One that has another id
            # than that of the initial voters will join as a learner.
            decided = {node.name for node, reply in replies if reply.disk_id}
            if len(decided) < len(configuration.voters) - 1:
                return False
        return configuration.has_majority(granted)

    def _vote_request(self, term: int, pre_vote: bool) -> VoteRequest:
        last: Position = self._core.stores.log.last
        return VoteRequest(
            candidate=self._core.name,
            term=term,
            last_index=last.index,
            last_term=last.term,
            pre_vote=pre_vote,
        )

    async def _request_votes(
        self, nodes: Iterable[Node], request: VoteRequest
    ) -> list[tuple[Node, VoteReply]]:
        """Send `request` to all other `nodes` at once; return the replies in time."""
        others = [node for node in nodes if node.name != self._core.name]
        replies = await asyncio.gather(
            *(self._request_vote(n, request) for n in others)
        )
        return [(n, r) for n, r in zip(others, replies, strict=True) if r is not None]

    async def _request_vote(self, node: Node, request: VoteRequest) -> VoteReply | None:
        timeout_ms = self._core.options.election_timeout_ms / 2
        try:
            return await self._transport.call(node, "Vote", request, timeout_ms)
        except PeerError:
            return None
