import asyncio

import pytest

from bulrushbend.agent.errors import (
    AnswerNotBufferedError,
    AnswerTruncatedError,
    OffsetBeyondEndError,
    ReaderDetachedError,
    ReaderStalledError,
)
from bulrushbend.agent.replay import ReplayBuffer
from bulrushbend.core.clock import Clock


def build_buffer(limit=8, stall_ms=50):
    return ReplayBuffer(limit, stall_ms, Clock())


async def read_all(reader):
    return b"".join([piece async for piece in reader.iter_chunks()])


async def test_reader_gets_every_byte_once_while_the_window_moves():
    # No byte may be lost or repeated when the window removes bytes that were read.
    buffer = build_buffer()
    reading = asyncio.create_task(read_all(buffer.open_reader(0)))
    for i in range(50):
        await buffer.append(b"%03d" % i)
        assert buffer.buffered_bytes <= 8
    buffer.finish(complete=True)
    assert await reading == b"".join(b"%03d" % i for i in range(50))
    assert buffer.delivered


async def test_data_larger_than_the_window_is_passed_on():
    # The writer must not wait forever for more room than the window has.
    buffer = build_buffer()
    reading = asyncio.create_task(read_all(buffer.open_reader(0)))
    await buffer.append(b"0123456789" * 10)
    buffer.finish(complete=True)
    assert await reading == b"0123456789" * 10


async def test_full_window_stops_the_writer_for_a_bounded_time():
    # Neither may the memory grow without bound nor the slot stay occupied forever.
    buffer = build_buffer()
    await buffer.append(b"12345678")
    with pytest.raises(ReaderStalledError):
        await buffer.append(b"9")
    assert buffer.buffered_bytes == 8


async def test_offsets_outside_the_window_are_refused():
    buffer = build_buffer(limit=16)
    reading = asyncio.create_task(read_all(buffer.open_reader(0)))
    await buffer.append(b"0123456789abcdef")
    await asyncio.sleep(0.01)
    await buffer.append(b"ghij")
    with pytest.raises(AnswerNotBufferedError):
        buffer.open_reader(3)
    with pytest.raises(OffsetBeyondEndError):
        buffer.open_reader(21)
    newer = buffer.open_reader(4)
    with pytest.raises(ReaderDetachedError):
        await reading
    buffer.finish(complete=True)
    assert await read_all(newer) == b"456789abcdefghij"


async def test_truncated_answer_does_not_end_as_complete():
    buffer = build_buffer()
    await buffer.append(b"123")
    buffer.finish(complete=False)
    received = b""
    with pytest.raises(AnswerTruncatedError):
        async for piece in buffer.open_reader(0).iter_chunks():
            received += piece
    assert received == b"123"


async def test_discarded_answer_is_truncated_for_its_reader_and_frees_its_memory():
    buffer = build_buffer()
    reading = asyncio.create_task(read_all(buffer.open_reader(0)))
    await buffer.append(b"123")
    buffer.discard()
    await buffer.append(b"0123456789" * 10)
    buffer.finish(complete=True)
    assert buffer.buffered_bytes == 0
    with pytest.raises(AnswerTruncatedError):
        await reading


async def test_released_answer_frees_its_memory_and_detaches_its_reader():
    # A connection must not stay open for an answer that is no longer buffered.
    buffer = build_buffer()
    reader = buffer.open_reader(0)
    closed = asyncio.Event()
    reader.set_detach_callback(closed.set)
    await buffer.append(b"123")
    buffer.finish(complete=True)
    buffer.release()
    assert closed.is_set()
    assert buffer.buffered_bytes == 0
    with pytest.raises(AnswerNotBufferedError):
        buffer.open_reader(0)
