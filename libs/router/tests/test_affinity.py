import json

from tornado.httputil import HTTPHeaders

from bulrushbend.router.affinity import (
    LOOKAHEAD_REQUESTS,
    MAX_TIMES_PASSED_OVER,
    RecentPrefixes,
    choose_request,
    prefix_hashes,
)
from bulrushbend.router.request import CallerRequest


def make_request(number, prompt=""):
    return CallerRequest(
        request_id=f"req-{number}",
        team="crew-a",
        service="flor-llm",
        method="POST",
        path="/",
        headers=HTTPHeaders(),
        body=b"",
        idempotent=True,
        deadline_ms=0.0,
        prefix=prefix_hashes({"prompt": prompt}),
    )


def recent_of(prompt):
    recent_prefixes = RecentPrefixes()
    recent_prefixes.record(prefix_hashes({"prompt": prompt}))
    return recent_prefixes


def test_request_with_a_recent_prefix_is_preferred():
    waiting = [make_request(1, "b" * 500), make_request(2, "a" * 500)]
    assert choose_request(waiting, recent_of("a" * 400)) is waiting[1]
    assert choose_request(waiting, RecentPrefixes()) is waiting[0]


def test_deeper_prefix_wins_over_a_shared_system_prompt():
    system = "s" * 300
    waiting = [make_request(1, system + "x" * 900), make_request(2, system + "y" * 900)]
    assert choose_request(waiting, recent_of(system + "y" * 900)) is waiting[1]


def test_no_request_is_passed_over_more_often_than_allowed():
    # Guards against a request that starves behind requests with a known prefix.
    recent_prefixes = recent_of("a" * 500)
    waiting = [make_request(0, "b" * 500)]
    taken = []
    for number in range(1, 30):
        waiting.append(make_request(number, "a" * 500))
        chosen = choose_request(waiting, recent_prefixes)
        waiting.remove(chosen)
        taken.append(chosen.request_id)
    assert taken.index("req-0") == MAX_TIMES_PASSED_OVER


def test_lookahead_is_bounded():
    waiting = [make_request(n, "b" * 500) for n in range(LOOKAHEAD_REQUESTS)]
    waiting.append(make_request(99, "a" * 500))
    assert choose_request(waiting, recent_of("a" * 500)) is waiting[0]


def test_invalid_prompts_have_no_prefix():
    for document in (None, [], {}, {"messages": 3}, {"messages": [1, None]}):
        assert prefix_hashes(document) == ()


async def test_claim_prefers_a_request_with_a_cached_prefix(fleet, agent):
    agent.auto_claim = False
    await fleet.start(agent)
    path = "/v1/chat/completions"

    def body(letter):
        messages = [{"content": letter * 300}]
        return json.dumps({"model": "flor-llm", "messages": messages}).encode()

    first = fleet.start_request(path, body("a"))
    await fleet.wait_for_waiting(1)
    agent.claim("crew-a")
    await first
    calls = []
    for number, letter in enumerate("ba"):
        calls.append(fleet.start_request(path, body(letter)))
        await fleet.wait_for_waiting(number + 1)
    agent.claim("crew-a")
    assert (await calls[1]).status == 200
    assert not calls[0].done()
    agent.claim("crew-a")
    await calls[0]
