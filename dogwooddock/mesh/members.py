"""The nodes that this node knows, by the pool of their target."""

__all__ = ["MemberTable"]

from collections.abc import Callable, Iterable

from ..policy.lifetimes import TargetState
from .calls import NodeRecord

Address = tuple[str, int]


class MemberTable:
    """Merge node records from the store and from peers; the newest one counts.

    Args:
        on_change: Called with each pool whose usable members changed.
    """

    def __init__(self, on_change: Callable[[str], None]):
        self._on_change = on_change
        self._records: dict[Address, NodeRecord] = {}
        self.version = 0

    def __len__(self) -> int:
        return len(self._records)

    def merge(self, records: Iterable[NodeRecord]) -> None:
        """Take records, in any order and any number of times."""
        changed: set[str] = set()
        for record in records:
            held = self._records.get(record.address)
            if held is not None and not record.supersedes(held):
                continue
            self._records[record.address] = record
            changed.add(record.pool)
            if held is not None:
                changed.add(held.pool)
        for pool in changed:
            self._on_change(pool)

    def find(self, address: Address) -> NodeRecord | None:
        """Return the record of a node, or None."""
        return self._records.get(address)

    def everyone(self) -> list[NodeRecord]:
        """Return every record."""
        return list(self._records.values())

    def ready(self, pool: str) -> list[NodeRecord]:
        """Return the records of a pool whose targets take new work."""
        return [
            record
            for record in self._records.values()
            if record.pool == pool and record.state is TargetState.READY
        ]
