import json

from bulrushbend.core.manifest import Manifest, hash_token
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.fleet_grpc import FleetBase
from bulrushbend.wire.fleet_pb2 import (
    Member,
    MemberStatus,
    PublishReply,
    RowGroup,
    StatusDetail,
    StatusReply,
    TeamRow,
)


def build_manifest(version=7, share=1.0):
    return Manifest.model_validate(
        {
            "version": version,
            "services": [{"name": "flor-llm", "kind": "model"}],
            "teams": [
                {"name": "crew-a", "share": share, "token_sha256": hash_token("a")},
                {"name": "crew-b", "share": 2.0, "token_sha256": hash_token("b")},
            ],
        }
    )


def build_record_group(team, served_ms, waiting=True, agent="a1"):
    record = TeamRow(team=team, served_ms=int(served_ms), waiting=waiting)
    return RowGroup(service="flor-llm", agent=agent, rows=[record])


def build_agent(name, rows, age_ms=10):
    member = Member(name=name, role="agent", incarnation=1, service="flor-llm")
    detail = StatusDetail(rows=rows)
    return MemberStatus(member=member, report_age_ms=age_ms, detail=detail)


def build_status(members=(), term=1, leader="c1"):
    manifest = pack_manifest(build_manifest())
    return StatusReply(
        members=members, term=term, leader=leader, manifest=manifest, voters=["c1"]
    )


def event_line(**fields):
    stamp = {"wall_ms": 1000, "process": "r1", "incarnation": 1, "sequence": 1}
    return json.dumps({**stamp, "kind": "request-queued", **fields})


class FakeFleet(FleetBase):
    """Control replica that answers calls of Publish with a list of results."""

    def __init__(self, results):
        self.results = list(results)
        self.received = []

    async def Publish(self, stream):  # noqa: N802
        request = await stream.recv_message()
        self.received.append(request.manifest.digest)
        result = self.results.pop(0)
        if result == "lost":
            stream._stream.connection._transport.abort()
            return
        reply = PublishReply(result=result, version=9, digest="winner")
        await stream.send_message(reply)

    async def Status(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(build_status())

    Watch = RecordKey = CompleteKey = ReleaseKey = ChangeVoters = Status
