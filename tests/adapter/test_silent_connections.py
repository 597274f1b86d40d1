"""Gateways and control whose open connections go silent, while new ones work."""

import asyncio
import contextlib

import pytest
from forwarder import Network
from grpclib.exceptions import GRPCError
from machines import ADDRESS_PREFIX, is_loopback_range_usable
from platform_builders import make_machine

from bulrushbend.control.daemon import ControlDaemon
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.core.manifest import Manifest
from bulrushbend.platform.settings import control_settings, gateway_settings
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.fleet_client import FleetClient
from bulrushbend.process.lease import ManifestLease
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.fleet_pb2 import Member, PublishRequest, StatusDetail

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
HOSTS = [f"{ADDRESS_PREFIX}.{number}" for number in (10, 11, 12)]
# Addresses of the forwarders that the machines announce.
ANNOUNCED = [f"{ADDRESS_PREFIX}.{number}" for number in (150, 151, 152)]
PORT = 7400


@contextlib.asynccontextmanager
async def run_control(folder, network):
    """Run three replicas behind forwarders."""
    async with contextlib.AsyncExitStack() as stack:
        daemons = []
        for host, announced in zip(HOSTS, ANNOUNCED, strict=True):
            network.forward(announced, f"{announced}:{PORT}", f"{host}:{PORT}")
            machine = make_machine(announced, ANNOUNCED, folder / announced)
            settings = control_settings(machine).model_copy(
                update={"link_listen": f"{host}:{PORT}"}
            )
            daemon = ControlDaemon(settings, bootstrap=True, events=MemoryEventLog())
            await daemon.start()
            stack.push_async_callback(daemon.stop)
            daemons.append(daemon)
        yield daemons


@contextlib.asynccontextmanager
async def watch(machine, events):
    """Run the client of a gateway and yield its manifest and its lease."""
    settings = gateway_settings(machine)
    in_force, clock = ActiveManifest(events), Clock()
    lease = ManifestLease(clock, settings.lease_ms)
    client = FleetClient(
        settings,
        Member(name=settings.name, role="gateway", incarnation=1),
        in_force,
        clock,
        events,
        StatusDetail,
        lease,
    )
    task = asyncio.create_task(client.run())
    try:
        yield in_force, lease
    finally:
        task.cancel()
        await asyncio.wait({task})


async def wait_until(condition, timeout_s):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


async def publish(daemons, version):
    """Publish a manifest through the leader once there is one."""
    request = PublishRequest(manifest=pack_manifest(Manifest(version=version)))
    while True:
        for daemon in daemons:
            # A leader without connections steps down in between.
            with contextlib.suppress(GRPCError):
                if (await daemon.service.publish(request)).version == version:
                    return
        await asyncio.sleep(0.02)


async def test_manifest_is_in_force_in_time_after_open_connections_went_silent(
    tmp_path,
):
    """Guards against a gateway that waits for messages on silent connections."""
    network = Network(lambda client_port, server_port: "")
    loop = asyncio.get_running_loop()
    try:
        async with run_control(tmp_path, network) as daemons:
            await publish(daemons, 1)
            machine = make_machine(f"{ADDRESS_PREFIX}.20", ANNOUNCED, tmp_path / "g")
            async with watch(machine, MemoryEventLog()) as (in_force, lease):
                await wait_until(lambda: lease.is_valid, 8.0)
                for name in ANNOUNCED:
                    await asyncio.to_thread(network.silence_open, name)
                silent_s = loop.time()
                await publish(daemons, 2)
                due_s = max(silent_s + CONTACT_S, loop.time() + CONFIG_APPLY_S)
                await wait_until(lambda: in_force.version == 2, due_s - loop.time())
                assert lease.is_valid
    finally:
        await asyncio.to_thread(network.close)


async def test_changes_are_in_force_in_time_after_connections_went_silent_twice(
    tmp_path,
):
    """Guards against connections whose successors go silent as well.

    The links between the replicas go silent, too, and changes follow each other.
    """
    network = Network(lambda client_port, server_port: "")
    loop = asyncio.get_running_loop()
    try:
        async with run_control(tmp_path, network) as daemons:
            await publish(daemons, 1)
            machine = make_machine(f"{ADDRESS_PREFIX}.20", ANNOUNCED, tmp_path / "g")
            async with watch(machine, MemoryEventLog()) as (in_force, lease):
                await wait_until(lambda: lease.is_valid, 8.0)
                for version, pause_s in ((2, 0.1), (3, 1.7), (4, 0.3), (5, 0.05)):
                    for name in ANNOUNCED:
                        await asyncio.to_thread(network.silence_open, name)
                    silent_s = loop.time()
                    await asyncio.sleep(pause_s)
                    await publish(daemons, version)
                    due_s = max(silent_s + CONTACT_S, loop.time() + CONFIG_APPLY_S)
                    await wait_until(
                        lambda version=version: in_force.version == version,
                        due_s - loop.time(),
                    )
                # The lease may run out meanwhile, but not for longer than contact.
                left_s = max(0.05, silent_s + CONTACT_S - loop.time())
                await wait_until(lambda: lease.is_valid, left_s)
    finally:
        await asyncio.to_thread(network.close)
