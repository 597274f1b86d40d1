"""Binary format of the log file.

The file starts with a header that holds the position before the first record, followed
by one record for each entry. All numbers are little-endian.

Each record holds the first index of the append that wrote it. One append is one write
and one sync, so only the records of the last append can be damaged by a crash. Damage
before a later append is damage to data that was synced; such a log is rejected.
"""

import secrets
import struct
import zlib
from dataclasses import dataclass

from bulrushbend.core.errors import CorruptLogError

FILE_MAGIC = b"BBLOG001"
RECORD_MAGIC = b"\xa5rec"

# Magic, salt, base index, base term, CRC-32 of the preceding fields.
_FILE_HEADER = struct.Struct("<8sIQQI")
# Magic, CRC-32 of the following bytes, payload length, term, index, first index of the
# append.
_RECORD_HEADER = struct.Struct("<4sIIQQQ")
_CHECKSUM_START = 8


@dataclass(frozen=True)
class Entry:
    """One entry of the log."""

    index: int
    term: int
    command: bytes


@dataclass(frozen=True)
class Position:
    """Index and term of an entry; ``Position(0, 0)`` precedes the first one."""

    index: int = 0
    term: int = 0


@dataclass(frozen=True)
class DecodedLog:
    """Content of a log file.

    Attributes
    ----------
    salt : int
        Initial value of the checksums, so that bytes copied from another log file are
        not accepted as records.
    base : Position
        Entry before the first record.
    entries : list of Entry
        Entries in order.
    offsets : list of int
        Offset of each record in the file, in bytes.
    length : int
        Length of the valid part in bytes.
    torn_bytes : int
        Length of the damaged end that is to be truncated, in bytes.
    """

    salt: int
    base: Position
    entries: list[Entry]
    offsets: list[int]
    length: int
    torn_bytes: int


def new_salt() -> int:
    """Return a random salt for a new log file."""
    return secrets.randbits(32)


def encode_file_header(salt: int, base: Position) -> bytes:
    """Return the header of a log file that starts after `base`."""
    unchecked = _FILE_HEADER.pack(FILE_MAGIC, salt, base.index, base.term, 0)
    checksum = zlib.crc32(unchecked[:-4])
    return unchecked[:-4] + struct.pack("<I", checksum)


def encode_record(salt: int, entry: Entry, append_index: int) -> bytes:
    """Return the record of `entry`.

    Parameters
    ----------
    salt : int
        Salt of the file.
    entry : Entry
        The entry.
    append_index : int
        Index of the first entry that the same append writes.
    """
    header = _RECORD_HEADER.pack(
        RECORD_MAGIC, 0, len(entry.command), entry.term, entry.index, append_index
    )
    checksum = zlib.crc32(entry.command, zlib.crc32(header[_CHECKSUM_START:], salt))
    start = RECORD_MAGIC + struct.pack("<I", checksum)
    return start + header[_CHECKSUM_START:] + entry.command


def decode_log(data: bytes, source: str = "log") -> DecodedLog:
    """Decode a log file.

    Parameters
    ----------
    data : bytes
        Content of the file.
    source : str, default="log"
        Name of the file, for error messages.

    Raises
    ------
    CorruptLogError
        The header or a record before a later append is damaged.
    """
    salt, base = _decode_file_header(data, source)
    entries: list[Entry] = []
    offsets: list[int] = []
    offset = _FILE_HEADER.size
    previous = base
    while offset < len(data):
        decoded = _decode_record(data, offset, salt)
        if decoded is None:
            break
        entry, _ = decoded
        if entry.index != previous.index + 1 or entry.term < previous.term:
            raise CorruptLogError(
                f"entry {entry.index} of term {entry.term} cannot follow "
                f"entry {previous.index} of term {previous.term}",
                step="open log",
                peer=source,
            )
        offsets.append(offset)
        entries.append(entry)
        previous = Position(entry.index, entry.term)
        offset += record_length(entry)
    _raise_if_later_append_intact(data, offset, salt, previous.index + 1, source)
    return DecodedLog(salt, base, entries, offsets, offset, len(data) - offset)


def record_length(entry: Entry) -> int:
    """Return the length of the record of `entry` in bytes."""
    return _RECORD_HEADER.size + len(entry.command)


def _decode_file_header(data: bytes, source: str) -> tuple[int, Position]:
    if len(data) < _FILE_HEADER.size:
        raise CorruptLogError(
            f"file header is incomplete: got {len(data)} of {_FILE_HEADER.size} bytes",
            step="open log",
            peer=source,
        )
    magic, salt, index, term, checksum = _FILE_HEADER.unpack_from(data)
    if magic != FILE_MAGIC:
        raise CorruptLogError(
            f"not a log file: starts with {magic!r}, expected {FILE_MAGIC!r}",
            step="open log",
            peer=source,
        )
    if checksum != zlib.crc32(data[: _FILE_HEADER.size - 4]):
        raise CorruptLogError(
            "checksum of the file header does not match", step="open log", peer=source
        )
    return salt, Position(index, term)


def _decode_record(data: bytes, offset: int, salt: int) -> tuple[Entry, int] | None:
    """Return the entry at `offset` and the first index of its append, if intact."""
    start = offset + _RECORD_HEADER.size
    if start > len(data):
        return None
    magic, checksum, length, term, index, append_index = _RECORD_HEADER.unpack_from(
        data, offset
    )
    if magic != RECORD_MAGIC or start + length > len(data):
        return None
    checksummed = memoryview(data)[offset + _CHECKSUM_START : start + length]
    if zlib.crc32(checksummed, salt) != checksum:
        return None
    return Entry(index, term, data[start : start + length]), append_index


def _raise_if_later_append_intact(
    data: bytes, offset: int, salt: int, damaged_index: int, source: str
) -> None:
    """Raise if an intact record after `offset` belongs to a later append."""
    while (offset := data.find(RECORD_MAGIC, offset)) >= 0:
        decoded = _decode_record(data, offset, salt)
        if decoded is not None and decoded[1] > damaged_index:
            raise CorruptLogError(
                f"entry {damaged_index} is damaged although entry {decoded[0].index} "
                "after it is intact",
                step="open log",
                peer=source,
            )
        offset += 1
