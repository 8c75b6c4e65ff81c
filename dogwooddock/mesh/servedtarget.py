"""The local target that a gate serves, with its connections and its rate limit."""

__all__ = ["ServedTarget"]

import asyncio
from collections.abc import Callable

from ..policy.heldbytes import HeldBytes
from ..policy.outcomes import Reason
from ..policy.ratelimit import RateLimit
from .calls import MeshCall
from .gatecalls import GateTarget
from .losswatch import LossWatch
from .marks import MarkExchange
from .targetconnections import TargetConnections
from .targetlimit import TargetRateLimit
from .wireformat import TargetAnswer


class ServedTarget:
    """Hold the target that is served, until it has ended or is withdrawn.

    Args:
        node_id: This node.
        marks: Requests that made targets crash.
        rate: Rate limit that admission applies.
        refuse_waiting: Called with the reason when calls can no longer be sent.
        memory: Budget for its answers; None for no limit.
    """

    def __init__(
        self,
        node_id: int,
        marks: MarkExchange,
        rate: RateLimit,
        refuse_waiting: Callable[[Reason], None],
        memory: HeldBytes | None = None,
    ):
        self._loop = asyncio.get_running_loop()
        self._refuse_waiting = refuse_waiting
        self.current: GateTarget | None = None
        self.ended = False
        self.rate = rate
        self._rate_limit = TargetRateLimit(rate)
        self.connections = TargetConnections(memory)
        self.on_ended: Callable[[], None] = lambda: None
        self.on_leaving: Callable[[str], None] = lambda target_id: None
        self.losses = LossWatch(node_id, self.connections, self._end, marks.record_loss)

    @property
    def usable(self) -> bool:
        """Report whether there is a target that has not ended."""
        return self.current is not None and not self.ended

    def serve(self, target: GateTarget) -> bool:
        """Replace the target; return False if it is the present one.

        A target that has ended is served again as a new lifetime.
        """
        current = self.current
        if current == target and not self.ended:
            return False
        changed = current is None or current.lifetime != target.lifetime
        if changed and current is not None and not self.ended:
            self.losses.target_ended()
        if changed or self.ended:
            self.connections.set_target(target.address)
            self.losses.watch(target.born_ms)
            self._rate_limit.reset(self._loop.time(), target.target_id)
        self.current = target
        self.ended = False
        return True

    def withdraw(self) -> None:
        """Send the target no more calls; running ones continue."""
        self.current = None
        self._refuse_waiting(Reason.DRAINING)

    def _end(self) -> None:
        """Send no calls until a target is served again."""
        if self.current is None or self.ended:
            return
        self.ended = True
        self._refuse_waiting(Reason.TARGET_UNREACHABLE)
        self.on_ended()

    def serves(self, call: MeshCall) -> bool:
        """Report whether the target of a call is the present one."""
        return self.current is not None and self.current.target_id == call.target_id

    def adopt_rate(self, call: MeshCall) -> None:
        """Follow the rate limit that the sender of a call knows of."""
        if self.serves(call):
            self._rate_limit.adopt(self._loop.time(), call.target_id, call.rate_limit)

    def follow(self, answer: TargetAnswer) -> None:
        """Follow the rate limit and the leaving that an answer states."""
        target = self.current
        if target is None:
            return
        self._rate_limit.follow(self._loop.time(), target.target_id, answer)
        if answer.leaving:
            self.on_leaving(target.target_id)
