"""One watch stream: reports of a member in, state of the fleet out."""

import asyncio
import contextlib
from typing import Any

from bulrushbend.control.membership import Membership
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import NoQuorum
from bulrushbend.store.base import BaseReplica
from bulrushbend.wire.fleet_pb2 import FleetState, MemberReport

# A client gives a silent replica up after `silence_between_regions_ms` (6 s by
# default); a state every 2 s survives the loss of two.
HEARTBEAT_MS = 2000
# Members that join together are told together; without this pause a start of 1,000
# processes would send each of them 1,000 messages.
MEMBER_PAUSE_MS = 20
CONFIRM_TIMEOUT_MS = 1000


class Watcher:
    """Serves one stream of `Fleet.Watch`.

    Parameters
    ----------
    stream : grpclib.server.Stream
        The stream.
    replica : BaseReplica
        Source of the manifest.
    membership : Membership
        Receives the reports.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        stream: Any,
        replica: BaseReplica,
        membership: Membership,
        clock: Clock,
    ):
        self._stream = stream
        self._replica = replica
        self._membership = membership
        self._clock = clock
        self._dirty: set[str] = set()
        self._wake = asyncio.Event()
        self._peer_version = 0
        self._wants_confirmation = False

    def wake(self) -> None:
        """Have the sending side look for news."""
        self._wake.set()

    async def run(self) -> None:
        """Serve the stream until the peer ends it."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._membership.listen(self._mark))
            receiver = asyncio.create_task(self._receive())
            stack.callback(receiver.cancel)
            await self._send_first()
            while not receiver.done():
                await self._send_news()
                await self._wait_for_news(receiver)
            receiver.result()

    def _mark(self, name: str) -> None:
        self._dirty.add(name)
        self._wake.set()

    async def _receive(self) -> None:
        try:
            while (report := await self._stream.recv_message()) is not None:
                self._take_report(report)
        finally:
            self._wake.set()

    def _take_report(self, report: MemberReport) -> None:
        self._membership.take(report)
        self._peer_version = report.manifest_version
        self._wants_confirmation = report.confirm
        if self._needs_manifest():
            self._wake.set()

    async def _wait_for_news(self, receiver: asyncio.Task[None]) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_MS / 1000.0):
                await self._wake.wait()
        self._wake.clear()
        if self._dirty and not receiver.done() and not self._needs_manifest():
            await self._clock.sleep_ms(MEMBER_PAUSE_MS)

    async def _send_first(self) -> None:
        self._dirty.clear()
        await self._stream.send_message(
            FleetState(
                changed=self._membership.members(),
                members_are_complete=True,
                manifest_version=self._replica.state.manifest_version,
            )
        )

    def _needs_manifest(self) -> bool:
        return self._replica.state.manifest_version > self._peer_version

    async def _send_news(self) -> None:
        state = FleetState()
        self._add_members(state)
        if self._needs_manifest():
            await self._add_manifest(state)
        state.manifest_version = self._replica.state.manifest_version
        await self._stream.send_message(state)

    def _add_members(self, state: FleetState) -> None:
        names, self._dirty = self._dirty, set()
        for name in sorted(names):
            member = self._membership.get(name)
            if member is None:
                state.removed.append(name)
            else:
                state.changed.append(member)

    async def _add_manifest(self, state: FleetState) -> None:
        """Add the manifest, confirmed through the leader if the peer asked for it."""
        if self._wants_confirmation:
            try:
                await self._replica.read_index(CONFIRM_TIMEOUT_MS)
            except NoQuorum:
                return
            state.confirmed = True
        document = self._replica.state.manifest
        state.manifest.CopyFrom(document)
        # The next report still carries the old version when it is under way already;
        # sending the manifest again for it would only cost traffic.
        self._peer_version = document.version
