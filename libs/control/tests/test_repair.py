"""Automatic repair of replicas that lose their disk or are replaced."""

import asyncio
import contextlib
import shutil
from pathlib import Path

import pytest

from bulrushbend.control.daemon import ControlDaemon
from bulrushbend.core.settings import PeerAddress
from bulrushbend.store.voter_repair import REPLACE_AFTER_MS
from bulrushbend.wire.control_pb2 import Command

from .control_builders import control_settings, publish_request, spare_settings

NAMES = ("c1", "c2", "c3")
FAST = {"election_timeout_ms": 200, "append_interval_ms": 40, "voters": 3}


class ControlFleet:
    """Control replicas in one process, connected by gRPC over loopback."""

    def __init__(self, folder):
        self.settings = {
            item.name: item for item in control_settings(folder, NAMES, **FAST)
        }
        self.daemons = {}

    async def start(self, name, bootstrap=False):
        daemon = ControlDaemon(self.settings[name], bootstrap=bootstrap)
        await daemon.start()
        self.daemons[name] = daemon

    async def stop(self, name):
        await self.daemons.pop(name).stop()

    async def terminate(self, name):
        """Stop a replica as SIGTERM does."""
        await self.daemons[name].drain()
        await self.stop(name)

    def leader(self):
        return next(n for n, d in self.daemons.items() if d.replica.is_leader)

    async def add_learner(self, name, folder):
        self.add(name, folder)
        await self.start(name)

        def has_caught_up():
            peers = self.daemons[self.leader()].replica.peers()
            return name in peers and peers[name].has_caught_up

        await self.wait_until(has_caught_up)

    async def lose_disk(self, name):
        await self.stop(name)
        self.delete_data(name)
        await self.start(name)

    def add(self, name, folder):
        """Add settings of a replica outside of the initial configuration."""
        template = self.settings[NAMES[0]]
        self.settings[name] = spare_settings(template, name, folder)

    def delete_data(self, name):
        shutil.rmtree(Path(self.settings[name].data_folder))

    async def wait_until(self, condition, timeout_s=20.0):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.02)

    def voters(self):
        """Return the voters that all running replicas agree on, or None."""
        lists = {daemon.replica.status().voters for daemon in self.daemons.values()}
        return set(lists.pop()) if len(lists) == 1 else None

    def all_vote(self, *names):
        # The first election needs all voters of the initial configuration.
        if self.voters() != set(names) or not self.all_ready():
            return False
        return all(self.daemons[name].replica.may_vote for name in names)

    def all_ready(self):
        return all(daemon.is_ready for daemon in self.daemons.values())

    async def publish(self, version):
        command = Command(put_manifest=publish_request(version).manifest)
        await next(iter(self.daemons.values())).replica.propose(command, 3000)

    def has_version(self, name, version):
        return self.daemons[name].replica.state.manifest_version == version


@contextlib.asynccontextmanager
async def running_fleet(folder):
    fleet = ControlFleet(folder)
    try:
        await asyncio.gather(*(fleet.start(name, bootstrap=True) for name in NAMES))
        await fleet.wait_until(lambda: fleet.all_vote(*NAMES))
        yield fleet
    finally:
        for name in list(fleet.daemons):
            await fleet.stop(name)


async def test_replica_that_lost_its_disk_becomes_voter_again(tmp_path):
    # Guards against a fleet that permanently loses a voter with each lost disk.
    async with running_fleet(tmp_path) as fleet:
        await fleet.publish(3)
        for name in ("c2", "c3"):
            await fleet.stop(name)
            fleet.delete_data(name)
            await fleet.start(name)
            await fleet.wait_until(lambda: fleet.all_vote(*NAMES))
            await fleet.wait_until(lambda name=name: fleet.has_version(name, 3))


async def test_replica_at_another_address_replaces_a_lost_voter(tmp_path):
    async with running_fleet(tmp_path) as fleet:
        await fleet.publish(3)
        await fleet.stop("c3")
        fleet.add("c4", tmp_path)
        await fleet.start("c4")
        await fleet.wait_until(lambda: fleet.all_vote("c1", "c2", "c4"))
        await fleet.stop("c1")
        await fleet.publish(4)
        await fleet.wait_until(lambda: fleet.has_version("c4", 4))


async def test_voter_that_was_replaced_while_stopped_becomes_learner(tmp_path):
    async with running_fleet(tmp_path) as fleet:
        await fleet.stop("c3")
        fleet.add("c4", tmp_path)
        await fleet.start("c4")
        await fleet.wait_until(lambda: fleet.all_vote("c1", "c2", "c4"))
        await fleet.start("c3")
        await fleet.wait_until(lambda: fleet.voters() == {"c1", "c2", "c4"})
        learners = fleet.daemons["c1"].replica.status
        await fleet.wait_until(lambda: "c3" in learners().learners)


async def test_replicas_know_the_addresses_of_all_replicas(tmp_path):
    async with running_fleet(tmp_path) as fleet:
        addresses = {item.link_address for item in fleet.settings.values()}
        for daemon in fleet.daemons.values():
            assert {node.address for node in daemon.replica.nodes} == addresses
        assert all(
            isinstance(peer, PeerAddress) for peer in fleet.settings["c1"].control
        )


@pytest.mark.parametrize("stops_leader", [False, True])
async def test_disk_lost_after_a_planned_replacement_loses_nothing(
    tmp_path, stops_leader
):
    # Guards against a successor without a vote when the old replica has ended.
    async with running_fleet(tmp_path) as fleet:
        await fleet.add_learner("c4", tmp_path)
        followers = [name for name in NAMES if name != fleet.leader()]
        old = fleet.leader() if stops_leader else followers[0]
        await fleet.terminate(old)
        lost = followers[1]
        remaining = {*NAMES, "c4"} - {old}
        await fleet.publish(5)
        await fleet.lose_disk(lost)
        await fleet.wait_until(lambda: fleet.all_vote(*remaining))
        await fleet.wait_until(lambda: fleet.has_version(lost, 5))


async def test_voter_that_was_killed_is_replaced_at_once(tmp_path):
    # Guards against waiting for the silence of a replica whose process has ended.
    async with running_fleet(tmp_path) as fleet:
        await fleet.add_learner("c4", tmp_path)
        old = next(name for name in NAMES if name != fleet.leader())
        await fleet.stop(old)
        remaining = {*NAMES, "c4"} - {old}
        limit_s = REPLACE_AFTER_MS / 2_000.0
        await fleet.wait_until(lambda: fleet.all_vote(*remaining), limit_s)


async def test_command_is_acknowledged_when_a_dead_voter_has_been_replaced(tmp_path):
    # Guards against a disk that is lost right after the acknowledgement.
    async with running_fleet(tmp_path) as fleet:
        await fleet.add_learner("c4", tmp_path)
        old, lost = (name for name in NAMES if name != fleet.leader())
        await fleet.stop(old)
        await fleet.publish(5)
        await fleet.lose_disk(lost)
        await fleet.wait_until(lambda: fleet.all_vote(*({*NAMES, "c4"} - {old})))
        await fleet.wait_until(lambda: fleet.has_version(lost, 5))


async def test_rolling_restart_without_a_learner_keeps_the_voters(tmp_path):
    # Guards against restarts that remove voters, and against stops that wait for none.
    async with running_fleet(tmp_path) as fleet:
        for name in NAMES:
            async with asyncio.timeout(1.5):
                await fleet.terminate(name)
            others = set(NAMES) - {name}
            assert all(
                set(fleet.daemons[other].replica.status().voters) == set(NAMES)
                for other in others
            )
            await fleet.start(name)
            await fleet.wait_until(lambda: fleet.all_vote(*NAMES))


async def test_rolling_restart_with_a_learner_leaves_all_voters_running(tmp_path):
    # Guards against votes that stay with replicas that have been replaced.
    async with running_fleet(tmp_path) as fleet:
        await fleet.add_learner("c4", tmp_path)
        await fleet.publish(3)
        for name in (*NAMES, "c4"):
            await fleet.terminate(name)
            await fleet.start(name)
            await fleet.wait_until(
                lambda: len(fleet.voters() or ()) == 3 and fleet.all_ready()
            )
            await fleet.wait_until(
                lambda: len(fleet.daemons[fleet.leader()].replica.status().learners)
            )
        await fleet.publish(4)


@contextlib.asynccontextmanager
async def empty_fleet(folder):
    fleet = ControlFleet(folder)
    try:
        yield fleet
    finally:
        for name in list(fleet.daemons):
            await fleet.stop(name)


async def test_first_election_follows_a_kill_before_a_replica_stored_its_disk_id(
    tmp_path,
):
    # Guards against a first start that one killed process stops for good.
    async with empty_fleet(tmp_path) as fleet:
        await asyncio.gather(*(fleet.start(name, bootstrap=True) for name in NAMES[:2]))
        await fleet.start("c3")
        await fleet.wait_until(lambda: fleet.all_vote(*NAMES))
        await fleet.publish(1)


async def test_first_start_goes_on_after_kills_while_it_waits_for_the_others(tmp_path):
    # Guards against a bootstrap that is forgotten with the process that began it.
    async with empty_fleet(tmp_path) as fleet:
        for name in NAMES:
            await fleet.start(name, bootstrap=True)
            await asyncio.sleep(0.1)
            await fleet.stop(name)
        await asyncio.gather(*(fleet.start(name) for name in NAMES))
        await fleet.wait_until(lambda: fleet.all_vote(*NAMES))
        await fleet.publish(1)


async def test_no_leader_is_elected_after_two_of_three_disks_were_lost(tmp_path):
    # Guards against a new fleet that takes the place of one with acknowledged data.
    async with running_fleet(tmp_path) as fleet:
        await fleet.publish(3)
        for name in NAMES:
            await fleet.stop(name)
        for name in NAMES[1:]:
            fleet.delete_data(name)
        await asyncio.gather(*(fleet.start(name) for name in NAMES))
        await asyncio.sleep(2.0)
        assert not any(daemon.is_ready for daemon in fleet.daemons.values())
