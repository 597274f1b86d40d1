"""Client of the endpoint: requests, resume, cancel and probe."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from bulrushbend.agent import metrics
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import ConnectError, PeerError
from bulrushbend.core.logs import get_logger
from bulrushbend.core.settings import AgentSettings, split_address
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts

_log = get_logger("agent.endpoint")

_MIN_PROBE_DELAY_MS = 50.0
_MAX_PROBE_DELAY_MS = 1000.0
# A cancel is best effort, because closing the connection already ends the exchange.
_CANCEL_TIMEOUT_MS = 2000.0
_STOP_TIMEOUT_S = 0.5


class Endpoint:
    """Sends requests to the endpoint and tracks whether it accepts connections.

    Parameters
    ----------
    settings : AgentSettings
        Address and time-outs.
    clock : Clock
        Source of time.
    on_change : callable
        Called when the endpoint begins or ceases to refuse connections.
    """

    def __init__(
        self, settings: AgentSettings, clock: Clock, on_change: Callable[[], None]
    ):
        self._address = settings.endpoint_address
        self._clock = clock
        self._on_change = on_change
        self._timeouts = ExchangeTimeouts(
            connect_ms=settings.connect_timeout_ms,
            first_byte_ms=settings.endpoint_idle_ms,
            idle_ms=settings.endpoint_idle_ms,
        )
        self._refused = asyncio.Event()
        self._background: set[asyncio.Task[None]] = set()
        metrics.ENDPOINT_UP.set(1)

    @property
    def is_up(self) -> bool:
        """Whether the last connection was accepted."""
        return not self._refused.is_set()

    @property
    def idle_ms(self) -> float:
        """Idle time-out of the endpoint in milliseconds."""
        return self._timeouts.idle_ms

    async def open(self, request: ExchangeRequest) -> Exchange:
        """Send `request` and return the exchange; raises as `Exchange.open`."""
        try:
            return await Exchange.open(self._address, request, self._timeouts)
        except ConnectError as error:
            self._mark_refused(str(error))
            raise

    async def resume(self, stream_id: str, last_event_id: str) -> Exchange:
        """Request the rest of an event stream.

        Parameters
        ----------
        stream_id : str
            Value of ``X-Request-Id`` of the request.
        last_event_id : str
            Id of the last complete event received, empty for none.
        """
        headers = HTTPHeaders({"Accept": "text/event-stream"})
        if last_event_id:
            headers["Last-Event-ID"] = last_event_id
        return await self.open(
            ExchangeRequest("GET", f"/v1/streams/{stream_id}", headers)
        )

    def cancel(self, stream_id: str) -> None:
        """Cancel a stream at the endpoint, in the background."""
        task = asyncio.create_task(self._send_cancel(stream_id))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def probe_while_refused(self) -> None:
        """Probe the endpoint with backoff while it refuses connections."""
        while True:
            await self._refused.wait()
            pause_ms = _MIN_PROBE_DELAY_MS
            while not await self._accepts():
                await self._clock.sleep_ms(pause_ms * random.uniform(0.5, 1.0))
                pause_ms = min(2 * pause_ms, _MAX_PROBE_DELAY_MS)
            self._refused.clear()
            _log.info(
                "endpoint %s accepts connections again; claiming may resume",
                self._address,
            )
            metrics.ENDPOINT_UP.set(1)
            self._on_change()

    async def stop(self) -> None:
        """Wait briefly for pending cancels, then abort them."""
        if self._background:
            tasks = set(self._background)
            await asyncio.wait(tasks, timeout=_STOP_TIMEOUT_S)
            for task in tasks:
                task.cancel()

    def _mark_refused(self, reason: str) -> None:
        if self._refused.is_set():
            return
        self._refused.set()
        _log.warning(
            "claiming stops until the endpoint accepts connections: %s", reason
        )
        metrics.ENDPOINT_UP.set(0)
        self._on_change()

    async def _accepts(self) -> bool:
        host, port = split_address(self._address)
        try:
            async with asyncio.timeout(self._timeouts.connect_ms / 1000.0):
                _, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        return True

    async def _send_cancel(self, stream_id: str) -> None:
        request = ExchangeRequest("DELETE", f"/v1/streams/{stream_id}")
        timeouts = ExchangeTimeouts(
            self._timeouts.connect_ms, _CANCEL_TIMEOUT_MS, _CANCEL_TIMEOUT_MS
        )
        try:
            exchange = await Exchange.open(self._address, request, timeouts)
        except PeerError as error:
            _log.warning(
                "cancel of stream %s at the endpoint failed: %s", stream_id, error
            )
            return
        exchange.close()
