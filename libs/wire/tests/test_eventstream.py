import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushbend.core.errors import PeerProtocolError
from bulrushbend.wire.buffer_budget import BufferBudget
from bulrushbend.wire.eventstream import EventFramer

EVENTS = [b"id: %d\ndata: token %d\n\n" % (i, i) for i in range(6)]


@given(cut=st.integers(0, 6 * 22 + 6), size=st.integers(1, 9), tail=st.booleans())
def test_resumed_stream_has_no_gap_and_no_repeat(cut, size, tail):
    # Guards against lost or repeated events when a stream breaks at an arbitrary byte.
    events = EVENTS[:5] + ([b"data: [DONE]\n\n"] if tail else []) + EVENTS[5:]
    stream = b"".join(events)
    framer = EventFramer()
    passed = b"".join(
        framer.feed(stream[i : min(i + size, cut)]) for i in range(0, cut, size)
    )
    framer.restart()
    last_id = framer.last_id
    after = int(last_id) + 1 if last_id else 0
    index = events.index(EVENTS[after]) if after < 6 else len(events)
    if tail and after == 5:
        index = 5
    passed += framer.feed(b"".join(events[index:])) + framer.finish()
    assert passed == stream


def test_unterminated_event_is_rejected():
    # Guards against unbounded memory use when an endpoint never ends an event.
    framer = EventFramer()
    with pytest.raises(PeerProtocolError):
        for _ in range(40):
            framer.feed(b"data: " + b"x" * 65536)


def test_event_may_end_with_any_line_ending():
    for stream in (b"id: 1\r\ndata: a\r\n\r\n", b"id: 1\rdata: a\r\r"):
        framer = EventFramer()
        assert framer.feed(stream) == stream
        assert framer.last_id == "1"


def resumed_framer(*events):
    framer = EventFramer()
    framer.feed(b"".join(events) + b"id: ")
    framer.restart()
    return framer


@pytest.mark.parametrize(
    ("last_id", "next_id"),
    [(b"9", b"9"), (b"10", b"9"), (b"10", b"010"), (b"9", b"1"), (b"a", b"a")],
)
def test_resumed_stream_that_repeats_an_event_is_rejected(last_id, next_id):
    # Guards against an endpoint that ignores the last event id and starts again.
    framer = resumed_framer(b"id: %s\ndata: x\n\n" % last_id)
    with pytest.raises(PeerProtocolError):
        framer.feed(b"id: %s\ndata: y\n\n" % next_id)


@pytest.mark.parametrize(
    ("last_id", "next_id"), [(b"9", b"10"), (b"9", b"30"), (b"a", b"b"), (b"b", b"a")]
)
def test_resumed_stream_that_continues_is_accepted(last_id, next_id):
    framer = resumed_framer(b"id: %s\ndata: x\n\n" % last_id)
    stream = b": comment\n\n\nversions: 2\nid: %s\ndata: y\n\n" % next_id
    assert framer.feed(stream) + framer.finish() == stream


def test_rejected_events_do_not_change_where_the_stream_is_resumed():
    # Guards against a gap: events in front of the rejected one were not passed on.
    framer = resumed_framer(EVENTS[0], EVENTS[1])
    with pytest.raises(PeerProtocolError):
        framer.feed(b"data: extra\n\n" + EVENTS[0])
    framer.restart()
    rest = b"data: untitled\n\n" + EVENTS[2]
    assert framer.feed(rest) == rest


@pytest.mark.parametrize("size", [50, 200, 1_000, 16_384])
def test_event_without_end_costs_no_more_in_small_pieces(size):
    # Guards against a stream that takes the processor time of all others.
    framer = EventFramer()
    piece = b"x" * size
    began_s = time.process_time()
    with pytest.raises(PeerProtocolError):
        while True:
            framer.feed(piece)
    assert time.process_time() - began_s < 1.0


@pytest.mark.parametrize("size", range(1, 9))
@pytest.mark.parametrize("end", [b"\r\n\r\n", b"\n\n", b"\r\r"])
def test_end_of_an_event_may_be_split(size, end):
    # Guards against events that are held back as only new bytes are searched.
    events = [b"id: %d\ndata: token %d" % (n, n) + end for n in range(4)]
    stream = b"".join(events)
    framer = EventFramer()
    passed = [framer.feed(stream[i : i + size]) for i in range(0, len(stream), size)]
    assert b"".join(passed) == stream
    assert framer.last_id == "3"


def test_incomplete_events_of_all_streams_are_bounded():
    # Guards against many streams that together exhaust the memory.
    budget = BufferBudget(100_000)
    framers = [EventFramer(budget) for _ in range(3)]
    framers[0].feed(b"x" * 60_000)
    framers[1].feed(b"data: t\n\n")
    with pytest.raises(PeerProtocolError):
        framers[1].feed(b"x" * 60_000)
    assert framers[2].feed(b"id: 1\n\n") == b"id: 1\n\n"
    framers[1].close()
    framers[0].feed(b"\n\n")
    assert budget.used == 0
    framers[2].feed(b"x" * 90_000)
    framers[2].restart()
    assert budget.used == 0


def test_stream_that_is_refused_for_its_size_continues_after_the_last_event():
    # Guards against an event that counts as passed on although it was dropped.
    framer = EventFramer()
    framer.feed(b"id: 1\n\n")
    with pytest.raises(PeerProtocolError):
        framer.feed(b"id: 2\n\n" + b"x" * (2 << 20))
    assert framer.last_id == "1"
