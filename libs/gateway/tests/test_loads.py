from gateway_builders import begin

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.call import PromptPart
from bulrushbend.gateway.loads import REPORT_TTL_MS, Load, LoadView
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex

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


def test_least_recently_used_parts_are_evicted_first():
    prefix_cache = PrefixCacheIndex()
    prefix_cache.set_capacity("e1", 10_000)
    for number in range(3):
        prefix_cache.record("e1", [PromptPart(f"p{number}", 2500)])
    assert prefix_cache.cached_tokens("e1", [PromptPart("p0", 2500)]) == 0
    assert prefix_cache.cached_tokens("e1", [PromptPart("p2", 2500)]) == 2500


def test_restarted_endpoint_has_nothing_cached():
    prefix_cache = PrefixCacheIndex()
    prefix_cache.record("e1", PARTS)
    prefix_cache.remove("e1")
    assert prefix_cache.cached_tokens("e1", PARTS) == 0


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
