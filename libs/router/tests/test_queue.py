import asyncio
import gc
import tracemalloc

import pytest

from bulrushbend.core.clock import ManualClock
from bulrushbend.core.manifest import Limits
from bulrushbend.router.errors import RequestEndedError
from bulrushbend.router.queue import WaitingQueues
from bulrushbend.router.rate import ServiceRate

from .builders import make_manifest


async def test_full_queue_of_a_team_does_not_affect_other_teams(fleet, agent):
    # Guards against a flood of one team that exhausts the queues of the others.
    agent.auto_claim = False
    await fleet.start(agent, manifest=make_manifest(waiting_per_team=2))
    calls = [fleet.start_request() for _ in range(2)]
    await fleet.wait_for_waiting(2)
    refused = await fleet.send_request()
    assert (refused.status, refused.outcome) == (429, "not-run")
    assert 1 <= int(refused.headers["Retry-After"]) <= 60
    other = fleet.start_request(Authorization="Bearer token-crew-b")
    await fleet.wait_for_waiting(3)
    for team in ("crew-a", "crew-a", "crew-b"):
        agent.claim(team)
    answers = await asyncio.gather(other, *calls)
    assert [answer.status for answer in answers] == [200, 200, 200]


async def test_request_beyond_the_router_limit_is_refused(fleet, agent):
    agent.auto_claim = False
    await fleet.start(agent, manifest=make_manifest(waiting_per_router=1))
    call = fleet.start_request()
    await fleet.wait_for_waiting()
    refused = await fleet.send_request(Authorization="Bearer token-crew-b")
    assert (refused.status, refused.outcome) == (429, "not-run")
    agent.claim("crew-a")
    assert (await call).status == 200


async def test_expired_request_is_answered_at_once_and_never_runs(fleet, agent):
    # Guards against a request that runs after its caller got the outcome "not-run".
    agent.auto_claim = False
    await fleet.start(agent)
    answer = await fleet.send_request(Bulrushbend_Deadline_Ms="150")
    assert (answer.status, answer.outcome) == (504, "not-run")
    name = agent.claim("crew-a")
    await fleet.wait_until(lambda: name in agent.misses)
    assert agent.count("POST") == 0


async def test_request_of_a_disconnected_caller_is_withdrawn(fleet, agent):
    # Guards against slots used for disconnected callers.
    agent.auto_claim = False
    await fleet.start(agent)
    call = fleet.start_request()
    await fleet.wait_for_waiting()
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    # Cancelling the task does not close a connection that is still being opened.
    await fleet.wait_for_waiting(0)
    name = agent.claim("crew-a")
    await fleet.wait_until(lambda: name in agent.misses)
    assert "request-abandoned" in fleet.kinds()


async def test_backlog_that_becomes_non_empty_is_sent_at_once(fleet, agent):
    # Guards against slots that stay idle until the next periodic batch.
    agent.auto_claim = False
    await fleet.start(agent, heartbeat_ms=5000, spread_ms=5000, silence_ms=20000)
    call = fleet.start_request()
    await fleet.wait_until(lambda: agent.backlog["crew-a"] == 1, seconds=1)
    agent.claim("crew-a")
    assert (await call).status == 200


def test_retry_after_follows_the_backlog_and_the_rate():
    clock = ManualClock()
    rate = ServiceRate(clock)
    assert rate.retry_after_ms(100) == 60_000
    for _ in range(200):
        rate.count()
    assert rate.retry_after_ms(100) == pytest.approx(10_000)
    assert rate.retry_after_ms(10) == pytest.approx(1_000)


async def allocated_bytes(cap, body_bytes=20_000):
    queues = WaitingQueues(ManualClock())
    queues.set_limits(Limits(waiting_per_team=cap))
    bodies = []
    gc.collect()
    tracemalloc.start()
    refused = 0
    for _ in range(1000):
        try:
            queues.reserve("crew-a")
        except RequestEndedError:
            refused += 1
        else:
            bodies.append(bytearray(body_bytes))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert refused == 1000 - cap
    return size


async def test_memory_of_a_flood_is_linear_in_the_limit():
    # Guards against a flood whose memory grows with the number of requests.
    small, large = await allocated_bytes(20), await allocated_bytes(200)
    assert small <= 20 * 25_000
    assert large <= 200 * 25_000
