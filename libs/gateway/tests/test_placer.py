import math

from gateway_builders import SERVICE, Parts, make_call, make_endpoint

from bulrushbend.gateway.call import PromptPart

PROMPT = (("p1", 500), ("p2", 4800), ("own", 700))


def cache_parts(parts, endpoint, *names):
    tokens = dict(PROMPT)
    parts.prefix_cache.record(
        endpoint, [PromptPart(name, tokens[name]) for name in names]
    )


def test_request_is_placed_where_its_prefix_is_cached():
    # Guards against shared parts that are processed again at every endpoint.
    parts = Parts(*(make_endpoint(f"e{i}") for i in range(5)))
    cache_parts(parts, "e3", "p1", "p2")
    choice = parts.choose(make_call(tokens=6000, prefix=PROMPT))
    assert choice.endpoint.id == "e3"
    assert choice.unread_tokens == 700
    assert choice.source is None


def test_endpoint_fetches_cached_parts_from_a_busy_one():
    parts = Parts(make_endpoint("e1", "10.0.0.1:1"), make_endpoint("e2", "10.0.0.2:1"))
    cache_parts(parts, "e1", "p1", "p2")
    parts.begin("e1", "crew-b", 30_000, 0)
    choice = parts.choose(make_call(tokens=6000, prefix=PROMPT), remaining_wait=0.0)
    assert choice.endpoint.id == "e2"
    assert choice.source.address == "10.0.0.1:1"
    assert choice.unread_tokens == 700


def test_cached_part_after_a_missing_part_does_not_count():
    parts = Parts(make_endpoint("e1"))
    cache_parts(parts, "e1", "p2")
    choice = parts.choose(make_call(tokens=6000, prefix=PROMPT))
    assert choice.unread_tokens == 6000


def test_one_long_prompt_is_processed_at_a_time():
    # Guards against long pauses in the streams of an endpoint, which it causes while it
    # processes several long prompts.
    parts = Parts(make_endpoint("e1"))
    parts.begin("e1", "crew-b", 9000, 0)
    assert parts.choose(make_call(tokens=9000)) is None
    parts.loads.end_prefill("e1", 9000)
    assert parts.choose(make_call(tokens=9000)).endpoint.id == "e1"


def test_small_prompts_are_processed_together():
    parts = Parts(make_endpoint("e1"), unread_tokens=2048)
    parts.begin("e1", "crew-b", 1000, 0)
    assert parts.choose(make_call(tokens=1000)) is not None
    assert parts.choose(make_call(tokens=1100)) is None


def test_endpoint_without_free_slots_is_not_chosen():
    parts = Parts(make_endpoint("e1", slots=2))
    for _ in range(2):
        parts.begin("e1", "crew-b", 0, 0)
    assert parts.choose(make_call()) is None


def test_tried_endpoint_is_not_chosen_again():
    parts = Parts(make_endpoint("e1"), make_endpoint("e2"))
    call = make_call()
    call.tried.add("e1")
    assert parts.choose(call).endpoint.id == "e2"


def test_gateways_choose_the_same_endpoint_for_a_new_prompt():
    # Guards against a new prompt that is processed once for each gateway.
    names = [f"e{i}" for i in range(5)]
    first = Parts(*map(make_endpoint, names))
    second = Parts(*map(make_endpoint, reversed(names)))
    for number in range(20):
        prompt = ((f"p{number}", 4000), ("own", 10))
        chosen = {
            parts.choose(make_call(tokens=4010, prefix=prompt)).endpoint.id
            for parts in (first, second)
        }
        assert len(chosen) == 1


def test_failing_endpoint_is_avoided_for_a_growing_time():
    parts = Parts(make_endpoint("e1"), make_endpoint("e2"))
    parts.health.record_failure("e1", "reset")
    assert parts.choose(make_call()).endpoint.id == "e2"
    parts.clock._now_ms += 301
    usable = parts.health.usable(parts.source.endpoints)
    assert {endpoint.id for endpoint in usable} == {"e1", "e2"}


def test_at_most_half_of_the_endpoints_are_avoided():
    # Guards against a fault of the gateway itself that excludes all endpoints.
    parts = Parts(*(make_endpoint(f"e{i}") for i in range(4)))
    for number in range(4):
        parts.health.record_failure(f"e{number}", "reset")
    assert len(parts.health.usable(parts.source.endpoints)) == 2


def test_long_prompt_waits_for_a_faster_endpoint():
    # Guards against pauses in the streams of a slow endpoint: in a benchmark, a long
    # prompt at an endpoint slower by a factor of 1.3 made a third of its streams late.
    parts = Parts(make_endpoint("e1"), make_endpoint("e2"), make_endpoint("e3"))
    for name, gap_ms in (("e1", 28.0), ("e2", 21.0), ("e3", 21.0)):
        for _ in range(3):
            parts.health.record_event_gaps(name, [gap_ms] * 9 + [200.0])
    parts.begin("e2", tokens=3000)
    parts.begin("e3", tokens=3000)
    assert parts.choose(make_call(tokens=9000), remaining_wait=0.5) is None
    assert parts.choose(make_call(tokens=500)).endpoint.id == "e1"


def test_few_events_and_small_differences_do_not_make_an_endpoint_slow():
    parts = Parts(make_endpoint("e1"), make_endpoint("e2"))
    parts.health.record_event_gaps("e1", [28.0] * 3)
    parts.health.record_event_gaps("e1", [22.0] * 10)
    parts.health.record_event_gaps("e2", [21.0] * 10)
    assert (
        parts.health.relative_event_gaps(parts.directory.of_service("flor-llm")) == {}
    )


def test_max_admissible_tokens_is_the_largest_prompt_that_fits():
    # Guards against requests that a placement pass skips although they would fit.
    parts = Parts(make_endpoint("e1"), make_endpoint("e2", slots=1))
    endpoints = parts.directory.of_service(SERVICE)
    assert parts.placer.max_admissible_tokens(endpoints) == math.inf
    parts.begin("e1", tokens=1500)
    parts.begin("e2", tokens=0)
    assert parts.placer.max_admissible_tokens(endpoints) == 548
    assert parts.choose(make_call(tokens=548)) is not None
    assert parts.choose(make_call(tokens=549)) is None
    parts.begin("e1", tokens=600)
    assert parts.placer.max_admissible_tokens(endpoints) <= 0


def test_endpoint_is_avoided_until_its_backoff_ends():
    # Guards against an early return of `usable` that ignores avoided endpoints.
    parts = Parts(make_endpoint("e1"), make_endpoint("e2"))
    endpoints = parts.directory.of_service(SERVICE)
    assert list(parts.health.usable(endpoints)) == list(endpoints)
    parts.health.record_failure("e1", "silent")
    assert [e.id for e in parts.health.usable(endpoints)] == ["e2"]
