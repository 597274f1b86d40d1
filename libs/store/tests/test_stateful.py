"""Random failures, checked against a model of the replies that callers got."""

import asyncio
import pathlib
import tempfile

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)
from store_builders import NAMES, Cluster, key_request, put_manifest, wait_until

from bulrushbend.core.errors import NoQuorumError
from bulrushbend.wire.control_pb2 import Command
from bulrushbend.wire.fleet_pb2 import KeyReply, PublishReply, StoredAnswer

TIMEOUT_MS = 250
names = st.sampled_from(NAMES)
keys = st.sampled_from(["k1", "k2"])
requests = st.sampled_from(["req-1", "req-2", "req-3"])


class ReplicatedStore(RuleBasedStateMachine):
    """Three replicas that stop, lose power and are isolated.

    The model holds the replies that callers received. A command without a reply may or
    may not have been applied, so only received replies restrict later ones.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.folder = tempfile.TemporaryDirectory()
        self.digests = {}
        self.owners = {}
        self.answers = {}

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @initialize()
    def start(self):
        self.cluster = Cluster(pathlib.Path(self.folder.name), snapshot_entries=4)
        self.run(self.cluster.__aenter__())

    async def propose(self, name, command, timeout_ms=TIMEOUT_MS):
        """Return the result, None when the outcome is unknown."""
        replica = self.cluster.replicas.get(name)
        if replica is None:
            return None
        try:
            return await replica.propose(command, timeout_ms)
        except NoQuorumError:
            return None

    @rule(name=names, version=st.integers(1, 6), team=st.sampled_from("abc"))
    def publish(self, name, version, team):
        self.run(self.check_publish(name, version, team))

    async def check_publish(self, name, version, team):
        command = put_manifest(version, f"crew-{team}")
        result = await self.propose(name, command)
        if result is None:
            return
        reply = PublishReply.FromString(result)
        highest = max(self.digests, default=0)
        assert reply.version >= highest
        known = self.digests.setdefault(reply.version, reply.digest)
        assert known == reply.digest
        if reply.result == PublishReply.ACCEPTED:
            assert reply.digest == command.put_manifest.digest

    @rule(name=names, other=names)
    def publish_at_once(self, name, other):
        """Publish two manifests as the next version through two replicas at once."""
        version = max(self.digests, default=0) + 1

        async def race():
            await asyncio.gather(
                self.check_publish(name, version, "a"),
                self.check_publish(other, version, "b"),
            )

        self.run(race())

    @rule(name=names, key=keys, request=requests)
    def record(self, name, key, request):
        command = Command(record_key=key_request(key, request))
        result = self.run(self.propose(name, command))
        if result is None:
            return
        reply = KeyReply.FromString(result)
        if key in self.answers:
            assert reply.result == KeyReply.COMPLETED
            assert reply.answer.body == self.answers[key]
        elif reply.result == KeyReply.RECORDED:
            assert self.owners.setdefault(key, request) == request
        elif request == self.owners.get(key):
            assert reply.result == KeyReply.COMPLETED

    @precondition(lambda self: self.owners)
    @rule(name=names, key=keys)
    def complete(self, name, key):
        request = self.owners.get(key)
        if request is None:
            return
        answer = StoredAnswer(status=200, body=request.encode(), body_kept=True)
        command = Command(complete_key=key_request(key, request, answer=answer))
        result = self.run(self.propose(name, command))
        if result is not None:
            assert KeyReply.FromString(result).result == KeyReply.COMPLETED
            self.answers[key] = request.encode()

    @rule(name=names)
    def confirm(self, name):
        """A confirmed read must include every version that a caller was sent."""
        replica = self.cluster.replicas.get(name)
        if replica is None:
            return
        highest = max(self.digests, default=0)
        try:
            self.run(replica.read_index(TIMEOUT_MS))
        except NoQuorumError:
            return
        assert replica.state.manifest_version >= highest

    @rule(name=names)
    def stop(self, name):
        if name in self.cluster.replicas:
            self.run(self.cluster.stop(name))

    @rule(torn_bytes=st.integers(0, 60))
    def lose_power_everywhere(self, torn_bytes):
        for name in list(self.cluster.replicas):
            self.run(self.cluster.lose_power(name, torn_bytes))

    @rule()
    def start_all(self):
        self.run(self.start_stopped())

    async def start_stopped(self):
        for name in NAMES:
            if name not in self.cluster.replicas:
                self.cluster.start(name)

    @rule(name=names)
    def cut(self, name):
        self.cluster.network.cut(name)

    @rule()
    def lose_answers(self):
        self.cluster.network.drop_replies("Append")

    @rule()
    def heal(self):
        self.cluster.network.heal()

    @rule(duration_ms=st.integers(10, 400))
    def wait(self, duration_ms):
        self.run(asyncio.sleep(duration_ms / 1000))

    async def check_convergence(self):
        """End all failures; the replicas must agree with each other and the model."""
        self.cluster.network.heal()
        await self.start_stopped()
        await self.cluster.wait_for_leader()
        for replica in self.cluster.replicas.values():
            await replica.read_index(5000)
        leader = self.cluster.leader.state
        assert leader.manifest_version >= max(self.digests, default=0)
        for version, digest in self.digests.items():
            if version == leader.manifest_version:
                assert leader.manifest.digest == digest
        await wait_until(
            lambda: (
                len({r.state.snapshot() for r in self.cluster.replicas.values()}) == 1
            )
        )
        await self.cluster.__aexit__()

    def teardown(self):
        try:
            self.run(self.check_convergence())
        finally:
            self.loop.close()
            self.folder.cleanup()


ReplicatedStore.TestCase.settings = settings(
    max_examples=12,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestReplicatedStore = ReplicatedStore.TestCase
