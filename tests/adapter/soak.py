"""Randomized soak of the real programs behind the adapter, with faults from outside.

The programs run as separate processes on addresses of the loopback range. Processes are
paused, killed, stopped and restarted by signals, links to endpoints are cut, silenced
and delayed by a proxy, endpoints refuse, and an operator publishes all the while. What
callers got and what endpoints ran is compared with what is promised.

Run it by hand with ``make soak`` or
``python tests/adapter/soak.py --seeds 50 --first 1000 --seconds 20``.
"""

import asyncio
import contextlib
import logging
import random
import shutil
import signal
import sys
import tempfile
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import fire
from machines import Machines
from platform_builders import encode, make_config, make_route

from bulrushbend.core.errors import BulrushbendError
from bulrushbend.gateway.outcomes import NOT_RUN_STATUSES

ROUTES = [
    make_route("gen", service="llm", type="streaming"),
    make_route("book", service="app", type="non_idempotent", resumable=False),
]
ProcessFault = Callable[[str, str], Awaitable[None]]
KEY = "Token k1"
EVENTS = 5
# Callers that send one request after the other.
CALLERS = 8
# Longest time for a fault, and between two of them; they overlap.
LONGEST_FAULT_S = 3.0
LONGEST_PAUSE_S = 1.5
# After the last fault all gateways must serve again within this time: the platform
# allows 12 s for a core that lost all its processes, and starting takes some seconds.
RECOVERY_S = 25.0


@dataclass
class Sent:
    """One request and how it ended for its caller.

    Attributes
    ----------
    request_id : str
        Id of the request.
    kind : str
        ``"book"``, ``"gen"`` or ``"forged"`` for one with a wrong key.
    status : int
        Status of a whole answer, 0 if there was none.
    body : bytes
        Body of a whole answer.
    """

    request_id: str
    kind: str
    status: int = 0
    body: bytes = b""


@dataclass
class Soak:
    """One seeded run.

    Attributes
    ----------
    machines : Machines
        The processes and stand-ins, not started yet.
    seed : int
        Decides the faults and their times.
    seconds : float
        How long faults are injected.
    """

    machines: Machines
    seed: int
    seconds: float
    sent: list[Sent] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    version: int = 3
    acknowledged: int = 0

    def __post_init__(self):
        self._random = random.Random(self.seed)
        self._running = True
        self._busy: set[tuple[str, str]] = set()

    async def run(self) -> list[str]:
        """Play the run and return what was broken."""
        await self.machines.start_all()
        await self.machines.until(self._publish, "the first configuration")
        await self._until_all_serve("all gateways serve")
        tasks = [asyncio.create_task(self._call_on()) for _ in range(CALLERS)]
        tasks.append(asyncio.create_task(self._publish_on()))
        await self._inject()
        await self._until_all_serve("all gateways serve after the faults")
        self._running = False
        await asyncio.gather(*tasks)
        return [*self._broken_answers(), *await self._lost_configurations()]

    def outcomes(self) -> Counter:
        """Return how many requests ended with each status."""
        return Counter(f"{one.kind} {one.status}" for one in self.sent)

    async def _call_on(self) -> None:
        while self._running:
            kind = self._random.choices(("book", "gen", "forged"), (5, 5, 1))[0]
            await self._call(kind, self._random.choice(self.machines.hosts))
            await asyncio.sleep(self._random.uniform(0.0, 0.05))

    async def _call(self, kind: str, host: str) -> Sent:
        one = Sent(f"{len(self.sent):08x}", kind)
        self.sent.append(one)
        headers = {
            "Authorization": "Token forged" if kind == "forged" else KEY,
            "Host": "a.example",
            "Deadline-Ms": "3000",
            "Attempt-Id": one.request_id,
        }
        path = "/book/x"
        if kind == "gen":
            path = "/gen/x"
            headers |= {
                "Model": "m",
                "Token-Usage": "100,10",
                "Prefix-Hash": "5c:50,e4:50",
            }
        try:
            status, _, body = await self.machines.call(
                host, "front", "POST", path, headers, one.request_id.encode()
            )
        except BulrushbendError:
            # No whole answer promises nothing.
            return one
        one.status, one.body = status, body
        return one

    async def _publish(self) -> bool:
        content = encode(make_config(self.version, routes=ROUTES))
        host = self._random.choice(self.machines.hosts)
        if await self.machines.publish(host, content) != 200:
            return False
        self.acknowledged = self.version
        return True

    async def _publish_on(self) -> None:
        while self._running:
            self.version += 1
            # Without an acknowledgement the version may be lost.
            with contextlib.suppress(BulrushbendError):
                await self._publish()
            await asyncio.sleep(self._random.uniform(0.1, 1.0))

    async def _inject(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        faults = (
            partial(self._disturb_process, self._pause),
            partial(self._disturb_process, self._kill),
            partial(self._disturb_process, self._stop),
            self._hang_up,
            self._refuse,
            self._cut,
            self._delay,
        )
        open_faults = set()
        while loop.time() < end:
            fault = self._random.choice(faults)
            open_faults.add(asyncio.create_task(fault()))
            await asyncio.sleep(self._random.uniform(0.0, LONGEST_PAUSE_S))
        await asyncio.gather(*open_faults)

    async def _hold(self) -> None:
        await asyncio.sleep(self._random.uniform(0.2, LONGEST_FAULT_S))

    def _choose_process(self) -> tuple[str, str] | None:
        """Return a process without a fault, at most one of control at a time."""
        free = [key for key in self.machines.processes if key not in self._busy]
        if any(role == "control" for _, role in self._busy):
            free = [key for key in free if key[1] != "control"]
        return self._random.choice(sorted(free)) if free else None

    async def _disturb_process(self, disturb: ProcessFault) -> None:
        """Give a process a fault of its own, if one is free."""
        key = self._choose_process()
        if key is None:
            return
        self.faults.append(f"{disturb.__name__} {key}")
        self._busy.add(key)
        await disturb(*key)
        self._busy.discard(key)

    async def _pause(self, host: str, role: str) -> None:
        self.machines.send(signal.SIGSTOP, host, role)
        await self._hold()
        self.machines.send(signal.SIGCONT, host, role)

    async def _kill(self, host: str, role: str) -> None:
        await self.machines.kill(host, role)
        await self._hold()
        await self.machines.start(host, role)

    async def _stop(self, host: str, role: str) -> None:
        process = self.machines.processes[host, role]
        self.machines.send(signal.SIGTERM, host, role)
        await process.wait()
        del self.machines.processes[host, role]
        await self.machines.start(host, role)

    async def _hang_up(self) -> None:
        key = self._choose_process()
        if key is not None:
            self.faults.append(f"SIGHUP {key}")
            self.machines.send(signal.SIGHUP, *key)

    async def _refuse(self) -> None:
        engine = self._random.choice(self.machines.engines)
        self.faults.append(f"refuse {engine.name}")
        engine.refuses = True
        await self._hold()
        engine.refuses = False

    async def _cut(self) -> None:
        engine = self._random.choice(self.machines.engines)
        link = self._random.choice(("drop", "silent"))
        self.faults.append(f"{link} {engine.name}")
        await asyncio.to_thread(self.machines.disturb, engine, link)
        await self._hold()
        await asyncio.to_thread(self.machines.heal)

    async def _delay(self) -> None:
        self.faults.append("delay")
        self.machines.links.set_delay(self._random.uniform(5.0, 200.0))
        await self._hold()
        self.machines.links.set_delay(0.0)

    async def _until_all_serve(self, what: str) -> None:
        for host in self.machines.hosts:

            async def serves(host=host):
                statuses = [(await self._call(k, host)).status for k in ("book", "gen")]
                return statuses == [200, 200]

            await self.machines.until(serves, f"{what}: {host}", RECOVERY_S)

    def _broken_answers(self) -> list[str]:
        runs = Counter()
        broken = []
        for engine in self.machines.engines:
            for request_id, team, _ in engine.runs:
                runs[request_id] += 1
                if team != "crew-a":
                    broken.append(f"{request_id} ran for {team!r}")
        for one in self.sent:
            ran = runs[one.request_id]
            name = f"{one.kind} {one.request_id}: status {one.status}, {ran} runs"
            if one.kind == "book" and ran > 1:
                broken.append(f"{name}: ran more than once")
            if one.status in NOT_RUN_STATUSES and ran:
                broken.append(f"{name}: said not to have run")
            if one.kind == "forged" and (ran or one.status == 200):
                broken.append(f"{name}: a wrong key was served")
            if one.status == 200 and not _is_whole(one):
                broken.append(f"{name}: wrong answer {one.body!r}")
        return broken

    async def _lost_configurations(self) -> list[str]:
        """Return replicas that lack the newest acknowledged configuration."""
        expected = self.acknowledged
        for host in self.machines.hosts:

            async def is_kept(host=host):
                _, _, body = await self.machines.call(
                    host, "control", "GET", "/bulrushbend/Config.Read"
                )
                newest = encode(make_config(self.version, routes=ROUTES))
                versions = range(expected, self.version + 1)
                kept = [encode(make_config(v, routes=ROUTES)) for v in versions]
                return body in (newest, *kept)

            try:
                await self.machines.until(is_kept, "read back", RECOVERY_S)
            except AssertionError:
                return [f"{host} lacks configuration {expected}"]
        return []


def _is_whole(one: Sent) -> bool:
    if one.kind == "book":
        return one.body == f"{one.request_id} at i-app".encode()
    events = b"".join(b"id: %d\ndata: t\n\n" % (n + 1) for n in range(EVENTS))
    return one.body == events


async def play(folder: Path, seed: int, seconds: float) -> tuple[list[str], Soak]:
    """Play one seed and return what was broken, and the run."""
    machines = Machines(folder, has_links=True)
    soak = Soak(machines, seed, seconds)
    try:
        return await soak.run(), soak
    except AssertionError as error:
        return [f"{error}"], soak
    finally:
        await machines.stop()


def main(seeds: int = 3, first: int | None = None, seconds: float = 20.0) -> None:
    """Play fresh seeds, or a row of seeds from `first` on, and exit with 1 on a fault.

    Parameters
    ----------
    seeds : int
        Number of runs.
    first : int, optional
        First seed; drawn at random if it is not given.
    seconds : float
        How long each run injects faults.
    """
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    start = random.SystemRandom().randrange(10**9) if first is None else first
    failed = 0
    for seed in range(start, start + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            broken, soak = asyncio.run(play(folder, seed, seconds))
        except Exception:
            traceback.print_exc()
            broken, soak = ["the soak itself failed"], None
        outcomes = dict(soak.outcomes()) if soak else {}
        print(f"seed {seed}: {len(broken)} broken; {outcomes}", flush=True)
        if broken:
            failed += 1
            print("\n".join([*(soak.faults if soak else []), *broken[:20]]))
            print(f"logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
