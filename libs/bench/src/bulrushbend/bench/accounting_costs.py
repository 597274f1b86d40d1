"""Costs of accounting: bytes, memory and CPU time of real ledgers and messages."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from bulrushbend.agent.records import pack_records, unpack_records
from bulrushbend.bench.policy import SimulatedClock
from bulrushbend.bench.registry import command
from bulrushbend.bench.sweep import DEFAULT_FOLDER, run_sweep
from bulrushbend.core.identity import Identity
from bulrushbend.share.estimator import BalancedMean
from bulrushbend.share.ledger import Ledger
from bulrushbend.share.picker import ProportionalPicker
from bulrushbend.share.record import AccountingRecord
from bulrushbend.wire.fleet_pb2 import AgentBatch
from bulrushbend.wire.record_groups import group_records

AGENT_COUNTS = (5, 10, 20, 50, 100)
TEAM_COUNTS = (17, 35, 70, 120, 170)
_SLOTS = 8
_INCARNATION = 115_000_000_000_000_000
_WARM_UP_MS = 1000.0


def build_records(
    agents: int, teams: int, round_number: int = 1
) -> list[AccountingRecord]:
    """Return the records of `agents` agents for `teams` backlogged teams."""
    return [
        AccountingRecord(
            service="flor-llm",
            agent=f"flor-{agent}",
            incarnation=_INCARNATION + agent,
            team=f"crew-{team}",
            sequence=round_number,
            served_ms=1000.125 * round_number * (agent + 1),
            reserve_ms=3000.5,
            running=1,
            waiting=True,
            start_virtual_time=1234.5,
            weighted_ms=1000.125 * round_number * (agent + 1),
        )
        for agent in range(agents)
        for team in range(teams)
    ]


def build_ledger(teams: int) -> tuple[Ledger, SimulatedClock]:
    """Return the ledger of one agent with all slots in use by `teams` teams."""
    clock = SimulatedClock()
    identity = Identity("flor-own", _INCARNATION)
    ledger = Ledger("flor-llm", identity, clock, BalancedMean())
    for number in range(teams):
        ledger.set_waiting(f"crew-{number}", True)
    for number in range(_SLOTS):
        ledger.open_charge(f"crew-{number % teams}").start()
    clock.value_ms = _WARM_UP_MS
    return ledger, clock


def measure_accounting(agents: int, teams: int) -> dict[str, float]:
    """Measure a ledger with the records of `agents` agents, `teams` teams each."""
    bytes_per_record, batch_bytes = _measure_bytes(teams)
    pack_us, unpack_us = _measure_messages()
    ledger, clock = build_ledger(teams)
    first, second = build_records(agents, teams), build_records(agents, teams, 2)
    memory_bytes = _measure_memory(lambda: ledger.merge(first))
    merge_us = _cpu_us(lambda: ledger.merge(second))
    cursor, _ = ledger.records()

    def refresh():
        clock.value_ms += 100.0
        ledger.records(cursor)

    waiting = {f"crew-{number}": 1.0 for number in range(teams)}
    picker = ProportionalPicker()

    def pick():
        charge = ledger.open_charge("crew-0")
        charge.start()
        charge.end()
        picker.pick(waiting, ledger)

    def toggle_backlog():
        ledger.set_waiting("crew-new", True)
        ledger.set_waiting("crew-new", False)

    return {
        "bytes per row": bytes_per_record,
        "bytes of a batch of own changed rows": batch_bytes,
        "memory bytes per row": memory_bytes / len(first),
        "memory MB": memory_bytes / 1e6,
        "pack us per row": pack_us,
        "unpack us per row": unpack_us,
        "merge us per row": merge_us / len(second),
        "stamp own rows us": _cpu_us(refresh, 20),
        "pick us": _cpu_us(pick, 50),
        "become backlogged us": _cpu_us(toggle_backlog, 20),
    }


def _measure_bytes(teams: int) -> tuple[float, float]:
    initial = build_records(1, teams, 1000)
    total_bytes = AgentBatch(rows=group_records(pack_records(initial))).ByteSize()
    ledger, clock = build_ledger(teams)
    cursor, _ = ledger.records()
    clock.value_ms += 100.0
    changed = pack_records(ledger.records(cursor)[1])
    batch = AgentBatch(rows=group_records(changed))
    return total_bytes / len(initial), float(batch.ByteSize())


def _measure_messages() -> tuple[float, float]:
    """Return the CPU time per record to pack and to unpack a batch.

    The batch has one record for each slot.
    """
    records = build_records(1, _SLOTS, 1000)
    data = AgentBatch(rows=group_records(pack_records(records))).SerializeToString()

    def pack():
        AgentBatch(rows=group_records(pack_records(records))).SerializeToString()

    def unpack():
        unpack_records(AgentBatch.FromString(data).rows, "flor-llm")

    return _cpu_us(pack, 1000) / len(records), _cpu_us(unpack, 1000) / len(records)


def _measure_memory(action: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        action()
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0] - before)
    finally:
        tracemalloc.stop()


def _cpu_us(action: Callable[[], object], times: int = 1) -> float:
    begin_ns = time.process_time_ns()
    for _ in range(times):
        action()
    return (time.process_time_ns() - begin_ns) / 1000.0 / times


@command("accounting")
def accounting(repeats: int = 3, folder: str = str(DEFAULT_FOLDER)) -> str:
    """Sweep accounting over agents (170 teams) and over teams (50 agents)."""
    target = Path(folder)
    by_agents = run_sweep(
        "accounting-agents",
        "agents",
        AGENT_COUNTS,
        lambda agents: measure_accounting(int(agents), TEAM_COUNTS[-1]),
        repeats,
    )
    by_teams = run_sweep(
        "accounting-teams",
        "backlogged teams",
        TEAM_COUNTS,
        lambda teams: measure_accounting(50, int(teams)),
        repeats,
    )
    return f"{by_agents.save(target)}\n{by_teams.save(target)}"
