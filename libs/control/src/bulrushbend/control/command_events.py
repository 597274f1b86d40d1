"""Events for the commands applied to the replicated state."""

from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.store.base import AppliedEntry
from bulrushbend.wire.fleet_pb2 import KeyReply, KeyRequest, PublishReply

_MANIFEST_KINDS = {
    PublishReply.ACCEPTED: EventKind.MANIFEST_ACCEPTED,
    PublishReply.CONFLICT: EventKind.MANIFEST_CONFLICT,
    PublishReply.STALE: EventKind.MANIFEST_STALE,
}
_KEY_KINDS = {
    KeyReply.RECORDED: EventKind.KEY_RECORDED,
    KeyReply.COMPLETED: EventKind.KEY_COMPLETED,
    KeyReply.RELEASED: EventKind.KEY_RELEASED,
}


class CommandEventWriter:
    """Writes an event to the event log for each applied command.

    Only the leader writes it, so that the merged event logs of all replicas show each
    command once. If leadership changes before a command is committed, the new leader
    writes its event.

    Parameters
    ----------
    events : EventLog
        Event log of this process.
    """

    def __init__(self, events: EventLog):
        self._events = events

    def write(self, applied: AppliedEntry) -> None:
        """Write the event of `applied` if this replica was the leader."""
        if not applied.leading:
            return
        command = applied.command
        match command.WhichOneof("kind"):
            case "put_manifest":
                self._write_manifest(applied)
            case "record_key":
                self._write_key(command.record_key, applied, KeyReply.RECORDED)
            case "complete_key":
                self._write_key(command.complete_key, applied, KeyReply.COMPLETED)
            case "release_key":
                self._write_key(command.release_key, applied, KeyReply.RELEASED)
            case "set_voters":
                self._write_voters(applied)

    def _write_manifest(self, applied: AppliedEntry) -> None:
        reply = PublishReply.FromString(applied.result)
        kind = _MANIFEST_KINDS.get(reply.result)
        if kind is not None:
            document = applied.command.put_manifest
            self._events.write(
                kind,
                version=document.version,
                digest=document.digest,
                version_in_force=reply.version,
                digest_in_force=reply.digest,
                index=applied.index,
            )

    def _write_key(
        self, request: KeyRequest, applied: AppliedEntry, expected: "KeyReply.Result"
    ) -> None:
        """Write a key event if the command had the `expected` result."""
        reply = KeyReply.FromString(applied.result)
        if reply.result == expected:
            self._events.write(
                _KEY_KINDS[reply.result],
                request_id=request.request_id,
                team=request.team,
                service=request.service,
                peer=request.owner,
                index=applied.index,
            )

    def _write_voters(self, applied: AppliedEntry) -> None:
        voters = applied.command.set_voters
        self._events.write(
            EventKind.VOTERS_CHANGED,
            voters=[entry.name for entry in voters.voters],
            learners=[entry.name for entry in voters.learners],
            index=applied.index,
        )
