import json

import pytest
from cli_builders import build_agent, build_record_group, build_status

from bulrushbend.cli.calls import CallFailure
from bulrushbend.cli.status import combine_replies
from bulrushbend.cli.tables import format_status

RECORD_GROUPS = [
    build_record_group("crew-a", 100.0),
    build_record_group("crew-b", 500.0),
]


def test_gap_is_virtual_time_difference_of_waiting_teams():
    idle = build_record_group("crew-c", 9000.0, waiting=False, agent="a2")
    agents = [build_agent("a1", RECORD_GROUPS), build_agent("a2", [idle])]
    status = combine_replies({"c1": build_status(agents)})
    assert status.services[0].gap_ms == pytest.approx(500 / 2 - 100)


def test_reply_with_older_term_is_not_used_for_the_leader():
    isolated = build_status([build_agent("a1", [], age_ms=60_000)], 1, "c1")
    current = build_status([build_agent("a1", RECORD_GROUPS)], 2, "c2")
    failure = CallFailure("c3", "no answer in time", True)
    status = combine_replies({"c1": isolated, "c2": current, "c3": failure})
    assert status.leader == "c2"
    assert status.processes[0].report_age_ms == 10
    assert [replica.reachable for replica in status.replicas] == [True, True, False]


def test_text_and_json_contain_the_same_gap():
    status = combine_replies({"c1": build_status([build_agent("a1", RECORD_GROUPS)])})
    document = json.loads(json.dumps(status.document()))
    assert document["services"][0]["gap_ms"] == pytest.approx(150)
    assert "service flor-llm: gap 150 ms" in format_status(status)
