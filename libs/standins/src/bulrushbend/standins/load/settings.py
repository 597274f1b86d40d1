"""Settings of the load generator. Times are in milliseconds."""

import math
import random
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from bulrushbend.core.settings import Address, Name, PositiveMs


class _LoadSettings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Cost(_LoadSettings):
    """Distribution of the cost of a request when it runs alone.

    ``fixed`` is always `low_ms`; ``log-uniform`` draws the logarithm of the cost
    uniformly between those of `low_ms` and `high_ms`.
    """

    kind: Literal["fixed", "log-uniform"] = "fixed"
    low_ms: float = Field(50.0, gt=0, le=3_600_000)
    high_ms: float = Field(50.0, gt=0, le=3_600_000)

    @model_validator(mode="after")
    def _check_order(self) -> "Cost":
        if self.kind == "log-uniform" and self.high_ms < self.low_ms:
            raise ValueError("high_ms is below low_ms")
        return self

    def draw_ms(self, random_source: random.Random) -> float:
        """Return the cost of one request in milliseconds."""
        if self.kind == "fixed":
            return self.low_ms
        low, high = math.log(self.low_ms), math.log(self.high_ms)
        return math.exp(random_source.uniform(low, high))


class LoadTeam(_LoadSettings):
    """One team and its part of the load.

    Attributes
    ----------
    weight : float
        Part of the rate or of the concurrency that this team gets, relative to the
        sum of all weights.
    routers : tuple of int
        Indices in `LoadSettings.routers` that this team uses; empty means all.
    """

    name: Name
    token: str = Field(min_length=1)
    weight: float = Field(1.0, gt=0)
    routers: tuple[int, ...] = ()
    cost: Cost | None = None


class LoadSettings(_LoadSettings):
    """What to send, to which routers, and when to stop.

    Attributes
    ----------
    mode : {"closed", "open"}
        ``closed`` keeps `concurrency` requests in progress; ``open`` starts
        `rate_per_s` requests per second on average, however many are in progress.
    requests : int
        Bound on the number of requests of all teams.
    duration_ms : int
        Time after which no further request starts.
    answer_timeout_ms : int
        Time in which a request must be answered.
    in_progress_limit : int
        Bound on open connections in open mode; arrivals above it are counted as
        `skipped`.
    """

    routers: tuple[Address, ...] = Field(min_length=1)
    service: Name
    kind: Literal["model", "application"] = "model"
    path: str = Field("bookings", pattern=r"^[A-Za-z0-9/_.-]*$")
    stream: bool = False
    tokens: int = Field(16, ge=1, le=100_000)
    cost: Cost = Cost()
    mode: Literal["closed", "open"] = "closed"
    concurrency: int = Field(8, ge=1, le=2000)
    rate_per_s: float = Field(10.0, gt=0, le=10_000)
    in_progress_limit: int = Field(1000, ge=1, le=10_000)
    requests: int = Field(100, ge=1, le=1_000_000)
    duration_ms: PositiveMs = 10_000
    answer_timeout_ms: PositiveMs = 60_000
    deadline_ms: PositiveMs | None = None
    keyed: bool = False
    seed: int = 0
    teams: tuple[LoadTeam, ...] = Field(min_length=1, max_length=2000)

    @model_validator(mode="after")
    def _check_teams(self) -> "LoadSettings":
        names = [team.name for team in self.teams]
        if len(set(names)) != len(names):
            raise ValueError("teams: a name appears twice")
        for team in self.teams:
            if any(not 0 <= i < len(self.routers) for i in team.routers):
                raise ValueError(f"teams: {team.name} uses a router index out of range")
        return self
