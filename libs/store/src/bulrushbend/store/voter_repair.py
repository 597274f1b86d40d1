"""Automatic repair of the voter list after the loss of a disk or a replica.

A replica that starts on an empty data folder has no vote. The leader removes it from
the voters, accepts it as a learner and promotes it once it has caught up; one change at
a time, so that any two successive majorities have a replica in common. A voter that
merely does not answer is replaced only when a learner has caught up, and only if the
voters that answer remain a majority.
"""

from collections.abc import Mapping

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.store.configuration import Configuration
from bulrushbend.store.leadership import PeerStatus
from bulrushbend.store.replica import Replica
from bulrushbend.wire.fleet_pb2 import VotersRequest

_POLL_INTERVAL_MS = 200.0
# Silence after which a voter is replaced by a learner that has caught up. Short enough
# to finish within the time in which a new VM has to count as caught up, and longer than
# a restart of the process on the same VM.
REPLACE_AFTER_MS = 2_000.0
# Silence after which a learner is removed; it asks to join again when it is back.
_REMOVE_LEARNER_AFTER_MS = 10_000.0


def next_change(
    configuration: Configuration,
    peers: Mapping[str, PeerStatus],
    own: str,
    target: int,
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
    """
    ready = [
        node.name
        for node in configuration.learners
        if node.name in peers
        and peers[node.name].has_caught_up
        and peers[node.name].silent_ms < REPLACE_AFTER_MS
    ]
    for node in configuration.voters:
        status = peers.get(node.name)
        if status is None or node.name == own:
            continue
        lost_disk = bool(status.disk_id) and status.disk_id != node.disk_id
        can_be_replaced = bool(ready) and status.silent_ms > REPLACE_AFTER_MS
        if (lost_disk or can_be_replaced) and _keeps_majority_without(
            configuration, peers, own, node.name
        ):
            return VotersRequest(change=VotersRequest.REMOVE, name=node.name)
    if ready and len(configuration.voters) < target:
        return VotersRequest(change=VotersRequest.PROMOTE, name=ready[0])
    for node in configuration.learners:
        status = peers.get(node.name)
        if status is not None and status.silent_ms > _REMOVE_LEARNER_AFTER_MS:
            return VotersRequest(change=VotersRequest.REMOVE, name=node.name)
    return None


def _keeps_majority_without(
    configuration: Configuration, peers: Mapping[str, PeerStatus], own: str, name: str
) -> bool:
    """Return whether the voters that answer are a majority without `name`."""
    remaining = configuration.without(name)
    answering = {own}
    for node in remaining.voters:
        status = peers.get(node.name)
        if (
            status
            and status.silent_ms < REPLACE_AFTER_MS
            and status.disk_id == node.disk_id
        ):
            answering.add(node.name)
    return remaining.has_majority(answering)


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
            request = next_change(
                self._replica.configuration, peers, self._name, self._target
            )
            if request is None:
                continue
            reply = await self._replica.change_voters(request)
            self._events.write(
                EventKind.VOTERS_CHANGED,
                peer=request.name,
                change=VotersRequest.Change.Name(request.change),
                accepted=reply.accepted,
                reason=reply.message,
                silent_ms=round(peers[request.name].silent_ms),
            )
