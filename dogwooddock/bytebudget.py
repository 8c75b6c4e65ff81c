"""Budget of bytes that the threads of a process share."""

__all__ = ["ByteBudget", "body_budget_bytes"]

import threading

MEGABYTE = 1_000_000
# Memory of a node that holds no bodies, with the stacks of its threads.
BASE_MB = 112.0
# Memory taken for each byte of a body: copies in frames, and in buffers of sockets.
COST_FACTOR = 3.0


def body_budget_bytes(memory_mb: float) -> int:
    """Return the bytes of bodies that a process may hold, from its memory limit."""
    return int((memory_mb - BASE_MB) / COST_FACTOR * MEGABYTE)


class ByteBudget:
    """Let threads hold bytes while their sum stays within a limit.

    Args:
        limit_bytes: The limit, in bytes. A single claim beyond it is granted once
            nothing else is held.
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._held = 0
        self._freed = threading.Condition()

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held."""
        return self._held

    def acquire(self, size: int, timeout_s: float, owned: int = 0) -> bool:
        """Hold bytes; return False if there is no room for them in time.

        Args:
            size: Number of bytes.
            timeout_s: Longest wait, in seconds.
            owned: Bytes that the caller holds already.
        """
        with self._freed:
            granted = self._freed.wait_for(lambda: self._fits(size, owned), timeout_s)
            if granted:
                self._held += size
            return granted

    def _fits(self, size: int, owned: int) -> bool:
        return self._held == owned or self._held + size <= self._limit_bytes

    def release(self, size: int) -> None:
        """Free bytes that are held."""
        with self._freed:
            self._held -= size
            self._freed.notify_all()
