"""Command that sweeps the costs of the control replicas."""

import statistics
from dataclasses import dataclass
from pathlib import Path

from bulrushbend.bench import control_costs
from bulrushbend.bench.costs import sweep_costs
from bulrushbend.bench.registry import command
from bulrushbend.bench.sweep import DEFAULT_FOLDER

VERSION_COUNTS = (10, 30, 100, 300)
KEY_COUNTS = (100, 300, 1000, 3000)
MEMBER_COUNTS = (8, 20, 40, 80)
STOP_COUNTS = (1, 2, 5, 10)
HEARTBEAT_SECONDS = (1, 2, 5, 10)


@dataclass(frozen=True)
class RecoveryCost:
    """Times from a stop of the leader to the next accepted publish."""

    median_ms: float
    longest_ms: float


@dataclass(frozen=True)
class IdleTraffic:
    """Messages between idle replicas, and the bytes of messages and answers."""

    messages: float
    bytes: float


async def measure_stops(count: int) -> RecoveryCost:
    """Measure the recovery from `count` stops of the leader."""
    times_ms = await control_costs.measure_recovery(count)
    return RecoveryCost(statistics.median(times_ms), times_ms[-1])


async def measure_idle(seconds: int) -> IdleTraffic:
    """Count the messages between idle replicas during `seconds` seconds."""
    cost = await control_costs.measure_heartbeats(seconds)
    messages = cost.messages_per_s * seconds
    return IdleTraffic(messages, messages * cost.bytes_each)


@command("control")
def control(repeats: int = 2, folder: str = str(DEFAULT_FOLDER)) -> str:
    """Sweep three replicas over versions, keys, watchers, recoveries and idle time."""
    target = Path(folder)
    plans = (
        (
            "control-versions",
            "versions",
            VERSION_COUNTS,
            control_costs.measure_versions,
            repeats,
        ),
        ("control-keys", "keys", KEY_COUNTS, control_costs.measure_keys, repeats),
        (
            "control-watchers",
            "members",
            MEMBER_COUNTS,
            control_costs.measure_watchers,
            repeats,
        ),
        ("control-recovery", "stops", STOP_COUNTS, measure_stops, 1),
        ("control-heartbeats", "seconds", HEARTBEAT_SECONDS, measure_idle, repeats),
    )
    tables = []
    for name, size_name, sizes, measure, times in plans:
        sweep = sweep_costs(name, size_name, sizes, measure, ("count",), times)
        tables.append(f"{name}\n\n{sweep.save(target)}")
    return "\n".join(tables)
