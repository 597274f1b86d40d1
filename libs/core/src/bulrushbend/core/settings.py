"""Settings of the processes, read from TOML files.

Times are in milliseconds, sizes in bytes. Addresses are ``"host:port"``.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Literal, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

from bulrushbend.core.errors import SettingsError
from bulrushbend.core.validation import format_validation_error


def split_address(address: str) -> tuple[str, int]:
    """Split ``"host:port"`` into its parts.

    Raises
    ------
    ValueError
        If the port is missing or not a number from 0 to 65535.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit():
        raise ValueError("an address must have the form host:port")
    if int(port) > 65535:
        raise ValueError("a port must be at most 65535")
    return host.strip("[]"), int(port)


def _check_address(address: str) -> str:
    split_address(address)
    return address


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
PositiveMs = Annotated[int, Field(ge=1, le=86_400_000)]


class _Settings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class PeerAddress(_Settings):
    """Name and gRPC address of a control replica."""

    name: Name
    address: Address


class ProcessSettings(_Settings):
    """Settings that all processes have in common.

    The silence timeouts depend on the distance. Within a data centre a round trip takes
    well under 5 ms, so a peer or connection that misses four heartbeats in 2 s is dead;
    between data centres and regions, congestion and route changes last longer.

    A process announces ``http_address`` and listens there. Behind address translation
    or a forwarder it listens on ``http_listen`` instead.
    """

    name: Name
    vm: Name
    data_centre: Name
    region: Name = "region-1"
    http_address: Address
    http_listen: Address | None = None
    control: tuple[PeerAddress, ...] = Field(min_length=1)
    event_log: str | None = None
    log_level: Literal["info", "warning", "error"] = "info"
    heartbeat_ms: PositiveMs = 500
    silence_ms: PositiveMs = 2000
    silence_between_data_centres_ms: PositiveMs = 3000
    silence_between_regions_ms: PositiveMs = 6000
    connect_timeout_ms: PositiveMs = 1000
    spread_ms: PositiveMs = 100
    drain_ms: PositiveMs = 30_000

    @property
    def http_bind(self) -> str:
        """Address on which the HTTP server listens."""
        return self.http_listen or self.http_address

    def silence_timeout_ms(self, data_centre: str, region: str) -> int:
        """Return the silence timeout in milliseconds for a peer at that location."""
        if region and region != self.region:
            return self.silence_between_regions_ms
        if data_centre and data_centre != self.data_centre:
            return self.silence_between_data_centres_ms
        return self.silence_ms


class _LinkSettings(ProcessSettings):
    """Settings of a process with a gRPC server.

    The process listens on ``link_listen`` instead of the announced address if it is
    set, as with ``http_listen``.
    """

    link_address: Address
    link_listen: Address | None = None

    @property
    def link_bind(self) -> str:
        """Address on which the gRPC server listens."""
        return self.link_listen or self.link_address


class ControlSettings(_LinkSettings):
    """Settings of a control replica."""

    data_folder: str
    election_timeout_ms: PositiveMs = 1000
    append_interval_ms: PositiveMs = 150
    snapshot_entries: int = Field(1000, ge=1)
    member_timeout_ms: PositiveMs = 5000
    # Number of voters that the leader restores automatically after losses; if unset,
    # operators replace lost voters.
    voters: int | None = Field(None, ge=1)


class RouterSettings(ProcessSettings):
    """Settings of a router."""

    header_bytes: int = Field(16_384, ge=1024, le=1 << 20)
    stall_ms: PositiveMs = 1500
    first_byte_ms: PositiveMs = 60_000
    key_timeout_ms: PositiveMs = 3000


class AgentSettings(_LinkSettings):
    """Settings of an agent."""

    endpoint: Name
    endpoint_address: Address
    platform_url: str | None = None
    platform_poll_ms: PositiveMs = 1000
    load_url: str | None = None
    load_poll_ms: PositiveMs = 500
    claim_timeout_ms: PositiveMs = 2000
    endpoint_idle_ms: PositiveMs = 30_000
    replay_bytes: int = Field(1_048_576, ge=1024)
    replay_keep_ms: PositiveMs = 10_000
    orphan_ms: PositiveMs = 10_000


class GatewaySettings(ProcessSettings):
    """Settings of a gateway.

    `front_address` serves callers, `http_address` the operational pages. Gateways send
    each other their load in datagrams to `spread_address`. `processor` is the CPU
    capacity available to the gateway, in cores. `data_folder` is a folder on a disk, if
    there is one, for what is known about requests that crash endpoints.
    """

    front_address: Address
    spread_address: Address
    spread_ms: PositiveMs = 200
    endpoints_poll_ms: PositiveMs = 1000
    header_timeout_ms: PositiveMs = 15_000
    connect_ms: PositiveMs = 400
    lease_ms: PositiveMs = 3000
    most_waiting: int = Field(2000, ge=1)
    retry_share: float = Field(0.1, ge=0.0, le=1.0)
    retry_burst: float = Field(50.0, ge=0.0)
    drain_notice_ms: PositiveMs = 2500
    processor: float = Field(1.0, ge=0.0)
    data_folder: str | None = None


SettingsModel = TypeVar("SettingsModel", bound=_Settings)


def load_settings(path: str | Path, model: type[SettingsModel]) -> SettingsModel:
    """Read and validate the settings file `path`.

    Parameters
    ----------
    path : str or Path
        TOML file.
    model : type
        Settings class, such as `RouterSettings`.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid; the message names the file and the
        key.
    """
    try:
        document = tomllib.loads(Path(path).read_text())
        return model.model_validate(document)
    except OSError as error:
        reason = error.strerror or str(error)
        raise SettingsError(reason, step="settings", peer=str(path)) from None
    except ValidationError as error:
        message = format_validation_error(error)
        raise SettingsError(message, step="settings", peer=str(path)) from None
    except (ValueError, RecursionError) as error:
        raise SettingsError(str(error), step="settings", peer=str(path)) from None
