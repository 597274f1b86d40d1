"""Load of each endpoint: the requests in progress from this and all other gateways."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from bulrushbend.core.clock import Clock
from bulrushbend.gateway.call import Placement, PromptPart
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex
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


@dataclass
class Load:
    """Load of one endpoint.

    Attributes
    ----------
    running : int
        Requests in progress.
    unread_tokens : int
        Prompt tokens of the requests that have not produced their first event.
    """

    running: int = 0
    unread_tokens: int = 0


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
    """

    def __init__(
        self, name: str, incarnation: int, clock: Clock, prefix_cache: PrefixCacheIndex
    ):
        self._prefix_cache = prefix_cache
        self._new_prompts: list[SharedPrompt] = []
        self._repeated_prompts: list[SharedPrompt] = []
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._own: dict[str, Load] = defaultdict(Load)
        self._team_tokens: dict[str, int] = defaultdict(int)
        self._charges: list[tuple[str, int]] = []
        self._peers: dict[str, _Peer] = {}
        self._waiting_usage: dict[str, float] = {}
        self._grants: dict[str, dict[int, _Grant]] = defaultdict(dict)
        self._last_serials: dict[str, int] = defaultdict(int)
        self._acknowledged_grants: dict[str, tuple[int, int]] = {}
        self._totals: dict[str, Load] = {}
        self._totals_valid_until_ms = float("-inf")
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

    def total(self, endpoint: str) -> Load:
        """Return the load of an endpoint over all gateways."""
        return self.totals().get(endpoint) or Load()

    def totals(self) -> Mapping[str, Load]:
        """Return the load of each endpoint that has any, over all gateways."""
        if self._clock.now_ms() >= self._totals_valid_until_ms:
            self._recompute_totals()
        return self._totals

    def own(self, endpoint: str) -> Load:
        """Return the load of an endpoint from this gateway."""
        return self._own.get(endpoint) or Load()

    def begin(self, placement: Placement, demand: Demand) -> Placement:
        """Record a placed request as load and return its placement.

        A request of another gateway becomes a grant, which counts until that gateway
        acknowledges it in a report. The team is charged here in both cases.
        """
        if demand.shared:
            self._prefix_cache.record(placement.endpoint, demand.shared)
            self._new_prompts.append(
                SharedPrompt(
                    endpoint=placement.endpoint,
                    digests=[part.digest for part in demand.shared],
                    tokens=[part.tokens for part in demand.shared],
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
        self._acknowledged_grants[coordinator] = max(newest, (incarnation, serial))

    def end_prefill(self, endpoint: str, unread: int) -> None:
        """Remove the prompt tokens of a request after its first event or its end."""
        self._own[endpoint].unread_tokens -= unread
        self._notify_change()

    def end(self, endpoint: str) -> None:
        """Remove a request that has ended."""
        load = self._own[endpoint]
        load.running -= 1
        if load.running == 0 and load.unread_tokens == 0:
            del self._own[endpoint]
        self._notify_change()

    def release(self, placement: Placement, requester: str = "") -> None:
        """Remove the load of a placement that is not used."""
        if requester:
            self._grants[requester].pop(placement.serial, None)
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
            peer.waiting[service]
            for peer in self._peers.values()
            if service in peer.waiting and peer.full_report_ms >= oldest_ms
        ]
        return min(usages, default=None)

    def pop_charges(self) -> list[tuple[str, int]]:
        """Return and clear the (team, tokens) charges of requests placed anywhere."""
        charges, self._charges = self._charges, []
        return charges

    def report(self, is_brief: bool = False) -> LoadReport:
        """Return the load report of this gateway for the others.

        A brief report contains only endpoint loads and acknowledged grants. It is meant
        for coordinators, which need it soon after each change and have the rest from
        their own placements.
        """
        self._sequence += 1
        report = LoadReport(
            gateway=self._name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            endpoints=[
                EndpointLoad(
                    endpoint=name,
                    running=max(0, load.running),
                    unread_tokens=max(0, load.unread_tokens),
                )
                for name, load in self._own.items()
            ],
            is_brief=is_brief,
            grants=[
                GrantMark(coordinator=name, incarnation=incarnation, serial=serial)
                for name, (incarnation, serial) in self._acknowledged_grants.items()
            ],
        )
        if is_brief:
            return report
        self._changed = False
        report.prompts.extend(self._repeated_prompts + self._new_prompts)
        self._repeated_prompts, self._new_prompts = self._new_prompts, []
        report.teams.extend(
            TeamUse(team=t, tokens=n) for t, n in self._team_tokens.items()
        )
        report.waiting.extend(
            WaitingLevel(service=s, level=level)
            for s, level in self._waiting_usage.items()
        )
        return report

    def handle_report(self, report: LoadReport) -> bool:
        """Apply the report of another gateway, unless a newer one was applied.

        Returns whether a waiting request may have become placeable: an endpoint has
        less load, or the report may change which teams wait elsewhere.
        """
        if report.gateway == self._name:
            return False
        known = self._peers.get(report.gateway)
        order = (report.incarnation, report.sequence)
        if known is not None and order <= (known.incarnation, known.sequence):
            return False
        is_same_incarnation = (
            known is not None and known.incarnation == report.incarnation
        )
        peer = _Peer(
            report.incarnation,
            report.sequence,
            self._clock.now_ms(),
            {e.endpoint: Load(e.running, e.unread_tokens) for e in report.endpoints},
        )
        if report.is_brief:
            if is_same_incarnation:
                peer.teams, peer.waiting = known.teams, known.waiting
                peer.full_report_ms = known.full_report_ms
        else:
            peer.full_report_ms = peer.received_ms
            peer.teams = {use.team: use.tokens for use in report.teams}
            peer.waiting = {entry.service: entry.level for entry in report.waiting}
            if is_same_incarnation and known.full_report_ms > float("-inf"):
                self._charge_increases(known.teams, peer.teams)
            for prompt in report.prompts:
                self._record_prompt(prompt)
        self._peers[report.gateway] = peer
        for mark in report.grants:
            if (mark.coordinator, mark.incarnation) == (
                self._name,
                self._incarnation,
            ):
                self._remove_grants(report.gateway, mark.serial)
        self._totals_valid_until_ms = float("-inf")
        return (
            known is None
            or not report.is_brief
            or _has_decreased(known.loads, peer.loads)
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
        self._prefix_cache.record(prompt.endpoint, parts)

    def _remove_grants(self, requester: str, newest: int) -> None:
        grants = self._grants[requester]
        for serial in [serial for serial in grants if serial <= newest]:
            del grants[serial]

    def _add_load(self, placement: Placement) -> None:
        load = self._own[placement.endpoint]
        load.running += 1
        load.unread_tokens += placement.unread_tokens
        self._notify_change()

    def _notify_change(self) -> None:
        self._changed = True
        self._totals_valid_until_ms = float("-inf")
        for listener in self._listeners:
            listener()

    def _recompute_totals(self) -> None:
        """Sum the loads of all gateways; valid until one of them changes or expires."""
        now_ms = self._clock.now_ms()
        totals: dict[str, Load] = defaultdict(Load)
        until_ms = float("inf")
        for peer in self._live_peers(now_ms):
            until_ms = min(until_ms, peer.received_ms + REPORT_TTL_MS)
            _add_loads(totals, peer.loads)
        _add_loads(totals, self._own)
        for grants in self._grants.values():
            for serial, grant in list(grants.items()):
                if now_ms - grant.granted_ms >= GRANT_TTL_MS:
                    del grants[serial]
                    continue
                until_ms = min(until_ms, grant.granted_ms + GRANT_TTL_MS)
                totals[grant.endpoint].running += 1
                totals[grant.endpoint].unread_tokens += grant.unread_tokens
        self._totals, self._totals_valid_until_ms = totals, until_ms

    def _live_peers(self, now_ms: float) -> Iterator[_Peer]:
        oldest_ms = now_ms - REPORT_TTL_MS
        return (peer for peer in self._peers.values() if peer.received_ms > oldest_ms)


def _has_decreased(before: dict[str, Load], now: dict[str, Load]) -> bool:
    """Return whether any endpoint has less load than before."""
    for endpoint, load in before.items():
        current = now.get(endpoint)
        if (
            current is None
            or current.running < load.running
            or current.unread_tokens < load.unread_tokens
        ):
            return True
    return False


def _add_loads(totals: dict[str, Load], loads: dict[str, Load]) -> None:
    for endpoint, load in loads.items():
        total = totals[endpoint]
        total.running += load.running
        total.unread_tokens += load.unread_tokens
