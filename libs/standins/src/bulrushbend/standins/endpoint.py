"""Base class of the stand-in endpoints."""

import abc
from typing import Generic, TypeVar

from bulrushbend.standins.faults import FaultPlan
from bulrushbend.standins.server import RunCounts, RunsHandler, Slots, StandInServer
from bulrushbend.standins.settings import ApplicationSettings, EngineSettings

EndpointSettings = TypeVar("EndpointSettings", EngineSettings, ApplicationSettings)


class StandInEndpoint(abc.ABC, Generic[EndpointSettings]):
    """Endpoint with slots, injected faults and run counts.

    Parameters
    ----------
    settings : EngineSettings or ApplicationSettings
        Name, address, slots and faults.
    """

    def __init__(self, settings: EndpointSettings):
        self._settings = settings
        self._slots = Slots(settings.slots)
        self._runs = RunCounts()
        self._server = StandInServer(
            settings.name, settings.http_address, FaultPlan(settings.faults)
        )

    @property
    def settings(self) -> EndpointSettings:
        """Settings of this endpoint."""
        return self._settings

    @property
    def server(self) -> StandInServer:
        """Server with its address and faults."""
        return self._server

    @property
    def runs(self) -> RunCounts:
        """Number of runs per idempotency key and nonce."""
        return self._runs

    @property
    def slots(self) -> Slots:
        """Slots for requests in progress."""
        return self._slots

    def start(self) -> None:
        """Listen and serve; raises SettingsError if the address is taken."""
        counts = {"runs": self._runs, "slots": self._slots}
        self._server.start([(r"/runs", RunsHandler, counts), *self._routes()])

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    @abc.abstractmethod
    def _routes(self) -> list[tuple]:
        """Return the Tornado routes of the service itself."""
