"""Admission control for one target: limits on concurrency and rate, and a queue."""

__all__ = [
    "MIN_REMAINING_S",
    "AdmissionController",
    "Decision",
    "QueuedCall",
    "Verdict",
]

import math
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from .callqueue import CallQueue, Place, QueuedCall
from .fairqueue import FairQueue
from .levels import LevelController
from .limits import ConcurrencyLimit
from .outcomes import Reason
from .ratelimit import RateLimit

SERVICE_TIME_SMOOTHING = 0.2
INITIAL_SERVICE_TIME_S = 0.01
ESTIMATE_HALF_LIFE_S = 1.0
MIN_QUEUED_CALLS = 2
BASE_QUEUE_SHARE = 0.5
QUEUE_SHARE_PER_CLASS = 1 / 3
MAX_IMPORTANCE = 9
# Time that a call needs to be in time, over its expected service time, which varies.
SERVICE_MARGIN = 1.25
# A call with less time left than this, or than this share of its expected service time,
# cannot be answered in time.
MIN_REMAINING_S = 0.004
MIN_SERVICE_SHARE = 0.5
# Longest wait for a rate limit, and the work that may wait, at that rate, in seconds.
RATE_LIMITED_QUEUE_S = 1.0


class Verdict(Enum):
    """Admission verdict for an arriving call: run now, queue or refuse."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class _ServiceTimeEstimate:
    service_s: float
    updated_at: float


@dataclass(frozen=True, slots=True)
class Decision:
    """Admission decision about an arriving call.

    Args:
        verdict: What happens to the arriving call.
        reason: Why it was refused.
        displaced: Queued call that was removed to make room for the arriving one.
    """

    verdict: Verdict
    reason: Reason = Reason.NONE
    displaced: QueuedCall | None = None


_ADMITTED = Decision(Verdict.ADMIT)


@dataclass
class AdmissionController:
    """Admit calls to the slots of one target and queue those that have to wait.

    A call is admitted if a slot is free and the target's rate limit allows one more.
    With a rate limit, the most important calls get the allowance, and no call waits
    longer than RATE_LIMITED_QUEUE_S.

    The queue is ordered by the class of the chain, then importance, then depth (all
    highest first), then fairly among callers, then by what can still be in time. If the
    queue is full, the call whose answer is worth least is displaced, or the arriving
    call is refused if it is that one.

    Args:
        limit: Limit on the requests in flight.
        capacity: Base of the queue capacity, in calls. A call of importance 0 may
            queue up to half of it, and each class above adds a third of it.
        rate: Limit on the calls that are admitted per second.
    """

    limit: ConcurrencyLimit
    capacity: int
    in_flight: int = 0
    draining: bool = False
    level_controller: LevelController = field(default_factory=LevelController)
    rate: RateLimit = field(default_factory=RateLimit)
    _service_times: dict[str, _ServiceTimeEstimate] = field(default_factory=dict)
    _mean_service_s: float = INITIAL_SERVICE_TIME_S
    _fair_queues: dict[int, FairQueue] = field(
        default_factory=lambda: defaultdict(FairQueue)
    )
    _queue: CallQueue = field(init=False)

    def __post_init__(self) -> None:
        self._queue = CallQueue(self._fair_queues)

    @property
    def queued(self) -> int:
        """Return the number of queued calls."""
        return len(self._queue)

    @property
    def mean_service_s(self) -> float:
        """Return the moving average of the service time of all kinds, in seconds."""
        return self._mean_service_s

    def expected_wait_s(self, now: float) -> float:
        """Return the queueing delay of a call at the end of the queue, in seconds."""
        if not self._queue and self._has_room(now):
            return 0.0
        return self._queueing_delay_s(now, len(self._queue))

    def _has_room(self, now: float) -> bool:
        """Report whether a call may be admitted now."""
        return self.in_flight < self.limit.value and self.rate.allows(now)

    @property
    def concurrency(self) -> int:
        """Return the requests that the target may run at once within its rate limit."""
        sustained = self.rate.concurrency(self._mean_service_s)
        return max(1, math.ceil(min(self.limit.value, sustained)))

    def arrive(self, now: float, call: QueuedCall) -> Decision:
        """Admit, queue or refuse an arriving call.

        A new chain below the admission level does not wait: it is refused at once, as
        an edge that knew the level would have done.
        A call is refused if it cannot meet its deadline: with a free slot, if less
        than half of the expected service time is left; in the queue, if less than
        the expected queueing delay and service time is left.
        """
        if self.draining:
            return Decision(Verdict.REFUSE, Reason.DRAINING)
        self.level_controller.record_arrival(call.chain_class)
        service_s = self.expected_service_s(now, call.kind)
        if now + service_s * MIN_SERVICE_SHARE >= call.deadline:
            return Decision(Verdict.REFUSE, Reason.DEADLINE)
        if call.ready and not self._queue and self._has_room(now):
            self._occupy_slot(now, call)
            return _ADMITTED
        if not call.depth and call.rank is not None and call.rank < self.level(now):
            return Decision(Verdict.REFUSE, Reason.OVERLOAD)
        self._queue.number(call)
        call.queued_at = now
        call.latest_start = call.objective - service_s * SERVICE_MARGIN
        place = self._queue.place(now, call)
        delay_s = self._queueing_delay_s(now, place.expected)
        if now + delay_s + service_s > call.deadline:
            self.level_controller.record_refusal()
            return Decision(Verdict.REFUSE, Reason.DEADLINE)
        return self._enqueue(now, call, place)

    def _occupy_slot(self, now: float, call: QueuedCall) -> None:
        self.in_flight += 1
        call.started_with = self.in_flight
        self.rate.take(now)

    def _enqueue(self, now: float, call: QueuedCall, place: Place) -> Decision:
        displaced = None
        if place.fair >= self._queue_capacity(
            call.importance
        ) or self.queued >= self._queue_capacity(MAX_IMPORTANCE):
            displaced = self._queue.last(now, call)
            self.level_controller.record_refusal()
            if displaced is call:
                return Decision(Verdict.REFUSE, Reason.OVERLOAD)
            self._queue.remove(displaced)
        self._queue.add(now, call)
        return Decision(Verdict.WAIT, displaced=displaced)

    def _queue_capacity(self, importance: int) -> int:
        """Return the queue length up to which a call of this importance may wait."""
        share = BASE_QUEUE_SHARE + QUEUE_SHARE_PER_CLASS * importance
        capacity = min(self.capacity, self.rate.concurrency(RATE_LIMITED_QUEUE_S))
        return max(MIN_QUEUED_CALLS, int(capacity * share))

    def _queueing_delay_s(self, now: float, position: int) -> float:
        """Return the expected delay until a call at a position is admitted."""
        ahead = position + max(0, self.in_flight - self.limit.value + 1)
        slot_delay_s = ahead * self._mean_service_s / self.limit.value
        return max(slot_delay_s, self.rate.delay_s(now, position))

    def expected_service_s(self, now: float, kind: str) -> float:
        """Return the expected service time of a kind in seconds; 0 if not known.

        The estimate decays while no call of the kind succeeds.
        """
        estimate = self._service_times.get(kind)
        if estimate is None:
            return 0.0
        idle_s = max(0.0, now - estimate.updated_at)
        return estimate.service_s * 0.5 ** (idle_s / ESTIMATE_HALF_LIFE_S)

    def is_too_late(self, now: float, call: QueuedCall) -> bool:
        """Report whether a call cannot be answered in time even if it runs now."""
        return now + self._least_time_s(now, call) > call.deadline

    def latest_start(self, now: float, call: QueuedCall) -> float:
        """Return the time after which a call cannot be answered in time, in seconds."""
        return call.deadline - self._least_time_s(now, call)

    def _least_time_s(self, now: float, call: QueuedCall) -> float:
        expected_s = self.expected_service_s(now, call.kind)
        return max(MIN_REMAINING_S, expected_s * MIN_SERVICE_SHARE)

    def mark_ready(self, call: QueuedCall) -> None:
        """Mark a queued call as ready for dispatch."""
        call.ready = True

    def admit_waiting(self, now: float) -> list[QueuedCall]:
        """Remove ready calls from the queue while there is room, and return them."""
        admitted = []
        while self._queue and self._has_room(now):
            call = self._queue.pop_next(now)
            if call is None:
                break
            self._occupy_slot(now, call)
            admitted.append(call)
        return admitted

    def withdraw(self, call: QueuedCall) -> bool:
        """Remove a call from the queue; return False if it is not queued."""
        return self._queue.remove(call)

    def expire(self, call: QueuedCall) -> None:
        """Remove a queued call whose deadline cannot be met; counts as a refusal."""
        if self.withdraw(call):
            self.level_controller.record_refusal()

    def drop_overdue(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls that have waited too long for the rate limit."""
        if self.rate.per_s is None:
            return []
        latest = now - RATE_LIMITED_QUEUE_S
        overdue = [call for call in self._queue if call.queued_at < latest]
        for call in overdue:
            self.expire(call)
        return overdue

    def drop_all(self) -> list[QueuedCall]:
        """Empty the queue and return the calls that were in it."""
        dropped = self._queue.clear()
        self._fair_queues.clear()
        return dropped

    def finish(
        self, now: float, call: QueuedCall, service_s: float, failed: bool
    ) -> None:
        """Free the slot of a finished call and record its service time.

        Args:
            now: Monotonic time in seconds.
            call: The call.
            service_s: Time spent in the target itself, in seconds.
            failed: Whether the target failed or shed the call.
        """
        started_with = 0 if call.made_calls else call.started_with
        self.limit.record(
            now, call.kind, service_s, self.in_flight, failed, started_with
        )
        self.in_flight -= 1
        if failed:
            return
        previous = self._service_times.get(call.kind)
        smoothed = _smooth(previous.service_s, service_s) if previous else service_s
        self._service_times[call.kind] = _ServiceTimeEstimate(smoothed, now)
        self._mean_service_s = _smooth(self._mean_service_s, service_s)

    def release_slot(self) -> None:
        """Free a slot without a sample, for example of a call that was not sent."""
        self.in_flight -= 1

    def level(self, now: float) -> int:
        """Return the admission level in hundredths of an importance class."""
        load = self.in_flight + len(self._queue)
        return self.level_controller.value(now, load / self._sustained_load)

    @property
    def _sustained_load(self) -> float:
        """Return the calls in flight and queued at which the target is fully used.

        A rate limit needs a short queue, so that its allowance is used.
        """
        short_queue = self.rate.concurrency(RATE_LIMITED_QUEUE_S * BASE_QUEUE_SHARE)
        return min(self.limit.value, max(self.concurrency, short_queue))


def _smooth(previous: float, sample: float) -> float:
    return previous + (sample - previous) * SERVICE_TIME_SMOOTHING
