"""Table of the known nodes of the fleet and the pools of their targets."""

__all__ = [
    "MAX_ERA",
    "VERSION_BITS",
    "MemberTable",
    "era_of",
    "position_of",
    "version_of",
]

from collections.abc import Callable, Iterable

from ..policy.lifetimes import TargetState
from ..policy.recordlog import RecordLog
from .calls import NodeRecord

Address = tuple[str, int]


# Bits of a position below the store's era; more than its versions need.
VERSION_BITS = 40
# Links carry positions in 64 bits, of which one is the sign.
MAX_ERA = (1 << 63 - VERSION_BITS) - 1


def position_of(era: int, version: int) -> int:
    """Return a number that orders versions of the store over all its eras."""
    return era << VERSION_BITS | version


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> VERSION_BITS


def version_of(position: int) -> int:
    """Return the version of a position within its era."""
    return position & ((1 << VERSION_BITS) - 1)


class MemberTable:
    """Merge node records from the store and from peers, keeping the newest per node.

    Args:
        on_change: Called with each pool whose records changed.
        on_target_replaced: Called with the last record of a target that was ready when
            a later lifetime followed.

    ``position`` is the position of the store up to which its records are known.
    """

    def __init__(
        self,
        on_change: Callable[[str], None],
        on_target_replaced: Callable[[NodeRecord], None],
    ):
        self._on_change = on_change
        self._on_target_replaced = on_target_replaced
        self._records: dict[Address, NodeRecord] = {}
        self._log = RecordLog()
        self.position = 0

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

    def advance(self, position: int) -> None:
        """Record that the store's records are known up to a position.

        Which of them changed since the position before is not known.
        """
        if position > self.position:
            self.position = position
            self._log.restart(position)

    def advance_by(self, position: int, changed: Iterable[Address]) -> None:
        """Record that the store's records are known up to a position.

        Args:
            position: Position of the store, its era and version.
            changed: Addresses of the nodes whose records may have changed since
                ``self.position``; all others have not.
        """
        if position > self.position:
            self._log.note(self.position, position, changed)
            self.position = position

    def advance_between(
        self, since: int, until: int, changed: Iterable[Address]
    ) -> None:
        """Record that all changes between two positions are known.

        Nothing follows from it if changes before the first one are missing.

        Args:
            since: Position after which all changes are known.
            until: Position up to which they are.
            changed: Addresses of the nodes whose records changed in between.
        """
        if self.position >= since:
            self.advance_by(until, changed)

    def changed_since(self, position: int) -> list[NodeRecord]:
        """Return the records that a node lacks that knows those up to a position.

        These are all records if it knows none, or if it is not known which changed.
        """
        if position >= self.position:
            return []
        changed = self._log.changed_since(position) if version_of(position) else None
        if changed is None:
            return self.all_records()
        return [self._records[each] for each in changed if each in self._records]

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
