"""CPU time of placement on a gateway that coordinates a service."""

import asyncio
import gc
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from bulrushbend.bench.registry import command
from bulrushbend.bench.sweep import DEFAULT_FOLDER, Sweep, run_sweep
from bulrushbend.core.clock import ManualClock
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.gateway.admission import AdmissionQueue
from bulrushbend.gateway.call import Placement, PromptPart
from bulrushbend.gateway.demand import Demand
from bulrushbend.gateway.endpoint_limits import EndpointLimits
from bulrushbend.gateway.endpoint_notices import EndpointNotices
from bulrushbend.gateway.endpoints import DiscoveredEndpoint, EndpointDirectory
from bulrushbend.gateway.health import EndpointHealth
from bulrushbend.gateway.loads import LoadView
from bulrushbend.gateway.placer import PlacementLimits, Placer
from bulrushbend.gateway.prefix_cache import PrefixCacheIndex
from bulrushbend.gateway.shares import TeamShares
from bulrushbend.wire.fleet_pb2 import LoadReport

# Gateways and endpoints of a fleet, by the number of endpoints.
FLEETS = {8: 7, 22: 25, 39: 70, 750: 390}
# Sizes that a quick run measures.
SMALL_FLEETS = (8, 22)
_SERVICE = "flor-llm"
_DATA_CENTRES = 7
_SLOTS = 64
_TEAMS_PER_ENDPOINT = 2
_PROMPTS_PER_ENDPOINT = 12
# Running requests of each endpoint, of which one is being prefilled.
_RUNNING_PER_ENDPOINT = 4
_SHARED_TOKENS = (500, 4_800)
_OWN_TOKENS = 700
# Requests of each backlogged team in the admission queue.
_WAITING_PER_TEAM = 8
_BACKLOGGED_TEAMS = 13


class _ListSource:
    """Endpoint source with a fixed list, which is never polled."""

    rate_per_s = 1.0

    async def fetch(self) -> tuple[list[DiscoveredEndpoint], int]:
        return [], 1


@dataclass
class PlacementRig:
    """Placement components of a coordinator, with the loads of a whole fleet.

    Attributes
    ----------
    reports : list of bytes
        Encoded reports, each the next one of a gateway after a change of its load.
    demands : list of Demand
        Requests whose prompts are cached somewhere.
    """

    directory: EndpointDirectory
    loads: LoadView
    placer: Placer
    queue: AdmissionQueue
    reports: list[bytes]
    demands: list[Demand]


def build_rig(gateways: int, endpoints: int, requests: int, seed: int) -> PlacementRig:
    """Return a coordinator among `gateways` gateways and `endpoints` endpoints.

    Parameters
    ----------
    gateways, endpoints : int
        Size of the fleet.
    requests : int
        Number of reports and demands to prepare.
    seed : int
        Seed of the prompts and loads.
    """
    rng = random.Random(seed)
    clock = ManualClock()
    events = MemoryEventLog()
    found = [
        DiscoveredEndpoint(
            id=f"i-{number:08x}",
            service=_SERVICE,
            address=f"10.0.{number // 250}.{number % 250}:8080",
            data_centre=f"dc-{number % _DATA_CENTRES}",
            slots=_SLOTS,
        )
        for number in range(endpoints)
    ]
    directory = EndpointDirectory(_ListSource(), clock, events, 1000.0, lambda: 1)
    directory.adopt(found, 0.0)
    prefix_cache = PrefixCacheIndex()
    rates = EndpointLimits(clock, events, directory.get, lambda service: True)
    loads = LoadView("g0", 1, clock, prefix_cache, rates)
    notices = EndpointNotices(clock, events, directory.get)
    health = EndpointHealth(clock, events)
    limits = PlacementLimits()
    placer = Placer(loads, prefix_cache, health, notices, rates, limits, "dc-0")
    shares = TeamShares(clock)
    queue = AdmissionQueue(
        _SERVICE,
        directory,
        placer,
        notices,
        rates,
        loads,
        shares,
        clock,
        most_waiting=10_000,
    )
    prompts = [
        (
            PromptPart(f"{number % 39:08x}", _SHARED_TOKENS[0]),
            PromptPart(f"{number:016x}", _SHARED_TOKENS[1]),
        )
        for number in range(_PROMPTS_PER_ENDPOINT * endpoints)
    ]
    for number, parts in enumerate(prompts):
        prefix_cache.record(found[number % endpoints].id, parts, _OWN_TOKENS)
    demands = [
        _build_demand(rng, rng.choice(prompts), endpoints) for _ in range(requests)
    ]
    peers = [
        LoadView(f"g{number}", 1, clock, PrefixCacheIndex())
        for number in range(1, gateways)
    ]
    for peer in peers:
        for number in range(max(1, _RUNNING_PER_ENDPOINT * endpoints // gateways)):
            endpoint, tokens = _begin(peer, rng.choice(found).id, rng)
            if number % _RUNNING_PER_ENDPOINT:
                peer.end_prefill(endpoint, tokens)
        loads.handle_report(peer.report())
    reports = []
    for _ in range(requests):
        peer = rng.choice(peers)
        endpoint, tokens = _begin(peer, rng.choice(found).id, rng)
        report = peer.report(is_brief=True, is_partial=True)
        reports.append(report.SerializeToString())
        peer.end_prefill(endpoint, tokens)
        peer.end(endpoint)
    return PlacementRig(directory, loads, placer, queue, reports, demands)


def measure_placement(
    gateways: int, endpoints: int, requests: int = 2_000, seed: int = 1
) -> dict[str, float]:
    """Measure a coordinator of a fleet.

    Returns
    -------
    dict of str to float
        CPU time in microseconds to decode and apply a brief report, to place a request
        whose prompt is cached, to place one with a prompt that no endpoint has seen,
        and of an admission pass over the backlogged teams.
    """
    rig = build_rig(gateways, endpoints, requests, seed)
    endpoints_of_service = rig.directory.of_service(_SERVICE)
    reports, demands = iter(rig.reports), iter(rig.demands)

    def apply_report() -> None:
        rig.loads.handle_report(LoadReport.FromString(next(reports)))

    half = requests // 2
    report_us = _cpu_us(apply_report, half)

    def place(demand: Demand) -> None:
        choice = rig.placer.choose(demand, endpoints_of_service, 1.0)
        if choice is not None:
            placement = Placement(choice.endpoint.id, choice.unread_tokens)
            rig.loads.begin(placement, demand)
            rig.loads.release(placement)

    place_us = _cpu_us(lambda: place(next(demands)), half)
    rng = random.Random(seed)
    new_prompts = iter(
        [
            _build_demand(rng, (PromptPart(f"new-{n:08x}", 1_000),), endpoints)
            for n in range(half)
        ]
    )
    place_new_us = _cpu_us(lambda: place(next(new_prompts)), half)
    pass_us = asyncio.run(_measure_pass(rig))
    return {
        "apply a brief report us": report_us,
        "place a request us": place_us,
        "place a new prompt us": place_new_us,
        "admission pass us": pass_us,
    }


async def _measure_pass(rig: PlacementRig, passes: int = 50) -> float:
    """Return the CPU time of a pass over a queue that no endpoint can admit from."""
    busy_tokens = 10 * PlacementLimits().unread_tokens
    for endpoint in rig.directory.of_service(_SERVICE):
        demand = _build_demand(random.Random(0), (), 1)
        rig.loads.begin(Placement(endpoint.id, busy_tokens), demand)
    waiting = []
    for number in range(_WAITING_PER_TEAM * _BACKLOGGED_TEAMS):
        demand = rig.demands[number % len(rig.demands)]
        task = asyncio.create_task(rig.queue.place(demand))
        waiting.append(task)
    await asyncio.sleep(0)
    result = _cpu_us(rig.queue.place_waiting, passes)
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    return result


def _build_demand(
    rng: random.Random, parts: tuple[PromptPart, ...], endpoints: int
) -> Demand:
    tokens = _OWN_TOKENS + sum(part.tokens for part in parts)
    team = rng.randrange(max(_BACKLOGGED_TEAMS, _TEAMS_PER_ENDPOINT * endpoints))
    return Demand(
        team=f"crew-{team}",
        tokens=tokens,
        cost=tokens + 200,
        shared=parts,
        avoided=frozenset(),
        wait_start_ms=0.0,
        wait_until_ms=1_000.0,
        data_centre=f"dc-{rng.randrange(_DATA_CENTRES)}",
    )


def _begin(loads: LoadView, endpoint: str, rng: random.Random) -> tuple[str, int]:
    demand = _build_demand(rng, (), 1)
    loads.begin(Placement(endpoint, demand.tokens), demand)
    return endpoint, demand.tokens


def _cpu_us(action: Callable[[], object], times: int) -> float:
    gc.collect()
    begin_ns = time.process_time_ns()
    for _ in range(times):
        action()
    return (time.process_time_ns() - begin_ns) / 1000.0 / times


def sweep_placement(sizes: tuple[int, ...], requests: int, repeats: int) -> Sweep:
    """Measure the fleets of `FLEETS` with these numbers of endpoints."""
    return run_sweep(
        "placement-cost",
        "endpoints",
        sizes,
        lambda size: measure_placement(FLEETS[int(size)], int(size), requests),
        repeats,
    )


@command("placement-cost")
def placement_cost(
    repeats: int = 3,
    requests: int = 2_000,
    small: bool = False,
    folder: str = str(DEFAULT_FOLDER),
) -> str:
    """Measure reports, placements and admission passes by the size of the fleet."""
    sizes = SMALL_FLEETS if small else tuple(FLEETS)
    return sweep_placement(sizes, requests, repeats).save(Path(folder))
