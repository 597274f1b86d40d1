"""Cost of relaying one round of accounting records through a router.

Uses the real relay and real messages, without sockets: each agent of a service sends a
record of each backlogged team, and the router sends to each agent the records of the
others.
"""

import time
from pathlib import Path

from bulrushbend.agent.records import pack_records
from bulrushbend.bench.accounting_costs import build_records
from bulrushbend.bench.registry import command
from bulrushbend.bench.sweep import DEFAULT_FOLDER, run_sweep
from bulrushbend.router.relay import AccountingRelay
from bulrushbend.wire.fleet_pb2 import AgentBatch, RouterBatch
from bulrushbend.wire.record_groups import group_records, ungroup_records

AGENT_COUNTS = (3, 8, 16, 32, 58)
TEAMS = 13
_SERVICE = "flor-llm"
_MANIFEST_VERSION = 1400


def measure_relay(agents: int, teams: int = TEAMS) -> dict[str, float]:
    """Measure one round of `agents` agents with `teams` backlogged teams each.

    The relay already stores an earlier round, so that each record replaces another.
    """
    relay = AccountingRelay(_SERVICE)
    _update_relay(relay, _build_batches(agents, teams, 1000))
    cursor = relay.revision
    batches = _build_batches(agents, teams, 1001)
    begin_ns = time.process_time_ns()
    _update_relay(relay, batches)
    updated_ns = time.process_time_ns()
    sent = [_pack_changes(relay, cursor, f"flor-{agent}") for agent in range(agents)]
    sent_ns = time.process_time_ns()
    for data in sent:
        list(ungroup_records(RouterBatch.FromString(data).rows))
    read_ns = time.process_time_ns()
    relayed_records = agents * (agents - 1) * teams
    return {
        "received bytes of the router": float(sum(map(len, batches.values()))),
        "sent bytes of the router": float(sum(map(len, sent))),
        "received bytes of an agent": float(len(sent[0])),
        "router ms": (sent_ns - begin_ns) / 1e6,
        "learn us per row": (updated_ns - begin_ns) / 1e3 / (agents * teams),
        "send us per row": (sent_ns - updated_ns) / 1e3 / relayed_records,
        "read us per row": (read_ns - sent_ns) / 1e3 / relayed_records,
    }


def _build_batches(agents: int, teams: int, sequence: int) -> dict[str, bytes]:
    """Return the serialised batch of each agent by the agent's name."""
    records = pack_records(build_records(agents, teams, sequence))
    batches = {}
    for number in range(agents):
        name = f"flor-{number}"
        own = group_records(record for record in records if record.agent == name)
        batch = AgentBatch(manifest_version=_MANIFEST_VERSION, rows=own)
        batches[name] = batch.SerializeToString()
    return batches


def _update_relay(relay: AccountingRelay, batches: dict[str, bytes]) -> None:
    for source, data in batches.items():
        relay.update(ungroup_records(AgentBatch.FromString(data).rows), source)


def _pack_changes(relay: AccountingRelay, cursor: int, receiver: str) -> bytes:
    batch = RouterBatch(manifest_version=_MANIFEST_VERSION)
    batch.rows.extend(group_records(relay.changed_after(cursor, receiver)))
    return batch.SerializeToString()


@command("relay")
def relay(repeats: int = 3, folder: str = str(DEFAULT_FOLDER)) -> str:
    """Sweep one round of relayed records over the agents of a service."""
    sweep = run_sweep(
        "relay",
        "agents",
        AGENT_COUNTS,
        lambda agents: measure_relay(int(agents)),
        repeats,
    )
    return sweep.save(Path(folder))
