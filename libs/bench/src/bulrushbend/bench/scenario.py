"""Scenarios of the policy bench; times are milliseconds."""

import math
import random
from dataclasses import dataclass, field

MIN_COST_MS = 20.0
MAX_COST_MS = 20_000.0


@dataclass(frozen=True)
class TeamLoad:
    """Load that one team brings.

    Attributes
    ----------
    name : str
        Name of the team.
    share : float
        Weight of the team.
    low_ms, high_ms : float
        Costs are drawn log-uniformly from this range of slot time.
    rate_per_s : float or None
        Poisson arrivals per second; None for a team that always has waiting work.
    periods : tuple of (float, float)
        Periods in which the team brings load; empty for always.
    """

    name: str
    share: float = 1.0
    low_ms: float = MIN_COST_MS
    high_ms: float = MAX_COST_MS
    rate_per_s: float | None = None
    periods: tuple[tuple[float, float], ...] = ()

    @property
    def is_always_backlogged(self) -> bool:
        """Whether the team always has waiting work in its periods."""
        return self.rate_per_s is None

    def is_active(self, now_ms: float) -> bool:
        """Whether the team brings load at `now_ms`."""
        if not self.periods:
            return True
        return any(begin <= now_ms < end for begin, end in self.periods)

    def draw_cost_ms(self, generator: random.Random) -> float:
        """Return the cost of one request, unknown to the policy."""
        low, high = math.log(self.low_ms), math.log(self.high_ms)
        return math.exp(generator.uniform(low, high))


@dataclass(frozen=True)
class Restart:
    """Loss of an agent with its running requests, and its start with no rows."""

    agent: int
    at_ms: float
    downtime_ms: float = 2000.0


@dataclass(frozen=True)
class Partition:
    """Period in which agents with even and odd numbers do not hear of each other."""

    begin_ms: float
    end_ms: float


@dataclass(frozen=True)
class Faults:
    """Faults of the exchange of rows.

    Attributes
    ----------
    lost, doubled : float
        Probability for each message.
    late_ms : float
        Largest extra delay; messages overtake each other.
    """

    loss_probability: float = 0.0
    duplication_probability: float = 0.0
    max_extra_delay_ms: float = 0.0

    @property
    def any(self) -> bool:
        """Whether any fault is on."""
        return bool(
            self.loss_probability
            or self.duplication_probability
            or self.max_extra_delay_ms
        )


@dataclass(frozen=True)
class Scenario:
    """One run of the driver.

    Attributes
    ----------
    agents, slots : int
        Number of agents and of slots at each.
    spread_ms : float
        Interval at which each agent sends its rows.
    hop_ms : float
        Time a message takes.
    claim_ms : float
        Time between a claim and the start of the request.
    push : bool
        Whether requests are bound on arrival to the agent with the fewest
        outstanding ones and served there in order of arrival.
    """

    teams: tuple[TeamLoad, ...]
    agents: int = 5
    slots: int = 8
    spread_ms: float = 250.0
    duration_ms: float = 300_000.0
    variant: str = "mean"
    seed: int = 1
    message_delay_ms: float = 1.5
    claim_ms: float = 3.0
    restarts: tuple[Restart, ...] = ()
    partitions: tuple[Partition, ...] = ()
    faults: Faults = field(default_factory=Faults)
    push: bool = False


def backlogged_teams(shares: tuple[float, ...] = (1.0,) * 6) -> tuple[TeamLoad, ...]:
    """Return always-backlogged teams with costs from 20 ms to 20 s."""
    return tuple(
        TeamLoad(f"crew-{number}", share)
        for number, share in enumerate(shares, start=1)
    )


def skewed_teams() -> tuple[TeamLoad, ...]:
    """Return six floods: one of large costs only, one of small only, four mixed."""
    large = TeamLoad("crew-large", low_ms=MAX_COST_MS / 2.0)
    small = TeamLoad("crew-small", high_ms=MIN_COST_MS * 2.0)
    return (large, small, *backlogged_teams((1.0,) * 4))


def light_teams(count: int = 3, rate_per_s: float = 0.2) -> tuple[TeamLoad, ...]:
    """Return teams that send a request now and then, 20 ms to 2 s each."""
    return tuple(
        TeamLoad(f"light-{number}", high_ms=2000.0, rate_per_s=rate_per_s)
        for number in range(1, count + 1)
    )
