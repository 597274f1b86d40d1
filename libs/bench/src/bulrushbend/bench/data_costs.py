"""Commands that sweep the costs of one router and of one agent."""

from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from bulrushbend.bench import agent_costs, router_costs
from bulrushbend.bench.costs import sweep_costs
from bulrushbend.bench.registry import command
from bulrushbend.bench.sweep import DEFAULT_FOLDER

ROUTER_CLAIMING_LINKS = (1, 4, 16, 32)
_SIZES_AND_COUNTS = (
    "chunks",
    "requests",
    "streams",
    "batch",
    "batches",
    "links",
    "teams",
    "claims",
)
_LINK_SECONDS = 3.0


def _single_size(
    measure: Callable[..., Awaitable[Sequence[Any]]], *options: Any
) -> Callable[[int], Awaitable[Any]]:
    """Adapt `measure`, which takes a list of sizes, to a single size."""

    async def run(size: int) -> Any:
        (cost,) = await measure([size], *options)
        return cost

    return run


@command("router")
def router(
    repeats: int = 2, requests: int = 10, folder: str = str(DEFAULT_FOLDER)
) -> str:
    """Sweep one router over chunks, streams, claims, links and competing agents."""
    target = Path(folder)
    plans = (
        (
            "router-requests",
            "chunks",
            router_costs.CHUNK_COUNTS,
            _single_size(router_costs.measure_requests, requests),
        ),
        (
            "router-streams",
            "streams",
            router_costs.STREAM_COUNTS,
            _single_size(router_costs.measure_streams),
        ),
        (
            "router-claims",
            "claims in a message",
            router_costs.CLAIM_COUNTS,
            _single_size(router_costs.measure_claims),
        ),
        (
            "router-links",
            "links",
            router_costs.LINK_COUNTS,
            _single_size(router_costs.measure_links, _LINK_SECONDS),
        ),
        (
            "router-claiming",
            "competing agents",
            ROUTER_CLAIMING_LINKS,
            _single_size(router_costs.measure_claiming, requests),
        ),
    )
    return _run_plans(plans, repeats, target)


@command("agent")
def agent(
    repeats: int = 2, requests: int = 10, folder: str = str(DEFAULT_FOLDER)
) -> str:
    """Sweep one agent over chunks, waiting teams and links."""
    plans = (
        (
            "agent-requests",
            "chunks",
            agent_costs.CHUNK_COUNTS,
            _single_size(agent_costs.measure_requests, requests),
        ),
        (
            "agent-claims",
            "backlogged teams",
            agent_costs.TEAM_COUNTS,
            _single_size(agent_costs.measure_claims),
        ),
        (
            "agent-links",
            "links",
            agent_costs.LINK_COUNTS,
            _single_size(agent_costs.measure_links),
        ),
    )
    return _run_plans(plans, repeats, Path(folder))


def _run_plans(plans, repeats: int, folder: Path) -> str:
    """Run the sweeps one after the other and save each as soon as it ends."""
    tables = []
    for name, size_name, sizes, measure in plans:
        sweep = sweep_costs(name, size_name, sizes, measure, _SIZES_AND_COUNTS, repeats)
        tables.append(f"{name}\n\n{sweep.save(folder)}")
    return "\n".join(tables)
