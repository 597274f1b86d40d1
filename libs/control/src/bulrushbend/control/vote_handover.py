"""Handover of the vote of a replica that stops."""

import asyncio

from bulrushbend.core.clock import Clock
from bulrushbend.core.logs import get_logger
from bulrushbend.store.replica import Replica
from bulrushbend.wire.fleet_pb2 import VotersReply, VotersRequest

_log = get_logger("control.handover")
# The drain and the stop need the rest of the time until the process is killed.
_HANDOVER_TIMEOUT_MS = 1_500.0
_RETRY_INTERVAL_MS = 50.0


async def hand_over_vote(replica: Replica, name: str, clock: Clock) -> None:
    """Tell the leader that this replica stops, and wait while it is replaced.

    A replica that is not replaced keeps its vote: it may come back on its data folder,
    as in a rolling restart without another replica that could vote.

    Parameters
    ----------
    replica : Replica
        This replica.
    name : str
        Its name.
    clock : Clock
        Source of time.
    """
    try:
        async with asyncio.timeout(_HANDOVER_TIMEOUT_MS / 1000.0):
            while replica.configuration.node(name) is not None:
                request = VotersRequest(change=VotersRequest.LEAVE, name=name)
                reply = await replica.change_voters(request)
                if not _awaits_replacement(reply, name):
                    return
                await clock.sleep_ms(_RETRY_INTERVAL_MS)
    except TimeoutError:
        _log.warning(
            "replica %s was not replaced within %.0f ms; it stops as a voter",
            name,
            _HANDOVER_TIMEOUT_MS,
        )


def _awaits_replacement(reply: VotersReply, name: str) -> bool:
    """Return whether a voter may still be replaced by a learner."""
    return not reply.accepted or (name in reply.voters and bool(reply.learners))
