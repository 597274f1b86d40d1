from bulrushbend.control.membership import Membership
from bulrushbend.control.service import FleetService
from bulrushbend.core.clock import ManualClock
from bulrushbend.store.base import SoloReplica

from .control_builders import publish_request


async def test_member_that_learns_nothing_is_behind_since_the_first_newer_manifest():
    # Guards against a member whose preferred replica is frozen and that the others
    # leave behind while changes follow each other, seen on the bench for 3 s.
    clock = ManualClock()
    service = FleetService(SoloReplica(), Membership(clock, 5000), clock)
    for version in range(1, 6):
        await service.publish(publish_request(version))
        await clock.advance(400)
    assert service.superseded_for_ms(1) == 1600
    assert service.superseded_for_ms(4) == 400
    assert service.superseded_for_ms(5) == 0
