"""Exit codes of the commands."""

import enum

from bulrushbend.core.errors import (
    BulrushbendError,
    ConfigurationError,
    ConsensusError,
    PeerError,
    StoreError,
)


class ExitCode(enum.IntEnum):
    """Exit code of a command; documented in docs/OPERATIONS.md."""

    OK = 0
    INTERNAL = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    FAILED = 5


class UsageError(BulrushbendError):
    """The arguments on the command line are invalid."""


class FleetUnavailableError(BulrushbendError):
    """No control replica returned a usable answer."""

    outer_name = "FleetUnavailable"


def exit_code_of(error: BulrushbendError) -> ExitCode:
    """Return the exit code for an error that ends a command."""
    if isinstance(error, ConfigurationError | UsageError):
        return ExitCode.INVALID
    if isinstance(error, FleetUnavailableError | PeerError | ConsensusError):
        return ExitCode.UNAVAILABLE
    if isinstance(error, StoreError):
        return ExitCode.FAILED
    return ExitCode.INTERNAL
