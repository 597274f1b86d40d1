"""Tests of quarantines that outlive their evidence."""

import asyncio

import pytest
from gateway_builders import (
    BAD,
    IDENTITY,
    MINUTE_MS,
    SUBJECTS,
    CrashReportFleet,
    GatewayComponents,
    crashed_endpoint,
    make_call,
    make_copy,
    make_prompt_call,
    quarantined_fleet,
)

from bulrushbend.core.clock import ManualClock
from bulrushbend.wire.fleet_pb2 import CrashNote, QuarantineNote


def ask(fleet, name, other):
    fleet.reports[other].handle_note(CrashNote(is_request=True), name)


@SUBJECTS
@pytest.mark.parametrize("age_ms", [0.0, 30_000.0, 61_000.0, 100_000.0])
async def test_new_gateway_learns_a_quarantine_without_its_evidence(
    make_deadly, remaining_ms, age_ms
):
    # Guards against a rolling restart that forgets what crashes endpoints.
    clock = ManualClock(1e6)
    fleet = await quarantined_fleet(clock, make_deadly)
    known = fleet.components["g1"]
    await clock.advance(age_ms)
    for name, other in (("g3", "g1"), ("g4", "g3")):
        fleet.start(name, ["g1", "g2", "g3", "g4"])
        ask(fleet, name, other)
        fresh = fleet.components[name]
        assert remaining_ms(fresh) == pytest.approx(remaining_ms(known), abs=5.0)
        assert bool(fresh.quarantine.known) or bool(fresh.request_quarantine.known), (
            name
        )


async def test_one_trial_at_a_time_follows_a_quarantine_that_was_adopted():
    clock = ManualClock(1e6)
    fleet = await quarantined_fleet(clock, make_prompt_call)
    await clock.advance(MINUTE_MS + 1_000.0)
    fleet.start("g3", ["g1", "g2", "g3"])
    ask(fleet, "g3", "g1")
    quarantine = fleet.components["g3"].quarantine
    assert quarantine.remaining_ms(BAD, "r5") == 0.0
    assert quarantine.remaining_ms(BAD, "r6") > 0.0
    await fleet.reports["g3"].examine(
        crashed_endpoint("e3"), make_prompt_call("r5"), False
    )
    for components in fleet.components.values():
        assert components.quarantine.remaining_ms(BAD, "r7") > MINUTE_MS


@SUBJECTS
async def test_quarantine_does_not_last_longer_by_being_repeated(
    make_deadly, remaining_ms
):
    # Guards against gateways that prolong each other's quarantines.
    clock = ManualClock(1e6)
    fleet = await quarantined_fleet(clock, make_deadly)
    await clock.advance(MINUTE_MS / 2)
    before_ms = remaining_ms(fleet.components["g2"])
    messages = [
        known.message(clock.now_ms())
        for name in ("g1", "g2")
        for known in (
            *fleet.components[name].quarantine.known,
            *fleet.components[name].request_quarantine.known,
        )
    ]
    await clock.advance(5_000.0)
    for _ in range(3):
        note = CrashNote(quarantines=messages)
        fleet.reports["g2"].handle_note(note, "g1")
        fleet.reports["g1"].handle_note(note, "g2")
    assert remaining_ms(fleet.components["g2"]) == before_ms - 5_000.0


async def test_response_ends_a_quarantine_at_gateways_that_adopted_it():
    # Guards against sound prompts that are refused as long as gateways remember.
    clock = ManualClock(1e6)
    fleet = await quarantined_fleet(clock, make_prompt_call)
    await clock.advance(MINUTE_MS + 1_000.0)
    fleet.start("g3", ["g1", "g2", "g3"])
    ask(fleet, "g3", "g1")
    fleet.reports["g3"].record_sound(make_prompt_call("r5"))
    for components in fleet.components.values():
        assert components.quarantine.remaining_ms(BAD, "r6") == 0.0
        assert components.quarantine.known == (), components.events.records


@SUBJECTS
async def test_gateway_that_missed_the_release_is_corrected(make_deadly, remaining_ms):
    clock = ManualClock(1e6)
    fleet = await quarantined_fleet(clock, make_deadly)
    deliver = fleet.reports["g2"].handle_note
    fleet.reports["g2"].handle_note = lambda note, sender: None
    await clock.advance(MINUTE_MS + 1_000.0)
    fleet.reports["g1"].record_sound(make_deadly("r5"))
    fleet.reports["g1"].record_complete(make_deadly("r5"))
    await asyncio.sleep(0.15)
    fleet.reports["g2"].handle_note = deliver
    assert fleet.components["g2"].quarantine.known or (
        fleet.components["g2"].request_quarantine.known
    )
    ask(fleet, "g1", "g2")
    for components in fleet.components.values():
        assert components.quarantine.known == ()
        assert components.request_quarantine.known == ()


async def test_own_evidence_decides_about_crashes_that_a_gateway_observed():
    # Guards against a wrong conclusion of one gateway that all others adopt.
    clock = ManualClock(1e6)
    fleet = await quarantined_fleet(clock, make_prompt_call)
    witness = GatewayComponents(clock=ManualClock(1e6 - 1_000.0), name="g5")
    for known in fleet.components["g1"].quarantine.known:
        witness.quarantine.adopt(known)
    assert witness.quarantine.known == ()


@pytest.mark.parametrize("size", [2, 6])
async def test_one_gateway_at_a_time_tries_a_request_after_its_quarantine(size):
    # Guards against a copy of a deadly request that each gateway sends on trial.
    names = [f"g{number}" for number in range(size)]
    clock = ManualClock(1e6)
    fleet = await quarantined_fleet(clock, make_copy, names)
    await clock.advance(MINUTE_MS)

    def admitted():
        return [
            name
            for name, components in fleet.components.items()
            if not components.request_quarantine.remaining_ms(IDENTITY, f"at-{name}")
        ]

    [first] = admitted()
    await fleet.reports[first].examine(crashed_endpoint("e3"), make_copy("r5"), False)
    assert admitted() == []
    for components in fleet.components.values():
        assert components.request_quarantine.remaining_ms(IDENTITY) > MINUTE_MS


async def test_next_gateway_tries_a_request_that_the_first_does_not_get():
    # Guards against a sound request that is refused until its callers find the first.
    names = [f"g{number}" for number in range(4)]
    clock = ManualClock(1e6)
    fleet = await quarantined_fleet(clock, make_copy, names)
    await clock.advance(MINUTE_MS)
    waits_ms = sorted(
        components.request_quarantine.remaining_ms(IDENTITY, "copy")
        for components in fleet.components.values()
    )
    assert waits_ms[0] == 0.0
    assert 0.0 < waits_ms[1] <= waits_ms[-1] <= 3_000.0
    await clock.advance(9_000.0)
    last = [
        components.request_quarantine.remaining_ms(IDENTITY, "copy")
        for components in fleet.components.values()
    ]
    assert last == [0.0] * 4


async def test_new_gateway_learns_a_conclusion_that_depended_on_the_order_of_reports():
    # Guards against a deadly request that a restarted gateway cannot tell from another.
    clock = ManualClock(1e6)
    fleet = await quarantined_fleet(clock, make_copy)
    sound = make_call(request_id="s1", body=b"sound")
    for components in fleet.components.values():
        for crash in components.request_quarantine.crashes:
            components.request_quarantine.record_crash(
                crash.endpoint, crash.crashed_ms, [(sound.identity, "s1")]
            )
        assert components.request_quarantine.remaining_ms(IDENTITY) > 0.0
        assert components.request_quarantine.remaining_ms(sound.identity) == 0.0
    fleet.start("g3", ["g1", "g2", "g3"])
    ask(fleet, "g3", "g1")
    fresh = fleet.components["g3"].request_quarantine
    assert fresh.remaining_ms(IDENTITY) > 0.0
    assert fresh.remaining_ms(sound.identity) == 0.0


@pytest.mark.parametrize(
    "note",
    [
        QuarantineNote(age_ms=61_000, duration_ms=60_000),
        QuarantineNote(digests=["bad"], age_ms=61_000),
        QuarantineNote(digests=["bad"], age_ms=61_000, duration_ms=1 << 63),
        QuarantineNote(identity=IDENTITY, age_ms=1 << 63, duration_ms=1 << 63),
    ],
)
async def test_invalid_quarantine_is_ignored(note):
    # Guards against one message after which all prompts are refused.
    fleet = CrashReportFleet("g1", "g2", clock=ManualClock(1e6))
    fleet.reports["g1"].handle_note(CrashNote(quarantines=[note]), "g2")
    components = fleet.components["g1"]
    assert components.quarantine.remaining_ms(["bad", "x"], "r1") == 0.0
    assert components.quarantine.known == components.request_quarantine.known == ()
