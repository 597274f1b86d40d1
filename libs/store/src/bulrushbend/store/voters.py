"""Changes of the voter list, one replica at a time."""

import asyncio

from pydantic import ValidationError

from bulrushbend.core.errors import NoQuorumError
from bulrushbend.core.settings import PeerAddress
from bulrushbend.core.validation import format_validation_error
from bulrushbend.store.configuration import Configuration, Node
from bulrushbend.store.core import ReplicaCore
from bulrushbend.store.leadership import Leadership
from bulrushbend.wire.control_pb2 import Command
from bulrushbend.wire.fleet_pb2 import VotersReply, VotersRequest

CATCH_UP_TIMEOUT_MS = 3000
_POLL_INTERVAL_MS = 20


class _ChangeRefusedError(Exception):
    """The change is rejected; the message gives the caller the reason."""


class VoterChange:
    """One change of the voter list, made by the leader.

    Adding or removing one replica at a time keeps a replica in common between every
    majority of the old list and every majority of the new one. A replacement needs a
    majority of both lists until it is complete: with one voter more or less in between,
    the loss of a further disk could leave no majority.

    Parameters
    ----------
    core : ReplicaCore
        State of the leading replica.
    leadership : Leadership
        Its current term of leadership.
    """

    def __init__(self, core: ReplicaCore, leadership: Leadership):
        self._core = core
        self._leadership = leadership

    async def run(self, request: VotersRequest) -> VotersReply:
        """Check and commit the change; one that is already in effect is accepted."""
        if request.change == VotersRequest.LEAVE:
            self._leadership.record_leaving(request.name)
            return self._reply(True, "")
        try:
            async with self._leadership.change_lock:
                await self._run_locked(request)
            return self._reply(True, "")
        except (_ChangeRefusedError, NoQuorumError) as error:
            return self._reply(False, str(error))

    async def _run_locked(self, request: VotersRequest) -> None:
        await self._wait_until_ready()
        await self._complete()
        changed = await self._change(request)
        if changed != self._core.configuration:
            await self._commit(changed)
            await self._complete()

    async def _complete(self) -> None:
        """Complete the replacement that this leader or an earlier one has begun."""
        if self._core.configuration.is_joint:
            await self._commit(self._core.configuration.completed())

    async def _commit(self, configuration: Configuration) -> None:
        command = Command(set_voters=configuration.message())
        await self._leadership.submit(command.SerializeToString())

    async def _change(self, request: VotersRequest) -> Configuration:
        match request.change:
            case VotersRequest.ADD_LEARNER:
                return self._add_learner(request)
            case VotersRequest.PROMOTE:
                return await self._promote(request.name)
            case VotersRequest.REMOVE:
                return self._remove(request.name)
            case VotersRequest.REPLACE:
                return await self._replace(request.name, request.replacement)
            case VotersRequest.COMPLETE:
                return self._core.configuration
        raise _ChangeRefusedError(
            "the change must be ADD_LEARNER, PROMOTE, REMOVE or REPLACE"
        )

    async def _wait_until_ready(self) -> None:
        """Wait until the previous change and an entry of this term are committed."""
        await self._poll(
            self._is_ready, "another change of the voters is not committed yet"
        )

    def _is_ready(self) -> bool:
        committed = self._core.history.current_index <= self._core.commit_index
        return committed and self._leadership.has_committed_in_term

    def _add_learner(self, request: VotersRequest) -> Configuration:
        configuration = self._core.configuration
        if configuration.voter(request.name) is not None:
            raise _ChangeRefusedError(f"{request.name} is a voter; remove it first")
        try:
            PeerAddress(name=request.name, address=request.address)
        except ValidationError as error:
            reason = format_validation_error(error)
            raise _ChangeRefusedError(
                f"a learner needs a name and an address host:port; {reason}"
            ) from None
        return configuration.with_learner(Node(request.name, request.address))

    async def _promote(self, name: str) -> Configuration:
        configuration = self._core.configuration
        node = configuration.node(name)
        if node is None:
            raise _ChangeRefusedError(f"{name} is not a learner; add it first")
        if configuration.voter(name) is not None:
            return configuration
        return configuration.with_voter(await self._wait_until_caught_up(node))

    async def _replace(self, name: str, replacement: str) -> Configuration:
        configuration = self._core.configuration
        node = configuration.node(replacement)
        if node is None:
            raise _ChangeRefusedError(f"{replacement} is not a learner; add it first")
        is_voter = configuration.voter(replacement) is not None
        if configuration.voter(name) is None:
            if is_voter:
                return configuration
            raise _ChangeRefusedError(f"{name} is not a voter")
        if is_voter:
            raise _ChangeRefusedError(f"{replacement} is a voter already")
        voter = await self._wait_until_caught_up(node)
        return configuration.with_replacement(name, voter)

    async def _wait_until_caught_up(self, node: Node) -> Node:
        """Return a learner as a voter on its data folder, once it holds the state."""
        await self._poll(
            lambda: self._has_caught_up(node.name),
            f"{node.name} does not hold the state yet",
        )
        return Node(
            node.name, node.address, self._leadership.progress(node.name).disk_id
        )

    def _has_caught_up(self, name: str) -> bool:
        progress = self._leadership.progress(name)
        if progress is None or not progress.disk_id:
            return False
        return progress.match_index >= self._core.commit_index

    def _remove(self, name: str) -> Configuration:
        configuration = self._core.configuration
        changed = configuration.without(name)
        if not changed.voters:
            raise _ChangeRefusedError(f"{name} is the last voter")
        return changed

    async def _poll(self, condition, message: str) -> None:
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_MS / 1000.0):
                while not condition():
                    await self._core.clock.sleep_ms(_POLL_INTERVAL_MS)
        except TimeoutError:
            raise _ChangeRefusedError(message) from None

    def _reply(self, accepted: bool, message: str) -> VotersReply:
        configuration = self._core.configuration
        return VotersReply(
            accepted=accepted,
            message=message,
            voters=[node.name for node in configuration.electorate],
            learners=[node.name for node in configuration.learners],
        )
