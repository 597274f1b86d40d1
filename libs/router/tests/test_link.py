import asyncio

from bulrushbend.router.link import AgentLink
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.fleet_pb2 import AgentBatch

from .builders import FakeAgent, make_manifest


async def test_silent_link_is_dialled_again_on_a_new_connection(fleet, agent):
    # Guards against links that stay silent for ever behind a lost connection state.
    await fleet.start(agent)
    assert agent.links == 1
    agent.beating = False
    await fleet.until(lambda: "link-down" in fleet.kinds())
    agent.beating = True
    await fleet.until(lambda: agent.links >= 2)
    assert (await fleet.ask()).status == 200


async def test_restarted_agent_gets_the_complete_backlog(fleet, agent):
    agent.claiming = False
    await fleet.start(agent)
    call = fleet.ask_soon()
    await fleet.until_waiting()
    agent.beating = False
    await fleet.until(lambda: "link-down" in fleet.kinds())
    agent.batches.clear()
    agent.claiming = agent.beating = True
    assert (await call).status == 200
    assert agent.batches[0].hello.name == "router-1"
    assert agent.batches[0].backlog_is_complete


async def test_linked_agent_stays_usable_without_control(fleet, agent):
    # Guards against a loss of control that stops the traffic.
    await fleet.start(agent)
    fleet.control.server.close()
    await fleet.until(lambda: fleet.kinds().count("link-down") >= 1)
    fleet.router._links.update({})
    await asyncio.sleep(0.7)
    assert (await fleet.ask()).status == 200


async def test_service_of_an_agent_comes_from_the_manifest(fleet, agent):
    # Guards against 503 when control is lost before the agent reports its service.
    agent.member.service = ""
    await fleet.start(agent)
    assert (await fleet.ask()).status == 200


async def test_agent_that_is_gone_and_no_member_is_dropped(fleet, agent):
    await fleet.start(agent)
    fleet.control.members.clear()
    agent.beating = False
    await fleet.until(lambda: "link-down" in fleet.kinds())
    await fleet.until(lambda: not fleet.router._links._links)


async def test_manifest_travels_over_the_link_both_ways(fleet, agent):
    # Guards against routers or agents that keep an old manifest without control.
    await fleet.start(agent, manifest=make_manifest(version=3))
    await fleet.until(lambda: any(b.manifest.version == 3 for b in agent.batches))
    newer = pack_manifest(make_manifest(version=4))
    agent.outgoing.put_nowait(AgentBatch(manifest_version=4, manifest=newer))
    await fleet.until(lambda: agent.batches[-1].manifest_version == 4)
    older = pack_manifest(make_manifest(version=2))
    agent.outgoing.put_nowait(AgentBatch(manifest_version=2, manifest=older))
    await asyncio.sleep(0.2)
    assert agent.batches[-1].manifest_version == 4


async def test_service_without_agents_is_answered_at_once_after_the_grace(fleet):
    # Guards against callers held until their deadline without any endpoint.
    await fleet.start(FakeAgent(), silence_between_regions_ms=600)
    await asyncio.sleep(0.7)
    answer = await fleet.ask("/services/rota-app/pay")
    assert (answer.status, answer.outcome) == (503, "not-run")
    assert "Retry-After" in answer.headers


async def test_waiting_requests_of_a_lost_service_are_answered(fleet, agent):
    agent.claiming = False
    await fleet.start(agent, silence_between_regions_ms=600)
    call = fleet.ask_soon()
    await fleet.until_waiting()
    agent.beating = False
    answer = await call
    assert (answer.status, answer.outcome) == (503, "not-run")


async def test_heartbeat_is_an_empty_batch(fleet, agent):
    # Guards against control traffic of idle links.
    await fleet.start(agent)
    await asyncio.sleep(0.3)
    sizes = [batch.ByteSize() for batch in agent.batches[-3:]]
    assert max(sizes) <= 8


async def test_claim_for_an_unknown_team_is_missed(fleet, agent):
    await fleet.start(agent)
    agent.claim("no-such-team", "att-x")
    await fleet.until(lambda: "att-x" in agent.misses)
    assert (await fleet.ask()).status == 200


async def test_numbers_are_repeated_once_after_a_change(fleet, agent):
    # Guards against a waiting request that the agent counts off twice and forgets.
    agent.claiming = False
    await fleet.start(agent)
    call = fleet.ask_soon()
    await fleet.until_waiting()
    await asyncio.sleep(0.3)
    sent = [e.waiting for b in agent.batches for e in b.backlog if e.team == "crew-a"]
    assert sent == [1, 1]
    agent.claim("crew-a")
    await call


async def test_failed_link_task_is_started_again(fleet, agent, monkeypatch):
    # Guards against one fault in a link that cuts an agent off for ever.
    handle_batch = AgentLink._handle_batch

    def fail_once(link, batch):
        monkeypatch.setattr(AgentLink, "_handle_batch", handle_batch)
        raise RuntimeError("fault")

    await fleet.start(agent)
    monkeypatch.setattr(AgentLink, "_handle_batch", fail_once)
    await fleet.until(lambda: agent.links == 2)
    assert (await fleet.ask()).status == 200


async def test_idle_agents_are_not_all_told_at_once(fleet):
    # Guards against claims of all agents for one request; those that are not told at
    # once must learn of what still waits, or their slots would stay idle.
    agents = [FakeAgent(f"flor-{number}") for number in range(12)]
    for agent in agents:
        agent.claiming = False
    await fleet.start(*agents, spread_ms=400, heartbeat_ms=5000, silence_ms=20_000)
    call = fleet.ask_soon()
    await fleet.until_waiting()
    await asyncio.sleep(0.1)
    told = [agent for agent in agents if agent.backlog["crew-a"]]
    assert len(told) == 8
    await fleet.until(lambda: all(agent.backlog["crew-a"] for agent in agents))
    agents[0].claim("crew-a")
    assert (await call).status == 200
