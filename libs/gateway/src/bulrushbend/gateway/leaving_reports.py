"""Exchange of notices about leaving endpoints between the gateways.

Coordinators place requests of other gateways, so they are told which endpoints are
leaving. A gateway does not depend on it: it checks its own notices before it sends.
"""

from bulrushbend.core.clock import Clock
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.endpoint_notices import EndpointLookup, EndpointNotices
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.gateway.placement_client import DatagramSender
from bulrushbend.wire.fleet_pb2 import GatewayDatagram, LeavingEndpoint

# Time after which a coordinator that still chooses a leaving endpoint is told again,
# and the number of endpoints for which it is remembered.
_REPEAT_INTERVAL_MS = 500.0
_MAX_REPEATED = 256


class LeavingReports:
    """Records leaving endpoints and reports them to the coordinators.

    Parameters
    ----------
    notices : EndpointNotices
        Notices of this gateway.
    coordinators : Coordinators
        Knows the other gateways.
    clock : Clock
        Source of time.
    find_listed : callable
        Returns the endpoint with an id from the endpoint list, None if it is not there.
    send : callable
        Sends a datagram to an address.
    """

    def __init__(
        self,
        notices: EndpointNotices,
        coordinators: Coordinators,
        clock: Clock,
        find_listed: EndpointLookup,
        send: DatagramSender,
    ):
        self._notices = notices
        self._coordinators = coordinators
        self._clock = clock
        self._find_listed = find_listed
        self._send = send
        self._repeated: dict[str, float] = {}

    def record_leaving(self, endpoint: DiscoveredEndpoint) -> None:
        """Record that an endpoint stated in a response that it is leaving."""
        if self._notices.record_leaving(endpoint, "response"):
            self._report(endpoint)

    def repeat(self, endpoint: DiscoveredEndpoint) -> None:
        """Report a leaving endpoint again because a coordinator has chosen it."""
        if endpoint.id not in self._notices.leaving:
            return
        now_ms = self._clock.now_ms()
        repeated_ms = self._repeated.pop(endpoint.id, float("-inf"))
        if now_ms - repeated_ms < _REPEAT_INTERVAL_MS:
            self._repeated[endpoint.id] = repeated_ms
            return
        self._repeated[endpoint.id] = now_ms
        while len(self._repeated) > _MAX_REPEATED:
            del self._repeated[next(iter(self._repeated))]
        self._report(endpoint)

    def handle_report(self, report: LeavingEndpoint) -> None:
        """Handle the report of another gateway on an endpoint."""
        listed = self._find_listed(report.endpoint)
        if listed is None:
            return
        started_ms = report.started_ms if report.HasField("started_ms") else None
        is_same = listed.started_ms == started_ms
        if is_same:
            self._notices.record_leaving(listed, "report")

    def _report(self, endpoint: DiscoveredEndpoint) -> None:
        report = LeavingEndpoint(endpoint=endpoint.id, started_ms=endpoint.started_ms)
        for address in self._coordinators.report_addresses():
            self._send(address, GatewayDatagram(leaving_endpoint=report))
