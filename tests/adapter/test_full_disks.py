"""Real control processes whose disks are full one after another."""

import asyncio
import itertools
import json
import resource

import pytest
from machines import Machines, is_loopback_range_usable
from platform_builders import encode, make_config, make_route

from bulrushbend.core.errors import BulrushbendError, ConnectError

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)

ROUTES = [make_route("gen", service="llm", type="streaming")]
# Time in which the platform expects an acknowledgement.
ACKNOWLEDGED_S = 4.0


class Operator:
    """Sends one version after another to one machine after another."""

    def __init__(self, machines):
        self.acknowledged = 0
        self.unanswered = 0
        self._machines = machines

    async def run(self):
        for host in itertools.cycle(self._machines.hosts):
            version = self.acknowledged + 1
            content = encode(make_config(version, routes=ROUTES))
            try:
                if await self._machines.publish(host, content) == 200:
                    self.acknowledged = version
            except ConnectError:
                # The replica is not running while its disk is full.
                pass
            except BulrushbendError:
                self.unanswered += 1
            await asyncio.sleep(0.02)


def set_disk_full(machines, host, is_full):
    """Refuse all writes that extend a file, or allow them again."""
    process = machines.processes[host, "control"]
    _, hard = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
    soft = 0 if is_full else hard
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (soft, hard))


async def test_processes_acknowledge_changes_after_disks_were_full_in_turn(tmp_path):
    """Guards against control that refuses changes although all disks have room."""
    machines = Machines(tmp_path)
    operator = Operator(machines)
    try:
        for host in machines.hosts:
            await machines.start(host, "control", bootstrap=True)
        publishing = asyncio.create_task(operator.run())
        await machines.wait_until(has_acknowledged(operator, 3), "three changes")
        for host in machines.hosts:
            set_disk_full(machines, host, True)
            await asyncio.sleep(1.5)
            set_disk_full(machines, host, False)
        expected = operator.acknowledged + 3
        await machines.wait_until(
            has_acknowledged(operator, expected),
            "changes after all disks have room",
            ACKNOWLEDGED_S,
        )
        publishing.cancel()
        for host in machines.hosts:
            await machines.wait_until(
                lambda host=host: has_version(machines, host, operator.acknowledged),
                f"{host} has the last version",
                ACKNOWLEDGED_S,
            )
            assert machines.processes[host, "control"].returncode is None
        # A connection may be in the queue of each listening socket that is closed.
        assert operator.unanswered <= len(machines.hosts)
    finally:
        await machines.stop()


def has_acknowledged(operator, version):
    async def condition():
        return operator.acknowledged >= version

    return condition


async def has_version(machines, host, version):
    status, _, body = await machines.call(
        host, "control", "GET", "/bulrushbend/Config.Read"
    )
    return status == 200 and json.loads(body)["version"] >= version
