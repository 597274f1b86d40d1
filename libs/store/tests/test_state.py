import pytest
from store_builders import key_request, key_result, put_manifest

from bulrushbend.store.state import MAX_ANSWER_BYTES, RELEASED_KEY_TTL_MS, State
from bulrushbend.wire.control_pb2 import Command, ExpireKeys
from bulrushbend.wire.fleet_pb2 import KeyReply, PublishReply, StoredAnswer

TTL_MS = 86_400_000


@pytest.fixture
def state():
    return State()


def publish(state, version, team="crew-a"):
    return PublishReply.FromString(state.apply(put_manifest(version, team)))


def apply_key(state, kind, time_ms=0, **fields):
    command = Command(time_ms=time_ms, **{f"{kind}_key": key_request(**fields)})
    return key_result(state.apply(command))


def test_manifest_versions_are_accepted_once_and_never_go_back(state):
    first = publish(state, 5)
    assert first.result == PublishReply.ACCEPTED
    assert publish(state, 5).result == PublishReply.ACCEPTED
    conflict = publish(state, 5, "crew-b")
    assert (conflict.result, conflict.digest) == (PublishReply.CONFLICT, first.digest)
    stale = publish(state, 4)
    assert (stale.result, stale.version) == (PublishReply.STALE, 5)
    assert publish(state, 6, "crew-b").result == PublishReply.ACCEPTED


def test_key_belongs_to_the_request_that_recorded_it(state):
    assert apply_key(state, "record") == "RECORDED"
    assert apply_key(state, "record") == "RECORDED"
    assert apply_key(state, "record", request_id="req-2") == "RUNNING"
    assert apply_key(state, "record", incarnation=2) == "RUNNING"
    assert apply_key(state, "record", body_digest="other") == "MISMATCH"
    assert apply_key(state, "release", request_id="req-2") == "NOT_OWNER"
    assert apply_key(state, "complete", owner="r2") == "NOT_OWNER"


def test_completed_key_always_returns_the_first_answer(state):
    apply_key(state, "record")
    answer = StoredAnswer(status=200, body=b"first", body_kept=True)
    assert apply_key(state, "complete", answer=answer) == "COMPLETED"
    late = StoredAnswer(status=500, body=b"second", body_kept=True)
    assert apply_key(state, "complete", answer=late) == "COMPLETED"
    assert apply_key(state, "release") == "NOT_OWNER"
    again = Command(record_key=key_request(request_id="req-2"))
    reply = KeyReply.FromString(state.apply(again))
    assert (reply.result, reply.answer) == (KeyReply.COMPLETED, answer)


def test_large_answer_is_kept_without_its_body(state):
    apply_key(state, "record")
    body = b"x" * (MAX_ANSWER_BYTES + 1)
    answer = StoredAnswer(status=200, body=body, body_kept=True)
    apply_key(state, "complete", answer=answer)
    kept = state.key_record(key_request()).answer
    assert (kept.status, kept.body, kept.body_kept) == (200, b"", False)


def test_released_key_accepts_another_request_but_not_a_delayed_duplicate(state):
    """A delayed RecordKey must not record a key again after its release."""
    apply_key(state, "record")
    assert apply_key(state, "release") == "RELEASED"
    assert apply_key(state, "release") == "RELEASED"
    assert apply_key(state, "record") == "RELEASED"
    assert apply_key(state, "record", request_id="req-2") == "RECORDED"
    assert apply_key(state, "release") == "NOT_OWNER"


def test_release_before_its_record_prevents_the_record(state):
    assert apply_key(state, "release") == "RELEASED"
    assert apply_key(state, "record") == "RELEASED"


def test_keys_expire_by_the_time_of_the_command(state):
    apply_key(state, "record", time_ms=1000)
    apply_key(state, "release", time_ms=2000, key="k2")
    state.apply(Command(time_ms=2000 + RELEASED_KEY_TTL_MS, expire_keys=ExpireKeys()))
    assert state.key_count == 1
    assert not state.has_expired_keys(1000 + TTL_MS - 1)
    state.apply(Command(time_ms=1000 + TTL_MS, expire_keys=ExpireKeys()))
    assert state.key_count == 0


def test_released_and_recorded_again_key_keeps_its_new_expiry(state):
    apply_key(state, "record", time_ms=0)
    apply_key(state, "release", time_ms=0)
    apply_key(state, "record", time_ms=5000, request_id="req-2")
    state.apply(Command(time_ms=TTL_MS, expire_keys=ExpireKeys()))
    assert state.key_count == 1


def test_snapshot_restores_the_same_state(state):
    publish(state, 3)
    apply_key(state, "record", time_ms=5)
    apply_key(state, "record", key="k2")
    apply_key(state, "complete", key="k2", answer=StoredAnswer(status=200))
    other = State()
    other.restore(state.snapshot())
    assert other.snapshot() == state.snapshot()
    assert publish(other, 3, "crew-b").result == PublishReply.CONFLICT
    assert apply_key(other, "record", request_id="req-2") == "RUNNING"
    assert other.has_expired_keys(5 + TTL_MS)
