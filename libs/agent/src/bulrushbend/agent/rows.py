"""Conversion between accounting rows and their messages."""

from collections.abc import Iterable

from bulrushbend.share.ledger import Row
from bulrushbend.wire.fleet_pb2 import RowGroup, TeamRow
from bulrushbend.wire.record_groups import AgentRecord

_US_PER_MS = 1000.0


def pack_rows(rows: Iterable[Row]) -> list[AgentRecord]:
    """Return the messages that carry `rows`, with times truncated to whole units."""
    return [
        AgentRecord(
            row.service,
            row.agent,
            row.incarnation,
            TeamRow(
                team=row.team,
                sequence=row.sequence,
                served_ms=int(row.served_ms),
                reserve_ms=max(0, int(row.reserve_ms)),
                running=row.running,
                waiting=row.waiting,
                start_level_us=int(row.start_level * _US_PER_MS),
                weighted_us=int(row.weighted_ms * _US_PER_MS),
            ),
        )
        for row in rows
    ]


def unpack_rows(groups: Iterable[RowGroup], service: str) -> list[Row]:
    """Return the rows of `service` among `groups`."""
    return [
        Row(
            service=service,
            agent=group.agent,
            incarnation=group.incarnation,
            team=row.team,
            sequence=row.sequence,
            served_ms=float(row.served_ms),
            reserve_ms=float(row.reserve_ms),
            running=row.running,
            waiting=row.waiting,
            start_level=row.start_level_us / _US_PER_MS,
            weighted_ms=row.weighted_us / _US_PER_MS,
        )
        for group in groups
        if group.service == service
        for row in group.rows
    ]
