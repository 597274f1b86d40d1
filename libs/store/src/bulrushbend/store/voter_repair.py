"""Automatic repair of the voter list after the loss of a disk or a replica.

A replica that starts on an empty data folder has no vote. The leader removes it from
the voters, accepts it as a learner and promotes it once it has caught up. A voter that
is stopping, has ended or does not answer is replaced only when a learner has caught up,
and only if the voters that answer remain a majority. Any two successive majorities have
a replica in common.
"""

from collections.abc import Collection, Mapping

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.store.configuration import Configuration, Node
from bulrushbend.store.leadership import PeerStatus
from bulrushbend.store.replica import Replica
from bulrushbend.wire.fleet_pb2 import VotersRequest

_POLL_INTERVAL_MS = 100.0
# Silence after which a voter is replaced by a learner that has caught up, unless its
# address refuses connections. Short enough to finish within the time in which a new VM
# has to count as caught up, and longer than a restart of the process on the same VM.
REPLACE_AFTER_MS = 2_000.0
# Silence after which a learner is removed; it asks to join again when it is back.
_REMOVE_LEARNER_AFTER_MS = 10_000.0


def next_change(
    configuration: Configuration,
    peers: Mapping[str, PeerStatus],
    own: str,
    target: int,
    leaving: Collection[str] = (),
) -> VotersRequest | None:
    """Return the next change that the leader should make to the voter list, if any.

    Parameters
    ----------
    configuration : Configuration
        Newest configuration, committed.
    peers : mapping of str to PeerStatus
        Status of the peers as the leader sees it.
    own : str
        Name of the leader.
    target : int
        Target number of voters.
    leaving : collection of str, default=()
        Replicas that are stopping, possibly the leader itself.
    """
    if configuration.is_joint:
        return VotersRequest(change=VotersRequest.COMPLETE)
    ready = [
        node
        for node in configuration.learners
        if node.name in peers
        and peers[node.name].has_caught_up
        and _answers(peers[node.name])
        and node.name not in leaving
    ]
    for node in configuration.voters:
        status = peers.get(node.name)
        if ready and _should_be_replaced(node, status, leaving):
            joint = configuration.with_replacement(node.name, ready[0])
            if joint.has_majority(_answering(joint, peers, own) | {ready[0].name}):
                return VotersRequest(
                    change=VotersRequest.REPLACE,
                    name=node.name,
                    replacement=ready[0].name,
                )
        elif status is not None and _has_lost_disk(node, status):
            remaining = configuration.without(node.name)
            if remaining.has_majority(_answering(remaining, peers, own)):
                return VotersRequest(change=VotersRequest.REMOVE, name=node.name)
    if ready and len(configuration.voters) < target:
        return VotersRequest(change=VotersRequest.PROMOTE, name=ready[0].name)
    for node in configuration.learners:
        status = peers.get(node.name)
        if status is not None and status.silent_ms > _REMOVE_LEARNER_AFTER_MS:
            return VotersRequest(change=VotersRequest.REMOVE, name=node.name)
    return None


def _should_be_replaced(
    node: Node, status: PeerStatus | None, leaving: Collection[str]
) -> bool:
    """Return whether a learner should replace a voter."""
    if node.name in leaving:
        return True
    if status is None:
        return False
    return _has_lost_disk(node, status) or not _answers(status)


def _answers(status: PeerStatus) -> bool:
    return status.silent_ms < REPLACE_AFTER_MS and not status.is_refusing


def _has_lost_disk(node: Node, status: PeerStatus) -> bool:
    return bool(status.disk_id) and status.disk_id != node.disk_id


def _answering(
    configuration: Configuration, peers: Mapping[str, PeerStatus], own: str
) -> set[str]:
    """Return the voters that answer, on the data folder with which they may vote."""
    answering = {own}
    for node in configuration.electorate:
        status = peers.get(node.name)
        if status and _answers(status) and status.disk_id == node.disk_id:
            answering.add(node.name)
    return answering


class VoterRepair:
    """Applies the changes of `next_change` while the replica leads.

    Parameters
    ----------
    replica : Replica
        The replica.
    name : str
        Its name.
    target : int
        Target number of voters.
    clock : Clock
        Source of time.
    events : EventLog
        Receives an event for each change.
    """

    def __init__(
        self,
        replica: Replica,
        name: str,
        target: int,
        clock: Clock,
        events: EventLog,
    ):
        self._replica = replica
        self._name = name
        self._target = target
        self._clock = clock
        self._events = events

    async def run(self) -> None:
        """Check the voter list periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)
            peers = self._replica.peers()
            if not peers:
                continue
            leaving = self._replica.leaving_replicas()
            request = next_change(
                self._replica.configuration, peers, self._name, self._target, leaving
            )
            if request is None:
                continue
            reply = await self._replica.change_voters(request)
            status = peers.get(request.name)
            self._events.write(
                EventKind.VOTERS_CHANGED,
                peer=request.name,
                change=VotersRequest.Change.Name(request.change),
                replacement=request.replacement,
                is_leaving=request.name in leaving,
                accepted=reply.accepted,
                reason=reply.message,
                silent_ms=None if status is None else round(status.silent_ms),
            )
