import asyncio

from bulrushbend.agent.load import LoadPoller
from bulrushbend.bench.addresses import free_address
from bulrushbend.core.clock import Clock

from .builders import (
    FakeEndpoint,
    build_manifest,
    eventually,
    fixed_length,
    running_agent,
)

REPORT = """vllm:num_requests_running 4
vllm:num_requests_waiting {}
vllm:kv_cache_usage_perc 0.5
"""


class FakeEngine:
    def __init__(self):
        self.waiting = 0
        self.text = REPORT

    async def answer(self, request, writer):
        if request.path == "/metrics":
            writer.write(fixed_length(self.text.format(self.waiting).encode()))
        else:
            await asyncio.sleep(3600)


async def test_queue_in_the_engine_lowers_the_limit_and_its_end_raises_it():
    # Requests must not queue inside the engine, which serves in order of arrival.
    engine = FakeEngine()
    address = free_address()
    manifest = build_manifest(slots=4)
    async with running_agent(
        engine.answer,
        manifest,
        endpoint_address=address,
        load_url=f"http://{address}/metrics",
        load_poll_ms=20,
    ) as (_, agent, _, router):
        posting = []
        router.advertise(waiting=99)
        for _ in range(4):
            attempt_id = await router.next_claim()
            posting.append(asyncio.create_task(router.post(attempt_id)))
        engine.waiting = 2
        await eventually(lambda: agent.slot_report().limit == 3)
        engine.waiting = 0
        await eventually(lambda: agent.slot_report().limit == 4)
        kinds = [record["kind"] for record in agent._events.records]
        assert kinds.count("slot-limit-changed") == 2


async def test_unreadable_report_changes_nothing():
    engine = FakeEngine()
    address = free_address()
    async with await FakeEndpoint(engine.answer).serve(address) as server:
        loads = []
        poll = LoadPoller(f"http://{address}/metrics", 20, Clock(), loads.append)
        for text in ("<html>", "", "a b c", "vllm:num_requests_running 1"):
            engine.text = text
            await poll.poll()
        server.close()
        await poll.poll()
        assert loads == []
