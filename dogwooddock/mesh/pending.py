"""A request at the ingress that is not answered yet, and its rank."""

__all__ = ["CALLER_CLASSES", "PendingRequest", "chain_rank", "chain_standing"]

import asyncio
from dataclasses import dataclass, field

from ..http1.server import Exchange
from ..policy.levels import request_rank
from ..policy.outcomes import Outcome, Reason
from .calls import MeshCall, MeshReply
from .fleet import Sending
from .gatecalls import GateCall
from .routing import MeshRoute

CALLER_CLASSES = 5


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is not answered yet.

    Args:
        exchange: Where the answer goes.
        call: The call as it is sent; the target changes with each attempt.
        route: Its route.
        pool: Pool that it goes to.
        arrived_at: Loop time of its arrival, in seconds.
        unconfirmed: Attempts that no gate has said did not run.
        failure: A target's own failure, kept while another target is tried.
        parent: The call that the local target made it for, or None.
    """

    exchange: Exchange
    call: MeshCall
    route: MeshRoute
    pool: str
    arrived_at: float
    parent: GateCall | None = None
    sending: Sending | None = None
    timer: asyncio.TimerHandle | None = None
    tried: set[int] = field(default_factory=set)
    reached: int = 0
    free_resends: int = 0
    room_resends: int = 0
    unconfirmed: int = 0
    failure: MeshReply | None = None
    last: MeshReply = field(
        default_factory=lambda: MeshReply(Outcome.NOT_RUN, Reason.NO_TARGET)
    )
    done: bool = False

    @property
    def objective_at(self) -> float:
        """Return the loop time until which the answer is worth most, in seconds."""
        return self.arrived_at + self.route.objective_s


def chain_rank(route: MeshRoute, request_id: bytes, parent: GateCall | None) -> int:
    """Return the rank of a chain, which every hop of it keeps."""
    if parent is not None:
        return parent.call.rank
    importance, _ = chain_standing(route, None)
    return request_rank(importance, request_id.decode("latin-1"))


def chain_standing(route: MeshRoute, parent: GateCall | None) -> tuple[int, int]:
    """Return importance and depth of a request.

    Calls of a run that has begun go before new requests, since its work would be lost
    without them; among themselves both kinds keep the order of the caller's request.
    """
    if parent is None:
        return CALLER_CLASSES - 1 - min(route.priority, CALLER_CLASSES - 1), 0
    call = parent.call
    return CALLER_CLASSES + call.importance % CALLER_CLASSES, call.depth + 1
