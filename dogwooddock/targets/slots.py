"""Queue in which request threads wait for a slot of the target."""

__all__ = ["SlotQueue", "SlotWaiter"]

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from ..policy.admission import AdmissionController, QueuedCall, Verdict
from ..policy.outcomes import Reason


@dataclass(slots=True)
class SlotWaiter:
    """One thread's wait for a slot.

    Args:
        call: Call that needs the slot.
        event: Set when the call is admitted or refused.
        admitted: Whether the call holds a slot.
        reason: Why the call was refused, or empty.
    """

    call: QueuedCall
    event: threading.Event = field(default_factory=threading.Event)
    admitted: bool = False
    reason: Reason = Reason.NONE


class SlotQueue:
    """Block request threads until admission control grants or refuses a slot.

    Args:
        admission: Function that returns the admission control of the target.
        lock: Lock that guards the admission control.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        admission: Callable[[], AdmissionController],
        lock: threading.Lock,
        clock: Callable[[], float],
    ):
        self._admission = admission
        self._lock = lock
        self._clock = clock
        self._waiters: dict[str, SlotWaiter] = {}

    def arrive(self, call: QueuedCall) -> SlotWaiter:
        """Request a slot; the waiter's reason is set if the call is refused at once."""
        waiter = SlotWaiter(call)
        with self._lock:
            decision = self._admission().arrive(self._clock(), call)
            if decision.verdict is Verdict.REFUSE:
                waiter.reason = decision.reason
            elif decision.verdict is Verdict.ADMIT:
                waiter.admitted = True
            else:
                self._waiters[call.attempt_id] = waiter
                if decision.displaced is not None:
                    self._refuse(decision.displaced, Reason.DISPLACED)
                self.grant()
        return waiter

    def mark_ready(self, waiter: SlotWaiter) -> None:
        """Allow a waiting call to be admitted as soon as a slot is free."""
        with self._lock:
            self._admission().mark_ready(waiter.call)
            self.grant()

    def await_slot(self, waiter: SlotWaiter) -> Reason:
        """Wait for a slot; return the reason of the refusal, or an empty one.

        The wait ends as soon as the call can no longer be answered in time.
        """
        if not waiter.admitted:
            now = self._clock()
            latest = self._admission().latest_start(now, waiter.call)
            waiter.event.wait(max(0.0, latest - now))
        with self._lock:
            if not waiter.admitted and not waiter.reason:
                self._admission().expire(waiter.call)
                waiter.reason = Reason.DEADLINE
            self._waiters.pop(waiter.call.attempt_id, None)
        return Reason.NONE if waiter.admitted else waiter.reason

    def withdraw(self, waiter: SlotWaiter) -> None:
        """Leave the queue, or free a slot that was granted but not used."""
        with self._lock:
            self._waiters.pop(waiter.call.attempt_id, None)
            if waiter.admitted:
                self._admission().release_slot()
            else:
                self._admission().withdraw(waiter.call)
            self.grant()

    def cancel(self, attempt_id: str) -> None:
        """Refuse a waiting call that was cancelled."""
        with self._lock:
            waiter = self._waiters.get(attempt_id)
            if waiter is not None and not waiter.admitted:
                self._admission().withdraw(waiter.call)
                self._refuse(waiter.call, Reason.CANCELLED)

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse every waiting call; the lock must be held."""
        for call in self._admission().drop_all():
            self._refuse(call, reason)

    def grant(self) -> None:
        """Admit waiting calls while slots are free; the lock must be held."""
        for call in self._admission().admit_waiting(self._clock()):
            waiter = self._waiters.get(call.attempt_id)
            if waiter is None:
                self._admission().release_slot()
                continue
            waiter.admitted = True
            waiter.event.set()

    def _refuse(self, call: QueuedCall, reason: Reason) -> None:
        waiter = self._waiters.get(call.attempt_id)
        if waiter is not None:
            waiter.reason = reason
            waiter.event.set()
