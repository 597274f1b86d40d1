"""Graceful shutdown of the router."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.logs import get_logger
from bulrushbend.core.settings import RouterSettings
from bulrushbend.router.errors import RequestEndedError, not_run
from bulrushbend.router.queue import WaitingQueues

_log = get_logger("router.drain")

# Retry-After during a drain. Other routers can serve at once, but the load balancer
# needs a moment to notice that this one drains.
_RETRY_AFTER_MS = 1_000.0
_ACCEPT_GRACE_MS = 20.0
# Time in which requests on the connections accepted last can arrive and be refused.
_LATE_REQUESTS_GRACE_MS = 300.0


class Drain:
    """Lets accepted requests finish before the process ends.

    Parameters
    ----------
    settings : RouterSettings
        Supplies ``drain_ms``.
    clock : Clock
        Source of time.
    events : EventLog
        Receives ``process-draining``.
    queues : WaitingQueues
        Queues of the waiting requests.
    """

    def __init__(
        self,
        settings: RouterSettings,
        clock: Clock,
        events: EventLog,
        queues: WaitingQueues,
    ):
        self._settings = settings
        self._clock = clock
        self._events = events
        self._queues = queues
        self._started = False
        self._in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def started(self) -> bool:
        """Whether the drain has started and new requests are refused."""
        return self._started

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Count a request as in progress while the context is open."""
        self._in_progress += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()

    def draining_error(self) -> RequestEndedError:
        """Return the error for a request that arrives during the drain."""
        return not_run(503, "draining", "the router is shutting down", _RETRY_AFTER_MS)

    async def run(self, stop_listening: Callable[[], None]) -> None:
        """Refuse new requests and wait until those in progress have ended.

        Requests that still wait after ``drain_ms`` are answered ``not-run``; running
        ones are waited for without a limit. Connections that were made before the
        listening socket is closed are still answered.

        Parameters
        ----------
        stop_listening : callable
            Closes the listening socket; open connections stay.
        """
        self._started = True
        self._events.write(EventKind.PROCESS_DRAINING)
        _log.info("draining with %d requests in progress", self._in_progress)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.drain_ms / 1000.0):
                await self._idle.wait()
        while not self._idle.is_set():
            # A request can return to its queue after a refused attempt.
            self._queues.withdraw_all(self.draining_error())
            await self._clock.sleep_ms(20)
        # Lets the server accept the connections in the listen backlog of the kernel
        # before the socket closes.
        await self._clock.sleep_ms(_ACCEPT_GRACE_MS)
        stop_listening()
        await self._clock.sleep_ms(_LATE_REQUESTS_GRACE_MS)
        await self._idle.wait()
