"""News to spread on gossip messages, within a byte budget."""

__all__ = ["ByteBudget", "NewsQueue"]

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item")


@dataclass(slots=True)
class ByteBudget:
    """Token bucket in bytes.

    Args:
        rate: Bytes earned per second.
        burst: Most bytes that can be saved up.
    """

    rate: float
    burst: float
    spent: int = 0
    _tokens: float = field(init=False)
    _refilled_at: float = -1.0

    def __post_init__(self) -> None:
        self._tokens = self.burst

    def refill(self, now: float) -> None:
        """Earn what is due since the last call."""
        if self._refilled_at >= 0:
            earned = (now - self._refilled_at) * self.rate
            self._tokens = min(self.burst, self._tokens + earned)
        self._refilled_at = now

    def spend(self, size: int) -> None:
        """Account for a message; the bucket may go below zero."""
        self._tokens -= size
        self.spent += size

    def room(self, header: int, item: int) -> int:
        """Return how many items of a size fit behind a header."""
        return max(0, int((self._tokens - header) / item))


@dataclass(slots=True)
class _Entry(Generic[Item]):
    item: Item
    left: int


class NewsQueue(Generic[Item]):
    """Items that each have to be sent a number of times, freshest first."""

    def __init__(self) -> None:
        self._entries: dict[Hashable, _Entry[Item]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, key: Hashable, item: Item, copies: int) -> None:
        """Queue an item; it replaces an older one of the same key."""
        self._entries[key] = _Entry(item, copies)

    def take(self, count: int) -> list[Item]:
        """Return up to a number of items and count one copy of each as sent."""
        chosen = heapq.nlargest(
            count, self._entries.items(), key=lambda pair: pair[1].left
        )
        for key, entry in chosen:
            entry.left -= 1
            if entry.left <= 0:
                del self._entries[key]
        return [entry.item for _, entry in chosen]

    def clear(self) -> None:
        """Forget everything."""
        self._entries.clear()
