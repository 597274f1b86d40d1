from bulrushbend.router.relay import AccountingRelay
from bulrushbend.wire.fleet_pb2 import AgentBatch, TeamRow
from bulrushbend.wire.record_groups import AgentRecord, group_records, ungroup_records

from .builders import FakeAgent


def make_record(sequence, agent="agent-flor-1", team="crew-a", incarnation=1):
    row = TeamRow(team=team, sequence=sequence, served_ms=sequence * 10)
    return AgentRecord("flor-llm", agent, incarnation, row)


def test_highest_sequence_wins_in_any_order():
    # Guards against accounting that goes backwards when records arrive late or twice.
    relay = AccountingRelay("flor-llm")
    for sequence in (2, 3, 1, 3):
        relay.update([make_record(sequence)], "agent-flor-1")
    assert [record.sequence for record in relay.changed_after(0, "other")] == [3]
    assert relay.revision == 2


def test_incarnations_and_teams_are_kept_apart():
    relay = AccountingRelay("flor-llm")
    records = [
        make_record(5),
        make_record(1, incarnation=2),
        make_record(1, team="crew-b"),
    ]
    relay.update(records, "agent-flor-1")
    assert len(relay.changed_after(0, "other")) == 3


def test_receiver_gets_only_changes_of_other_agents():
    relay = AccountingRelay("flor-llm")
    relay.update([make_record(1), make_record(1, team="crew-b")], "agent-flor-1")
    cursor = relay.revision
    relay.update([make_record(2, team="crew-b")], "agent-flor-1")
    assert [record.team for record in relay.changed_after(cursor, "other")] == [
        "crew-b"
    ]
    assert relay.changed_after(0, "agent-flor-1") == []


def test_records_of_another_service_are_dropped():
    relay = AccountingRelay("rota-app")
    assert not relay.update([make_record(1)], "agent-flor-1")


def received_records(agent):
    records = (
        record for batch in agent.batches for record in ungroup_records(batch.rows)
    )
    return {(record.agent, record.team): record.sequence for record in records}


async def test_records_reach_the_other_agents_and_later_agents(fleet, agent):
    # Guards against agents that do not receive the accounting of the others.
    other = FakeAgent("flor-2")
    await fleet.start(agent, other)
    agent.outgoing.put_nowait(AgentBatch(rows=group_records([make_record(1)])))
    await fleet.wait_until(
        lambda: received_records(other).get(("agent-flor-1", "crew-a")) == 1
    )
    agent.outgoing.put_nowait(AgentBatch(rows=group_records([make_record(2)])))
    await fleet.wait_until(
        lambda: received_records(other).get(("agent-flor-1", "crew-a")) == 2
    )
    late = FakeAgent("flor-3")
    await fleet.add_agent(late)
    assert received_records(late) == {("agent-flor-1", "crew-a"): 2}
    assert not received_records(agent)
