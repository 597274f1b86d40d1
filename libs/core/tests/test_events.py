import io
import json

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.events import EventKind, StreamEventLog


def test_records_have_process_and_increasing_sequence():
    stream = io.StringIO()
    log = StreamEventLog(stream, "router-1", 42, ManualClock(5))
    log.write(EventKind.LINK_UP, peer="agent-1")
    log.write(EventKind.LINK_DOWN, peer="agent-1")
    first, second = map(json.loads, stream.getvalue().splitlines())
    assert first["process"] == "router-1"
    assert first["incarnation"] == 42
    assert (first["sequence"], second["sequence"]) == (1, 2)
    assert second["kind"] == "link-down"
