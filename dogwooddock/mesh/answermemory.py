"""Memory for the answers of requests, which begin once there is room for them."""

__all__ = ["AnswerMemory"]

import asyncio
from collections.abc import Callable

from ..policy.heldbytes import SMALL_BODY_BYTES, AnswerSizes, Held, HeldBytes
from ..policy.outcomes import Reason
from .pending import PendingRequest

# Share of the latency objective for which a request may wait for memory.
MAX_WAIT_SHARE = 0.3
# Longest wait before the size of any answer of the route is known.
UNKNOWN_SIZE_WAIT_S = 0.1


class AnswerMemory:
    """Begin requests once there is memory for their answers.

    Args:
        memory: Budget for bodies.
        begin: Starts the first attempt of a request.
        give_up: Refuses a request, which was sent nowhere.
    """

    def __init__(
        self,
        memory: HeldBytes,
        begin: Callable[[PendingRequest], None],
        give_up: Callable[[PendingRequest, Reason], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._memory = memory
        self._begin = begin
        self._give_up = give_up
        self._sizes = AnswerSizes()

    def start(self, pending: PendingRequest) -> None:
        """Begin a request now, or once there is memory for its answer.

        Calls of a request that runs already begin in any case.
        """
        size = self._sizes.expected(pending.route.name)
        if size <= SMALL_BODY_BYTES or pending.parent is not None:
            self._begin(pending)
        else:
            self._claim(pending, size)

    def record(self, route: str, size: int) -> None:
        """Record the size of an answer, in bytes."""
        self._sizes.record(route, size)

    def release(self, pending: PendingRequest) -> None:
        """Free the memory that a request has claimed, or end its wait."""
        for timer in pending.answer_timers:
            timer.cancel()  # It would hold the answer until it ends.
        pending.answer_timers = ()
        if pending.answer_claim is not None:
            self._memory.release(pending.answer_claim)

    def _claim(self, pending: PendingRequest, size: int) -> None:
        def begin() -> None:
            self._loop.call_soon(self._begin, pending)

        claim = self._memory.ask(Held.EXPECTED, size, begin)
        pending.answer_claim = claim
        if claim.granted:
            self._begin(pending)
            return
        later = self._loop.call_later
        wait_s = pending.route.objective_s * MAX_WAIT_SHARE
        timers = [later(wait_s, self._end_wait, pending)]
        if not self._sizes.is_known(pending.route.name):
            timers.append(later(UNKNOWN_SIZE_WAIT_S, self._review_size, pending))
        pending.answer_timers = tuple(timers)

    def _review_size(self, pending: PendingRequest) -> None:
        """Begin a waiting request if its route's answers are small or still unknown."""
        claim, route = pending.answer_claim, pending.route.name
        if pending.done or claim is None or claim.granted:
            return
        size = self._sizes.expected(route)
        if size <= SMALL_BODY_BYTES or not self._sizes.is_known(route):
            self._memory.resize(claim, size)
            self._begin(pending)

    def _end_wait(self, pending: PendingRequest) -> None:
        claim = pending.answer_claim
        if not pending.done and claim is not None and not claim.granted:
            self._give_up(pending, Reason.MEMORY)
