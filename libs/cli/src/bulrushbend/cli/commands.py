"""The commands as fire sees them: they read arguments and nothing else.

A method only notes what to do. `main` carries it out after fire has accepted the
whole command line, so a command with a misspelt option does nothing. Values arrive
as plain text, options that are on or off as booleans.
"""

import functools
from collections.abc import Callable

from bulrushbend.cli import actions
from bulrushbend.cli.exits import ExitCode

Action = Callable[[], ExitCode]


class Commands:
    """Router fleet for teams that share rented model and application endpoints."""

    def __init__(self, note: Callable[[Action], None]):
        self._note_action = note

    def control(self, settings, bootstrap=False):
        """Run a control replica until SIGTERM.

        Parameters
        ----------
        settings : str
            Settings file.
        bootstrap : bool
            Accept an empty data folder as that of a founding voter; used once, at
            the first start of a fleet.
        """
        self._note(actions.control, settings, bootstrap)

    def router(self, settings):
        """Run a router until SIGTERM.

        Parameters
        ----------
        settings : str
            Settings file.
        """
        self._note(actions.router, settings)

    def agent(self, settings):
        """Run the agent of one endpoint until SIGTERM.

        Parameters
        ----------
        settings : str
            Settings file.
        """
        self._note(actions.agent, settings)

    def standin(
        self, kind, settings=None, name=None, http_address=None, slots=None, lag_ms=None
    ):
        """Run a stand-in for an outside system until SIGTERM.

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
            Requests at work at the same time (engine, application).
        lag_ms : float
            Delay of changes in the list (platform).
        """
        options = {"name": name, "http_address": http_address}
        options |= {"slots": slots, "lag_ms": lag_ms}
        self._note(actions.standin, kind, settings, options)

    def load(self, settings, json=False):
        """Send bounded load of several teams and check every answer.

        Parameters
        ----------
        settings : str
            Settings file.
        json : bool
            Print the report as JSON.
        """
        self._note(actions.load, settings, json)

    def publish(self, file, control, timeout_ms="10000", wait=False, json=False):
        """Publish a manifest through any control replica.

        Parameters
        ----------
        file : str
            Manifest in TOML or JSON.
        control : str
            Addresses of control replicas, host:port,host:port.
        timeout_ms : float
            Deadline over all tries.
        wait : bool
            Wait until every process has the manifest in force.
        json : bool
            Print the outcome as JSON.
        """
        self._note(actions.publish, file, control, timeout_ms, wait, json)

    def status(self, control, timeout_ms="3000", json=False):
        """Show processes, endpoints, and the teams' service.

        Parameters
        ----------
        control : str
            Addresses of control replicas, host:port,host:port.
        timeout_ms : float
            Time that each replica has to answer.
        json : bool
            Print the state as JSON.
        """
        self._note(actions.status, control, timeout_ms, json)

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
            gRPC address of the replica; needed by add-learner.
        timeout_ms : float
            Time that each replica has to answer.
        json : bool
            Print the outcome as JSON.
        """
        self._note(actions.voters, change, name, control, address, timeout_ms, json)

    def timeline(self, *logs, chrome=None):
        """Merge event logs into one time line, as text or as a Chrome trace.

        Parameters
        ----------
        logs : str
            Event logs of processes.
        chrome : str
            File for the trace in Chrome's JSON format; without it, text is printed.
        """
        self._note(actions.timeline, logs, chrome)

    def check_manifest(self, *files, json=False):
        """Check manifest files.

        Parameters
        ----------
        files : str
            Manifests in TOML or JSON.
        json : bool
            Print version, digest and counts as JSON lines.
        """
        self._note(actions.check_manifest, files, json)

    def check_settings(self, role, *files, json=False):
        """Check settings files of one role.

        Parameters
        ----------
        role : str
            control, router, agent, engine, application, platform or load.
        files : str
            Settings files.
        json : bool
            Print the settings, defaults included, as JSON lines.
        """
        self._note(actions.check_settings, role, files, json)

    def _note(self, action, *arguments) -> None:
        self._note_action(functools.partial(action, *arguments))
