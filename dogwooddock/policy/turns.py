"""Turns of targets, spread evenly over time in proportion to changing weights."""

__all__ = ["WeightedTurns"]

import heapq
from collections.abc import Callable, Iterable
from random import Random

from .candidates import Candidate

# Random share of the distance between turns: at equal distances, the turns of a target
# could coincide with one kind of callers' requests that alternate.
TURN_JITTER = 0.25
# Longest time until a weight is read again, in turns of a typical target.
MAX_TURNS_BETWEEN_READS = 4.0
MAX_CORRECTIONS = 8
MIN_WEIGHT = 0.01

Turn = tuple[float, int, float, float, Candidate]


class WeightedTurns:
    """Give targets turns in proportion to their weights; a typical weight is 1.

    Independent random draws give a target several calls within a short time and then
    none. Here the turns of one target are about equally far apart, and begin at a
    random time, so that nodes with the same knowledge don't choose alike. A weight is
    read when the target's turn comes: if it fell, the turn is delayed.
    """

    def __init__(self) -> None:
        self._time = 0.0
        self._number = 0
        self._turns: list[Turn] = []
        self._new: list[Candidate] = []

    def __len__(self) -> int:
        return len(self._turns) + len(self._new)

    def copy(self) -> "WeightedTurns":
        """Return a copy that can be drawn from without effect on this object."""
        copied = WeightedTurns()
        copied._time, copied._number = self._time, self._number
        copied._turns, copied._new = list(self._turns), list(self._new)
        return copied

    def sync(self, members: Iterable[Candidate]) -> None:
        """Set the targets; those known before keep their turns."""
        wanted = {id(item): item for item in members}
        self._turns = [turn for turn in self._turns if id(turn[4]) in wanted]
        heapq.heapify(self._turns)
        for turn in self._turns:
            del wanted[id(turn[4])]
        self._new = list(wanted.values())

    def draw(
        self, weight_of: Callable[[Candidate], float], rng: Random
    ) -> Candidate | None:
        """Return the target whose turn it is, and set its next turn."""
        self._place_new(weight_of, rng)
        if not self._turns:
            return None
        for _ in range(MAX_CORRECTIONS):
            due, _, since, stretch, item = self._turns[0]
            owed = self._due(since, stretch, weight_of(item))
            if owed <= due:
                break
            self._replace_first(owed, since, stretch, item)
        due, _, _, _, item = self._turns[0]
        self._time = max(self._time, due)
        stretch = 1.0 + TURN_JITTER * (2.0 * rng.random() - 1.0)
        owed = self._due(due, stretch, weight_of(item))
        self._replace_first(owed, due, stretch, item)
        return item

    def _due(self, since: float, stretch: float, weight: float) -> float:
        """Return the time of a turn, or of an earlier reading of the weight."""
        due = since + stretch / max(MIN_WEIGHT, weight)
        return min(due, max(since, self._time) + MAX_TURNS_BETWEEN_READS)

    def _replace_first(
        self, due: float, since: float, stretch: float, item: Candidate
    ) -> None:
        heapq.heapreplace(self._turns, self._turn(due, since, stretch, item))

    def _turn(self, due: float, since: float, stretch: float, item: Candidate) -> Turn:
        self._number += 1
        return (due, self._number, since, stretch, item)

    def _place_new(self, weight_of: Callable[[Candidate], float], rng: Random) -> None:
        """Set the first turns of new targets, at random within their distance."""
        new, self._new = self._new, []
        for item in new:
            stretch = rng.random()
            due = self._due(self._time, stretch, weight_of(item))
            heapq.heappush(self._turns, self._turn(due, self._time, stretch, item))
