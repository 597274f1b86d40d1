"""Relay of accounting records between the agents of one service.

The router does not interpret the records. For each (agent, incarnation, team) it keeps
the record with the highest sequence number, so that accounting continues when an agent
loses its connections to other routers.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from bulrushbend.wire.record_groups import AgentRecord

_RecordKey = tuple[str, int, str]


@dataclass(frozen=True)
class _StoredRecord:
    record: AgentRecord
    revision: int
    source: str


class AccountingRelay:
    """Latest accounting records of one service, in the order of their change.

    Parameters
    ----------
    service : str
        Service of the records; those of other services are dropped.
    """

    def __init__(self, service: str):
        self._service = service
        self._records: OrderedDict[_RecordKey, _StoredRecord] = OrderedDict()
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision of the latest change, a cursor for `changed_after`."""
        return self._revision

    def __len__(self) -> int:
        return len(self._records)

    def update(self, records: Iterable[AgentRecord], source: str) -> bool:
        """Store the records that are newer than the stored ones.

        Parameters
        ----------
        records : iterable of AgentRecord
            Records received from an agent.
        source : str
            Name of the agent that sent them.

        Returns
        -------
        bool
            Whether any record was newer.
        """
        before = self._revision
        for record in records:
            if record.service == self._service:
                self._store_if_newer(record, source)
        return self._revision > before

    def changed_after(self, cursor: int, receiver: str) -> list[AgentRecord]:
        """Return the records that changed after `cursor`, oldest change first.

        Parameters
        ----------
        cursor : int
            Earlier value of `revision`, 0 for all records.
        receiver : str
            Agent that will receive the records; those that it sent are omitted.
        """
        changed: list[AgentRecord] = []
        for kept in reversed(self._records.values()):
            if kept.revision <= cursor:
                break
            if kept.source != receiver:
                changed.append(kept.record)
        changed.reverse()
        return changed

    def _store_if_newer(self, record: AgentRecord, source: str) -> None:
        name = record.key
        known = self._records.get(name)
        if known is not None and known.record.sequence >= record.sequence:
            return
        self._revision += 1
        self._records[name] = _StoredRecord(record, self._revision, source)
        self._records.move_to_end(name)
