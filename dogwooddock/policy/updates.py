"""Queue of updates to send with gossip messages, and the byte budget of a sender."""

__all__ = ["ByteBudget", "UpdateQueue"]

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item")


@dataclass(slots=True)
class ByteBudget:
    """Token bucket that limits the bytes sent.

    Args:
        rate: Refill rate, in bytes per second.
        burst: Capacity, in bytes.
        spent: Bytes spent so far.
    """

    rate: float
    burst: float
    spent: int = 0
    _tokens: float = field(init=False)
    _refilled_at: float = -1.0

    def __post_init__(self) -> None:
        self._tokens = self.burst

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last call.

        Args:
            now: Monotonic time in seconds.
        """
        if self._refilled_at >= 0:
            earned = (now - self._refilled_at) * self.rate
            self._tokens = min(self.burst, self._tokens + earned)
        self._refilled_at = now

    def spend(self, size: int) -> None:
        """Take the tokens for a message; the balance may become negative.

        Args:
            size: Size of the message, in bytes.
        """
        self._tokens -= size
        self.spent += size

    def capacity(self, header_bytes: int, item_bytes: int) -> int:
        """Return how many items of a message with this header the tokens cover."""
        return max(0, int((self._tokens - header_bytes) / item_bytes))


@dataclass(slots=True)
class _Entry(Generic[Item]):
    item: Item
    copies_left: int


class UpdateQueue(Generic[Item]):
    """Updates that are each sent a number of times.

    Updates with the most copies left are sent first.
    """

    def __init__(self) -> None:
        self._entries: dict[Hashable, _Entry[Item]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, key: Hashable, item: Item, copies: int) -> None:
        """Queue an item, replacing a queued item with the same key.

        Args:
            key: Subject of the update.
            item: Update to send.
            copies: Number of messages to send it with.
        """
        self._entries[key] = _Entry(item, copies)

    def next_items(self, count: int) -> list[Item]:
        """Return up to ``count`` items and count one copy of each as sent."""
        chosen = heapq.nlargest(
            count, self._entries.items(), key=lambda pair: pair[1].copies_left
        )
        for key, entry in chosen:
            entry.copies_left -= 1
            if entry.copies_left <= 0:
                del self._entries[key]
        return [entry.item for _, entry in chosen]

    def clear(self) -> None:
        """Remove all items."""
        self._entries.clear()
