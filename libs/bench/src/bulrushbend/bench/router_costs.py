"""Latency and processor time that one router adds to a request.

Run as ``python -m bulrushbend.bench.router_costs`` to print all sweeps as JSON lines.
"""

import asyncio
import json
import statistics
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from bulrushbend.bench.linear_fit import fit_line
from bulrushbend.bench.router_rig import HEARTBEAT_MS, RouterRig, running_rig

CHUNK_COUNTS = (1, 16, 64, 256)
STREAM_COUNTS = (2, 4, 8, 16, 32)
CLAIM_COUNTS = (1, 4, 16, 64)
CLAIMING_LINK_COUNTS = (1, 8, 16, 32, 64)
LINK_COUNTS = (1, 32, 64, 128, 256)
_PAUSE_MS = 2.0
# With this pause, 32 streams approach the 3,850 tokens/s planned for one router.
_STREAM_PAUSE_MS = 8.0
_WARM_UP_REQUESTS = 10
_SETTLE_S = 2.0
_REQUEST_INTERVAL_S = 0.15


@dataclass(frozen=True)
class RequestCost:
    """Cost of requests with `chunks` chunks each, medians over `requests` requests.

    Attributes
    ----------
    direct_first_ms, first_ms : float
        Time to the first byte without and with the router.
    direct_lag_ms, lag_ms : float
        Time from the write of a chunk to its arrival, without and with the router.
    cpu_ms : float
        Processor time of the router per request.
    """

    chunks: int
    requests: int
    direct_first_ms: float
    first_ms: float
    direct_lag_ms: float
    lag_ms: float
    cpu_ms: float


@dataclass(frozen=True)
class StreamCost:
    """Cost of chunks while `streams` answers run at the same time.

    Attributes
    ----------
    chunks_per_s : float
        Chunks per second that the router forwarded.
    cpu_us_per_chunk : float
        Processor time of the router per chunk, including the costs per request.
    """

    streams: int
    chunks_per_s: float
    cpu_us_per_chunk: float


@dataclass(frozen=True)
class ClaimCost:
    """Cost of claims that are answered with a miss, `batch` of them in one message.

    Attributes
    ----------
    cpu_ms : float
        Processor time of the router per batch.
    """

    batch: int
    batches: int
    cpu_ms: float


@dataclass(frozen=True)
class LinkCost:
    """Cost of idle links.

    Attributes
    ----------
    cpu_ms_per_s : float
        Processor time of the router per second with `links` links.
    heartbeats_per_s : float
        Heartbeats per second, both directions together.
    memory_mb : float
        Resident memory of the router.
    """

    links: int
    cpu_ms_per_s: float
    heartbeats_per_s: float
    memory_mb: float


@dataclass(frozen=True)
class ClaimingCost:
    """Cost of requests that `links` idle agents of one service compete for.

    Attributes
    ----------
    misses : float
        Claims per request that were answered with a miss because another agent was
        first.
    cpu_ms : float
        Processor time of the router per request, minus what it uses while idle.
    """

    links: int
    requests: int
    misses: float
    cpu_ms: float


async def measure_requests(
    chunk_counts: Sequence[int] = CHUNK_COUNTS, requests: int = 60
) -> list[RequestCost]:
    """Measure the latency and processor time that the router adds.

    Parameters
    ----------
    chunk_counts : sequence of int
        Chunks of each answer, one row of the result for each.
    requests : int, default=60
        Requests for each row, one after the other.
    """
    async with running_rig(1, _PAUSE_MS) as rig:
        for _ in range(_WARM_UP_REQUESTS):
            await rig.send_request(4)
        idle_cpu_share = await _measure_idle_cpu_share(rig)
        rows = []
        for chunks in chunk_counts:
            cost = await _measure_request_cost(rig, chunks, requests, idle_cpu_share)
            rows.append(cost)
        return rows


async def measure_streams(
    stream_counts: Sequence[int] = STREAM_COUNTS, chunks: int = 256
) -> list[StreamCost]:
    """Measure chunks of answers that run at the same time.

    Parameters
    ----------
    stream_counts : sequence of int
        Answers at the same time, one row of the result for each.
    chunks : int, default=256
        Chunks of each answer.
    """
    async with running_rig(1, _STREAM_PAUSE_MS) as rig:
        for _ in range(_WARM_UP_REQUESTS):
            await rig.send_request(4)
        loop = asyncio.get_running_loop()
        rows = []
        for streams in stream_counts:
            started_s, before_ms = loop.time(), rig.cpu_ms()
            await asyncio.gather(*[rig.send_request(chunks) for _ in range(streams)])
            elapsed_s, used_ms = loop.time() - started_s, rig.cpu_ms() - before_ms
            number = streams * chunks
            cost = StreamCost(streams, number / elapsed_s, used_ms * 1000.0 / number)
            rows.append(cost)
        return rows


async def measure_claims(
    claim_counts: Sequence[int] = CLAIM_COUNTS, batches: int = 300
) -> list[ClaimCost]:
    """Measure claims answered with a miss, for several numbers of claims per message.

    Parameters
    ----------
    claim_counts : sequence of int
        Claims in one message, one row of the result for each.
    batches : int, default=300
        Messages for each row.
    """
    async with running_rig(1, _PAUSE_MS) as rig:
        await asyncio.sleep(_SETTLE_S)
        rows = []
        for count in claim_counts:
            before_ms = rig.cpu_ms()
            for _ in range(batches):
                await rig.agent.send_missed_claims(count)
            used_ms = rig.cpu_ms() - before_ms
            rows.append(ClaimCost(count, batches, used_ms / batches))
        return rows


async def measure_links(
    link_counts: Sequence[int] = LINK_COUNTS, seconds: float = 5.0
) -> list[LinkCost]:
    """Measure idle links that exchange heartbeats.

    Parameters
    ----------
    link_counts : sequence of int
        Links, one row of the result for each.
    seconds : float, default=5.0
        Duration of the measurement for each row.
    """
    rows = []
    for links in link_counts:
        async with running_rig(links, _PAUSE_MS) as rig:
            await asyncio.sleep(_SETTLE_S)
            before_ms = rig.cpu_ms()
            await asyncio.sleep(seconds)
            used_ms = rig.cpu_ms() - before_ms
            memory_mb = rig.memory_mb()
        rate = 2 * links * 1000.0 / HEARTBEAT_MS
        rows.append(LinkCost(links, used_ms / seconds, rate, memory_mb))
    return rows


async def measure_claiming(
    link_counts: Sequence[int] = CLAIMING_LINK_COUNTS, requests: int = 60
) -> list[ClaimingCost]:
    """Measure requests that all agents of the service compete for.

    Parameters
    ----------
    link_counts : sequence of int
        Agents, one row of the result for each.
    requests : int, default=60
        Requests of one chunk for each row, one after the other.
    """
    rows = []
    for links in link_counts:
        async with running_rig(links, _PAUSE_MS) as rig:
            for _ in range(_WARM_UP_REQUESTS):
                await rig.send_request(1)
            await asyncio.sleep(_SETTLE_S)
            idle_cpu_share = await _measure_idle_cpu_share(rig)
            loop = asyncio.get_running_loop()
            started_s, before_ms = loop.time(), rig.cpu_ms()
            misses = rig.agent.misses
            for _ in range(requests):
                await rig.send_request(1)
                # Longer than spread_ms, so that the backlog changes of each request
                # are sent separately.
                await asyncio.sleep(_REQUEST_INTERVAL_S)
            elapsed_ms = (loop.time() - started_s) * 1000.0
            used_ms = rig.cpu_ms() - before_ms - idle_cpu_share * elapsed_ms
            missed = (rig.agent.misses - misses) / requests
            rows.append(ClaimingCost(links, requests, missed, used_ms / requests))
    return rows


async def _measure_request_cost(
    rig: RouterRig, chunks: int, requests: int, idle_cpu_share: float
) -> RequestCost:
    direct = [await rig.send_direct_request(chunks) for _ in range(requests)]
    loop = asyncio.get_running_loop()
    started_s, before_ms = loop.time(), rig.cpu_ms()
    through_router = [await rig.send_request(chunks) for _ in range(requests)]
    elapsed_ms = (loop.time() - started_s) * 1000.0
    used_ms = rig.cpu_ms() - before_ms - idle_cpu_share * elapsed_ms
    return RequestCost(
        chunks,
        requests,
        statistics.median(first for first, _ in direct),
        statistics.median(first for first, _ in through_router),
        statistics.median(lag for _, lag in direct),
        statistics.median(lag for _, lag in through_router),
        used_ms / requests,
    )


async def _measure_idle_cpu_share(rig: RouterRig) -> float:
    """Return the fraction of one core that the idle router uses."""
    before_ms = rig.cpu_ms()
    await asyncio.sleep(_SETTLE_S)
    return (rig.cpu_ms() - before_ms) / (_SETTLE_S * 1000.0)


async def _main() -> None:
    requests = await measure_requests()
    streams = await measure_streams()
    claims = await measure_claims()
    links = await measure_links()
    claiming = await measure_claiming()
    for cost in (*requests, *streams, *claims, *links, *claiming):
        print(json.dumps(asdict(cost)))
    lines = {
        "cpu per request and chunk": fit_line(
            [cost.chunks for cost in requests], [cost.cpu_ms for cost in requests]
        ),
        "cpu per message and claim": fit_line(
            [cost.batch for cost in claims], [cost.cpu_ms for cost in claims]
        ),
        "cpu per second and heartbeat": fit_line(
            [cost.heartbeats_per_s for cost in links],
            [cost.cpu_ms_per_s for cost in links],
        ),
        "cpu per request and competing agent": fit_line(
            [cost.links for cost in claiming], [cost.cpu_ms for cost in claiming]
        ),
    }
    for name, line in lines.items():
        print(json.dumps({"line": name, **asdict(line)}))


if __name__ == "__main__":
    asyncio.run(_main())
