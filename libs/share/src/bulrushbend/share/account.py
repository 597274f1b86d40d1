"""Account of one team at this agent, from which its accounting record is built."""

from bulrushbend.share.estimator import Estimator


class OpenCharge:
    """One claim or running request; times are slot milliseconds."""

    __slots__ = ("settled_until_ms", "start_ms")

    def __init__(self):
        self.start_ms: float | None = None
        self.settled_until_ms = 0.0

    def elapsed_ms(self, now_ms: float) -> float:
        """Return the slot time accrued so far, 0 for a claim without a request."""
        return 0.0 if self.start_ms is None else now_ms - self.start_ms


class TeamAccount:
    """Service of one team at this agent; times are slot milliseconds.

    Parameters
    ----------
    team : str
        Name of the team.
    share : float
        Weight of the team, greater than 0.
    """

    def __init__(self, team: str, share: float):
        self._team = team
        self._share = share
        self._served_ms = 0.0
        self._weighted_ms = 0.0
        self._charges: set[OpenCharge] = set()
        self.waiting = False
        self.start_virtual_time = 0.0

    @property
    def team(self) -> str:
        """Name of the team."""
        return self._team

    @property
    def running(self) -> int:
        """Number of claims and running requests."""
        return len(self._charges)

    @property
    def is_active(self) -> bool:
        """Whether the team has waiting, claimed or running requests here."""
        return self.waiting or bool(self._charges)

    def add_charge(self) -> OpenCharge:
        """Add a charge for a claim."""
        charge = OpenCharge()
        self._charges.add(charge)
        return charge

    def start_charge(self, charge: OpenCharge, now_ms: float) -> None:
        """Start to accrue slot time for `charge`."""
        if charge.start_ms is None:
            charge.start_ms = charge.settled_until_ms = now_ms

    def close_charge(self, charge: OpenCharge, now_ms: float) -> float:
        """Remove `charge` and return its cost."""
        self._settle(charge, now_ms)
        self._charges.discard(charge)
        return charge.elapsed_ms(now_ms)

    def set_share(self, share: float, now_ms: float) -> None:
        """Divide service from now on by `share`."""
        if share == self._share:
            return
        for charge in self._charges:
            self._settle(charge, now_ms)
        self._share = share

    def served_ms(self, now_ms: float) -> float:
        """Return the slot time served, including that of running requests."""
        return self._served_ms + self._unsettled_ms(now_ms)

    def weighted_ms(self, now_ms: float) -> float:
        """Return the slot time served divided by the share in force at that time."""
        return self._weighted_ms + self._unsettled_ms(now_ms) / self._share

    def reserve_ms(self, estimator: Estimator, now_ms: float) -> float:
        """Return the slot time reserved for claims and running requests."""
        if not self._charges:
            return 0.0
        return sum(
            estimator.reserve_ms(self._team, charge.elapsed_ms(now_ms))
            for charge in self._charges
        )

    def _settle(self, charge: OpenCharge, now_ms: float) -> None:
        if charge.start_ms is None:
            return
        accrued_ms = now_ms - charge.settled_until_ms
        charge.settled_until_ms = now_ms
        self._served_ms += accrued_ms
        self._weighted_ms += accrued_ms / self._share

    def _unsettled_ms(self, now_ms: float) -> float:
        if not self._charges:
            return 0.0
        return sum(
            now_ms - charge.settled_until_ms
            for charge in self._charges
            if charge.start_ms is not None
        )
