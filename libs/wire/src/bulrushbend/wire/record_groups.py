"""Grouping of accounting rows by the agent that wrote them.

A message names service, agent and incarnation once for all rows of an agent.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from bulrushbend.wire.fleet_pb2 import RowGroup, TeamRow


class AccountingRecord(NamedTuple):
    """One accounting row with the names that its group carries.

    Attributes
    ----------
    service, agent : str
        Service and the agent that wrote the row.
    incarnation : int
        Incarnation of the agent.
    row : TeamRow
        Service of one team.
    """

    service: str
    agent: str
    incarnation: int
    row: TeamRow

    @property
    def key(self) -> tuple[str, int, str]:
        """Agent, incarnation and team, unique within a service."""
        return self.agent, self.incarnation, self.row.team

    @property
    def team(self) -> str:
        """Team that was served."""
        return self.row.team

    @property
    def sequence(self) -> int:
        """Version of the row."""
        return self.row.sequence


def group_records(rows: Iterable[AccountingRecord]) -> list[RowGroup]:
    """Return the groups that carry `rows`, in the order of their first rows."""
    groups: dict[tuple[str, str, int], list[TeamRow]] = {}
    for service, agent, incarnation, row in rows:
        groups.setdefault((service, agent, incarnation), []).append(row)
    return [
        RowGroup(service=service, agent=agent, incarnation=incarnation, rows=members)
        for (service, agent, incarnation), members in groups.items()
    ]


def ungroup_records(groups: Iterable[RowGroup]) -> Iterator[AccountingRecord]:
    """Yield the rows that `groups` carry."""
    for group in groups:
        service, agent, incarnation = group.service, group.agent, group.incarnation
        for row in group.rows:
            yield AccountingRecord(service, agent, incarnation, row)
