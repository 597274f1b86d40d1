"""Replicated state: manifest, idempotency keys and voter list.

The state is the result of the applied commands. It reads no clock and no membership,
so every replica that applies the same commands holds the same state.
"""

import heapq

from bulrushbend.core.errors import ManifestError
from bulrushbend.core.manifest import Limits, parse_manifest
from bulrushbend.wire.control_pb2 import (
    Command,
    KeyRecord,
    SetVoters,
    StateSnapshot,
)
from bulrushbend.wire.fleet_pb2 import (
    KeyReply,
    KeyRequest,
    ManifestDocument,
    PublishReply,
    StoredAnswer,
)

MAX_ANSWER_BYTES = 64 * 1024
# Released keys are retained, since a RecordKey that was delayed in the network must not
# record a key again that its owner has released meanwhile. One minute exceeds every
# deadline of a call to control.
RELEASED_KEY_TTL_MS = 60_000
DEFAULT_KEY_TTL_MS = Limits().key_ttl_ms

_KeyId = tuple[str, str, str]


class State:
    """State machine to which the committed commands are applied."""

    def __init__(self) -> None:
        self._manifest: ManifestDocument | None = None
        self._key_ttl_ms = DEFAULT_KEY_TTL_MS
        self._keys: dict[_KeyId, KeyRecord] = {}
        self._expiry_heap: list[tuple[int, _KeyId]] = []
        self._voters = SetVoters()

    @property
    def manifest(self) -> ManifestDocument | None:
        """Manifest with the highest accepted version, None before the first."""
        return self._manifest

    @property
    def manifest_version(self) -> int:
        """Version of the manifest, 0 before the first."""
        return self._manifest.version if self._manifest is not None else 0

    @property
    def voters(self) -> SetVoters:
        """Voter list that was applied last."""
        return self._voters

    @property
    def key_count(self) -> int:
        """Number of stored idempotency keys."""
        return len(self._keys)

    def key_record(self, request: KeyRequest) -> KeyRecord | None:
        """Return the record of the key that `request` names."""
        return self._keys.get(_key_id(request))

    def has_expired_keys(self, time_ms: int) -> bool:
        """Return whether some key expires at or before `time_ms`."""
        return bool(self._expiry_heap) and self._expiry_heap[0][0] <= time_ms

    def apply(self, command: Command) -> bytes:
        """Apply one command.

        Parameters
        ----------
        command : Command
            Committed command.

        Returns
        -------
        bytes
            Serialised `PublishReply` or `KeyReply`, empty for the other commands.
        """
        match command.WhichOneof("kind"):
            case "put_manifest":
                return self._put_manifest(command.put_manifest).SerializeToString()
            case "record_key":
                reply = self._record_key(command.record_key, command.time_ms)
            case "complete_key":
                reply = self._complete_key(command.complete_key)
            case "release_key":
                reply = self._release_key(command.release_key, command.time_ms)
            case "expire_keys":
                self._expire_keys(command.time_ms)
                return b""
            case "set_voters":
                self._voters = command.set_voters
                return b""
            case _:
                return b""
        return reply.SerializeToString()

    def snapshot(self) -> bytes:
        """Return the whole state in serialised form."""
        return StateSnapshot(
            manifest=self._manifest,
            keys=self._keys.values(),
            key_ttl_ms=self._key_ttl_ms,
            voters=self._voters,
        ).SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state by the one in `data`, written by `snapshot`.

        Raises
        ------
        google.protobuf.message.DecodeError
            If `data` is not a serialised state.
        """
        snapshot = StateSnapshot.FromString(data)
        self._manifest = snapshot.manifest if snapshot.HasField("manifest") else None
        self._key_ttl_ms = snapshot.key_ttl_ms or DEFAULT_KEY_TTL_MS
        self._keys = {_key_id(record): record for record in snapshot.keys}
        self._expiry_heap = [(r.expires_ms, key_id) for key_id, r in self._keys.items()]
        heapq.heapify(self._expiry_heap)
        self._voters = snapshot.voters

    def _put_manifest(self, document: ManifestDocument) -> PublishReply:
        if document.version < self.manifest_version:
            return self._publish_reply(PublishReply.STALE)
        if document.version == self.manifest_version:
            same = document.digest == self._manifest.digest
            result = PublishReply.ACCEPTED if same else PublishReply.CONFLICT
            return self._publish_reply(result)
        try:
            manifest = parse_manifest(document.content)
        except ManifestError as error:
            return PublishReply(result=PublishReply.INVALID, message=str(error))
        self._manifest = document
        self._key_ttl_ms = manifest.limits.key_ttl_ms
        return self._publish_reply(PublishReply.ACCEPTED)

    def _publish_reply(self, result: "PublishReply.Result") -> PublishReply:
        digest = self._manifest.digest if self._manifest is not None else ""
        return PublishReply(result=result, version=self.manifest_version, digest=digest)

    def _record_key(self, request: KeyRequest, time_ms: int) -> KeyReply:
        record = self._keys.get(_key_id(request))
        if record is not None and record.phase == KeyRecord.RELEASED:
            if _owns(request, record):
                return KeyReply(result=KeyReply.RELEASED, request_id=record.request_id)
            record = None
        if record is None:
            self._store_record(_new_record(request), time_ms + self._key_ttl_ms)
            return KeyReply(result=KeyReply.RECORDED, request_id=request.request_id)
        if record.body_digest != request.body_digest:
            return KeyReply(result=KeyReply.MISMATCH, request_id=record.request_id)
        if record.phase == KeyRecord.COMPLETED:
            return KeyReply(
                result=KeyReply.COMPLETED,
                answer=record.answer,
                request_id=record.request_id,
            )
        result = KeyReply.RECORDED if _owns(request, record) else KeyReply.RUNNING
        return KeyReply(result=result, request_id=record.request_id)

    def _complete_key(self, request: KeyRequest) -> KeyReply:
        record = self._keys.get(_key_id(request))
        if record is None or not _owns(request, record):
            return KeyReply(result=KeyReply.NOT_OWNER)
        if record.phase == KeyRecord.RELEASED:
            return KeyReply(result=KeyReply.NOT_OWNER)
        if record.phase == KeyRecord.RUNNING:
            record.phase = KeyRecord.COMPLETED
            record.answer.CopyFrom(cap_answer(request.answer))
        return KeyReply(result=KeyReply.COMPLETED, request_id=record.request_id)

    def _release_key(self, request: KeyRequest, time_ms: int) -> KeyReply:
        record = self._keys.get(_key_id(request))
        if record is None:
            record = _new_record(request)
        elif not _owns(request, record) or record.phase == KeyRecord.COMPLETED:
            return KeyReply(result=KeyReply.NOT_OWNER, request_id=record.request_id)
        record.phase = KeyRecord.RELEASED
        self._store_record(record, time_ms + RELEASED_KEY_TTL_MS)
        return KeyReply(result=KeyReply.RELEASED, request_id=record.request_id)

    def _store_record(self, record: KeyRecord, expires_ms: int) -> None:
        record.expires_ms = expires_ms
        key_id = _key_id(record)
        self._keys[key_id] = record
        heapq.heappush(self._expiry_heap, (expires_ms, key_id))

    def _expire_keys(self, time_ms: int) -> None:
        while self.has_expired_keys(time_ms):
            expires_ms, key_id = heapq.heappop(self._expiry_heap)
            record = self._keys.get(key_id)
            if record is not None and record.expires_ms == expires_ms:
                del self._keys[key_id]


def cap_answer(answer: StoredAnswer) -> StoredAnswer:
    """Return a copy of `answer`, without its body if that exceeds 64 KiB."""
    kept = StoredAnswer()
    kept.CopyFrom(answer)
    if len(answer.body) > MAX_ANSWER_BYTES:
        kept.body = b""
        kept.body_kept = False
    return kept


def _key_id(item: KeyRequest | KeyRecord) -> _KeyId:
    return item.team, item.service, item.key


def _owns(request: KeyRequest, record: KeyRecord) -> bool:
    return (
        request.owner == record.owner
        and request.owner_incarnation == record.owner_incarnation
        and request.request_id == record.request_id
    )


def _new_record(request: KeyRequest) -> KeyRecord:
    return KeyRecord(
        team=request.team,
        service=request.service,
        key=request.key,
        body_digest=request.body_digest,
        owner=request.owner,
        owner_incarnation=request.owner_incarnation,
        request_id=request.request_id,
    )
