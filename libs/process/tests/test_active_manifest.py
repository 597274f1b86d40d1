from hypothesis import given
from hypothesis import strategies as st

from bulrushbend.core.events import MemoryEventLog
from bulrushbend.core.manifest import Manifest
from bulrushbend.process.active_manifest import ActiveManifest
from bulrushbend.wire.documents import pack_manifest


def document(version):
    return pack_manifest(Manifest(version=version))


def test_first_manifest_needs_confirmation():
    # A restarted process must not adopt an outdated manifest from a stale replica.
    in_force = ActiveManifest(MemoryEventLog())
    assert not in_force.adopt_if_newer(document(3), peer="stale")
    assert in_force.version == 0
    assert in_force.adopt_if_newer(document(7), peer="control-1", confirmed=True)


@given(st.lists(st.integers(1, 50), max_size=20))
def test_version_never_decreases(versions):
    in_force = ActiveManifest(MemoryEventLog())
    highest = 0
    for version in versions:
        in_force.adopt_if_newer(document(version), peer="p", confirmed=True)
        assert in_force.version >= highest
        highest = in_force.version
    assert highest == max(versions, default=0)


def test_document_with_wrong_digest_is_rejected():
    in_force = ActiveManifest(MemoryEventLog())
    bad = document(2)
    bad.digest = "0" * 64
    assert not in_force.adopt_if_newer(bad, peer="p", confirmed=True)


def test_document_is_only_returned_for_peer_with_older_version():
    in_force = ActiveManifest(MemoryEventLog())
    assert in_force.document_for(0) is None
    in_force.adopt_if_newer(document(5), peer="p", confirmed=True)
    assert in_force.document_for(4).version == 5
    assert in_force.document_for(5) is None


def test_version_whose_listener_failed_is_not_reported_and_is_applied_again():
    """Guards against old routes in force under the number of a new version."""
    in_force = ActiveManifest(MemoryEventLog())
    applied = []

    def fail_once(manifest):
        applied.append(manifest.version)
        if applied == [1, 4]:
            raise RuntimeError("no")

    in_force.add_listener(fail_once)
    others = []
    in_force.add_listener(lambda manifest: others.append(manifest.version))
    assert in_force.adopt_if_newer(document(1), peer="c1", confirmed=True)
    assert not in_force.adopt_if_newer(document(4), peer="c1")
    assert (in_force.version, others) == (1, [1, 4])
    assert not in_force.adopt_if_newer(document(3), peer="c2")
    assert in_force.adopt_if_newer(document(4), peer="c1")
    assert (in_force.version, applied, others) == (4, [1, 4, 4], [1, 4, 4])
