"""Limits on the request rate of endpoints, stated in their responses.

A limit holds for all gateways together, so it is enforced where requests are placed: at
the coordinator of a service. Gateways include the limits that they know, and how many
requests they placed, in their load reports. A gateway that becomes the coordinator
therefore continues with the account of the earlier one, and two that coordinate at the
same time charge each other's placements.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.logs import get_logger
from bulrushbend.gateway import metrics
from bulrushbend.gateway.endpoint_notices import EndpointLookup
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.wire.fleet_pb2 import EndpointLimit

_log = get_logger("gateway.limits")

# Requests that an endpoint may get at once beyond its rate: one, and what its rate
# allows in this time.
_BURST_S = 0.5
# Requests that are placed at an endpoint with a lower limit, so that its responses show
# when the limit ends.
_MIN_RATE_PER_S = 0.2
# Time for which the end of a limit is reported to other gateways.
_ENDED_RETENTION_MS = 5_000.0
# Relative change of a limit from which it is logged again.
_LOGGED_CHANGE = 0.1
# Largest number of endpoints with a limit; five times those of the design size.
_MAX_LIMITS = 4_096

# Largest age that fits in a report.
_MAX_AGE_MS = (1 << 32) - 1

_NONE: frozenset[str] = frozenset()


@dataclass
class _Placements:
    """Placements of another gateway at one endpoint.

    Attributes
    ----------
    incarnation, placed : int
        Incarnation of the gateway, and its count in its last report.
    granted : int
        Placements that this gateway granted and that were not in a report yet.
    """

    incarnation: int = 0
    placed: int | None = None
    granted: int = 0


@dataclass
class _Account:
    """Limit of one incarnation of an endpoint, and what is left of it.

    Attributes
    ----------
    started_ms : int or None
        Start of the incarnation, if known.
    rate_per_s : float or None
        Limit; None after the endpoint has stated that there is none.
    stated_ms : float
        Time of the newest statement.
    updated_ms : float
        Time for which `available` and `available_locally` were computed.
    available : float
        Requests that all gateways together may place; negative after an excess.
    available_locally : float
        Requests that this gateway may place if it is not the coordinator.
    placed : int
        Requests that this gateway placed.
    others : dict of str to _Placements
        Placements of the other gateways, by name.
    """

    started_ms: int | None
    rate_per_s: float | None
    stated_ms: float
    updated_ms: float
    available: float = 1.0
    available_locally: float = 0.0
    placed: int = 0
    others: dict[str, _Placements] = field(default_factory=dict)

    @property
    def rate(self) -> float:
        """Rate at which requests are placed, in 1/s."""
        return max(self.rate_per_s or 0.0, _MIN_RATE_PER_S)

    @property
    def burst(self) -> float:
        """Largest number of requests at once."""
        return 1.0 + _BURST_S * self.rate

    def refill(self, now_ms: float, gateways: int) -> None:
        """Add what the rate allows since the last call."""
        gained = self.rate * (now_ms - self.updated_ms) / 1000.0
        self.updated_ms = now_ms
        self.available = min(self.burst, self.available + gained)
        self.available_locally = min(1.0, self.available_locally + gained / gateways)

    def charge(self, requests: int) -> None:
        """Subtract requests; an excess is made up for within the burst's time."""
        self.available = max(-self.burst, self.available - requests)


class EndpointLimits:
    """Limits of endpoints and the requests that they allow.

    Parameters
    ----------
    clock : Clock
        Source of time.
    events : EventLog
        Records new, changed and ended limits.
    find_listed : callable
        Returns the endpoint with an id from the endpoint list, None if it is not there.
    coordinates : callable
        Returns whether this gateway is the first coordinator of a service. Another one
        that places by itself, since no coordinator replies, uses an equal share.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        find_listed: EndpointLookup,
        coordinates: Callable[[str], bool],
    ):
        self._clock = clock
        self._events = events
        self._find_listed = find_listed
        self._coordinates = coordinates
        self._gateways = 1
        self._accounts: dict[str, _Account] = {}

    @property
    def known(self) -> Iterable[str]:
        """Ids of the endpoints whose limit, or its end, is reported."""
        return self._accounts.keys()

    def set_gateways(self, count: int) -> None:
        """Set the number of gateways of the fleet."""
        self._refill()
        self._gateways = max(1, count)

    def applies_to(self, endpoints: Iterable[DiscoveredEndpoint]) -> bool:
        """Return whether one of the endpoints has a limit."""
        if not self._accounts:
            return False
        return any(self._limited(endpoint.id) for endpoint in endpoints)

    def exhausted(self, service: str, requester: str) -> frozenset[str]:
        """Return the ids of the endpoints that may get no request now.

        Parameters
        ----------
        service : str
            Service of the request.
        requester : str
            Gateway that requested the placement if it is another one, else empty.
        """
        if not self._accounts:
            return _NONE
        self._refill()
        is_shared = bool(requester) or self._coordinates(service)
        return frozenset(
            name
            for name, account in self._accounts.items()
            if account.rate_per_s is not None
            and not _may_place(account, is_shared=is_shared)
        )

    def wait_ms(
        self,
        endpoints: Iterable[DiscoveredEndpoint],
        service: str,
        requester: str,
        ahead: int,
    ) -> float:
        """Return how long a request waits for its turn under the limits.

        Parameters
        ----------
        endpoints : iterable of DiscoveredEndpoint
            Endpoints at which it may be placed.
        service, requester : str
            See `exhausted`.
        ahead : int
            Requests that are placed before it.

        Returns
        -------
        float
            Milliseconds; 0 if one of the endpoints has no limit.
        """
        if not self._accounts:
            return 0.0
        self._refill()
        accounts = [self._limited(endpoint.id) for endpoint in endpoints]
        if not accounts or None in accounts:
            return 0.0
        if requester or self._coordinates(service):
            available = sum(max(0.0, account.available) for account in accounts)
            rate = sum(account.rate for account in accounts)
        else:
            available = sum(account.available_locally for account in accounts)
            rate = sum(account.rate for account in accounts) / self._gateways
        return max(0.0, ahead + 1 - available) / rate * 1000.0

    def record_statement(
        self, endpoint: DiscoveredEndpoint, rate_per_s: float | None
    ) -> None:
        """Record the limit in a response of an endpoint.

        Parameters
        ----------
        endpoint : DiscoveredEndpoint
            The endpoint.
        rate_per_s : float or None
            Limit in requests per second, None if the response names none.
        """
        if rate_per_s is None and endpoint.id not in self._accounts:
            return
        now_ms = self._clock.now_ms()
        self._state(endpoint.id, endpoint.started_ms, rate_per_s, now_ms)

    def record_placed(self, endpoint: str) -> None:
        """Record a request that this gateway sends to an endpoint."""
        account = self._accounts.get(endpoint)
        if account is not None:
            account.placed += 1
            account.charge(1)
            account.available_locally = max(0.0, account.available_locally - 1.0)

    def record_granted(self, endpoint: str, gateway: str) -> None:
        """Record a request that was placed for another gateway."""
        account = self._accounts.get(endpoint)
        if account is not None:
            account.charge(1)
            account.others.setdefault(gateway, _Placements()).granted += 1

    def release_grant(self, endpoint: str, gateway: str) -> None:
        """Remove a request that the other gateway did not wait for."""
        account = self._accounts.get(endpoint)
        other = account.others.get(gateway) if account is not None else None
        if other is not None and other.granted:
            other.granted -= 1
            account.charge(-1)

    def describe(self, endpoint: str) -> EndpointLimit | None:
        """Return what this gateway reports on an endpoint, None without a limit."""
        account = self._accounts.get(endpoint)
        if account is None:
            return None
        return EndpointLimit(
            rate_per_s=account.rate_per_s,
            age_ms=min(_MAX_AGE_MS, int(self._clock.now_ms() - account.stated_ms)),
            started_ms=account.started_ms,
            placed=account.placed,
        )

    def handle_report(
        self, gateway: str, incarnation: int, endpoint: str, report: EndpointLimit
    ) -> None:
        """Handle what another gateway reports on an endpoint."""
        rate_per_s = report.rate_per_s if report.HasField("rate_per_s") else None
        started_ms = report.started_ms if report.HasField("started_ms") else None
        if rate_per_s is None and endpoint not in self._accounts:
            return
        if rate_per_s is not None and not 0.0 <= rate_per_s < math.inf:
            _log.warning(
                "gateway %s reports a limit of %r/s of endpoint %s; ignoring it",
                gateway,
                rate_per_s,
                endpoint,
            )
            return
        stated_ms = self._clock.now_ms() - report.age_ms
        self._state(endpoint, started_ms, rate_per_s, stated_ms)
        account = self._accounts.get(endpoint)
        if account is not None and account.started_ms == started_ms:
            self._charge_placements(account, gateway, incarnation, report.placed)

    def update(self) -> None:
        """Apply a change of the endpoint list, and forget limits that ended."""
        now_ms = self._clock.now_ms()
        for name, account in list(self._accounts.items()):
            listed = self._find_listed(name)
            is_replaced = listed is not None and (
                listed.started_ms != account.started_ms
            )
            has_ended = account.rate_per_s is None and (
                now_ms - account.stated_ms > _ENDED_RETENTION_MS
            )
            if is_replaced or has_ended:
                del self._accounts[name]
        metrics.LIMITED.set(sum(1 for name in self._accounts if self._limited(name)))

    def _limited(self, endpoint: str) -> _Account | None:
        """Return the account of an endpoint that has a limit now."""
        account = self._accounts.get(endpoint)
        return account if account and account.rate_per_s is not None else None

    def _state(
        self,
        endpoint: str,
        started_ms: int | None,
        rate_per_s: float | None,
        stated_ms: float,
    ) -> None:
        """Apply a statement unless a newer one, or a later incarnation, is known."""
        listed = self._find_listed(endpoint)
        if listed is not None and listed.started_ms != started_ms:
            return
        account = self._accounts.get(endpoint)
        if account is None or account.started_ms != started_ms:
            self._accounts[endpoint] = account = _Account(
                started_ms, None, stated_ms, self._clock.now_ms()
            )
            while len(self._accounts) > _MAX_LIMITS:
                del self._accounts[next(iter(self._accounts))]
        elif stated_ms < account.stated_ms:
            return
        account.stated_ms = stated_ms
        if rate_per_s == account.rate_per_s:
            return
        before = account.rate_per_s
        account.refill(self._clock.now_ms(), self._gateways)
        account.rate_per_s = rate_per_s
        account.available = min(account.burst, account.available)
        if _is_other_limit(before, rate_per_s):
            self._events.write(
                EventKind.ENDPOINT_LIMITED, endpoint=endpoint, rate_per_s=rate_per_s
            )

    def _charge_placements(
        self, account: _Account, gateway: str, incarnation: int, placed: int
    ) -> None:
        """Charge what another gateway placed without a grant of this one."""
        other = account.others.setdefault(gateway, _Placements())
        if other.incarnation != incarnation or other.placed is None:
            other.granted = 0 if other.incarnation != incarnation else other.granted
            other.incarnation, other.placed = incarnation, placed
            return
        added = max(0, placed - other.placed)
        other.placed = placed
        granted = min(added, other.granted)
        other.granted -= granted
        account.charge(added - granted)

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        for account in self._accounts.values():
            account.refill(now_ms, self._gateways)


def _may_place(account: _Account, *, is_shared: bool) -> bool:
    """Return whether the endpoint may get another request from this gateway."""
    available = account.available if is_shared else account.available_locally
    return available >= 1.0


def _is_other_limit(before: float | None, now: float | None) -> bool:
    """Return whether a limit began, ended or changed by much."""
    if before is None or now is None:
        return before is not now
    return abs(now - before) > _LOGGED_CHANGE * before
