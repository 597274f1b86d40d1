import json
import os

import pytest

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.events import EventKind
from bulrushbend.core.pipelog import PipeEventLog


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    data = b""
    try:
        while piece := os.read(reader, 1 << 20):
            data += piece
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_line_contains_process_and_fields(pipe):
    log = PipeEventLog(pipe[1], "g1", 7, ManualClock(5))
    log.write(EventKind.REQUEST_ANSWERED, request_id="r1", status=200)
    (line,) = read_lines(pipe[0])
    assert (line["process"], line["incarnation"], line["wall_ms"]) == ("g1", 7, 5)
    assert (line["kind"], line["request_id"]) == ("request-answered", "r1")


def test_rate_is_limited_and_dropped_lines_are_reported(pipe):
    # Guards against logging that uses the CPU time needed for requests.
    clock = ManualClock()
    log = PipeEventLog(pipe[1], "g1", 7, clock)
    written = 0
    for _ in range(1500):
        log.write(EventKind.REQUEST_ANSWERED)
        written += len(read_lines(pipe[0]))
    assert written == 1000
    log.write(EventKind.MANIFEST_IN_FORCE, version=3)
    kinds = [(line["kind"], line.get("count")) for line in read_lines(pipe[0])]
    assert kinds == [("lines-dropped", 500), ("manifest-in-force", None)]


def test_stalled_reader_does_not_block_the_writer(pipe):
    # Guards against a daemon that blocks on a full log pipe.
    clock = ManualClock()
    log = PipeEventLog(pipe[1], "g1", 7, clock)
    for _ in range(3000):
        clock._now_ms += 10
        log.write(EventKind.REQUEST_ANSWERED, reason="x" * 500)
    assert log.dropped > 0
