"""Which chains the retries left for a pool that turns calls away can complete.

Load answered: a pool whose targets turn a large part of their calls away for seconds.
A chain needs several of its calls, so each run that starts needs retries; without them
it fails after the pools above have done their work.
"""

__all__ = ["CHAIN_CLASSES", "RetryRoom", "class_part"]

from dataclasses import dataclass, field

from .levels import LEVEL_SCALE, MAX_LEVEL
from .retrywindow import RetryWindow
from .turnedaway import TurnedAwayShares

# Share of calls turned away below which most chains are completed without retries.
MIN_SHARE = 0.2
MAX_ODDS = 20.0
# Time over which the retries that are left are spread.
SPREAD_S = 3.0
# Time in which the runs that had started before the pool turned calls away end.
STARTED_RUN_S = 0.5
DEMAND_SMOOTHING_S = 1.0
WINDOW_S = 0.1
CLASSES = MAX_LEVEL // LEVEL_SCALE
# Classes of the chains' first requests.
CHAIN_CLASSES = 5
# The part of the retries of a class is its share of the classes to this power.
PART_POWER = 1.0
MAX_POOLS = 1024


@dataclass(slots=True)
class _Demand:
    """Calls of runs per second, by class; not updated while a level applies."""

    per_s: list[float] = field(default_factory=lambda: [0.0] * CLASSES)
    counted: list[int] = field(default_factory=lambda: [0] * CLASSES)
    window_start: float = 0.0
    limited_at: float | None = None

    def record(self, now: float, rank: int) -> None:
        if self.limited_at is None:
            self.counted[min(rank // LEVEL_SCALE, CLASSES - 1)] += 1
            self._update(now)

    def limited_since(self, now: float) -> float:
        return now if self.limited_at is None else self.limited_at

    def resume(self, now: float) -> None:
        if self.limited_at is not None:
            self.limited_at = None
            self.window_start = now

    def _update(self, now: float) -> None:
        elapsed_s = now - self.window_start
        if elapsed_s < WINDOW_S:
            return
        weight = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
        for index, count in enumerate(self.counted):
            self.per_s[index] += (count / elapsed_s - self.per_s[index]) * weight
            self.counted[index] = 0
        self.window_start = now


@dataclass
class RetryRoom:
    """Rank below which runs are not started, for each pool that turns calls away.

    From the most important class down, the calls of runs that are started need share /
    (1 - share) retries each. Those retries may take what is left in a time of SPREAD_S;
    runs that had started before the pool turned calls away have theirs reserved.

    Args:
        shares: Share of the calls to each pool that was turned away.
        window: Retries and requests of the node.
    """

    shares: TurnedAwayShares
    window: RetryWindow
    _demands: dict[str, _Demand] = field(default_factory=dict)

    def record_call(self, pool: str, rank: int, now: float) -> None:
        """Record the first attempt of a call that a run makes."""
        demand = self._demands.get(pool)
        if demand is None:
            if len(self._demands) >= MAX_POOLS:
                return
            demand = self._demands[pool] = _Demand(window_start=now)
        demand.record(now, rank)

    def level(self, pool: str, now: float) -> int:
        """Return the level, in hundredths of an importance class."""
        demand = self._demands.get(pool)
        if demand is None:
            return 0
        share = self.shares.share(pool, now)
        if share < MIN_SHARE:
            demand.resume(now)
            return 0
        if demand.limited_at is None:
            demand.limited_at = now
        odds = min(MAX_ODDS, share / max(1.0 - share, 1.0 / MAX_ODDS))
        return self._level(pool, demand, odds, now)

    def _level(self, pool: str, demand: _Demand, odds: float, now: float) -> int:
        """Return the rank from which the retries left cover the demand."""
        started_s = max(0.0, STARTED_RUN_S - (now - demand.limited_since(now))) / 2.0
        above_per_s = 0.0
        for index in reversed(range(CLASSES)):
            per_s = demand.per_s[index]
            if not per_s:
                continue
            reserved = (above_per_s + per_s) * started_s * odds
            left = self.window.left(pool, now, class_part(index)) - reserved
            room_per_s = max(0.0, left / (SPREAD_S * odds) - above_per_s)
            if per_s > room_per_s:
                return int(LEVEL_SCALE * (index + 1.0 - room_per_s / per_s))
            above_per_s += per_s
        return 0


def class_part(importance: int) -> float:
    """Return the part of the retries that the runs of a class may use, 0 to 1."""
    return min(1.0, (importance + 1) / CHAIN_CLASSES) ** PART_POWER
