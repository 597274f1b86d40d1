"""Term, vote and disk id of a replica, durable before any reply depends on them."""

import abc
import json
import zlib
from dataclasses import asdict, dataclass
from pathlib import Path

from bulrushbend.core.errors import CorruptLogError
from bulrushbend.store.files import FileSystem, LocalFileSystem, read_file, replace_file

# Disk id of the data folders of the initial voters, as it is stored.
BOOTSTRAP_DISK_ID = "founding"


@dataclass(frozen=True)
class Vote:
    """Persistent state of a replica for elections.

    Attributes
    ----------
    term : int
        Latest term that the replica has seen.
    candidate : str
        Replica that this one voted for in `term`, empty if none.
    disk_id : str
        Identity of the data folder: `BOOTSTRAP_DISK_ID`, a random id, or empty
        until it is assigned.
    is_initial : bool
        Whether the data folder without a disk id is that of an initial voter at the
        first start of its fleet.
    """

    term: int = 0
    candidate: str = ""
    disk_id: str = ""
    is_initial: bool = False


class BaseVoteStore(abc.ABC):
    """Stores the `Vote` of a replica."""

    def __init__(self) -> None:
        self._vote = Vote()

    @property
    def vote(self) -> Vote:
        """Vote that was saved last."""
        return self._vote

    def save(self, vote: Vote) -> None:
        """Replace the vote; the new one is durable when this returns.

        Raises
        ------
        StoreFailedError
            The vote could not be made durable; the replica must not answer.
        """
        if vote != self._vote:
            self._write(vote)
            self._vote = vote

    @abc.abstractmethod
    def _write(self, vote: Vote) -> None:
        """Make `vote` durable."""


class MemoryVoteStore(BaseVoteStore):
    """Vote in memory, for tests."""

    def _write(self, vote: Vote) -> None:
        pass


class DiskVoteStore(BaseVoteStore):
    """Vote in one small file that is replaced as a whole.

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
            self._vote = decode_vote(data, str(path))

    def _write(self, vote: Vote) -> None:
        replace_file(self._files, self._path, encode_vote(vote))


def encode_vote(vote: Vote) -> bytes:
    """Return the content of the vote file: a JSON line and its CRC-32."""
    fields = asdict(vote)
    if not vote.is_initial:
        # Earlier versions do not know the field.
        del fields["is_initial"]
    line = json.dumps(fields, separators=(",", ":")).encode()
    return line + b"\n%08x\n" % zlib.crc32(line)


def decode_vote(data: bytes, source: str = "vote") -> Vote:
    """Decode the content of the vote file.

    Raises
    ------
    CorruptLogError
        The content is damaged.
    """
    line, _, checksum = data.partition(b"\n")
    try:
        if int(checksum, 16) == zlib.crc32(line):
            return Vote(**json.loads(line))
    except (ValueError, TypeError):
        pass
    raise CorruptLogError(
        "the vote file is damaged: no JSON line with a matching CRC-32",
        step="open vote",
        peer=source,
    )
