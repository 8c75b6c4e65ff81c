"""State of a request while the ingress runs it."""

__all__ = ["PendingRequest"]

from dataclasses import dataclass, field

from ..peers.wire.ttypes import Attempt, Reply
from ..policy.outcomes import Reason
from ..tables import Route
from .chains import CallContext
from .messages import CallerRequest


@dataclass(slots=True)
class PendingRequest:
    """A request that the ingress runs.

    Args:
        req: The caller's request.
        route: Route that it matches.
        context: Context within its call chain.
        attempt: Latest attempt, or the first one before it is sent.
        tried: Nodes to which an attempt was sent.
        current: Node and identifier of the latest attempt.
        cancelled: Whether the caller has disconnected.
        key_base: Row version from which the next attempt claims the key.
        ticket: Ticket in the latest reply, for the caller's next request.
        may_have_run: Whether an attempt may have reached a target.
        reply: Reply to the latest attempt; None if there was none or it was lost.
        reason: Why the latest attempt was not answered, or empty.
    """

    req: CallerRequest
    route: Route
    context: CallContext
    attempt: Attempt
    tried: set[int] = field(default_factory=set)
    current: tuple[int, str] | None = None
    cancelled: bool = False
    key_base: int = 0
    ticket: str = ""
    may_have_run: bool = False
    reply: Reply | None = None
    reason: Reason = Reason.NO_TARGET
