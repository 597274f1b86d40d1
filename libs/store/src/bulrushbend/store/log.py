"""Interface of the replicated log, and an in-memory log."""

import abc
from collections.abc import Sequence

from bulrushbend.store.records import Entry, Position


class BaseLogStore(abc.ABC):
    """Log of consecutive entries after a base position.

    The base is the last entry that a snapshot has replaced.
    """

    def __init__(self) -> None:
        # The base and the entries after it. They are replaced together: the log is
        # compacted in a thread while the event loop reads it.
        self._contents: tuple[Position, list[Entry]] = (Position(), [])
        self._command_bytes = 0

    @property
    def base(self) -> Position:
        """Position before the first entry."""
        return self._contents[0]

    @property
    def last(self) -> Position:
        """Position of the last entry, or the base if there is none."""
        base, entries = self._contents
        if not entries:
            return base
        entry = entries[-1]
        return Position(entry.index, entry.term)

    @property
    def command_bytes(self) -> int:
        """Total length of the commands in bytes."""
        return self._command_bytes

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, None if it is not in the log."""
        base, entries = self._contents
        if index == base.index:
            return base.term
        offset = index - base.index - 1
        if 0 <= offset < len(entries):
            return entries[offset].term
        return None

    def entries(self, first: int, limit_bytes: int | None = None) -> list[Entry]:
        """Return the entries from index `first` on.

        Parameters
        ----------
        first : int
            Index of the first entry; it must be greater than that of the base.
        limit_bytes : int, optional
            Stop when the commands exceed this size; at least one entry is returned.
        """
        base, entries = self._contents
        return _select(entries, first - base.index - 1, limit_bytes)

    def entries_after(
        self, index: int, limit_bytes: int | None = None
    ) -> tuple[int, list[Entry]] | None:
        """Return the term of the entry at `index` and the entries that follow it.

        None if the log does not hold `index`, as after it was compacted.
        """
        base, entries = self._contents
        offset = index - base.index
        if not 0 <= offset <= len(entries):
            return None
        term = entries[offset - 1].term if offset else base.term
        return term, _select(entries, offset, limit_bytes)

    def index_before_last(self, index: int, limit_bytes: int) -> int:
        """Return the index before the last entries up to `index` within a size limit.

        Parameters
        ----------
        index : int
            Index of the last of these entries.
        limit_bytes : int
            Limit for the total length of their commands in bytes.
        """
        base, entries = self._contents
        remaining = limit_bytes
        while index > base.index:
            remaining -= len(entries[index - base.index - 1].command)
            if remaining < 0:
                break
            index -= 1
        return index

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries; they are durable when this returns.

        Raises
        ------
        StoreFailedError
            The entries could not be made durable; the store is no longer usable.
        """
        self._check_order(entries)
        if entries:
            self._write(entries)
            self._contents[1].extend(entries)
            self._command_bytes += _total_command_bytes(entries)

    def truncate_after(self, index: int) -> None:
        """Remove the entries after `index`.

        Raises
        ------
        StoreFailedError
            The removal could not be made durable.
        """
        base, entries = self._contents
        kept_count = max(0, index - base.index)
        if kept_count < len(entries):
            self._truncate(kept_count)
            self._command_bytes -= _total_command_bytes(entries[kept_count:])
            del entries[kept_count:]

    def compact(self, base: Position) -> None:
        """Remove the entries up to and including `base`.

        If the log does not hold `base`, or holds another entry at its index, all
        entries are removed, since the snapshot that ends at `base` replaces them.

        Raises
        ------
        StoreFailedError
            The removal could not be made durable.
        """
        if self.term_at(base.index) == base.term:
            remaining = self._contents[1][base.index - self.base.index :]
        else:
            remaining = []
        self._rewrite(base, remaining)
        self._contents = (base, remaining)
        self._command_bytes = _total_command_bytes(remaining)

    @abc.abstractmethod
    def close(self) -> None:
        """Release the resources of the store."""

    def _check_order(self, entries: Sequence[Entry]) -> None:
        expected = self.last.index + 1
        for entry in entries:
            if entry.index != expected:
                raise ValueError(
                    f"cannot append entry {entry.index}: expected index {expected}"
                )
            expected += 1

    @abc.abstractmethod
    def _write(self, entries: Sequence[Entry]) -> None:
        """Durably append entries to the present ones."""

    @abc.abstractmethod
    def _truncate(self, kept_count: int) -> None:
        """Durably keep only the first `kept_count` entries."""

    @abc.abstractmethod
    def _rewrite(self, base: Position, entries: Sequence[Entry]) -> None:
        """Durably replace base and entries."""


def _select(
    entries: Sequence[Entry], start: int, limit_bytes: int | None
) -> list[Entry]:
    selected: list[Entry] = []
    size = 0
    for position in range(start, len(entries)):
        entry = entries[position]
        size += len(entry.command)
        if selected and limit_bytes is not None and size > limit_bytes:
            break
        selected.append(entry)
    return selected


def _total_command_bytes(entries: Sequence[Entry]) -> int:
    return sum(len(entry.command) for entry in entries)


class MemoryLogStore(BaseLogStore):
    """Log in memory, for tests."""

    def close(self) -> None:
        """Do nothing."""

    def _write(self, entries: Sequence[Entry]) -> None:
        pass

    def _truncate(self, kept_count: int) -> None:
        pass

    def _rewrite(self, base: Position, entries: Sequence[Entry]) -> None:
        pass
