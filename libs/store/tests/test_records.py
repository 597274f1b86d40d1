import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushbend.core.errors import CorruptLogError
from bulrushbend.store.records import (
    Entry,
    Position,
    decode_log,
    encode_file_header,
    encode_record,
)

SALT = 7
HEADER = encode_file_header(SALT, Position())


def log_file(commands, append_lengths=None):
    """Return a log file whose appends hold the given numbers of entries."""
    data, index = HEADER, 1
    for length in append_lengths or [1] * len(commands):
        first = index
        for _ in range(length):
            entry = Entry(index, 1, commands[index - 1])
            data += encode_record(SALT, entry, first)
            index += 1
    return data


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_nothing_but_corrupt_log(data):
    for content in (data, HEADER + data, log_file([b"a", data]) + data):
        with contextlib.suppress(CorruptLogError):
            decode_log(content)


@given(st.lists(st.binary(max_size=20), max_size=5))
def test_written_entries_are_read_again(commands):
    decoded = decode_log(log_file(commands))
    assert [entry.command for entry in decoded.entries] == commands
    assert decoded.torn_bytes == 0


@given(st.lists(st.binary(max_size=20), min_size=2, max_size=5), st.data())
def test_truncated_last_record_keeps_the_others(commands, data):
    whole = log_file(commands)
    shorter = len(log_file(commands[:-1]))
    length = data.draw(st.integers(shorter, len(whole) - 1))
    decoded = decode_log(whole[:length])
    assert [entry.command for entry in decoded.entries] == commands[:-1]
    assert decoded.torn_bytes == length - shorter


@given(st.lists(st.binary(max_size=20), min_size=2, max_size=5), st.data())
def test_flipped_bit_before_the_last_record_is_refused(commands, data):
    content = bytearray(log_file(commands))
    last = len(log_file(commands[:-1]))
    bit = data.draw(st.integers(0, last * 8 - 1))
    content[bit // 8] ^= 1 << bit % 8
    with pytest.raises(CorruptLogError):
        decode_log(bytes(content))


def test_torn_append_of_several_records_is_truncated_at_the_damage():
    """The pages of one write may reach the disk in any order."""
    content = bytearray(log_file([b"a", b"bb", b"cc", b"dd"], [1, 3]))
    content[len(log_file([b"a", b"bb"])) - 1] ^= 1
    decoded = decode_log(bytes(content))
    assert [entry.command for entry in decoded.entries] == [b"a"]


def test_record_with_another_salt_is_ignored():
    """A command may contain the bytes of a record of another log."""
    foreign = encode_record(SALT + 1, Entry(9, 1, b"x"), 9)
    torn = log_file([b"a", foreign * 2])[:-10]
    assert len(decode_log(torn).entries) == 1
