"""Choice of the team that is served next."""

from collections.abc import Mapping
from typing import Protocol

from bulrushbend.share.ledger import Ledger


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

    Equal levels are decided by the older request, then by name.
    """

    def pick(self, waiting: Mapping[str, float], ledger: Ledger) -> str | None:
        """Return the team with the lowest level, or None if no team waits."""
        level = ledger.level
        return min(
            waiting, key=lambda team: (level(team), -waiting[team], team), default=None
        )
