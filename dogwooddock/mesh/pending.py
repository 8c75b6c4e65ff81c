"""State of an unanswered request at the ingress, and its rank and importance."""

__all__ = [
    "CALLER_CLASSES",
    "PendingRequest",
    "chain_rank",
    "importance_and_depth",
    "objective_end",
]

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..http1.server import Exchange
from ..policy.accounts import ClientAccount
from ..policy.heldbytes import MemoryClaim
from ..policy.levels import request_rank
from ..policy.outcomes import Outcome, Reason
from .calls import MeshCall, MeshReply
from .fleet import OutboundCall
from .gatecalls import GateCall
from .quotas import QuotaPermit
from .routing import MeshRoute

# Importance 0 to 4: requests of callers; 5 to 9: calls that running requests make.
CALLER_CLASSES = 5


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request at the ingress that is not answered yet.

    Args:
        exchange: HTTP exchange that receives the response.
        call: Call that is sent; its target changes with each attempt.
        route: Route of the request.
        pool: Pool that the request is sent to.
        arrived_at: Loop time of its arrival, in seconds.
        parent: Running call of the local target that made the request, or None.
        outbound: Attempt that waits for its reply, or None.
        timer: Timer that ends the request after its deadline.
        tried: Ids of the nodes that it was sent to.
        last_node: Id of the node that it was sent to last, or None.
        reached: Attempts that may have reached a target.
        free_resends: Resends after refusals unrelated to load, not charged to the
            retry budget.
        overload_resends: Resends after refusals for load or deadline.
        turned_away: Attempts that reached a target and were turned away, not run.
        may_try_again: Ids of the nodes whose targets turned it away, or closed a
            kept connection, since the last choice among all targets.
        unconfirmed: Attempts that no gate has reported as not run.
        fallback: Last answer of a target, delivered if no later attempt gets one.
        last_reply: Reply to the last attempt.
        done: Whether the request is answered or its caller has disconnected.
        account: Account whose key it carries, or None.
        permit: Its token of the quota, or None.
        withdraw: Withdraws it while it waits for a token, else None.
        answer_claim: Memory claimed for its answer, or None.
        answer_timers: Timers of its wait for this memory.
    """

    exchange: Exchange
    call: MeshCall
    route: MeshRoute
    pool: str
    arrived_at: float
    parent: GateCall | None = None
    outbound: OutboundCall | None = None
    timer: asyncio.TimerHandle | None = None
    tried: set[int] = field(default_factory=set)
    last_node: int | None = None
    reached: int = 0
    free_resends: int = 0
    overload_resends: int = 0
    turned_away: int = 0
    may_try_again: set[int] = field(default_factory=set)
    unconfirmed: int = 0
    fallback: MeshReply | None = None
    last_reply: MeshReply = field(
        default_factory=lambda: MeshReply(Outcome.NOT_RUN, Reason.NO_TARGET)
    )
    done: bool = False
    account: ClientAccount | None = None
    permit: QuotaPermit | None = None
    withdraw: Callable[[], None] | None = None
    answer_claim: MemoryClaim | None = None
    answer_timers: tuple[asyncio.TimerHandle, ...] = ()

    @property
    def objective_at(self) -> float:
        """Return the loop time at which the latency objective ends, in seconds."""
        return self.arrived_at + self.route.objective_s

    @property
    def may_run_once(self) -> bool:
        """Report whether it was passed on, may have run, and may not be repeated."""
        return not self.route.idempotent and self.unconfirmed > 0

    def record_turned_away(self) -> None:
        """Record that the target of the last attempt turned it away, not run."""
        self.turned_away += 1
        self.allow_same_target()

    def allow_same_target(self) -> None:
        """Let the target of the last attempt be tried again once no other is left."""
        if self.last_node is not None:
            self.may_try_again.add(self.last_node)


def chain_rank(
    route: MeshRoute,
    request_id: bytes,
    parent: GateCall | None,
    account: ClientAccount | None,
) -> int:
    """Return the rank of a request; a call has the rank of its parent."""
    if parent is not None:
        return parent.call.rank
    importance, _ = importance_and_depth(route, None, account)
    return request_rank(importance, request_id.decode("latin-1"))


def objective_end(
    route: MeshRoute, arrived_at: float, parent: GateCall | None
) -> float:
    """Return the loop time after which the answer to a request is late, in seconds.

    A call of a running request is of no use after the request's own objective.
    """
    end = arrived_at + route.objective_s
    if parent is None or parent.call.objective is None:
        return end
    return min(end, parent.call.objective)


def importance_and_depth(
    route: MeshRoute, parent: GateCall | None, account: ClientAccount | None
) -> tuple[int, int]:
    """Return the importance and depth of a request.

    Calls that a running request makes have precedence over new requests, because
    refusing them wastes the work done so far. Within each group the order follows the
    priority of the chain's first request: its account's, or else its route's.
    """
    if parent is None:
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return CALLER_CLASSES - 1 - min(priority, CALLER_CLASSES - 1), 0
    call = parent.call
    return CALLER_CLASSES + call.importance % CALLER_CLASSES, call.depth + 1
