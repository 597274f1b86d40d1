"""gRPC server whose end closes the connections of its clients."""

import weakref
from collections.abc import Collection
from typing import Any

from grpclib.protocol import H2Protocol
from grpclib.server import Server


class ClosingServer(Server):
    """Server that closes its connections after its request handlers have ended.

    The server of grpclib leaves them open: an ended stream gets no trailers, and new
    calls on them reach the old services.

    Parameters
    ----------
    services : collection of grpclib services
        Services of the server.
    """

    def __init__(self, services: Collection[Any]):
        super().__init__(services)
        self._protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    async def wait_closed(self) -> None:
        """Wait until all request handlers have ended, then close the connections."""
        await super().wait_closed()
        for protocol in list(self._protocols):
            if hasattr(protocol, "processor"):
                protocol.processor.close("the server was closed")
