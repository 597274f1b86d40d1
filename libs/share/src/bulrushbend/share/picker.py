"""Choice of the team that is served next."""

import random
from collections.abc import Mapping
from typing import Protocol

from bulrushbend.share.ledger import Ledger

# Multiples of the golden ratio spread evenly over the unit interval, however many
# agents there are.
_GOLDEN_PART = 0.6180339887498949
# Two rounds bring the centre within a few per cent of its fixed point.
_CENTRE_ROUNDS = 2


class TeamPicker(Protocol):
    """Chooses the next team among those that wait."""

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team to serve next, or None if no team waits.

        Parameters
        ----------
        waiting : mapping of str to float
            Age in milliseconds of the oldest waiting request of each team.
        ledger : Ledger
            Account of the service.
        """
        ...


class LowestLevelPicker:
    """Chooses the team with the lowest fleet-wide level.

    Equal levels are decided by the older request, then by name. With many agents all
    of them choose the same team until the next rows arrive; see `ProportionalPicker`.
    """

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team with the lowest level, or None if no team waits."""
        level = ledger.level
        return min(
            waiting, key=lambda team: (level(team), -waiting[team], team), default=None
        )


class ProportionalPicker:
    """Moves freed slots between teams at the rate that the levels call for.

    A freed slot stays with its team unless the team is above the centre of the levels.
    Then it moves with the probability with which all agents together move as many
    slots as the team has too many, before they see the rows of each other. The slot
    goes to a team below the centre, drawn by what each lacks. Without this damping
    every agent gives its freed slots to the same team; slots of short requests are
    freed often and end with long requests, from which they cannot be taken back.

    Parameters
    ----------
    position : int
        Index of this agent among the agents of the service. Agents with different
        positions break ties differently, so that a cold start is balanced.
    horizon_ms : float, default=250.0
        Time until other agents see a claim of this one: the dissemination delay.
    gain : float, default=2.0
        Part of the surplus that is moved within the horizon.
    source : random.Random, optional
        Source of random numbers.
    """

    def __init__(
        self,
        position: int = 0,
        horizon_ms: float = 250.0,
        gain: float = 2.0,
        source: random.Random | None = None,
    ):
        self._position = position
        self._horizon_ms = horizon_ms
        self._gain = gain
        self._random = source or random.Random()

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team that the free slot goes to, or None if no team waits."""
        freed = ledger.take_freed()
        if not waiting:
            return None
        levels = {team: ledger.level(team) for team in waiting}
        if freed not in levels:
            return self._pick_lowest(levels, ledger)
        centre = self._centre(levels, ledger)
        surplus = (levels[freed] - centre) / ledger.claim_step(freed)
        moves = self._gain * max(0.0, surplus)
        if self._random.random() * self._ends(freed, ledger) >= moves:
            return freed
        return self._draw_below(centre, levels, ledger) or freed

    def _pick_lowest(self, levels: Mapping[str, float], ledger: Ledger) -> str:
        offset = self._position * _GOLDEN_PART
        dithered = {
            team: levels[team]
            + (rank / len(levels) + offset) % 1.0 * ledger.claim_step(team)
            for rank, team in enumerate(sorted(levels))
        }
        return min(dithered, key=dithered.__getitem__)

    def _centre(self, levels: Mapping[str, float], ledger: Ledger) -> float:
        """Return the mean level by share.

        A team counts only as far above the centre as its slots can be moved within
        the horizon: one that holds its slots for long would lift the centre above
        all others, and none of them would give up a slot.
        """
        shares = {team: ledger.share(team) for team in levels}
        total = sum(shares.values())
        reach = {
            team: self._ends(team, ledger) * ledger.claim_step(team) for team in levels
        }
        centre = sum(shares[team] * levels[team] for team in levels) / total
        for _ in range(_CENTRE_ROUNDS):
            centre = (
                sum(
                    shares[team] * min(levels[team], centre + reach[team])
                    for team in levels
                )
                / total
            )
        return centre

    def _ends(self, team: str, ledger: Ledger) -> float:
        """Return how many slots `team` frees fleet-wide within the horizon."""
        running = ledger.running(team)
        return running * self._horizon_ms / max(1.0, ledger.mean_cost_ms(team))

    def _draw_below(
        self, centre: float, levels: Mapping[str, float], ledger: Ledger
    ) -> str | None:
        lacks = {
            team: (centre - level) / ledger.claim_step(team)
            for team, level in levels.items()
            if level < centre
        }
        if not lacks:
            return None
        return self._random.choices(list(lacks), list(lacks.values()))[0]
