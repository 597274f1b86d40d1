"""Grouping of accounting records by the agent that wrote them.

A message names service, agent and incarnation once for all records of an agent.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from bulrushbend.wire.fleet_pb2 import RowGroup, TeamRow


class AgentRecord(NamedTuple):
    """Accounting record of one team at one agent, with the fields of its group.

    Attributes
    ----------
    service, agent : str
        Service and the agent that wrote the record.
    incarnation : int
        Incarnation of the agent.
    team_row : TeamRow
        Slot time and state of the team.
    """

    service: str
    agent: str
    incarnation: int
    team_row: TeamRow

    @property
    def key(self) -> tuple[str, int, str]:
        """Agent, incarnation and team, which identify the record within a service."""
        return self.agent, self.incarnation, self.team_row.team

    @property
    def team(self) -> str:
        """Team whose use is recorded."""
        return self.team_row.team

    @property
    def sequence(self) -> int:
        """Version number of the record."""
        return self.team_row.sequence


def group_records(records: Iterable[AgentRecord]) -> list[RowGroup]:
    """Return the records by agent, in the order of each agent's first record."""
    groups: dict[tuple[str, str, int], list[TeamRow]] = {}
    for service, agent, incarnation, team_row in records:
        groups.setdefault((service, agent, incarnation), []).append(team_row)
    return [
        RowGroup(service=service, agent=agent, incarnation=incarnation, rows=members)
        for (service, agent, incarnation), members in groups.items()
    ]


def ungroup_records(groups: Iterable[RowGroup]) -> Iterator[AgentRecord]:
    """Yield the records that `groups` contain."""
    for group in groups:
        service, agent, incarnation = group.service, group.agent, group.incarnation
        for team_row in group.rows:
            yield AgentRecord(service, agent, incarnation, team_row)
