"""Load of each endpoint over all gateways, kept by difference."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass


@dataclass
class Load:
    """Load of one endpoint.

    Attributes
    ----------
    running : int
        Requests in progress.
    unread_tokens : int
        Prompt tokens of the requests that have not produced their first event.
    """

    running: int = 0
    unread_tokens: int = 0


class LoadTotals:
    """Sums of the loads that several sources report for each endpoint.

    A change costs the same however many gateways and endpoints there are.
    """

    def __init__(self) -> None:
        self._loads: dict[str, Load] = {}
        self._listeners: list[Callable[[str], None]] = []

    @property
    def loads(self) -> Mapping[str, Load]:
        """Load of each endpoint that has any."""
        return self._loads

    def add_listener(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the id of each endpoint whose load changes."""
        self._listeners.append(listener)

    def add(self, endpoint: str, running: int, unread_tokens: int) -> None:
        """Add to the load of an endpoint; the arguments may be negative."""
        if not running and not unread_tokens:
            return
        load = self._loads.get(endpoint)
        if load is None:
            load = self._loads[endpoint] = Load()
        load.running += running
        load.unread_tokens += unread_tokens
        if not load.running and not load.unread_tokens:
            del self._loads[endpoint]
        for listener in self._listeners:
            listener(endpoint)
