import pytest

from bulrushbend.control.publishing import HighestVersionPublisher
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import NoQuorum
from bulrushbend.core.manifest import Manifest, Team
from bulrushbend.store.base import SoloReplica


def make_manifest(version, team="crew-a"):
    return Manifest(version=version, teams=(Team(name=team, token_sha256=()),))


@pytest.fixture
def publisher():
    return HighestVersionPublisher(SoloReplica(), Clock())


async def test_highest_version_wins_and_lower_versions_are_ignored(publisher):
    # Guards against a late or repeated manifest that reverts the fleet to it.
    assert await publisher.publish(make_manifest(5)) == 5
    assert await publisher.publish(make_manifest(3)) == 5
    assert await publisher.publish(make_manifest(5, "crew-b")) == 5
    assert (await publisher.read()).teams[0].name == "crew-a"
    assert await publisher.publish(make_manifest(5)) == 5


async def test_read_fails_before_the_first_manifest(publisher):
    with pytest.raises(NoQuorum):
        await publisher.read()
