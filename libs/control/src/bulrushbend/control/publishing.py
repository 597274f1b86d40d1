"""Publication of manifests; the highest version wins."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Protocol

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import ManifestError, NoQuorumError
from bulrushbend.core.manifest import Manifest
from bulrushbend.store.base import BaseReplica
from bulrushbend.wire.control_pb2 import Command
from bulrushbend.wire.documents import pack_manifest, unpack_manifest
from bulrushbend.wire.fleet_pb2 import ManifestDocument, PublishReply

PUBLISH_TIMEOUT_MS = 2500
READ_TIMEOUT_MS = 800


class Publisher(Protocol):
    """Publishes manifests of operators and returns the newest one."""

    async def publish(self, manifest: Manifest) -> int:
        """Publish a manifest and return the newest accepted version.

        Raises
        ------
        ManifestError
            The manifest is invalid.
        NoQuorumError
            No majority answered in time; the outcome is unknown.
        """
        ...

    async def read(self) -> Manifest:
        """Return the newest accepted manifest.

        Raises
        ------
        NoQuorumError
            No leader confirmed in time that it is the newest, or no manifest has been
            accepted yet.
        """
        ...


async def propose_manifest(
    replica: BaseReplica, clock: Clock, document: ManifestDocument, timeout_ms: float
) -> PublishReply:
    """Propose a manifest and return the result.

    Raises
    ------
    NoQuorumError
        Not committed in time; it may still be committed later.
    """
    command = Command(time_ms=clock.wall_ms(), put_manifest=document)
    return PublishReply.FromString(await replica.propose(command, timeout_ms))


class HighestVersionPublisher:
    """Publisher that ignores versions that are not higher than the accepted one.

    Operators repeat a manifest when its acknowledgement was lost, and older ones may
    arrive late. Neither is an error: the reply states the accepted version.

    Parameters
    ----------
    replica : BaseReplica
        Replica of the state.
    clock : Clock
        Source of time.
    """

    def __init__(self, replica: BaseReplica, clock: Clock):
        self._replica = replica
        self._clock = clock
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def publish(self, manifest: Manifest) -> int:
        """Publish a manifest; see `Publisher.publish`."""
        with self._track():
            reply = await propose_manifest(
                self._replica, self._clock, pack_manifest(manifest), PUBLISH_TIMEOUT_MS
            )
        if reply.result == PublishReply.INVALID:
            raise ManifestError(reply.message, step="publish")
        return reply.version

    async def read(self) -> Manifest:
        """Return the newest accepted manifest; see `Publisher.read`."""
        with self._track():
            await self._replica.read_index(READ_TIMEOUT_MS)
        document = self._replica.state.manifest
        if document is None:
            raise NoQuorumError("no manifest has been accepted yet", step="read")
        return unpack_manifest(document, "state")

    async def wait_idle(self, timeout_ms: float) -> None:
        """Wait until no call is in progress, at most for `timeout_ms`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000.0):
                await self._idle.wait()

    @contextlib.contextmanager
    def _track(self) -> Iterator[None]:
        """Count a call in progress."""
        self._running += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()
