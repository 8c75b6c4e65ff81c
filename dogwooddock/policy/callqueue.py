"""The queue of one target: which call goes next, and which is displaced."""

__all__ = ["CallQueue", "Place", "QueuedCall"]

import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import chain
from typing import NamedTuple

from .fairqueue import FairQueue

# Calls of weight 1 that a caller may be served ahead of another one that waits.
MAX_LEAD = 4.0


@dataclass(slots=True, eq=False)
class QueuedCall:
    """A call that needs one of the target's slots.

    Args:
        attempt_id: Identifier of the attempt.
        importance: 0 (least) to 9 (most).
        depth: Number of upstream calls in its chain.
        deadline: Monotonic time after which the answer is useless, in seconds.
        kind: Name of the route; service times are estimated per kind.
        caller: Account or else caller, for fair queueing among calls of one importance
            and depth.
        ready: Whether the call may be dispatched as soon as a slot is free.
        level_class: Importance class of its chain, by which calls are queued and
            counted for the admission level; -1 for its own importance.
        rank: Rank of its chain, which the admission level is compared with; None to
            queue it whatever the level.
        weight: Weight of its caller in fair queueing.
        objective: Monotonic time after which the answer is late, in seconds; calls
            without one are never late, and wait in the order of their arrival.
        latest_start: Monotonic time after which an answer within the objective is not
            expected, in seconds; set on arrival.
        number: Number of its arrival; set on arrival.
        queued_at: Monotonic time at which it was queued, in seconds.
        started_with: Calls in flight when it was admitted, itself included.
        made_calls: Whether its run has made calls to other targets.
    """

    attempt_id: str
    importance: int
    depth: int
    deadline: float
    kind: str
    caller: str
    ready: bool = True
    level_class: int = -1
    rank: int | None = None
    weight: float = 1.0
    objective: float = math.inf
    latest_start: float = math.inf
    number: int = 0
    queued_at: float = 0.0
    started_with: int = 0
    made_calls: bool = False

    @property
    def chain_class(self) -> int:
        """Return the importance class by which it is queued."""
        return self.importance if self.level_class < 0 else self.level_class

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return its place among classes and depths; the lowest goes first."""
        return -self.chain_class, -self.importance, -self.depth


def _latest_start(call: QueuedCall) -> float:
    return call.latest_start


def _deadline(call: QueuedCall) -> float:
    return call.deadline


class _Turn(NamedTuple):
    """One call's share of its caller's service, by virtual time."""

    tag: float
    number: int
    caller: str


@dataclass(slots=True)
class _Flow:
    """Waiting calls of one caller, in the order of arrival, and its turns."""

    calls: list[QueuedCall] = field(default_factory=list)
    turns: list[_Turn] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Place:
    """Place of an arriving call.

    Args:
        expected: Waiting calls that are expected to be served before it.
        fair: Waiting calls whose callers are due before another call of its caller.
    """

    expected: int
    fair: int


@dataclass(slots=True)
class _Rank:
    """Waiting calls of one precedence.

    A caller has as many turns as calls, but its calls use them in another order.

    Args:
        in_time: Calls that can meet their objective, by latest start.
        late: Calls that cannot, by deadline.
        turns: Turns of all callers.
        flows: Calls and turns by caller.
    """

    in_time: list[QueuedCall] = field(default_factory=list)
    late: list[QueuedCall] = field(default_factory=list)
    turns: list[_Turn] = field(default_factory=list)
    flows: dict[str, _Flow] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.turns)

    def insert(self, now: float, call: QueuedCall, tag: float) -> None:
        if call.latest_start < now:
            insort(self.late, call, key=_deadline)
        else:
            insort(self.in_time, call, key=_latest_start)
        turn = _Turn(tag, call.number, call.caller)
        insort(self.turns, turn)
        flow = self.flows.setdefault(call.caller, _Flow())
        flow.calls.append(call)
        flow.turns.append(turn)

    def take(self, call: QueuedCall, served: bool) -> None:
        """Remove a call, with the first turn of its caller if it is served."""
        flow = self.flows[call.caller]
        flow.calls.remove(call)
        turn = flow.turns.pop(0 if served else -1)
        del self.turns[bisect_left(self.turns, turn)]
        if not flow.calls:
            del self.flows[call.caller]
        (self.late if call in self.late else self.in_time).remove(call)

    def sort_out_late(self, now: float) -> None:
        """Move the calls that can no longer meet their objective."""
        count = bisect_left(self.in_time, now, key=_latest_start)
        for call in self.in_time[:count]:
            insort(self.late, call, key=_deadline)
        del self.in_time[:count]

    def next_ready(self) -> QueuedCall | None:
        """Return the ready call that goes next."""
        latest = self.turns[0].tag + MAX_LEAD
        waiting = None
        for call in chain(self.in_time, self.late):
            if call.ready:
                if self.flows[call.caller].turns[0].tag <= latest:
                    return self._first_by_turn(call)
                waiting = waiting or call
        return waiting

    def _first_by_turn(self, call: QueuedCall) -> QueuedCall:
        """Return the call or, if it has no objective, one of the caller due first."""
        if call.latest_start < math.inf:
            return call
        for turn in self.turns:
            for other in self.flows[turn.caller].calls:
                if other.ready and other.latest_start == math.inf:
                    return other
        return call

    def last(self, now: float, arrival: QueuedCall, tag: float | None) -> QueuedCall:
        """Return the call to displace.

        Args:
            now: Monotonic time in seconds.
            arrival: Arriving call.
            tag: Tag of its turn if it would be of this precedence, else None.
        """
        last_tag = self.turns[-1].tag if self.turns else 0.0
        if tag is not None:
            last_tag = max(last_tag, tag)
            if arrival.latest_start < now and tag >= last_tag - MAX_LEAD:
                return arrival
        for call in reversed(self.late):
            if self.flows[call.caller].turns[-1].tag >= last_tag - MAX_LEAD:
                return call
        if tag == last_tag:
            return arrival
        return self.flows[self.turns[-1].caller].calls[-1]

    def range_ahead(self, now: float, call: QueuedCall) -> tuple[int, int]:
        """Return how many calls go before an arrival, without and with ties."""
        if call.latest_start < now:
            before = len(self.in_time)
            calls, value, key = self.late, call.deadline, _deadline
        else:
            before = 0
            calls, value, key = self.in_time, call.latest_start, _latest_start
        return (
            before + bisect_left(calls, value, key=key),
            before + bisect_right(calls, value, key=key),
        )

    def count_due(self, tag: float) -> int:
        """Return how many turns are due up to a tag."""
        return bisect_right(self.turns, tag, key=_tag)

    def place(self, now: float, call: QueuedCall, tag: float) -> Place:
        """Return the place of an arriving call whose caller's next turn has a tag.

        It takes an earlier turn from its caller's calls if it goes before some of them.
        """
        fair = self.count_due(tag)
        least, most = self.range_ahead(now, call)
        flow = self.flows.get(call.caller)
        if flow is not None and most < len(self):
            own = most * len(flow.turns) // len(self)
            tag = flow.turns[own].tag
        least = max(least, self.count_due(tag - MAX_LEAD))
        most = min(most, self.count_due(tag + MAX_LEAD))
        return Place(max(least, min(most, self.count_due(tag))), fair)


def _tag(turn: _Turn) -> float:
    return turn.tag


@dataclass(slots=True)
class CallQueue:
    """Order calls by importance, then fairness, then by what can still be in time.

    Answers the load of calls with short and long objectives in a queue that cannot
    serve all in time. Chain class, importance and depth are strict. Within them, each
    caller is served by its weight, at most MAX_LEAD calls ahead of another one that
    waits. Within that bound, calls that can meet their objective go first, the one with
    the earliest latest start before the others; those that cannot go after them, by
    deadline. Calls are not removed for being late. Calls without an objective are
    served in the order of their callers' turns.

    Args:
        fair_queues: Turns that callers have had, by importance.
    """

    fair_queues: Mapping[int, FairQueue]
    _ranks: dict[tuple[int, int, int], _Rank] = field(default_factory=dict)
    _length: int = 0
    _arrivals: int = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueuedCall]:
        for rank in self._ranks.values():
            yield from rank.in_time
            yield from rank.late

    def __contains__(self, call: QueuedCall) -> bool:
        rank = self._ranks.get(call.precedence)
        flow = rank.flows.get(call.caller) if rank else None
        return flow is not None and call in flow.calls

    def number(self, call: QueuedCall) -> None:
        """Number a call in the order of arrivals."""
        self._arrivals += 1
        call.number = self._arrivals

    def add(self, now: float, call: QueuedCall) -> None:
        """Add a call."""
        served = self.fair_queues[call.importance]
        rank = self._ranks.setdefault(call.precedence, _Rank())
        rank.insert(now, call, served.next_tag(call.caller))
        served.enter(call.caller, call.weight)
        self._length += 1

    def remove(self, call: QueuedCall) -> bool:
        """Remove a call that is not served; return False if it does not wait."""
        if call not in self:
            return False
        self._take(call, served=False)
        self.fair_queues[call.importance].leave(call.caller, call.weight)
        return True

    def _take(self, call: QueuedCall, served: bool) -> None:
        rank = self._ranks[call.precedence]
        rank.take(call, served)
        self._length -= 1
        if not len(rank):
            del self._ranks[call.precedence]

    def clear(self) -> list[QueuedCall]:
        """Remove and return all calls."""
        calls = list(self)
        self._ranks.clear()
        self._length = 0
        return calls

    def place(self, now: float, call: QueuedCall) -> Place:
        """Return the place that an arriving call takes."""
        precedence = call.precedence
        above = sum(len(rank) for key, rank in self._ranks.items() if key < precedence)
        rank = self._ranks.get(precedence)
        if rank is None:
            return Place(above, above)
        tag = self.fair_queues[call.importance].next_tag(call.caller)
        place = rank.place(now, call, tag)
        return Place(above + place.expected, above + place.fair)

    def pop_next(self, now: float) -> QueuedCall | None:
        """Remove and return the ready call that goes next."""
        for precedence in sorted(self._ranks):
            rank = self._ranks[precedence]
            rank.sort_out_late(now)
            call = rank.next_ready()
            if call is not None:
                self.fair_queues[call.importance].serve(rank.turns[0].tag)
                self._take(call, served=True)
                return call
        return None

    def last(self, now: float, arrival: QueuedCall) -> QueuedCall:
        """Return the call to displace: a waiting one, or the arrival itself.

        It is of the lowest precedence and of a caller with the most calls for its
        weight; of these, one that is late already, or else the one that came last, so
        that kinds with a long objective are not displaced by all others.
        """
        lowest = max(self._ranks, default=arrival.precedence)
        if arrival.precedence > lowest or not self._ranks:
            return arrival
        rank = self._ranks[lowest]
        rank.sort_out_late(now)
        tag = None
        if arrival.precedence == lowest:
            tag = self.fair_queues[arrival.importance].next_tag(arrival.caller)
        return rank.last(now, arrival, tag)
