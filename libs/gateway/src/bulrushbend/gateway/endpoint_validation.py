"""Check of endpoints that are read from outside the process."""

import functools
import ipaddress
import re
from collections.abc import Mapping
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    field_validator,
)

from bulrushbend.core.errors import PeerProtocolError
from bulrushbend.core.logs import get_logger
from bulrushbend.core.manifest import MAX_SLOTS
from bulrushbend.core.settings import split_address
from bulrushbend.gateway.endpoints import DiscoveredEndpoint

_log = get_logger("gateway.endpoint_validation")

# Maximum length of a DNS name (RFC 1035); a page of a shared list with names of this
# length still fits in a datagram.
_MAX_TEXT_LENGTH = 255
# Range of `started_ms` in a shared list, an int64.
_MAX_STARTED_MS = (1 << 63) - 1
_MAX_HOST_CACHE = 8_192
# Lines for the entries of one list, so that a list full of them does not fill the log.
_MAX_LOGGED_ENTRIES = 20

_HOST_LABEL = r"(?!-)[A-Za-z0-9_-]{1,63}(?<!-)"
# A last label of digits only would be an IPv4 address, which is checked as such.
_HOST_NAME = re.compile(rf"(?:{_HOST_LABEL}\.)*(?!\d+\Z){_HOST_LABEL}\Z")


@functools.lru_cache(_MAX_HOST_CACHE)
def check_address(address: str) -> str:
    """Return a valid ``"host:port"``.

    Raises
    ------
    ValueError
        The host is neither an IP address nor a name, or the port is not from 1 to
        65535.
    """
    host, port = split_address(address)
    if port == 0:
        raise ValueError("a port must be at least 1")
    if _HOST_NAME.match(host) is None:
        ipaddress.ip_address(host)
    return address


# The id is sent in a header, where spaces at its ends would get lost.
_Text = Annotated[str, Field(max_length=_MAX_TEXT_LENGTH, pattern=r"^[!-~]+$")]


class _EndpointModel(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, extra="forbid")

    id: _Text
    service: _Text
    address: Annotated[_Text, AfterValidator(check_address)]
    data_centre: _Text
    slots: int = Field(ge=1, le=MAX_SLOTS)
    is_leaving: bool
    started_ms: int | None = Field(None, ge=0, le=_MAX_STARTED_MS)

    @field_validator("started_ms", mode="before")
    @classmethod
    def _check_started_ms(cls, value: Any) -> Any:
        if value is None:
            raise ValueError("must be left out if it is unknown")
        return value


class InvalidEndpointError(PeerProtocolError):
    """An entry of a list describes no endpoint."""


def validate_endpoint(fields: Mapping[str, Any]) -> DiscoveredEndpoint:
    """Return the endpoint with these fields.

    Parameters
    ----------
    fields : mapping from str to any value
        Attributes of `DiscoveredEndpoint`, all of which may have any type and value.

    Raises
    ------
    InvalidEndpointError
        A field is missing, or its type or value is invalid.
    """
    try:
        entry = _EndpointModel.model_validate(fields)
    except ValidationError as error:
        details = error.errors(
            include_url=False, include_context=False, include_input=False
        )
        reason = "; ".join(f"{detail['loc'][0]}: {detail['msg']}" for detail in details)
        raise InvalidEndpointError(reason, step="entry") from None
    return DiscoveredEndpoint(
        id=entry.id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.data_centre,
        slots=entry.slots,
        is_leaving=entry.is_leaving,
        started_ms=entry.started_ms,
    )


class InvalidEntryLog:
    """Logs each invalid entry once, as long as the list contains it."""

    def __init__(self) -> None:
        self._known: frozenset[str] = frozenset()

    def update(self, reasons: Mapping[str, str]) -> None:
        """Log the entries that the list before did not contain.

        Parameters
        ----------
        reasons : mapping from str to str
            Why each invalid entry of the list is skipped, by a text that identifies it.
        """
        new = [entry for entry in reasons if entry not in self._known]
        self._known = frozenset(reasons)
        for entry in new[:_MAX_LOGGED_ENTRIES]:
            _log.warning(
                "skipped the entry %s of the list of endpoints: %s",
                entry,
                reasons[entry],
            )
        if len(new) > _MAX_LOGGED_ENTRIES:
            _log.warning(
                "skipped %d more entries of the list of endpoints",
                len(new) - _MAX_LOGGED_ENTRIES,
            )
