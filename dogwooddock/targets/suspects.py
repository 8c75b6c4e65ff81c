"""Queue in which request threads wait to run suspect requests one at a time."""

__all__ = ["SuspectTurn", "SuspectTurns"]

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from ..policy.outcomes import Reason
from ..policy.suspects import SuspectQueue


@dataclass(slots=True, eq=False)
class SuspectTurn:
    """One thread's turn to run a suspect request.

    Args:
        event: Set when the thread may proceed or is refused.
        reason: Why the request was refused, or empty.
    """

    event: threading.Event = field(default_factory=threading.Event)
    reason: Reason = Reason.NONE


class SuspectTurns:
    """Block the threads of suspect requests until they may proceed, one at a time.

    Args:
        clock: Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._lock = threading.Lock()
        self._queue: SuspectQueue[SuspectTurn] = SuspectQueue()

    def await_turn(self, deadline: float) -> SuspectTurn:
        """Wait for a turn, which ``leave`` must end; its reason is set if refused."""
        turn = SuspectTurn()
        with self._lock:
            if self._queue.enter(turn):
                return turn
        turn.event.wait(max(0.0, deadline - self._clock()))
        with self._lock:
            if not turn.event.is_set():
                turn.reason = Reason.DEADLINE
        return turn

    def leave(self, turn: SuspectTurn) -> None:
        """End a turn, and let the next thread proceed.

        That thread must look up the status of its request again: the run that ended
        may have changed it.
        """
        with self._lock:
            if not self._queue.leave(turn):
                return
            following = self._queue.next_call()
            if following is not None:
                self._queue.enter(following)
                following.event.set()

    def refuse_held(self, reason: Reason) -> None:
        """Refuse the requests that wait for their turn."""
        with self._lock:
            for turn in self._queue.take_held():
                turn.reason = reason
                turn.event.set()
