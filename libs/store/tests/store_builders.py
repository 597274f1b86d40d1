"""Replicas in one process, with injected network, disk and power failures."""

import asyncio
import contextlib
import errno
import io
import os
import pathlib

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import PeerError, PeerTimeoutError
from bulrushbend.core.events import MemoryEventLog
from bulrushbend.core.manifest import parse_manifest
from bulrushbend.store.configuration import Configuration, Node
from bulrushbend.store.files import LocalFileSystem
from bulrushbend.store.options import ReplicaOptions
from bulrushbend.store.replica import Replica
from bulrushbend.store.service import ConsensusService
from bulrushbend.store.stores import open_stores
from bulrushbend.store.vote import BOOTSTRAP_DISK_ID
from bulrushbend.wire.control_pb2 import Command
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.fleet_pb2 import KeyReply, KeyRequest, PublishReply

NAMES = ("c1", "c2", "c3")
ELECTION_TIMEOUT_MS = 150
WRITE_TIMEOUT_MS = 3000


class FaultyFileSystem(LocalFileSystem):
    """File system that injects write failures and simulates a loss of power.

    Each write may have `free_bytes`, and all files of a folder `folder_bytes`. After a
    failed sync a later one does not cover the bytes of the failed one, as on Linux,
    where the kernel marks the pages clean.
    """

    def __init__(self):
        self.sync_fails = False
        self.free_bytes = None
        self.folder_bytes = None
        self.refused_operations = frozenset()
        self.raises_unexpectedly = False
        self.has_power = True
        self._synced = {}
        self._limits = {}
        self._replaced = {}

    def open(self, path):
        self._require("open")
        return _File(path, self)

    def write(self, file, data):
        self._require("write")
        free_bytes = self.free_bytes
        if self.folder_bytes is not None:
            files = pathlib.Path(file.name).parent.iterdir()
            free_bytes = self.folder_bytes - sum(f.stat().st_size for f in files)
        if free_bytes is not None and len(data) > free_bytes:
            super().write(file, data[:free_bytes])
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(file, data)

    def create(self, path):
        self._require("create")
        self._synced[path] = 0
        self._limits.pop(path, None)
        return super().create(path)

    def truncate(self, file, length):
        self._require("truncate")
        super().truncate(file, length)

    def sync(self, file):
        self._require("sync")
        path = pathlib.Path(file.name)
        if self.sync_fails:
            self._limits.setdefault(path, self._synced.get(path, 0))
            raise OSError(errno.EIO, "Input/output error")
        super().sync(file)
        size = path.stat().st_size
        self._synced[path] = min(size, self._limits.get(path, size))

    def rename(self, source, target):
        self._require("rename")
        if target.exists():
            self._replaced.setdefault(target, target.read_bytes())
        super().rename(source, target)
        self._synced[target] = self._synced.pop(source)
        self._limits.pop(target, None)

    def sync_folder(self, path):
        self._require("sync_folder")
        super().sync_folder(path)
        self._replaced.clear()

    def lose_power(self):
        """Fail every operation until `restore_power`."""
        self.has_power = False

    def restore_power(self, torn_bytes):
        """Work again; of the unsynced end of each file, keep only `torn_bytes`.

        Names that were replaced without a sync of the folder get their old content.
        """
        for path, content in self._replaced.items():
            path.write_bytes(content)
            self._synced[path] = len(content)
        self._replaced.clear()
        self._limits.clear()
        for path, length in self._synced.items():
            if path.exists() and path.stat().st_size > length + torn_bytes:
                os.truncate(path, length + torn_bytes)
        self.has_power = True

    def _require(self, operation):
        if self.raises_unexpectedly:
            raise ValueError("unexpected error")
        if not self.has_power:
            raise OSError(errno.EIO, "no power")
        if operation in self.refused_operations:
            raise OSError(errno.ENOSPC, "No space left on device")


class _File(io.FileIO):
    """File whose close may report the failure of an earlier write."""

    def __init__(self, path, files):
        self._files = files
        super().__init__(path, "r+")

    def close(self):
        was_open = not self.closed
        super().close()
        if was_open and "close" in self._files.refused_operations:
            raise OSError(errno.ENOSPC, "No space left on device")


class TextFile(io.StringIO):
    """Text file on a disk that may be full."""

    def __init__(self, files):
        super().__init__()
        self._files = files

    def write(self, text):
        if self._files.free_bytes is not None:
            raise OSError(errno.ENOSPC, "No space left on device")
        return super().write(text)


class Network:
    """Carries calls between replicas; can isolate replicas and drop replies."""

    def __init__(self):
        self.services = {}
        self._isolated = set()
        self._methods_without_reply = set()

    def cut(self, name):
        """Drop all messages from and to `name`."""
        self._isolated.add(name)

    def drop_replies(self, method):
        """Execute calls of `method` but drop their replies."""
        self._methods_without_reply.add(method)

    def heal(self):
        self._isolated.clear()
        self._methods_without_reply.clear()

    async def call(self, source, peer, method, request, timeout_ms):
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                if {source, peer.name} & self._isolated:
                    await asyncio.sleep(timeout_ms)
                stream = _FakeStream(
                    type(request).FromString(request.SerializeToString())
                )
                await self._service(peer, method, stream)
                if {
                    source,
                    peer.name,
                } & self._isolated or method in self._methods_without_reply:
                    await asyncio.sleep(timeout_ms)
                return stream.answer
        except TimeoutError:
            raise PeerTimeoutError("no answer", step=method, peer=peer.name) from None

    async def _service(self, peer, method, stream):
        service = self.services.get(peer.name)
        if service is None:
            raise PeerError("connection refused", step=method, peer=peer.name)
        try:
            await getattr(service, method)(stream)
        except Exception as error:
            raise PeerError(str(error), step=method, peer=peer.name) from None


class _FakeStream:
    def __init__(self, request):
        self._request = request
        self.answer = None

    async def recv_message(self):
        return self._request

    async def send_message(self, answer):
        self.answer = answer


class _NetworkTransport:
    def __init__(self, network, source):
        self._network = network
        self._source = source

    async def call(self, peer, method, request, timeout_ms):
        return await self._network.call(self._source, peer, method, request, timeout_ms)

    def close(self):
        pass


class _ReplicaService(ConsensusService):
    """Adds the method of the `Fleet` service that replicas call."""

    async def ChangeVoters(self, stream):  # noqa: N802
        request = await stream.recv_message()
        await stream.send_message(await self._replica.change_voters(request))


class Cluster:
    """Replicas with data folders under `folder`."""

    def __init__(self, folder, names=NAMES, **options):
        self.folder = folder
        self.names = names
        self.network = Network()
        self.replicas = {}
        self.files = {}
        self.events = {}
        self._options = options
        self._stacks = {}
        self._initial_configuration = Configuration(
            tuple(Node(name, address(name), BOOTSTRAP_DISK_ID) for name in names)
        )

    @property
    def leader(self):
        leaders = [r for r in self.replicas.values() if r.is_leader]
        return max(leaders, key=lambda r: r.status().term, default=None)

    @property
    def leader_name(self):
        return next((n for n, r in self.replicas.items() if r is self.leader), "")

    def others(self, name):
        return [other for other in self.replicas if other != name]

    def start(self, name, bootstrap=True):
        files = self.files.setdefault(name, FaultyFileSystem())
        stack = contextlib.ExitStack()
        stores = open_stores(self.folder / name, stack, files)
        options = ReplicaOptions(
            name=name,
            initial_configuration=self._initial_configuration,
            bootstrap=bootstrap,
            election_timeout_ms=ELECTION_TIMEOUT_MS,
            append_interval_ms=30,
            **self._options,
        )
        events = self.events.setdefault(name, MemoryEventLog())
        transport = _NetworkTransport(self.network, name)
        replica = Replica(options, stores, transport, Clock(), events)
        self.network.services[name] = _ReplicaService(replica)
        self.replicas[name] = replica
        self._stacks[name] = stack
        replica.start()
        return replica

    async def stop(self, name):
        del self.network.services[name]
        await self.replicas.pop(name).stop()
        self._stacks.pop(name).close()

    async def lose_power(self, name, torn_bytes):
        self.files[name].lose_power()
        await self.stop(name)
        self.files[name].restore_power(torn_bytes)

    async def wipe(self, name):
        await self.stop(name)
        for path in (self.folder / name).iterdir():
            path.unlink()

    async def __aenter__(self):
        for name in self.names:
            self.start(name)
        await self.wait_for_leader()
        return self

    async def __aexit__(self, *_):
        for name in list(self.replicas):
            await self.stop(name)

    async def wait_for_leader(self):
        await wait_until(lambda: self.leader is not None)
        return self.leader

    def digest(self, name):
        manifest = self.replicas[name].state.manifest
        return manifest.digest if manifest is not None else ""

    async def publish(self, name, version, team="crew-a", timeout_ms=WRITE_TIMEOUT_MS):
        """Publish through the replica `name` and return the reply."""
        command = put_manifest(version, team)
        result = await self.replicas[name].propose(command, timeout_ms)
        return PublishReply.FromString(result)


def address(name):
    return f"{name}.invalid:1"


async def wait_until(condition, timeout_s=8.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


def put_manifest(version, team="crew-a"):
    text = f'version = {version}\n[[teams]]\nname = "{team}"\n'
    manifest = parse_manifest(text + f'token_sha256 = "{"0" * 64}"')
    return Command(put_manifest=pack_manifest(manifest))


def key_request(key="k1", request_id="req-1", owner="r1", **fields):
    return KeyRequest(
        team="crew-a",
        service="rota-app",
        key=key,
        body_digest=fields.pop("body_digest", "digest-1"),
        owner=owner,
        owner_incarnation=fields.pop("incarnation", 1),
        request_id=request_id,
        **fields,
    )


def key_result(result):
    return KeyReply.Result.Name(KeyReply.FromString(result).result)
