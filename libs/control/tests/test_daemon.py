"""Control replicas and their client, connected by gRPC over loopback."""

import asyncio
import contextlib
import itertools

import pytest
from control_builders import (
    Disk,
    control_settings,
    key_request,
    operator_routes,
    publish_request,
    router_member,
    router_settings,
)
from grpclib.client import Channel

from bulrushbend.control.daemon import ControlDaemon
from bulrushbend.control.watcher import preferred_replica
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import CorruptLogError, NoQuorumError, SettingsError
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.core.settings import split_address
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.fleet_client import FleetClient
from bulrushbend.wire.fleet_grpc import FleetStub
from bulrushbend.wire.fleet_pb2 import (
    KeyReply,
    MemberReport,
    PublishReply,
    StatusDetail,
    StatusRequest,
)

FAST = {"election_timeout_ms": 200, "append_interval_ms": 40, "member_timeout_ms": 600}
NAMES = ("c1", "c2", "c3")
# Time from the acceptance of a manifest until it must be in force.
IN_FORCE_S = 2.0


class Fleet:
    """Control replicas of one fleet by name."""

    def __init__(self, folder, names=NAMES, **changes):
        settings = control_settings(folder, names, **(FAST | changes))
        self.settings = {item.name: item for item in settings}
        self.control = settings[0].control
        self.daemons = {}
        self.disks = {name: Disk() for name in names}
        self.events = {name: MemoryEventLog() for name in names}

    async def start(self, name):
        daemon = ControlDaemon(
            self.settings[name],
            bootstrap=True,
            files=self.disks[name],
            events=self.events[name],
        )
        await daemon.start()
        self.daemons[name] = daemon

    async def stop(self, name):
        await self.daemons.pop(name).stop()

    @property
    def leader(self):
        daemons = self.daemons.items()
        return next((name for name, d in daemons if d.replica.is_leader), None)

    async def __aenter__(self):
        for name in self.settings:
            await self.start(name)
        await wait_until(lambda: self.leader)
        return self

    async def __aexit__(self, *_):
        for name in list(self.daemons):
            await self.stop(name)

    @contextlib.asynccontextmanager
    async def watch(self, name, incarnation=1, control=None, heartbeat_ms=50):
        """Run a `FleetClient` as the router `name`."""
        events = MemoryEventLog()
        in_force = ActiveManifest(events)
        settings = router_settings(control or self.control, name, heartbeat_ms)
        member = router_member(name, incarnation)
        watch = FleetClient(settings, member, in_force, Clock(), events, StatusDetail)
        task = asyncio.create_task(watch.run())
        try:
            yield watch, in_force
        finally:
            task.cancel()
            await asyncio.wait({task})


async def wait_until(condition, timeout_s=8.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


async def test_every_replica_distributes_members_and_manifests(tmp_path):
    """Guards against a client or replica that misses a member or a new manifest."""
    async with (
        Fleet(tmp_path) as fleet,
        fleet.watch("r1") as (first, first_in_force),
        fleet.watch("r2") as (second, second_in_force),
    ):
        await wait_until(lambda: set(first.members) == {"r1", "r2"})
        for version in (1, 2):
            reply = await first.call("Publish", publish_request(version), 3000)
            assert reply.result == PublishReply.ACCEPTED
            for in_force in (first_in_force, second_in_force):
                await wait_until(lambda w=in_force, v=version: w.version == v)
        for daemon in fleet.daemons.values():
            await wait_until(lambda d=daemon: d.service.status().manifest_version == 2)
            status = daemon.service.status()
            assert [m.member.name for m in status.members] == ["r1", "r2"]
            assert list(status.voters) == list(NAMES)
        reply = await second.call("Status", StatusRequest(with_manifest=True), 3000)
        assert reply.manifest.version == 2


async def test_manifest_is_pushed_without_waiting_for_a_report(tmp_path):
    """Guards against a push that waits for the next report of the member.

    Members report every 500 ms, and a manifest must be in force everywhere within 2 s.
    """
    async with (
        Fleet(tmp_path, member_timeout_ms=9000) as fleet,
        fleet.watch("r1", heartbeat_ms=3000) as (watch, in_force),
    ):
        await wait_until(lambda: watch.connected_count == len(NAMES))
        await watch.call("Publish", publish_request(1), 3000)
        await wait_until(lambda: in_force.version == 1, 4.0)
        for version in (2, 3):
            await watch.call("Publish", publish_request(version), 3000)
            await wait_until(lambda v=version: in_force.version == v, 0.5)


async def test_manifest_reaches_members_whose_preferred_replica_is_down(tmp_path):
    """Guards against members that only the preferred replica sends manifests to."""
    async with Fleet(tmp_path) as fleet, contextlib.AsyncExitStack() as stack:
        down = next(name for name in NAMES if name != fleet.leader)
        await fleet.stop(down)
        watches = [
            await stack.enter_async_context(fleet.watch(f"r{number}"))
            for number in range(8)
        ]
        for version in (1, 2):
            await watches[0][0].call("Publish", publish_request(version), 3000)
            for _, in_force in watches:
                await wait_until(lambda w=in_force, v=version: w.version == v, 2.0)


async def test_manifest_is_in_force_in_time_while_the_preferred_replica_hangs(tmp_path):
    """Guards against a process that waits for a replica that knows nothing newer."""
    async with Fleet(tmp_path, member_timeout_ms=9000) as fleet:
        hanging = next(name for name in NAMES if name != fleet.leader)
        name = next(
            name
            for name in map("r{}".format, itertools.count())
            if preferred_replica(name, NAMES) == hanging
        )
        async with fleet.watch(name, heartbeat_ms=3000) as (watch, in_force):
            await wait_until(lambda: watch.connected_count == len(NAMES))
            leader = fleet.daemons[fleet.leader].service
            await leader.publish(publish_request(1))
            await wait_until(lambda: in_force.version == 1)
            fleet.disks[hanging].answers.clear()
            try:
                for version in (2, 3, 4):
                    await leader.publish(publish_request(version))
                    await wait_until(
                        lambda v=version: in_force.version == v, IN_FORCE_S
                    )
            finally:
                fleet.disks[hanging].answers.set()


async def test_busy_process_gets_one_manifest_at_a_time(
    tmp_path,
):
    """Guards against manifests that queue up at a process that adopts them slowly."""
    async with (
        Fleet(tmp_path, ("c1",), member_timeout_ms=9000) as fleet,
        Channel(*split_address(fleet.control[0].address)) as channel,
        FleetStub(channel).Watch.open() as stream,
    ):
        received = []

        async def receive():
            async for state in stream:
                if state.HasField("manifest"):
                    received.append(state.manifest.version)

        await stream.send_message(MemberReport(member=router_member()))
        reader = asyncio.create_task(receive())
        service = fleet.daemons["c1"].service
        await service.publish(publish_request(1))
        await wait_until(lambda: received == [1])
        for version in range(2, 11):
            await service.publish(publish_request(version))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        assert received == [1]
        await stream.send_message(MemberReport(manifest_version=1))
        await wait_until(lambda: received == [1, 10])
        await stream.end()
        await reader


async def test_restarted_process_adopts_no_manifest_from_a_stale_replica(tmp_path):
    """Guards against a process that reverts to a version older than its last one."""
    async with Fleet(tmp_path) as fleet:
        stale = next(name for name in NAMES if name != fleet.leader)
        async with fleet.watch("r1") as (watch, _):
            await watch.call("Publish", publish_request(1), 3000)
        replica = fleet.daemons[stale].replica
        await wait_until(lambda: replica.state.manifest_version == 1)
        for name in NAMES:
            if name != stale:
                await fleet.stop(name)
        only_stale = [peer for peer in fleet.control if peer.name == stale]
        async with fleet.watch("r2", control=only_stale) as (watch, in_force):
            await wait_until(lambda: "r2" in watch.members)
            await asyncio.sleep(1.5)
            assert in_force.version == 0
            await fleet.start(next(name for name in NAMES if name != stale))
            await wait_until(lambda: in_force.version == 1)


async def test_outcome_is_unknown_only_after_the_owner_of_the_key_is_lost(tmp_path):
    """Guards against a caller that waits for the answer of a lost router."""
    async with Fleet(tmp_path) as fleet, fleet.watch("r2") as (watch, _):
        async with fleet.watch("r1") as (first, _):
            reply = await first.call("RecordKey", key_request(), 3000)
            assert reply.result == KeyReply.RECORDED
            await wait_until(lambda: "r1" in watch.members)
            await asyncio.sleep(FAST["member_timeout_ms"] / 1000)
            other = key_request(request_id="req-2", owner="r2")
            reply = await watch.call("RecordKey", other, 3000)
            assert (reply.result, reply.request_id) == (KeyReply.RUNNING, "req-1")
        await wait_until(lambda: "r1" not in watch.members)
        reply = await watch.call("RecordKey", other, 3000)
        assert reply.result == KeyReply.OUTCOME_UNKNOWN


async def test_restarted_router_does_not_own_keys_of_its_previous_incarnation(tmp_path):
    """Guards against RUNNING for a request whose outcome no process knows."""
    async with Fleet(tmp_path) as fleet:
        async with fleet.watch("r1", incarnation=1) as (watch, _):
            await watch.call("RecordKey", key_request(), 3000)
        async with fleet.watch("r1", incarnation=2) as (watch, _):
            again = key_request(request_id="req-2", incarnation=2)
            reply = await watch.call("RecordKey", again, 3000)
            assert reply.result == KeyReply.OUTCOME_UNKNOWN


async def test_calls_succeed_after_loss_of_the_leader(tmp_path):
    """A client must reach the majority through any of the remaining replicas."""
    async with Fleet(tmp_path) as fleet, fleet.watch("r1") as (watch, in_force):
        await watch.call("Publish", publish_request(1), 3000)
        await fleet.stop(fleet.leader)
        reply = await watch.call("Publish", publish_request(2), 5000)
        assert reply.result == PublishReply.ACCEPTED
        await wait_until(lambda: in_force.version == 2)
        await fleet.stop(fleet.leader)
        with pytest.raises(NoQuorumError):
            await watch.call("Publish", publish_request(3), 2000)
        assert in_force.version == 2


async def test_stopped_replica_closes_the_connections_of_its_clients(tmp_path):
    """Guards against clients that wait for a replica that was stopped in its process.

    Between regions a client regards a replica as lost after 6 s of silence.
    """
    async with Fleet(tmp_path, ["c1"]) as fleet, fleet.watch("r1") as (watch, _):
        await wait_until(lambda: watch.connected_count == 1)
        await fleet.stop("c1")
        await wait_until(lambda: watch.connected_count == 0, 1.0)


async def test_leader_writes_one_event_for_each_command(tmp_path):
    """Guards against commands that occur repeatedly in the merged event logs."""
    async with Fleet(tmp_path) as fleet, fleet.watch("r1") as (watch, _):
        for version, team in ((2, "crew-a"), (2, "crew-b"), (1, "crew-a")):
            await watch.call("Publish", publish_request(version, team), 3000)
        await watch.call("RecordKey", key_request(), 3000)
        kinds = [r["kind"] for log in fleet.events.values() for r in log.records]
        written = [kind for kind in kinds if kind.startswith(("manifest", "key"))]
        assert written == [
            "manifest-accepted",
            "manifest-conflict",
            "manifest-stale",
            "key-recorded",
        ]


async def test_invalid_manifest_is_rejected_before_it_is_proposed(tmp_path):
    """Guards against an invalid document in the replicated log."""
    async with Fleet(tmp_path, ["c1"]) as fleet, fleet.watch("r1") as (watch, _):
        request = publish_request(1)
        request.manifest.digest = "0" * 64
        reply = await watch.call("Publish", request, 3000)
        assert reply.result == PublishReply.INVALID
        assert fleet.daemons["c1"].replica.state.manifest_version == 0


async def test_start_fails_on_unusable_address_and_damaged_vote_file(tmp_path):
    (settings,) = control_settings(tmp_path)
    bad = settings.model_copy(update={"link_address": "192.0.2.1:1"})
    with pytest.raises(SettingsError, match="listen"):
        await ControlDaemon(bad, bootstrap=True).start()
    (tmp_path / "c1" / "vote").write_bytes(b"damaged")
    with pytest.raises(CorruptLogError, match="vote file is damaged"):
        await ControlDaemon(settings).start()


async def test_planned_stop_answers_calls_on_open_connections(tmp_path):
    """Guards against operators whose connection ends without an answer."""
    (settings,) = control_settings(tmp_path, **FAST)
    daemon = ControlDaemon(settings, bootstrap=True, operator_routes=operator_routes)
    await daemon.start()
    await wait_until(lambda: daemon.is_ready)
    host, port = settings.http_address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))

    async def stop():
        await asyncio.sleep(0.05)
        await daemon.drain()
        await daemon.stop()

    stopping = asyncio.create_task(stop())
    head = b""
    for version in itertools.count(1):
        body = b"%d" % version
        writer.write(b"POST /publish HTTP/1.1\r\nHost: c1\r\nContent-Length: ")
        writer.write(b"%d\r\n\r\n%s" % (len(body), body))
        head = await reader.readuntil(b"\r\n\r\n")
        if b"Connection: close" in head:
            break
        await reader.readexactly(len(body))
    writer.close()
    await stopping
    assert head.startswith(b"HTTP/1.1 200 ")
