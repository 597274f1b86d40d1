"""Machines of a small deployment, as real processes on loopback addresses."""

import asyncio
import os
import signal
import socket
import sys
from functools import partial
from pathlib import Path

import tomli_w
from forwarder import Network, Rule
from standin_platform import Cloud, Engine

from bulrushbend.core.errors import BulrushbendError
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts

_PROCESS_ID = os.getpid()
# Addresses depend on the process id, so that two runs on one machine do not conflict.
ADDRESS_PREFIX = f"127.{100 + _PROCESS_ID // 250 % 100}.{_PROCESS_ID % 250}"
_TIMEOUTS = ExchangeTimeouts(1000.0, 8000.0, 8000.0)
PORTS = {"front": 8783, "ready": 8780, "control": 8785}


class Machines:
    """Machines with a disk each that run a gateway and a control replica.

    Parameters
    ----------
    folder : Path
        Folder for settings, data and logs.
    size : int, default=3
        Number of machines.
    has_links : bool, default=False
        Whether endpoints are reached through a proxy that can inject link faults.
    model_engines : int, default=2
        Number of engines that answer with event streams.
    seed : int, default=0
        Seed of the engines' faults.
    grace_s : float, default=8
        Time between SIGTERM and SIGKILL that the settings state.
    app_slots : int, default=8
        Concurrent requests of the engine that answers with bodies.
    """

    def __init__(
        self,
        folder: Path,
        size: int = 3,
        has_links: bool = False,
        model_engines: int = 2,
        seed: int = 0,
        grace_s: float = 8,
        app_slots: int = 8,
    ):
        self.folder = folder
        self._grace_s = grace_s
        self.hosts = [f"{ADDRESS_PREFIX}.{10 + number}" for number in range(size)]
        self.engines = [
            Engine(
                f"i-{number}",
                "llm",
                f"{ADDRESS_PREFIX}.{100 + number}",
                8080,
                seed=seed,
            )
            for number in range(model_engines)
        ]
        self.engines.append(
            Engine("i-app", "app", f"{ADDRESS_PREFIX}.110", 8080, slots=app_slots)
        )
        self.links = Network(lambda client_port, server_port: "") if has_links else None
        if self.links is not None:
            for number, engine in enumerate(self.engines):
                listen = f"{ADDRESS_PREFIX}.{150 + number}:8080"
                self.links.forward(engine.name, listen, engine.address)
                engine.listed_address = listen
                engine.on_listening = partial(self.links.set_listening, engine.name)
        self.cloud = Cloud(f"{ADDRESS_PREFIX}.200", 8781, self.engines)
        self.processes: dict[tuple[str, str], asyncio.subprocess.Process] = {}

    async def start(
        self, host: str, role: str, bootstrap: bool = False, has_disk: bool = True
    ) -> None:
        """Start the process of a role on a machine."""
        path = self._write_settings(host, role, bootstrap, has_disk)
        log = (self.folder / f"{host}-{role}.log").open("ab")
        self.processes[host, role] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bulrushbend.platform",
            role,
            env=os.environ
            | {"BULRUSHBEND_SETTINGS": str(path), "PYTHONPATH": _source_path()},
            stdout=log,
            stderr=log,
        )
        log.close()

    async def start_all(self) -> None:
        """Start and bootstrap all processes."""
        for host in self.hosts:
            await self.start(host, "control", bootstrap=True)
            await self.start(host, "gateway", bootstrap=True)

    def send(self, number: signal.Signals, host: str, role: str) -> None:
        """Send a signal to a process that this object started."""
        self.processes[host, role].send_signal(number)

    async def kill(self, host: str, role: str) -> None:
        """Kill a process and wait for its end."""
        process = self.processes.pop((host, role))
        process.kill()
        await process.wait()

    def set_link_rule(self, engine: Engine, rule: str) -> None:
        """Drop (``"drop"``) or silence (``"silent"``) the links to an endpoint."""
        self.links.set_rule(Rule(rule), engine.name)

    def heal(self) -> None:
        """Remove all link faults."""
        self.links.heal()

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        if self.links is not None:
            await asyncio.to_thread(self.links.close)
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for standin in (*self.engines, self.cloud):
            standin.stop()

    async def call(self, host, port, method, path, headers=None, body=b""):
        """Send one HTTP request and return status, headers and body."""
        request = ExchangeRequest(
            method, path, headers=_make_headers(headers), body=body
        )
        exchange = await Exchange.open(f"{host}:{PORTS[port]}", request, _TIMEOUTS)
        try:
            return exchange.status, exchange.headers, await exchange.body()
        finally:
            exchange.close()

    async def wait_until(self, condition, description: str, timeout_s: float = 20.0):
        """Wait until the coroutine function returns a true value, and return it."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while loop.time() < deadline:
            try:
                if value := await condition():
                    return value
            except BulrushbendError:
                pass
            await asyncio.sleep(0.05)
        raise AssertionError(
            f"condition not met within {timeout_s:g} s: {description}\n{self.logs()}"
        )

    async def is_ready(self, host: str) -> bool:
        """Whether the gateway of a machine reports that it is ready."""
        status, _, _ = await self.call(host, "ready", "GET", "/bulrushbend/readyz")
        return status == 200

    async def publish(self, host: str, content: bytes) -> int:
        """Send a configuration to a machine and return the status."""
        status, _, _ = await self.call(
            host, "control", "POST", "/bulrushbend/Config.Replace", body=content
        )
        return status

    def logs(self, lines: int = 5) -> str:
        """Return the last log lines of all processes."""
        text = []
        for path in sorted(self.folder.glob("*.log")):
            text.append(f"{path.name}:")
            text += path.read_text().splitlines()[-lines:]
        return "\n".join(text)

    def _write_settings(
        self, host: str, role: str, bootstrap: bool, has_disk: bool
    ) -> Path:
        settings = {
            "node": f"edge-{host}",
            "role": role,
            "ip": host,
            "zone": "papantla",
            "region": "totonacapan",
            "port_range": [7400, 7415],
            "seeds": [f"{seed}:{PORTS['control']}" for seed in self.hosts],
            "bootstrap": bootstrap,
            "data_dir": str(self.folder / f"data-{host}"),
            "listen": {name: f"{host}:{port}" for name, port in PORTS.items()},
            "bounds": {"grace_s": self._grace_s, "revoke_ms": 5000},
            "cloud": {"addr": self.cloud.address, "rate_per_s": 1000.0},
        }
        if not has_disk:
            del settings["data_dir"]
        path = self.folder / f"{host}-{role}.toml"
        path.write_text(tomli_w.dumps(settings))
        return path


def _make_headers(given):
    from tornado.httputil import HTTPHeaders

    return HTTPHeaders(given or {})


def _source_path() -> str:
    root = Path(__file__).parents[2]
    folders = [*root.glob("libs/*/src"), root / "platform" / "src"]
    return os.pathsep.join(str(folder) for folder in folders)


def is_loopback_range_usable() -> bool:
    """Whether any address of the loopback range can be bound, as on Linux."""
    with socket.socket() as probe:
        try:
            probe.bind((f"{ADDRESS_PREFIX}.10", 0))
        except OSError:
            return False
    return True
