from bulrushbend.wire.fleet_pb2 import RowGroup, TeamRow
from bulrushbend.wire.rowgroups import AgentRow, group_rows, split_groups


def test_grouped_rows_keep_their_owner():
    # Guards against service that is credited to another agent or incarnation.
    owners = [("a1", 1), ("a2", 1), ("a1", 2), ("a1", 1)]
    rows = [
        AgentRow("flor-llm", agent, incarnation, TeamRow(team=f"crew-{n}", sequence=n))
        for n, (agent, incarnation) in enumerate(owners)
    ]
    groups = [RowGroup.FromString(g.SerializeToString()) for g in group_rows(rows)]
    assert len(groups) == 3
    found = list(split_groups(groups))
    assert sorted(found, key=lambda row: row.sequence) == rows
