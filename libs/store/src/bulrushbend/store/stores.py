"""The three stores of a replica: opens them and checks that they are consistent."""

import contextlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from bulrushbend.core.errors import CorruptLogError
from bulrushbend.store.disklog import DiskLogStore
from bulrushbend.store.files import (
    DataFolder,
    FileSystem,
    LocalFileSystem,
    store_error,
    temporary_path,
)
from bulrushbend.store.log import BaseLogStore, MemoryLogStore
from bulrushbend.store.records import Position
from bulrushbend.store.snapshots import (
    BaseSnapshotStore,
    DiskSnapshotStore,
    MemorySnapshotStore,
)
from bulrushbend.store.vote import BaseVoteStore, DiskVoteStore, MemoryVoteStore


@dataclass(frozen=True)
class Stores:
    """Log, vote and snapshot of one replica."""

    log: BaseLogStore
    votes: BaseVoteStore
    snapshots: BaseSnapshotStore
    repaired_bytes: int = 0

    @property
    def snapshot_position(self) -> Position:
        """Position of the last entry in the snapshot."""
        latest = self.snapshots.latest
        return latest.last if latest is not None else Position()


def memory_stores() -> Stores:
    """Return empty stores in memory, for tests."""
    return Stores(MemoryLogStore(), MemoryVoteStore(), MemorySnapshotStore())


def open_stores(
    folder: Path, stack: contextlib.ExitStack, files: FileSystem | None = None
) -> Stores:
    """Open or create the stores in a data folder; `stack` closes them.

    Parameters
    ----------
    folder : Path
        Data folder of the replica.
    stack : contextlib.ExitStack
        Owns the lock of the folder and the log file.
    files : FileSystem, optional
        File system.

    Raises
    ------
    CorruptLogError
        A file is damaged, or the files are inconsistent with each other.
    StoreFailedError
        A file cannot be created, read or repaired, or the folder is in use.
    """
    stack.callback(DataFolder(folder).close)
    files = files or LocalFileSystem()
    vote_path, snapshot_path, log_path = (
        folder / name for name in ("vote", "snapshot", "log")
    )
    _remove_incomplete_files(files, (vote_path, snapshot_path, log_path))
    votes = DiskVoteStore(vote_path, files)
    snapshots = DiskSnapshotStore(snapshot_path, files)
    if votes.vote.disk_id and not log_path.exists():
        raise CorruptLogError(
            "the log file is missing although the vote file exists",
            step="open stores",
            peer=str(log_path),
        )
    log = DiskLogStore(log_path, files)
    stack.callback(log.close)
    stores = Stores(log, votes, snapshots, log.repaired_bytes)
    _check_consistency(stores, folder)
    return stores


def _remove_incomplete_files(files: FileSystem, paths: Iterable[Path]) -> None:
    """Remove the new content that a process did not complete before it ended."""
    for path in paths:
        try:
            files.remove(temporary_path(path))
        except OSError as error:
            raise store_error(error, path) from error


def _check_consistency(stores: Stores, folder: Path) -> None:
    log, last = stores.log, stores.snapshot_position
    if not stores.votes.vote.disk_id and log.last.index > 0:
        raise CorruptLogError(
            "the vote file is missing although the log has entries",
            step="open stores",
            peer=str(folder),
        )
    if log.base.index > last.index:
        raise CorruptLogError(
            f"the log starts after entry {log.base.index} but the snapshot ends "
            f"at entry {last.index}",
            step="open stores",
            peer=str(folder),
        )
    if log.term_at(last.index) != last.term:
        # The process ended between saving a leader's snapshot and compacting the log.
        log.compact(last)
