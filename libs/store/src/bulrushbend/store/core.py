"""State that all roles of a replica share: term, log, commit index, applied state."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from typing import TypeVar

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import NoQuorumError, StoreFailedError, outer_name_of
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.logs import get_logger
from bulrushbend.store.base import AppliedEntry
from bulrushbend.store.configuration import (
    Configuration,
    ConfigurationHistory,
    configuration_from_message,
)
from bulrushbend.store.options import ReplicaOptions, Role
from bulrushbend.store.records import Entry, Position
from bulrushbend.store.snapshots import Snapshot
from bulrushbend.store.state import State
from bulrushbend.store.stores import Stores
from bulrushbend.store.vote import BOOTSTRAP_DISK_ID
from bulrushbend.wire.control_pb2 import Command, NoOperation

_log = get_logger("store.replica")
Value = TypeVar("Value")


class ReplicaCore:
    """State of one replica, on which its roles operate.

    Parameters
    ----------
    options : ReplicaOptions
        Settings.
    stores : Stores
        Log, vote and snapshot.
    state : State
        State machine, initially empty.
    notify_applied : callable
        Called with each `AppliedEntry`.
    clock : Clock
        Source of time.
    events : EventLog
        Receives the events of the replica.
    """

    def __init__(
        self,
        options: ReplicaOptions,
        stores: Stores,
        state: State,
        notify_applied: Callable[[AppliedEntry], None],
        clock: Clock,
        events: EventLog,
    ):
        self.options = options
        self.stores = stores
        self.state = state
        self.clock = clock
        self.events = events
        self.role = Role.FOLLOWER
        self.leader = ""
        self.last_contact_ms = clock.now_ms()
        self.leaderless_since_ms = clock.now_ms()
        self.role_changed = asyncio.Event()
        self._notify_applied = notify_applied
        self._lock = asyncio.Lock()
        self._pending_results: dict[int, asyncio.Future[bytes]] = {}
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._snapshot_task: asyncio.Task[None] | None = None
        self._restore()

    @property
    def name(self) -> str:
        """Name of the replica."""
        return self.options.name

    @property
    def term(self) -> int:
        """Latest term that the replica has seen."""
        return self.stores.votes.vote.term

    @property
    def disk_id(self) -> str:
        """Identity of the data folder, empty until it is assigned."""
        return self.stores.votes.vote.disk_id

    @property
    def configuration(self) -> Configuration:
        """Newest configuration in the log."""
        return self.history.current

    @property
    def commit_index(self) -> int:
        """Index of the last entry that is known to be committed."""
        return self._commit_index

    @property
    def may_vote(self) -> bool:
        """Whether this replica is a voter on this data folder."""
        if self.role is Role.FAILED:
            return False
        return self.configuration.may_vote(self.name, self.disk_id)

    def _restore(self) -> None:
        snapshot = self.stores.snapshots.latest
        last = self.stores.snapshot_position
        if snapshot is not None:
            self.state.restore(snapshot.data)
        self._commit_index = last.index
        self._applied_index = last.index
        self.reset_history()
        self.history.append(self.stores.log.entries(last.index + 1))

    def reset_history(self) -> None:
        """Reset the configuration history to the configuration of the applied state."""
        base = configuration_from_message(self.state.voters)
        if not base.nodes and self.disk_id == BOOTSTRAP_DISK_ID:
            base = self.options.initial_configuration
        self.history = ConfigurationHistory(base, self._applied_index)

    async def run_exclusive(self, action: Callable[[], Awaitable[Value]]) -> Value:
        """Run `action` under the lock that guards changes of the log.

        The action finishes even if the caller is cancelled: a write that runs in a
        thread cannot be stopped, and the next one must not run concurrently with it.
        """

        async def run() -> Value:
            async with self._lock:
                return await action()

        return await asyncio.shield(asyncio.create_task(run()))

    async def run_store_operation(
        self, operation: Callable[..., None], *arguments
    ) -> None:
        """Run a store operation in a thread; a failure stops the replica.

        Raises
        ------
        StoreFailedError
            The operation failed, now or earlier.
        """
        self.raise_if_failed()
        with self._fail_on_error():
            await asyncio.to_thread(operation, *arguments)

    def save_vote(self, **changes) -> None:
        """Durably change fields of the `Vote`; a failure stops the replica.

        Raises
        ------
        StoreFailedError
            The vote could not be made durable.
        """
        self.raise_if_failed()
        with self._fail_on_error():
            self.stores.votes.save(replace(self.stores.votes.vote, **changes))

    @contextlib.contextmanager
    def _fail_on_error(self) -> Iterator[None]:
        """Stop the replica after any error, since its state is unknown then."""
        try:
            yield
        except StoreFailedError as error:
            self.fail(error)
            raise
        except Exception as error:
            failure = StoreFailedError(
                f"unexpected {outer_name_of(error)}: {error}",
                step="store",
                peer=self.name,
            )
            self.fail(failure)
            raise failure from error

    def raise_if_failed(self) -> None:
        """Raise `StoreFailedError` if the store has failed or was closed."""
        if self.role is Role.FAILED:
            raise StoreFailedError("the store has failed", step="store", peer=self.name)

    def fail(self, error: StoreFailedError) -> None:
        """Stop voting, leading and answering after a store failure."""
        if self.role is Role.FAILED:
            return
        _log.error(
            "store failed, replica %s no longer votes, leads or replicates: %s",
            self.name,
            error,
        )
        self.step_down("store failed")
        self._become(Role.FAILED, "")
        self.events.write(EventKind.STORE_FAILED, reason=str(error))

    def step_down(self, reason: str) -> None:
        """Become a follower without a known leader, unless the store has failed."""
        if self.role is Role.LEADER:
            _log.info(
                "replica %s stepped down as leader of term %d: %s",
                self.name,
                self.term,
                reason,
            )
            self.events.write(
                EventKind.LEADER_STEPPED_DOWN, term=self.term, reason=reason
            )
        if self.role is not Role.FAILED:
            self._become(Role.FOLLOWER, "")
        self._fail_pending_results(reason)

    def adopt_term(self, term: int, reason: str) -> None:
        """Enter a higher term as a follower.

        Raises
        ------
        StoreFailedError
            The term could not be made durable.
        """
        if term > self.term:
            self.step_down(reason)
            self.save_vote(term=term, candidate="")

    def become_follower(self, leader: str) -> None:
        """Follow `leader` in the current term and restart the election timeout."""
        self.last_contact_ms = self.clock.now_ms()
        if self.leader != leader or self.role is not Role.FOLLOWER:
            self._become(Role.FOLLOWER, leader)

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        self._become(Role.LEADER, self.name)
        self.events.write(EventKind.LEADER_ELECTED, term=self.term)
        _log.info("replica %s is leader of term %d", self.name, self.term)

    def become_candidate(self) -> None:
        """Become a candidate."""
        self._become(Role.CANDIDATE, "")

    def _become(self, role: Role, leader: str) -> None:
        if self.leader and not leader:
            self.leaderless_since_ms = self.clock.now_ms()
        self.role = role
        self.leader = leader
        self.role_changed.set()

    async def append(self, entries: list[Entry]) -> None:
        """Durably append entries; called inside `run_exclusive`."""
        await self.run_store_operation(self.stores.log.append, entries)
        self.history.append(entries)

    async def truncate_after(self, index: int) -> None:
        """Durably remove entries that conflict with the leader's log.

        Called inside `run_exclusive`.
        """
        if index < self._commit_index:
            raise ValueError(f"entry {index + 1} is committed and cannot be removed")
        await self.run_store_operation(self.stores.log.truncate_after, index)
        self.history.truncate_after(index)

    def register_result(self, index: int, future: asyncio.Future[bytes]) -> None:
        """Complete `future` with the result of the entry at `index` when applied."""
        self._pending_results[index] = future

    def _fail_pending_results(self, reason: str) -> None:
        results, self._pending_results = self._pending_results, {}
        for future in results.values():
            if not future.done():
                future.set_exception(
                    NoQuorumError(
                        f"{reason} before the command was committed",
                        step="propose",
                        peer=self.name,
                    )
                )
                future.exception()

    def commit(self, index: int) -> None:
        """Advance the commit index to `index` and apply the committed entries.

        Raises
        ------
        StoreFailedError
            An entry could not be applied.
        """
        if index <= self._commit_index:
            return
        self._commit_index = index
        with self._fail_on_error():
            for entry in self.stores.log.entries(self._applied_index + 1):
                if entry.index > index:
                    break
                self._apply(entry)
        self._notify_waiters()
        self._snapshot_when_due()

    def _apply(self, entry: Entry) -> None:
        command = Command.FromString(entry.command)
        result = self.state.apply(command)
        self._applied_index = entry.index
        leading = self.role is Role.LEADER
        self._notify_applied(AppliedEntry(entry.index, command, result, leading))
        future = self._pending_results.pop(entry.index, None)
        if future is not None and not future.done():
            future.set_result(result)

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at `index` is applied."""
        if self._applied_index >= index:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((index, future))
        await future

    def _notify_waiters(self) -> None:
        waiting = []
        for index, future in self._waiters:
            if index > self._applied_index:
                waiting.append((index, future))
            elif not future.done():
                future.set_result(None)
        self._waiters = [pair for pair in waiting if not pair[1].done()]

    def _snapshot_when_due(self) -> None:
        """Take a snapshot when enough entries or bytes were applied since the last one.

        The commands in the log must also be at least as large as the last snapshot, so
        that the cost of writing a large state is amortised over as many bytes.
        """
        if self._snapshot_task is not None and not self._snapshot_task.done():
            return
        if self.role is Role.FAILED:
            return
        latest, log = self.stores.snapshots.latest, self.stores.log
        entries_since_snapshot = (
            self._applied_index - self.stores.snapshot_position.index
        )
        enough_bytes = log.command_bytes >= self.options.snapshot_bytes
        if entries_since_snapshot < (
            1 if enough_bytes else self.options.snapshot_entries
        ):
            return
        if latest and log.command_bytes < len(latest.data):
            return
        term = self.stores.log.term_at(self._applied_index)
        last = Position(self._applied_index, term)
        snapshot = Snapshot(last, self.state.snapshot())
        self._snapshot_task = asyncio.create_task(self._save_snapshot(snapshot))

    async def _save_snapshot(self, snapshot: Snapshot) -> None:
        async def save() -> None:
            if snapshot.last.index > self.stores.snapshot_position.index:
                await self.run_store_operation(self.stores.snapshots.save, snapshot)
                await self._compact(snapshot.last.index)

        try:
            await self.run_exclusive(save)
        except StoreFailedError as error:
            _log.error("cannot save the snapshot or compact the log: %s", error)

    async def _compact(self, index: int) -> None:
        """Remove old applied entries; slow followers catch up from the newer ones."""
        log = self.stores.log
        base_index = max(
            index - self.options.snapshot_entries // 2,
            log.index_before_last(index, self.options.snapshot_bytes // 2),
        )
        if base_index > log.base.index:
            base = Position(base_index, log.term_at(base_index))
            await self.run_store_operation(log.compact, base)
            self.history.discard_before(index)

    async def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace state and log by a leader's snapshot; called in `run_exclusive`."""
        await self.run_store_operation(self.stores.snapshots.save, snapshot)
        await self.run_store_operation(self.stores.log.compact, snapshot.last)
        if snapshot.last.index <= self._applied_index:
            # Newer entries were applied while the snapshot was written.
            return
        self.state.restore(snapshot.data)
        self._commit_index = snapshot.last.index
        self._applied_index = snapshot.last.index
        self.reset_history()
        self.history.append(self.stores.log.entries(snapshot.last.index + 1))
        command = Command(no_operation=NoOperation())
        self._notify_applied(
            AppliedEntry(snapshot.last.index, command, b"", leading=False)
        )
        self._notify_waiters()

    async def close(self) -> None:
        """Wait for the running store operation and reject further ones."""
        if self._snapshot_task is not None:
            self._snapshot_task.cancel()
        async with self._lock:
            self.step_down("stopped")
            self._become(Role.FAILED, "")
