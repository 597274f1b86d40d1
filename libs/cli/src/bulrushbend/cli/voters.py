"""Change the voters of control."""

from bulrushbend.cli.calls import CallFailure, call_replica
from bulrushbend.cli.exits import FleetUnavailableError, UsageError
from bulrushbend.wire.fleet_pb2 import VotersReply, VotersRequest

CHANGES = {
    "add-learner": VotersRequest.ADD_LEARNER,
    "promote": VotersRequest.PROMOTE,
    "remove": VotersRequest.REMOVE,
}


async def change_voters(
    addresses: list[str], change: str, name: str, address: str, timeout_ms: float
) -> VotersReply:
    """Ask the replicas in turn to change the membership of control.

    Changes are idempotent: adding a known learner or removing an unknown replica has
    no effect.

    Raises
    ------
    UsageError
        If the change is unknown.
    FleetUnavailableError
        If no replica answered; the change may have been made.
    """
    if change not in CHANGES:
        allowed = ", ".join(CHANGES)
        raise UsageError(f"change {change!r} is not one of {allowed}", step="voters")
    request = VotersRequest(change=CHANGES[change], name=name, address=address)
    reason = ""
    refusal = None
    for replica in addresses:
        reply = await call_replica(replica, "ChangeVoters", request, timeout_ms)
        if isinstance(reply, CallFailure):
            reason = f"{reply.address}: {reply.reason}"
        elif reply.accepted:
            return reply
        else:
            refusal = reply
    if refusal is not None:
        return refusal
    raise FleetUnavailableError(f"the change may or may not have been made ({reason})")
