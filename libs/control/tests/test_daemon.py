"""Control replicas with real gRPC on loopback, and the client that watches them."""

import asyncio
import contextlib

import pytest
from control_builders import (
    control_settings,
    key_request,
    publish_request,
    router_member,
    router_settings,
)

from bulrushbend.control.daemon import ControlDaemon
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import CorruptLogError, NoQuorumError, SettingsError
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.process.inforce import ManifestInForce
from bulrushbend.process.watch import FleetWatch
from bulrushbend.wire.fleet_pb2 import (
    KeyReply,
    PublishReply,
    StatusDetail,
    StatusRequest,
)

FAST = {"election_timeout_ms": 200, "append_interval_ms": 40, "member_timeout_ms": 600}
NAMES = ("c1", "c2", "c3")


class Fleet:
    """Control replicas of one fleet by name."""

    def __init__(self, folder, names=NAMES, **changes):
        settings = control_settings(folder, names, **(FAST | changes))
        self.settings = {item.name: item for item in settings}
        self.control = settings[0].control
        self.daemons = {}
        self.events = {name: MemoryEventLog() for name in names}

    async def start(self, name):
        daemon = ControlDaemon(
            self.settings[name], bootstrap=True, events=self.events[name]
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
        """Run a `FleetWatch` as the router `name`."""
        events = MemoryEventLog()
        in_force = ManifestInForce(events)
        settings = router_settings(control or self.control, name, heartbeat_ms)
        member = router_member(name, incarnation)
        watch = FleetWatch(settings, member, in_force, Clock(), events, StatusDetail)
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


async def test_every_replica_tells_members_and_each_manifest(tmp_path):
    """A member must learn the others and every new manifest from any replica."""
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
    """At scale a report comes every 500 ms, and 2 s are allowed for everything."""
    async with (
        Fleet(tmp_path, member_timeout_ms=9000) as fleet,
        fleet.watch("r1", heartbeat_ms=3000) as (watch, in_force),
    ):
        await wait_until(lambda: watch.connected == len(NAMES))
        await watch.call("Publish", publish_request(1), 3000)
        await wait_until(lambda: in_force.version == 1, 4.0)
        for version in (2, 3):
            await watch.call("Publish", publish_request(version), 3000)
            await wait_until(lambda v=version: in_force.version == v, 0.5)


async def test_manifest_reaches_members_of_a_replica_that_is_down(tmp_path):
    """The replica that should hand the manifest on first may be lost."""
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


async def test_stale_replica_gives_an_empty_process_no_manifest(tmp_path):
    """A restarted process must not fall back to a version older than its last one."""
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


async def test_key_of_a_lost_router_is_unknown_and_of_a_live_one_running(tmp_path):
    """The caller must learn whether waiting for the first request makes sense."""
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


async def test_restarted_router_is_not_taken_for_the_owner(tmp_path):
    """The new incarnation does not know what became of the first request."""
    async with Fleet(tmp_path) as fleet:
        async with fleet.watch("r1", incarnation=1) as (watch, _):
            await watch.call("RecordKey", key_request(), 3000)
        async with fleet.watch("r1", incarnation=2) as (watch, _):
            again = key_request(request_id="req-2", incarnation=2)
            reply = await watch.call("RecordKey", again, 3000)
            assert reply.result == KeyReply.OUTCOME_UNKNOWN


async def test_calls_survive_the_loss_of_the_leader(tmp_path):
    """A router must reach a majority through any replica that is left."""
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


async def test_leader_writes_one_event_for_each_command(tmp_path):
    """The merged time line must show each publish once."""
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


async def test_invalid_manifest_is_refused_before_it_is_proposed(tmp_path):
    """A broken document must not get into the log."""
    async with Fleet(tmp_path, ["c1"]) as fleet, fleet.watch("r1") as (watch, _):
        request = publish_request(1)
        request.manifest.digest = "0" * 64
        reply = await watch.call("Publish", request, 3000)
        assert reply.result == PublishReply.INVALID
        assert fleet.daemons["c1"].replica.state.manifest_version == 0


async def test_damaged_folder_and_bad_address_are_one_clear_error(tmp_path):
    (settings,) = control_settings(tmp_path)
    bad = settings.model_copy(update={"link_address": "192.0.2.1:1"})
    with pytest.raises(SettingsError, match="listen"):
        await ControlDaemon(bad, bootstrap=True).start()
    (tmp_path / "c1" / "vote").write_bytes(b"damaged")
    with pytest.raises(CorruptLogError, match="vote file is damaged"):
        await ControlDaemon(settings).start()
