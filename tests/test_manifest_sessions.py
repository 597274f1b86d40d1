import asyncio
import json
import time
from collections import defaultdict

import pytest
from fleet import Fleet
from forwarder import Rule
from localfleet import FleetPlan

from bulrushbend.cli.publish import publish
from bulrushbend.core.clock import Clock
from bulrushbend.core.manifest import parse_manifest

REPLICAS = ("control-1", "control-2", "control-3")
PLAN = FleetPlan(engines=1, applications=0, platform=False)
# Maximum time from publishing to being in force everywhere at scale, from section 1.4
# of the design.
IN_FORCE_LIMIT_S = 8.0
VERSIONS = 500
# Longer than a replica tries to confirm a manifest for a process without one.
CONFIRM_WAIT_S = 2.5


class ManifestPublisher:
    """Publishes manifests of increasing versions from the test process."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 1

    def build(self, version, retry_share=0.1):
        document = self.fleet.manifest(version, retry_share=retry_share)
        return parse_manifest(json.dumps(document))

    def next_version(self):
        self.version += 1
        return self.version

    async def send(self, manifest, replicas=REPLICAS, timeout_ms=8000.0):
        units = [self.fleet.units[name] for name in replicas]
        addresses = [unit.settings["link_address"] for unit in units]
        return await publish(addresses, manifest, timeout_ms, Clock())

    def publish(self, manifest, replicas=REPLICAS, timeout_ms=8000.0):
        return str(asyncio.run(self.send(manifest, replicas, timeout_ms)).result)

    def versions_in_force(self):
        """Return the versions of each process in the order in which it applied them."""
        versions = defaultdict(list)
        digests = defaultdict(set)
        for event in self.fleet.events("router-1", "router-2", "agent-engine-1"):
            if event.kind == "manifest-in-force":
                versions[event.process].append(event.details["version"])
                digests[event.details["version"]].add(event.details["digest"])
        assert all(len(found) == 1 for found in digests.values())
        for process, found in versions.items():
            assert found == sorted(found), process
        return versions

    def versions_since_start(self, process):
        """Return the versions that the process applied since its latest start."""
        versions = []
        for event in self.fleet.events(process):
            if event.kind == "process-started":
                versions.clear()
            if event.kind == "manifest-in-force":
                versions.append(event.details["version"])
        return versions

    def wait_in_force(self):
        def is_everywhere():
            found = self.versions_in_force()
            return len(found) == 3 and {v[-1] for v in found.values()} == {self.version}

        description = f"version {self.version} is in force"
        self.fleet.wait_until(is_everywhere, description, IN_FORCE_LIMIT_S)
        return "newest version in force everywhere, none reverted"


@pytest.fixture(scope="module")
def publisher(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("manifests"), PLAN) as running:
        running.boot()
        yield ManifestPublisher(running)


def test_concurrent_manifests_of_one_version_have_one_winner(publisher, snapshot):
    """Two manifests of one version are both accepted, or the accepted one changes."""
    lines = []
    for _ in range(5):
        version = publisher.next_version()
        contents = [publisher.build(version, share) for share in (0.1, 0.2)]

        async def race(contents=contents):
            return await asyncio.gather(
                publisher.send(contents[0], ["control-1"]),
                publisher.send(contents[1], ["control-2"]),
            )

        results = [str(outcome.result) for outcome in asyncio.run(race())]
        again = [publisher.publish(content) for content in contents]
        assert again == results
        lines.append(f"one version, two contents: {sorted(results)}, again the same")
    lines.append(publisher.wait_in_force())
    assert "\n".join(lines) == snapshot


def test_manifest_sent_again_after_a_lost_answer_is_accepted_once(publisher, snapshot):
    """A manifest sent again after a lost answer is refused or accepted twice."""
    fleet = publisher.fleet
    leader = fleet.status()["leader"]
    others = [name for name in REPLICAS if name != leader]
    manifest = publisher.build(publisher.next_version())
    for name in others:
        fleet.pause(name)
    lines = [f"no majority: {publisher.publish(manifest, [leader], 1500.0)}"]
    for name in others:
        fleet.resume(name)
    lines.append(f"sent again: {publisher.publish(manifest, timeout_ms=15_000.0)}")
    lines.append(f"and again: {publisher.publish(manifest)}")
    lines.append(publisher.wait_in_force())
    assert "\n".join(lines) == snapshot


def test_resumed_leader_does_not_restore_an_older_manifest(publisher, snapshot):
    """A leader that was suspended for long restores an older state."""
    fleet = publisher.fleet
    leader = fleet.status()["leader"]
    others = [name for name in REPLICAS if name != leader]
    fleet.pause(leader)
    manifest = publisher.build(publisher.next_version())
    lines = [f"leader suspended: {publisher.publish(manifest, others, 15_000.0)}"]
    time.sleep(2.0)
    fleet.resume(leader)
    old = publisher.build(publisher.version - 1, 0.3)
    conflicting = publisher.build(publisher.version, 0.3)
    for name, content in (("older version", old), ("same version", conflicting)):
        result = publisher.publish(content, [leader], 15_000.0)
        lines.append(f"{name} through the old leader: {result}")
    lines.append(publisher.wait_in_force())
    assert "\n".join(lines) == snapshot


def test_restarted_router_ignores_an_isolated_replica(publisher, snapshot):
    """A router without state applies an old manifest from an isolated replica."""
    fleet = publisher.fleet
    network = fleet.network
    for name in REPLICAS[1:]:
        network.set_rule(Rule.SILENT, name, "control-1")
        network.set_rule(Rule.SILENT, "control-1", name)
        network.set_rule(Rule.SILENT, name, "router-1")
    manifest = publisher.build(publisher.next_version())
    published = publisher.publish(manifest, REPLICAS[1:], 15_000.0)
    lines = [f"control-1 isolated, published through the others: {published}"]
    fleet.restart("router-1")

    def sees_control():
        return fleet.linked_peers("router-1") & set(REPLICAS)

    fleet.wait_until(sees_control, "router-1 watches control-1")
    time.sleep(CONFIRM_WAIT_S)
    taken = publisher.versions_since_start("router-1")
    lines.append(f"router-1 restarted, linked to {sees_control()}, applied: {taken}")
    network.heal()
    lines.append(publisher.wait_in_force())
    fleet.wait_until(fleet.all_linked, "all links are up")
    assert "\n".join(lines) == snapshot


def test_restarted_router_applies_only_the_newest_version(publisher, snapshot):
    """A restarted process applies the versions that it missed before the newest."""
    fleet = publisher.fleet
    fleet.kill("router-1")
    contents = [publisher.build(publisher.next_version()) for _ in range(VERSIONS)]

    async def publish_all():
        return {str((await publisher.send(content)).result) for content in contents}

    began = time.monotonic()
    results = asyncio.run(publish_all())
    duration_s = time.monotonic() - began
    fleet.start("router-1")
    began = time.monotonic()
    lines = [f"{VERSIONS} versions: {sorted(results)}"]
    lines.append(publisher.wait_in_force())
    print(
        "published in", duration_s, "s, in force", time.monotonic() - began, "s later"
    )
    taken = publisher.versions_since_start("router-1")
    lines.append(f"versions that router-1 applied: {len(taken)}")
    assert "\n".join(lines) == snapshot


def replace_disk(publisher, lines, name):
    """Replace the disk of a replica; it must not vote before it has caught up."""
    fleet = publisher.fleet
    fleet.kill(name)
    fleet.wipe(name)
    fleet.start(name)
    fleet.wait_for("/healthz", [name])
    # One of the two other voters is suspended, and the wiped replica has no vote.
    fleet.pause("control-1")
    alone = publisher.build(publisher.version + 1, 0.3)
    result = publisher.publish(alone, ["control-2"], 2500.0)
    lines.append(f"{name} wiped, control-1 suspended: {result}")
    fleet.resume("control-1")
    address = fleet.units[name].settings["link_address"]
    fleet.voters("remove", name)
    fleet.voters("add-learner", name, f"--address={address}")
    # The manifest without an answer may have been accepted in the meantime.
    publisher.next_version()
    fleet.pause(name)
    others = [other for other in REPLICAS if other != name]
    manifest = publisher.build(publisher.next_version())
    lines.append(f"{name} lags: {publisher.publish(manifest, others)}")
    addresses = ",".join(fleet.units[n].settings["link_address"] for n in others)
    early = fleet.command("voters", "promote", name, "--control", addresses)
    lines.append(f"promoted while it lags: exit code {early.returncode}")
    fleet.resume(name)
    assert fleet.status()["learners"] == [name]
    fleet.voters("promote", name)
    assert sorted(fleet.status()["voters"]) == list(REPLICAS)


def test_loss_of_a_replica_after_a_repair_keeps_the_manifest(publisher, snapshot):
    """A repaired replica counts towards the majority before it has the state."""
    fleet = publisher.fleet
    manifest = publisher.build(publisher.next_version())
    lines = [f"before: {publisher.publish(manifest)}"]
    replace_disk(publisher, lines, "control-3")
    fleet.kill("control-1")
    fleet.wipe("control-1")
    old = publisher.build(publisher.version - 1)
    result = publisher.publish(old, REPLICAS[1:], 15_000.0)
    lines.append(f"control-3 repaired, control-1 lost, older version: {result}")
    conflicting = publisher.build(publisher.version, 0.3)
    result = publisher.publish(conflicting, REPLICAS[1:], 15_000.0)
    lines.append(f"same version, other content: {result}")
    manifest = publisher.build(publisher.next_version())
    result = publisher.publish(manifest, REPLICAS[1:], 15_000.0)
    lines.append(f"next version: {result}")
    lines.append(publisher.wait_in_force())
    assert "\n".join(lines) == snapshot
