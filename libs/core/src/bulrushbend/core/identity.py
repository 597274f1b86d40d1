"""Identity of a process: its name and its incarnation."""

import secrets
from dataclasses import dataclass

from bulrushbend.core.clock import Clock

_RANDOM_BITS = 16


@dataclass(frozen=True)
class Identity:
    """Name and incarnation of a process.

    Attributes
    ----------
    name : str
        Unique name from the settings.
    incarnation : int
        Increases with every start and needs no disk: the high bits are the wall time
        in milliseconds, the random low bits distinguish starts within one millisecond.
    """

    name: str
    incarnation: int


def new_identity(name: str, clock: Clock) -> Identity:
    """Return the identity of a process that is starting."""
    random_part = secrets.randbits(_RANDOM_BITS)
    return Identity(name, (clock.wall_ms() << _RANDOM_BITS) | random_part)


def new_id(prefix: str) -> str:
    """Return a random identifier such as ``"req-4f0c..."`` with 64 random bits."""
    return f"{prefix}-{secrets.token_hex(8)}"
