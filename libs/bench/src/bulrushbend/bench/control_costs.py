"""Costs of control: latency, CPU and bytes of versions, keys and watch streams.

Three replicas with data folders run in this process and talk over gRPC on loopback.
CPU figures are those of the whole process: the three replicas and the client.
"""

import asyncio
import contextlib
import json
import resource
import statistics
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict, dataclass

from absl import logging
from grpclib.client import Channel

from bulrushbend.bench.control_replicas import (
    NAMES,
    ControlReplicas,
    running_replicas,
    wait_until,
)
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.core.manifest import Manifest, Team, hash_token
from bulrushbend.core.settings import RouterSettings, split_address
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.fleet_client import FleetClient
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.fleet_grpc import FleetStub
from bulrushbend.wire.fleet_pb2 import (
    KeyReply,
    KeyRequest,
    Member,
    PublishReply,
    PublishRequest,
    StatusDetail,
)

TEAMS = 16
KEYS_AT_ONCE = 16
WATCH_SECONDS = 5.0
JOINING_AT_ONCE = 20


@dataclass(frozen=True)
class WriteCost:
    """Cost of one write, averaged over `count` writes.

    Attributes
    ----------
    count : int
        Number of writes.
    p50_ms, p99_ms : float
        Time from the call to the committed answer.
    cpu_ms : float
        CPU of three replicas and client for each write.
    disk_bytes : float
        Bytes that the three replicas write to disk for each write.
    peer_bytes : float
        Message bytes between the replicas for each write, heartbeats included.
    per_second : float
        Writes in a second.
    """

    count: int
    p50_ms: float
    p99_ms: float
    cpu_ms: float
    disk_bytes: float
    peer_bytes: float
    per_second: float


@dataclass(frozen=True)
class WatchCost:
    """Cost of watch streams to three replicas.

    Attributes
    ----------
    count : int
        Number of members; each watches every replica.
    cpu_share : float
        CPU of the three replicas and all members, as a share of one core.
    member_bytes_per_s : float
        Message bytes of one member with all replicas, in both directions.
    in_force_ms : float
        Time from publish to the manifest in force at the last member.
    """

    count: int
    cpu_share: float
    member_bytes_per_s: float
    in_force_ms: float


@dataclass(frozen=True)
class HeartbeatCost:
    """Idle traffic between the replicas: messages and bytes with their answers."""

    messages_per_s: float
    bytes_each: float


@contextlib.contextmanager
def _stub(address: str):
    channel = Channel(*split_address(address))
    with contextlib.closing(channel):
        yield FleetStub(channel)


def _cpu_ms() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return (usage.ru_utime + usage.ru_stime) * 1000.0


def _manifest(version: int) -> PublishRequest:
    names = [f"crew-{number}" for number in range(TEAMS)]
    teams = tuple(Team(name=n, token_sha256=hash_token(n)) for n in names)
    return PublishRequest(
        manifest=pack_manifest(Manifest(version=version, teams=teams))
    )


async def _measure_writes(
    replicas: ControlReplicas,
    count: int,
    at_once: int,
    write: Callable[[int], Awaitable[None]],
) -> WriteCost:
    """Run `count` writes, `at_once` at a time, and return what they cost."""
    latencies: list[float] = []
    numbers = iter(range(count))

    async def work() -> None:
        for number in numbers:
            started = time.perf_counter()
            await write(number)
            latencies.append((time.perf_counter() - started) * 1000)

    cpu, disk, peer = _cpu_ms(), replicas.files.written, replicas.peer_bytes
    started = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(at_once)))
    elapsed_s = time.perf_counter() - started
    latencies.sort()
    return WriteCost(
        count=count,
        p50_ms=statistics.median(latencies),
        p99_ms=latencies[min(len(latencies) - 1, int(len(latencies) * 0.99))],
        cpu_ms=(_cpu_ms() - cpu) / count,
        disk_bytes=(replicas.files.written - disk) / count,
        peer_bytes=(replicas.peer_bytes - peer) / count,
        per_second=count / elapsed_s,
    )


async def measure_versions(count: int) -> WriteCost:
    """Publish `count` versions one after the other through a follower."""
    async with running_replicas() as replicas:
        follower = next(name for name in NAMES if name != replicas.leader)
        with _stub(replicas.address(follower)) as stub:

            async def publish(number: int) -> None:
                reply = await stub.Publish(_manifest(number + 1))
                assert reply.result == PublishReply.ACCEPTED, reply

            return await _measure_writes(replicas, count, 1, publish)


async def measure_keys(count: int) -> WriteCost:
    """Record `count` keys through a follower, 16 at a time."""
    async with running_replicas() as replicas:
        follower = next(name for name in NAMES if name != replicas.leader)
        with _stub(replicas.address(follower)) as stub:

            async def record(number: int) -> None:
                reply = await stub.RecordKey(
                    KeyRequest(
                        team="crew-1",
                        service="rota-app",
                        key=f"key-{number:012}",
                        body_digest="0" * 64,
                        owner="router-1",
                        owner_incarnation=1,
                        request_id=f"req-{number:016}",
                    )
                )
                assert reply.result == KeyReply.RECORDED, reply

            return await _measure_writes(replicas, count, KEYS_AT_ONCE, record)


async def measure_watchers(count: int) -> WatchCost:
    """Let `count` members watch three replicas, then publish one manifest."""
    async with running_replicas() as replicas, asyncio.TaskGroup() as group:
        watches = [_new_watch(replicas, number) for number in range(count)]
        with _stub(replicas.address(replicas.leader)) as stub:
            await stub.Publish(_manifest(1))
            tasks = await _start_watches(group, watches)
            await asyncio.sleep(1.0)
            cpu, sent = _cpu_ms(), sum(watch.control_bytes for watch, _ in watches)
            await asyncio.sleep(WATCH_SECONDS)
            cpu_share = (_cpu_ms() - cpu) / 1000 / WATCH_SECONDS
            moved = sum(watch.control_bytes for watch, _ in watches) - sent
            started = time.perf_counter()
            await stub.Publish(_manifest(2))
            await wait_until(lambda: all(f.version == 2 for _, f in watches))
            in_force_ms = (time.perf_counter() - started) * 1000
        for task in tasks:
            task.cancel()
        return WatchCost(count, cpu_share, moved / WATCH_SECONDS / count, in_force_ms)


async def _start_watches(
    group: asyncio.TaskGroup, watches: list[tuple[FleetClient, ActiveManifest]]
) -> list[asyncio.Task[None]]:
    """Start the members in groups, since all of them share the CPU of one process."""
    tasks = []
    for end in range(JOINING_AT_ONCE, len(watches) + JOINING_AT_ONCE, JOINING_AT_ONCE):
        started = watches[:end]
        for watch, _ in started[len(tasks) :]:
            tasks.append(group.create_task(watch.run()))
        await wait_until(
            lambda members=started: all(
                in_force.version == 1 and len(watch.members) == len(members)
                for watch, in_force in members
            )
        )
    return tasks


def _new_watch(
    replicas: ControlReplicas, number: int
) -> tuple[FleetClient, ActiveManifest]:
    name = f"r{number}"
    settings = RouterSettings(
        name=name,
        vm=name,
        data_centre="papantla",
        http_address="127.0.0.1:1",
        control=replicas.control,
    )
    events = MemoryEventLog()
    in_force = ActiveManifest(events)
    member = Member(name=name, role="router", incarnation=1, vm=name)
    watch = FleetClient(settings, member, in_force, Clock(), events, StatusDetail)
    return watch, in_force


async def measure_recovery(rounds: int) -> list[float]:
    """Stop the leader `rounds` times.

    Returns
    -------
    list of float
        Time in milliseconds from each stop to the next accepted publish through
        another replica, sorted.
    """
    times: list[float] = []
    async with running_replicas() as replicas:
        for number in range(rounds):
            leader = await replicas.wait_for_leader()
            survivor = next(name for name in NAMES if name != leader)
            await replicas.stop(leader)
            started = time.perf_counter()
            with _stub(replicas.address(survivor)) as stub:
                await _publish_until_accepted(stub, number + 1)
            times.append((time.perf_counter() - started) * 1000)
            await replicas.start(leader)
            await asyncio.sleep(1.0)
    return sorted(times)


async def _publish_until_accepted(stub: FleetStub, version: int) -> None:
    while True:
        with contextlib.suppress(Exception):
            async with asyncio.timeout(1.0):
                reply = await stub.Publish(_manifest(version))
            if reply.result == PublishReply.ACCEPTED:
                return
        await asyncio.sleep(0.01)


async def measure_heartbeats(seconds: float = WATCH_SECONDS) -> HeartbeatCost:
    """Return the idle traffic of three replicas, counted for `seconds`."""
    async with running_replicas() as replicas:
        await asyncio.sleep(1.0)
        calls, sent = replicas.peer_calls, replicas.peer_bytes
        await asyncio.sleep(seconds)
        calls = replicas.peer_calls - calls
        return HeartbeatCost(
            calls / seconds, (replicas.peer_bytes - sent) / max(1, calls)
        )


def sweep_versions(counts: Sequence[int]) -> list[WriteCost]:
    """Return the cost of publishing for each number of versions."""
    return [asyncio.run(measure_versions(count)) for count in counts]


def sweep_keys(counts: Sequence[int]) -> list[WriteCost]:
    """Return the cost of recording keys for each number of keys."""
    return [asyncio.run(measure_keys(count)) for count in counts]


def sweep_watchers(counts: Sequence[int]) -> list[WatchCost]:
    """Return the cost of watch streams for each number of members."""
    return [asyncio.run(measure_watchers(count)) for count in counts]


def main() -> None:
    """Run all sweeps and print one JSON line for each point."""
    logging.set_verbosity(logging.ERROR)
    rows = {
        "versions": lambda: map(asdict, sweep_versions((30, 100, 300, 1000))),
        "keys": lambda: map(asdict, sweep_keys((100, 300, 1000, 3000))),
        "watchers": lambda: map(asdict, sweep_watchers((10, 30, 60, 120))),
        "recovery": lambda: [{"ms": asyncio.run(measure_recovery(10))}],
        "heartbeats": lambda: [asdict(asyncio.run(measure_heartbeats()))],
    }
    for name in sys.argv[1:] or rows:
        for row in rows[name]():
            print(json.dumps({"sweep": name, **row}), flush=True)


if __name__ == "__main__":
    main()
