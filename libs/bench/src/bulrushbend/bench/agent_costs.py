"""Latency and processor time that one agent adds to a request.

Run as ``python -m bulrushbend.bench.agent_costs`` to print both sweeps as JSON lines.
"""

import asyncio
import contextlib
import json
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

import numpy as np

from bulrushbend.bench.agent_rig import (
    TIMEOUTS,
    AgentRig,
    BenchRouter,
    PacedEndpoint,
    read_timestamp_ns,
)
from bulrushbend.bench.linear_fit import fit_line
from bulrushbend.wire.exchange import Exchange, ExchangeRequest

CHUNK_COUNTS = (1, 16, 64, 256)
TEAM_COUNTS = (1, 16, 64, 170)
LINK_COUNTS = (1, 4, 16, 64)
_CHUNK_BYTES = 200
_PAUSE_MS = 2.0
_IDLE_PERIOD_MS = 2000.0
# A request of four chunks must last longer than one measurement.
_SLOW_PAUSE_MS = 700.0
_WARM_UP_REQUESTS = 5


@dataclass(frozen=True)
class Latency:
    """Latency of one answer in milliseconds.

    Attributes
    ----------
    first_byte_ms : float
        Time from sending the request to the first data of the body.
    chunk_lag_ms : float
        Mean time from the endpoint's write of a chunk to its arrival.
    """

    first_byte_ms: float
    chunk_lag_ms: float


@dataclass(frozen=True)
class RequestCost:
    """Cost of requests with `chunks` chunks each.

    Attributes
    ----------
    direct, through_agent : Latency
        Median latencies over the requests, without and with the agent.
    claim_ms : float
        Median time from the backlog announcement to the claim.
    cpu_ms : float
        Processor time of the agent per request, minus what it uses while idle.
    """

    chunks: int
    requests: int
    direct: Latency
    through_agent: Latency
    claim_ms: float
    cpu_ms: float


@dataclass(frozen=True)
class ClaimCost:
    """Cost of claims while `teams` teams have waiting requests.

    Attributes
    ----------
    round_trip_ms : float
        Mean time from a miss to the next claim.
    cpu_ms : float
        Processor time of the agent per claim.
    """

    teams: int
    claims: int
    round_trip_ms: float
    cpu_ms: float


@dataclass(frozen=True)
class LinkCost:
    """Cost of `links` links while idle and while one stream is served.

    Attributes
    ----------
    idle_core_part, busy_core_part : float
        Fraction of one core that the agent uses, without and with a running request,
        whose accounting record changes all the time.
    memory_mb : float
        Resident memory of the agent.
    """

    links: int
    idle_core_part: float
    busy_core_part: float
    memory_mb: float


async def measure_requests(
    chunk_counts: Sequence[int] = CHUNK_COUNTS, requests: int = 40
) -> list[RequestCost]:
    """Measure the latency and processor time that the agent adds.

    Parameters
    ----------
    chunk_counts : sequence of int
        Chunks of each answer, one row of the result for each.
    requests : int, default=40
        Requests for each row, one after the other.
    """
    rig = AgentRig(PacedEndpoint(_PAUSE_MS, _CHUNK_BYTES))
    async with rig.running() as router:
        for _ in range(_WARM_UP_REQUESTS):
            await _measure_through_agent(router, 1)
        idle_cpu_share = await _measure_cpu_share(rig)
        return [
            await _measure_request_cost(rig, router, chunks, requests, idle_cpu_share)
            for chunks in chunk_counts
        ]


async def measure_claims(
    team_counts: Sequence[int] = TEAM_COUNTS, claims: int = 500
) -> list[ClaimCost]:
    """Measure claims that are answered with a miss, for several numbers of teams.

    Parameters
    ----------
    team_counts : sequence of int
        Teams with waiting requests, one row of the result for each.
    claims : int, default=500
        Claims for each row.
    """
    rows = []
    for teams in team_counts:
        rig = AgentRig(PacedEndpoint(_PAUSE_MS, _CHUNK_BYTES), teams)
        async with rig.running() as router:
            attempt_id = await router.claim()
            started, cpu_ms = time.perf_counter(), rig.cpu_ms()
            for _ in range(claims):
                attempt_id = await router.miss(attempt_id)
            elapsed_ms = (time.perf_counter() - started) * 1000.0
            used_ms = rig.cpu_ms() - cpu_ms
        rows.append(ClaimCost(teams, claims, elapsed_ms / claims, used_ms / claims))
    return rows


async def measure_links(link_counts: Sequence[int] = LINK_COUNTS) -> list[LinkCost]:
    """Measure the processor time and the memory that links use.

    Parameters
    ----------
    link_counts : sequence of int
        Linked routers, one row of the result for each.
    """
    rows = []
    for links in link_counts:
        rig = AgentRig(PacedEndpoint(_SLOW_PAUSE_MS, _CHUNK_BYTES))
        async with rig.running() as router, contextlib.AsyncExitStack() as stack:
            for number in range(2, links + 1):
                other = BenchRouter(rig.settings, 1, f"router-{number}")
                await stack.enter_async_context(other.linked())
            await asyncio.sleep(_IDLE_PERIOD_MS / 1000.0)
            idle = await _measure_cpu_share(rig)
            attempt_id = await router.claim()
            exchange = await router.post(attempt_id, b"4")
            busy = await _measure_cpu_share(rig)
            memory_mb = rig.memory_mb()
            await exchange.body()
        rows.append(LinkCost(links, idle, busy, memory_mb))
    return rows


async def _measure_cpu_share(rig: AgentRig) -> float:
    """Return the fraction of one core that the agent uses."""
    before_ms = rig.cpu_ms()
    await asyncio.sleep(_IDLE_PERIOD_MS / 1000.0)
    return (rig.cpu_ms() - before_ms) / _IDLE_PERIOD_MS


async def _measure_request_cost(
    rig: AgentRig, router: BenchRouter, chunks: int, requests: int, idle: float
) -> RequestCost:
    direct = [await _measure_directly(rig, chunks) for _ in range(requests)]
    started, cpu_ms = time.perf_counter(), rig.cpu_ms()
    through = [await _measure_through_agent(router, chunks) for _ in range(requests)]
    elapsed_ms = (time.perf_counter() - started) * 1000.0
    used_ms = rig.cpu_ms() - cpu_ms - idle * elapsed_ms
    return RequestCost(
        chunks=chunks,
        requests=requests,
        direct=_median_latency(direct),
        through_agent=_median_latency([latency for _, latency in through]),
        claim_ms=float(np.median([claim_ms for claim_ms, _ in through])),
        cpu_ms=used_ms / requests,
    )


async def _measure_directly(rig: AgentRig, chunks: int) -> Latency:
    started = time.monotonic_ns()
    request = ExchangeRequest("POST", "/run", body=b"%d" % chunks)
    address = rig.settings.endpoint_address
    return await _measure_answer(
        await Exchange.open(address, request, TIMEOUTS), started
    )


async def _measure_through_agent(
    router: BenchRouter, chunks: int
) -> tuple[float, Latency]:
    advertised = time.monotonic_ns()
    attempt_id = await router.claim()
    started = time.monotonic_ns()
    exchange = await router.post(attempt_id, b"%d" % chunks)
    return (started - advertised) / 1e6, await _measure_answer(exchange, started)


async def _measure_answer(exchange: Exchange, started_ns: int) -> Latency:
    first_ns = 0
    lags = []
    async for data in exchange.chunks():
        now_ns = time.monotonic_ns()
        first_ns = first_ns or now_ns
        lags.append(now_ns - read_timestamp_ns(data))
    return Latency((first_ns - started_ns) / 1e6, float(np.mean(lags)) / 1e6)


def _median_latency(latencies: Sequence[Latency]) -> Latency:
    return Latency(
        float(np.median([latency.first_byte_ms for latency in latencies])),
        float(np.median([latency.chunk_lag_ms for latency in latencies])),
    )


async def _measure_all() -> None:
    requests = await measure_requests()
    claims = await measure_claims()
    links = await measure_links()
    for cost in (*requests, *claims, *links):
        print(json.dumps(asdict(cost)))
    by_chunk = fit_line([r.chunks for r in requests], [r.cpu_ms for r in requests])
    by_team = fit_line([c.teams for c in claims], [c.cpu_ms for c in claims])
    print(json.dumps({"request_cpu": asdict(by_chunk), "claim_cpu": asdict(by_team)}))


if __name__ == "__main__":
    asyncio.run(_measure_all())
