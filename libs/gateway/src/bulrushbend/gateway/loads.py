"""Load of each endpoint: the requests in progress from this and all other gateways."""

import math
from collections import OrderedDict, defaultdict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from bulrushbend.core.clock import Clock
from bulrushbend.gateway.call import Placement, PromptPart
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.endpoint_limits import EndpointLimits
from bulrushbend.gateway.load_totals import Load, LoadTotals
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex
from bulrushbend.gateway.prompt_reports import PromptReports
from bulrushbend.wire.fleet_pb2 import (
    EndpointLoad,
    GrantMark,
    LoadReport,
    SharedPrompt,
    TeamUse,
    WaitingLevel,
)

# Gateways repeat their reports at least every second, and every 500 ms while a
# coordinator is suspected. A gateway without a report for this time has ended or is
# unreachable, and its requests are no longer counted.
REPORT_TTL_MS = 2_500.0
# The usage of waiting teams changes with every placement, so older values are ignored.
# Full reports arrive every 200 ms.
WAITING_TTL_MS = 400.0
# A grant that the requesting gateway has not acknowledged after this time was lost in
# transit: load changes are reported within 10 ms.
GRANT_TTL_MS = 250.0
# Limit on a full report; a UDP datagram holds 65,507 bytes.
_MAX_REPORT_BYTES = 60_000

_NO_LOAD = Load()


@dataclass
class _Peer:
    incarnation: int
    sequence: int
    received_ms: float
    loads: dict[str, Load] = field(default_factory=dict)
    teams: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, float] = field(default_factory=dict)
    full_report_ms: float = float("-inf")


@dataclass
class _Grant:
    endpoint: str
    unread_tokens: int
    granted_ms: float


class LoadView:
    """Load of the endpoints: exact for this gateway, as reported for the others.

    Parameters
    ----------
    name : str
        Name of this gateway.
    incarnation : int
        Incarnation of this gateway; a restart increases it.
    clock : Clock
        Source of time.
    prefix_cache : PrefixCacheIndex
        Records the shared parts of the prompts that any gateway places.
    limits : EndpointLimits, optional
        Counts the placements at endpoints with a limit, here and in the reports.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        clock: Clock,
        prefix_cache: PrefixCacheIndex,
        limits: EndpointLimits | None = None,
    ):
        self._limits = limits
        self._prefix_cache = prefix_cache
        self._prompt_reports = PromptReports()
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._own: dict[str, Load] = defaultdict(Load)
        self._team_tokens: dict[str, int] = defaultdict(int)
        self._charges: list[tuple[str, int]] = []
        # The gateways that reported least recently come first.
        self._peers: OrderedDict[str, _Peer] = OrderedDict()
        # Gateways whose last report is too old to count.
        self._silent_peers: dict[str, _Peer] = {}
        # Usage of the teams that wait at other gateways, by service and gateway.
        self._peer_waiting: defaultdict[str, dict[str, float]] = defaultdict(dict)
        # Endpoints whose load changed since the last brief report, and since the one
        # before it.
        self._changed_endpoints: set[str] = set()
        self._repeated_endpoints: set[str] = set()
        self._waiting_usage: dict[str, float] = {}
        self._grants: dict[str, dict[int, _Grant]] = defaultdict(dict)
        self._last_serials: dict[str, int] = defaultdict(int)
        self._acknowledged_grants: dict[str, tuple[int, int]] = {}
        self._grant_order: deque[tuple[str, int]] = deque()
        self._totals = LoadTotals()
        self._sequence = 0
        self._changed = False
        self._listeners: list[Callable[[], None]] = []

    @property
    def has_changed(self) -> bool:
        """Whether the load from this gateway changed since the last full report."""
        return self._changed

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the load from this gateway."""
        self._listeners.append(listener)

    def add_load_listener(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the id of each endpoint whose total load changes."""
        self._totals.add_listener(listener)

    def total(self, endpoint: str) -> Load:
        """Return the load of an endpoint over all gateways."""
        return self.totals().get(endpoint) or Load()

    def totals(self) -> Mapping[str, Load]:
        """Return the load of each endpoint that has any, over all gateways."""
        self._expire()
        return self._totals.loads

    def own(self, endpoint: str) -> Load:
        """Return the load of an endpoint from this gateway."""
        return self._own.get(endpoint) or Load()

    def begin(self, placement: Placement, demand: Demand) -> Placement:
        """Record a placed request as load and return its placement.

        A request of another gateway becomes a grant, which counts until that gateway
        acknowledges it in a report. The team is charged here in both cases.
        """
        if demand.has_prompt:
            self._prefix_cache.record(
                placement.endpoint, demand.shared, demand.own_tokens
            )
        if demand.shared:
            self._prompt_reports.add(
                SharedPrompt(
                    endpoint=placement.endpoint,
                    digests=[part.digest for part in demand.shared],
                    tokens=[part.tokens for part in demand.shared],
                    own_tokens=demand.own_tokens,
                )
            )
        self._team_tokens[demand.team] += demand.cost
        self._charges.append((demand.team, demand.cost))
        if not demand.requester:
            self._add_load(placement)
            return placement
        serial = self._last_serials[demand.requester] = (
            self._last_serials[demand.requester] + 1
        )
        self._grants[demand.requester][serial] = _Grant(
            placement.endpoint, placement.unread_tokens, self._clock.now_ms()
        )
        self._grant_order.append((demand.requester, serial))
        if self._limits is not None:
            self._limits.record_granted(placement.endpoint, demand.requester)
        self._totals.add(placement.endpoint, 1, placement.unread_tokens)
        self._notify_change()
        return Placement(
            placement.endpoint, placement.unread_tokens, placement.fetch_from, serial
        )

    def add_grant(
        self, placement: Placement, coordinator: str, incarnation: int
    ) -> None:
        """Record as load a request that a coordinator placed for this gateway."""
        self.acknowledge_grant(placement.serial, coordinator, incarnation)
        self._add_load(placement)

    def acknowledge_grant(
        self, serial: int, coordinator: str, incarnation: int
    ) -> None:
        """Record that a grant arrived; the next reports acknowledge it."""
        newest = self._acknowledged_grants.get(coordinator, (0, 0))
        if newest[0] == incarnation:
            serial = max(newest[1], serial)
        self._acknowledged_grants[coordinator] = (incarnation, serial)

    def end_prefill(self, endpoint: str, unread: int) -> None:
        """Remove the prompt tokens of a request after its first event or its end."""
        self._own[endpoint].unread_tokens -= unread
        self._totals.add(endpoint, 0, -unread)
        self._changed_endpoints.add(endpoint)
        self._notify_change()

    def end(self, endpoint: str) -> None:
        """Remove a request that has ended."""
        load = self._own[endpoint]
        load.running -= 1
        if load.running == 0 and load.unread_tokens == 0:
            del self._own[endpoint]
        self._totals.add(endpoint, -1, 0)
        self._changed_endpoints.add(endpoint)
        self._notify_change()

    def release(self, placement: Placement, requester: str = "") -> None:
        """Remove the load of a placement that is not used."""
        if requester:
            if self._limits is not None:
                self._limits.release_grant(placement.endpoint, requester)
            self._remove_grant(requester, placement.serial)
            self._notify_change()
        else:
            self.end_prefill(placement.endpoint, placement.unread_tokens)
            self.end(placement.endpoint)

    def set_waiting_usage(self, service: str, usage: float | None) -> None:
        """Set the lowest normalized usage of the teams that wait here, if any."""
        if usage is None:
            self._changed |= self._waiting_usage.pop(service, None) is not None
        elif service not in self._waiting_usage:
            self._waiting_usage[service] = usage
            self._changed = True
        else:
            self._waiting_usage[service] = usage

    def lowest_waiting_usage(self, service: str) -> float | None:
        """Return the lowest normalized usage of a team that waits elsewhere."""
        oldest_ms = self._clock.now_ms() - WAITING_TTL_MS
        usages = [
            usage
            for name, usage in self._peer_waiting[service].items()
            if name in self._peers and self._peers[name].full_report_ms >= oldest_ms
        ]
        return min(usages, default=None)

    def pop_charges(self) -> list[tuple[str, int]]:
        """Return and clear the (team, tokens) charges of requests placed anywhere."""
        charges, self._charges = self._charges, []
        return charges

    def report(self, is_brief: bool = False, is_partial: bool = False) -> LoadReport:
        """Return the load report of this gateway for the others.

        Parameters
        ----------
        is_brief : bool, default=False
            Whether to leave out all but endpoint loads and acknowledged grants. Brief
            reports are for coordinators, which need them soon after each change and
            have the rest from their own placements.
        is_partial : bool, default=False
            Whether to leave out the endpoints whose load did not change since the brief
            report before the last one, so that a single report may be lost.
        """
        self._sequence += 1
        known_limits = self._limits.known if self._limits is not None else ()
        endpoints = list({**self._own, **dict.fromkeys(known_limits)})
        if is_partial:
            endpoints = sorted(self._changed_endpoints | self._repeated_endpoints)
        if is_brief:
            self._repeated_endpoints = self._changed_endpoints
            self._changed_endpoints = set()
        report = LoadReport(
            gateway=self._name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            endpoints=[self._describe_load(name) for name in endpoints],
            is_brief=is_brief,
            is_partial=is_partial,
            grants=[
                GrantMark(coordinator=name, incarnation=incarnation, serial=serial)
                for name, (incarnation, serial) in self._acknowledged_grants.items()
            ],
        )
        if is_brief:
            return report
        self._changed = False
        report.teams.extend(
            TeamUse(team=t, tokens=n) for t, n in self._team_tokens.items()
        )
        report.waiting.extend(
            WaitingLevel(service=s, level=level)
            for s, level in self._waiting_usage.items()
        )
        room = _MAX_REPORT_BYTES - report.ByteSize()
        report.prompts.extend(self._prompt_reports.take(room))
        return report

    def handle_report(self, report: LoadReport) -> bool:
        """Apply the report of another gateway, unless a newer one was applied.

        Returns whether a waiting request may have become placeable: an endpoint has
        less load, or the report may change which teams wait elsewhere.
        """
        if report.gateway == self._name:
            return False
        known = self._peers.get(report.gateway) or self._silent_peers.get(
            report.gateway
        )
        if known is not None and not self._is_newer(report, known):
            return False
        is_same_incarnation = (
            known is not None and known.incarnation == report.incarnation
        )
        loads_before = known.loads if known is not None else {}
        loads = {e.endpoint: Load(e.running, e.unread_tokens) for e in report.endpoints}
        self._handle_limits(report)
        if report.is_partial and is_same_incarnation:
            has_decreased = _has_decreased(loads_before, loads, is_partial=True)
            self._update_loads(loads_before, loads)
            loads = loads_before
        else:
            has_decreased = _has_decreased(loads_before, loads)
            self._replace_loads(loads_before, loads)
        peer = _Peer(report.incarnation, report.sequence, self._clock.now_ms(), loads)
        if report.is_brief:
            if is_same_incarnation:
                peer.teams, peer.waiting = known.teams, known.waiting
                peer.full_report_ms = known.full_report_ms
        else:
            peer.full_report_ms = peer.received_ms
            peer.teams = {use.team: use.tokens for use in report.teams}
            peer.waiting = {
                entry.service: entry.level
                for entry in report.waiting
                if math.isfinite(entry.level)
            }
            if is_same_incarnation and known.full_report_ms > float("-inf"):
                self._charge_increases(known.teams, peer.teams)
            for prompt in report.prompts:
                self._record_prompt(prompt)
            self._record_waiting(report.gateway, peer.waiting)
        self._silent_peers.pop(report.gateway, None)
        self._peers[report.gateway] = peer
        self._peers.move_to_end(report.gateway)
        for mark in report.grants:
            if (mark.coordinator, mark.incarnation) == (
                self._name,
                self._incarnation,
            ):
                self._remove_grants(report.gateway, mark.serial)
        return known is None or not report.is_brief or has_decreased

    def _is_newer(self, report: LoadReport, known: _Peer) -> bool:
        """Return whether a report is newer than the last one of its gateway.

        The incarnation of a gateway whose clock was set back is lower than that of its
        earlier process, which is silent then.
        """
        if report.incarnation < known.incarnation:
            return report.gateway in self._silent_peers
        order = (report.incarnation, report.sequence)
        return order > (known.incarnation, known.sequence)

    def _handle_limits(self, report: LoadReport) -> None:
        if self._limits is None:
            return
        for entry in report.endpoints:
            if entry.HasField("limit"):
                self._limits.handle_report(
                    report.gateway, report.incarnation, entry.endpoint, entry.limit
                )

    def _charge_increases(self, before: dict[str, int], now: dict[str, int]) -> None:
        for team, tokens in now.items():
            increase = tokens - before.get(team, 0)
            if increase > 0:
                self._charges.append((team, increase))

    def _record_prompt(self, prompt: SharedPrompt) -> None:
        parts = [
            PromptPart(digest, tokens)
            for digest, tokens in zip(prompt.digests, prompt.tokens, strict=False)
        ]
        self._prefix_cache.record(prompt.endpoint, parts, prompt.own_tokens)

    def _remove_grants(self, requester: str, newest: int) -> None:
        grants = self._grants[requester]
        for serial in [serial for serial in grants if serial <= newest]:
            self._remove_grant(requester, serial)

    def _remove_grant(self, requester: str, serial: int) -> None:
        grant = self._grants[requester].pop(serial, None)
        if grant is not None:
            self._totals.add(grant.endpoint, -1, -grant.unread_tokens)

    def _describe_load(self, endpoint: str) -> EndpointLoad:
        load = self._own.get(endpoint, _NO_LOAD)
        return EndpointLoad(
            endpoint=endpoint,
            running=max(0, load.running),
            unread_tokens=max(0, load.unread_tokens),
            limit=self._limits.describe(endpoint) if self._limits is not None else None,
        )

    def _record_waiting(self, gateway: str, usages: dict[str, float]) -> None:
        for service in usages.keys() | self._peer_waiting.keys():
            if service in usages:
                self._peer_waiting[service][gateway] = usages[service]
            else:
                self._peer_waiting[service].pop(gateway, None)

    def _update_loads(self, loads: dict[str, Load], changed: dict[str, Load]) -> None:
        """Apply a partial report to the loads of a gateway and to the totals."""
        for endpoint, load in changed.items():
            self._add_difference(endpoint, loads.pop(endpoint, _NO_LOAD), load)
            if load.running or load.unread_tokens:
                loads[endpoint] = load

    def _replace_loads(self, before: dict[str, Load], now: dict[str, Load]) -> None:
        """Add the difference of two reports of a gateway to the totals."""
        for endpoint in before.keys() | now.keys():
            self._add_difference(
                endpoint, before.get(endpoint, _NO_LOAD), now.get(endpoint, _NO_LOAD)
            )

    def _add_difference(self, endpoint: str, before: Load, now: Load) -> None:
        self._totals.add(
            endpoint,
            now.running - before.running,
            now.unread_tokens - before.unread_tokens,
        )

    def _add_load(self, placement: Placement) -> None:
        if self._limits is not None:
            self._limits.record_placed(placement.endpoint)
        load = self._own[placement.endpoint]
        load.running += 1
        load.unread_tokens += placement.unread_tokens
        self._totals.add(placement.endpoint, 1, placement.unread_tokens)
        self._changed_endpoints.add(placement.endpoint)
        self._notify_change()

    def _notify_change(self) -> None:
        self._changed = True
        for listener in self._listeners:
            listener()

    def _expire(self) -> None:
        """Stop counting grants and reports that are too old."""
        now_ms = self._clock.now_ms()
        while self._grant_order:
            requester, serial = self._grant_order[0]
            grant = self._grants[requester].get(serial)
            if grant is not None:
                if now_ms - grant.granted_ms < GRANT_TTL_MS:
                    break
                self._remove_grant(requester, serial)
            self._grant_order.popleft()
        while self._peers:
            name, peer = next(iter(self._peers.items()))
            if now_ms - peer.received_ms < REPORT_TTL_MS:
                break
            self._replace_loads(peer.loads, {})
            peer.loads = {}
            self._silent_peers[name] = self._peers.pop(name)


def _has_decreased(
    before: dict[str, Load], now: dict[str, Load], is_partial: bool = False
) -> bool:
    """Return whether any endpoint has less load than before.

    The endpoints that a partial report does not contain are unchanged.
    """
    for endpoint in now if is_partial else before:
        known = before.get(endpoint, _NO_LOAD)
        current = now.get(endpoint, _NO_LOAD)
        if (
            current.running < known.running
            or current.unread_tokens < known.unread_tokens
        ):
            return True
    return False
