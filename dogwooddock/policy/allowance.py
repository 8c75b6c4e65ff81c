"""Conserved retry allowance of a client request across its call chain."""

__all__ = ["EDGE_ALLOWANCE", "AllowanceLedger", "ChainEntry"]

from dataclasses import dataclass, field

EDGE_ALLOWANCE = 2


@dataclass(slots=True)
class ChainEntry:
    """What a node holds for one chain while its target works on it.

    Args:
        available: Retries that this node may still use or lend.
        importance: Importance of the client request.
        depth: Calls above the target in the chain.
        deadline: Monotonic deadline in seconds.
        rank: Rank of the client request, in hundredths of a class.
        downstream_s: Time that the target spent waiting for its own calls.
        downstream_level: Highest admission level met below, in hundredths.
        failed_below: Whether a call below failed or was refused.
        outstanding: Calls below that have not returned.
    """

    available: int
    importance: int
    depth: int
    deadline: float
    rank: int = 0
    downstream_s: float = 0.0
    downstream_level: int = 0
    failed_below: bool = False
    outstanding: int = 0
    holders: int = 1

    @property
    def blames_below(self) -> bool:
        """Report whether a failure now would be the fault of a call below."""
        return self.failed_below or self.outstanding > 0


@dataclass
class AllowanceLedger:
    """Keep the allowance of every chain that the local target works on.

    An allowance is conserved: what is lent to a call leaves the entry, what the
    reply returns comes back, and what is lent on a lost call counts as spent.
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
        """Record a chain whose attempt is about to be dispatched."""
        entry = self._entries.get(trace_id)
        if entry is None:
            entry = ChainEntry(allowance, importance, depth, deadline, rank)
            self._entries[trace_id] = entry
            return entry
        entry.available += allowance
        entry.holders += 1
        entry.depth = max(entry.depth, depth)
        return entry

    def find(self, trace_id: str) -> ChainEntry | None:
        """Return the entry of a chain, or None."""
        return self._entries.get(trace_id)

    def borrow(self, trace_id: str, upper: int = EDGE_ALLOWANCE) -> int:
        """Take up to half of a chain's allowance, rounded up."""
        entry = self._entries.get(trace_id)
        if entry is None or entry.available <= 0:
            return 0
        taken = min(upper, (entry.available + 1) // 2)
        entry.available -= taken
        return taken

    def repay(self, trace_id: str, unspent: int) -> None:
        """Return what a call did not spend; a closed chain keeps nothing."""
        entry = self._entries.get(trace_id)
        if entry is not None:
            entry.available += unspent

    def enter(self, trace_id: str) -> None:
        """Account for a call below that begins."""
        entry = self._entries.get(trace_id)
        if entry is not None:
            entry.outstanding += 1

    def leave(self, trace_id: str, elapsed_s: float, failed: bool) -> None:
        """Account for a call below that returned."""
        entry = self._entries.get(trace_id)
        if entry is not None:
            entry.outstanding -= 1
            entry.downstream_s += elapsed_s
            entry.failed_below = entry.failed_below or failed

    def close(self, trace_id: str) -> int:
        """End one attempt of a chain and return what is unspent."""
        entry = self._entries.get(trace_id)
        if entry is None:
            return 0
        entry.holders -= 1
        if entry.holders > 0:
            return 0
        del self._entries[trace_id]
        return entry.available
