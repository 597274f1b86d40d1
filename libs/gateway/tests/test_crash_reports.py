"""Tests of crash detection and of the notes between gateways."""

import asyncio
import time

from gateway_builders import (
    PROMPT,
    CrashReportFleet,
    ScriptedEndpoint,
    crashed_endpoint,
    make_call,
    make_endpoint,
    make_prompt_call,
)

from bulrushbend.gateway import crash_reports
from bulrushbend.gateway.crash_reports import _Candidate


async def test_suspects_of_a_crash_are_known_to_all_gateways():
    fleet = CrashReportFleet("g1", "g2", "g3")
    assert await fleet.reports["g1"].examine(
        crashed_endpoint(), make_prompt_call(), False
    )
    for name in fleet.reports:
        assert fleet.suspects(name) == {"aa", "bad"}


async def test_endpoint_that_accepts_connections_did_not_crash():
    # Guards against prompts that are suspected since an endpoint resets connections.
    fleet = CrashReportFleet("g1", "g2")
    async with ScriptedEndpoint(["hang"]).running() as endpoint:
        assert not await fleet.reports["g1"].examine(
            make_endpoint("e1", endpoint.address), make_prompt_call(), False
        )
    assert not fleet.sent


async def test_gateway_that_saw_a_response_corrects_the_one_that_suspects_its_prompt():
    # Guards against a quarantine of parts that are rare at the reporting gateway.
    fleet = CrashReportFleet("g1", "g2", "g3")
    fleet.components["g3"].quarantine.record_sound(["aa"])
    await fleet.reports["g1"].examine(crashed_endpoint(), make_prompt_call(), False)
    for name in fleet.reports:
        assert fleet.suspects(name) == {"bad"}


async def test_second_crash_quarantines_the_prompt_at_all_gateways():
    # Guards against requests that crash further endpoints through another gateway.
    fleet = CrashReportFleet("g1", "g2", "g3")
    await fleet.reports["g1"].examine(crashed_endpoint(), make_prompt_call("r1"), False)
    for components in fleet.components.values():
        components.quarantine.record_sound(["aa"])
        for crash in components.quarantine.crashes:
            crash.crashed_ms -= 1_000.0
    await fleet.reports["g2"].examine(
        crashed_endpoint("e2"), make_prompt_call("r2"), False
    )
    for components in fleet.components.values():
        assert components.quarantine.remaining_ms(["bad"]) > 0.0
        assert components.quarantine.remaining_ms(["aa"]) == 0.0


async def test_crash_during_responses_is_reported_without_suspects():
    fleet = CrashReportFleet("g1", "g2")
    endpoint = crashed_endpoint()
    assert not await fleet.reports["g1"].examine(endpoint, make_prompt_call(), True)
    await fleet.reports["g1"]._probes[endpoint.id]
    assert not fleet.suspects("g1")
    events = fleet.components["g1"].events.records
    assert events[-1]["kind"] == "endpoint-crashed"
    components = fleet.components["g1"]
    others = [crashed_endpoint(), make_endpoint("e2"), make_endpoint("e3")]
    assert components.health.avoided(others) == {"e1"}


async def test_replaced_endpoint_is_avoided_by_the_coordinator():
    # Guards against requests that are sent to the address of an ended endpoint.
    fleet = CrashReportFleet("g1", "g2")
    fleet.set_services("llm")
    for _ in range(5):
        fleet.reports["g1"].record_replaced("e1")
    assert fleet.sent == [("g1", "g2")]
    endpoints = [make_endpoint(name) for name in ("e1", "e2", "e3")]
    for components in fleet.components.values():
        assert components.health.avoided(endpoints) == {"e1"}


async def test_notes_stay_under_the_size_of_a_datagram():
    # Guards against crashes with many long prompts that no other gateway receives.
    fleet = CrashReportFleet("g1", "g2")
    reports = fleet.reports["g1"]
    sizes = []
    reports._send = lambda address, datagram: sizes.append(datagram.ByteSize())
    for number in range(16):
        name = f"{number:036}"
        prefix = tuple((f"{name}-{part:027}", 100) for part in range(12))
        call = make_call(prefix=prefix, request_id=name)
        candidate = _Candidate(call, has_begun=False, started_ms=0.0)
        reports._candidates.setdefault("e1", []).append(candidate)
    reports._report("e1", fleet.components["g1"].clock.now_ms())
    assert sizes
    assert max(sizes) < 8_192


async def test_parts_that_are_not_suspected_any_more_are_forgotten():
    # Guards against memory that grows with each crash.
    fleet = CrashReportFleet("g1", "g2")
    reports = fleet.reports["g1"]
    await reports.examine(crashed_endpoint(), make_prompt_call("r1"), False)
    for crash in fleet.components["g1"].quarantine.crashes:
        crash.crashed_ms -= 61_000.0
    other = make_call(prefix=(("cc", 100), ("own", 30)), request_id="r2")
    await reports.examine(crashed_endpoint("e2"), other, False)
    assert reports._reported == {"cc"}


def record_sound_parts(fleet):
    for components in fleet.components.values():
        components.quarantine.record_sound(["aa", "bad"])


async def end_probes(reports):
    await asyncio.gather(*reports._probes.values())


def make_copy(request_id):
    return make_call(prefix=PROMPT, request_id=request_id, body=b"crashes")


async def test_request_whose_parts_are_sound_is_quarantined_at_all_gateways():
    # Guards against a request that crashes endpoints and shares its parts with others.
    fleet = CrashReportFleet("g1", "g2", "g3")
    record_sound_parts(fleet)
    reports = fleet.reports
    assert not await reports["g1"].examine(crashed_endpoint(), make_copy("r1"), False)
    await end_probes(reports["g1"])
    for components in fleet.components.values():
        for crash in components.request_quarantine.crashes:
            crash.crashed_ms -= 1_000.0
    endpoint = crashed_endpoint("e2")
    assert await reports["g2"].examine(endpoint, make_copy("r2"), False)
    neighbour = make_call(prefix=PROMPT, request_id="r3", body=b"sound")
    for components in fleet.components.values():
        requests = components.request_quarantine
        assert requests.remaining_ms(make_copy("r4").identity) > 0.0
        assert requests.remaining_ms(neighbour.identity) == 0.0
        assert components.quarantine.remaining_ms(neighbour.shared_digests) == 0.0


async def test_copies_of_one_request_do_not_quarantine_its_parts():
    # Guards against sound requests that are refused for a part of a crashing one.
    fleet = CrashReportFleet("g1")
    quarantine = fleet.components["g1"].quarantine
    for number in range(3):
        call = make_copy(f"r{number}")
        await fleet.reports["g1"].examine(crashed_endpoint(f"e{number}"), call, False)
        for crash in quarantine.crashes:
            crash.crashed_ms -= 1_000.0
    assert quarantine.remaining_ms(call.shared_digests) == 0.0


async def test_request_that_responded_for_some_time_is_no_candidate():
    fleet = CrashReportFleet("g1", "g2")
    call = make_copy("r1")
    reports = fleet.reports["g1"]
    endpoint = crashed_endpoint()
    assert not await reports.examine(endpoint, call, True, may_be_cause=False)
    await end_probes(reports)
    assert not fleet.components["g1"].request_quarantine.is_candidate(call.identity)


async def test_latest_requests_of_a_crash_are_its_candidates():
    # Guards against a crashing request that is left out beside many that wait longer.
    fleet = CrashReportFleet("g1", "g2")
    reports = fleet.reports["g1"]
    record_sound_parts(fleet)
    for number in range(30):
        call = make_call(prefix=PROMPT, request_id=f"r{number}", body=b"%d" % number)
        await reports.examine(crashed_endpoint(), call, False, started_ms=number)
    await end_probes(reports)
    requests = fleet.components["g2"].request_quarantine
    (crash,) = requests.crashes
    assert {r for copies in crash.candidates.values() for r in copies} == {
        f"r{number}" for number in range(14, 30)
    }


async def test_complete_response_releases_a_request_at_all_gateways():
    # Guards against a popular request that is refused where nobody saw its response.
    fleet = CrashReportFleet("g1", "g2", "g3")
    record_sound_parts(fleet)
    call = make_copy("r1")
    await fleet.reports["g1"].examine(crashed_endpoint(), call, False)
    await end_probes(fleet.reports["g1"])
    fleet.reports["g2"].record_complete(make_copy("r2"))
    await asyncio.sleep(0.2)
    for components in fleet.components.values():
        assert not components.request_quarantine.is_candidate(call.identity)


def record_two_crashes(components, identity):
    now_ms = components.clock.now_ms()
    for number in range(2):
        components.request_quarantine.record_crash(
            f"e{number}", now_ms - 1_000.0 * number, [(identity, f"r{number}")]
        )


async def test_gateway_that_starts_learns_of_known_crashes_at_once():
    # Guards against a request that a new gateway sends before crashes are repeated.
    fleet = CrashReportFleet("g1", "g2")
    identity = make_copy("r1").identity
    record_two_crashes(fleet.components["g1"], identity)
    task = asyncio.create_task(fleet.reports["g2"].run())
    await asyncio.sleep(0.1)
    assert fleet.components["g2"].request_quarantine.remaining_ms(identity) > 0.0
    task.cancel()


async def test_gateway_that_was_frozen_asks_for_the_crashes_meanwhile(monkeypatch):
    # Guards against notes that were lost while the process did not read its socket.
    monkeypatch.setattr(crash_reports, "_REPEAT_INTERVAL_MS", 100.0)
    monkeypatch.setattr(crash_reports, "_STALL_MS", 50.0)
    fleet = CrashReportFleet("g1", "g2")
    identity = make_copy("r1").identity
    task = asyncio.create_task(fleet.reports["g2"].run())
    await asyncio.sleep(0.01)
    record_two_crashes(fleet.components["g1"], identity)
    time.sleep(0.3)
    await asyncio.sleep(0.01)
    assert fleet.components["g2"].request_quarantine.remaining_ms(identity) > 0.0
    task.cancel()


async def test_victim_of_two_crashes_by_a_prompt_is_not_quarantined():
    # Guards against a sound request whose retry met the next crash by a prompt part.
    fleet = CrashReportFleet("g1", "g2")
    victim = make_call(request_id="v1", body=b"sound")
    for components in fleet.components.values():
        components.quarantine.record_sound(["aa"])
    for number in (1, 2):
        for call in (victim, make_prompt_call(f"r{number}")):
            endpoint = crashed_endpoint(f"e{number}")
            await fleet.reports["g1"].examine(endpoint, call, False)
        await asyncio.sleep(0.25)
    for components in fleet.components.values():
        assert components.quarantine.remaining_ms(["bad"]) > 0.0
        assert components.request_quarantine.remaining_ms(victim.identity) == 0.0


async def test_request_whose_part_is_released_as_sound_is_quarantined_itself():
    # Guards against a request that crashes one more endpoint after such a release.
    fleet = CrashReportFleet("g1", "g2")
    for components in fleet.components.values():
        components.quarantine.record_sound(["aa"])
    for number in range(2):
        for call in (make_copy(f"r{number}"), make_prompt_call(f"s{number}")):
            endpoint = crashed_endpoint(f"e{number}")
            await fleet.reports["g1"].examine(endpoint, call, False)
        await asyncio.sleep(0.25)
    for components in fleet.components.values():
        assert components.quarantine.remaining_ms(["bad"]) > 0.0
    fleet.reports["g2"].record_sound(make_prompt_call("s3"))
    for components in fleet.components.values():
        assert components.quarantine.remaining_ms(["bad"]) == 0.0
        requests = components.request_quarantine
        assert requests.remaining_ms(make_copy("r3").identity) > 0.0


async def test_gateway_that_starts_learns_of_all_quarantined_requests():
    # Guards against a request that each new gateway sends as others crashed later.
    fleet = CrashReportFleet("g1", "g2")
    requests = fleet.components["g1"].request_quarantine
    now_ms = fleet.components["g1"].clock.now_ms()
    identities = [f"identity-{number}" for number in range(8)]
    for number, identity in enumerate(identities):
        for copy in range(2):
            crashed_ms = now_ms - 20_000.0 + 2_500.0 * number + 1_000.0 * copy
            crashed = [(identity, f"r{number}-{copy}")]
            requests.record_crash(f"e{number}-{copy}", crashed_ms, crashed)
    assert requests.active == len(identities)
    task = asyncio.create_task(fleet.reports["g2"].run())
    await asyncio.sleep(0.1)
    task.cancel()
    learned = fleet.components["g2"].request_quarantine
    assert [i for i in identities if learned.remaining_ms(i) == 0.0] == []


async def test_gateway_that_starts_later_learns_of_known_crashes(monkeypatch):
    # Guards against evidence that is lost as all gateways restart (soak, seed 7010).
    monkeypatch.setattr(crash_reports, "_REPEAT_INTERVAL_MS", 50.0)
    monkeypatch.setattr(crash_reports, "_REPEAT_RECIPIENTS", 1)
    names = [f"g{number}" for number in range(8)]
    fleet = CrashReportFleet(*names)
    everybody = fleet.coordinators[0]
    everybody.set_peers({name: name for name in names[1:7]})
    task = asyncio.create_task(fleet.reports["g0"].run())
    await asyncio.sleep(0.02)
    identity = make_copy("r1").identity
    record_two_crashes(fleet.components["g0"], identity)
    everybody.set_peers({name: name for name in names[1:]})
    await asyncio.sleep(0.06)
    task.cancel()
    assert fleet.components["g7"].request_quarantine.remaining_ms(identity) > 0.0


async def test_gateway_that_stops_hands_over_what_it_knows():
    # Guards against evidence of a gateway that stops before it repeats it.
    fleet = CrashReportFleet("g1", "g2", "g3")
    identity = make_copy("r1").identity
    record_two_crashes(fleet.components["g1"], identity)
    fleet.reports["g1"].hand_over()
    for name in ("g2", "g3"):
        requests = fleet.components[name].request_quarantine
        assert requests.remaining_ms(identity) > 0.0


async def test_correction_of_older_responses_does_not_release_a_part():
    # Guards against gateways that clear a part of crashes that came later (review/2).
    fleet = CrashReportFleet("g1", "g2")
    for components in fleet.components.values():
        components.quarantine.record_sound(["aa", "bad"])
    await asyncio.sleep(0.05)
    for number in range(2):
        endpoint = crashed_endpoint(f"e{number}")
        call = make_prompt_call(f"r{number}")
        await fleet.reports["g1"].examine(endpoint, call, False)
        await end_probes(fleet.reports["g1"])
        for components in fleet.components.values():
            for crash in components.quarantine.crashes:
                crash.crashed_ms -= 10.0 if number else 20.0
    for components in fleet.components.values():
        assert len(components.quarantine.crashes) == 2
