"""A small fleet of real processes on loopback, with fault injection."""

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
    """Local fleet with a forwarder in front of every server.

    Every announced address is that of a forwarder, so `network` can drop, silence or
    delay any link. A link is named by the process that accepts the connection and, if
    needed, the process that opens it. Agents open the connections to stand-ins.

    Use it as a context manager, which kills the processes that still run.
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
        """Whether the event logs show all expected links as up."""
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
                raise AssertionError(
                    f"condition not met within {timeout_s:g} s: {description}"
                )
            time.sleep(_POLL_S)
        return value

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP; its connections stay open."""
        os.kill(self.units[name].pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process with SIGCONT."""
        os.kill(self.units[name].pid, signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Kill a process and start it again."""
        self.kill(name)
        self.start(name)
        self.wait_for("/healthz", [name])

    def voters(self, change: str, name: str, *options: str) -> None:
        """Change the voters of control with the ``voters`` command."""
        control = ("--control", self.control_addresses)
        result = self.command("voters", change, name, *control, *options)
        assert result.returncode == 0, result.stderr

    def wipe(self, name: str) -> None:
        """Delete the data of a stopped control replica."""
        folder = Path(self.units[name].settings["data_folder"])
        for path in folder.glob("*"):
            path.unlink()

    def events(self, *names: str) -> list[Event]:
        """Return the events logged so far by the named processes, or by all."""
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
        """Inject a fault into a stand-in; see docs/interfaces.md."""
        address = self.units[stand_in].listen_address
        status, _, body = fetch(f"http://{address}/faults", fault)
        assert status == 200, body

    def runs(self, stand_in: str, query: str = "") -> dict[str, Any]:
        """Return the run counts of a stand-in."""
        address = self.units[stand_in].listen_address
        return json.loads(fetch(f"http://{address}/runs{query}")[2])

    def gauges(self, name: str) -> dict[str, float]:
        """Return the current values of the unlabelled gauges of a process."""
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
        """Put forwarders between an agent and the stand-ins that it calls."""
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
        """Return the name of the fleet process that opened a connection, or ""."""
        inode = _socket_inode(client_port, server_port)
        if inode is None:
            return ""
        link = f"socket:[{inode}]"
        for unit in self.units.values():
            if unit.is_running and link in _open_files(unit.pid):
                return unit.name
        return ""


def _socket_inode(client_port: int, server_port: int) -> str | None:
    # One client port can have connections to several servers at the same time.
    local, remote = f":{client_port:04X}", f":{server_port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ends = fields[1].endswith(local) and fields[2].endswith(remote)
        if ends and fields[9] != "0":
            return fields[9]
    return None


def _open_files(pid: int) -> set[str]:
    found = set()
    # The process may end and files may be closed during the scan; skip only those.
    with contextlib.suppress(OSError), os.scandir(f"/proc/{pid}/fd") as entries:
        for entry in entries:
            with contextlib.suppress(OSError):
                found.add(os.readlink(entry.path))
    return found
