"""Chains of calls: what a call inherits from the client request above it."""

__all__ = ["Chain", "Chains"]

import threading
from dataclasses import dataclass

from ..headers import new_trace_id
from ..policy.allowance import AllowanceLedger
from ..policy.levels import request_rank
from ..tables import Route
from .messages import CallerRequest

UNKNOWN_CHAIN_IMPORTANCE = 0


@dataclass(slots=True)
class Chain:
    """Place of one call in its chain.

    Args:
        trace_id: Trace id of the chain.
        importance: Importance of the client request.
        depth: Calls above this one.
        deadline: Monotonic deadline in seconds.
        allowance: Retries that this call may still use or lend.
        rank: Rank of the client request, in hundredths of a class.
    """

    trace_id: str
    importance: int
    depth: int
    deadline: float
    allowance: int
    rank: int


class Chains:
    """Begin and end calls in the chains that this node knows.

    Args:
        ledger: Allowances of the chains that the local target works on.
        lock: Lock that guards the ledger.
        edge_allowance: Retries that a new chain gets.
    """

    def __init__(
        self, ledger: AllowanceLedger, lock: threading.Lock, edge_allowance: int
    ):
        self._ledger = ledger
        self._lock = lock
        self.edge_allowance = edge_allowance

    def begin(self, req: CallerRequest, route: Route, now: float) -> Chain:
        """Return the place of a call; a router's call begins a new chain."""
        timeout_ms = route.timeout_ms
        if req.timeout_ms:
            timeout_ms = min(timeout_ms, req.timeout_ms)
        deadline = now + timeout_ms / 1000
        if req.local:
            return self._continue(req, deadline)
        trace_id = new_trace_id()
        rank = request_rank(route.importance, req.trace_id or req.key or trace_id)
        return Chain(trace_id, route.importance, 0, deadline, self.edge_allowance, rank)

    def _continue(self, req: CallerRequest, deadline: float) -> Chain:
        with self._lock:
            entry = self._ledger.find(req.trace_id)
            if entry is None:
                return _unknown_chain(req, deadline)
            allowance = self._ledger.borrow(req.trace_id)
            self._ledger.begin_call(req.trace_id)
            return Chain(
                req.trace_id,
                entry.importance,
                entry.depth + 1,
                min(deadline, entry.deadline),
                allowance,
                entry.rank,
            )

    def end(
        self, req: CallerRequest, chain: Chain, elapsed_s: float, failed: bool
    ) -> None:
        """Account for a call that returned, with its unspent allowance."""
        if req.local:
            with self._lock:
                self._ledger.repay(req.trace_id, chain.allowance)
                self._ledger.end_call(req.trace_id, elapsed_s, failed)

    def note_level(self, chain: Chain, level: int) -> None:
        """Remember an admission level met below the local target."""
        if not chain.depth or not level:
            return
        with self._lock:
            entry = self._ledger.find(chain.trace_id)
            if entry is not None:
                entry.downstream_level = max(entry.downstream_level, level)


def _unknown_chain(req: CallerRequest, deadline: float) -> Chain:
    trace_id = req.trace_id or new_trace_id()
    rank = request_rank(UNKNOWN_CHAIN_IMPORTANCE, trace_id)
    return Chain(trace_id, UNKNOWN_CHAIN_IMPORTANCE, 0, deadline, 0, rank)
