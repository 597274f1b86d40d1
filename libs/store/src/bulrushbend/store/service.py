"""The `Consensus` service between control replicas."""

from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from bulrushbend.core.errors import NoQuorumError, NotLeaderError, StoreFailedError
from bulrushbend.store.replica import Replica
from bulrushbend.wire.fleet_grpc import ConsensusBase
from bulrushbend.wire.fleet_pb2 import ForwardReply, ReadIndexReply


class ConsensusService(ConsensusBase):
    """Passes the calls of peers to a replica.

    Parameters
    ----------
    replica : Replica
        Replica that handles the calls.
    """

    def __init__(self, replica: Replica):
        self._replica = replica

    async def Vote(self, stream: Any) -> None:  # noqa: N802
        """Handle a vote request."""
        request = await stream.recv_message()
        try:
            reply = self._replica.handle_vote_request(request)
        except StoreFailedError as error:
            raise _unavailable(error) from None
        await stream.send_message(reply)

    async def Append(self, stream: Any) -> None:  # noqa: N802
        """Append entries of a leader."""
        request = await stream.recv_message()
        try:
            reply = await self._replica.handle_append_request(request)
        except StoreFailedError as error:
            raise _unavailable(error) from None
        await stream.send_message(reply)

    async def InstallSnapshot(self, stream: Any) -> None:  # noqa: N802
        """Install a snapshot of a leader."""
        request = await stream.recv_message()
        try:
            reply = await self._replica.handle_snapshot_request(request)
        except StoreFailedError as error:
            raise _unavailable(error) from None
        await stream.send_message(reply)

    async def Forward(self, stream: Any) -> None:  # noqa: N802
        """Commit a command that a follower has forwarded."""
        request = await stream.recv_message()
        try:
            result = await self._replica.propose_as_leader(request.command)
            reply = ForwardReply(accepted=True, result=result)
        except StoreFailedError as error:
            raise _unavailable(error) from None
        except (NotLeaderError, NoQuorumError) as error:
            reply = ForwardReply(accepted=False, message=str(error))
        await stream.send_message(reply)

    async def ReadIndex(self, stream: Any) -> None:  # noqa: N802
        """Confirm a read for a follower."""
        await stream.recv_message()
        try:
            index = await self._replica.read_index_as_leader()
            reply = ReadIndexReply(confirmed=True, index=index)
        except StoreFailedError as error:
            raise _unavailable(error) from None
        except (NotLeaderError, NoQuorumError):
            reply = ReadIndexReply(confirmed=False)
        await stream.send_message(reply)


def _unavailable(error: StoreFailedError) -> GRPCError:
    return GRPCError(Status.UNAVAILABLE, str(error))
