from bulrushbend.control.membership import Membership
from bulrushbend.core.clock import ManualClock
from bulrushbend.wire.fleet_pb2 import Member, MemberReport, StatusDetail


def report(incarnation=1, **fields):
    member = Member(name="a1", role="agent", incarnation=incarnation)
    return MemberReport(member=member, **fields)


def test_report_without_detail_keeps_detail_of_the_same_incarnation():
    # Guards against a status without detail between two detailed reports, and against
    # the detail of a previous incarnation in the status of its successor.
    membership = Membership(ManualClock(), 5000.0)
    membership.handle_report(report(detail=StatusDetail(running=3)))
    membership.handle_report(report(leaving=True))
    [status] = membership.statuses()
    assert (status.detail.running, status.leaving) == (3, True)
    membership.handle_report(report(incarnation=2))
    [status] = membership.statuses()
    assert status.detail.running == 0
