"""Conversion between accounting rows and their messages."""

from collections.abc import Iterable

from bulrushbend.share.ledger import Row
from bulrushbend.wire.fleet_pb2 import AccountRow


def pack_rows(rows: Iterable[Row]) -> list[AccountRow]:
    """Return the messages that carry `rows`."""
    return [
        AccountRow(
            service=row.service,
            agent=row.agent,
            incarnation=row.incarnation,
            team=row.team,
            sequence=row.sequence,
            served_ms=row.served_ms,
            reserve_ms=row.reserve_ms,
            running=row.running,
            waiting=row.waiting,
            start_level=row.start_level,
            weighted_ms=row.weighted_ms,
        )
        for row in rows
    ]


def unpack_rows(messages: Iterable[AccountRow], service: str) -> list[Row]:
    """Return the rows of `service` among `messages`."""
    return [
        Row(
            service=message.service,
            agent=message.agent,
            incarnation=message.incarnation,
            team=message.team,
            sequence=message.sequence,
            served_ms=message.served_ms,
            reserve_ms=message.reserve_ms,
            running=message.running,
            waiting=message.waiting,
            start_level=message.start_level,
            weighted_ms=message.weighted_ms,
        )
        for message in messages
        if message.service == service
    ]
