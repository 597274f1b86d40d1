import errno
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


class _FullDisk(io.StringIO):
    def write(self, text):
        raise OSError(errno.ENOSPC, "No space left on device")


def test_full_disk_does_not_stop_the_process_that_writes_events():
    """Guards against a control replica or router that fails with its event log."""
    log = StreamEventLog(_FullDisk(), "router-1", 42, ManualClock(5))
    for _ in range(3):
        log.write(EventKind.LINK_UP, peer="agent-1")
