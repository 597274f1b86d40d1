"""Sweeps of coroutines that return cost records."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict
from typing import Any

from bulrushbend.bench.sweep import Sweep, run_sweep

# The longest measurement takes about 40 s. A measurement that hangs must not block the
# rest of `make bench`.
MEASURE_TIMEOUT_S = 120.0


def flatten_columns(cost: Any, exclude: Sequence[str]) -> dict[str, float]:
    """Return the numeric fields of a cost record by name.

    Parameters
    ----------
    cost : dataclass instance
        Fields of nested records get names such as ``"direct first_byte_ms"``.
    exclude : sequence of str
        Fields to leave out because they are sizes or counts, not costs.
    """
    columns: dict[str, float] = {}
    for name, value in asdict(cost).items():
        if name in exclude:
            continue
        if isinstance(value, dict):
            columns |= {f"{name} {part}": float(v) for part, v in value.items()}
        else:
            columns[name] = float(value)
    return columns


def sweep_costs(
    name: str,
    size_name: str,
    sizes: Sequence[int],
    measure: Callable[[int], Awaitable[Any]],
    exclude: Sequence[str],
    repeats: int,
) -> Sweep:
    """Run a sweep of a coroutine that returns one cost record for a size.

    Parameters
    ----------
    name, size_name, sizes, repeats
        See `run_sweep`.
    measure : callable
        Called with a size; its result is a dataclass instance.
    exclude : sequence of str
        See `flatten_columns`.

    Raises
    ------
    TimeoutError
        If one measurement takes longer than `MEASURE_TIMEOUT_S`.
    """

    async def measure_in_time(size: int) -> Any:
        async with asyncio.timeout(MEASURE_TIMEOUT_S):
            return await measure(size)

    def run(size: float) -> dict[str, float]:
        return flatten_columns(asyncio.run(measure_in_time(int(size))), exclude)

    return run_sweep(name, size_name, sizes, run, repeats)
