import asyncio

from bulrushbend.router.link import AgentLink
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.fleet_pb2 import AgentBatch

from .builders import FakeAgent, make_manifest


async def test_silent_link_reconnects(fleet, agent):
    # Guards against a link that stays silent for ever, for example because the network
    # has lost the state of its connection.
    await fleet.start(agent)
    assert agent.links == 1
    agent.heartbeats_enabled = False
    await fleet.wait_until(lambda: "link-down" in fleet.kinds())
    agent.heartbeats_enabled = True
    await fleet.wait_until(lambda: agent.links >= 2)
    assert (await fleet.send_request()).status == 200


async def test_restarted_agent_gets_the_complete_backlog(fleet, agent):
    agent.auto_claim = False
    await fleet.start(agent)
    call = fleet.start_request()
    await fleet.wait_for_waiting()
    agent.heartbeats_enabled = False
    await fleet.wait_until(lambda: "link-down" in fleet.kinds())
    agent.batches.clear()
    agent.auto_claim = agent.heartbeats_enabled = True
    assert (await call).status == 200
    assert agent.batches[0].hello.name == "router-1"
    assert agent.batches[0].backlog_is_complete


async def test_linked_agent_stays_usable_without_control(fleet, agent):
    # Guards against a loss of control that stops requests.
    await fleet.start(agent)
    fleet.control.server.close()
    await fleet.wait_until(lambda: fleet.kinds().count("link-down") >= 1)
    fleet.router._links.update({})
    await asyncio.sleep(0.7)
    assert (await fleet.send_request()).status == 200


async def test_service_of_an_agent_comes_from_the_manifest(fleet, agent):
    # Guards against status 503 when control is lost before the agent has reported its
    # service.
    agent.member.service = ""
    await fleet.start(agent)
    assert (await fleet.send_request()).status == 200


async def test_disconnected_agent_that_is_no_member_is_removed(fleet, agent):
    await fleet.start(agent)
    fleet.control.members.clear()
    agent.heartbeats_enabled = False
    await fleet.wait_until(lambda: "link-down" in fleet.kinds())
    await fleet.wait_until(lambda: not fleet.router._links._links)


async def test_manifest_is_exchanged_over_the_link(fleet, agent):
    # Guards against routers and agents that keep an old manifest while control is lost.
    await fleet.start(agent, manifest=make_manifest(version=3))
    await fleet.wait_until(lambda: any(b.manifest.version == 3 for b in agent.batches))
    newer = pack_manifest(make_manifest(version=4))
    agent.outgoing.put_nowait(AgentBatch(manifest_version=4, manifest=newer))
    await fleet.wait_until(lambda: agent.batches[-1].manifest_version == 4)
    older = pack_manifest(make_manifest(version=2))
    agent.outgoing.put_nowait(AgentBatch(manifest_version=2, manifest=older))
    await asyncio.sleep(0.2)
    assert agent.batches[-1].manifest_version == 4


async def test_service_without_agents_is_answered_after_the_grace_period(fleet):
    # Guards against callers that wait until their deadline for a missing endpoint.
    await fleet.start(FakeAgent(), silence_between_regions_ms=600)
    await asyncio.sleep(0.7)
    answer = await fleet.send_request("/services/rota-app/pay")
    assert (answer.status, answer.outcome) == (503, "not-run")
    assert "Retry-After" in answer.headers


async def test_waiting_requests_of_a_lost_service_are_answered(fleet, agent):
    agent.auto_claim = False
    await fleet.start(agent, silence_between_regions_ms=600)
    call = fleet.start_request()
    await fleet.wait_for_waiting()
    agent.heartbeats_enabled = False
    answer = await call
    assert (answer.status, answer.outcome) == (503, "not-run")


async def test_heartbeat_is_an_empty_batch(fleet, agent):
    # Guards against unnecessary traffic on idle links.
    await fleet.start(agent)
    await asyncio.sleep(0.3)
    sizes = [batch.ByteSize() for batch in agent.batches[-3:]]
    assert max(sizes) <= 8


async def test_claim_for_an_unknown_team_is_missed(fleet, agent):
    await fleet.start(agent)
    agent.claim("no-such-team", "att-x")
    await fleet.wait_until(lambda: "att-x" in agent.misses)
    assert (await fleet.send_request()).status == 200


async def test_backlog_is_repeated_once_after_a_change(fleet, agent):
    # Guards against a waiting request that the agent subtracts twice and then misses.
    agent.auto_claim = False
    await fleet.start(agent)
    call = fleet.start_request()
    await fleet.wait_for_waiting()
    await asyncio.sleep(0.3)
    sent = [e.waiting for b in agent.batches for e in b.backlog if e.team == "crew-a"]
    assert sent == [1, 1]
    agent.claim("crew-a")
    await call


async def test_failed_link_task_is_restarted(fleet, agent, monkeypatch):
    # Guards against an exception in a link task that disconnects its agent for ever.
    handle_batch = AgentLink._handle_batch

    def fail_once(link, batch):
        monkeypatch.setattr(AgentLink, "_handle_batch", handle_batch)
        raise RuntimeError("fault")

    await fleet.start(agent)
    monkeypatch.setattr(AgentLink, "_handle_batch", fail_once)
    await fleet.wait_until(lambda: agent.links == 2)
    assert (await fleet.send_request()).status == 200


async def test_only_some_idle_agents_are_notified_at_once(fleet):
    # Guards against claims of all idle agents for one request. The other agents must
    # get the remaining backlog later, or their slots would stay idle.
    agents = [FakeAgent(f"flor-{number}") for number in range(12)]
    for agent in agents:
        agent.auto_claim = False
    await fleet.start(*agents, spread_ms=400, heartbeat_ms=5000, silence_ms=20_000)
    call = fleet.start_request()
    await fleet.wait_for_waiting()
    await asyncio.sleep(0.1)
    notified = [agent for agent in agents if agent.backlog["crew-a"]]
    assert len(notified) == 8
    await fleet.wait_until(lambda: all(agent.backlog["crew-a"] for agent in agents))
    agents[0].claim("crew-a")
    assert (await call).status == 200
