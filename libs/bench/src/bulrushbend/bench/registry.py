"""Registry of the benchmark commands.

A module registers a command with ``@command("name")`` and is listed in `MODULES`. The
function takes keyword options, writes its files to the given folder and returns the
text to print.
"""

import importlib
from collections.abc import Callable

MODULES = (
    "policy_sweeps",
    "accounting_costs",
    "message_costs",
    "placement_costs",
    "relay_costs",
    "control_sweeps",
    "data_costs",
    "all_sweeps",
)

_commands: dict[str, Callable[..., str]] = {}


def command(name: str) -> Callable[[Callable[..., str]], Callable[..., str]]:
    """Return a decorator that registers a function as the command `name`."""

    def register(function: Callable[..., str]) -> Callable[..., str]:
        _commands[name] = function
        return function

    return register


def load_commands() -> dict[str, Callable[..., str]]:
    """Import all modules of `MODULES` and return the commands by name."""
    for module in MODULES:
        importlib.import_module(f"bulrushbend.bench.{module}")
    return dict(_commands)
