"""Which records of nodes changed since a position of the store.

A node that asks a peer for what it lacks gets these records instead of all: the answer
grows with the changes and not with the fleet. Load: nodes of a large fleet restart or
drain one after the other, and each change is fetched by every node.
"""

__all__ = ["RecordLog"]

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

Address = tuple[str, int]

MAX_LOGGED_RECORDS = 2048


@dataclass(frozen=True, slots=True)
class _Entry:
    """Records that changed after the entry before and up to a position."""

    until: int
    addresses: frozenset[Address]


class RecordLog:
    """Remember the latest changes without a gap, up to ``MAX_LOGGED_RECORDS``."""

    def __init__(self) -> None:
        self._start = 0
        self._entries: deque[_Entry] = deque()
        self._size = 0

    @property
    def _end(self) -> int:
        return self._entries[-1].until if self._entries else self._start

    def note(self, since: int, until: int, addresses: Iterable[Address]) -> None:
        """Note that no other records changed after a position up to a later one.

        Args:
            since: Position after which all changes are named.
            until: Position up to which they are.
            addresses: Addresses of the nodes whose records changed.
        """
        if until <= self._end:
            return
        if since > self._end:
            self.restart(until)
            return
        entry = _Entry(until, frozenset(addresses))
        self._entries.append(entry)
        self._size += len(entry.addresses)
        while self._size > MAX_LOGGED_RECORDS:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        oldest = self._entries.popleft()
        self._start = oldest.until
        self._size -= len(oldest.addresses)

    def restart(self, position: int) -> None:
        """Forget all changes, since those up to a position are not known in full."""
        self._start = position
        self._entries.clear()
        self._size = 0

    def changed_since(self, position: int) -> set[Address] | None:
        """Return whose records changed after a position; None if that is not known."""
        if position < self._start:
            return None
        changed: set[Address] = set()
        for entry in reversed(self._entries):
            if entry.until <= position:
                break
            changed |= entry.addresses
        return changed
