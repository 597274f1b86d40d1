"""Replicated log in a file."""

from collections.abc import Sequence
from pathlib import Path
from typing import BinaryIO

from bulrushbend.core.errors import StoreFailedError
from bulrushbend.core.logs import get_logger
from bulrushbend.store.files import (
    FileSystem,
    LocalFileSystem,
    read_file,
    replace_file,
    store_error,
)
from bulrushbend.store.log import BaseLogStore
from bulrushbend.store.records import (
    Entry,
    Position,
    decode_log,
    encode_file_header,
    encode_record,
    new_salt,
    record_length,
)

_log = get_logger("store.disklog")


class DiskLogStore(BaseLogStore):
    """Log in one file; see `records` for its format.

    The entries are also held in memory; snapshots limit their number. Opening writes
    the file anew, so it fails while the disk is full.

    Parameters
    ----------
    path : Path
        The file; it is created when missing.
    files : FileSystem, optional
        File system.

    Raises
    ------
    CorruptLogError
        The file is damaged before its last append.
    StoreFailedError
        The file cannot be created, read or repaired.
    """

    def __init__(self, path: Path, files: FileSystem | None = None):
        super().__init__()
        self._path = path
        self._files = files or LocalFileSystem()
        self._file: BinaryIO | None = None
        self._failed = False
        self._repaired_bytes = 0
        self._open()

    @property
    def repaired_bytes(self) -> int:
        """Length of the torn end that was dropped when the file was opened."""
        return self._repaired_bytes

    @property
    def file_bytes(self) -> int:
        """Length of the file in bytes."""
        return self._length

    def close(self) -> None:
        """Close the file.

        An error is logged only: what counts as stored has been synced before.
        """
        file, self._file = self._file, None
        if file is not None:
            try:
                file.close()
            except OSError as error:
                _log.warning("closing %s failed: %s", self._path, error)

    def _open(self) -> None:
        data = read_file(self._files, self._path)
        if data is None:
            self._rewrite(Position(), ())
            return
        decoded = decode_log(data, str(self._path))
        self._repaired_bytes = decoded.torn_bytes
        self._contents = (decoded.base, decoded.entries)
        self._command_bytes = sum(len(e.command) for e in decoded.entries)
        # What was read may be in the page cache only, and after a failed sync another
        # one need not store it, so the entries are written again. The sync of the
        # folder also covers names that the vote and the snapshot were renamed to.
        self._rewrite(decoded.base, decoded.entries)

    def _reopen(self) -> None:
        self.close()
        try:
            self._file = self._files.open(self._path)
            self._file.seek(self._length)
        except OSError as error:
            self._failed = True
            raise store_error(error, self._path) from error

    def _write(self, entries: Sequence[Entry]) -> None:
        append_index = entries[0].index
        records = [encode_record(self._salt, e, append_index) for e in entries]
        self._run_file_operation(self._append_bytes, b"".join(records))
        for record in records:
            self._offsets.append(self._length)
            self._length += len(record)

    def _truncate(self, kept_count: int) -> None:
        length = self._offsets[kept_count]
        self._run_file_operation(self._truncate_file, length)
        del self._offsets[kept_count:]
        self._length = length

    def _rewrite(self, base: Position, entries: Sequence[Entry]) -> None:
        self._raise_if_failed()
        salt = new_salt()
        pieces = [encode_file_header(salt, base)]
        offsets = []
        length = len(pieces[0])
        for entry in entries:
            # Each entry is encoded as an append of its own: the file is synced before
            # it is renamed into place, so that it cannot have a torn end.
            pieces.append(encode_record(salt, entry, entry.index))
            offsets.append(length)
            length += record_length(entry)
        try:
            replace_file(self._files, self._path, b"".join(pieces))
        except StoreFailedError:
            self._failed = True
            raise
        self._salt = salt
        self._offsets = offsets
        self._length = length
        self._reopen()

    def _append_bytes(self, data: bytes) -> None:
        self._files.write(self._file, data)
        self._files.sync(self._file)

    def _truncate_file(self, length: int) -> None:
        self._files.truncate(self._file, length)
        self._files.sync(self._file)

    def _run_file_operation(self, operation, *arguments) -> None:
        """Run a file operation; after a failure the store rejects all others.

        After a failed fsync the kernel may drop the dirty pages and report success
        the next time, so the content of the file is unknown until it is read again.
        """
        self._raise_if_failed()
        try:
            operation(*arguments)
        except OSError as error:
            self._failed = True
            raise store_error(error, self._path) from error

    def _raise_if_failed(self) -> None:
        if self._failed:
            raise StoreFailedError(
                "an earlier operation failed", step="store", peer=str(self._path)
            )
