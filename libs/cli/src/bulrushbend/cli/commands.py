"""Command-line interface for fire: the commands and their arguments.

A method only records the action. `main` runs it after fire has accepted the whole
command line, so that a command with a misspelt option does nothing. Values are passed
as text, boolean options as booleans.
"""

import functools
from collections.abc import Callable

from bulrushbend.cli import actions
from bulrushbend.cli.exits import ExitCode

Action = Callable[[], ExitCode]


class Commands:
    """Router fleet for teams that share rented model and application endpoints."""

    def __init__(self, record_action: Callable[[Action], None]):
        self._record_action = record_action

    def control(self, settings, bootstrap=False):
        """Run a control replica until SIGTERM.

        Parameters
        ----------
        settings : str
            Settings file.
        bootstrap : bool
            Accept an empty data folder, as for an initial voter; used once, at the
            first start of a fleet.
        """
        self._record(actions.control, settings, bootstrap)

    def router(self, settings):
        """Run a router until SIGTERM.

        Parameters
        ----------
        settings : str
            Settings file.
        """
        self._record(actions.router, settings)

    def agent(self, settings):
        """Run the agent of one endpoint until SIGTERM.

        Parameters
        ----------
        settings : str
            Settings file.
        """
        self._record(actions.agent, settings)

    def standin(
        self, kind, settings=None, name=None, http_address=None, slots=None, lag_ms=None
    ):
        """Run a stand-in for an external system until SIGTERM.

        Parameters
        ----------
        kind : str
            engine, application or platform.
        settings : str
            Settings file; without one, the options below are used.
        name : str
            Name in log lines and metrics.
        http_address : str
            Address to listen on, host:port.
        slots : int
            Maximum number of concurrent requests (engine, application).
        lag_ms : float
            Delay in ms before changes appear in the list of endpoints (platform).
        """
        options = {"name": name, "http_address": http_address}
        options |= {"slots": slots, "lag_ms": lag_ms}
        self._record(actions.standin, kind, settings, options)

    def load(self, settings, json=False):
        """Send a bounded load from several teams and check all answers.

        Parameters
        ----------
        settings : str
            Settings file.
        json : bool
            Print the report as JSON.
        """
        self._record(actions.load, settings, json)

    def publish(self, file, control, timeout_ms="10000", wait=False, json=False):
        """Publish a manifest through any control replica.

        Parameters
        ----------
        file : str
            Manifest in TOML or JSON.
        control : str
            Addresses of control replicas, host:port,host:port.
        timeout_ms : float
            Time limit in milliseconds over all calls.
        wait : bool
            Wait until the manifest is in force on all processes.
        json : bool
            Print the outcome as JSON.
        """
        self._record(actions.publish, file, control, timeout_ms, wait, json)

    def status(self, control, timeout_ms="3000", json=False):
        """Show processes, endpoints and the service that teams have received.

        Parameters
        ----------
        control : str
            Addresses of control replicas, host:port,host:port.
        timeout_ms : float
            Time limit in milliseconds for the answer of each replica.
        json : bool
            Print the status as JSON.
        """
        self._record(actions.status, control, timeout_ms, json)

    def voters(self, change, name, control, address="", timeout_ms="10000", json=False):
        """Change the voting replicas of control, one at a time.

        Parameters
        ----------
        change : str
            add-learner, promote or remove.
        name : str
            Name of the replica.
        control : str
            Addresses of control replicas, host:port,host:port.
        address : str
            gRPC address of the replica; required by add-learner.
        timeout_ms : float
            Time limit in milliseconds for the answer of each replica.
        json : bool
            Print the outcome as JSON.
        """
        self._record(actions.voters, change, name, control, address, timeout_ms, json)

    def timeline(self, *logs, chrome=None):
        """Merge event logs into one timeline, as text or as a Chrome trace.

        Parameters
        ----------
        logs : str
            Event logs of processes.
        chrome : str
            File to which the trace is written in Chrome's JSON format; without it, text
            is printed.
        """
        self._record(actions.timeline, logs, chrome)

    def check_manifest(self, *files, json=False):
        """Validate manifest files.

        Parameters
        ----------
        files : str
            Manifests in TOML or JSON.
        json : bool
            Print version, digest and counts as JSON lines.
        """
        self._record(actions.check_manifest, files, json)

    def check_settings(self, role, *files, json=False):
        """Validate settings files of one role.

        Parameters
        ----------
        role : str
            control, router, agent, engine, application, platform or load.
        files : str
            Settings files.
        json : bool
            Print the settings, defaults included, as JSON lines.
        """
        self._record(actions.check_settings, role, files, json)

    def _record(self, action, *arguments) -> None:
        self._record_action(functools.partial(action, *arguments))
