import pytest

from bulrushbend.agent.backlog import Backlog
from bulrushbend.core.clock import ManualClock

LINK = object()


@pytest.fixture
def backlog():
    return Backlog(ManualClock(), lambda team, waiting: None)


def record_claim_end(backlog, token, **ending):
    ends = {"taken": False, "empty": False} | ending
    backlog.record_claim_end(LINK, "crew-a", token, **ends)


def test_update_that_overtakes_a_request_hides_no_other_request(backlog):
    # Otherwise a request would keep waiting although slots are free.
    backlog.update(LINK, "crew-a", 2, 0.0)
    token = backlog.claim(LINK, "crew-a")
    backlog.update(LINK, "crew-a", 1, 0.0)
    record_claim_end(backlog, token, taken=True)
    assert backlog.oldest_link("crew-a") is LINK


def test_delivered_request_is_subtracted_if_there_was_no_update(backlog):
    # Otherwise the agent would claim a request that it has already received.
    backlog.update(LINK, "crew-a", 1, 0.0)
    record_claim_end(backlog, backlog.claim(LINK, "crew-a"), taken=True)
    assert backlog.oldest_link("crew-a") is None
    assert not backlog.any_waiting


def test_request_is_not_claimed_twice_while_a_claim_is_in_flight(backlog):
    backlog.update(LINK, "crew-a", 1, 0.0)
    token = backlog.claim(LINK, "crew-a")
    assert backlog.oldest_link("crew-a") is None
    record_claim_end(backlog, token)
    assert backlog.oldest_link("crew-a") is LINK


def test_miss_stops_claims_until_the_next_update(backlog):
    backlog.update(LINK, "crew-a", 3, 0.0)
    record_claim_end(backlog, backlog.claim(LINK, "crew-a"), empty=True)
    assert backlog.oldest_link("crew-a") is None
    backlog.update(LINK, "crew-a", 1, 0.0)
    assert backlog.oldest_link("crew-a") is LINK
