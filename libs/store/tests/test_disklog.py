import errno

import pytest
from store_builders import FaultyFileSystem

from bulrushbend.core.errors import CorruptLogError, StoreFailedError
from bulrushbend.store.disklog import DiskLogStore
from bulrushbend.store.log import MemoryLogStore
from bulrushbend.store.records import Entry, Position


@pytest.fixture(params=["disk", "memory"])
def log(request, tmp_path):
    store = MemoryLogStore()
    if request.param == "disk":
        store = DiskLogStore(tmp_path / "log")
    yield store
    store.close()


def entries(first, last, term=1):
    return [Entry(i, term, b"command-%d" % i) for i in range(first, last + 1)]


def reopen(path):
    store = DiskLogStore(path)
    store.close()
    return store


def test_truncate_and_compact_keep_the_other_entries(log):
    log.append(entries(1, 10))
    log.truncate_after(8)
    log.append(entries(9, 9, term=2))
    log.compact(Position(4, 1))
    assert [e.index for e in log.entries(5)] == [5, 6, 7, 8, 9]
    assert (log.base, log.last) == (Position(4, 1), Position(9, 2))
    assert log.term_at(4) == 1
    assert log.term_at(3) is None
    assert log.command_bytes == sum(len(e.command) for e in log.entries(5))
    assert len(log.entries(5, limit_bytes=1)) == 1


def test_compact_to_a_diverged_position_drops_all_entries(log):
    log.append(entries(1, 10))
    log.compact(Position(5, 2))
    assert log.last == Position(5, 2)


def test_entry_with_a_wrong_index_is_refused(log):
    with pytest.raises(ValueError, match="cannot append entry 2: expected index 1"):
        log.append(entries(2, 2))


def test_content_survives_reopening(tmp_path):
    store = DiskLogStore(tmp_path / "log")
    store.append(entries(1, 5))
    store.compact(Position(2, 1))
    store.append(entries(6, 7))
    store.truncate_after(6)
    store.close()
    again = reopen(tmp_path / "log")
    assert again.entries(3) == entries(3, 6)
    assert again.base == Position(2, 1)
    assert again.command_bytes == store.command_bytes


def test_torn_last_record_is_truncated_and_can_be_overwritten(tmp_path):
    path = tmp_path / "log"
    store = DiskLogStore(path)
    store.append(entries(1, 3))
    store.append(entries(4, 4))
    store.close()
    path.write_bytes(path.read_bytes()[:-3])
    store = DiskLogStore(path)
    assert store.repaired_bytes > 0
    assert store.last.index == 3
    assert path.stat().st_size == store.file_bytes
    store.append(entries(4, 5))
    store.close()
    assert reopen(path).last.index == 5


def test_flipped_bit_before_the_last_append_is_an_error(tmp_path):
    path = tmp_path / "log"
    store = DiskLogStore(path)
    for index in range(1, 4):
        store.append(entries(index, index))
    store.close()
    content = bytearray(path.read_bytes())
    content[60] ^= 4
    path.write_bytes(content)
    with pytest.raises(CorruptLogError, match="entry 1 is damaged"):
        DiskLogStore(path)


@pytest.mark.parametrize(
    ("fault", "value", "reason"),
    [("sync_fails", True, "Input/output"), ("free_bytes", 10, "No space left")],
)
def test_store_refuses_operations_after_a_failed_write(tmp_path, fault, value, reason):
    """A retry after a failed sync may report success without storing the data."""
    files = FaultyFileSystem()
    store = DiskLogStore(tmp_path / "log", files)
    store.append(entries(1, 1))
    working_value = getattr(files, fault)
    setattr(files, fault, value)
    with pytest.raises(StoreFailedError, match=reason):
        store.append(entries(2, 2))
    setattr(files, fault, working_value)
    with pytest.raises(StoreFailedError, match="earlier operation failed"):
        store.append(entries(2, 2))
    store.close()
    again = DiskLogStore(tmp_path / "log")
    assert again.entries(1)[:1] == entries(1, 1)
    again.close()


def test_failed_compaction_keeps_the_old_file(tmp_path):
    files = FaultyFileSystem()
    store = DiskLogStore(tmp_path / "log", files)
    store.append(entries(1, 5))
    files.free_bytes = 10
    with pytest.raises(StoreFailedError) as error_info:
        store.compact(Position(3, 1))
    assert error_info.value.__cause__.errno == errno.ENOSPC
    store.close()
    assert reopen(tmp_path / "log").entries(1) == entries(1, 5)


@pytest.mark.parametrize("fault", ["process ends", "sync fails"])
def test_entries_found_on_open_survive_a_loss_of_power(tmp_path, fault):
    """Guards against acknowledged entries that only the page cache holds."""
    files = FaultyFileSystem()
    store = DiskLogStore(tmp_path / "log", files)
    store.append(entries(1, 1))
    if fault == "process ends":
        files.refused_operations = frozenset({"sync"})
    files.sync_fails = fault == "sync fails"
    with pytest.raises(StoreFailedError):
        store.append(entries(2, 2))
    store.close()
    files.refused_operations, files.sync_fails = frozenset(), False
    store = DiskLogStore(tmp_path / "log", files)
    found = store.last
    store.close()
    files.lose_power()
    files.restore_power(0)
    assert reopen(tmp_path / "log").last == found
