"""Failures that a cluster of replicas on disk must survive."""

import asyncio

import pytest
from store_builders import (
    ELECTION_TIMEOUT_MS,
    Cluster,
    FaultyFileSystem,
    TextFile,
    address,
    key_request,
    key_result,
    put_manifest,
    wait_until,
)

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import NoQuorumError
from bulrushbend.core.events import StreamEventLog
from bulrushbend.store.records import decode_log
from bulrushbend.wire.control_pb2 import Command
from bulrushbend.wire.fleet_pb2 import PublishReply, VotersRequest

# Time in which the platform expects a replica that is back to have caught up.
CATCH_UP_S = 4.0


async def change(cluster, kind, name):
    reply = await cluster.leader.change_voters(
        VotersRequest(change=kind, name=name, address=address(name))
    )
    assert reply.accepted, reply.message


@pytest.mark.parametrize(
    ("name", "address"),
    [("x 1", "c9:1"), ("", "c9:1"), ("c9", "c9:99999"), ("c9", "c9"), ("c9", "c9:")],
)
async def test_learner_with_an_invalid_name_or_address_is_refused(
    tmp_path, name, address
):
    """A replica that is sent to all processes must have an address they can use."""
    async with Cluster(tmp_path) as cluster:
        await cluster.wait_for_leader()
        request = VotersRequest(
            change=VotersRequest.ADD_LEARNER, name=name, address=address
        )
        reply = await cluster.leader.change_voters(request)
        assert not reply.accepted
        assert not reply.learners


async def test_concurrent_publishes_of_one_version_accept_one_manifest(tmp_path):
    """Two manifests with the same version must not both be accepted."""
    async with Cluster(tmp_path) as cluster:
        for version in range(1, 6):
            replies = await asyncio.gather(
                *(cluster.publish(n, version, f"crew-{n}") for n in cluster.names)
            )
            results = sorted(reply.result for reply in replies)
            assert results == [1, 2, 2]
            assert len({reply.digest for reply in replies}) == 1
            await wait_until(
                lambda winner=replies[0].digest: (
                    {cluster.digest(name) for name in cluster.names} == {winner}
                )
            )


async def test_publish_retried_after_a_lost_reply_is_accepted(tmp_path):
    """A retry must not be reported as a conflict with the first attempt."""
    async with Cluster(tmp_path) as cluster:
        follower = cluster.others(cluster.leader_name)[0]
        cluster.network.drop_replies("Forward")
        with pytest.raises(NoQuorumError):
            await cluster.publish(follower, 1, timeout_ms=300)
        assert cluster.leader.state.manifest_version == 1
        cluster.network.heal()
        assert (await cluster.publish(follower, 1)).result == PublishReply.ACCEPTED
        stale = await cluster.publish(follower, 2)
        assert stale.result == PublishReply.ACCEPTED
        assert (await cluster.publish(follower, 1)).result == PublishReply.STALE


async def test_leader_without_majority_steps_down_and_accepts_nothing(tmp_path):
    """An isolated leader must not accept writes that no majority holds."""
    async with Cluster(tmp_path) as cluster:
        old = cluster.leader_name
        await cluster.publish(old, 1)
        cluster.network.cut(old)
        with pytest.raises(NoQuorumError):
            await cluster.publish(old, 2, "isolated", timeout_ms=ELECTION_TIMEOUT_MS)
        await wait_until(lambda: not cluster.replicas[old].is_leader)
        await wait_until(lambda: cluster.leader_name not in ("", old))
        reply = await cluster.publish(cluster.leader_name, 2, "majority")
        assert reply.result == PublishReply.ACCEPTED
        cluster.network.heal()
        state = cluster.replicas[old].state
        await wait_until(lambda: state.manifest_version == 2)
        assert state.manifest.digest == reply.digest
        kinds = [record["kind"] for record in cluster.events[old].records]
        assert "leader-stepped-down" in kinds


async def test_isolated_replica_does_not_confirm_reads(tmp_path):
    """A process without a manifest must not get an older one as confirmed."""
    async with Cluster(tmp_path) as cluster:
        for name in (cluster.others(cluster.leader_name)[0], cluster.leader_name):
            cluster.network.cut(name)
            with pytest.raises(NoQuorumError):
                await cluster.replicas[name].read_index(ELECTION_TIMEOUT_MS * 0.6)
            cluster.network.heal()
            await cluster.replicas[name].read_index(3000)


async def test_confirmed_read_sees_the_latest_accepted_write(tmp_path):
    """A confirmed read at a follower must not miss a write accepted before it."""
    async with Cluster(tmp_path) as cluster:
        follower = cluster.others(cluster.leader_name)[0]
        for version in range(1, 20):
            await cluster.publish(cluster.leader_name, version)
            await cluster.replicas[follower].read_index(1000)
            assert cluster.replicas[follower].state.manifest_version == version


async def test_wiped_replica_has_no_vote_until_promoted(tmp_path):
    """Losing one disk must not lose an accepted write.

    The first leader and the wiped replica received version 1, the third one did not. If
    the empty replica voted, the third one could be elected without version 1.
    """
    async with Cluster(tmp_path) as cluster:
        first = cluster.leader_name
        wiped, behind = cluster.others(first)
        await cluster.stop(behind)
        await cluster.publish(first, 1)
        await cluster.stop(first)
        await cluster.wipe(wiped)
        cluster.start(behind)
        cluster.start(wiped, bootstrap=True)
        await asyncio.sleep(ELECTION_TIMEOUT_MS * 6 / 1000)
        assert cluster.leader is None
        cluster.start(first)
        await cluster.wait_for_leader()
        assert not cluster.replicas[wiped].may_vote
        await cluster.leader.read_index(3000)
        assert cluster.leader.state.manifest_version == 1


async def test_disk_loss_after_a_voter_replacement_loses_no_write(tmp_path):
    """After a voter was replaced, the loss of any one disk must be survived."""
    async with Cluster(tmp_path, snapshot_entries=10) as cluster:
        for version in range(1, 31):
            await cluster.publish(cluster.leader_name, version)
        wiped = cluster.others(cluster.leader_name)[0]
        await cluster.wipe(wiped)
        await cluster.publish(cluster.leader_name, 31)
        cluster.start(wiped, bootstrap=False)
        await change(cluster, VotersRequest.REMOVE, wiped)
        await change(cluster, VotersRequest.ADD_LEARNER, wiped)
        assert not cluster.replicas[wiped].may_vote
        await change(cluster, VotersRequest.PROMOTE, wiped)
        await cluster.publish(cluster.leader_name, 32)
        lost = cluster.leader_name
        await cluster.wipe(lost)
        await wait_until(lambda: cluster.leader is not None)
        assert cluster.replicas[wiped].may_vote
        await cluster.leader.read_index(3000)
        assert cluster.leader.state.manifest_version == 32
        reply = await cluster.publish(wiped, 33)
        assert reply.result == PublishReply.ACCEPTED


async def test_lagging_replica_catches_up_from_a_snapshot(tmp_path):
    """A replica that is far behind must not replay all entries."""
    async with Cluster(tmp_path, snapshot_entries=50) as cluster:
        behind = cluster.others(cluster.leader_name)[0]
        await cluster.stop(behind)
        leader = cluster.leader
        for version in range(1, 501):
            await leader.propose(put_manifest(version), 3000)
        seen = []
        replica = cluster.start(behind)
        replica.listen(lambda applied: seen.append(replica.state.manifest_version))
        await wait_until(lambda: replica.state.manifest_version == 500)
        assert seen[0] >= 450
        assert len(seen) <= 50


async def test_snapshot_whose_reply_is_lost_is_sent_again_in_time(tmp_path):
    """Guards against a replica that gets nothing more while a connection is silent."""
    async with Cluster(tmp_path, snapshot_entries=10) as cluster:
        behind = cluster.others(cluster.leader_name)[0]
        await cluster.stop(behind)
        for version in range(1, 51):
            await cluster.leader.propose(put_manifest(version), 3000)
        cluster.network.drop_replies("InstallSnapshot")
        replica = cluster.start(behind)
        await wait_until(lambda: replica.state.manifest_version > 0)
        cluster.network.heal()
        await cluster.leader.propose(put_manifest(51), 3000)
        await wait_until(lambda: replica.state.manifest_version == 51, CATCH_UP_S)


async def test_log_of_large_commands_does_not_outgrow_the_disk(tmp_path):
    """Guards against a log that is limited by the number of its entries only."""
    limit = 4000
    async with Cluster(tmp_path, snapshot_bytes=limit) as cluster:
        for version in range(1, 101):
            await cluster.publish(cluster.leader_name, version)
        command_bytes = len(put_manifest(100).SerializeToString())
        assert 100 * command_bytes > 2 * limit
        longest = limit + 10 * command_bytes
        for name in cluster.names:
            path = tmp_path / name / "log"
            await wait_until(lambda p=path: p.stat().st_size < longest, 2.0)
        behind = cluster.others(cluster.leader_name)[0]
        await cluster.stop(behind)
        cluster.start(behind)
        state = cluster.replicas[behind].state
        await wait_until(lambda: state.manifest_version == 100)


async def test_store_failure_ends_leadership_and_voting(tmp_path):
    """After a failed sync a replica must neither continue as leader nor vote."""
    async with Cluster(tmp_path) as cluster:
        failed = cluster.leader_name
        await cluster.publish(failed, 1)
        cluster.files[failed].sync_fails = True
        survivor = cluster.others(failed)[0]
        await cluster.publish(survivor, 2)
        cluster.files[failed].sync_fails = False
        replica = cluster.replicas[failed]
        assert replica.has_failed
        assert not replica.may_vote
        assert cluster.leader_name != failed
        kinds = [record["kind"] for record in cluster.events[failed].records]
        assert kinds[-2:] == ["leader-stepped-down", "store-failed"]
        await cluster.stop(failed)
        cluster.start(failed)
        await wait_until(lambda: cluster.replicas[failed].state.manifest_version == 2)


async def test_failed_close_of_the_log_does_not_end_replication(tmp_path):
    """Guards against a leader that keeps its role but can no longer write."""
    async with Cluster(tmp_path, snapshot_entries=4) as cluster:
        for name in cluster.names:
            cluster.files[name].refused_operations = frozenset({"close"})
        for version in range(1, 12):
            await cluster.publish(cluster.leader_name, version)
        for replica in cluster.replicas.values():
            await wait_until(lambda s=replica.state: s.manifest_version == 11)


async def test_event_log_on_a_full_disk_does_not_keep_a_leader_in_office(tmp_path):
    """Guards against an error of the event log before the leader has stepped down."""
    cluster = Cluster(tmp_path)
    for name in cluster.names:
        files = cluster.files[name] = FaultyFileSystem()
        cluster.events[name] = StreamEventLog(TextFile(files), name, 1, Clock())
    async with cluster:
        failed = cluster.leader_name
        cluster.files[failed].free_bytes = 0
        await cluster.publish(cluster.others(failed)[0], 1)
        assert cluster.replicas[failed].has_failed


@pytest.mark.parametrize("role", ["leader", "follower"])
async def test_unexpected_error_of_the_store_ends_participation(tmp_path, role):
    """Guards against a replica that keeps its role but can no longer write."""
    async with Cluster(tmp_path) as cluster:
        failed = cluster.leader_name
        if role == "follower":
            failed = cluster.others(failed)[0]
        other = next(n for n in cluster.others(failed) if n != cluster.leader_name)
        await cluster.publish(other, 1)
        cluster.files[failed].raises_unexpectedly = True
        await cluster.publish(other, 2)
        await wait_until(lambda: cluster.replicas[failed].has_failed)


async def test_unexpected_error_while_applying_ends_leadership(tmp_path):
    """Guards against a leader whose writer has ended while its heartbeats go on."""

    def listener(applied):
        raise RuntimeError("unexpected error")

    async with Cluster(tmp_path) as cluster:
        failed, leader = cluster.leader_name, cluster.leader
        other = cluster.others(failed)[0]
        await cluster.publish(other, 1)
        leader.listen(listener)
        for version in (2, 3):
            await cluster.publish(other, version)
        assert leader.has_failed


async def test_follower_with_a_full_disk_does_not_count_towards_the_majority(tmp_path):
    """With one of three replicas stopped, a full disk on another fails all writes."""
    async with Cluster(tmp_path) as cluster:
        full, stopped = cluster.others(cluster.leader_name)
        await cluster.publish(cluster.leader_name, 1)
        state = cluster.replicas[full].state
        await wait_until(lambda: state.manifest_version == 1)
        await cluster.stop(stopped)
        cluster.files[full].free_bytes = 20
        with pytest.raises(NoQuorumError):
            await cluster.publish(cluster.leader_name, 2, timeout_ms=500)
        assert cluster.replicas[full].has_failed
        assert state.manifest_version == 1


async def test_second_voter_change_waits_for_the_first(tmp_path):
    """Two overlapping changes could produce two disjoint majorities."""
    async with Cluster(tmp_path) as cluster:
        name, leader = cluster.leader_name, cluster.leader
        await leader.read_index(3000)
        requests = []
        for other in cluster.others(name):
            cluster.network.cut(other)
            requests.append(VotersRequest(change=VotersRequest.REMOVE, name=other))
        replies = await asyncio.gather(*map(leader.change_voters, requests))
        assert not any(reply.accepted for reply in replies)
        assert len(voter_entries(tmp_path / name / "log")) == 2


def voter_entries(path):
    decoded = decode_log(path.read_bytes())
    commands = [Command.FromString(entry.command) for entry in decoded.entries]
    return [c for c in commands if c.WhichOneof("kind") == "set_voters"]


async def test_power_loss_of_all_replicas_loses_no_accepted_write(tmp_path):
    """Accepted writes must be synced to disk, not only written to the page cache."""
    async with Cluster(tmp_path) as cluster:
        for version in range(1, 6):
            await cluster.publish(cluster.leader_name, version)
        for name in cluster.names:
            await cluster.lose_power(name, torn_bytes=30)
        for name in cluster.names:
            cluster.start(name)
        await cluster.wait_for_leader()
        await cluster.leader.read_index(3000)
        assert cluster.leader.state.manifest_version == 5


async def test_recorded_key_survives_the_loss_of_the_leader(tmp_path):
    """A new leader must not record a recorded key again for another request."""
    async with Cluster(tmp_path) as cluster:
        old = cluster.leader_name
        command = Command(record_key=key_request())
        survivor = cluster.others(old)[0]
        result = await cluster.replicas[survivor].propose(command, 3000)
        assert key_result(result) == "RECORDED"
        await cluster.stop(old)
        again = Command(record_key=key_request(request_id="req-2", owner="r2"))
        result = await cluster.replicas[survivor].propose(again, 5000)
        assert key_result(result) == "RUNNING"
