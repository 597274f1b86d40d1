"""Settings and roles of a replica."""

import enum
from dataclasses import dataclass

from bulrushbend.store.configuration import Configuration


class Role(enum.StrEnum):
    """Current role of a replica."""

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
    initial_configuration : Configuration
        Voters with which the fleet is bootstrapped.
    bootstrap : bool
        Accept an empty data folder as that of an initial voter.
    election_timeout_ms : float
        Minimum time without contact to a leader before an election, and maximum time
        that a leader continues without replies from a majority.
    append_interval_ms : float
        Time between heartbeats to a peer that is up to date.
    snapshot_entries : int
        Number of applied entries after which a snapshot is taken.
    snapshot_bytes : int
        Size of the commands in the log after which a snapshot is taken earlier. Half of
        it is kept for slow followers.
    """

    name: str
    initial_configuration: Configuration
    bootstrap: bool = False
    election_timeout_ms: float = 1000.0
    append_interval_ms: float = 150.0
    snapshot_entries: int = 1000
    snapshot_bytes: int = 8 << 20
