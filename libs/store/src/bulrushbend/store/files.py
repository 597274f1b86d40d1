"""File system operations of the store; tests replace them to inject failures."""

import contextlib
import fcntl
import os
from pathlib import Path
from typing import BinaryIO, Protocol

from bulrushbend.core.errors import StoreFailedError


class FileSystem(Protocol):
    """The file system operations that durable storage needs. All may raise OSError."""

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, None if there is none."""
        ...

    def open(self, path: Path) -> BinaryIO:
        """Open an existing file for reading and writing, unbuffered."""
        ...

    def create(self, path: Path) -> BinaryIO:
        """Create or empty a file and open it for writing, unbuffered."""
        ...

    def write(self, file: BinaryIO, data: bytes) -> None:
        """Write all of `data` at the position of the file."""
        ...

    def truncate(self, file: BinaryIO, length: int) -> None:
        """Truncate the file to `length` bytes."""
        ...

    def sync(self, file: BinaryIO) -> None:
        """Make the content of the file durable."""
        ...

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing `target`."""
        ...

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        ...

    def sync_folder(self, path: Path) -> None:
        """Make the names in the folder durable."""
        ...


class LocalFileSystem:
    """Local file system."""

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, None if there is none."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def open(self, path: Path) -> BinaryIO:
        """Open an existing file for reading and writing, unbuffered."""
        return path.open("r+b", buffering=0)

    def create(self, path: Path) -> BinaryIO:
        """Create or empty a file and open it for writing, unbuffered."""
        return path.open("wb", buffering=0)

    def write(self, file: BinaryIO, data: bytes) -> None:
        """Write all of `data` at the position of the file."""
        view = memoryview(data)
        while view:
            view = view[file.write(view) :]

    def truncate(self, file: BinaryIO, length: int) -> None:
        """Truncate the file to `length` bytes and move its position there."""
        file.truncate(length)
        file.seek(length)

    def sync(self, file: BinaryIO) -> None:
        """Make the content of the file durable."""
        os.fsync(file.fileno())

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing `target`."""
        os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        path.unlink(missing_ok=True)

    def sync_folder(self, path: Path) -> None:
        """Make the names in the folder durable."""
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def replace_file(files: FileSystem, path: Path, data: bytes) -> None:
    """Replace the content of `path` atomically: a crash leaves the old or the new one.

    Parameters
    ----------
    files : FileSystem
        File system.
    path : Path
        File to replace; ``path`` with the suffix ``.tmp`` is overwritten.
    data : bytes
        New content.

    Raises
    ------
    StoreFailedError
        An operation failed; the file may hold the old or the new content.
    """
    temporary = temporary_path(path)
    try:
        with contextlib.closing(files.create(temporary)) as file:
            files.write(file, data)
            files.sync(file)
        files.rename(temporary, path)
        files.sync_folder(path.parent)
    except OSError as error:
        # An incomplete file would keep a full disk full.
        with contextlib.suppress(OSError):
            files.remove(temporary)
        raise store_error(error, path) from error


def temporary_path(path: Path) -> Path:
    """Return the file that holds the new content of `path` until it is complete."""
    return path.with_name(path.name + ".tmp")


def read_file(files: FileSystem, path: Path) -> bytes | None:
    """Return the content of `path`, None if there is no such file.

    Raises
    ------
    StoreFailedError
        The file cannot be read.
    """
    try:
        return files.read(path)
    except OSError as error:
        raise store_error(error, path) from error


def store_error(error: OSError, path: Path) -> StoreFailedError:
    """Return the `StoreFailedError` for a failed operation on `path`."""
    reason = error.strerror or str(error)
    return StoreFailedError(reason, step="store", peer=str(path))


class DataFolder:
    """The data folder of one process, created when missing and locked while open.

    Parameters
    ----------
    path : Path
        The folder.

    Raises
    ------
    StoreFailedError
        The folder cannot be created, or another process has locked it.
    """

    def __init__(self, path: Path):
        self._path = path
        try:
            path.mkdir(parents=True, exist_ok=True)
            self._lock = (path / "lock").open("wb")
        except OSError as error:
            raise store_error(error, path) from error
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._lock.close()
            raise StoreFailedError(
                "another process uses this data folder", step="store", peer=str(path)
            ) from None

    @property
    def path(self) -> Path:
        """The folder."""
        return self._path

    def close(self) -> None:
        """Release the lock."""
        self._lock.close()
