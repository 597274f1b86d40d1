"""Relay of accounting rows between the agents of one service.

Rows are not interpreted: of each (agent, incarnation, team) the row with the highest
sequence is kept. Accounting so survives the loss of any agent's other connections.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from bulrushbend.wire.record_groups import AgentRecord

_RowName = tuple[str, int, str]


@dataclass(frozen=True)
class _KeptRow:
    row: AgentRecord
    change: int
    source: str


class RowRelay:
    """Newest rows of one service, in the order of their change.

    Parameters
    ----------
    service : str
        Rows of other services are dropped.
    """

    def __init__(self, service: str):
        self._service = service
        self._rows: OrderedDict[_RowName, _KeptRow] = OrderedDict()
        self._change = 0

    @property
    def change(self) -> int:
        """Number of the latest change, a cursor for `changed_after`."""
        return self._change

    def __len__(self) -> int:
        return len(self._rows)

    def learn(self, rows: Iterable[AgentRecord], source: str) -> bool:
        """Keep the rows that are newer than the known ones.

        Parameters
        ----------
        rows : iterable of AccountingRecord
            Rows from an agent.
        source : str
            Name of the agent that sent them.

        Returns
        -------
        bool
            Whether any row was newer.
        """
        before = self._change
        for row in rows:
            if row.service == self._service:
                self._keep(row, source)
        return self._change > before

    def changed_after(self, cursor: int, reader: str) -> list[AgentRecord]:
        """Return the rows that changed after `cursor`, oldest change first.

        Parameters
        ----------
        cursor : int
            Earlier value of `change`, 0 for all rows.
        reader : str
            Agent that will receive the rows; what it sent itself is left out.
        """
        changed: list[AgentRecord] = []
        for kept in reversed(self._rows.values()):
            if kept.change <= cursor:
                break
            if kept.source != reader:
                changed.append(kept.row)
        changed.reverse()
        return changed

    def _keep(self, row: AgentRecord, source: str) -> None:
        name = row.key
        known = self._rows.get(name)
        if known is not None and known.row.sequence >= row.sequence:
            return
        self._change += 1
        self._rows[name] = _KeptRow(row, self._change, source)
        self._rows.move_to_end(name)
