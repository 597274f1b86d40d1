from bulrushbend.wire.fleet_pb2 import RowGroup, TeamRow
from bulrushbend.wire.record_groups import (
    AgentRecord,
    group_records,
    ungroup_records,
)


def test_grouped_records_keep_agent_and_incarnation():
    # Guards against slot time that is attributed to another agent or incarnation.
    owners = [("a1", 1), ("a2", 1), ("a1", 2), ("a1", 1)]
    rows = [
        AgentRecord(
            "flor-llm", agent, incarnation, TeamRow(team=f"crew-{n}", sequence=n)
        )
        for n, (agent, incarnation) in enumerate(owners)
    ]
    groups = [RowGroup.FromString(g.SerializeToString()) for g in group_records(rows)]
    assert len(groups) == 3
    found = list(ungroup_records(groups))
    assert sorted(found, key=lambda row: row.sequence) == rows
