"""Choice of the team that is served next."""

import random
from collections.abc import Collection, Mapping
from typing import NamedTuple, Protocol

from bulrushbend.share.ledger import Ledger, TeamState

# Multiples of the golden ratio spread evenly over the unit interval, however many
# agents there are.
_GOLDEN_PART = 0.6180339887498949
# Two rounds bring the centre within a few per cent of its fixed point.
_CENTRE_ROUNDS = 2
# Keep divisions defined for instant requests and for estimators that hold nothing.
_SMALLEST_COST_MS = 1.0
_SMALLEST_STEP = 1e-6


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

    def set_position(self, position: int) -> None:
        """Set the index of this agent when the manifest changes."""
        self._position = position

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team that the free slot goes to, or None if no team waits."""
        freed = ledger.take_freed()
        if not waiting:
            return None
        if freed not in waiting:
            return self._pick_lowest(waiting, ledger)
        known = ledger.states(waiting)
        states = {team: self._weigh(state) for team, state in known.items()}
        centre = _find_centre(states.values())
        state = states[freed]
        moves = self._gain * max(0.0, state.level - centre) / state.step
        if self._random.random() * state.ends >= moves:
            return freed
        return self._draw_below(centre, states) or freed

    def _pick_lowest(self, waiting: Mapping[str, float], ledger: Ledger) -> str:
        offset = self._position * _GOLDEN_PART
        states = ledger.states(sorted(waiting))
        dithered = {
            team: state.level + (rank / len(states) + offset) % 1.0 * state.claim_step
            for rank, (team, state) in enumerate(states.items())
        }
        return min(dithered, key=dithered.__getitem__)

    def _weigh(self, state: TeamState) -> "_Weight":
        mean_ms = max(_SMALLEST_COST_MS, state.mean_cost_ms)
        return _Weight(
            state.level,
            state.share,
            max(_SMALLEST_STEP, state.claim_step),
            state.running * self._horizon_ms / mean_ms,
        )

    def _draw_below(self, centre: float, states: Mapping[str, "_Weight"]) -> str | None:
        lacks = {
            team: (centre - state.level) / state.step
            for team, state in states.items()
            if state.level < centre
        }
        if not lacks:
            return None
        return self._random.choices(list(lacks), list(lacks.values()))[0]


class _Weight(NamedTuple):
    """State of a waiting team: `ends` is how many slots it frees in the horizon."""

    level: float
    share: float
    step: float
    ends: float


def _find_centre(states: Collection[_Weight]) -> float:
    """Return the mean level by share.

    A team counts only as far above the centre as its slots can be moved within the
    horizon: one that holds its slots for long would lift the centre above all others,
    and none of them would give up a slot.
    """
    total = sum(state.share for state in states)
    centre = sum(state.share * state.level for state in states) / total
    for _ in range(_CENTRE_ROUNDS):
        centre = (
            sum(
                share * min(level, centre + ends * step)
                for level, share, step, ends in states
            )
            / total
        )
    return centre
