"""A complete fleet on loopback, for the demo and the tests.

The processes are children of the script that uses this module.
"""

import dataclasses
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import tomli_w

from bulrushbend.core.manifest import hash_token

HOST = "127.0.0.1"
DATA_CENTRES = ("papantla", "gutierrez", "tecolutla")
MODEL_SERVICE = "flor-llm"
APPLICATION_SERVICE = "rota-app"
_POLL_S = 0.05
_PORTS = range(12_000, 32_000)


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """Sizes of a local fleet and overrides of default settings.

    Attributes
    ----------
    teams : mapping
        Share of each team by its name; the token of a team is ``token-NAME``.
    overrides : mapping
        Settings by role (``"router"``) or process name (``"router-1"``).
    """

    control: int = 3
    routers: int = 2
    engines: int = 2
    applications: int = 1
    slots: int = 4
    platform: bool = True
    teams: Mapping[str, float] = dataclasses.field(
        default_factory=lambda: {"crew-a": 1.0}
    )
    overrides: Mapping[str, Mapping[str, Any]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Unit:
    """One process of the fleet with its settings and addresses."""

    name: str
    role: str
    command: list[str]
    settings: dict[str, Any]
    process: subprocess.Popen | None = None
    starts: int = 0

    @property
    def http_address(self) -> str:
        return self.settings["http_address"]

    @property
    def listen_address(self) -> str:
        return self.settings.get("http_listen", self.http_address)

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None


class FleetError(Exception):
    """Raised when the fleet does not reach the expected state."""


def source_program() -> list[str]:
    """Return the command that runs the program from the sources."""
    return [sys.executable, "-m", "bulrushbend.cli"]


def source_environment() -> dict[str, str]:
    """Return the environment for running the program from these sources."""
    folders = Path(__file__).resolve().parent.parent.glob("libs/*/src")
    return os.environ | {"PYTHONPATH": os.pathsep.join(map(str, sorted(folders)))}


# Sockets that reserve the ports of the fleets of this process.
_reservations: list[socket.socket] = []


def pick_ports(count: int) -> list[int]:
    """Return ports that are currently free on loopback.

    They lie below the ephemeral port range, so that no outgoing connection occupies
    one while a process restarts. A UDP socket on the same port reserves it against
    other fleets until this process ends; the servers use TCP only.
    """
    ports: list[int] = []
    for port in random.sample(_PORTS, len(_PORTS)):
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        with socket.socket() as opened:
            try:
                reservation.bind((HOST, port))
                opened.bind((HOST, port))
            except OSError:
                reservation.close()
                continue
        _reservations.append(reservation)
        ports.append(port)
        if len(ports) == count:
            return ports
    raise FleetError(f"fewer than {count} ports are free")


def token_of(team: str) -> str:
    """Return the bearer token of a team of a local fleet."""
    return f"token-{team}"


def fetch(
    url: str,
    document: Any = None,
    headers: Mapping[str, str] | None = None,
    method: str | None = None,
    timeout_s: float = 30.0,
) -> tuple[int, Mapping[str, str], bytes]:
    """Send one HTTP request and return status, headers and body."""
    body = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(url, body, dict(headers or {}), method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        with error:
            return error.code, error.headers, error.read()


class LocalFleet:
    """Writes the settings of a fleet into a folder and runs its processes.

    Parameters
    ----------
    folder : Path
        Run folder for settings, logs and data.
    plan : FleetPlan
        Sizes and settings.
    program : list of str, optional
        Command that runs bulrushbend; runs from the sources by default.
    """

    def __init__(self, folder: Path, plan: FleetPlan, program: list[str] | None = None):
        self.folder = Path(folder)
        self.plan = plan
        self.program = program or source_program()
        self.environment = None if program else source_environment()
        self.units: dict[str, Unit] = {}
        self._commands: list[subprocess.Popen] = []
        self._ports = iter(pick_ports(64))
        for name in ("settings", "events", "logs", "data"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        self._plan_units()

    def __enter__(self) -> "LocalFleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.kill_all()

    @property
    def control_addresses(self) -> str:
        return ",".join(u.settings["link_address"] for u in self.of_role("control"))

    @property
    def event_logs(self) -> list[Path]:
        return sorted((self.folder / "events").glob("*.jsonl"))

    def of_role(self, *roles: str) -> list[Unit]:
        return [unit for unit in self.units.values() if unit.role in roles]

    def manifest(self, version: int, **limits: Any) -> dict[str, Any]:
        """Return a manifest of all teams and endpoints of this fleet."""
        services = [
            {"name": MODEL_SERVICE, "kind": "model", "resume": "last-event-id"},
            {"name": APPLICATION_SERVICE, "kind": "application"},
        ]
        teams = [
            {"name": name, "share": share, "token_sha256": hash_token(token_of(name))}
            for name, share in self.plan.teams.items()
        ]
        endpoints = [
            {
                "name": unit.settings["endpoint"],
                "service": self._service_of(unit),
                "vm": unit.settings["vm"],
                "data_centre": unit.settings["data_centre"],
                "slots": self.plan.slots,
            }
            for unit in self.of_role("agent")
        ]
        document: dict[str, Any] = {"version": version}
        if limits:
            document["limits"] = limits
        return document | {
            "services": services,
            "teams": teams,
            "endpoints": endpoints,
        }

    def write_toml(self, name: str, document: Mapping[str, Any]) -> Path:
        path = self.folder / "settings" / f"{name}.toml"
        path.write_text(tomli_w.dumps(document))
        return path

    def start(self, *names: str) -> None:
        """Start the named processes, or all of them."""
        for name in names or self.units:
            unit = self.units[name]
            path = self.write_toml(unit.name, unit.settings)
            log_path = self.folder / "logs" / f"{unit.name}.log"
            command = [*self.program, *unit.command, f"--settings={path}"]
            if unit.role == "control" and unit.starts == 0:
                command.append("--bootstrap")
            with open(log_path, "ab") as log:
                unit.process = subprocess.Popen(
                    command,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    env=self.environment,
                )
            unit.starts += 1

    def wait_for(
        self, page: str, names: Iterable[str] = (), timeout_s: float = 20.0
    ) -> None:
        """Wait until the page returns 200 on the named daemons, or on all."""
        deadline = time.monotonic() + timeout_s
        daemons = [u.name for u in self.of_role("control", "router", "agent")]
        for name in list(names) or daemons:
            while not self._responds(name, page):
                unit = self.units[name]
                if not unit.is_running:
                    raise FleetError(
                        f"{name} exited before {page} returned 200:"
                        f" {self.log_tail(name)}"
                    )
                if time.monotonic() > deadline:
                    raise FleetError(
                        f"{name} did not return 200 on {page} within {timeout_s:g} s"
                    )
                time.sleep(_POLL_S)

    def command(
        self, *arguments: str, timeout_s: float = 60.0
    ) -> subprocess.CompletedProcess:
        """Run an operator command and return its result."""
        return subprocess.run(
            [*self.program, *arguments],
            capture_output=True,
            text=True,
            timeout=timeout_s,
            check=False,
            env=self.environment,
        )

    def popen(self, *arguments: str) -> subprocess.Popen:
        """Start an operator command without waiting for its end."""
        command = subprocess.Popen(
            [*self.program, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=self.environment,
        )
        self._commands.append(command)
        return command

    def publish(self, manifest: Mapping[str, Any], *, wait: bool = True):
        """Publish a manifest with the ``publish`` command."""
        path = self.write_toml(f"manifest-{manifest['version']}", manifest)
        options = ["--control", self.control_addresses]
        return self.command("publish", str(path), *options, *["--wait"] * wait)

    def status(self) -> dict[str, Any]:
        """Return the output of ``bulrushbend status --json``."""
        result = self.command("status", "--control", self.control_addresses, "--json")
        if result.returncode != 0:
            raise FleetError(result.stderr.strip())
        return json.loads(result.stdout)

    def stop(self, *names: str, timeout_s: float = 40.0) -> dict[str, int]:
        """Send SIGTERM to the named processes, or all, and return their exit codes."""
        units = [self.units[name] for name in names or self.units]
        running = [unit for unit in units if unit.is_running]
        for unit in running:
            os.kill(unit.pid, signal.SIGTERM)
        codes = {}
        for unit in running:
            assert unit.process is not None
            codes[unit.name] = unit.process.wait(timeout_s)
        return codes

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        unit = self.units[name]
        if unit.process is not None:
            if unit.is_running:
                os.kill(unit.pid, signal.SIGKILL)
            unit.process.wait()

    def kill_all(self) -> None:
        """Kill all processes and commands of this fleet that still run."""
        for name in self.units:
            self.kill(name)
        for command in self._commands:
            if command.poll() is None:
                command.kill()
            command.communicate()

    def log_tail(self, name: str) -> str:
        path = self.folder / "logs" / f"{name}.log"
        text = path.read_text(errors="replace") if path.exists() else ""
        return text.strip()[-2000:]

    def _responds(self, name: str, page: str) -> bool:
        try:
            url = f"http://{self.units[name].listen_address}{page}"
            return fetch(url, timeout_s=1.0)[0] == 200
        except OSError:
            return False

    def _plan_units(self) -> None:
        replicas = [
            {"name": f"control-{i}", "address": self._address()}
            for i in range(1, self.plan.control + 1)
        ]
        for replica in replicas:
            name = replica["name"]
            self._add_daemon(
                name,
                "control",
                replicas,
                link_address=replica["address"],
                data_folder=str(self.folder / "data" / name),
            )
        for i in range(1, self.plan.routers + 1):
            self._add_daemon(f"router-{i}", "router", replicas)
        platform = {"http_address": self._address(), "vms": []}
        for kind, count in (
            ("engine", self.plan.engines),
            ("application", self.plan.applications),
        ):
            for i in range(1, count + 1):
                self._add_endpoint(f"{kind}-{i}", kind, replicas, platform)
        if self.plan.platform:
            self._add_unit("platform", "platform", ["standin", "platform"], platform)

    def _add_endpoint(self, name, kind, replicas, platform) -> None:
        slots = self.plan.slots
        stand_in = {"name": name, "http_address": self._address(), "slots": slots}
        self._add_unit(name, kind, ["standin", kind], stand_in)
        fields: dict[str, Any] = {
            "link_address": self._address(),
            "endpoint": name,
            "endpoint_address": stand_in["http_address"],
        }
        if kind == "engine":
            fields["load_url"] = f"http://{stand_in['http_address']}/metrics"
        if self.plan.platform:
            fields["platform_url"] = f"http://{platform['http_address']}/vms"
        unit = self._add_daemon(f"agent-{name}", "agent", replicas, **fields)
        location = {key: unit.settings[key] for key in ("vm", "data_centre")}
        platform["vms"].append(location | {"state": "live"})

    def _add_daemon(self, name: str, role: str, replicas, **fields: Any) -> Unit:
        index = len(self.of_role(role))
        settings = {
            "name": name,
            "vm": f"vm-{name}",
            "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
            "http_address": self._address(),
            "control": replicas,
            "event_log": str(self.folder / "events" / f"{name}.jsonl"),
        }
        return self._add_unit(name, role, [role], settings | fields)

    def _add_unit(self, name: str, role: str, command, settings) -> Unit:
        for key in (role, name):
            settings.update(self.plan.overrides.get(key, {}))
        self.units[name] = Unit(name, role, command, settings)
        return self.units[name]

    def _address(self) -> str:
        return f"{HOST}:{next(self._ports)}"

    def _service_of(self, unit: Unit) -> str:
        is_engine = unit.settings["endpoint"].startswith("engine")
        return MODEL_SERVICE if is_engine else APPLICATION_SERVICE
