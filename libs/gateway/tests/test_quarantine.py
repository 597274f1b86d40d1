"""Tests of the evidence about prompts that crash endpoints."""

from gateway_builders import make_quarantine

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.quarantine import Suspect


class QuarantineFixture:
    """A quarantine whose crashes happen at set times."""

    def __init__(self):
        self.clock = ManualClock(1_000_000.0)
        self.quarantine = make_quarantine(self.clock)

    def crash(self, endpoint, **digests_by_request):
        suspects = [Suspect(name, tuple(d)) for name, d in digests_by_request.items()]
        return self.quarantine.record_crash(endpoint, self.clock.now_ms(), suspects)

    async def crash_twice(self, digest):
        self.crash("e1", **{f"{digest}-1": [digest]})
        await self.clock.advance(1_000.0)
        self.crash("e2", **{f"{digest}-2": [digest]})

    def is_quarantined(self, *digests):
        return self.quarantine.remaining_ms(digests) > 0.0


async def test_part_in_different_requests_at_two_crashes_is_quarantined():
    fixture = QuarantineFixture()
    fixture.crash("e1", r1=["aa", "bad"])
    await fixture.clock.advance(1_000.0)
    assert not fixture.is_quarantined("bad")
    fixture.crash("e2", r2=["bb", "bad"])
    assert fixture.is_quarantined("cc", "bad")
    assert not fixture.is_quarantined("aa", "bb")


async def test_part_with_which_a_response_began_is_never_suspected():
    # Guards against the beginning that all requests of a kind share being refused.
    fixture = QuarantineFixture()
    fixture.quarantine.record_sound(["common"])
    for number in range(5):
        fixture.crash(f"e{number}", **{f"r{number}": ["common", "bad"]})
        await fixture.clock.advance(1_000.0)
    assert fixture.is_quarantined("bad")
    assert not fixture.is_quarantined("common")


async def test_parts_beside_the_cause_are_not_quarantined():
    # Guards against sound requests that are refused since they share a rare part.
    fixture = QuarantineFixture()
    fixture.crash("e1", r1=["rare", "bad"], r2=["bad"])
    await fixture.clock.advance(1_000.0)
    fixture.crash("e2", r3=["rare", "bad"])
    assert fixture.is_quarantined("bad")
    assert not fixture.is_quarantined("rare")


async def test_parts_that_always_occur_together_are_refused_together():
    # Guards against sound requests that are refused since one part could be the cause.
    fixture = QuarantineFixture()
    fixture.crash("e1", r1=["rare", "bad"])
    await fixture.clock.advance(1_000.0)
    fixture.crash("e2", r2=["rare", "bad"])
    assert fixture.is_quarantined("rare", "bad")
    assert not fixture.is_quarantined("rare")
    fixture.quarantine.record_sound(["rare"])
    assert fixture.is_quarantined("bad")


async def test_part_that_was_chosen_wrongly_is_released():
    # Guards against a sound part that stays refused after the cause was found.
    fixture = QuarantineFixture()
    fixture.crash("e1", r1=["rare", "bad"], r2=["rare", "bad"], r3=["bad", "other"])
    fixture.quarantine.record_sound(["other"])
    await fixture.clock.advance(1_000.0)
    fixture.crash("e2", r4=["rare", "worse"], r5=["rare", "worse"])
    assert fixture.is_quarantined("rare")
    await fixture.clock.advance(1_000.0)
    fixture.crash("e3", r6=["bad"], r7=["worse"])
    await fixture.clock.advance(1_000.0)
    fixture.crash("e4", r8=["bad"], r9=["worse"])
    assert fixture.is_quarantined("bad")
    assert fixture.is_quarantined("worse")
    assert not fixture.is_quarantined("rare")


async def test_one_request_at_two_crashed_endpoints_is_no_proof():
    # Guards against a sound prompt that was repeated at another failing endpoint.
    fixture = QuarantineFixture()
    fixture.crash("e1", r1=["rare"])
    await fixture.clock.advance(1_000.0)
    fixture.crash("e2", r1=["rare"])
    assert not fixture.is_quarantined("rare")


async def test_endpoints_that_crash_together_count_once():
    # Guards against sound prompts that are suspected since a rack was lost.
    fixture = QuarantineFixture()
    for number in range(3):
        fixture.crash(f"e{number}", **{f"r{number}": ["rare"]})
        await fixture.clock.advance(50.0)
    assert not fixture.is_quarantined("rare")


async def test_crashes_in_quick_succession_are_not_one_fault():
    # Guards against a part that crashes all endpoints before it is quarantined.
    fixture = QuarantineFixture()
    for number in range(3):
        fixture.crash(f"e{number}", **{f"r{number}": ["bad"]})
        await fixture.clock.advance(150.0)
    assert fixture.is_quarantined("bad")


async def test_reports_of_several_gateways_about_one_crash_count_once():
    fixture = QuarantineFixture()
    assert fixture.crash("e1", r1=["rare"])
    await fixture.clock.advance(500.0)
    assert not fixture.crash("e1", r2=["rare"])
    assert not fixture.is_quarantined("rare")


async def test_note_that_was_read_late_reports_no_further_crash():
    # Guards against sound parts that a frozen gateway reports at a second crash.
    fixture = QuarantineFixture()
    fixture.crash("e1", r1=["rare"], r2=["rare"])
    await fixture.clock.advance(3_500.0)
    assert not fixture.crash("e1", r1=["rare"], r2=["rare"])
    assert not fixture.is_quarantined("rare")


async def test_restarted_endpoint_can_crash_again():
    fixture = QuarantineFixture()
    fixture.crash("e1", r1=["bad"])
    await fixture.clock.advance(4_000.0)
    fixture.crash("e1", r2=["bad"])
    assert fixture.is_quarantined("bad")


async def test_response_with_a_suspected_part_releases_it():
    fixture = QuarantineFixture()
    await fixture.crash_twice("bad")
    assert fixture.quarantine.record_sound(["bad", "aa"]) == ["bad"]
    assert not fixture.is_quarantined("bad")
    assert not fixture.quarantine.crashes
    assert fixture.quarantine.record_sound(["bad"]) == []


async def test_old_crashes_are_no_evidence():
    fixture = QuarantineFixture()
    fixture.crash("e1", r1=["rare"])
    await fixture.clock.advance(61_000.0)
    fixture.crash("e2", r2=["rare"])
    assert not fixture.is_quarantined("rare")


async def test_quarantine_ends_and_doubles_after_a_single_crash():
    # Guards against a part that crashes two endpoints after each quarantine.
    fixture = QuarantineFixture()
    await fixture.crash_twice("bad")
    await fixture.clock.advance(60_100.0)
    assert not fixture.is_quarantined("bad")
    fixture.crash("e3", r3=["bad"])
    assert fixture.is_quarantined("bad")
    await fixture.clock.advance(100_000.0)
    assert fixture.is_quarantined("bad")
    await fixture.clock.advance(30_000.0)
    assert not fixture.is_quarantined("bad")


async def test_memory_is_bounded():
    fixture = QuarantineFixture()
    for number in range(20_000):
        fixture.quarantine.record_sound([f"s{number}"])
    for number in range(1_000):
        names = {f"r{number}-{i}": [f"d{number}"] for i in range(30)}
        fixture.crash(f"e{number}", **names)
        await fixture.clock.advance(10.0)
    assert len(fixture.quarantine.unproven([f"s{n}" for n in range(20_000)])) > 10_000
    crashes = fixture.quarantine.crashes
    assert len(crashes) <= 64
    assert max(len(crash.suspects) for crash in crashes) <= 16


async def test_old_crash_reported_after_a_newer_one_is_no_evidence():
    # Guards against old crashes that gateways repeat to each other for ever.
    fixture = QuarantineFixture()
    now_ms = fixture.clock.now_ms()
    fixture.crash("e1", r1=["bad"])
    fixture.quarantine.record_crash("e2", now_ms - 59_000.0, [Suspect("r2", ("rare",))])
    await fixture.clock.advance(2_000.0)
    assert [crash.endpoint for crash in fixture.quarantine.crashes] == ["e1"]
    is_new = fixture.quarantine.record_crash(
        "e3", now_ms - 4_000_000.0, [Suspect("r3", ("bad",))]
    )
    assert not is_new
    assert not fixture.is_quarantined("bad")


class EstablishedPartFixture(QuarantineFixture):
    """A quarantine to which responses with the parts were known before crashes."""

    def __init__(self):
        super().__init__()
        for _ in range(5):
            self.quarantine.record_sound(["first", "bad"])
        for _ in range(20):
            self.quarantine.record_sound(["first"])

    async def crash_repeatedly(self, number, **digests_by_request):
        """Crash endpoints, one a second, a second after the latest response."""
        for index in range(number):
            await self.clock.advance(1_000.0)
            requests = {f"{n}-{index}": d for n, d in digests_by_request.items()}
            self.crash(f"e{index}", **requests)


async def test_part_that_was_answered_before_the_crashes_is_quarantined():
    # Guards against a part that becomes deadly while it is in use (review/2).
    fixture = EstablishedPartFixture()
    await fixture.crash_repeatedly(1, r=["first", "bad"])
    assert not fixture.is_quarantined("first", "bad")
    fixture.quarantine.record_sound(["first"])
    await fixture.crash_repeatedly(2, s=["first", "bad"])
    assert fixture.is_quarantined("first", "bad")
    assert not fixture.is_quarantined("first")


async def test_part_that_everybody_uses_is_not_chosen_before_a_rarer_one():
    # Guards against a route that is refused as all of its engines crashed at once.
    fixture = EstablishedPartFixture()
    await fixture.crash_repeatedly(3, r=["first", "bad"], v=["first"], w=["first"])
    assert fixture.is_quarantined("bad")
    assert not fixture.is_quarantined("first")


async def test_part_that_is_answered_between_crashes_is_not_quarantined():
    # Guards against a part in use that is refused as engines crash for other reasons.
    fixture = EstablishedPartFixture()
    for number in range(6):
        await fixture.crash_repeatedly(1, **{f"r{number}": ["first", "bad"]})
        await fixture.clock.advance(500.0)
        fixture.quarantine.record_sound(["first", "bad"])
    assert not fixture.is_quarantined("first", "bad")


async def test_lost_rack_is_no_evidence_against_parts_in_use():
    fixture = EstablishedPartFixture()
    for number in range(4):
        await fixture.clock.advance(150.0)
        fixture.crash(f"e{number}", **{f"r{number}": ["first", "bad"]})
    assert not fixture.is_quarantined("first", "bad")


async def test_response_that_began_before_a_crash_does_not_release_its_parts():
    # Guards against long responses from before the trouble that clear a deadly part.
    fixture = EstablishedPartFixture()
    began_ms = fixture.clock.now_ms()
    await fixture.crash_repeatedly(3, r=["bad"])
    fixture.quarantine.record_sound(["bad"], began_ms)
    assert fixture.is_quarantined("bad")
    fixture.quarantine.record_sound(["bad"])
    assert not fixture.is_quarantined("bad")


async def test_crashes_that_another_part_explains_do_not_count():
    # Guards against a part in use that waits beside a deadly one at each crash.
    fixture = EstablishedPartFixture()
    await fixture.crash_repeatedly(4, r=["first", "new"], v=["first", "bad"])
    assert fixture.is_quarantined("new")
    assert not fixture.is_quarantined("first", "bad")


async def test_one_request_at_a_time_is_sent_after_a_quarantine():
    # Guards against all requests that come back when a quarantine ends (review/5).
    fixture = QuarantineFixture()
    await fixture.crash_twice("bad")
    await fixture.clock.advance(60_100.0)
    assert fixture.quarantine.remaining_ms(["bad"], "r1") == 0.0
    assert fixture.quarantine.remaining_ms(["bad"], "r1") == 0.0
    assert fixture.quarantine.remaining_ms(["bad", "aa"], "r2") > 0.0
    assert fixture.quarantine.remaining_ms(["aa"], "r3") == 0.0
    fixture.quarantine.end_request("r1")
    assert fixture.quarantine.remaining_ms(["bad"], "r2") == 0.0
    fixture.crash("e3", r2=["bad", "aa"])
    assert fixture.quarantine.remaining_ms(["bad"], "r4") > 100_000.0
    await fixture.clock.advance(121_000.0)
    assert fixture.quarantine.remaining_ms(["bad"], "r5") == 0.0
    fixture.quarantine.record_sound(["bad"])
    assert fixture.quarantine.remaining_ms(["bad"], "r6") == 0.0


async def test_trial_without_a_result_ends():
    # Guards against a part that stays refused as the caller of its trial left.
    fixture = QuarantineFixture()
    await fixture.crash_twice("bad")
    await fixture.clock.advance(60_100.0)
    assert fixture.quarantine.remaining_ms(["bad"], "r1") == 0.0
    await fixture.clock.advance(10_100.0)
    assert fixture.quarantine.remaining_ms(["bad"], "r2") == 0.0


async def test_part_at_endpoints_that_crash_together_is_sent_once_at_a_time():
    # Guards against a burst that crashes all engines twice (soak, seed 3003).
    fixture = QuarantineFixture()
    for number in range(2):
        fixture.crash(f"e{number}", **{f"r{number}": ["bad"]})
        await fixture.clock.advance(10.0)
    assert fixture.quarantine.remaining_ms(["bad"], "r3") == 0.0
    assert fixture.quarantine.remaining_ms(["bad"], "r4") > 0.0
    fixture.quarantine.record_sound(["bad"])
    assert fixture.quarantine.remaining_ms(["bad"], "r4") == 0.0
