from bulrushbend.router.relay import RowRelay
from bulrushbend.wire.fleet_pb2 import AgentBatch, TeamRow
from bulrushbend.wire.record_groups import (
    AgentRecord,
    group_records,
    ungroup_records,
)

from .builders import FakeAgent


def make_row(sequence, agent="agent-flor-1", team="crew-a", incarnation=1):
    row = TeamRow(team=team, sequence=sequence, served_ms=sequence * 10)
    return AgentRecord("flor-llm", agent, incarnation, row)


def test_highest_sequence_wins_in_any_order():
    # Guards against accounting that goes back when rows arrive late or twice.
    relay = RowRelay("flor-llm")
    for sequence in (2, 3, 1, 3):
        relay.learn([make_row(sequence)], "agent-flor-1")
    assert [row.sequence for row in relay.changed_after(0, "other")] == [3]
    assert relay.change == 2


def test_incarnations_and_teams_are_kept_apart():
    relay = RowRelay("flor-llm")
    rows = [make_row(5), make_row(1, incarnation=2), make_row(1, team="crew-b")]
    relay.learn(rows, "agent-flor-1")
    assert len(relay.changed_after(0, "other")) == 3


def test_reader_gets_changes_only_and_nothing_back():
    relay = RowRelay("flor-llm")
    relay.learn([make_row(1), make_row(1, team="crew-b")], "agent-flor-1")
    cursor = relay.change
    relay.learn([make_row(2, team="crew-b")], "agent-flor-1")
    assert [row.team for row in relay.changed_after(cursor, "other")] == ["crew-b"]
    assert relay.changed_after(0, "agent-flor-1") == []


def test_rows_of_another_service_are_dropped():
    relay = RowRelay("rota-app")
    assert not relay.learn([make_row(1)], "agent-flor-1")


def seen(agent):
    rows = (row for batch in agent.batches for row in ungroup_records(batch.rows))
    return {(row.agent, row.team): row.sequence for row in rows}


async def test_rows_reach_the_other_agents_and_late_ones_in_full(fleet, agent):
    # Guards against agents that do not learn of each other's service.
    other = FakeAgent("flor-2")
    await fleet.start(agent, other)
    agent.outgoing.put_nowait(AgentBatch(rows=group_records([make_row(1)])))
    await fleet.until(lambda: seen(other).get(("agent-flor-1", "crew-a")) == 1)
    agent.outgoing.put_nowait(AgentBatch(rows=group_records([make_row(2)])))
    await fleet.until(lambda: seen(other).get(("agent-flor-1", "crew-a")) == 2)
    late = FakeAgent("flor-3")
    await fleet.add(late)
    assert seen(late) == {("agent-flor-1", "crew-a"): 2}
    assert not seen(agent)
