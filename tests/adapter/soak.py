"""Randomized soak test of the real programs behind the adapter, with fault injection.

The programs run as separate processes on loopback addresses. Signals pause, kill, stop
and restart processes, a proxy drops, silences and delays links to endpoints, endpoints
refuse requests, pause within their streams, turn gateways away for a time, state that
they leave and crash on a part of a prompt, and configurations are published throughout.
The answers that callers received and the requests that endpoints ran are checked
against the guarantees.

Run it by hand with ``make soak`` or
``python tests/adapter/soak.py --seeds 50 --first 1000 --seconds 20``.
"""

import asyncio
import contextlib
import http.client
import itertools
import logging
import random
import shutil
import signal
import sys
import tempfile
import time
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import fire
from machines import PORTS, Machines
from notice_checks import (
    LeavingAnswer,
    Origin,
    Span,
    find_late_arrivals,
    find_paused_arrivals,
)
from platform_builders import encode, make_config, make_route
from standin_platform import Engine

from bulrushbend.core.errors import BulrushbendError
from bulrushbend.gateway.outcomes import NOT_RUN_STATUSES

ROUTES = [
    make_route("gen", service="llm", type="streaming"),
    make_route("book", service="app", type="non_idempotent", resumable=False),
    make_route("once", service="llm", max_attempts=1, resumable=False),
]
DEADLY_PART = "dead"
PREFIXES = {
    "gen": "5c:50,e4:50",
    "once": "5c:50,e5:50",
    "deadly": f"5c:50,{DEADLY_PART}:20,e6:30",
}
ProcessFault = Callable[[str, str], Awaitable[None]]
AUTHORIZATION = "Token k1"
EVENTS = 5
# Concurrent callers; each sends one request after the other.
CALLER_COUNT = 8
# Maximum duration of a fault and maximum interval between the starts of two; faults
# overlap.
MAX_FAULT_S = 3.0
MAX_FAULT_INTERVAL_S = 1.5
# Time for all gateways to serve again after the last fault: the platform allows 12 s
# for a core that lost all its processes, and starting takes some seconds.
RECOVERY_TIMEOUT_S = 25.0
# Time for which an engine states that it leaves, for which it turns gateways away, and
# the pause for which it asks.
LEAVING_S = (3.5, 6.0)
TURNING_AWAY_S = (0.1, 1.0)
PAUSE_S = (1.0, 3.0)
MAX_NOTICE_INTERVAL_S = 3.0
# A sound engine may pause within a stream for a second or so.
SILENCE_S = (1.0, 1.6)
# A request that crosses the close of its connection fails within this time.
LOSS_SLACK_S = 0.2
# Time in which a request is written, before the time until its answer counts.
WRITE_SLACK_S = 0.02
# Longest time to a response while gateways are stopped, below their grace of 8 s.
MAX_SLOW_ANSWER_S = 2.0
# The platform allows three requests with a part that crashes engines to reach engines
# later than 3 s after the fifth crash.
CONTACT_S = 3.0
CRASHES_UNTIL_KNOWN = 5
MAX_LATE_ARRIVALS = 3


@dataclass
class SentRequest:
    """One request and its outcome for the caller.

    Attributes
    ----------
    request_id : str
        Id of the request.
    kind : str
        ``"book"``, ``"gen"`` (a stream that may be resumed), ``"once"`` (a stream that
        may not), ``"deadly"`` (a stream whose prompt crashes engines), or ``"forged"``
        for a request with an invalid key.
    status : int
        Status of a complete answer, 0 if there was none.
    body : bytes
        Body of a complete answer.
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
        Processes and stand-ins, which `run` starts.
    seed : int
        Seed of the faults and their times.
    seconds : float
        Duration of the fault injection.
    """

    machines: Machines
    seed: int
    seconds: float
    sent: list[SentRequest] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    version: int = 3
    acknowledged: int = 0

    def __post_init__(self):
        self._random = random.Random(self.seed)
        # Separate, so that the other faults of a seed stay as they were.
        self._engine_random = random.Random(f"engines {self.seed}")
        self._stop_random = random.Random(f"stops {self.seed}")
        self._notice_random = random.Random(f"notices {self.seed}")
        self._origins: dict[str, Origin] = {}
        self._leaving_answers: list[LeavingAnswer] = []
        self._restarts: list[Span] = []
        self._cuts: list[Span] = []
        for engine in self._model_engines:
            engine.deadly_parts = {DEADLY_PART}
        self._running = True
        self._busy: set[tuple[str, str]] = set()

    @property
    def _model_engines(self) -> list[Engine]:
        return [e for e in self.machines.engines if e.service == "llm"]

    async def run(self) -> list[str]:
        """Run with fault injection and return the violations found."""
        await self.machines.start_all()
        await self.machines.wait_until(self._publish, "the first configuration")
        await self._wait_until_all_serve("all gateways serve")
        tasks = [
            asyncio.create_task(self._send_requests()) for _ in range(CALLER_COUNT)
        ]
        tasks.append(asyncio.create_task(self._publish_periodically()))
        await asyncio.gather(
            self._inject_faults(),
            self._inject_engine_faults(),
            self._inject_notices(),
        )
        await self._wait_until_all_serve("all gateways serve after the faults")
        self._running = False
        await asyncio.gather(*tasks)
        violations = [
            *await self._check_planned_stops(),
            *await self._check_silent_streams(),
            *await self._check_deadly_part(),
        ]
        return [
            *violations,
            *self._check_answers(),
            *self._check_notices(),
            *await self._check_configurations(),
        ]

    def outcomes(self) -> Counter:
        """Return the number of requests by kind and status."""
        return Counter(f"{request.kind} {request.status}" for request in self.sent)

    async def _send_requests(self) -> None:
        while self._running:
            kind = self._random.choices(("book", "gen", "forged"), (5, 5, 1))[0]
            await self._call(kind, self._random.choice(self.machines.hosts))
            await asyncio.sleep(self._random.uniform(0.0, 0.05))

    def _make_request(
        self, kind: str, host: str
    ) -> tuple[SentRequest, str, dict[str, str]]:
        """Return a new request to a gateway, with its path and headers."""
        request = SentRequest(f"{len(self.sent):08x}", kind)
        self.sent.append(request)
        sent_s = asyncio.get_running_loop().time()
        self._origins[request.request_id] = Origin(host, sent_s)
        headers = {
            "Authorization": "Token forged" if kind == "forged" else AUTHORIZATION,
            "Host": "a.example",
            "Deadline-Ms": "3000",
            "Attempt-Id": request.request_id,
        }
        path = "/book/x"
        if kind in PREFIXES:
            path = "/once/x" if kind == "once" else "/gen/x"
            headers |= {
                "Model": "m",
                "Token-Usage": "100,10",
                "Prefix-Hash": PREFIXES[kind],
            }
        return request, path, headers

    async def _call(self, kind: str, host: str) -> SentRequest:
        request, path, headers = self._make_request(kind, host)
        try:
            status, answer, body = await self.machines.call(
                host, "front", "POST", path, headers, request.request_id.encode()
            )
        except BulrushbendError:
            # Without a complete answer nothing is guaranteed.
            return request
        request.status, request.body = status, body
        if answer.get("Server-Leaving") == "1":
            instance = answer["Instance-Seal"].removesuffix(".seal")
            answered_s = asyncio.get_running_loop().time()
            self._leaving_answers.append(LeavingAnswer(host, instance, answered_s))
        return request

    async def _publish(self) -> bool:
        content = encode(make_config(self.version, routes=ROUTES))
        host = self._random.choice(self.machines.hosts)
        if await self.machines.publish(host, content) != 200:
            return False
        self.acknowledged = self.version
        return True

    async def _publish_periodically(self) -> None:
        while self._running:
            self.version += 1
            # A version without acknowledgement may be lost.
            with contextlib.suppress(BulrushbendError):
                await self._publish()
            await asyncio.sleep(self._random.uniform(0.1, 1.0))

    async def _inject_faults(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        faults = (
            partial(self._inject_process_fault, self._pause),
            partial(self._inject_process_fault, self._kill),
            partial(self._inject_process_fault, self._stop),
            self._send_sighup,
            self._refuse,
            self._break_link,
            self._delay,
        )
        open_faults = set()
        while loop.time() < end:
            fault = self._random.choice(faults)
            open_faults.add(asyncio.create_task(fault()))
            await asyncio.sleep(self._random.uniform(0.0, MAX_FAULT_INTERVAL_S))
        await asyncio.gather(*open_faults)

    async def _inject_engine_faults(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        while loop.time() < end:
            fault = self._engine_random.choice((self._fall_silent, self._send_deadly))
            await fault()
            await asyncio.sleep(self._engine_random.uniform(0.0, MAX_FAULT_INTERVAL_S))

    async def _inject_notices(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        open_notices = set()
        while loop.time() < end:
            notice = self._notice_random.choice((self._leave, self._turn_away))
            open_notices.add(asyncio.create_task(notice()))
            await asyncio.sleep(self._notice_random.uniform(0.0, MAX_NOTICE_INTERVAL_S))
        await asyncio.gather(*open_notices)

    async def _leave(self) -> None:
        """Let an engine state that it leaves, and another one take its address."""
        engine = self._notice_random.choice(self._model_engines)
        instance = engine.instance
        if not instance or any(e.is_leaving for e in self._model_engines):
            return
        self.faults.append(f"leaving {engine.name}")
        engine.is_leaving = True
        await asyncio.sleep(self._notice_random.uniform(*LEAVING_S))
        if engine.instance == instance:
            engine.replace()

    async def _turn_away(self) -> None:
        engine = self._notice_random.choice(self.machines.engines)
        self.faults.append(f"turns away {engine.name}")
        engine.turn_away_s = self._notice_random.uniform(*PAUSE_S)
        await asyncio.sleep(self._notice_random.uniform(*TURNING_AWAY_S))
        engine.turn_away_s = 0.0

    async def _fall_silent(self) -> None:
        engine = self._engine_random.choice(self._model_engines)
        self.faults.append(f"silences {engine.name}")
        engine.silences = [self._engine_random.uniform(*SILENCE_S) for _ in range(4)]

    async def _send_deadly(self) -> None:
        self.faults.append("deadly part")
        for _ in range(self._engine_random.randrange(1, 6)):
            await self._call("deadly", self._engine_random.choice(self.machines.hosts))
            await asyncio.sleep(self._engine_random.uniform(0.0, 0.5))

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self._random.uniform(0.2, MAX_FAULT_S))

    def _choose_process(self) -> tuple[str, str] | None:
        """Return a process without a fault; only one control replica at a time."""
        free = [key for key in self.machines.processes if key not in self._busy]
        if any(role == "control" for _, role in self._busy):
            free = [key for key in free if key[1] != "control"]
        return self._random.choice(sorted(free)) if free else None

    async def _inject_process_fault(self, inject: ProcessFault) -> None:
        """Inject a fault into a process, if there is one without a fault."""
        key = self._choose_process()
        if key is None:
            return
        self.faults.append(f"{inject.__name__} {key}")
        self._busy.add(key)
        loop = asyncio.get_running_loop()
        host, role = key
        restart = Span(host, loop.time())
        if role == "gateway":
            self._restarts.append(restart)
        await inject(host, role)
        restart.end_s = loop.time()
        self._busy.discard(key)

    async def _pause(self, host: str, role: str) -> None:
        self.machines.send(signal.SIGSTOP, host, role)
        await self._wait_fault_duration()
        self.machines.send(signal.SIGCONT, host, role)

    async def _kill(self, host: str, role: str) -> None:
        await self.machines.kill(host, role)
        await self._wait_fault_duration()
        await self.machines.start(host, role)

    async def _stop(self, host: str, role: str) -> None:
        process = self.machines.processes[host, role]
        self.machines.send(signal.SIGTERM, host, role)
        await process.wait()
        del self.machines.processes[host, role]
        await self.machines.start(host, role)

    async def _send_sighup(self) -> None:
        key = self._choose_process()
        if key is not None:
            self.faults.append(f"SIGHUP {key}")
            self.machines.send(signal.SIGHUP, *key)

    async def _refuse(self) -> None:
        engine = self._random.choice(self.machines.engines)
        self.faults.append(f"refuse {engine.name}")
        engine.refuses = True
        await self._wait_fault_duration()
        engine.refuses = False

    async def _break_link(self) -> None:
        engine = self._random.choice(self.machines.engines)
        link = self._random.choice(("drop", "silent"))
        self.faults.append(f"{link} {engine.name}")
        loop = asyncio.get_running_loop()
        cut = Span(engine.name, loop.time())
        self._cuts.append(cut)
        await asyncio.to_thread(self.machines.set_link_rule, engine, link)
        await self._wait_fault_duration()
        await asyncio.to_thread(self.machines.heal)
        cut.end_s = loop.time()

    async def _delay(self) -> None:
        self.faults.append("delay")
        self.machines.links.set_delay(self._random.uniform(5.0, 200.0))
        await self._wait_fault_duration()
        self.machines.links.set_delay(0.0)

    async def _wait_until_all_serve(self, description: str) -> None:
        for host in self.machines.hosts:

            async def serves(host=host):
                statuses = [(await self._call(k, host)).status for k in ("book", "gen")]
                return statuses == [200, 200]

            await self.machines.wait_until(
                serves, f"{description}: {host}", RECOVERY_TIMEOUT_S
            )

    async def _check_planned_stops(self) -> list[str]:
        """Stop gateways in calm and return the requests that got no answer."""
        for engine in self.machines.engines:
            engine.slow_s = MAX_SLOW_ANSWER_S
        stopping = self._stop_random.sample(self.machines.hosts, 2)
        ended = asyncio.Event()
        tasks = [
            asyncio.create_task(self._send_on_kept_connections(host, ended))
            for host in stopping * CALLER_COUNT
        ]
        await asyncio.sleep(1.0)
        await asyncio.gather(*(self._stop_repeatedly(host) for host in stopping))
        ended.set()
        lost = [name for names in await asyncio.gather(*tasks) for name in names]
        for engine in self.machines.engines:
            engine.slow_s = 0.0
        await self._wait_until_all_serve("all gateways serve after planned stops")
        return lost

    async def _stop_repeatedly(self, host: str) -> None:
        """Send a gateway SIGTERM and further signals, and start it again."""
        await asyncio.sleep(self._stop_random.uniform(0.0, 1.0))
        loop = asyncio.get_running_loop()
        restart = Span(host, loop.time())
        self._restarts.append(restart)
        process = self.machines.processes[host, "gateway"]
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            self.machines.send(number, host, "gateway")
            await asyncio.sleep(self._stop_random.uniform(0.0, 1.0))
        await process.wait()
        await self.machines.start(host, "gateway")
        restart.end_s = loop.time()

    async def _send_on_kept_connections(
        self, host: str, ended: asyncio.Event
    ) -> list[str]:
        """Send requests until the gateway has stopped, and return the lost ones."""
        lost = []
        connection = http.client.HTTPConnection(host, PORTS["front"], timeout=10.0)
        while not ended.is_set():
            kind = self._stop_random.choice(("book", "gen", "once"))
            request, path, headers = self._make_request(kind, host)
            deadline_ms = self._stop_random.choice((3000, 15000))
            headers["Deadline-Ms"] = str(deadline_ms)
            body = request.request_id.encode()
            answer = await asyncio.to_thread(_exchange, connection, path, headers, body)
            if isinstance(answer, LostAnswer):
                # The rule does not count a request whose deadline was reached.
                is_due = answer.after_s + WRITE_SLACK_S >= deadline_ms / 1000.0
                is_late = answer.after_s > LOSS_SLACK_S
                if not is_due and (is_late or self._has_run(request)):
                    lost.append(f"{kind} {request.request_id} at {host}: {answer}")
            elif answer is None:
                await asyncio.sleep(0.05)
            else:
                request.status, request.body = answer
            await asyncio.sleep(self._stop_random.uniform(0.0, 0.1))
        connection.close()
        return lost

    def _has_run(self, request: SentRequest) -> bool:
        runs = (run for engine in self.machines.engines for run in engine.runs)
        return any(run[0] == request.request_id for run in runs)

    async def _check_silent_streams(self) -> list[str]:
        """Return the streams that did not end well because their engine paused."""
        for engine in self._model_engines:
            engine.silences = [self._engine_random.uniform(*SILENCE_S)] * CALLER_COUNT
        kinds = ["gen", "once"] * (CALLER_COUNT // 2)
        hosts = itertools.cycle(self.machines.hosts)
        calls = [self._call(kind, next(hosts)) for kind in kinds]
        answers = await asyncio.gather(*calls)
        for engine in self._model_engines:
            engine.silences = []
        return [
            f"{request.kind} {request.request_id}: status {request.status},"
            f" {len(request.body)} bytes although its engine only paused"
            for request in answers
            if request.status != 200 or not _is_complete(request)
        ]

    async def _check_deadly_part(self) -> list[str]:
        """Return a violation if the deadly part reaches too many engines."""
        await asyncio.sleep(CONTACT_S)
        before = self._count_deadly_arrivals()
        crashed = sum(len(engine.crashes) for engine in self._model_engines)
        for _ in range(CRASHES_UNTIL_KNOWN):
            for host in self.machines.hosts:
                await self._call("deadly", host)
        arrived = self._count_deadly_arrivals() - before
        if arrived <= max(0, CRASHES_UNTIL_KNOWN - crashed) + MAX_LATE_ARRIVALS:
            return []
        return [f"{arrived} requests with the deadly part after {crashed} crashes"]

    def _count_deadly_arrivals(self) -> int:
        return sum(
            DEADLY_PART in arrival.parts
            for engine in self._model_engines
            for arrival in engine.arrivals
        )

    def _check_notices(self) -> list[str]:
        """Return the requests at engines that had stated that they want none."""
        violations = []
        for engine in self.machines.engines:
            violations += find_late_arrivals(
                engine, self._origins, self._leaving_answers, self._restarts
            )
            violations += find_paused_arrivals(
                engine, self._origins, self._restarts, self._cuts
            )
        return violations

    def _check_answers(self) -> list[str]:
        runs = Counter()
        violations = []
        for engine in self.machines.engines:
            for request_id, team, _ in engine.runs:
                runs[request_id] += 1
                if team != "crew-a":
                    violations.append(f"{request_id} ran for {team!r}")
        for request in self.sent:
            ran = runs[request.request_id]
            name = (
                f"{request.kind} {request.request_id}:"
                f" status {request.status}, {ran} runs"
            )
            if request.kind == "book" and ran > 1:
                violations.append(f"{name}: ran more than once")
            if request.status in NOT_RUN_STATUSES and ran:
                violations.append(f"{name}: reported as not run")
            if request.kind == "forged" and (ran or request.status == 200):
                violations.append(f"{name}: request with an invalid key was served")
            if request.status == 200 and not _is_complete(request):
                violations.append(f"{name}: wrong answer {request.body!r}")
        return violations

    async def _check_configurations(self) -> list[str]:
        """Return the first replica without the newest acknowledged configuration."""
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
                await self.machines.wait_until(
                    is_kept, "the configuration is read back", RECOVERY_TIMEOUT_S
                )
            except AssertionError:
                return [f"{host} lacks acknowledged configuration version {expected}"]
        return []


@dataclass(frozen=True)
class LostAnswer:
    """End of a connection without a complete answer, by the time since the request."""

    after_s: float
    error: str


def _exchange(
    connection: http.client.HTTPConnection,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> tuple[int, bytes] | LostAnswer | None:
    """Send a request on a kept connection; return None if there is no connection."""
    sent_s = time.monotonic()
    try:
        connection.request("POST", path, body, headers)
        sent_s = time.monotonic()
        response = connection.getresponse()
        return response.status, response.read()
    except ConnectionRefusedError:
        return None
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        return LostAnswer(time.monotonic() - sent_s, repr(error))


def _is_complete(request: SentRequest) -> bool:
    if request.kind == "book":
        return request.body == f"{request.request_id} at i-app".encode()
    events = b"".join(b"id: %d\ndata: t\n\n" % (n + 1) for n in range(EVENTS))
    return request.body == events


async def run_seed(folder: Path, seed: int, seconds: float) -> tuple[list[str], Soak]:
    """Run one seed and return the violations and the run."""
    machines = Machines(folder, has_links=True)
    soak = Soak(machines, seed, seconds)
    try:
        return await soak.run(), soak
    except AssertionError as error:
        return [f"{error}"], soak
    finally:
        await machines.stop()


def main(seeds: int = 3, first: int | None = None, seconds: float = 20.0) -> None:
    """Run random or consecutive seeds and exit with 1 if any guarantee is violated.

    Parameters
    ----------
    seeds : int
        Number of runs.
    first : int, optional
        First of the consecutive seeds; random by default.
    seconds : float
        Duration of the fault injection in each run.
    """
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    start = random.SystemRandom().randrange(10**9) if first is None else first
    failed = 0
    for seed in range(start, start + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            violations, soak = asyncio.run(run_seed(folder, seed, seconds))
        except Exception:
            traceback.print_exc()
            violations, soak = ["the soak test raised an exception"], None
        outcomes = dict(soak.outcomes()) if soak else {}
        print(f"seed {seed}: {len(violations)} violations; {outcomes}", flush=True)
        if violations:
            failed += 1
            print("\n".join([*(soak.faults if soak else []), *violations[:20]]))
            print(f"logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
