"""Accounting record: the service of one team at one agent."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AccountingRecord:
    """Service of one team at one agent; mirrors the message ``TeamRow``.

    Attributes
    ----------
    service, agent : str
        Service, and the agent that is the only writer of the record.
    incarnation : int
        Incarnation of the agent.
    team : str
        Team that was served.
    sequence : int
        Version of the record. It increases with each version, and readers keep the
        highest.
    served_ms : float
        Slot time in milliseconds, monotone within an incarnation.
    reserve_ms : float
        Slot time in milliseconds reserved for claimed and running requests.
    running : int
        Number of claimed and running requests.
    waiting : bool
        Whether the agent sees waiting requests of the team.
    start_virtual_time : float
        Start value of the team's virtual time, in slot ms per unit of share. It was
        raised each time the team became backlogged below the system virtual time.
    weighted_ms : float
        `served_ms` divided by the share in force while it accrued. Sent in addition
        to `served_ms` because a manifest may change a share, and past service keeps
        its weight.
    """

    service: str
    agent: str
    incarnation: int
    team: str
    sequence: int
    served_ms: float
    reserve_ms: float
    running: int
    waiting: bool
    start_virtual_time: float
    weighted_ms: float

    @property
    def is_valid(self) -> bool:
        """Whether all numbers are finite and the cumulative ones not negative.

        One infinite value from a faulty peer would corrupt the sums permanently.
        """
        counted = (self.served_ms, self.weighted_ms, self.start_virtual_time)
        if not all(math.isfinite(value) and value >= 0.0 for value in counted):
            return False
        return math.isfinite(self.reserve_ms) and self.running >= 0
