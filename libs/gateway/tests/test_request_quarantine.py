"""Tests of the evidence about requests that crash endpoints."""

import pytest
from gateway_builders import make_request_quarantine

from bulrushbend.core.clock import ManualClock


class QuarantineFixture:
    """A quarantine whose crashes happen at set times."""

    def __init__(self):
        self.clock = ManualClock(1_000_000.0)
        self.explained = set()
        self.quarantine = make_request_quarantine(self.clock, self.explained)

    def crash(self, endpoint, **requests_by_identity):
        candidates = [
            (identity, request_id)
            for identity, requests in requests_by_identity.items()
            for request_id in requests.split()
        ]
        return self.quarantine.record_crash(endpoint, self.clock.now_ms(), candidates)

    def quarantined(self, *identities):
        return {name for name in identities if self.quarantine.remaining_ms(name) > 0.0}


@pytest.fixture
def fixture():
    return QuarantineFixture()


async def test_request_that_crashes_two_endpoints_is_quarantined(fixture):
    fixture.crash("e1", bad="r1", other="s1")
    assert not fixture.quarantined("bad", "other")
    await fixture.clock.advance(1_000.0)
    fixture.crash("e2", bad="r2")
    assert fixture.quarantined("bad", "other") == {"bad"}


async def test_popular_request_at_each_crash_is_not_quarantined(fixture):
    # Guards against a lookup that many callers send being refused.
    for number in range(5):
        fixture.crash(f"e{number}", lookup=f"s{number}", bad=f"r{number}")
        fixture.quarantine.record_complete("lookup")
        await fixture.clock.advance(1_000.0)
    assert fixture.quarantined("lookup", "bad") == {"bad"}


async def test_requests_that_cannot_be_told_apart_need_a_third_crash(fixture):
    # Guards against a sound request that was beside the cause at both endpoints.
    for number in range(2):
        fixture.crash(f"e{number}", bad=f"r{number}", sound=f"s{number}")
        await fixture.clock.advance(1_000.0)
    assert not fixture.quarantined("bad", "sound")
    fixture.crash("e2", bad="r2")
    assert fixture.quarantined("bad", "sound") == {"bad"}


async def test_inseparable_requests_are_quarantined_after_the_third_crash(fixture):
    # Guards against endpoints that crash for ever since the cause is never alone.
    for number in range(3):
        fixture.crash(f"e{number}", bad=f"r{number}", sound=f"s{number}")
        await fixture.clock.advance(1_000.0)
    assert fixture.quarantined("bad", "sound") == {"bad", "sound"}


async def test_request_that_was_chosen_wrongly_is_released(fixture):
    # Guards against a sound request that stays refused after the cause was found.
    fixture.crash("e0", sound="s0", bad="r0")
    await fixture.clock.advance(1_000.0)
    fixture.crash("e1", sound="s1", worse="w1")
    assert fixture.quarantined("sound") == {"sound"}
    for number in range(2, 4):
        await fixture.clock.advance(1_000.0)
        fixture.crash(f"e{number}", bad=f"r{number}")
        await fixture.clock.advance(1_000.0)
        fixture.crash(f"f{number}", worse=f"w{number}")
    assert fixture.quarantined("sound", "bad", "worse") == {"bad", "worse"}


async def test_request_at_crashes_with_a_known_cause_is_released(fixture):
    # Guards against sound requests that are refused since a prompt crashed endpoints.
    for number in range(2):
        fixture.crash(f"e{number}", sound="s")
        await fixture.clock.advance(1_000.0)
    assert fixture.quarantined("sound") == {"sound"}
    fixture.explained.add("e1")
    fixture.quarantine.evaluate()
    assert fixture.quarantined("sound") == {"sound"}
    fixture.explained.add("e0")
    fixture.quarantine.evaluate()
    assert not fixture.quarantined("sound")


async def test_complete_response_ends_the_quarantine(fixture):
    for number in range(2):
        fixture.crash(f"e{number}", bad=f"r{number}")
        await fixture.clock.advance(1_000.0)
    assert fixture.quarantine.record_complete("bad")
    assert not fixture.quarantined("bad")
    assert not fixture.quarantine.record_complete("bad")


async def test_crash_before_a_complete_response_is_no_evidence(fixture):
    # Guards against a sound request that a late note makes suspected again.
    crashed_ms = fixture.clock.now_ms()
    fixture.crash("e1", sound="s1")
    await fixture.clock.advance(500.0)
    fixture.quarantine.record_complete("sound")
    completed = fixture.quarantine.record_crash("e1", crashed_ms, [("sound", "s1")])
    assert completed == ["sound"]
    await fixture.clock.advance(500.0)
    fixture.crash("e2", sound="s2")
    assert not fixture.quarantined("sound")


async def test_endpoints_that_crash_together_count_once(fixture):
    # Guards against a popular request that is refused since a rack was lost.
    for number in range(4):
        fixture.crash(f"e{number}", lookup=f"s{number}")
        await fixture.clock.advance(20.0)
        fixture.crash(f"f{number}", **{f"other{number}": f"r{number}"})
        await fixture.clock.advance(20.0)
    assert not fixture.quarantined("lookup")


async def test_lookup_at_all_endpoints_of_a_lost_vm_is_released_by_another_copy(
    fixture,
):
    # Guards against a popular request that stays refused since a VM was lost.
    for number in range(2):
        fixture.crash(f"e{number}", lookup=f"s{number}")
        await fixture.clock.advance(50.0)
    assert fixture.quarantined("lookup") == {"lookup"}
    fixture.quarantine.record_complete("lookup")
    fixture.crash("e2", lookup="s2")
    assert not fixture.quarantined("lookup")


async def test_request_at_each_of_several_crashes_at_once_is_quarantined(fixture):
    # Guards against copies that are sent together and crash an endpoint each.
    for number in range(2):
        fixture.crash(f"e{number}", bad=f"r{number}")
        await fixture.clock.advance(60.0)
    assert fixture.quarantined("bad") == {"bad"}


async def test_retry_that_crashes_its_endpoint_at_once_is_another_fault(fixture):
    # Guards against a retry that follows too quickly to count.
    fixture.crash("e1", bad="r1")
    await fixture.clock.advance(50.0)
    fixture.crash("e2", bad="r1")
    assert fixture.quarantined("bad") == {"bad"}


async def test_reports_of_several_gateways_about_one_crash_count_once(fixture):
    fixture.crash("e1", bad="r1")
    await fixture.clock.advance(500.0)
    fixture.crash("e1", bad="r2")
    assert not fixture.quarantined("bad")


async def test_note_that_was_read_late_reports_no_further_crash(fixture):
    # Guards against a sound request that a frozen gateway reports at a second crash.
    fixture.crash("e1", sound="s1", other="r1")
    await fixture.clock.advance(3_500.0)
    fixture.crash("e1", sound="s1")
    assert not fixture.quarantined("sound")
    assert len(fixture.quarantine.crashes) == 1


async def test_crash_of_the_same_endpoint_is_not_an_earlier_one(fixture):
    # Guards against a first victim that loses its retry since a copy was beside it.
    fixture.crash("e1", sound="s1")
    assert fixture.quarantine.is_candidate("sound")
    assert not fixture.quarantine.is_candidate("sound", except_endpoint="e1")


async def test_old_crashes_are_no_evidence(fixture):
    fixture.crash("e1", bad="r1")
    await fixture.clock.advance(61_000.0)
    fixture.crash("e2", bad="r2")
    assert not fixture.quarantined("bad")


async def test_quarantine_ends_and_doubles_after_a_single_crash(fixture):
    # Guards against a request that crashes two endpoints after each quarantine.
    for number in range(2):
        fixture.crash(f"e{number}", bad=f"r{number}")
        await fixture.clock.advance(1_000.0)
    await fixture.clock.advance(60_100.0)
    assert not fixture.quarantined("bad")
    fixture.crash("e3", bad="r3")
    await fixture.clock.advance(100_000.0)
    assert fixture.quarantined("bad")
    await fixture.clock.advance(30_000.0)
    assert not fixture.quarantined("bad")


async def test_crashes_that_led_to_a_quarantine_are_repeated_first(fixture):
    # Guards against a quarantine that a new gateway does not learn of.
    for number in range(2):
        fixture.crash(f"e{number}", bad=f"r{number}")
        await fixture.clock.advance(1_000.0)
    for number in range(20):
        fixture.crash(f"f{number}", **{f"s{number}": "s"})
    last = [crash.endpoint for crash in fixture.quarantine.crashes[-2:]]
    assert last == ["e0", "e1"]


async def test_memory_is_bounded(fixture):
    for number in range(1_000):
        names = {f"d{number % 400}-{i}": f"r{number}" for i in range(40)}
        fixture.crash(f"e{number}", **names)
        fixture.quarantine.record_complete(f"d{number}-0")
        await fixture.clock.advance(10.0)
    crashes = fixture.quarantine.crashes
    assert len(crashes) <= 64
    assert max(len(crash.candidates) for crash in crashes) <= 32
    assert fixture.quarantine.active <= 256
    await fixture.clock.advance(7_200_000.0)
    assert not fixture.quarantine.has_candidates


@pytest.mark.parametrize("order", [(2, 0, 1), (0, 1, 2)], ids=["first", "last"])
async def test_popular_request_is_not_quarantined_when_a_rack_is_lost(fixture, order):
    # Guards against a verdict that depends on when the crash without it is reported.
    crashes = [{"lookup": "s1"}, {"lookup": "s2"}, {"other": "s3"}]
    for number in order:
        fixture.crash(f"e{number}", **crashes[number])
        await fixture.clock.advance(20.0)
    assert not fixture.quarantined("lookup", "other")


async def test_popular_request_is_not_quarantined_beside_a_crash_of_an_idle_endpoint(
    fixture,
):
    # Guards against a lost rack of which one endpoint had no candidates.
    fixture.crash("e0")
    fixture.crash("e1", lookup="s1")
    await fixture.clock.advance(20.0)
    fixture.crash("e2", lookup="s2")
    assert not fixture.quarantined("lookup")


async def test_cause_of_simultaneous_crashes_needs_one_crash_after_its_quarantine(
    fixture,
):
    # Guards against a release by a crash that is long after the evidence.
    fixture.crash("e0", bad="r1")
    fixture.crash("e1", bad="r2")
    assert fixture.quarantined("bad")
    await fixture.clock.advance(61_000.0)
    fixture.crash("e2", other="s1")
    fixture.crash("e0", bad="r3")
    assert fixture.quarantined("bad")


async def test_response_that_began_before_the_crashes_does_not_release_a_request(
    fixture,
):
    # Guards against a correction by a gateway that has seen older responses only.
    began_ms = fixture.clock.now_ms()
    for number in range(2):
        await fixture.clock.advance(1_000.0)
        fixture.crash(f"e{number}", bad=f"r{number}")
    fixture.quarantine.record_complete("bad", began_ms)
    assert fixture.quarantine.remaining_ms("bad") > 0.0
    fixture.quarantine.record_complete("bad")
    assert fixture.quarantine.remaining_ms("bad") == 0.0


async def test_one_copy_at_a_time_is_sent_after_a_quarantine(fixture):
    # Guards against copies at all gateways that come back when a quarantine ends.
    for number in range(2):
        await fixture.clock.advance(1_000.0)
        fixture.crash(f"e{number}", bad=f"r{number}")
    await fixture.clock.advance(60_100.0)
    assert fixture.quarantine.remaining_ms("bad", "r3") == 0.0
    assert fixture.quarantine.remaining_ms("bad", "r4") > 0.0
    fixture.quarantine.end_request("r3")
    assert fixture.quarantine.remaining_ms("bad", "r4") == 0.0
