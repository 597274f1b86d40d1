"""Server, fault injection, slots and run counts that the stand-ins share."""

import asyncio
import json
from collections import Counter
from typing import Any

from pydantic import ValidationError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from bulrushbend.core.errors import SettingsError
from bulrushbend.core.logs import part_logger
from bulrushbend.core.settings import split_address
from bulrushbend.core.validation import explain_validation
from bulrushbend.process.daemon import run_until_signal
from bulrushbend.standins.faults import Fault, FaultPlan

_log = part_logger("standins.server")


class Slots:
    """Bounded number of requests in progress; further ones wait in arrival order.

    Parameters
    ----------
    limit : int
        Maximum number of requests in progress.
    """

    def __init__(self, limit: int):
        self._semaphore = asyncio.Semaphore(limit)
        self._running = 0
        self._waiting = 0
        self._peak_waiting = 0

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return self._waiting

    @property
    def peak_waiting(self) -> int:
        """Highest number of requests that waited at the same time."""
        return self._peak_waiting

    async def __aenter__(self) -> "Slots":
        if self._semaphore.locked():
            self._peak_waiting = max(self._peak_waiting, self._waiting + 1)
        self._waiting += 1
        try:
            await self._semaphore.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        return self

    async def __aexit__(self, *_: object) -> None:
        self._running -= 1
        self._semaphore.release()


class RunCounts:
    """Number of runs per idempotency key and nonce."""

    def __init__(self) -> None:
        self._by_key: Counter[str] = Counter()
        self._by_nonce: Counter[str] = Counter()
        self._total = 0

    @property
    def total(self) -> int:
        """Number of runs since the start."""
        return self._total

    def record(self, key: str, nonce: str) -> int:
        """Count one run and return the number of runs of `key`; 1 without a key."""
        self._total += 1
        self._by_nonce[nonce] += 1
        if not key:
            return 1
        self._by_key[key] += 1
        return self._by_key[key]

    def count_for_key(self, key: str) -> int:
        """Return how often requests with the idempotency key `key` ran."""
        return self._by_key[key]

    def count_for_nonce(self, nonce: str) -> int:
        """Return how often requests with `nonce` ran."""
        return self._by_nonce[nonce]

    def repeated(self) -> dict[str, int]:
        """Return the run counts of the keys that ran more than once."""
        return {key: count for key, count in self._by_key.items() if count > 1}


class StandInServer:
    """HTTP server of a stand-in, with a fault plan.

    Parameters
    ----------
    name : str
        Name in log lines.
    address : str
        ``"host:port"``; port 0 lets the system choose one.
    faults : FaultPlan
        Faults that ``/faults`` lists and changes.
    """

    def __init__(self, name: str, address: str, faults: FaultPlan | None = None):
        self._name = name
        self._address = address
        self._faults = faults or FaultPlan()
        self._server: HTTPServer | None = None
        self._reopen_task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Address in use, with the port that the system chose."""
        return self._address

    @property
    def faults(self) -> FaultPlan:
        """Faults that are still to be applied."""
        return self._faults

    def start(self, routes: list[tuple]) -> None:
        """Listen and serve `routes`.

        Raises
        ------
        SettingsError
            If the address cannot be bound.
        """
        faults_route = (r"/faults", FaultsHandler, {"server": self})
        self._server = HTTPServer(Application([faults_route, *routes]), xheaders=False)
        self._listen()
        _log.info("stand-in %s listens on %s", self._name, self._address)

    def refuse_connections(self, duration_ms: float) -> None:
        """Close the listening socket for `duration_ms`; open connections are kept."""
        assert self._server is not None
        self._server.stop()
        self._reopen_task = asyncio.create_task(self._reopen(duration_ms))

    def stop(self) -> None:
        """Stop listening."""
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        if self._server is not None:
            self._server.stop()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        await run_until_signal(self._drain)

    async def _drain(self) -> None:
        self.stop()

    async def _reopen(self, duration_ms: float) -> None:
        await asyncio.sleep(duration_ms / 1000.0)
        self._listen()

    def _listen(self) -> None:
        host, port = split_address(self._address)
        try:
            sockets = bind_sockets(port, host)
        except OSError as error:
            reason = error.strerror or str(error)
            raise SettingsError(reason, step="listen", peer=self._address) from None
        self._address = f"{host}:{sockets[0].getsockname()[1]}"
        assert self._server is not None
        self._server.add_sockets(sockets)


class FaultsHandler(RequestHandler):
    """``/faults``: lists, adds and removes faults."""

    def initialize(self, server: StandInServer) -> None:
        """Store the server whose faults are listed and changed."""
        self._stand_in = server

    def get(self) -> None:
        """Answer with the faults that are still to be applied."""
        faults = [f.model_dump(mode="json") for f in self._stand_in.faults.faults]
        self.write({"faults": faults})

    def post(self) -> None:
        """Add the fault in the body; ``refuse`` takes effect at once."""
        try:
            fault = Fault.model_validate_json(self.request.body)
        except ValidationError as error:
            self.set_status(400)
            self.write({"error": explain_validation(error)})
            return
        if fault.kind == "refuse":
            self._stand_in.refuse_connections(fault.delay_ms)
        else:
            self._stand_in.faults.add(fault)
        self.write({"added": fault.model_dump(mode="json")})

    def delete(self) -> None:
        """Remove all faults."""
        self._stand_in.faults.clear()
        self.write({})


class RunsHandler(RequestHandler):
    """``/runs``: number of runs per key or nonce."""

    def initialize(self, runs: RunCounts, slots: Slots) -> None:
        """Store the run counts and the slots."""
        self._runs = runs
        self._slots = slots

    def get(self) -> None:
        """Answer with the counts of ``key`` or ``nonce``, or with the totals."""
        key = self.get_query_argument("key", None)
        nonce = self.get_query_argument("nonce", None)
        if key is not None:
            self.write({"key": key, "runs": self._runs.count_for_key(key)})
        elif nonce is not None:
            self.write({"nonce": nonce, "runs": self._runs.count_for_nonce(nonce)})
        else:
            self.write(
                {
                    "total": self._runs.total,
                    "repeated": self._runs.repeated(),
                    "running": self._slots.running,
                    "waiting": self._slots.waiting,
                    "peak_waiting": self._slots.peak_waiting,
                }
            )


def read_json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in `body`; an empty body counts as ``{}``.

    Raises
    ------
    ValueError
        If the body is not a JSON object.
    """
    document = json.loads(body or b"{}")
    if not isinstance(document, dict):
        raise ValueError("the body is not a JSON object")
    return document
