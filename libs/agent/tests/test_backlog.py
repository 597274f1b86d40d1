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


def test_numbers_that_overtake_a_request_hide_no_other_one(backlog):
    # Guards against a waiting request that stays forgotten beside free slots.
    backlog.update(LINK, "crew-a", 2, 0.0)
    token = backlog.claim(LINK, "crew-a")
    backlog.update(LINK, "crew-a", 1, 0.0)
    record_claim_end(backlog, token, taken=True)
    assert backlog.oldest_link("crew-a") is LINK


def test_request_is_counted_off_when_no_numbers_came(backlog):
    # Guards against claims for a request that was already handed over.
    backlog.update(LINK, "crew-a", 1, 0.0)
    record_claim_end(backlog, backlog.claim(LINK, "crew-a"), taken=True)
    assert backlog.oldest_link("crew-a") is None
    assert not backlog.any_waiting


def test_claims_on_the_way_are_not_sent_twice(backlog):
    backlog.update(LINK, "crew-a", 1, 0.0)
    token = backlog.claim(LINK, "crew-a")
    assert backlog.oldest_link("crew-a") is None
    record_claim_end(backlog, token)
    assert backlog.oldest_link("crew-a") is LINK


def test_miss_ends_claims_until_new_numbers(backlog):
    backlog.update(LINK, "crew-a", 3, 0.0)
    record_claim_end(backlog, backlog.claim(LINK, "crew-a"), empty=True)
    assert backlog.oldest_link("crew-a") is None
    backlog.update(LINK, "crew-a", 1, 0.0)
    assert backlog.oldest_link("crew-a") is LINK
