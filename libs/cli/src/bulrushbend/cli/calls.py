"""gRPC calls to control replicas for the operators' commands."""

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from bulrushbend.core.settings import split_address
from bulrushbend.wire.fleet_grpc import FleetStub

CALL_ERRORS = (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError)


@dataclass(frozen=True)
class CallFailure:
    """Failure of a call that returned no reply.

    Attributes
    ----------
    address : str
        Address of the replica that was called.
    reason : str
        Short description of the failure for the operator.
    maybe_sent : bool
        Whether the replica may have received the request.
    """

    address: str
    reason: str
    maybe_sent: bool


async def call_replica(
    address: str, method: str, request: Any, timeout_ms: float
) -> Any | CallFailure:
    """Call a method of the `Fleet` service and return the reply or the failure.

    Parameters
    ----------
    address : str
        ``"host:port"`` of the gRPC server of the replica.
    method : str
        Name of a unary method.
    request : message
        Request message.
    timeout_ms : float
        Time limit in milliseconds, including the time to connect.
    """
    host, port = split_address(address)
    channel = Channel(host, port)
    with contextlib.closing(channel):
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                return await getattr(FleetStub(channel), method)(request)
        except TimeoutError:
            return CallFailure(address, "no answer in time", True)
        except ConnectionRefusedError:
            return CallFailure(address, "connection refused", False)
        except CALL_ERRORS as error:
            reason = str(error) or type(error).__name__
            return CallFailure(address, reason, True)
