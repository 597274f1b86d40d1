import asyncio
import contextlib

from control_builders import (
    control_settings,
    key_request,
    publish_request,
    router_member,
    router_settings,
)

from bulrushbend.control.daemon import ControlDaemon
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.process.inforce import ManifestInForce
from bulrushbend.process.watch import FleetWatch
from bulrushbend.wire.fleet_pb2 import (
    KeyReply,
    PublishReply,
    StatusDetail,
    StatusRequest,
)


@contextlib.asynccontextmanager
async def running_watch(control, name="r1"):
    events = MemoryEventLog()
    in_force = ManifestInForce(events)
    settings = router_settings(control, name)
    member = router_member(name)
    watch = FleetWatch(settings, member, in_force, Clock(), events, StatusDetail)
    task = asyncio.create_task(watch.run())
    try:
        yield watch, in_force
    finally:
        task.cancel()
        await asyncio.wait({task})


async def wait_until(condition, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


async def test_watch_learns_members_and_each_manifest(tmp_path):
    (settings,) = control_settings(tmp_path)
    daemon = ControlDaemon(settings, bootstrap=True)
    await daemon.start()
    async with (
        running_watch(settings.control, "r1") as (first, first_in_force),
        running_watch(settings.control, "r2") as (second, second_in_force),
    ):
        await wait_until(lambda: set(first.members) == {"r1", "r2"})
        for version in (1, 2):
            reply = await first.call("Publish", publish_request(version), 3000)
            assert reply.result == PublishReply.ACCEPTED
            await wait_until(lambda: first_in_force.version == version)  # noqa: B023
            await wait_until(lambda: second_in_force.version == version)  # noqa: B023
        reply = await second.call("RecordKey", key_request(), 3000)
        assert reply.result == KeyReply.RECORDED
        status = await first.call("Status", StatusRequest(), 3000)
        assert [m.member.name for m in status.members] == ["r1", "r2"]
        assert status.manifest_version == 2
    await daemon.stop()
