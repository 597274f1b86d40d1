import asyncio
import contextlib

import pytest
from store_builders import NAMES, address, wait_until

from bulrushbend.core.clock import Clock, ManualClock
from bulrushbend.core.errors import PeerError
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.store.configuration import Configuration, Node
from bulrushbend.store.options import ReplicaOptions
from bulrushbend.store.records import Entry
from bulrushbend.store.replica import Replica
from bulrushbend.store.stores import memory_stores, open_stores
from bulrushbend.store.vote import BOOTSTRAP_DISK_ID, Vote
from bulrushbend.wire.control_pb2 import Command, NoOperation
from bulrushbend.wire.fleet_pb2 import (
    AppendReply,
    AppendRequest,
    VoteReply,
    VoteRequest,
)

INITIAL_CONFIGURATION = Configuration(
    tuple(Node(n, address(n), BOOTSTRAP_DISK_ID) for n in NAMES)
)
COMMAND = Command(no_operation=NoOperation()).SerializeToString()


class ScriptedTransport:
    """Answers calls with a function of the method and the request."""

    def __init__(self, answer):
        self._answer = answer

    async def call(self, peer, method, request, timeout_ms):
        return self._answer(method, request)

    def close(self):
        pass


def replica(stores, answer=None, clock=None):
    options = ReplicaOptions("c1", INITIAL_CONFIGURATION, election_timeout_ms=50)
    transport = ScriptedTransport(answer)
    return Replica(options, stores, transport, clock or Clock(), MemoryEventLog())


def bootstrapped_stores(stores, term=1):
    stores.votes.save(Vote(term, "", BOOTSTRAP_DISK_ID))
    return stores


def vote_request(candidate, term=2, last_index=0, **fields):
    return VoteRequest(candidate=candidate, term=term, last_index=last_index, **fields)


async def test_at_most_one_vote_per_term_across_restarts(tmp_path):
    """Two votes of one replica in a term could elect two leaders."""
    for candidate, granted in (("c2", True), ("c3", False), ("c2", True)):
        with contextlib.ExitStack() as stack:
            stores = open_stores(tmp_path, stack)
            if not stores.votes.vote.disk_id:
                bootstrapped_stores(stores)
            reply = replica(stores).handle_vote_request(vote_request(candidate))
            assert reply.granted == granted


@pytest.mark.parametrize("pre_vote", [True, False])
async def test_candidate_with_an_outdated_log_gets_no_vote(pre_vote):
    """As the leader, it would overwrite entries that may be committed."""
    stores = bootstrapped_stores(memory_stores())
    stores.log.append([Entry(1, 1, COMMAND), Entry(2, 1, COMMAND)])
    voter = replica(stores)
    shorter = vote_request("c2", last_index=1, last_term=1, pre_vote=pre_vote)
    assert not voter.handle_vote_request(shorter).granted
    newer = vote_request("c2", last_index=1, last_term=2, pre_vote=pre_vote)
    assert voter.handle_vote_request(newer).granted


async def test_pre_vote_is_refused_while_a_leader_is_in_contact():
    """A replica that was isolated must not depose a leader that works."""
    clock = ManualClock()
    voter = replica(bootstrapped_stores(memory_stores()), clock=clock)
    await voter.handle_append_request(AppendRequest(leader="c2", term=1))
    request = vote_request("c3", pre_vote=True)
    assert not voter.handle_vote_request(request).granted
    await clock.advance(51)
    assert voter.handle_vote_request(request).granted
    assert voter.status().term == 1


async def test_entry_of_an_older_term_is_not_committed_by_counting_replicas():
    """A new leader may overwrite such an entry even if a majority holds it."""
    stores = bootstrapped_stores(memory_stores())
    stores.log.append([Entry(1, 1, COMMAND)])
    heartbeats = []

    def answer(method, request):
        if method == "Vote":
            return VoteReply(term=1, granted=True, disk_id=BOOTSTRAP_DISK_ID)
        if request.entries:
            raise PeerError("lost", step=method, peer="c2")
        heartbeats.append(request)
        return AppendReply(
            term=request.term, success=True, match_index=1, disk_id=BOOTSTRAP_DISK_ID
        )

    leader = replica(stores, answer)
    leader.start()
    await wait_until(lambda: len(heartbeats) >= 2)
    await asyncio.sleep(0.02)
    assert leader.status().commit_index == 0
    await leader.stop()
