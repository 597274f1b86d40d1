"""Manifest: the teams, services and endpoints that operators publish."""

import enum
import functools
import hashlib
import json
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from bulrushbend.core.errors import ManifestError
from bulrushbend.core.validation import format_validation_error

# Maximum number of concurrent requests of one endpoint.
MAX_SLOTS = 10_000

Name = Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Limits(_Model):
    """Fleet-wide limits; times are in milliseconds, sizes in bytes."""

    waiting_per_team: int = Field(256, ge=1, le=100_000)
    waiting_per_router: int = Field(4096, ge=1, le=1_000_000)
    body_bytes: int = Field(1_048_576, ge=1, le=1 << 30)
    retry_share: float = Field(0.1, ge=0.0, le=1.0)
    default_deadline_ms: int = Field(120_000, ge=1, le=86_400_000)
    key_ttl_ms: int = Field(86_400_000, ge=1000)
    header_bytes: int = Field(16_384, ge=1024, le=1 << 20)
    idle_connection_ms: int = Field(120_000, ge=1, le=86_400_000)
    # Limit on prompt tokens plus twice the generated tokens, over all model endpoints.
    tokens_per_s: float | None = Field(None, gt=0.0)


class Service(_Model):
    """Group of endpoints that serve the same kind of request."""

    name: str = Name
    kind: Literal["model", "application"]
    idempotent_posts: bool | None = None
    resume: Literal["last-event-id", "none"] = "none"
    slots: int | None = Field(None, ge=1, le=MAX_SLOTS)
    max_connections: int | None = Field(None, ge=1)
    # Number of tokens that fit in the memory of one model endpoint.
    memory_tokens: int | None = Field(None, ge=1)

    @property
    def posts_are_idempotent(self) -> bool:
        """Whether a POST may be retried; by default only for models."""
        if self.idempotent_posts is None:
            return self.kind == "model"
        return self.idempotent_posts


TokenHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Team(_Model):
    """A team, its weight and the hashes of its bearer tokens."""

    name: str = Name
    share: float = Field(1.0, gt=0.0, le=1_000_000.0)
    token_sha256: TokenHash | tuple[TokenHash, ...]

    @property
    def token_hashes(self) -> tuple[str, ...]:
        """Hashes of all tokens of the team; without any, the team has no access."""
        if isinstance(self.token_sha256, str):
            return (self.token_sha256,)
        return self.token_sha256


class Split(_Model):
    """Share of a route's requests that goes to one service."""

    service: str = Name
    weight: int = Field(1, ge=0)


class RouteKind(enum.StrEnum):
    """Kinds of routes, by the requests that may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Route(_Model):
    """Route of the requests for one host and path prefix.

    Times are in milliseconds. `most_endpoints` is the maximum number of endpoints on
    which one request may run. A resumable stream may continue on another endpoint
    after its last event.
    """

    name: str = Name
    host: str = Field(min_length=1, max_length=255)
    path_prefix: str = Field(pattern=r"^/(.*/)?$")
    kind: RouteKind = RouteKind.NON_IDEMPOTENT
    split: tuple[Split, ...] = Field(min_length=1)
    time_limit_ms: int = Field(ge=1)
    objective_ms: int = Field(1000, ge=1)
    most_endpoints: int = Field(1, ge=1)
    resumable: bool = False
    public: bool = False

    @property
    def allows_retry(self) -> bool:
        """Whether a request that may have run can be retried."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )

    @model_validator(mode="after")
    def _check_weights(self) -> "Route":
        if sum(part.weight for part in self.split) == 0:
            raise ValueError(f"route {self.name!r}: the weights add up to 0")
        return self


class Endpoint(_Model):
    """A rented endpoint."""

    name: str = Name
    service: str = Name
    vm: str = Name
    data_centre: str = Name
    slots: int = Field(8, ge=1, le=MAX_SLOTS)
    state: Literal["live", "leaving"] = "live"


class Manifest(_Model):
    """Complete configuration that operators publish, under one version."""

    version: int = Field(ge=1, le=(1 << 63) - 1)
    limits: Limits = Limits()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    routes: tuple[Route, ...] = ()
    # Document from which an adapter built this manifest, kept so that it can be
    # returned exactly as it was published.
    origin: str | None = None

    @model_validator(mode="after")
    def _check_references(self) -> "Manifest":
        _require_unique("services", [service.name for service in self.services])
        _require_unique("teams", [team.name for team in self.teams])
        _require_unique(
            "teams.token_sha256", [h for team in self.teams for h in team.token_hashes]
        )
        _require_unique("endpoints", [endpoint.name for endpoint in self.endpoints])
        known = {service.name for service in self.services}
        for endpoint in self.endpoints:
            if endpoint.service not in known:
                raise ValueError(
                    f"endpoint {endpoint.name!r} names unknown service "
                    f"{endpoint.service!r}; known services: {sorted(known)}"
                )
        _check_routes(self.routes, known)
        return self

    @functools.cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Services by their name."""
        return {service.name: service for service in self.services}

    @functools.cached_property
    def teams_by_name(self) -> dict[str, Team]:
        """Teams by their name."""
        return {team.name: team for team in self.teams}

    @functools.cached_property
    def teams_by_token(self) -> dict[str, Team]:
        """Teams by the SHA-256 of their bearer token in hexadecimal."""
        return {h: team for team in self.teams for h in team.token_hashes}

    @functools.cached_property
    def endpoints_by_name(self) -> dict[str, Endpoint]:
        """Endpoints by their name."""
        return {endpoint.name: endpoint for endpoint in self.endpoints}

    def canonical(self) -> bytes:
        """Return the canonical JSON form, which is the same for equal manifests."""
        document = self.model_dump(mode="json")
        return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()

    @functools.cached_property
    def digest(self) -> str:
        """SHA-256 of the canonical form in hexadecimal."""
        return hashlib.sha256(self.canonical()).hexdigest()


def _check_routes(routes: tuple[Route, ...], services: set[str]) -> None:
    _require_unique("routes", [route.name for route in routes])
    names: dict[tuple[str, str], str] = {}
    for route in routes:
        match_key = (route.host.lower(), route.path_prefix)
        if match_key in names:
            raise ValueError(
                f"routes {names[match_key]!r} and {route.name!r} have the same host "
                f"and path prefix"
            )
        names[match_key] = route.name
        for part in route.split:
            if part.service not in services:
                raise ValueError(
                    f"route {route.name!r} names unknown service {part.service!r}"
                )


def _require_unique(label: str, values: list[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise ValueError(f"{label}: {value!r} appears twice")
        seen.add(value)


def parse_manifest(content: bytes | str, source: str = "manifest") -> Manifest:
    """Parse a manifest from TOML or JSON text.

    Parameters
    ----------
    content : bytes or str
        JSON if its first non-blank character is an opening brace, else TOML.
    source : str, default="manifest"
        Name of the file or peer, for error messages.

    Raises
    ------
    ManifestError
        If the text cannot be parsed or is invalid; the message names the key.
    """
    try:
        text = content.decode() if isinstance(content, bytes) else content
        parse: Callable[[str], Any] = (
            json.loads if text.lstrip().startswith("{") else tomllib.loads
        )
        return Manifest.model_validate(parse(text))
    except ValidationError as error:
        message = format_validation_error(error)
        raise ManifestError(message, step="manifest", peer=source) from None
    except (ValueError, RecursionError) as error:
        raise ManifestError(str(error), step="manifest", peer=source) from None


def load_manifest(path: str | Path) -> Manifest:
    """Read and parse the manifest file `path`.

    Raises
    ------
    ManifestError
        If the file cannot be read or is invalid.
    """
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        raise ManifestError(reason, step="manifest", peer=str(path)) from None
    return parse_manifest(content, str(path))


def hash_token(token: str) -> str:
    """Return the SHA-256 of a bearer token in hexadecimal."""
    return hashlib.sha256(token.encode()).hexdigest()
