"""Settings and roles of a replica."""

import enum
from dataclasses import dataclass

from bulrushbend.store.configuration import Configuration


class Role(enum.StrEnum):
    """What a replica currently does."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


@dataclass(frozen=True)
class ReplicaOptions:
    """Settings of a replica; times are in milliseconds.

    Attributes
    ----------
    name : str
        Name of the replica.
    founding : Configuration
        Voters with which the fleet is founded.
    bootstrap : bool
        Accept an empty data folder as that of a founding voter.
    election_timeout_ms : float
        Shortest time without a leader before an election, and longest time that a
        leader goes on without a majority.
    append_interval_ms : float
        Time between heartbeats to a peer that has nothing to receive.
    snapshot_entries : int
        Number of applied entries after which a snapshot is made.
    """

    name: str
    initial_configuration: Configuration
    bootstrap: bool = False
    election_timeout_ms: float = 1000.0
    append_interval_ms: float = 150.0
    snapshot_entries: int = 1000
