"""Calls between control replicas."""

import asyncio
import contextlib
from typing import Any, Protocol

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from bulrushbend.core.errors import ConnectError, PeerError, PeerTimeoutError
from bulrushbend.core.settings import split_address
from bulrushbend.store.configuration import Node
from bulrushbend.wire.fleet_grpc import ConsensusStub, FleetStub


class PeerTransport(Protocol):
    """Interface for calls to other replicas."""

    async def call(
        self, peer: Node, method: str, request: Any, timeout_ms: float
    ) -> Any:
        """Call a unary method of the `Consensus` service.

        Parameters
        ----------
        peer : Node
            Replica to call.
        method : str
            Method of `Consensus`, or ``"ChangeVoters"`` of `Fleet`.
        request : message
            Request message.
        timeout_ms : float
            Deadline in milliseconds.

        Raises
        ------
        ConnectError
            The peer's address refused the connection.
        PeerError
            The call failed; the peer may have executed it.
        """
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


# Forwarded calls wait for a majority. They use a separate connection, so that their
# timeouts do not close the one that carries heartbeats.
_FORWARDED_METHODS = frozenset({"Forward", "ReadIndex", "ChangeVoters"})


class GrpcTransport:
    """Transport over grpclib with two connections to each peer.

    A call that fails or times out closes its connection, and the next call opens a new
    one: a stateful network device on the path may have lost the state of the old
    connection although new ones work.
    """

    def __init__(self) -> None:
        self._channels: dict[tuple[str, bool], Channel] = {}

    async def call(
        self, peer: Node, method: str, request: Any, timeout_ms: float
    ) -> Any:
        """Call a method of a peer; see `PeerTransport.call`."""
        connection_key = (peer.address, method in _FORWARDED_METHODS)
        channel = self._channels.get(connection_key)
        if channel is None:
            channel = self._channels[connection_key] = _open_channel(peer, method)
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                return await _stub_method(channel, method)(request)
        except TimeoutError:
            self._close_channel(connection_key, channel)
            raise PeerTimeoutError(
                f"no answer within {timeout_ms:.0f} ms", step=method, peer=peer.name
            ) from None
        except ConnectionRefusedError as error:
            self._close_channel(connection_key, channel)
            reason = error.strerror or str(error)
            raise ConnectError(reason, step=method, peer=peer.name) from None
        except (
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
            OSError,
            # The host of the address cannot be encoded for the name resolution.
            ValueError,
        ) as error:
            self._close_channel(connection_key, channel)
            reason = str(error) or type(error).__name__
            raise PeerError(reason, step=method, peer=peer.name) from None

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _close_channel(
        self, connection_key: tuple[str, bool], channel: Channel
    ) -> None:
        if self._channels.get(connection_key) is channel:
            del self._channels[connection_key]
        with contextlib.suppress(OSError):
            channel.close()


def _open_channel(peer: Node, method: str) -> Channel:
    try:
        return Channel(*split_address(peer.address))
    except ValueError as error:
        raise PeerError(str(error), step=method, peer=peer.name) from None


def _stub_method(channel: Channel, method: str) -> Any:
    stub = FleetStub if method == "ChangeVoters" else ConsensusStub
    return getattr(stub(channel), method)
