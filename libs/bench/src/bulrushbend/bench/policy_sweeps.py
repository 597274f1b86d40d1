"""Command that runs the policy simulation over scenarios, send intervals and seeds."""

import csv
import io
from collections.abc import Iterable
from pathlib import Path

from bulrushbend.bench.policy import simulate_policy
from bulrushbend.bench.registry import command
from bulrushbend.bench.scenario import (
    Faults,
    Partition,
    Restart,
    Scenario,
    TeamLoad,
    backlogged_teams,
    light_teams,
    skewed_teams,
)
from bulrushbend.bench.sweep import DEFAULT_FOLDER
from bulrushbend.bench.variants import DEFAULT_VARIANT

SPREADS_MS = (50.0, 100.0, 250.0, 1000.0, 4000.0)
KINDS = ("flood", "shares", "skew", "light", "return", "restart", "faults", "partition")
_COLUMNS = (
    "scenario",
    "agents",
    "spread_ms",
    "variant",
    "seconds",
    "seed",
    "gap_s",
    "interval_gap_s",
    "idle_s",
    "median_wait_s",
    "longest_wait_s",
    "requests",
)


def build_scenario(
    kind: str,
    agents: int = 5,
    spread_ms: float = 250.0,
    duration_ms: float = 200_000.0,
    seed: int = 1,
    variant: str = DEFAULT_VARIANT,
) -> Scenario:
    """Return a scenario by its kind.

    Parameters
    ----------
    kind : str
        One of `KINDS`, or ``"push"``: each request is assigned on arrival to the agent
        with the fewest outstanding requests.
    agents : int
        Number of agents with 8 slots each.
    spread_ms, duration_ms, seed, variant
        See `Scenario`.

    Raises
    ------
    ValueError
        If `kind` is unknown.
    """
    backlogged = backlogged_teams()
    options: dict = {}
    if kind in ("flood", "push"):
        teams, options = backlogged, {"push": kind == "push"}
    elif kind == "shares":
        teams = backlogged_teams((1.0, 1.0, 1.0, 8.0, 8.0, 8.0))
    elif kind == "skew":
        teams = skewed_teams()
    elif kind == "light":
        teams = backlogged + light_teams(3, 0.04 * agents)
    elif kind == "return":
        quarter_ms = duration_ms / 4.0
        periods = ((0.0, quarter_ms), (2.0 * quarter_ms, duration_ms))
        teams = (*backlogged[:5], TeamLoad("crew-6", periods=periods))
    elif kind == "restart":
        fifth_ms = duration_ms / 5.0
        restarts = [Restart(n % agents, fifth_ms * (n + 1)) for n in range(4)]
        teams, options = backlogged, {"restarts": tuple(restarts)}
    elif kind == "partition":
        third_ms = duration_ms / 3.0
        teams = backlogged + light_teams(3, 0.04 * agents)
        options = {"partitions": (Partition(third_ms, 2.0 * third_ms),)}
    elif kind == "faults":
        teams, options = backlogged, {"faults": Faults(0.3, 0.3, 3.0 * spread_ms)}
    else:
        raise ValueError(f"unknown scenario {kind!r}; known: {(*KINDS, 'push')}")
    return Scenario(teams, agents, 8, spread_ms, duration_ms, variant, seed, **options)


@command("policy")
def policy(
    kinds: Iterable[str] | str = KINDS,
    spreads_ms: Iterable[float] | float = SPREADS_MS,
    variants: Iterable[str] | str = DEFAULT_VARIANT,
    agents: int = 5,
    seconds: float = 200.0,
    seeds: int = 3,
    name: str = "policy",
    folder: str = str(DEFAULT_FOLDER),
) -> str:
    """Measure the service gap and write a table to FOLDER/NAME.csv and NAME.md."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(_COLUMNS)
    lines = ["| " + " | ".join(_COLUMNS) + " |", "| --- " * len(_COLUMNS) + "|"]
    for kind in _as_tuple(kinds):
        for spread_ms in _as_tuple(spreads_ms):
            for variant in _as_tuple(variants):
                for seed in range(1, seeds + 1):
                    row = _run(kind, agents, spread_ms, seconds, seed, variant)
                    writer.writerow(row)
                    lines.append("| " + " | ".join(map(str, row)) + " |")
    table = "\n".join(lines) + "\n"
    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    (target / f"{name}.csv").write_text(output.getvalue())
    (target / f"{name}.md").write_text(table)
    return table


def _as_tuple(value) -> tuple:
    if isinstance(value, str):
        return tuple(value.split(","))
    return tuple(value) if isinstance(value, (list, tuple)) else (value,)


def _run(kind, agents, spread_ms, seconds, seed, variant) -> list:
    scenario = build_scenario(kind, agents, spread_ms, seconds * 1000.0, seed, variant)
    result = simulate_policy(scenario)
    figures_ms = (
        result.gap_ms,
        result.interval_gap_ms,
        result.idle_ms,
        result.median_wait_ms,
        result.longest_wait_ms,
    )
    rounded = [round(value / 1000.0, 2) for value in figures_ms]
    parameters = [kind, agents, spread_ms, variant, seconds, seed]
    return [*parameters, *rounded, result.requests]
