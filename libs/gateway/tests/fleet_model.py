"""Model of an overloaded service with gateways, engines and callers."""

import asyncio
import random
from collections import Counter, deque
from dataclasses import dataclass

from gateway_builders import (
    SERVICE,
    GatewayComponents,
    make_call,
    make_endpoint,
    make_route,
)

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.call import RequestError
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.demand import demand_of
from bulrushbend.gateway.placement_client import CoordinatedPlacement, PlacementClient
from bulrushbend.gateway.placement_server import PlacementServer

STEP_MS = 5.0
FULL_REPORT_MS = 200.0
PREFILL_TOKENS_PER_MS = 64.0


@dataclass
class TeamLoad:
    """Request load of one team.

    Attributes
    ----------
    team : str
        Name of the team.
    gateways : tuple of int
        Gateways that its callers are connected to.
    requests_per_s : float
        Rate of its requests.
    prompts : tuple of int
        Prompt sizes in tokens; each request uses one of them at random.
    """

    team: str
    gateways: tuple[int, ...]
    requests_per_s: float
    prompts: tuple[int, ...]


class ModelGateway:
    """One gateway whose datagrams are delivered directly to the others.

    Parameters
    ----------
    number : int
        Number of the gateway.
    endpoints : sequence of str
        Names of the endpoints.
    clock : ManualClock
        Source of time.
    fleet : dict
        All gateways by name.
    """

    def __init__(self, number, endpoints, clock, fleet):
        self.name = f"g{number}"
        self.fleet = fleet
        self.is_silent = False
        self.is_leaving = False
        self.lost_replies = 0
        self.components = GatewayComponents(
            *[make_endpoint(name) for name in endpoints],
            clock=clock,
            name=self.name,
            most_waiting=1000,
        )
        self.loads = self.components.loads
        self.coordinators = Coordinators(self.name, clock, self.components.events)
        self.client = PlacementClient(
            self.name, 1, self.coordinators, self.loads, clock, self.send
        )
        self.server = PlacementServer(
            self.name,
            1,
            self.queue_for,
            self.accepts_placements,
            self.components.quarantine,
            self.components.request_quarantine,
            clock,
            self.components.events,
            self.send,
        )
        self.placement = CoordinatedPlacement(
            SERVICE, self.components.queue, self.client, self.components.notices
        )

    def accepts_placements(self):
        return not self.is_leaving

    def queue_for(self, service):
        return self.components.queue

    def send(self, address, datagram):
        target = self.fleet[address]
        if target.is_silent or self.is_silent:
            return
        loop = asyncio.get_running_loop()
        match datagram.WhichOneof("content"):
            case "request":
                loop.call_soon(
                    target.server.handle_request, datagram.request, self.name
                )
            case "reply" if self.lost_replies:
                self.lost_replies -= 1
            case "reply":
                loop.call_soon(target.client.handle_reply, datagram.reply)
            case "cancel":
                loop.call_soon(target.server.cancel, datagram.cancel)

    def report(self, is_brief, targets):
        report = self.loads.report(is_brief=is_brief)
        for target in targets:
            if target is not self and not target.is_silent and not self.is_silent:
                target.loads.handle_report(report)
                target.components.queue.place_waiting()


class OverloadModel:
    """Simulates callers, gateways, and engines that process prompts in arrival order.

    Parameters
    ----------
    gateways, endpoints : int
        Sizes of the fleet.
    loads : sequence of TeamLoad
        Loads of the teams. A refused caller retries once, after its Retry-After.
    has_coordinator : bool
        Whether the gateways know one another, so that one places for all.
    """

    def __init__(self, gateways, endpoints, loads, seed=1, has_coordinator=False):
        self.clock = ManualClock()
        self.loads = loads
        self.random = random.Random(seed)
        names = [f"e{number}" for number in range(endpoints)]
        self.fleet = {}
        for number in range(gateways):
            gateway = ModelGateway(number, names, self.clock, self.fleet)
            self.fleet[gateway.name] = gateway
        self.gateways = list(self.fleet.values())
        if has_coordinator:
            for gateway in self.gateways:
                others = {name: name for name in self.fleet if name != gateway.name}
                gateway.coordinators.set_peers(others)
        self.engines = {name: deque() for name in names}
        self.requested_tokens = Counter()
        self.served_tokens = Counter()
        self.processed_tokens = 0.0
        self.overlapping = 0
        self.placed = 0
        self.tasks = set()
        self.serial = 0

    async def run(self, duration_ms):
        """Run the model for a time."""
        due = {id(load): self.random.random() * 100 for load in self.loads}
        end_ms = self.clock.now_ms() + duration_ms
        next_full_report_ms = [
            self.clock.now_ms() + FULL_REPORT_MS * (number + 1) / len(self.gateways)
            for number in range(len(self.gateways))
        ]
        while self.clock.now_ms() < end_ms:
            now_ms = self.clock.now_ms()
            for load in self.loads:
                while due[id(load)] <= now_ms:
                    due[id(load)] += self.random.expovariate(load.requests_per_s / 1000)
                    self._send(load)
            for number, gateway in enumerate(self.gateways):
                if next_full_report_ms[number] <= now_ms:
                    next_full_report_ms[number] += FULL_REPORT_MS
                    gateway.report(False, self.gateways)
                in_use = gateway.coordinators.addresses_in_use()
                gateway.report(True, [self.fleet[name] for name in in_use])
            await self.clock.advance(STEP_MS)
            for _ in range(6):
                await asyncio.sleep(0)
            self._process_prompts()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _send(self, load):
        tokens = self.random.choice(load.prompts)
        self.requested_tokens[load.team] += tokens
        task = asyncio.create_task(self._call(load, tokens))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call(self, load, tokens):
        for is_last in (False, True):
            self.serial += 1
            gateway = self.gateways[self.random.choice(load.gateways)]
            now_ms = self.clock.now_ms()
            call = make_call(
                load.team,
                tokens,
                now_ms=now_ms,
                route=make_route(objective_ms=400),
                request_id=str(self.serial),
            )
            try:
                placement = await gateway.placement.place(demand_of(call, now_ms))
            except RequestError as error:
                if is_last:
                    return
                await self.clock.sleep_ms(error.retry_after_ms)
                continue
            self.served_tokens[load.team] += tokens
            prompts = self.engines[placement.endpoint]
            self.placed += 1
            unread = sum(remaining for remaining, _, _ in prompts)
            self.overlapping += unread > 0 and unread + placement.unread_tokens > 2_048
            remaining = float(placement.unread_tokens)
            prompts.append([remaining, gateway, placement])
            return

    def _process_prompts(self):
        for name, prompts in self.engines.items():
            capacity = STEP_MS * PREFILL_TOKENS_PER_MS
            while prompts and capacity > 0:
                prompt = prompts[0]
                processed = min(capacity, prompt[0])
                prompt[0] -= processed
                capacity -= processed
                self.processed_tokens += processed
                if prompt[0] <= 0:
                    prompts.popleft()
                    _, gateway, placement = prompt
                    gateway.loads.end_prefill(name, placement.unread_tokens)
                    gateway.loads.end(name)
