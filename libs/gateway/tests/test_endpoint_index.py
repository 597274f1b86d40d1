import math

import pytest
from gateway_builders import GatewayComponents, begin, make_call, make_endpoint
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushbend.gateway import placer
from bulrushbend.gateway.call import PromptPart
from bulrushbend.gateway.endpoint_index import EndpointIndex, KeyedNames
from bulrushbend.gateway.load_totals import Load, LoadTotals

NAMES = [f"n{number}" for number in range(6)]


@given(
    st.lists(
        st.tuples(st.sampled_from(NAMES), st.none() | st.integers(0, 5)), max_size=200
    ),
    st.sets(st.sampled_from(NAMES)),
    st.integers(1, 6),
)
def test_smallest_names_are_those_of_a_sorted_list(changes, skipped, count):
    """Outdated entries are returned, or current ones are lost."""
    ordered, keys = KeyedNames(), {}
    for name, key in changes:
        if key is None:
            ordered.remove(name)
            keys.pop(name, None)
        else:
            ordered.set(name, key)
            keys[name] = key
        assert ordered.min_key() == min(keys.values(), default=math.inf)
    for _ in range(2):
        found = ordered.smallest(count, frozenset(skipped))
        expected = sorted(key for name, key in keys.items() if name not in skipped)
        assert [keys[name] for name in found] == expected[:count]
        assert len(set(found)) == len(found)


def test_index_leaves_out_endpoints_without_free_slots():
    loads = LoadTotals()
    endpoints = [make_endpoint("e1", slots=1), make_endpoint("e2", slots=1)]
    index = EndpointIndex(endpoints, loads.loads, lambda _, load: load.running)
    loads.add_listener(index.mark_changed)
    loads.add("e1", 1, 500)
    assert [e.id for e in index.least_loaded("papantla", 4, 4, frozenset())] == ["e2"]
    assert index.min_unread_tokens() == 0
    loads.add("e2", 1, 700)
    assert index.min_unread_tokens() == math.inf
    loads.add("e1", -1, 0)
    assert index.min_unread_tokens() == 500
    assert loads.loads["e1"] == Load(0, 500)


@given(st.data())
@settings(max_examples=100, deadline=None)
def test_few_candidates_give_the_choice_that_all_endpoints_give(data):
    """The index hides the endpoint with the lowest cost from the choice."""
    centres = ["a", "b", "c"]
    endpoints = [
        make_endpoint(f"e{number}", slots=16, data_centre=centres[number % 3])
        for number in range(30)
    ]
    components = GatewayComponents(*endpoints)
    part = PromptPart("p1", 5_000)
    for holder in data.draw(st.sets(st.sampled_from(endpoints), max_size=3)):
        components.prefix_cache.record(holder.id, [part])
    for endpoint in endpoints:
        for _ in range(data.draw(st.integers(0, 3))):
            tokens = data.draw(st.sampled_from([0, 300, 4_000]))
            begin(components.loads, endpoint.id, "other", tokens, 0)
    call = make_call(tokens=6_000, prefix=(("p1", 5_000), ("own", 1_000)))
    chosen = components.choose(call)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(placer, "_NEAR_CANDIDATES", len(endpoints))
        patch.setattr(placer, "_REMOTE_CANDIDATES", len(endpoints))
        expected = components.choose(call)
    assert (chosen is None) == (expected is None)
    if chosen is not None:
        loads = components.loads
        assert loads.total(chosen.endpoint.id) == loads.total(expected.endpoint.id)
        assert chosen.unread_tokens == expected.unread_tokens
