"""Repair of the voter list: lost disks and lost replicas are replaced.

A replica that starts on an empty folder has no vote. The leader takes it out of the
list, lets it learn, and promotes it once it holds the state; one change at a time, so
that any two majorities in succession have a replica in common. A voter that is only
silent is replaced when a learner is ready to take its place, and never so that the
voters that answer are no majority any more.
"""

from collections.abc import Mapping

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.store.configuration import Configuration
from bulrushbend.store.leadership import PeerView
from bulrushbend.store.replica import Replica
from bulrushbend.wire.fleet_pb2 import VotersRequest

_LOOK_MS = 200.0
# Silence after which a voter is replaced by a learner that is ready. Short enough to
# finish within the time in which a new VM has to count as caught up, and longer than a
# restart of the process on the same VM.
REPLACE_MS = 2_000.0
# Silence after which a learner is dropped; it asks again when it is back.
_DROP_LEARNER_MS = 10_000.0


def next_change(
    configuration: Configuration,
    peers: Mapping[str, PeerView],
    own: str,
    target: int,
) -> VotersRequest | None:
    """Return the next change of the voter list that the leader should make, if any.

    Parameters
    ----------
    configuration : Configuration
        Newest configuration, committed.
    peers : mapping of str to PeerView
        What the leader knows of its peers.
    own : str
        Name of the leader.
    target : int
        Number of voters to have.
    """
    ready = [
        node.name
        for node in configuration.learners
        if node.name in peers
        and peers[node.name].has_caught_up
        and peers[node.name].silent_ms < REPLACE_MS
    ]
    for node in configuration.voters:
        view = peers.get(node.name)
        if view is None or node.name == own:
            continue
        lost_disk = bool(view.disk_id) and view.disk_id != node.disk_id
        is_replaced = bool(ready) and view.silent_ms > REPLACE_MS
        if (lost_disk or is_replaced) and _holds_without(
            configuration, peers, own, node.name
        ):
            return VotersRequest(change=VotersRequest.REMOVE, name=node.name)
    if ready and len(configuration.voters) < target:
        return VotersRequest(change=VotersRequest.PROMOTE, name=ready[0])
    for node in configuration.learners:
        view = peers.get(node.name)
        if view is not None and view.silent_ms > _DROP_LEARNER_MS:
            return VotersRequest(change=VotersRequest.REMOVE, name=node.name)
    return None


def _holds_without(
    configuration: Configuration, peers: Mapping[str, PeerView], own: str, name: str
) -> bool:
    """Return whether the voters that answer are a majority without `name`."""
    rest = configuration.without(name)
    answering = {own}
    for node in rest.voters:
        view = peers.get(node.name)
        if view and view.silent_ms < REPLACE_MS and view.disk_id == node.disk_id:
            answering.add(node.name)
    return rest.has_majority(answering)


class VoterRepair:
    """Makes the changes of `next_change` while the replica leads.

    Parameters
    ----------
    replica : Replica
        The replica.
    name : str
        Its name.
    target : int
        Number of voters to have.
    clock : Clock
        Source of time.
    events : EventLog
        Receives the changes.
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
        """Look for changes until cancelled."""
        while True:
            await self._clock.sleep_ms(_LOOK_MS)
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
