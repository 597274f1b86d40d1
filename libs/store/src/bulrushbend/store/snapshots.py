"""Snapshots of the state, which replace the start of the log."""

import abc
import struct
import zlib
from dataclasses import dataclass
from pathlib import Path

from bulrushbend.core.errors import CorruptLogError
from bulrushbend.store.files import FileSystem, LocalFileSystem, read_file, replace_file
from bulrushbend.store.records import Position

_MAGIC = b"BBSNAP01"
# Magic, CRC-32 of the following bytes, index and term of the last applied entry.
_HEADER = struct.Struct("<8sIQQ")
_CHECKSUM_START = 12


@dataclass(frozen=True)
class Snapshot:
    """State after the entry at `last`, as written by `State.snapshot`."""

    last: Position
    data: bytes


class BaseSnapshotStore(abc.ABC):
    """Stores the newest snapshot."""

    def __init__(self) -> None:
        self._latest: Snapshot | None = None

    @property
    def latest(self) -> Snapshot | None:
        """Newest snapshot, None before the first."""
        return self._latest

    def save(self, snapshot: Snapshot) -> None:
        """Replace the snapshot; the new one is durable when this returns.

        Raises
        ------
        StoreFailedError
            The snapshot could not be made durable.
        """
        self._write(snapshot)
        self._latest = snapshot

    @abc.abstractmethod
    def _write(self, snapshot: Snapshot) -> None:
        """Make `snapshot` durable."""


class MemorySnapshotStore(BaseSnapshotStore):
    """Snapshot in memory, for tests."""

    def _write(self, snapshot: Snapshot) -> None:
        pass


class DiskSnapshotStore(BaseSnapshotStore):
    """Snapshot in one file that is replaced as a whole.

    Parameters
    ----------
    path : Path
        The file; it is created by the first `save`.
    files : FileSystem, optional
        File system.

    Raises
    ------
    CorruptLogError
        The file is damaged.
    StoreFailedError
        The file cannot be read.
    """

    def __init__(self, path: Path, files: FileSystem | None = None):
        super().__init__()
        self._path = path
        self._files = files or LocalFileSystem()
        data = read_file(self._files, path)
        if data is not None:
            self._latest = decode_snapshot(data, str(path))

    def _write(self, snapshot: Snapshot) -> None:
        replace_file(self._files, self._path, encode_snapshot(snapshot))


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the content of a snapshot file."""
    last = snapshot.last
    checksummed = struct.pack("<QQ", last.index, last.term) + snapshot.data
    return _MAGIC + struct.pack("<I", zlib.crc32(checksummed)) + checksummed


def decode_snapshot(data: bytes, source: str = "snapshot") -> Snapshot:
    """Decode the content of a snapshot file.

    Raises
    ------
    CorruptLogError
        The content is damaged.
    """
    if len(data) >= _HEADER.size:
        magic, checksum, index, term = _HEADER.unpack_from(data)
        if magic == _MAGIC and checksum == zlib.crc32(data[_CHECKSUM_START:]):
            return Snapshot(Position(index, term), data[_HEADER.size :])
    raise CorruptLogError(
        "the snapshot is damaged: bad header or checksum",
        step="open snapshot",
        peer=source,
    )
