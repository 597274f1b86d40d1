"""Polling of the engine's load report, from which the slot limit is adjusted."""

from collections.abc import Callable

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from bulrushbend.core.clock import Clock
from bulrushbend.core.logs import get_logger
from bulrushbend.share.slots import EngineLoad, parse_load

_log = get_logger("agent.load")

_POLL_TIMEOUT_S = 2.0


class LoadPoller:
    """Polls the load report; a failed poll changes nothing.

    Parameters
    ----------
    url : str
        URL of the report.
    poll_ms : float
        Pause between two polls in milliseconds.
    clock : Clock
        Source of time.
    on_report : callable
        Called with each report.
    """

    def __init__(
        self,
        url: str,
        poll_ms: float,
        clock: Clock,
        on_report: Callable[[EngineLoad], None],
    ):
        self._url = url
        self._poll_ms = poll_ms
        self._clock = clock
        self._on_report = on_report
        self._failing = False

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep_ms(self._poll_ms)

    async def poll(self) -> None:
        """Fetch the report once."""
        try:
            response = await AsyncHTTPClient().fetch(
                self._url,
                connect_timeout=_POLL_TIMEOUT_S,
                request_timeout=_POLL_TIMEOUT_S,
            )
            load = parse_load(response.body.decode())
        except (HTTPClientError, OSError, ValueError) as error:
            self._handle_failure(str(error))
            return
        if load is None:
            self._handle_failure("the number of waiting requests is missing")
            return
        self._failing = False
        self._on_report(load)

    def _handle_failure(self, reason: str) -> None:
        if not self._failing:
            _log.warning(
                "load report %s cannot be read; the slot limit is kept: %s",
                self._url,
                reason,
            )
        self._failing = True
