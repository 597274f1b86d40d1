"""Datagrams between gateways: load reports and placement messages."""

import asyncio
from collections.abc import Callable, Iterable

from google.protobuf.message import DecodeError

from bulrushbend.core.clock import Clock
from bulrushbend.core.logs import get_logger
from bulrushbend.core.settings import split_address
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.crash_reports import CrashReports
from bulrushbend.gateway.endpoint_sharing import EndpointListExchange
from bulrushbend.gateway.leaving_reports import LeavingReports
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.placement_client import PlacementClient
from bulrushbend.gateway.placement_server import PlacementServer
from bulrushbend.wire.fleet_pb2 import GatewayDatagram

_log = get_logger("gateway.spread")

# Maximum time between two full reports while a coordinator is suspected, so that the
# effect of a lost datagram is short.
_SUSPECT_REPORT_INTERVAL_MS = 500.0
# Time between two full reports while all coordinators reply. The coordinator replaces
# what lost brief reports changed by them, and the next coordinator starts with them.
# They are rare because traffic between data centres is expensive.
_STEADY_REPORT_INTERVAL_MS = 1_000.0
# Delay after which a change of load is reported to the coordinators. Prefill of a short
# prompt takes about as long, so an endpoint idles for at most one prompt.
_BRIEF_REPORT_DELAY_MS = 10.0


class PeerProtocol(asyncio.DatagramProtocol):
    """Sends and receives the datagrams of a gateway.

    Parameters
    ----------
    loads : LoadView
        Creates the reports of this gateway and handles those of the others.
    coordinators : Coordinators
        Coordinators in use, which receive a brief report after each change of load.
    clock : Clock
        Source of time.
    report_interval_ms : float
        Minimum time between two full reports in milliseconds.
    """

    def __init__(
        self,
        loads: LoadView,
        coordinators: Coordinators,
        clock: Clock,
        report_interval_ms: float,
    ):
        self._loads = loads
        self._coordinators = coordinators
        self._clock = clock
        self._report_interval_ms = report_interval_ms
        self._client: PlacementClient | None = None
        self._server: PlacementServer | None = None
        self._list_exchange: EndpointListExchange | None = None
        self._crash_reports: CrashReports | None = None
        self._leaving_reports: LeavingReports | None = None
        self._on_load_change: Callable[[], None] | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._last_full_report_ms = clock.now_ms()
        self._is_brief_report_scheduled = False
        # Coordinators that have the loads before the changes of the next brief report.
        self._informed: set[str] = set()
        loads.add_listener(self._schedule_brief_report)

    def set_receivers(
        self,
        client: PlacementClient,
        server: PlacementServer,
        list_exchange: EndpointListExchange,
        crash_reports: CrashReports,
        leaving_reports: LeavingReports,
        on_load_change: Callable[[], None],
    ) -> None:
        """Set the receivers of the messages and the callback for load changes."""
        self._client = client
        self._server = server
        self._list_exchange = list_exchange
        self._crash_reports = crash_reports
        self._leaving_reports = leaving_reports
        self._on_load_change = on_load_change

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
        """Send full reports until cancelled."""
        while True:
            await self._clock.sleep_ms(self._report_interval_ms)
            addresses = self._coordinators.report_addresses()
            if addresses and self._is_report_due():
                self._last_full_report_ms = self._clock.now_ms()
                report = GatewayDatagram(report=self._loads.report())
                self._send_to(addresses, report)

    def _is_report_due(self) -> bool:
        age_ms = self._clock.now_ms() - self._last_full_report_ms
        if not self._coordinators.has_suspects:
            return age_ms >= _STEADY_REPORT_INTERVAL_MS
        return self._loads.has_changed or age_ms >= _SUSPECT_REPORT_INTERVAL_MS

    def send(self, address: str, datagram: GatewayDatagram) -> None:
        """Send one datagram; it is dropped if the socket is closed."""
        self._send_to([address], datagram)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport of the bound socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Handle a datagram of another gateway."""
        try:
            datagram = GatewayDatagram.FromString(data)
        except DecodeError as error:
            _log.warning(
                "dropped a datagram from %s:%d that cannot be decoded: %s",
                address[0],
                address[1],
                error,
            )
            return
        try:
            self._handle_datagram(datagram, f"{address[0]}:{address[1]}")
        except Exception as error:
            _log.error(
                "dropped a datagram from %s:%d: unexpected error: %r",
                address[0],
                address[1],
                error,
            )

    def _handle_datagram(self, datagram: GatewayDatagram, sender: str) -> None:
        match datagram.WhichOneof("content"):
            case "report":
                if self._loads.handle_report(datagram.report):
                    self._on_load_change()
            case "request":
                self._server.handle_request(datagram.request, sender)
            case "reply":
                self._client.handle_reply(datagram.reply)
            case "cancel":
                self._server.cancel(datagram.cancel)
            case "list_note":
                self._list_exchange.handle_note(datagram.list_note, sender)
            case "list_request":
                self._list_exchange.handle_request(datagram.list_request, sender)
            case "list_page":
                self._list_exchange.handle_page(datagram.list_page)
            case "crash_note":
                self._crash_reports.handle_note(datagram.crash_note, sender)
            case "leaving_endpoint":
                self._leaving_reports.handle_report(datagram.leaving_endpoint)
            case _:
                _log.warning(
                    "dropped a datagram from %s without a known message", sender
                )

    def error_received(self, error: OSError) -> None:
        """Ignore the error: a peer that does not listen sends no reports either."""

    def _send_to(self, addresses: Iterable[str], datagram: GatewayDatagram) -> None:
        if self._transport is None:
            return
        data = datagram.SerializeToString()
        for address in addresses:
            self._transport.sendto(data, split_address(address))

    def _schedule_brief_report(self) -> None:
        if (
            not self._is_brief_report_scheduled
            and self._coordinators.addresses_in_use()
        ):
            self._is_brief_report_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(_BRIEF_REPORT_DELAY_MS / 1000.0, self._send_brief_report)

    def _send_brief_report(self) -> None:
        self._is_brief_report_scheduled = False
        addresses = self._coordinators.addresses_in_use()
        if addresses:
            report = self._loads.report(
                is_brief=True, is_partial=addresses <= self._informed
            )
            self._send_to(addresses, GatewayDatagram(report=report))
        self._informed = addresses
