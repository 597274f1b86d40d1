from bulrushbend.control.membership import Membership
from bulrushbend.control.service import FleetService
from bulrushbend.core.clock import ManualClock
from bulrushbend.store.base import SoloReplica

from .control_builders import publish_request


async def test_superseded_time_counts_from_the_first_newer_version():
    # Guards against a member that gets no manifest during a series of changes because
    # its preferred replica hangs and the others restart their grace time with each
    # change. On a benchmark such a member was behind for 3 s.
    clock = ManualClock()
    service = FleetService(SoloReplica(), Membership(clock, 5000), clock)
    for version in range(1, 6):
        await service.publish(publish_request(version))
        await clock.advance(400)
    assert service.superseded_for_ms(1) == 1600
    assert service.superseded_for_ms(4) == 400
    assert service.superseded_for_ms(5) == 0
