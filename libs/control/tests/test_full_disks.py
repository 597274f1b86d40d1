"""Control replicas whose disks are full for a while, and their operators."""

import asyncio
import contextlib

import pytest
from control_builders import (
    Disk,
    control_settings,
    key_request,
    operator_routes,
    router_member,
    router_settings,
)
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPStreamClosedError

from bulrushbend.control.daemon import ControlDaemon, run_replicas
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.fleet_client import FleetClient
from bulrushbend.wire.fleet_pb2 import KeyReply, StatusDetail

NAMES = ("c1", "c2", "c3")
FAST = {"election_timeout_ms": 200, "append_interval_ms": 40}


class SupervisedFleet:
    """Control replicas that are started again after each failure of their store."""

    def __init__(self, folder):
        settings = control_settings(folder, NAMES, **FAST)
        self.settings = {item.name: item for item in settings}
        self.disks = {name: Disk() for name in NAMES}
        self.daemons = {}
        self._stopping = asyncio.Event()

    @property
    def leader(self):
        daemons = self.daemons.items()
        return next((name for name, d in daemons if self._leads(d)), None)

    @staticmethod
    def _leads(daemon):
        return hasattr(daemon, "_replica") and daemon.replica.is_leader

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
        self._tasks = [asyncio.create_task(self._run(name)) for name in NAMES]
        await wait_until(lambda: self.leader)
        return self

    async def __aexit__(self, *_):
        self._stopping.set()
        await asyncio.gather(*self._tasks)

    async def _run(self, name):
        def build():
            self.daemons[name] = ControlDaemon(
                self.settings[name],
                bootstrap=True,
                files=self.disks[name],
                operator_routes=operator_routes,
            )
            return self.daemons[name]

        await run_replicas(build, asyncio.create_task(self._wait_for_stop()))

    async def _wait_for_stop(self):
        await self._stopping.wait()


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
        fleet.disks[name].is_full = True
        statuses = await asyncio.gather(*(fleet.publish(name, 2) for _ in range(5)))
        assert set(statuses) <= {200, 503}


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
