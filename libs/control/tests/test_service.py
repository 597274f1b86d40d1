import asyncio
import gc

from bulrushbend.control.membership import Membership
from bulrushbend.control.service import FleetService
from bulrushbend.control.watcher import ReadIndexBatcher
from bulrushbend.core.clock import ManualClock
from bulrushbend.core.errors import NoQuorumError
from bulrushbend.store.base import SoloReplica

from .control_builders import publish_request


async def test_superseded_time_counts_from_the_first_newer_version():
    # Guards against a member that gets no manifest during a series of changes because
    # its preferred replica hangs and the others restart their grace time with each
    # change. On a benchmark such a member was behind for 3 s.
    clock = ManualClock()
    service = FleetService(SoloReplica(), Membership(clock, 5000), clock)
    for version in range(1, 6):
        await service.publish(publish_request(version))
        await clock.advance(400)
    assert service.superseded_for_ms(1) == 1600
    assert service.superseded_for_ms(4) == 400
    assert service.superseded_for_ms(5) == 0


async def test_version_restored_at_the_start_has_an_age():
    # Guards against a restarted replica that sends its manifest to no member that
    # prefers another replica.
    clock, replica = ManualClock(), SoloReplica()
    await FleetService(replica, Membership(clock, 5000), clock).publish(
        publish_request(3)
    )
    service = FleetService(replica, Membership(clock, 5000), clock)
    await clock.advance(900)
    assert service.superseded_for_ms(2) == 900
    assert service.superseded_for_ms(3) == 0


class _ReplicaWithoutLeader(SoloReplica):
    async def read_index(self, timeout_ms):
        raise NoQuorumError("no leader is known", step="read index")


async def test_failed_read_without_a_waiting_stream_writes_no_traceback():
    """Guards against logs full of tracebacks when the store of a replica fails."""
    unhandled = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: unhandled.append(context))
    batcher = ReadIndexBatcher(_ReplicaWithoutLeader())
    waiting = asyncio.create_task(batcher.wait())
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.sleep(0.2)
    gc.collect()
    assert unhandled == []
