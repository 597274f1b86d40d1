"""Control replicas whose disks are full for a while, and their operators."""

import asyncio
import contextlib
import itertools

import pytest
from control_builders import (
    Disk,
    control_settings,
    key_request,
    operator_routes,
    router_member,
    router_settings,
    spare_settings,
)
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPStreamClosedError

from bulrushbend.control.daemon import ControlDaemon, run_replicas
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.fleet_client import FleetClient
from bulrushbend.store import voter_repair
from bulrushbend.wire.fleet_pb2 import KeyReply, StatusDetail

NAMES = ("c1", "c2", "c3")
FAST = {"election_timeout_ms": 200, "append_interval_ms": 40}
# Time in which the platform expects an acknowledgement.
ACKNOWLEDGED_S = 4.0


class SupervisedFleet:
    """Control replicas that are started again after each failure of their store."""

    def __init__(self, folder, spare=False, **changes):
        settings = control_settings(folder, NAMES, **FAST, **changes)
        if spare:
            settings.append(spare_settings(settings[0], "c4", folder))
        self.settings = {item.name: item for item in settings}
        self.disks = {name: Disk() for name in self.settings}
        self.daemons = {}
        self._stopping = asyncio.Event()

    @property
    def replicas(self):
        return {name: daemon.replica for name, daemon in self.daemons.items()}

    @property
    def leader(self):
        return next((n for n, r in self.replicas.items() if r.is_leader), None)

    async def publish(self, name, version):
        """Return the status, None if the connection ended without an answer."""
        url = f"http://{self.settings[name].http_address}/publish"
        client = AsyncHTTPClient(force_instance=True)
        try:
            response = await client.fetch(
                url, method="POST", body=str(version), raise_error=False
            )
        except (HTTPStreamClosedError, OSError):
            return None
        return response.code

    @contextlib.asynccontextmanager
    async def client(self):
        """Run a `FleetClient` of a router."""
        events = MemoryEventLog()
        self.in_force = ActiveManifest(events)
        settings = router_settings(self.settings["c1"].control)
        client = FleetClient(
            settings, router_member(), self.in_force, Clock(), events, StatusDetail
        )
        task = asyncio.create_task(client.run())
        try:
            yield client
        finally:
            task.cancel()
            await asyncio.wait({task})

    async def __aenter__(self):
        self._tasks = [asyncio.create_task(self._run(name)) for name in self.settings]
        await wait_until(lambda: self.leader)
        return self

    async def __aexit__(self, *_):
        self._stopping.set()
        await asyncio.gather(*self._tasks)

    async def _run(self, name):
        fleet = self

        class Daemon(ControlDaemon):
            async def start(self):
                fleet.daemons.pop(name, None)
                await super().start()
                fleet.daemons[name] = self

        def build():
            return Daemon(
                self.settings[name],
                bootstrap=name in NAMES,
                files=self.disks[name],
                operator_routes=operator_routes,
            )

        await run_replicas(build, asyncio.create_task(self._wait_for_stop()))

    async def _wait_for_stop(self):
        await self._stopping.wait()


class Operator:
    """Publishes one version after another, at one replica after another."""

    def __init__(self, fleet):
        self.acknowledged = 0
        self._fleet = fleet

    async def run(self):
        for name in itertools.cycle(NAMES):
            status = await self._fleet.publish(name, self.acknowledged + 1)
            if status == 200:
                self.acknowledged += 1
            await asyncio.sleep(0.02)


async def wait_until(condition, timeout_s=8.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("full", ["the leader", "a follower"])
async def test_calls_in_progress_are_answered_when_the_disk_is_full(tmp_path, full):
    """Guards against operators whose connection ends without an answer."""
    async with SupervisedFleet(tmp_path) as fleet:
        others = [name for name in NAMES if name != fleet.leader]
        name = fleet.leader if full == "the leader" else others[0]
        assert await fleet.publish(name, 1) == 200
        fleet.disks[name].answers.clear()
        calls = [asyncio.create_task(fleet.publish(name, 2)) for _ in range(5)]
        await asyncio.sleep(FAST["election_timeout_ms"] / 2000)
        fleet.disks[name].is_full = True
        fleet.disks[name].answers.set()
        assert set(await asyncio.gather(*calls)) <= {200, 503}


async def test_keys_are_recorded_at_other_replicas_when_the_disk_is_full(tmp_path):
    """Guards against refused keys although a majority can store them."""
    async with SupervisedFleet(tmp_path) as fleet, fleet.client() as client:
        await wait_until(lambda: client.connected_count == len(NAMES))
        fleet.disks[fleet.leader].is_full = True
        requests = [key_request(f"k{number}") for number in range(12)]
        replies = await asyncio.gather(
            *(client.call("RecordKey", request, 4000) for request in requests)
        )
        assert {reply.result for reply in replies} == {KeyReply.RECORDED}


async def test_changes_are_acknowledged_after_disks_were_full_in_turn(tmp_path):
    """Guards against control that refuses changes although all disks have room."""
    async with SupervisedFleet(tmp_path) as fleet, fleet.client():
        operator = Operator(fleet)
        publishing = asyncio.create_task(operator.run())
        for number in range(4):
            name = fleet.leader or NAMES[number % len(NAMES)]
            fleet.disks[name].is_full = True
            await asyncio.sleep(0.4 + 0.3 * number)
            fleet.disks[name].is_full = False
        expected = operator.acknowledged + 3
        await wait_until(lambda: operator.acknowledged >= expected, ACKNOWLEDGED_S)
        publishing.cancel()
        await wait_until(
            lambda: (
                sum(replica.may_vote for replica in fleet.replicas.values())
                == len(NAMES)
            )
        )
        for replica in fleet.replicas.values():
            await wait_until(
                lambda s=replica.state: s.manifest_version >= operator.acknowledged
            )
        await wait_until(lambda: fleet.in_force.version >= operator.acknowledged, 2.0)


async def test_voters_are_replaced_by_each_other_while_disks_are_full_in_turn(
    tmp_path, monkeypatch
):
    """Guards against a list of voters that shrinks with each full disk."""
    monkeypatch.setattr(voter_repair, "REPLACE_AFTER_MS", 300.0)
    async with SupervisedFleet(tmp_path, spare=True, voters=3) as fleet:
        await wait_until(
            lambda: fleet.leader and fleet.replicas[fleet.leader].status().learners
        )
        operator = Operator(fleet)
        publishing = asyncio.create_task(operator.run())
        for name in (*NAMES, "c4"):
            fleet.disks[name].is_full = True
            await asyncio.sleep(1.2)
            fleet.disks[name].is_full = False
        expected = operator.acknowledged + 3
        await wait_until(lambda: operator.acknowledged >= expected, ACKNOWLEDGED_S)
        publishing.cancel()
        await wait_until(
            lambda: (
                len(fleet.replicas) == 4
                and sum(replica.may_vote for replica in fleet.replicas.values()) == 3
            )
        )
        for replica in fleet.replicas.values():
            await wait_until(
                lambda s=replica.state: s.manifest_version >= operator.acknowledged
            )
