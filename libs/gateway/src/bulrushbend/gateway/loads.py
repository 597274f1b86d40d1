"""What is in progress at each endpoint, by this gateway and by all others."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from bulrushbend.core.clock import Clock
from bulrushbend.gateway.call import PromptPart
from bulrushbend.gateway.holdings import PromptHoldings
from bulrushbend.wire.fleet_pb2 import (
    EndpointLoad,
    LoadReport,
    SharedPrompt,
    TeamUse,
    WaitingLevel,
)

# Gateways repeat their reports at least every 500 ms; four lost ones in a row mean that
# the gateway is gone or cut off, and its requests are no longer counted.
REPORT_LIFE_MS = 2_000.0
# What waits changes with every placement, so older news of it are not acted on.
WAITING_LIFE_MS = 200.0


@dataclass
class Load:
    """Work at one endpoint.

    Attributes
    ----------
    running : int
        Requests sent and not ended.
    unread_tokens : int
        Prompt tokens of those without a first event yet.
    """

    running: int = 0
    unread_tokens: int = 0


@dataclass
class _Peer:
    incarnation: int
    sequence: int
    heard_ms: float
    loads: dict[str, Load] = field(default_factory=dict)
    teams: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, float] = field(default_factory=dict)


class LoadView:
    """Own work, exactly, and that of the other gateways as they reported it.

    Parameters
    ----------
    name : str
        Name of this gateway.
    incarnation : int
        Start of this gateway.
    clock : Clock
        Source of time.
    holdings : PromptHoldings
        Receives the shared parts of prompts that are placed by any gateway.
    """

    def __init__(
        self, name: str, incarnation: int, clock: Clock, holdings: PromptHoldings
    ):
        self._holdings = holdings
        self._prompts: list[SharedPrompt] = []
        self._repeated: list[SharedPrompt] = []
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._own: dict[str, Load] = defaultdict(Load)
        self._teams: dict[str, int] = defaultdict(int)
        self._used: list[tuple[str, int]] = []
        self._peers: dict[str, _Peer] = {}
        self._waiting: dict[str, float] = {}
        self._sequence = 0
        self._changed = False

    @property
    def has_changed(self) -> bool:
        """Whether own work has changed since the last report."""
        return self._changed

    def total(self, endpoint: str) -> Load:
        """Return the work at an endpoint over all gateways."""
        own = self._own.get(endpoint)
        running = own.running if own else 0
        unread = own.unread_tokens if own else 0
        for peer in self._fresh_peers():
            load = peer.loads.get(endpoint)
            if load is not None:
                running += load.running
                unread += load.unread_tokens
        return Load(running, unread)

    def own(self, endpoint: str) -> Load:
        """Return the work of this gateway at an endpoint."""
        return self._own.get(endpoint) or Load()

    def begin(
        self,
        endpoint: str,
        team: str,
        unread: int,
        cost: int,
        shared: Sequence[PromptPart] = (),
    ) -> None:
        """Count a request that is sent to an endpoint."""
        if shared:
            self._holdings.give(endpoint, shared)
            self._prompts.append(
                SharedPrompt(
                    endpoint=endpoint,
                    digests=[part.digest for part in shared],
                    tokens=[part.tokens for part in shared],
                )
            )
        load = self._own[endpoint]
        load.running += 1
        load.unread_tokens += unread
        self._teams[team] += cost
        self._used.append((team, cost))
        self._changed = True

    def read(self, endpoint: str, unread: int) -> None:
        """Count off the prompt of a request whose first event has come."""
        self._own[endpoint].unread_tokens -= unread
        self._changed = True

    def end(self, endpoint: str) -> None:
        """Count off a request that has ended."""
        load = self._own[endpoint]
        load.running -= 1
        if load.running == 0 and load.unread_tokens == 0:
            del self._own[endpoint]
        self._changed = True

    def set_waiting(self, service: str, level: float | None) -> None:
        """Take the level of the least served team that waits here, if any."""
        if level is None:
            self._changed |= self._waiting.pop(service, None) is not None
        elif service not in self._waiting:
            self._waiting[service] = level
            self._changed = True
        else:
            self._waiting[service] = level

    def waiting_elsewhere(self, service: str) -> float | None:
        """Return the lowest level of a team that waits at another gateway."""
        levels = [
            peer.waiting[service]
            for peer in self._fresh_peers(WAITING_LIFE_MS)
            if service in peer.waiting
        ]
        return min(levels, default=None)

    def take_used(self) -> list[tuple[str, int]]:
        """Return the teams and tokens of requests begun since the last call."""
        used, self._used = self._used, []
        return used

    def report(self) -> LoadReport:
        """Return the report of own work for the other gateways."""
        self._sequence += 1
        self._changed = False
        prompts = self._repeated + self._prompts
        self._repeated, self._prompts = self._prompts, []
        return LoadReport(
            prompts=prompts,
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
            teams=[TeamUse(team=t, tokens=n) for t, n in self._teams.items()],
            waiting=[
                WaitingLevel(service=s, level=level)
                for s, level in self._waiting.items()
            ],
        )

    def learn(self, report: LoadReport) -> None:
        """Take the report of another gateway, unless a newer one was taken."""
        if report.gateway == self._name:
            return
        known = self._peers.get(report.gateway)
        order = (report.incarnation, report.sequence)
        if known is not None and order <= (known.incarnation, known.sequence):
            return
        teams = {use.team: use.tokens for use in report.teams}
        if known is not None and known.incarnation == report.incarnation:
            for team, tokens in teams.items():
                gained = tokens - known.teams.get(team, 0)
                if gained > 0:
                    self._used.append((team, gained))
        for prompt in report.prompts:
            parts = [
                PromptPart(digest, tokens)
                for digest, tokens in zip(prompt.digests, prompt.tokens, strict=False)
            ]
            self._holdings.give(prompt.endpoint, parts)
        self._peers[report.gateway] = _Peer(
            report.incarnation,
            report.sequence,
            self._clock.now_ms(),
            {e.endpoint: Load(e.running, e.unread_tokens) for e in report.endpoints},
            teams,
            {entry.service: entry.level for entry in report.waiting},
        )

    def _fresh_peers(self, life_ms: float = REPORT_LIFE_MS) -> Iterator[_Peer]:
        oldest_ms = self._clock.now_ms() - life_ms
        return (peer for peer in self._peers.values() if peer.heard_ms >= oldest_ms)
