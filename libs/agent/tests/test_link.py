import asyncio
import socket

import pytest

from bulrushbend.agent.link import bind_link_socket
from bulrushbend.core.errors import PeerError
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.fleet_pb2 import RouterBatch, TeamRow
from bulrushbend.wire.record_groups import (
    AgentRecord,
    group_records,
    ungroup_records,
)

from .builders import (
    CHUNKED,
    LAST_CHUNK,
    FakeRouter,
    build_manifest,
    chunk,
    eventually,
    fixed_length,
    read_refusal,
    running_agent,
)


async def answer(request, writer):
    writer.write(fixed_length(b"done"))


async def stay_silent(request, writer):
    await asyncio.sleep(3600)


async def answer_slowly(request, writer):
    writer.write(CHUNKED + chunk(b"begin "))
    await writer.drain()
    await asyncio.sleep(0.6)
    writer.write(chunk(b"end") + LAST_CHUNK)


async def test_miss_frees_the_slot_and_the_team_is_not_claimed_again():
    async with running_agent(answer) as (_, _, _, router):
        attempt_id = await router.claim()
        router.send_miss(attempt_id)
        with pytest.raises(TimeoutError):
            await router.next_claim(timeout=0.15)
        assert await read_refusal(await router.post(attempt_id)) == (
            409,
            "not-started",
        )
        assert await router.claim() != attempt_id


async def test_link_to_silent_router_is_closed_and_its_slots_are_claimed_elsewhere():
    # Slots must not wait for a router whose connection has become silent.
    async with running_agent(answer, claim_timeout_ms=60_000, silence_ms=150) as parts:
        settings, _, _, router = parts
        silent = await FakeRouter(settings, "router-2").connect(heartbeat=False)
        await silent.claim()
        router.advertise()
        async with asyncio.timeout(1):
            exchange = await router.post(await router.next_claim())
        assert await exchange.body() == b"done"
        await asyncio.wait_for(silent.ended.wait(), 1)
        await silent.kill()


async def test_claim_goes_to_the_router_with_the_oldest_request():
    async with running_agent(answer) as (settings, _, _, router):
        older = await FakeRouter(settings, "router-2").connect()
        blocker = await router.claim(team="crew-b")
        older.advertise(age_ms=5000)
        router.advertise(age_ms=10)
        await asyncio.sleep(0.1)
        router.send_miss(blocker)
        await older.next_claim()
        assert router.claims.empty()
        await older.kill()


def reported_ends(router):
    reports = (report for batch in router.batches for report in batch.running)
    return [report.attempt_id for report in reports if report.finished]


async def test_running_attempts_are_listed_to_their_router_only():
    async with running_agent(answer_slowly) as (settings, _, _, router):
        other = await FakeRouter(settings, "router-2").connect()
        attempt_id = await router.claim()
        exchange = await router.post(attempt_id)
        await eventually(lambda: any(batch.running for batch in router.batches))
        [listed] = next(b.running for b in reversed(router.batches) if b.running)
        assert (listed.attempt_id, listed.produced_bytes) == (attempt_id, 6)
        await exchange.body()
        await eventually(lambda: reported_ends(router) == [attempt_id])
        # The lists must not include the buffered answers of attempts that have ended.
        seen = len(router.batches)
        await eventually(
            lambda: any(b.running_is_complete for b in router.batches[seen:])
        )
        assert not any(batch.running for batch in router.batches[seen:])
        assert reported_ends(router) == [attempt_id]
        assert not any(batch.running for batch in other.batches)
        await other.kill()


@pytest.mark.parametrize("idempotent", ["true", "false"])
async def test_orphan_is_cancelled_only_if_it_is_idempotent(idempotent):
    # Slots must not stay occupied for callers that are gone, but a request that must
    # not be retried must not be interrupted.
    async with running_agent(answer_slowly, orphan_ms=150) as parts:
        settings, agent, endpoint, router = parts
        attempt_id = await router.claim()
        exchange = await router.post(attempt_id, idempotent=idempotent)
        await router.kill()
        exchange.close()
        await asyncio.sleep(0.4)
        state = agent._attempts.state_of(attempt_id)
        assert state == ("cancelled" if idempotent == "true" else "running")
        await eventually(lambda: agent._scheduler.in_use == 0)
        assert len(endpoint.runs()) == 1
        other = await FakeRouter(settings, "router-2").connect()
        await other.claim()
        await other.kill()


@pytest.mark.parametrize("step", ["linked", "advertised", "claimed", "posted", "head"])
async def test_killed_router_leaves_the_slot_usable(step):
    # The loss of a router must not leak a slot, whatever the step of the request.
    script = answer_slowly if step == "head" else stay_silent
    async with running_agent(script, orphan_ms=100, endpoint_idle_ms=9000) as parts:
        settings, agent, endpoint, router = parts
        posting = None
        if step == "advertised":
            agent._leaving.set("signal", True)
            router.advertise()
            await asyncio.sleep(0.05)
        elif step != "linked":
            attempt_id = await router.claim()
            if step != "claimed":
                posting = asyncio.create_task(router.post(attempt_id))
                await eventually(lambda: endpoint.runs())
            if step == "head":
                await posting
        await router.kill()
        if posting is not None:
            posting.cancel()
        agent._leaving.set("signal", False)
        other = await FakeRouter(settings, "router-2").connect()
        await other.claim()
        await other.kill()


async def test_router_that_reconnects_keeps_its_running_attempts():
    async with running_agent(answer_slowly, orphan_ms=150) as parts:
        settings, _, _, router = parts
        exchange = await router.post(await router.claim())
        again = await FakeRouter(settings).connect()
        await asyncio.wait_for(router.ended.wait(), 1)
        assert await exchange.body() == b"begin end"
        await again.claim()
        await again.kill()


async def test_restarted_router_does_not_keep_orphans_of_its_earlier_incarnation():
    async with running_agent(
        stay_silent, orphan_ms=100, endpoint_idle_ms=9000
    ) as parts:
        settings, agent, endpoint, router = parts
        posting = asyncio.create_task(router.post(await router.claim()))
        await eventually(lambda: endpoint.runs())
        await router.kill()
        again = await FakeRouter(settings, incarnation=2).connect()
        await eventually(lambda: agent._scheduler.in_use == 0)
        posting.cancel()
        await again.kill()


async def test_manifest_and_records_are_disseminated_over_the_links():
    async with running_agent(answer) as (settings, agent, _, router):
        behind = await FakeRouter(settings, "router-2").connect(version=1)
        newer = pack_manifest(build_manifest(version=3))
        router.send(RouterBatch(manifest_version=3, manifest=newer))
        await eventually(lambda: agent.manifest_version == 3)
        await eventually(lambda: any(b.HasField("manifest") for b in behind.batches))
        assert not any(b.HasField("manifest") for b in router.batches)
        message = TeamRow(team="crew-a", sequence=4, served_ms=100, weighted_us=100_000)
        row = AgentRecord("flor-llm", "agent-9", 1, message)
        router.send(RouterBatch(rows=group_records([row])))
        await eventually(
            lambda: (
                [r for b in behind.batches for r in ungroup_records(b.rows)] == [row]
            )
        )
        # A record is not sent back to the router from which it was received.
        assert not any(batch.rows for batch in router.batches)
        await behind.kill()


async def test_records_reach_all_routers_by_rotation():
    # The rotation must not leave out any router.
    async with running_agent(answer) as (settings, _, _, router):
        others = [
            await FakeRouter(settings, f"router-{i}").connect() for i in range(2, 8)
        ]
        exchange = await router.post(await router.claim())
        await exchange.body()
        for other in others:
            await eventually(lambda o=other: any(b.rows for b in o.batches))
            await other.kill()


async def test_stream_without_the_identity_of_the_router_is_refused():
    async with running_agent(answer) as (settings, agent, _, _):
        nameless = FakeRouter(settings, name="")
        await nameless.connect()
        await asyncio.wait_for(nameless.ended.wait(), 1)
        await nameless.kill()
        assert len(agent._links.links) == 1


async def test_request_for_a_claim_of_a_closed_link_is_refused():
    async with running_agent(answer) as (settings, _, endpoint, router):
        attempt_id = await router.claim()
        again = await FakeRouter(settings).connect()
        await asyncio.wait_for(router.ended.wait(), 1)
        with pytest.raises(PeerError):
            await asyncio.wait_for(_raise_unless_run(again, attempt_id), 1)
        assert endpoint.requests == []
        await again.kill()


async def _raise_unless_run(router, attempt_id):
    exchange = await router.post(attempt_id)
    if exchange.status != 200:
        raise PeerError("refused")


async def test_accepted_links_send_small_messages_without_delay():
    accepted = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        link = writer.get_extra_info("socket")
        accepted.set_result(link.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        writer.close()

    listening = bind_link_socket("127.0.0.1:0", 2000)
    async with await asyncio.start_server(serve, sock=listening):
        _, writer = await asyncio.open_connection(*listening.getsockname())
        assert await accepted != 0
        writer.close()
