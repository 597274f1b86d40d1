from gateway_builders import begin

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.call import PromptPart
from bulrushbend.gateway.holdings import PromptHoldings
from bulrushbend.gateway.loads import REPORT_LIFE_MS, Load, LoadView

PARTS = (PromptPart("p1", 500), PromptPart("p2", 4000))


def make_view(name="g1", clock=None, incarnation=1):
    return LoadView(name, incarnation, clock or ManualClock(), PromptHoldings())


def test_work_of_all_gateways_is_added_up():
    clock = ManualClock()
    first, second = make_view("g1", clock), make_view("g2", clock)
    begin(first, "e1", "crew-a", 700, 10)
    begin(second, "e1", "crew-b", 300, 10)
    first.learn(second.report())
    assert first.total("e1") == Load(2, 1000)
    assert first.own("e1") == Load(1, 700)
    second.read("e1", 300)
    second.end("e1")
    first.learn(second.report())
    assert first.total("e1") == Load(1, 700)


async def test_work_of_a_gateway_that_fell_silent_is_not_counted():
    # Guards against an endpoint that seems full for ever after a gateway died.
    clock = ManualClock()
    first, second = make_view("g1", clock), make_view("g2", clock)
    begin(second, "e1", "crew-b", 300, 10)
    first.learn(second.report())
    await clock.advance(REPORT_LIFE_MS + 1)
    assert first.total("e1") == Load()


def test_late_and_repeated_reports_change_nothing():
    first, second = make_view("g1"), make_view("g2")
    old = second.report()
    begin(second, "e1", "crew-b", 300, 10)
    new = second.report()
    for report in (new, old, new):
        first.learn(report)
    assert first.total("e1") == Load(1, 300)
    assert first.take_used() == []


def test_tokens_of_teams_are_learnt_as_differences():
    first, second = make_view("g1"), make_view("g2")
    first.learn(second.report())
    begin(second, "e1", "crew-b", 300, 40)
    first.learn(second.report())
    assert first.take_used() == [("crew-b", 40)]
    restarted = make_view("g2", incarnation=2)
    begin(restarted, "e1", "crew-b", 300, 5)
    first.learn(restarted.report())
    assert first.take_used() == []


def test_held_prompts_are_learnt_although_one_report_is_lost():
    clock = ManualClock()
    holdings = PromptHoldings()
    first = LoadView("g1", 1, clock, holdings)
    second = make_view("g2", clock)
    begin(second, "e1", "crew-b", 300, 10, PARTS)
    second.report()
    first.learn(second.report())
    assert holdings.held_tokens("e1", PARTS) == 4500


def test_least_recently_used_parts_are_dropped_first():
    holdings = PromptHoldings()
    holdings.set_memory("e1", 10_000)
    for number in range(3):
        holdings.give("e1", [PromptPart(f"p{number}", 2500)])
    assert holdings.held_tokens("e1", [PromptPart("p0", 2500)]) == 0
    assert holdings.held_tokens("e1", [PromptPart("p2", 2500)]) == 2500


def test_endpoint_that_starts_anew_holds_nothing():
    holdings = PromptHoldings()
    holdings.give("e1", PARTS)
    holdings.forget("e1")
    assert holdings.held_tokens("e1", PARTS) == 0


def test_only_less_work_is_news_for_what_waits():
    # Guards against a look at the whole queue for each request that starts somewhere.
    first, second = make_view("g1"), make_view("g2")
    assert first.learn(second.report())
    begin(second, "e1", "crew-b", 300, 10)
    assert not first.learn(second.report(is_brief=True))
    second.read("e1", 300)
    assert first.learn(second.report(is_brief=True))
    second.end("e1")
    assert first.learn(second.report(is_brief=True))
    assert not first.learn(second.report(is_brief=True))
