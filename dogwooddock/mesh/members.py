"""Table of the known nodes of the fleet and the pools of their targets."""

__all__ = ["MemberTable"]

from collections.abc import Callable, Iterable

from ..policy.lifetimes import TargetState
from .calls import NodeRecord

Address = tuple[str, int]


class MemberTable:
    """Merge node records from the store and from peers, keeping the newest per node.

    Args:
        on_change: Called with each pool whose records changed.
        on_target_replaced: Called with the last record of a target that was ready when
            a later lifetime followed.
    """

    def __init__(
        self,
        on_change: Callable[[str], None],
        on_target_replaced: Callable[[NodeRecord], None],
    ):
        self._on_change = on_change
        self._on_target_replaced = on_target_replaced
        self._records: dict[Address, NodeRecord] = {}
        self.version = 0

    def __len__(self) -> int:
        return len(self._records)

    def merge(self, records: Iterable[NodeRecord]) -> None:
        """Merge records; the result does not depend on order or repetition."""
        changed: set[str] = set()
        for record in records:
            known = self._records.get(record.address)
            if known is not None and not record.supersedes(known):
                continue
            self._records[record.address] = record
            changed.add(record.pool)
            if known is not None:
                changed.add(known.pool)
                ended = known.born_ms != record.born_ms
                if ended and known.state is TargetState.READY:
                    self._on_target_replaced(known)
        for pool in changed:
            self._on_change(pool)

    def find(self, address: Address) -> NodeRecord | None:
        """Return the record of a node, or None."""
        return self._records.get(address)

    def all_records(self) -> list[NodeRecord]:
        """Return every record."""
        return list(self._records.values())

    def ready_records(self, pool: str) -> list[NodeRecord]:
        """Return the records of a pool whose targets accept new work."""
        return [
            record
            for record in self._records.values()
            if record.pool == pool and record.state is TargetState.READY
        ]
