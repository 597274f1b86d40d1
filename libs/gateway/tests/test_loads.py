import math

import pytest
from gateway_builders import begin
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.call import PromptPart
from bulrushbend.gateway.loads import REPORT_TTL_MS, Load, LoadView
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex
from bulrushbend.wire.fleet_pb2 import LoadReport

PARTS = (PromptPart("p1", 500), PromptPart("p2", 4000))


def make_view(name="g1", clock=None, incarnation=1):
    return LoadView(name, incarnation, clock or ManualClock(), PrefixCacheIndex())


def test_loads_of_all_gateways_are_summed():
    clock = ManualClock()
    first, second = make_view("g1", clock), make_view("g2", clock)
    begin(first, "e1", "crew-a", 700, 10)
    begin(second, "e1", "crew-b", 300, 10)
    first.handle_report(second.report())
    assert first.total("e1") == Load(2, 1000)
    assert first.own("e1") == Load(1, 700)
    second.end_prefill("e1", 300)
    second.end("e1")
    first.handle_report(second.report())
    assert first.total("e1") == Load(1, 700)


async def test_load_of_a_silent_gateway_expires():
    # Guards against an endpoint that appears full forever after a gateway crash.
    clock = ManualClock()
    first, second = make_view("g1", clock), make_view("g2", clock)
    begin(second, "e1", "crew-b", 300, 10)
    first.handle_report(second.report())
    await clock.advance(REPORT_TTL_MS + 1)
    assert first.total("e1") == Load()


def test_late_and_repeated_reports_are_ignored():
    first, second = make_view("g1"), make_view("g2")
    old = second.report()
    begin(second, "e1", "crew-b", 300, 10)
    new = second.report()
    for report in (new, old, new):
        first.handle_report(report)
    assert first.total("e1") == Load(1, 300)
    assert first.pop_charges() == []


async def test_gateway_that_starts_after_its_clock_was_set_back_is_heard():
    # Guards against a gateway whose load nobody counts until it starts again.
    clock = ManualClock()
    first, ended = make_view("g1", clock), make_view("g2", clock, incarnation=9)
    begin(ended, "e1", "crew-b", 300, 10)
    first.handle_report(ended.report())
    started = make_view("g2", clock, incarnation=5)
    begin(started, "e1", "crew-b", 700, 10)
    await clock.advance(REPORT_TTL_MS + 1)
    assert first.total("e1") == Load()
    first.handle_report(started.report())
    assert first.total("e1") == Load(1, 700)
    first.handle_report(started.report())
    assert first.total("e1") == Load(1, 700)
    first.acknowledge_grant(4, "g2", 9)
    first.acknowledge_grant(2, "g2", 5)
    first.acknowledge_grant(1, "g2", 5)
    [mark] = first.report().grants
    assert (mark.incarnation, mark.serial) == (5, 2)


def test_peer_usage_is_charged_as_difference_of_reports():
    first, second = make_view("g1"), make_view("g2")
    first.handle_report(second.report())
    begin(second, "e1", "crew-b", 300, 40)
    first.handle_report(second.report())
    assert first.pop_charges() == [("crew-b", 40)]
    restarted = make_view("g2", incarnation=2)
    begin(restarted, "e1", "crew-b", 300, 5)
    first.handle_report(restarted.report())
    assert first.pop_charges() == []


def test_cached_prompts_are_recorded_although_one_report_is_lost():
    clock = ManualClock()
    prefix_cache = PrefixCacheIndex()
    first = LoadView("g1", 1, clock, prefix_cache)
    second = make_view("g2", clock)
    begin(second, "e1", "crew-b", 300, 10, PARTS)
    second.report()
    first.handle_report(second.report())
    assert prefix_cache.cached_tokens("e1", PARTS) == 4500


@pytest.mark.parametrize("level", [math.nan, math.inf, -math.inf])
def test_level_that_is_no_number_is_ignored(level):
    # Guards against teams that never yield, or always do, after a malformed report.
    view = make_view("g1")
    for name, reported in (("g2", level), ("g3", 5.0)):
        report = LoadReport(gateway=name, incarnation=1, sequence=1)
        report.waiting.add(service="llm", level=reported)
        view.handle_report(report)
    assert view.lowest_waiting_usage("llm") == 5.0


@pytest.mark.parametrize(("prompts", "parts"), [(1000, 4), (5, 1500), (1, 8000)])
def test_report_fits_in_a_datagram(prompts, parts):
    # Guards against reports that are never delivered, and load that is not counted.
    view = make_view("g1")
    for _ in range(3):
        for prompt in range(prompts):
            shared = [PromptPart(f"{prompt:06}{part:06}", 9) for part in range(parts)]
            begin(view, f"e{prompt}", f"crew-{prompt}", 300, 40, shared)
        assert len(view.report().SerializeToString()) <= 65_507


def test_newest_prompts_are_reported():
    # Guards against a report that is full of prompts which the last one contained.
    view = make_view("g1")
    for first in (0, 1000):
        for prompt in range(first, first + 1000):
            begin(view, "e1", "crew-a", 300, 40, [PromptPart(f"{prompt:040}", 9)])
        reported = [prompt.digests[0] for prompt in view.report().prompts]
        assert reported[-1] == f"{first + 999:040}"
        assert len(reported) >= 500
        assert reported == sorted(reported)


def test_least_recently_used_parts_are_evicted_first():
    prefix_cache = PrefixCacheIndex()
    prefix_cache.set_capacity("e1", 10_000)
    parts = [PromptPart(f"p{number}", 2500) for number in range(4)]
    for part in parts:
        prefix_cache.record("e1", [part])
    cached = [prefix_cache.cached_tokens("e1", [part]) for part in parts]
    assert cached == [0, 2500, 2500, 2500]
    assert list(prefix_cache.longest_holders(parts[:1], 8)) == []


def test_own_tokens_of_requests_evict_shared_parts():
    # Guards against prompts that are placed where their prefix was evicted by requests
    # that share nothing.
    prefix_cache = PrefixCacheIndex()
    prefix_cache.set_capacity("e1", 10_000)
    prefix_cache.record("e1", [PARTS[0]], own_tokens=2000)
    prefix_cache.record("e1", [PARTS[1]], own_tokens=2000)
    assert prefix_cache.cached_tokens("e1", PARTS[:1]) == 500
    prefix_cache.record("e1", [], own_tokens=600)
    assert prefix_cache.cached_tokens("e1", PARTS[:1]) == 0
    assert prefix_cache.cached_tokens("e1", PARTS[1:]) == 4000


def test_prefix_is_evicted_from_its_end():
    # Guards against parts that count as cached without the parts before them.
    prefix_cache = PrefixCacheIndex()
    prefix_cache.set_capacity("e1", 10_000)
    prefix_cache.record("e1", PARTS)
    prefix_cache.record("e1", [PromptPart("p3", 5000)])
    assert prefix_cache.longest_holders(PARTS, 8) == {"e1": 500}


def test_restarted_endpoint_has_nothing_cached():
    prefix_cache = PrefixCacheIndex()
    prefix_cache.record("e1", PARTS)
    prefix_cache.remove("e1")
    assert prefix_cache.cached_tokens("e1", PARTS) == 0


def test_partial_report_changes_only_the_loads_that_it_contains():
    first, second = make_view("g1"), make_view("g2")
    begin(second, "e1", "crew-b", 300, 10)
    begin(second, "e2", "crew-b", 500, 10)
    first.handle_report(second.report(is_brief=True))
    second.end_prefill("e1", 300)
    second.report(is_brief=True, is_partial=True)
    # The change is contained in the report after the lost one too.
    begin(second, "e3", "crew-b", 200, 10)
    assert first.handle_report(second.report(is_brief=True, is_partial=True))
    loads = [first.total(endpoint) for endpoint in ("e1", "e2", "e3")]
    assert loads == [Load(1, 0), Load(1, 500), Load(1, 200)]
    second.end("e1")
    first.handle_report(second.report(is_brief=True, is_partial=True))
    assert first.total("e1") == Load()
    assert first.total("e2") == Load(1, 500)


def test_partial_report_of_a_restarted_gateway_replaces_its_loads():
    # Guards against loads of an earlier incarnation that count forever.
    first, second = make_view("g1"), make_view("g2")
    begin(second, "e1", "crew-b", 300, 10)
    first.handle_report(second.report())
    restarted = make_view("g2", incarnation=2)
    begin(restarted, "e2", "crew-b", 200, 10)
    first.handle_report(restarted.report(is_brief=True, is_partial=True))
    assert first.total("e1") == Load()
    assert first.total("e2") == Load(1, 200)


@given(st.data())
@settings(max_examples=60, deadline=None)
def test_totals_equal_the_sum_of_all_reports(data):
    """Totals that are kept by difference drift from the sum of the loads."""
    clock = ManualClock()
    observer = make_view("g0", clock)
    gateways = [make_view(f"g{number}", clock) for number in (1, 2, 3)]
    running = {gateway: [] for gateway in (observer, *gateways)}
    for _ in range(data.draw(st.integers(1, 30))):
        gateway = data.draw(st.sampled_from([observer, *gateways]))
        if running[gateway] and data.draw(st.booleans()):
            endpoint, tokens = running[gateway].pop()
            gateway.end_prefill(endpoint, tokens)
            gateway.end(endpoint)
        else:
            endpoint = data.draw(st.sampled_from(["e1", "e2", "e3"]))
            tokens = data.draw(st.integers(1, 500))
            begin(gateway, endpoint, "crew-a", tokens, 10)
            running[gateway].append((endpoint, tokens))
        if gateway is not observer:
            is_partial = data.draw(st.booleans())
            report = gateway.report(is_brief=True, is_partial=is_partial)
            # A single lost report is made up for by the next one.
            observer.handle_report(report)
    for gateway in gateways:
        observer.handle_report(gateway.report(is_brief=True, is_partial=True))
    for endpoint in ("e1", "e2", "e3"):
        loads = [
            tokens
            for requests in running.values()
            for name, tokens in requests
            if name == endpoint
        ]
        assert observer.total(endpoint) == Load(len(loads), sum(loads))


def test_only_decreased_load_triggers_a_placement_pass():
    # Guards against a pass over the whole queue for each request that starts elsewhere.
    first, second = make_view("g1"), make_view("g2")
    assert first.handle_report(second.report())
    begin(second, "e1", "crew-b", 300, 10)
    assert not first.handle_report(second.report(is_brief=True))
    second.end_prefill("e1", 300)
    assert first.handle_report(second.report(is_brief=True))
    second.end("e1")
    assert first.handle_report(second.report(is_brief=True))
    assert not first.handle_report(second.report(is_brief=True))
