"""Voters and learners, and their changes in the log."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from bulrushbend.store.records import Entry
from bulrushbend.wire.control_pb2 import Command, SetVoters, VoterEntry


@dataclass(frozen=True)
class Node:
    """A control replica in the voter list.

    Attributes
    ----------
    name : str
        Unique name.
    address : str
        ``"host:port"`` of its gRPC server.
    disk_id : str
        Identity of the data folder with which the replica may vote, empty for a
        learner.
    """

    name: str
    address: str
    disk_id: str = ""


@dataclass(frozen=True)
class Configuration:
    """Voters and learners, sorted by name.

    Attributes
    ----------
    voters : tuple of Node
        Replicas that vote.
    learners : tuple of Node
        Replicas that receive the log without a vote.
    outgoing : tuple of Node
        The previous voters while one of them is being replaced (joint consensus),
        empty otherwise. A majority of them is needed as well.
    """

    voters: tuple[Node, ...] = ()
    learners: tuple[Node, ...] = ()
    outgoing: tuple[Node, ...] = ()

    @property
    def is_joint(self) -> bool:
        """Whether a voter is being replaced."""
        return bool(self.outgoing)

    @property
    def electorate(self) -> tuple[Node, ...]:
        """All replicas that vote, also those that are being replaced."""
        return _sorted({*self.voters, *self.outgoing})

    @property
    def nodes(self) -> tuple[Node, ...]:
        """Voters and learners."""
        return self.electorate + self.learners

    @property
    def _groups(self) -> tuple[tuple[Node, ...], ...]:
        """Groups of voters of each of which a majority is needed."""
        return (self.voters, self.outgoing) if self.outgoing else (self.voters,)

    def node(self, name: str) -> Node | None:
        """Return the voter or learner called `name`."""
        return next((node for node in self.nodes if node.name == name), None)

    def voter(self, name: str) -> Node | None:
        """Return the voter called `name`, also one that is being replaced."""
        voting = (*self.voters, *self.outgoing)
        return next((node for node in voting if node.name == name), None)

    def may_vote(self, name: str, disk_id: str) -> bool:
        """Return whether the replica votes on the data folder `disk_id`."""
        node = self.voter(name)
        return node is not None and bool(disk_id) and node.disk_id == disk_id

    def has_majority(self, names: Collection[str]) -> bool:
        """Return whether a majority of the voters is among `names`."""
        return bool(self.voters) and all(
            sum(node.name in names for node in group) > len(group) // 2
            for group in self._groups
        )

    def agreed_index(self, indexes: Mapping[str, int]) -> int:
        """Return the highest log index that a majority of the voters has reached.

        Parameters
        ----------
        indexes : mapping of str to int
            Last matching log index of the replicas that may vote, by name.
        """
        agreed = []
        for group in self._groups:
            reached = sorted(indexes.get(node.name, 0) for node in group)
            agreed.append(reached[(len(group) - 1) // 2] if group else 0)
        return min(agreed)

    def without(self, name: str) -> "Configuration":
        """Return the configuration without the replica called `name`."""
        return Configuration(
            tuple(node for node in self.voters if node.name != name),
            tuple(node for node in self.learners if node.name != name),
        )

    def with_learner(self, node: Node) -> "Configuration":
        """Return the configuration with `node` as a learner."""
        remaining = self.without(node.name)
        return Configuration(remaining.voters, _sorted([*remaining.learners, node]))

    def with_voter(self, node: Node) -> "Configuration":
        """Return the configuration with `node` as a voter."""
        remaining = self.without(node.name)
        return Configuration(_sorted([*remaining.voters, node]), remaining.learners)

    def with_replacement(self, name: str, voter: Node) -> "Configuration":
        """Return the joint configuration in which `voter` replaces the one called name.

        Every majority of it has a replica in common with every majority of this
        configuration, and with every majority of its `completed` form.
        """
        replaced = self.without(name).with_voter(voter)
        return replace(replaced, outgoing=self.voters)

    def completed(self) -> "Configuration":
        """Return the configuration after the replacement of a voter."""
        return replace(self, outgoing=())

    def message(self) -> SetVoters:
        """Return the command that carries this configuration."""
        return SetVoters(
            voters=[_pack(node) for node in self.voters],
            learners=[_pack(node) for node in self.learners],
            outgoing=[_pack(node) for node in self.outgoing],
        )


def configuration_from_message(message: SetVoters) -> Configuration:
    """Return the configuration that a command carries."""
    return Configuration(
        _sorted(_unpack(entry) for entry in message.voters),
        _sorted(_unpack(entry) for entry in message.learners),
        _sorted(_unpack(entry) for entry in message.outgoing),
    )


class ConfigurationHistory:
    """Configurations in the log; the newest one is in effect, committed or not.

    Parameters
    ----------
    base : Configuration
        Configuration at `index`.
    index : int
        Index of the last log entry that `base` reflects.
    """

    def __init__(self, base: Configuration, index: int):
        self._configurations = [(index, base)]

    @property
    def current(self) -> Configuration:
        """Newest configuration."""
        return self._configurations[-1][1]

    @property
    def current_index(self) -> int:
        """Index of the entry that set the newest configuration."""
        return self._configurations[-1][0]

    def append(self, entries: Iterable[Entry]) -> None:
        """Add the configurations that appended entries set."""
        for entry in entries:
            command = Command.FromString(entry.command)
            if command.WhichOneof("kind") == "set_voters":
                configuration = configuration_from_message(command.set_voters)
                self._configurations.append((entry.index, configuration))

    def truncate_after(self, index: int) -> None:
        """Remove the configurations of entries after `index`."""
        while len(self._configurations) > 1 and self._configurations[-1][0] > index:
            self._configurations.pop()

    def discard_before(self, index: int) -> None:
        """Remove the configurations that were superseded at or before `index`."""
        while len(self._configurations) > 1 and self._configurations[1][0] <= index:
            del self._configurations[0]


def _sorted(nodes: Iterable[Node]) -> tuple[Node, ...]:
    return tuple(sorted(nodes, key=lambda node: node.name))


def _pack(node: Node) -> VoterEntry:
    return VoterEntry(name=node.name, address=node.address, disk_id=node.disk_id)


def _unpack(entry: VoterEntry) -> Node:
    return Node(entry.name, entry.address, entry.disk_id)
