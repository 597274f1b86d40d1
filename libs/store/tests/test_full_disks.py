"""Disks that are full or fail for a while, one replica after another."""

import asyncio
import contextlib
import itertools
import os
import random

import pytest
from store_builders import ELECTION_TIMEOUT_MS, Cluster, put_manifest, wait_until

from bulrushbend.core.errors import NoQuorumError, StoreFailedError
from bulrushbend.wire.fleet_pb2 import PublishReply

# Time for the store to be reopened and for some elections.
RECOVERY_S = 20 * ELECTION_TIMEOUT_MS / 1000
REOPEN_DELAY_S = 0.05
SEEDS = range(int(os.environ.get("FULL_DISK_SEEDS", "2")))
FAULTS = (
    {"free_bytes": 0},
    {"free_bytes": 30},
    {"free_bytes": 150},
    {"sync_fails": True},
    {"refused_operations": frozenset({"create", "write"})},
    {"refused_operations": frozenset({"rename"})},
    {"refused_operations": frozenset({"sync_folder"})},
    {"refused_operations": frozenset({"open", "truncate", "write"})},
    {"refused_operations": frozenset({"close", "create"})},
    {"raises_unexpectedly": True},
)
NO_FAULT = {
    "free_bytes": None,
    "sync_fails": False,
    "refused_operations": frozenset(),
    "raises_unexpectedly": False,
}


def set_disk(files, fault):
    for name, value in (NO_FAULT | fault).items():
        setattr(files, name, value)


async def reopen_failed_stores(cluster):
    while True:
        await asyncio.sleep(REOPEN_DELAY_S)
        for name in cluster.names:
            if name in cluster.replicas and cluster.replicas[name].has_failed:
                await cluster.stop(name)
            if name not in cluster.replicas:
                # A process that an unexpected error ends is started again, too.
                with contextlib.suppress(StoreFailedError, ValueError):
                    cluster.start(name)


class Operator:
    """Publishes one version after another and keeps the acknowledged ones."""

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.acknowledged = 0
        self._rng = rng

    async def run(self):
        for version in itertools.count(1):
            await self.publish(version)
            await asyncio.sleep(self._rng.uniform(0, 0.02))

    async def publish(self, version):
        while self.acknowledged < version:
            name = self._rng.choice(self.cluster.names)
            if name not in self.cluster.replicas:
                await asyncio.sleep(0.005)
                continue
            replica = self.cluster.replicas[name]
            with contextlib.suppress(NoQuorumError):
                result = await replica.propose(put_manifest(version), 300)
                assert PublishReply.FromString(result).version == version
                self.acknowledged = version


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("seed", SEEDS)
async def test_changes_are_acknowledged_after_disks_were_full_in_turn(
    tmp_path, seed, count
):
    """Guards against a replica or a group that stays out of service for good."""
    rng = random.Random(seed)
    names = tuple(f"c{number}" for number in range(1, count + 1))
    async with Cluster(tmp_path, names, snapshot_entries=6) as cluster:
        operator = Operator(cluster, rng)
        tasks = [
            asyncio.create_task(reopen_failed_stores(cluster)),
            asyncio.create_task(operator.run()),
        ]
        for name in rng.sample(names, count):
            if rng.random() < 0.5:
                name = cluster.leader_name or name
            set_disk(cluster.files[name], rng.choice(FAULTS))
            await asyncio.sleep(rng.uniform(0.05, 3 * ELECTION_TIMEOUT_MS / 1000))
            set_disk(cluster.files[name], {})
        expected = operator.acknowledged + 2
        await wait_until(lambda: operator.acknowledged >= expected, RECOVERY_S)
        tasks.pop().cancel()
        await wait_until(
            lambda: (
                len(cluster.replicas) == count
                and all(replica.may_vote for replica in cluster.replicas.values())
            ),
            RECOVERY_S,
        )
        tasks.pop().cancel()
        await wait_until(
            lambda: len({cluster.digest(name) for name in names}) == 1, RECOVERY_S
        )
        for name in names:
            await cluster.lose_power(name, torn_bytes=rng.choice([0, 30]))
        for name in names:
            cluster.start(name)
        await cluster.wait_for_leader()
        await cluster.leader.read_index(3000)
        assert cluster.leader.state.manifest_version >= operator.acknowledged
        assert set(cluster.leader.status().voters) == set(names)
