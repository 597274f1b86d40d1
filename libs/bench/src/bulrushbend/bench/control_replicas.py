"""Three control replicas on loopback that count written and sent bytes."""

import asyncio
import contextlib
import tempfile
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from bulrushbend.bench.addresses import free_address
from bulrushbend.control.daemon import ControlDaemon
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.core.settings import ControlSettings
from bulrushbend.store.configuration import Node
from bulrushbend.store.files import LocalFileSystem
from bulrushbend.store.transport import GrpcTransport

REPLICA_NAMES = ("c1", "c2", "c3")


class _CountingFileSystem(LocalFileSystem):
    def __init__(self) -> None:
        self.written_bytes = 0

    def write(self, file, data: bytes) -> None:
        self.written_bytes += len(data)
        super().write(file, data)


class _CountingTransport(GrpcTransport):
    def __init__(self) -> None:
        super().__init__()
        self.bytes = 0
        self.calls = 0

    async def call(
        self, peer: Node, method: str, request: Any, timeout_ms: float
    ) -> Any:
        self.bytes += request.ByteSize()
        self.calls += 1
        reply = await super().call(peer, method, request, timeout_ms)
        self.bytes += reply.ByteSize()
        return reply


class ControlReplicas:
    """Three control replicas on loopback.

    Parameters
    ----------
    folder : Path
        Parent of the data folders of the replicas.
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self.files = _CountingFileSystem()
        self.transports: list[_CountingTransport] = []
        self.daemons: dict[str, ControlDaemon] = {}
        self.control = [{"name": n, "address": free_address()} for n in REPLICA_NAMES]

    @property
    def peer_bytes(self) -> int:
        """Bytes of messages and answers between the replicas since the start."""
        return sum(transport.bytes for transport in self.transports)

    @property
    def peer_calls(self) -> int:
        """Calls between the replicas since the start."""
        return sum(transport.calls for transport in self.transports)

    @property
    def leader(self) -> str:
        """Name of the leader, empty if there is none."""
        daemons = self.daemons.items()
        return next((name for name, d in daemons if d.replica.is_leader), "")

    def address(self, name: str) -> str:
        """Return the gRPC address of a replica."""
        return next(p["address"] for p in self.control if p["name"] == name)

    async def start(self, name: str) -> None:
        """Start a replica."""
        settings = ControlSettings(
            name=name,
            vm=name,
            data_centre="papantla",
            http_address=free_address(),
            control=self.control,
            link_address=self.address(name),
            data_folder=str(self._folder / name),
        )
        transport = _CountingTransport()
        self.transports.append(transport)
        self.daemons[name] = ControlDaemon(
            settings,
            bootstrap=True,
            files=self.files,
            events=MemoryEventLog(),
            transport=transport,
        )
        await self.daemons[name].start()

    async def stop(self, name: str) -> None:
        """Stop a replica."""
        await self.daemons.pop(name).stop()

    async def wait_for_leader(self) -> str:
        """Wait for a leader and return its name."""
        await wait_until(lambda: self.leader)
        return self.leader


async def wait_until(condition: Callable[[], Any]) -> None:
    """Wait until `condition` holds.

    Raises
    ------
    TimeoutError
        If it does not hold within a minute.
    """
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def running_replicas() -> AsyncIterator[ControlReplicas]:
    """Run three replicas, each with its own data folder, and wait for a leader."""
    with tempfile.TemporaryDirectory() as folder:
        replicas = ControlReplicas(Path(folder))
        try:
            for name in REPLICA_NAMES:
                await replicas.start(name)
            await replicas.wait_for_leader()
            yield replicas
        finally:
            for name in list(replicas.daemons):
                await replicas.stop(name)
