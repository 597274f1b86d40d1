"""Settings of the stand-ins. Times are in milliseconds."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from bulrushbend.core.settings import Address, Name, PositiveMs
from bulrushbend.standins.faults import Fault


class _StandInSettings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class EngineSettings(_StandInSettings):
    """Settings of the stand-in engine.

    Attributes
    ----------
    slots : int
        Requests generated at the same time; further ones wait in arrival order.
    token_ms : float
        Time per token of a request that runs alone and states no `x_cost_ms`.
    batch_slowdown : float
        Fraction by which each further running request lengthens the time per token.
    prefill_ms : float
        Time before the first token when the prompt prefix is not cached.
    prefix_entries : int
        Prompt prefixes held in the cache; the least recently used one is evicted.
    step_ms : float
        Shortest time between two writes; bounds the timer load of fast streams.
    load_lag_ms : float
        Age of the load that ``/metrics`` reports.
    orphan_ms : float
        Time after which a resumable stream without a reader is cancelled.
    """

    name: Name = "engine"
    http_address: Address = "127.0.0.1:0"
    slots: int = Field(8, ge=1, le=10_000)
    token_ms: float = Field(5.0, gt=0)
    default_tokens: int = Field(16, ge=1)
    batch_slowdown: float = Field(0.01, ge=0)
    prefill_ms: float = Field(0.0, ge=0)
    prefix_entries: int = Field(64, ge=0)
    kv_tokens: int = Field(100_000, ge=1)
    step_ms: float = Field(5.0, gt=0)
    load_lag_ms: float = Field(500.0, ge=0)
    orphan_ms: PositiveMs = 10_000
    keep_ms: PositiveMs = 30_000
    faults: tuple[Fault, ...] = ()


class ApplicationSettings(_StandInSettings):
    """Settings of the stand-in application."""

    name: Name = "application"
    http_address: Address = "127.0.0.1:0"
    slots: int = Field(8, ge=1, le=10_000)
    default_cost_ms: float = Field(20.0, ge=0)
    faults: tuple[Fault, ...] = ()


class ListedVm(_StandInSettings):
    """One VM of the platform list."""

    vm: Name
    data_centre: Name
    state: Literal["live", "leaving"] = "live"


class PlatformSettings(_StandInSettings):
    """Settings of the stand-in platform list."""

    name: Name = "platform"
    http_address: Address = "127.0.0.1:0"
    lag_ms: float = Field(0.0, ge=0)
    vms: tuple[ListedVm, ...] = ()
