"""Interface that the control service uses to access a replica of the state."""

import abc
from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.store.configuration import Node
from bulrushbend.store.state import State
from bulrushbend.wire.control_pb2 import Command
from bulrushbend.wire.fleet_pb2 import VotersReply, VotersRequest


@dataclass(frozen=True)
class AppliedEntry:
    """A log entry that was applied to the state.

    Attributes
    ----------
    index : int
        Index of the entry in the log.
    command : Command
        The command.
    result : bytes
        Serialised result, see `State.apply`.
    leading : bool
        Whether this replica led when it applied the command.
    """

    index: int
    command: Command
    result: bytes
    leading: bool


AppliedListener = Callable[[AppliedEntry], None]


@dataclass(frozen=True)
class ReplicaStatus:
    """Consensus status of a replica."""

    leader: str
    term: int
    commit_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]


class BaseReplica(abc.ABC):
    """One replica of the replicated state."""

    def __init__(self) -> None:
        self._state = State()
        self._listeners: list[AppliedListener] = []

    @property
    def state(self) -> State:
        """State as far as this replica has applied it; it may lag behind."""
        return self._state

    @property
    @abc.abstractmethod
    def is_unavailable(self) -> bool:
        """Whether writes cannot succeed here now, so that callers should try a peer."""

    @property
    def nodes(self) -> tuple[Node, ...]:
        """Voters and learners as this replica knows them, empty without peers."""
        return ()

    def listen(self, listener: AppliedListener) -> None:
        """Call `listener` after each applied command, and after an installed snapshot.

        A snapshot is reported as a `NoOperation` at its index.
        """
        self._listeners.append(listener)

    @abc.abstractmethod
    def status(self) -> ReplicaStatus:
        """Return the consensus status."""

    @abc.abstractmethod
    async def propose(self, command: Command, timeout_ms: float) -> bytes:
        """Commit and apply `command`, through the leader if another replica leads.

        Parameters
        ----------
        command : Command
            Command; it must be idempotent, since the outcome may stay unknown.
        timeout_ms : float
            Deadline in milliseconds.

        Returns
        -------
        bytes
            Result of `State.apply` at the leader.

        Raises
        ------
        NoQuorumError
            Not committed in time; it may still be committed later.
        """

    @abc.abstractmethod
    async def read_index(self, timeout_ms: float) -> int:
        """Wait until `state` holds everything that was committed before the call.

        Parameters
        ----------
        timeout_ms : float
            Deadline in milliseconds.

        Returns
        -------
        int
            Index up to which the leader has confirmed the log.

        Raises
        ------
        NoQuorumError
            The leader did not confirm in time.
        """

    @abc.abstractmethod
    async def change_voters(self, request: VotersRequest) -> VotersReply:
        """Add a learner, promote it to a voter or remove a replica."""

    def _notify_listeners(self, applied: AppliedEntry) -> None:
        for listener in self._listeners:
            listener(applied)


class SoloReplica(BaseReplica):
    """In-memory replica without peers, for tests of the layers above."""

    def __init__(self, name: str = "solo"):
        super().__init__()
        self._name = name
        self._index = 0

    @property
    def is_unavailable(self) -> bool:
        """Return False, since this replica needs no peers."""
        return False

    def status(self) -> ReplicaStatus:
        """Return a status that names this replica as leader."""
        return ReplicaStatus(self._name, 1, self._index, (self._name,), ())

    async def propose(self, command: Command, timeout_ms: float) -> bytes:
        """Apply `command` at once; see `BaseReplica.propose`."""
        self._index += 1
        result = self._state.apply(command)
        self._notify_listeners(AppliedEntry(self._index, command, result, leading=True))
        return result

    async def read_index(self, timeout_ms: float) -> int:
        """Return the last index."""
        return self._index

    async def change_voters(self, request: VotersRequest) -> VotersReply:
        """Reject the change, since this replica has no peers."""
        return VotersReply(accepted=False, message="a solo replica has no peers")
