import pytest
from cli_builders import FakeFleet, build_manifest
from grpclib.server import Server

from bulrushbend.cli.publish import PublishResult, publish
from bulrushbend.core.clock import Clock
from bulrushbend.wire.fleet_pb2 import PublishReply

REFUSING_ADDRESS = "127.0.0.1:1"


async def publish_to(results, timeout_ms=2000, before=()):
    fleet = FakeFleet(results)
    server = Server([fleet])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    addresses = [*before, f"127.0.0.1:{port}"]
    outcome = await publish(addresses, build_manifest(), timeout_ms, Clock())
    server.close()
    await server.wait_closed()
    return outcome, fleet


@pytest.mark.parametrize(
    ("results", "expected", "code", "text"),
    [
        ([PublishReply.ACCEPTED], PublishResult.ACCEPTED, 0, "version 7"),
        ([PublishReply.CONFLICT], PublishResult.CONFLICT, 3, "digest winner"),
        ([PublishReply.STALE], PublishResult.STALE, 3, "newer than 7"),
        (["lost", PublishReply.ACCEPTED], PublishResult.ACCEPTED, 0, "accepted"),
        (["lost", PublishReply.STALE], PublishResult.STALE, 3, "earlier call"),
        ([PublishReply.UNAVAILABLE] * 50, PublishResult.UNKNOWN, 4, "may have been"),
    ],
)
async def test_outcome_depends_on_replies(results, expected, code, text):
    outcome, fleet = await publish_to(results, timeout_ms=500)
    assert outcome.result is expected
    assert outcome.result.exit_code == code
    assert text in outcome.message
    assert len(set(fleet.received)) == 1


async def test_next_replica_is_called_after_refused_connection():
    outcome, _ = await publish_to([PublishReply.ACCEPTED], before=[REFUSING_ADDRESS])
    assert outcome.result is PublishResult.ACCEPTED


async def test_refused_connections_give_unavailable_not_unknown():
    outcome = await publish([REFUSING_ADDRESS], build_manifest(), 200, Clock())
    assert outcome.result is PublishResult.UNAVAILABLE
    assert "nothing was sent" in outcome.message
