"""Call chains: context that a call inherits from the client request that caused it."""

__all__ = ["CallContext", "ChainTracker"]

import threading
from dataclasses import dataclass

from ..headers import new_trace_id
from ..policy.allowance import AllowanceLedger
from ..policy.levels import request_rank
from ..tables import Route
from .messages import CallerRequest

UNKNOWN_CHAIN_IMPORTANCE = 0


@dataclass(slots=True)
class CallContext:
    """Context of one call within its call chain.

    Args:
        trace_id: Trace id of the chain.
        importance: Importance of the client request.
        depth: Number of upstream calls in the chain; 0 if this call starts it.
        deadline: Monotonic deadline in seconds.
        allowance: Retries that this call may still use or pass on downstream.
        rank: Admission rank of the client request, in hundredths of an importance
            class.
    """

    trace_id: str
    importance: int
    depth: int
    deadline: float
    allowance: int
    rank: int


class ChainTracker:
    """Track calls of the chains in which the local target is working.

    Args:
        ledger: Retry allowances of the chains that the local target works on.
        lock: Lock that guards the ledger.
        edge_allowance: Retries that a new chain starts with.
    """

    def __init__(
        self, ledger: AllowanceLedger, lock: threading.Lock, edge_allowance: int
    ):
        self._ledger = ledger
        self._lock = lock
        self.edge_allowance = edge_allowance

    def begin(self, req: CallerRequest, route: Route, now: float) -> CallContext:
        """Return the context of a call.

        A router's call starts a new chain. A call of the local target continues the
        chain named by its trace id and takes a part of that chain's allowance.
        """
        deadline = now + self.wait_s(req, route)
        if req.local:
            return self._extend_chain(req, deadline)
        trace_id = new_trace_id()
        rank = request_rank(route.importance, req.trace_id or req.key or trace_id)
        return CallContext(
            trace_id, route.importance, 0, deadline, self.edge_allowance, rank
        )

    def wait_s(self, req: CallerRequest, route: Route) -> float:
        """Return the longest time that a caller waits, in seconds."""
        timeout_ms = route.timeout_ms
        if req.timeout_ms:
            timeout_ms = min(timeout_ms, req.timeout_ms)
        return timeout_ms / 1000

    def _extend_chain(self, req: CallerRequest, deadline: float) -> CallContext:
        with self._lock:
            entry = self._ledger.find(req.trace_id)
            if entry is None:
                return _unknown_chain(req, deadline)
            allowance = self._ledger.borrow(req.trace_id)
            self._ledger.begin_call(req.trace_id)
            return CallContext(
                req.trace_id,
                entry.importance,
                entry.depth + 1,
                min(deadline, entry.deadline),
                allowance,
                entry.rank,
            )

    def end(
        self, req: CallerRequest, context: CallContext, elapsed_s: float, failed: bool
    ) -> None:
        """Record that a call returned, and give back its unspent allowance."""
        if req.local:
            with self._lock:
                self._ledger.repay(req.trace_id, context.allowance)
                self._ledger.end_call(req.trace_id, elapsed_s, failed)

    def record_level(self, context: CallContext, level: int) -> None:
        """Record the admission level that a call of the local target encountered."""
        if not context.depth or not level:
            return
        with self._lock:
            entry = self._ledger.find(context.trace_id)
            if entry is not None:
                entry.downstream_level = max(entry.downstream_level, level)


def _unknown_chain(req: CallerRequest, deadline: float) -> CallContext:
    trace_id = req.trace_id or new_trace_id()
    rank = request_rank(UNKNOWN_CHAIN_IMPORTANCE, trace_id)
    return CallContext(trace_id, UNKNOWN_CHAIN_IMPORTANCE, 0, deadline, 0, rank)
