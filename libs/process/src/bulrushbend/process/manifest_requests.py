"""Requests for manifests that control replicas announced but did not send."""

import asyncio
import contextlib
from collections.abc import Callable

from bulrushbend.core.clock import Clock
from bulrushbend.process.active_manifest import ActiveManifest

# Time that the preferred replica has to send a manifest that any replica announced.
# The others also announce it within a few milliseconds.
PUSH_GRACE_MS = 150.0
# Time after which the next replica is asked for a manifest that did not arrive. It
# doubles with each request, since a manifest that the process rejects is sent in vain.
REQUEST_INTERVAL_MS = 250.0
MAX_REQUEST_INTERVAL_MS = 2_000.0


class ManifestRequests:
    """Asks one replica after another for a manifest that it announced.

    Replicas announce the version of their manifest in each message, but only one of
    them sends the content. It may know nothing newer, be stopped or wait for its disk.

    Parameters
    ----------
    in_force : ActiveManifest
        Manifest in force in this process.
    clock : Clock
        Source of time.
    request : callable
        Called with the name of the replica to ask.
    """

    def __init__(
        self, in_force: ActiveManifest, clock: Clock, request: Callable[[str], None]
    ):
        self._in_force = in_force
        self._clock = clock
        self._request = request
        self._announced: dict[str, int] = {}
        self._asked_ms: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._adopted = asyncio.Event()

    @property
    def is_behind(self) -> bool:
        """Whether a connected replica announced a newer manifest."""
        return self._newest > self._in_force.version

    @property
    def _newest(self) -> int:
        return max(self._announced.values(), default=0)

    def handle_announcement(self, replica: str, version: int) -> None:
        """Record the version that a replica announced."""
        self._announced[replica] = version
        if self.is_behind:
            self._changed.set()

    def handle_adoption(self) -> None:
        """Handle that a manifest from any replica was adopted."""
        self._adopted.set()

    def remove(self, replica: str) -> None:
        """Forget a replica whose connection is lost."""
        self._announced.pop(replica, None)
        self._asked_ms.pop(replica, None)

    async def run(self) -> None:
        """Request missing manifests until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self.is_behind:
                version = self._newest
                await self._clock.sleep_ms(PUSH_GRACE_MS)
                await self._request_until_adopted(version)

    async def _request_until_adopted(self, version: int) -> None:
        interval_ms = REQUEST_INTERVAL_MS
        while self._in_force.version < version:
            sources = [n for n, known in self._announced.items() if known >= version]
            if not sources:
                return
            source = min(sources, key=lambda name: self._asked_ms.get(name, 0.0))
            self._asked_ms[source] = self._clock.now_ms()
            self._adopted.clear()
            self._request(source)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_ms / 1000.0):
                    await self._adopted.wait()
            interval_ms = min(MAX_REQUEST_INTERVAL_MS, 2 * interval_ms)
