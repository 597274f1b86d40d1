"""Datagrams by which gateways tell each other what they have in progress."""

import asyncio
from collections.abc import Callable, Iterable

from google.protobuf.message import DecodeError

from bulrushbend.core.clock import Clock
from bulrushbend.core.logs import part_logger
from bulrushbend.core.settings import split_address
from bulrushbend.gateway.loads import LoadView
from bulrushbend.wire.fleet_pb2 import LoadReport

_log = part_logger("gateway.spread")

# Reports are repeated at least so often, so that a lost datagram is made up for.
_REPEAT_MS = 500.0


class LoadSpread(asyncio.DatagramProtocol):
    """Sends own reports to all other gateways and takes theirs.

    Parameters
    ----------
    loads : LoadView
        Source and receiver of the reports.
    clock : Clock
        Source of time.
    spread_ms : float
        Shortest time between two reports in milliseconds.
    on_news : callable
        Called after a report of another gateway was taken.
    """

    def __init__(
        self,
        loads: LoadView,
        clock: Clock,
        spread_ms: float,
        on_news: Callable[[], None],
    ):
        self._loads = loads
        self._clock = clock
        self._spread_ms = spread_ms
        self._on_news = on_news
        self._transport: asyncio.DatagramTransport | None = None
        self._peers: list[tuple[str, int]] = []
        self._sent_ms = clock.now_ms()

    def set_peers(self, addresses: Iterable[str]) -> None:
        """Take the addresses of the other gateways."""
        self._peers = [split_address(address) for address in addresses]

    async def open(self, address: str) -> None:
        """Bind the socket.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(address)
        )

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await self._clock.sleep_ms(self._spread_ms)
            is_due = self._clock.now_ms() - self._sent_ms >= _REPEAT_MS
            if self._peers and (self._loads.has_changed or is_due):
                self._send()

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the bound socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take the report of another gateway."""
        try:
            report = LoadReport.FromString(data)
        except DecodeError as error:
            _log.warning("unreadable report from %s: %s", address[0], error)
            return
        self._loads.learn(report)
        self._on_news()

    def error_received(self, error: OSError) -> None:
        """Ignore a peer that does not listen; its reports stop as well."""

    def _send(self) -> None:
        self._sent_ms = self._clock.now_ms()
        data = self._loads.report().SerializeToString()
        for peer in self._peers:
            self._transport.sendto(data, peer)
