"""Admission of requests to one target, ordered by importance."""

__all__ = ["Admission", "Decision", "QueuedCall", "Verdict"]

import bisect
from dataclasses import dataclass, field
from enum import Enum

from .levels import LevelController
from .limits import ConcurrencyLimit
from .outcomes import Reason

SERVICE_SMOOTHING = 0.2
INITIAL_SERVICE_S = 0.01
ESTIMATE_HALF_LIFE_S = 1.0
MIN_QUEUE = 2
QUEUE_SHARE_LEAST = 0.5
QUEUE_SHARE_PER_CLASS = 1 / 3
MAX_IMPORTANCE = 9
MAX_CALLERS = 1024


class Verdict(Enum):
    """What happens to an arriving call."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True, eq=False)
class QueuedCall:
    """A call that asks for one of the target's slots.

    Args:
        attempt_id: Identifier of the attempt.
        importance: 0 (least) to 9 (most).
        depth: Calls above this one in its chain.
        deadline: Monotonic time after which the answer is useless, in seconds.
        kind: Kind of the request.
        caller: Caller, for fairness within one importance.
        ready: Whether the call may be dispatched as soon as a slot is free.
        level_class: Class of importance that the admission level speaks of; by
            default the call's own.
    """

    attempt_id: str
    importance: int
    depth: int
    deadline: float
    kind: str
    caller: str
    ready: bool = True
    level_class: int = -1
    order: tuple[int, int, float, float] = (0, 0, 0.0, 0.0)


@dataclass(frozen=True, slots=True)
class _Estimate:
    service_s: float
    at: float


@dataclass(frozen=True, slots=True)
class Decision:
    """Result of an arrival.

    Args:
        verdict: What happens to the arriving call.
        reason: Why it was refused.
        displaced: A waiting call that lost its place to the arriving one.
    """

    verdict: Verdict
    reason: Reason = Reason.NONE
    displaced: QueuedCall | None = None


_ADMITTED = Decision(Verdict.ADMIT)


@dataclass
class Admission:
    """Hand out the slots of one target.

    Waiting calls are ordered by importance, then depth, then a fair share tag per
    caller, then deadline. An arrival that finds the queue full displaces the last
    waiting call if it goes before it.

    Args:
        limit: Limit on the requests in flight.
        capacity: Requests of middling importance that may wait.
    """

    limit: ConcurrencyLimit
    capacity: int
    in_flight: int = 0
    draining: bool = False
    levels: LevelController = field(default_factory=LevelController)
    _queue: list[QueuedCall] = field(default_factory=list)
    _service: dict[str, _Estimate] = field(default_factory=dict)
    _mean_service: float = INITIAL_SERVICE_S
    _tags: dict[str, float] = field(default_factory=dict)
    _virtual_time: float = 0.0

    @property
    def queued(self) -> int:
        """Return how many calls wait."""
        return len(self._queue)

    @property
    def mean_service_s(self) -> float:
        """Return the smoothed time that the target spends on a call."""
        return self._mean_service

    @property
    def expected_wait_s(self) -> float:
        """Return the time that a new call of low importance would wait."""
        return self._wait_s(len(self._queue)) if self._full else 0.0

    @property
    def _full(self) -> bool:
        return bool(self._queue) or self.in_flight >= self.limit.value

    def arrive(self, now: float, call: QueuedCall) -> Decision:
        """Decide about an arriving call."""
        if self.draining:
            return Decision(Verdict.REFUSE, Reason.DRAINING)
        self.levels.arrived(_level_class(call))
        service = self.expected_s(now, call.kind)
        if now + service * 0.5 >= call.deadline:
            return Decision(Verdict.REFUSE, Reason.DEADLINE)
        if call.ready and not self._queue and self.in_flight < self.limit.value:
            self.in_flight += 1
            return _ADMITTED
        self._tag(call)
        position = bisect.bisect_left(self._queue, call.order, key=_order)
        if now + self._wait_s(position) + service > call.deadline:
            self.levels.refused()
            return Decision(Verdict.REFUSE, Reason.DEADLINE)
        return self._enqueue(call, position)

    def _enqueue(self, call: QueuedCall, position: int) -> Decision:
        displaced = None
        if position >= self._room(call.importance) or self.queued >= self._room(
            MAX_IMPORTANCE
        ):
            if position == self.queued:
                self.levels.refused()
                return Decision(Verdict.REFUSE, Reason.OVERLOAD)
            displaced = self._queue.pop()
            self.levels.refused()
        self._queue.insert(position, call)
        return Decision(Verdict.WAIT, displaced=displaced)

    def _room(self, importance: int) -> int:
        """Return how many calls may wait ahead of one of this importance."""
        share = QUEUE_SHARE_LEAST + QUEUE_SHARE_PER_CLASS * importance
        return max(MIN_QUEUE, int(self.capacity * share))

    def _tag(self, call: QueuedCall) -> None:
        tag = max(self._virtual_time, self._tags.get(call.caller, 0.0)) + 1.0
        if len(self._tags) >= MAX_CALLERS:
            self._tags.clear()
        self._tags[call.caller] = tag
        call.order = (-call.importance, -call.depth, tag, call.deadline)

    def _wait_s(self, position: int) -> float:
        ahead = position + max(0, self.in_flight - self.limit.value + 1)
        return ahead * self._mean_service / self.limit.value

    def expected_s(self, now: float, kind: str) -> float:
        """Return the expected service time, which fades while nothing finishes."""
        estimate = self._service.get(kind)
        if estimate is None:
            return 0.0
        idle_s = max(0.0, now - estimate.at)
        return estimate.service_s * 0.5 ** (idle_s / ESTIMATE_HALF_LIFE_S)

    def mark_ready(self, call: QueuedCall) -> None:
        """Allow a waiting call to be dispatched."""
        call.ready = True

    def next_calls(self) -> list[QueuedCall]:
        """Admit waiting calls while slots are free."""
        admitted = []
        index = 0
        while index < len(self._queue) and self.in_flight < self.limit.value:
            call = self._queue[index]
            if not call.ready:
                index += 1
                continue
            del self._queue[index]
            self._virtual_time = max(self._virtual_time, call.order[2])
            self.in_flight += 1
            admitted.append(call)
        return admitted

    def withdraw(self, call: QueuedCall) -> bool:
        """Remove a waiting call; return False if it does not wait."""
        if call not in self._queue:
            return False
        self._queue.remove(call)
        return True

    def give_up(self, call: QueuedCall) -> None:
        """Remove a waiting call whose time has run out."""
        if self.withdraw(call):
            self.levels.refused()

    def drop_all(self) -> list[QueuedCall]:
        """Remove every waiting call."""
        dropped, self._queue = self._queue, []
        return dropped

    def finish(
        self, now: float, call: QueuedCall, service_s: float, failed: bool
    ) -> None:
        """Return the slot of a call that was dispatched.

        Args:
            now: Monotonic time in seconds.
            call: The call.
            service_s: Time that the target itself spent, in seconds.
            failed: Whether the target failed or shed the call.
        """
        self.limit.record(now, call.kind, service_s, self.in_flight, failed)
        self.in_flight -= 1
        if failed:
            return
        previous = self._service.get(call.kind)
        smoothed = _smooth(previous.service_s, service_s) if previous else service_s
        self._service[call.kind] = _Estimate(smoothed, now)
        self._mean_service = _smooth(self._mean_service, service_s)

    def abandon(self) -> None:
        """Return a slot whose call was never dispatched."""
        self.in_flight -= 1

    def level(self, now: float) -> int:
        """Return the admission level in hundredths of a class of importance."""
        utilization = (self.in_flight + len(self._queue)) / self.limit.value
        return self.levels.value(now, utilization)


def _order(call: QueuedCall) -> tuple[int, int, float, float]:
    return call.order


def _level_class(call: QueuedCall) -> int:
    return call.importance if call.level_class < 0 else call.level_class


def _smooth(previous: float, sample: float) -> float:
    return previous + (sample - previous) * SERVICE_SMOOTHING
