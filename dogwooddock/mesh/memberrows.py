"""Merging of the rows of nodes into the table of members."""

__all__ = ["MemberRows", "MergedRows"]

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import structlog

from ..policy.quarantine import Mark
from .calls import NodeRecord
from .marks import MarkExchange
from .members import MemberTable, position_of
from .recordrows import MalformedRecord, decode_marks, decode_record, record_key
from .rows import Row, RowStore

MAX_LOGGED_CHARS = 200

log = structlog.get_logger()


@dataclass(slots=True)
class MergedRows:
    """What rows of nodes held; records by whether their positions were known before.

    Args:
        earlier: Records up to the position that this node was at.
        later: Records of later positions.
        marks: Marks that were new to this node.
    """

    earlier: list[NodeRecord] = field(default_factory=list)
    later: list[NodeRecord] = field(default_factory=list)
    marks: tuple[Mark, ...] = ()


class MemberRows:
    """Decode and merge the rows that nodes write.

    Args:
        store: The store, whose era rows belong to.
        members: Table of the known nodes.
        merge_records: Merges records into the table.
        marks: Learns the marks in the rows.
    """

    def __init__(
        self,
        store: RowStore,
        members: MemberTable,
        merge_records: Callable[[Iterable[NodeRecord]], None],
        marks: MarkExchange,
    ):
        self._store = store
        self._members = members
        self._merge_records = merge_records
        self._marks = marks

    def merge(self, rows: tuple[Row, ...], version: int) -> MergedRows:
        """Merge rows of nodes; malformed ones are logged and skipped.

        So are those that name another node than their key does, which that node has
        not written.

        Args:
            rows: Rows of the store.
            version: Version of the store up to which these are all changes; 0 for rows
                of one zone, which tell nothing of the other zones.
        """
        merged = MergedRows()
        marks: list[Mark] = []
        for row in rows:
            if row.removed:
                continue
            try:
                self._add_record(row, merged)
                marks += decode_marks(row.value)
            except MalformedRecord as exc:
                cause = " ".join(str(exc).split())[:MAX_LOGGED_CHARS]
                log.warning("record_malformed", key=row.key[:80], error=cause)
        self._merge_records(merged.earlier + merged.later)
        if version:
            changed = [record.address for record in merged.later]
            position = position_of(self._store.era, version)
            self._members.advance_by(position, changed)
        merged.marks = self._marks.learn(marks, "store")
        return merged

    def _add_record(self, row: Row, merged: MergedRows) -> None:
        record = decode_record(row.value)
        if row.key != record_key(record.address):
            raise MalformedRecord(
                f"row names {record_key(record.address)}, another node; remove it"
            )
        position = position_of(self._store.era, row.version)
        is_later = position > self._members.position
        (merged.later if is_later else merged.earlier).append(record)
