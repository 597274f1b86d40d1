import asyncio

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.core.manifest import Manifest
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.process.manifest_requests import ManifestRequests
from bulrushbend.wire.documents import pack_manifest


async def test_replicas_are_asked_in_turn_and_less_often_for_a_rejected_manifest():
    """Guards against whole manifests that are sent again and again in vain."""
    asked = []
    requests = ManifestRequests(ActiveManifest(MemoryEventLog()), Clock(), asked.append)
    task = asyncio.create_task(requests.run())
    for name in ("c1", "c2", "c3"):
        requests.handle_announcement(name, 7)
    await asyncio.sleep(1.4)
    task.cancel()
    assert asked == ["c1", "c2", "c3"]


async def test_nothing_is_asked_for_a_manifest_that_arrives_in_time():
    """Guards against whole manifests that each replica sends."""
    asked = []
    in_force = ActiveManifest(MemoryEventLog())
    requests = ManifestRequests(in_force, Clock(), asked.append)
    task = asyncio.create_task(requests.run())
    requests.handle_announcement("c1", 7)
    document = pack_manifest(Manifest(version=7))
    in_force.adopt_if_newer(document, peer="c1", confirmed=True)
    await asyncio.sleep(0.4)
    task.cancel()
    assert asked == []
