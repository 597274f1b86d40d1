import dataclasses
import math

from gateway_builders import SERVICE, GatewayComponents, make_call, make_endpoint

from bulrushbend.gateway.call import PromptPart
from bulrushbend.gateway.demand import demand_of

PROMPT = (("p1", 500), ("p2", 4800), ("own", 700))


def cache_parts(components, endpoint, *names):
    tokens = dict(PROMPT)
    components.prefix_cache.record(
        endpoint, [PromptPart(name, tokens[name]) for name in names]
    )


def test_request_is_placed_where_its_prefix_is_cached():
    # Guards against shared parts that are processed again at every endpoint.
    components = GatewayComponents(*(make_endpoint(f"e{i}") for i in range(5)))
    cache_parts(components, "e3", "p1", "p2")
    choice = components.choose(make_call(tokens=6000, prefix=PROMPT))
    assert choice.endpoint.id == "e3"
    assert choice.unread_tokens == 700
    assert choice.source is None


def test_endpoint_fetches_cached_parts_from_a_busy_one():
    components = GatewayComponents(
        make_endpoint("e1", "10.0.0.1:1"), make_endpoint("e2", "10.0.0.2:1")
    )
    cache_parts(components, "e1", "p1", "p2")
    components.begin("e1", "crew-b", 30_000, 0)
    choice = components.choose(
        make_call(tokens=6000, prefix=PROMPT), remaining_wait=0.0
    )
    assert choice.endpoint.id == "e2"
    assert choice.source.address == "10.0.0.1:1"
    assert choice.unread_tokens == 700


def test_fresh_request_waits_for_the_holder_and_later_fetches():
    # Guards against copies of a prompt at every endpoint, and against requests that are
    # refused while other endpoints than the holder are idle.
    components = GatewayComponents(make_endpoint("e1"), make_endpoint("e2"))
    cache_parts(components, "e1", "p1", "p2")
    components.begin("e1", "crew-b", 4_000, 0)
    call = make_call(tokens=6000, prefix=PROMPT)
    assert components.choose(call, remaining_wait=1.0) is None
    for remaining_wait in (0.5, 0.2, 0.0):
        choice = components.choose(call, remaining_wait=remaining_wait)
        assert choice.endpoint.id == "e2"
        assert choice.source.id == "e1"


def test_cached_part_after_a_missing_part_does_not_count():
    components = GatewayComponents(make_endpoint("e1"))
    cache_parts(components, "e1", "p2")
    choice = components.choose(make_call(tokens=6000, prefix=PROMPT))
    assert choice.unread_tokens == 6000


def test_one_long_prompt_is_processed_at_a_time():
    # Guards against long pauses in the streams of an endpoint, which it causes while it
    # processes several long prompts.
    components = GatewayComponents(make_endpoint("e1"))
    components.begin("e1", "crew-b", 9000, 0)
    assert components.choose(make_call(tokens=9000)) is None
    components.loads.end_prefill("e1", 9000)
    assert components.choose(make_call(tokens=9000)).endpoint.id == "e1"


def test_small_prompts_are_processed_together():
    components = GatewayComponents(make_endpoint("e1"), unread_tokens=2048)
    components.begin("e1", "crew-b", 1000, 0)
    assert components.choose(make_call(tokens=1000)) is not None
    assert components.choose(make_call(tokens=1100)) is None


def test_endpoint_without_free_slots_is_not_chosen():
    components = GatewayComponents(make_endpoint("e1", slots=2))
    for _ in range(2):
        components.begin("e1", "crew-b", 0, 0)
    assert components.choose(make_call()) is None


def test_tried_endpoint_is_not_chosen_again():
    components = GatewayComponents(make_endpoint("e1"), make_endpoint("e2"))
    call = make_call()
    call.tried.add("e1")
    assert components.choose(call).endpoint.id == "e2"


def test_gateways_choose_the_same_endpoint_for_a_new_prompt():
    # Guards against a new prompt that is processed once for each gateway.
    names = [f"e{i}" for i in range(5)]
    first = GatewayComponents(*map(make_endpoint, names))
    second = GatewayComponents(*map(make_endpoint, reversed(names)))
    for number in range(20):
        prompt = ((f"p{number}", 4000), ("own", 10))
        chosen = {
            components.choose(make_call(tokens=4010, prefix=prompt)).endpoint.id
            for components in (first, second)
        }
        assert len(chosen) == 1


def test_failing_endpoint_is_avoided_for_a_growing_time():
    components = GatewayComponents(make_endpoint("e1"), make_endpoint("e2"))
    components.health.record_failure("e1", "reset")
    assert components.choose(make_call()).endpoint.id == "e2"
    components.clock._now_ms += 301
    usable = components.health.usable(components.source.endpoints)
    assert {endpoint.id for endpoint in usable} == {"e1", "e2"}


def test_at_most_half_of_the_endpoints_are_avoided():
    # Guards against a fault of the gateway itself that excludes all endpoints.
    components = GatewayComponents(*(make_endpoint(f"e{i}") for i in range(4)))
    for number in range(4):
        components.health.record_failure(f"e{number}", "reset")
    assert len(components.health.usable(components.source.endpoints)) == 2


def test_long_prompt_waits_for_a_faster_endpoint():
    # Guards against pauses in the streams of a slow endpoint: in a benchmark, a long
    # prompt at an endpoint slower by a factor of 1.3 made a third of its streams late.
    components = GatewayComponents(
        make_endpoint("e1"), make_endpoint("e2"), make_endpoint("e3")
    )
    for name, gap_ms in (("e1", 28.0), ("e2", 21.0), ("e3", 21.0)):
        for _ in range(3):
            components.health.record_event_gaps(name, [gap_ms] * 9 + [200.0])
    components.begin("e2", tokens=3000)
    components.begin("e3", tokens=3000)
    assert components.choose(make_call(tokens=9000), remaining_wait=0.5) is None
    assert components.choose(make_call(tokens=500)).endpoint.id == "e1"


def test_few_events_and_small_differences_do_not_make_an_endpoint_slow():
    components = GatewayComponents(make_endpoint("e1"), make_endpoint("e2"))
    components.health.record_event_gaps("e1", [28.0] * 3)
    components.health.record_event_gaps("e1", [22.0] * 10)
    components.health.record_event_gaps("e2", [21.0] * 10)
    assert (
        components.health.relative_event_gaps(
            components.directory.of_service("flor-llm")
        )
        == {}
    )


def test_requests_are_skipped_only_if_they_fit_at_no_endpoint():
    # Guards against requests that a placement pass skips although they would fit.
    components = GatewayComponents(make_endpoint("e1"), make_endpoint("e2", slots=1))
    endpoints = components.directory.of_service(SERVICE)
    placer = components.placer

    def may_admit(tokens):
        queued_tokens = placer.min_queued_tokens(endpoints)
        demand = demand_of(make_call(tokens=tokens), 0.0)
        is_admissible = placer.may_admit(demand, queued_tokens)
        choice = components.choose(make_call(tokens=tokens))
        assert is_admissible == (choice is not None)
        return is_admissible

    assert placer.min_queued_tokens(endpoints) == 0
    assert may_admit(9000)
    components.begin("e1", tokens=1500)
    components.begin("e2", tokens=0)
    assert placer.min_queued_tokens(endpoints) == 1500
    assert may_admit(548)
    assert not may_admit(549)
    assert placer.has_room(1500)
    components.begin("e1", tokens=600)
    assert not placer.has_room(placer.min_queued_tokens(endpoints))
    components.begin("e1", tokens=0)
    assert placer.min_queued_tokens([]) == math.inf


def test_endpoint_is_avoided_until_its_backoff_ends():
    # Guards against an early return of `usable` that ignores avoided endpoints.
    components = GatewayComponents(make_endpoint("e1"), make_endpoint("e2"))
    endpoints = components.directory.of_service(SERVICE)
    assert list(components.health.usable(endpoints)) == list(endpoints)
    components.health.record_failure("e1", "silent")
    assert [e.id for e in components.health.usable(endpoints)] == ["e2"]


def test_idle_remote_endpoint_is_preferred_to_a_busy_near_one():
    # Guards against requests that wait in one data centre while another one is idle.
    components = GatewayComponents(
        make_endpoint("e1", data_centre="papantla"),
        make_endpoint("e2", data_centre="tecolutla"),
    )
    components.begin("e1", tokens=300)
    assert components.choose(make_call(tokens=6000)).endpoint.id == "e2"


def test_endpoint_near_the_requesting_gateway_is_preferred():
    # Guards against traffic between data centres for requests that any endpoint can
    # serve: nearness counts from the gateway of the caller, not from the coordinator.
    components = GatewayComponents(
        make_endpoint("e1", data_centre="papantla"),
        make_endpoint("e2", data_centre="tecolutla"),
    )
    demand = demand_of(make_call(), 0.0)
    for data_centre, expected in (("papantla", "e1"), ("tecolutla", "e2"), ("", "e1")):
        near = dataclasses.replace(demand, data_centre=data_centre)
        choice = components.placer.choose(near, components.source.endpoints, 1.0)
        assert choice.endpoint.id == expected
