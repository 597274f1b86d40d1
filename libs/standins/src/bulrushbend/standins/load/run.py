"""Sends a load that is bounded by a number of requests and a duration."""

import asyncio
import itertools
import random
from collections.abc import Iterator

from bulrushbend.core.clock import Clock
from bulrushbend.standins.load.call import CallRecord, send_request
from bulrushbend.standins.load.report import LoadReport, build_report
from bulrushbend.standins.load.settings import LoadSettings, LoadTeam

# Delay of a closed-loop caller after a request that was not answered with status 200,
# so that a fleet that refuses requests is not flooded with them.
_BACKOFF_MS = 50.0


class LoadRun:
    """One run of the load generator.

    Parameters
    ----------
    settings : LoadSettings
        Load to send.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, settings: LoadSettings, clock: Clock | None = None):
        self._settings = settings
        self._clock = clock or Clock()
        self._random = random.Random(settings.seed)
        self._records: list[CallRecord] = []
        self._started = 0
        self._skipped = 0
        self._routers = {
            team.name: self._cycle_routers(team) for team in settings.teams
        }

    async def run(self) -> LoadReport:
        """Send all requests, wait for the last answer and return the report."""
        start_ms = self._clock.now_ms()
        end_ms = start_ms + self._settings.duration_ms
        if self._settings.mode == "closed":
            await self._run_closed(end_ms)
        else:
            await self._run_open(end_ms)
        names = [team.name for team in self._settings.teams]
        duration_ms = self._clock.now_ms() - start_ms
        return build_report(names, self._records, duration_ms, self._skipped)

    async def _run_closed(self, end_ms: float) -> None:
        total = sum(team.weight for team in self._settings.teams)
        async with asyncio.TaskGroup() as group:
            for team in self._settings.teams:
                callers = self._settings.concurrency * team.weight / total
                for _ in range(max(1, round(callers))):
                    group.create_task(self._call_repeatedly(team, end_ms))

    async def _call_repeatedly(self, team: LoadTeam, end_ms: float) -> None:
        while self._clock.now_ms() < end_ms and self._reserve_request():
            record = await self._call(team)
            if record.status != 200:
                await self._clock.sleep_ms(_BACKOFF_MS)

    async def _run_open(self, end_ms: float) -> None:
        teams = self._settings.teams
        weights = [team.weight for team in teams]
        in_progress: set[asyncio.Task[CallRecord]] = set()
        arrival_ms = self._clock.now_ms()
        while arrival_ms < end_ms and self._reserve_request():
            await self._clock.sleep_ms(arrival_ms - self._clock.now_ms())
            team = self._random.choices(teams, weights)[0]
            if len(in_progress) >= self._settings.in_progress_limit:
                self._skipped += 1
            else:
                task = asyncio.create_task(self._call(team))
                in_progress.add(task)
                task.add_done_callback(in_progress.discard)
            arrival_ms += self._random.expovariate(self._settings.rate_per_s) * 1000.0
        await asyncio.gather(*in_progress)

    async def _call(self, team: LoadTeam) -> CallRecord:
        cost = team.cost or self._settings.cost
        cost_ms = cost.draw_ms(self._random)
        router = next(self._routers[team.name])
        record = await send_request(self._settings, team, router, cost_ms, self._clock)
        self._records.append(record)
        return record

    def _reserve_request(self) -> bool:
        if self._started >= self._settings.requests:
            return False
        self._started += 1
        return True

    def _cycle_routers(self, team: LoadTeam) -> Iterator[str]:
        routers = self._settings.routers
        return itertools.cycle([routers[i] for i in team.routers] or routers)
