"""A small real fleet on loopback whose processes and links a test can disturb."""

import contextlib
import json
import os
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from forwarder import Network
from localfleet import FleetPlan, LocalFleet, Unit, fetch, token_of
from prometheus_client.parser import text_string_to_metric_families

from bulrushbend.cli.timeline import Event, read_logs

_POLL_S = 0.05


class Fleet(LocalFleet):
    """Local fleet with a forwarder before every server.

    Every announced address is that of a forwarder, so `network` can cut, silence or
    delay any link. A link is named by the process that is dialled and, if needed, the
    process that dials; stand-ins are dialled by agents.

    Use it as a context manager, which kills what still runs.
    """

    def __init__(self, folder: Path, plan: FleetPlan | None = None):
        self.network = Network(self._owner_of_connection)
        self._started_ms: dict[str, int] = {}
        super().__init__(folder, plan or FleetPlan())

    def __exit__(self, *arguments: object) -> None:
        super().__exit__(*arguments)
        self.network.close()

    def start(self, *names: str) -> None:
        """Start the named processes, or all of them."""
        now_ms = int(time.time() * 1000)
        self._started_ms |= dict.fromkeys(names or self.units, now_ms)
        super().start(*names)

    def boot(self, version: int = 1) -> None:
        """Start everything, publish a manifest and wait until all links are up."""
        self.start()
        self.wait_for("/healthz")
        result = self.publish(self.manifest(version))
        if result.returncode != 0:
            raise AssertionError(result.stderr)
        self.wait_for("/readyz")
        self.wait_until(self.all_linked, "all links are up")

    def all_linked(self) -> bool:
        """Whether the event logs show every watch and every link."""
        control = {unit.name for unit in self.of_role("control")}
        routers = {unit.name for unit in self.of_role("router")}
        agents = {unit.name for unit in self.of_role("agent")}
        peers = {name: self.linked_peers(name) for name in routers | agents}
        return all(
            peers[name] >= control | (agents if name in routers else routers)
            for name in peers
        )

    def linked_peers(self, name: str) -> set[str]:
        """Return the peers to which the process has an open stream."""
        peers: set[str] = set()
        for event in self.events(name):
            # A process that was killed does not log the end of its links.
            if event.wall_ms < self._started_ms.get(name, 0):
                continue
            if event.kind == "link-up":
                peers.add(event.details["peer"])
            if event.kind == "link-down":
                peers.discard(event.details["peer"])
        return peers

    def wait_until(
        self, condition: Callable[[], Any], description: str, timeout_s: float = 15.0
    ) -> Any:
        """Wait until the condition holds and return its value."""
        deadline = time.monotonic() + timeout_s
        while not (value := condition()):
            if time.monotonic() > deadline:
                raise AssertionError(f"not in time: {description}")
            time.sleep(_POLL_S)
        return value

    def pause(self, name: str) -> None:
        """Stop a process without its connections noticing (SIGSTOP)."""
        os.kill(self.units[name].pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused process go on (SIGCONT)."""
        os.kill(self.units[name].pid, signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Kill a process and start it again."""
        self.kill(name)
        self.start(name)
        self.wait_for("/healthz", [name])

    def voters(self, change: str, name: str, *options: str) -> None:
        """Change the voters of control through the command line."""
        control = ("--control", self.control_addresses)
        result = self.command("voters", change, name, *control, *options)
        assert result.returncode == 0, result.stderr

    def wipe(self, name: str) -> None:
        """Delete the data of a control replica that does not run."""
        folder = Path(self.units[name].settings["data_folder"])
        for path in folder.glob("*"):
            path.unlink()

    def events(self, *names: str) -> list[Event]:
        """Return the events of the named, or of all, processes so far."""
        logs = [path for path in self.event_logs if not names or path.stem in names]
        events, _ = read_logs(logs)
        return events

    def request(
        self,
        path: str,
        document: Any,
        *,
        router: int = 0,
        team: str = "crew-a",
        **extra_headers,
    ):
        """Send one request as `team` and return status, headers and body."""
        address = self.of_role("router")[router].listen_address
        headers = {"Authorization": f"Bearer {token_of(team)}", **extra_headers}
        return fetch(f"http://{address}{path}", document, headers)

    def add_fault(self, stand_in: str, **fault: Any) -> None:
        """Let a stand-in show a fault; see docs/interfaces.md."""
        address = self.units[stand_in].listen_address
        status, _, body = fetch(f"http://{address}/faults", fault)
        assert status == 200, body

    def runs(self, stand_in: str, query: str = "") -> dict[str, Any]:
        """Return how often requests ran at a stand-in."""
        address = self.units[stand_in].listen_address
        return json.loads(fetch(f"http://{address}/runs{query}")[2])

    def gauges(self, name: str) -> dict[str, float]:
        """Return the unlabelled gauges that a process shows now."""
        address = self.units[name].listen_address
        page = fetch(f"http://{address}/metrics")[2].decode()
        return {
            sample.name: sample.value
            for family in text_string_to_metric_families(page)
            for sample in family.samples
            if family.type == "gauge" and not sample.labels
        }

    def _add_unit(self, name: str, role: str, command, settings) -> Unit:
        unit = super()._add_unit(name, role, command, settings)
        if role in ("control", "router", "agent"):
            for kind in ("http", "link"):
                if f"{kind}_address" in settings:
                    settings[f"{kind}_listen"] = self._address()
                    announced = settings[f"{kind}_address"]
                    self.network.forward(name, announced, settings[f"{kind}_listen"])
        if role == "agent":
            self._forward_to_stand_ins(settings)
        return unit

    def _forward_to_stand_ins(self, settings: dict[str, Any]) -> None:
        """Put a forwarder between an agent and what it asks."""
        endpoint = settings["endpoint"]
        for key, target in (
            ("endpoint_address", endpoint),
            ("load_url", endpoint),
            ("platform_url", "platform"),
        ):
            if key not in settings:
                continue
            address = settings[key].removeprefix("http://").partition("/")[0]
            announced = self._address()
            self.network.forward(target, announced, address)
            settings[key] = settings[key].replace(address, announced)

    def _owner_of_connection(self, client_port: int, server_port: int) -> str:
        """Return the name of the process of the fleet that made a connection."""
        inode = _socket_inode(client_port, server_port)
        if inode is None:
            return ""
        link = f"socket:[{inode}]"
        for unit in self.units.values():
            if unit.is_running and link in _open_files(unit.pid):
                return unit.name
        return ""


def _socket_inode(client_port: int, server_port: int) -> str | None:
    # One client port may have connections to several servers at the same time.
    local, remote = f":{client_port:04X}", f":{server_port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ends = fields[1].endswith(local) and fields[2].endswith(remote)
        if ends and fields[9] != "0":
            return fields[9]
    return None


def _open_files(pid: int) -> set[str]:
    found = set()
    # The process or its files may go away while they are read; the others count.
    with contextlib.suppress(OSError), os.scandir(f"/proc/{pid}/fd") as entries:
        for entry in entries:
            with contextlib.suppress(OSError):
                found.add(os.readlink(entry.path))
    return found
