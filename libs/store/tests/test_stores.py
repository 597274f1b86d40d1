import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from store_builders import FaultyFileSystem

from bulrushbend.core.errors import CorruptLogError, StoreFailedError
from bulrushbend.store import log
from bulrushbend.store.log import MemoryLogStore
from bulrushbend.store.records import Entry, Position
from bulrushbend.store.snapshots import (
    DiskSnapshotStore,
    Snapshot,
    decode_snapshot,
    encode_snapshot,
)
from bulrushbend.store.stores import open_stores
from bulrushbend.store.vote import DiskVoteStore, Vote, decode_vote, encode_vote


@given(st.binary(max_size=100))
def test_arbitrary_bytes_raise_nothing_but_corrupt_log(data):
    for decode in (decode_vote, decode_snapshot):
        with contextlib.suppress(CorruptLogError):
            decode(data)


@given(st.data())
def test_flipped_bit_is_detected(data):
    vote = encode_vote(Vote(3, "c1", "founding"))
    snapshot = encode_snapshot(Snapshot(Position(5, 2), b"state"))
    for content, decode in ((vote[:-1], decode_vote), (snapshot, decode_snapshot)):
        damaged = bytearray(content)
        bit = data.draw(st.integers(0, len(damaged) * 8 - 1))
        damaged[bit // 8] ^= 1 << bit % 8
        with contextlib.suppress(CorruptLogError):
            assert decode(bytes(damaged)) == decode(content)


def test_vote_and_snapshot_survive_reopening(tmp_path):
    vote = Vote(3, "c1", "founding")
    DiskVoteStore(tmp_path / "vote").save(vote)
    assert DiskVoteStore(tmp_path / "vote").vote == vote
    snapshot = Snapshot(Position(5, 2), b"state")
    DiskSnapshotStore(tmp_path / "snapshot").save(snapshot)
    assert DiskSnapshotStore(tmp_path / "snapshot").latest == snapshot


def test_folder_in_use_is_refused(tmp_path):
    """Two processes on one folder could each vote in the same term."""
    with contextlib.ExitStack() as stack:
        open_stores(tmp_path, stack)
        with pytest.raises(StoreFailedError, match="another process"):
            open_stores(tmp_path, stack)


def test_interrupted_snapshot_installation_is_completed_on_open(tmp_path):
    """The process may end after saving the snapshot and before compacting the log."""
    with contextlib.ExitStack() as stack:
        stores = open_stores(tmp_path, stack)
        stores.votes.save(Vote(1, "", "founding"))
        stores.log.append([Entry(1, 1, b"a"), Entry(2, 1, b"b")])
        stores.snapshots.save(Snapshot(Position(9, 3), b"state"))
    with contextlib.ExitStack() as stack:
        assert open_stores(tmp_path, stack).log.last == Position(9, 3)


@pytest.mark.parametrize("missing", ["log", "vote", "snapshot"])
def test_folder_with_a_missing_file_is_refused(tmp_path, missing):
    """A replica that lost its vote or its entries must not participate."""
    with contextlib.ExitStack() as stack:
        stores = open_stores(tmp_path, stack)
        stores.votes.save(Vote(1, "", "founding"))
        stores.log.append([Entry(1, 1, b"a"), Entry(2, 1, b"b")])
        stores.snapshots.save(Snapshot(Position(1, 1), b"state"))
        stores.log.compact(Position(1, 1))
    (tmp_path / missing).unlink()
    with contextlib.ExitStack() as stack, pytest.raises(CorruptLogError):
        open_stores(tmp_path, stack)


def test_vote_found_on_open_survives_a_loss_of_power(tmp_path):
    """Guards against a second vote in a term after a rename that was not durable."""
    files = FaultyFileSystem()
    with contextlib.ExitStack() as stack:
        stores = open_stores(tmp_path, stack, files)
        stores.votes.save(Vote(1, "c1", "founding"))
        files.refused_operations = frozenset({"sync_folder"})
        with pytest.raises(StoreFailedError):
            stores.votes.save(Vote(2, "c2", "founding"))
    files.refused_operations = frozenset()
    with contextlib.ExitStack() as stack:
        found = open_stores(tmp_path, stack, files).votes.vote
    files.lose_power()
    files.restore_power(0)
    assert DiskVoteStore(tmp_path / "vote").vote == found


def test_snapshot_that_does_not_fit_leaves_room_for_the_log(tmp_path):
    """Guards against an incomplete file that keeps a disk full for good."""
    files = FaultyFileSystem()
    files.folder_bytes = 2000
    with contextlib.ExitStack() as stack:
        stores = open_stores(tmp_path, stack, files)
        stores.votes.save(Vote(1, "", "founding"))
        stores.log.append([Entry(1, 1, b"a" * 500)])
        with pytest.raises(StoreFailedError):
            stores.snapshots.save(Snapshot(Position(1, 1), b"s" * 3000))
    with contextlib.ExitStack() as stack:
        stores = open_stores(tmp_path, stack, files)
        stores.log.append([Entry(2, 1, b"b")])


def test_incomplete_file_of_a_process_that_ended_is_removed(tmp_path):
    """Guards against an incomplete file that keeps a disk full for good."""
    (tmp_path / "snapshot.tmp").write_bytes(b"s" * 1900)
    files = FaultyFileSystem()
    files.folder_bytes = 2000
    with contextlib.ExitStack() as stack:
        open_stores(tmp_path, stack, files).log.append([Entry(1, 1, b"a" * 500)])


def test_log_opens_on_a_disk_with_less_room_than_its_size(tmp_path):
    """Guards against replicas that cannot be restarted although appends still fit."""
    files = FaultyFileSystem()
    files.folder_bytes = 2000
    with contextlib.ExitStack() as stack:
        stores = open_stores(tmp_path, stack, files)
        stores.votes.save(Vote(1, "", "founding"))
        stores.log.append([Entry(1, 1, b"a" * 1200)])
    with contextlib.ExitStack() as stack:
        stores = open_stores(tmp_path, stack, files)
        stores.log.append([Entry(2, 1, b"b")])


def test_log_is_consistent_while_it_is_compacted(monkeypatch):
    # Guards against entries that are sent or applied under a wrong index.
    store = MemoryLogStore()
    store.append(
        [Entry(index, 1 + index // 4, b"%d" % index) for index in range(1, 11)]
    )
    seen = []
    count_bytes = log._total_command_bytes

    def look_meanwhile(entries):
        seen.append(
            (
                store.base.index,
                store.term_at(8),
                [entry.index for entry in store.entries(8)],
                store.entries_after(7)[0],
                store.last.index,
            )
        )
        return count_bytes(entries)

    monkeypatch.setattr(log, "_total_command_bytes", look_meanwhile)
    store.compact(Position(5, 2))
    assert seen == [(5, 3, [8, 9, 10], 2, 10)]
    assert store.entries_after(4) is None
    assert store.entries_after(5)[0] == 2
    assert store.entries_after(11) is None
