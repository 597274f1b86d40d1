"""Accounting record: the service of one team at one agent."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AccountingRecord:
    """Service of one team at one agent; mirrors the message ``TeamRow``.

    Attributes
    ----------
    service, agent : str
        Service and the agent that wrote the record. Nobody else writes it.
    incarnation : int
        Incarnation of the agent.
    team : str
        Team that was served.
    sequence : int
        Grows with every version of the record; readers keep the highest.
    served_ms : float
        Slot time in milliseconds, monotone under an incarnation.
    reserve_ms : float
        Slot time in milliseconds held for claimed and running requests.
    running : int
        Claimed and running requests.
    waiting : bool
        Whether the agent sees waiting requests of the team.
    start_level : float
        Level to which the team was raised, in slot ms per unit of share.
    weighted_ms : float
        `served_ms` over the share that was in force while it accrued. Sent beside
        `served_ms` because a share may change with a manifest: the service of the
        past keeps its weight.
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
        """Whether all numbers are finite and the counted ones not negative.

        One infinite value from a faulty peer would spoil the sums for good.
        """
        counted = (self.served_ms, self.weighted_ms, self.start_virtual_time)
        if not all(math.isfinite(value) and value >= 0.0 for value in counted):
            return False
        return math.isfinite(self.reserve_ms) and self.running >= 0
