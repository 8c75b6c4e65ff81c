"""Retry allowance of a client request, shared by all calls of its chain."""

__all__ = ["EDGE_ALLOWANCE", "AllowanceLedger", "ChainEntry"]

from dataclasses import dataclass, field

EDGE_ALLOWANCE = 2


@dataclass(slots=True)
class ChainEntry:
    """State of one call chain at a node while its target works on it.

    Args:
        available: Retries that this node may still use or lend.
        importance: Importance of the client request.
        depth: Number of upstream calls in the chain.
        deadline: Monotonic deadline in seconds.
        rank: Rank of the client request, in hundredths of an importance class.
        downstream_s: Time that the target spent on downstream calls, in seconds.
        downstream_level: Highest admission level reported by downstream gates, in
            hundredths of an importance class.
        downstream_failed: Whether a downstream call failed or was refused.
        outstanding: Downstream calls that have not returned.
        open_attempts: Attempts of the chain that run on the target.
    """

    available: int
    importance: int
    depth: int
    deadline: float
    rank: int = 0
    downstream_s: float = 0.0
    downstream_level: int = 0
    downstream_failed: bool = False
    outstanding: int = 0
    open_attempts: int = 1

    @property
    def downstream_at_fault(self) -> bool:
        """Report whether a failure of the target is due to a downstream call."""
        return self.downstream_failed or self.outstanding > 0


@dataclass
class AllowanceLedger:
    """Account for the retry allowance of every chain that the local target works on.

    The total over all nodes of a chain never grows: what a downstream call borrows is
    taken from the entry, the unspent part is added again when the reply arrives, and
    what a lost call had borrowed counts as spent.
    """

    _entries: dict[str, ChainEntry] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._entries)

    def open(
        self,
        trace_id: str,
        allowance: int,
        importance: int,
        depth: int,
        deadline: float,
        rank: int = 0,
    ) -> ChainEntry:
        """Add an attempt that is about to be dispatched to the entry of its chain.

        A second attempt of a chain adds its allowance to that of the first.
        """
        entry = self._entries.get(trace_id)
        if entry is None:
            entry = ChainEntry(allowance, importance, depth, deadline, rank)
            self._entries[trace_id] = entry
            return entry
        entry.available += allowance
        entry.open_attempts += 1
        entry.depth = max(entry.depth, depth)
        return entry

    def find(self, trace_id: str) -> ChainEntry | None:
        """Return the entry of a chain, or None."""
        return self._entries.get(trace_id)

    def borrow(self, trace_id: str, upper: int = EDGE_ALLOWANCE) -> int:
        """Take half of a chain's allowance, rounded up, but at most ``upper``."""
        entry = self._entries.get(trace_id)
        if entry is None or entry.available <= 0:
            return 0
        borrowed = min(upper, (entry.available + 1) // 2)
        entry.available -= borrowed
        return borrowed

    def repay(self, trace_id: str, unspent: int) -> None:
        """Return unspent allowance to a chain; ignored if the chain is closed."""
        entry = self._entries.get(trace_id)
        if entry is not None:
            entry.available += unspent

    def begin_call(self, trace_id: str) -> None:
        """Account for a downstream call that begins."""
        entry = self._entries.get(trace_id)
        if entry is not None:
            entry.outstanding += 1

    def end_call(self, trace_id: str, elapsed_s: float, failed: bool) -> None:
        """Account for a downstream call that returned."""
        entry = self._entries.get(trace_id)
        if entry is not None:
            entry.outstanding -= 1
            entry.downstream_s += elapsed_s
            entry.downstream_failed = entry.downstream_failed or failed

    def close(self, trace_id: str) -> int:
        """End one attempt of a chain and return its unspent allowance.

        Returns 0 while other attempts of the chain are open; the last one returns
        the allowance of all of them.
        """
        entry = self._entries.get(trace_id)
        if entry is None:
            return 0
        entry.open_attempts -= 1
        if entry.open_attempts > 0:
            return 0
        del self._entries[trace_id]
        return entry.available
