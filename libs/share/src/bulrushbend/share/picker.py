"""Policies that choose the team to serve next."""

import random
from collections.abc import Collection, Mapping
from typing import NamedTuple, Protocol

from bulrushbend.share.ledger import Ledger, TeamState

# Multiples of the golden ratio are distributed evenly over the unit interval for any
# number of agents.
_GOLDEN_RATIO_FRACTION = 0.6180339887498949
# Two iterations bring the clipped mean within a few per cent of its fixed point.
_CLIPPED_MEAN_ITERATIONS = 2
# Avoid divisions by zero for instant requests and for estimators without a reserve.
_MIN_COST_MS = 1.0
_MIN_CLAIM_STEP = 1e-6


class TeamPicker(Protocol):
    """Chooses the next team among those with waiting requests."""

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team to serve next, or None if no team waits.

        Parameters
        ----------
        waiting : mapping of str to float
            Age in milliseconds of the oldest waiting request of each team.
        ledger : Ledger
            Ledger of the service.
        """
        ...


class LowestVirtualTimePicker:
    """Chooses the team with the lowest fleet-wide virtual time.

    Ties are broken by the older request, then by name. With many agents, all of them
    choose the same team until the next records arrive; see `ProportionalPicker`.
    """

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team with the lowest virtual time, or None if no team waits."""
        virtual_time = ledger.virtual_time
        return min(
            waiting,
            key=lambda team: (virtual_time(team), -waiting[team], team),
            default=None,
        )


class ProportionalPicker:
    """Reassigns freed slots between teams in proportion to their surplus and deficit.

    A freed slot stays with its team unless the virtual time of the team is above the
    clipped mean of all waiting teams. In that case the slot is reassigned with a
    probability chosen such that all agents together move the surplus of the team
    before they receive each other's records. The slot goes to a team below the mean,
    drawn with its deficit as weight. Without this damping, all agents would assign
    their freed slots to the same team: slots of short requests are freed often and
    would end up with long requests, which are not preempted.

    Parameters
    ----------
    position : int
        Index of this agent among the agents of the service. Agents with different
        positions break ties differently, so that a cold start is balanced.
    horizon_ms : float, default=250.0
        Time until other agents receive the record of a claim (dissemination delay).
    gain : float, default=2.0
        Ratio of the slots moved within the horizon to the surplus.
    rng : random.Random, optional
        Source of random numbers.
    """

    def __init__(
        self,
        position: int = 0,
        horizon_ms: float = 250.0,
        gain: float = 2.0,
        rng: random.Random | None = None,
    ):
        self._position = position
        self._horizon_ms = horizon_ms
        self._gain = gain
        self._rng = rng or random.Random()

    def set_position(self, position: int) -> None:
        """Set the index of this agent when the manifest changes."""
        self._position = position

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team to assign the free slot to, or None if no team waits."""
        freed_team = ledger.pop_freed_team()
        if not waiting:
            return None
        if freed_team not in waiting:
            return self._pick_lowest(waiting, ledger)
        team_states = ledger.states(waiting)
        states = {
            team: self._make_candidate(state) for team, state in team_states.items()
        }
        clipped_mean = _compute_clipped_mean(states.values())
        state = states[freed_team]
        expected_moves = (
            self._gain * max(0.0, state.virtual_time - clipped_mean) / state.claim_step
        )
        if self._rng.random() * state.expected_ends >= expected_moves:
            return freed_team
        return self._sample_below(clipped_mean, states) or freed_team

    def _pick_lowest(self, waiting: Mapping[str, float], ledger: Ledger) -> str:
        offset = self._position * _GOLDEN_RATIO_FRACTION
        states = ledger.states(sorted(waiting))
        dithered = {
            team: state.virtual_time
            + (rank / len(states) + offset) % 1.0 * state.claim_step
            for rank, (team, state) in enumerate(states.items())
        }
        return min(dithered, key=dithered.__getitem__)

    def _make_candidate(self, state: TeamState) -> "_Candidate":
        mean_ms = max(_MIN_COST_MS, state.mean_cost_ms)
        return _Candidate(
            state.virtual_time,
            state.share,
            max(_MIN_CLAIM_STEP, state.claim_step),
            state.running * self._horizon_ms / mean_ms,
        )

    def _sample_below(
        self, clipped_mean: float, states: Mapping[str, "_Candidate"]
    ) -> str | None:
        deficits = {
            team: (clipped_mean - state.virtual_time) / state.claim_step
            for team, state in states.items()
            if state.virtual_time < clipped_mean
        }
        if not deficits:
            return None
        return self._rng.choices(list(deficits), list(deficits.values()))[0]


class _Candidate(NamedTuple):
    """State of a waiting team.

    `expected_ends` is the number of its requests that end within the horizon.
    """

    virtual_time: float
    share: float
    claim_step: float
    expected_ends: float


def _compute_clipped_mean(states: Collection[_Candidate]) -> float:
    """Return the mean of the virtual times weighted by share, with clipped surpluses.

    The surplus of a team is clipped to what the slots that it frees within the horizon
    can make up for. Otherwise a team with long requests could raise the mean above all
    other teams, and none of them would release a slot.
    """
    total = sum(state.share for state in states)
    clipped_mean = sum(state.share * state.virtual_time for state in states) / total
    for _ in range(_CLIPPED_MEAN_ITERATIONS):
        clipped_mean = (
            sum(
                share * min(virtual_time, clipped_mean + expected_ends * claim_step)
                for virtual_time, share, claim_step, expected_ends in states
            )
            / total
        )
    return clipped_mean
