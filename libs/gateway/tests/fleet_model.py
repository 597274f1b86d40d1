"""Gateways, engines and callers of an overloaded service, on a manual clock."""

import asyncio
import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass

from gateway_builders import Parts, make_call, make_endpoint, make_route

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.call import CallEnded

STEP_MS = 5.0
SPREAD_MS = 50.0
READ_TOKENS_PER_MS = 64.0


@dataclass
class TeamLoad:
    """Requests of one team.

    Attributes
    ----------
    team : str
        Name of the team.
    gateways : tuple of int
        Gateways that its callers are connected to.
    per_s : float
        Requests in a second.
    prompts : tuple of int
        Sizes in tokens, one of which is drawn for each request.
    """

    team: str
    gateways: tuple[int, ...]
    per_s: float
    prompts: tuple[int, ...]


class OverloadModel:
    """Plays callers against gateways whose engines read prompts in order of arrival.

    Parameters
    ----------
    gateways, endpoints : int
        Sizes of the fleet.
    loads : sequence of TeamLoad
        What the teams send. A refused caller comes back once, when it is told to.
    """

    def __init__(self, gateways, endpoints, loads, seed=1):
        self.clock = ManualClock()
        self.loads = loads
        self.random = random.Random(seed)
        names = [f"e{number}" for number in range(endpoints)]
        self.gateways = [
            Parts(
                *[make_endpoint(name) for name in names],
                clock=self.clock,
                name=f"g{number}",
                most_waiting=1000,
            )
            for number in range(gateways)
        ]
        self.engines = {name: deque() for name in names}
        self.asked = Counter()
        self.given = Counter()
        self.read_tokens = 0.0
        self.idle_ms = 0.0
        self.waits_ms = defaultdict(list)
        self.tasks = set()
        self.serial = 0

    async def play(self, duration_ms):
        """Play for a time."""
        due = {id(load): self.random.random() * 100 for load in self.loads}
        end_ms = self.clock.now_ms() + duration_ms
        next_spread = [
            self.clock.now_ms() + SPREAD_MS * (number + 1) / len(self.gateways)
            for number in range(len(self.gateways))
        ]
        while self.clock.now_ms() < end_ms:
            now_ms = self.clock.now_ms()
            for load in self.loads:
                while due[id(load)] <= now_ms:
                    due[id(load)] += self.random.expovariate(load.per_s / 1000)
                    self._send(load)
            for number, at_ms in enumerate(next_spread):
                if at_ms <= now_ms:
                    next_spread[number] += SPREAD_MS
                    self._report(number)
            await self.clock.advance(STEP_MS)
            for _ in range(3):
                await asyncio.sleep(0)
            self._read()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _send(self, load):
        tokens = self.random.choice(load.prompts)
        self.asked[load.team] += tokens
        task = asyncio.create_task(self._call(load, tokens))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call(self, load, tokens):
        began_ms = self.clock.now_ms()
        for is_last in (False, True):
            self.serial += 1
            gateway = self.gateways[self.random.choice(load.gateways)]
            call = make_call(
                load.team,
                tokens,
                now_ms=self.clock.now_ms(),
                route=make_route(objective_ms=400),
                request_id=str(self.serial),
            )
            try:
                placement = await gateway.queue.place(call)
            except CallEnded as ended:
                if is_last:
                    return
                await self.clock.sleep_ms(ended.retry_after_ms)
                continue
            self.given[load.team] += tokens
            self.waits_ms[load.team].append(self.clock.now_ms() - began_ms)
            left = float(placement.unread_tokens)
            self.engines[placement.endpoint].append([left, gateway, placement])
            return

    def _report(self, number):
        report = self.gateways[number].loads.report()
        for other in self.gateways:
            if other is not self.gateways[number]:
                other.loads.learn(report)
                other.queue.look()

    def _read(self):
        for name, prompts in self.engines.items():
            room = STEP_MS * READ_TOKENS_PER_MS
            while prompts and room > 0:
                prompt = prompts[0]
                taken = min(room, prompt[0])
                prompt[0] -= taken
                room -= taken
                self.read_tokens += taken
                if prompt[0] <= 0:
                    prompts.popleft()
                    _, gateway, placement = prompt
                    gateway.loads.read(name, placement.unread_tokens)
                    gateway.loads.end(name)
            self.idle_ms += room / READ_TOKENS_PER_MS
