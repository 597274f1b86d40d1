"""Conversion between accounting records and their protobuf messages."""

from collections.abc import Iterable

from bulrushbend.share.ledger import AccountingRecord
from bulrushbend.wire.fleet_pb2 import RowGroup, TeamRow
from bulrushbend.wire.record_groups import AgentRecord

_US_PER_MS = 1000.0


def pack_records(records: Iterable[AccountingRecord]) -> list[AgentRecord]:
    """Return the messages for `records`, with times truncated to whole units."""
    return [
        AgentRecord(
            record.service,
            record.agent,
            record.incarnation,
            TeamRow(
                team=record.team,
                sequence=record.sequence,
                served_ms=int(record.served_ms),
                reserve_ms=max(0, int(record.reserve_ms)),
                running=record.running,
                waiting=record.waiting,
                start_level_us=int(record.start_virtual_time * _US_PER_MS),
                weighted_us=int(record.weighted_ms * _US_PER_MS),
            ),
        )
        for record in records
    ]


def unpack_records(groups: Iterable[RowGroup], service: str) -> list[AccountingRecord]:
    """Return the records of `service` among `groups`."""
    return [
        AccountingRecord(
            service=service,
            agent=group.agent,
            incarnation=group.incarnation,
            team=row.team,
            sequence=row.sequence,
            served_ms=float(row.served_ms),
            reserve_ms=float(row.reserve_ms),
            running=row.running,
            waiting=row.waiting,
            start_virtual_time=row.start_level_us / _US_PER_MS,
            weighted_ms=row.weighted_us / _US_PER_MS,
        )
        for group in groups
        if group.service == service
        for row in group.rows
    ]
