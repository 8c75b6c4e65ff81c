"""Admission of call chains by whether their runs can be completed.

Load answered: chains of several calls whose deepest pool turns calls away. One call
that cannot be placed fails the whole run, so runs that are admitted beyond what can be
completed only waste the work of the pools above.
"""

__all__ = ["RUN_RETRY_AFTER_S", "ChainAdmission", "ReportedLevels"]

import math
from collections import deque
from dataclasses import dataclass, field

from .levels import LEVEL_SCALE, MAX_LEVEL
from .retryroom import CHAIN_CLASSES, RetryRoom, class_part
from .retrywindow import RetryWindow
from .turnedaway import TurnedAwayShares

# Time over which the reports of several nodes count together.
REPORT_SPAN_S = 0.15
# Reports in a row that start a level.
RISE_REPORTS = 2
REPORT_HOLD_S = 0.5
REPORT_FALL_PER_S = 100.0
# Age up to which edges apply a reported level. An older one is left to the gate of the
# chain's first target, which polls the levels.
EDGE_HOLD_S = 0.2
POLL_INTERVAL_S = 0.03
IDLE_POLL_INTERVAL_S = 0.05
# Time after the last call of a route for which its level is polled.
IDLE_POLL_S = 1.0
CALLED_ROUTE_TTL_S = 60.0
MAX_KINDS = 1024
# Base of the Retry-After delay of a request whose chain cannot be completed now.
RUN_RETRY_AFTER_S = 1.5


@dataclass(frozen=True, slots=True)
class _Report:
    level: int
    at: float


@dataclass(slots=True)
class _Route:
    """Recent reports of one route, and the level that they give."""

    reports: deque[_Report] = field(default_factory=deque)
    level: int = 0
    reported_at: float = 0.0
    polled_at: float = 0.0

    def add(self, level: int, now: float) -> None:
        self.reports.append(_Report(level, now))
        while now - self.reports[0].at > REPORT_SPAN_S:
            self.reports.popleft()
        levels = [report.level for report in self.reports if report.level]
        has_risen = all(report.level for report in list(self.reports)[-RISE_REPORTS:])
        is_clear = len(levels) * 2 <= len(self.reports) and not has_risen
        self.level = 0 if is_clear else min(levels)
        self.reported_at = now


@dataclass
class ReportedLevels:
    """Levels that other nodes report for routes, in replies to calls and to polls.

    The lowest one counts, as calls go to the nodes that have retries left. A level that
    is not reported again falls, for each class from the end of that class, so that a
    few requests of a class that is refused as a whole bring a current one.

    Args:
        enabled: Whether reports count.
    """

    enabled: bool = True
    _routes: dict[str, _Route] = field(default_factory=dict)

    def report(self, route: str, level: int, now: float) -> None:
        """Record the level that a node reports."""
        if not self.enabled:
            return
        stored = self._routes.get(route)
        if stored is None:
            if not level:
                return
            stored = self._store(route)
        stored.add(level, now)

    def _store(self, route: str) -> _Route:
        if len(self._routes) >= MAX_KINDS:
            self._routes.clear()
        return self._routes.setdefault(route, _Route())

    def level(self, route: str, rank: int, now: float) -> int:
        """Return the level that applies to a rank."""
        stored = self._routes.get(route)
        if stored is None:
            return 0
        unreported_s = max(0.0, now - stored.reported_at - REPORT_HOLD_S)
        level = min(stored.level, _class_end(rank)) - unreported_s * REPORT_FALL_PER_S
        return max(0, int(level))

    def refuses(self, route: str, rank: int, now: float) -> bool:
        """Report whether an edge refuses a request before its chain starts."""
        stored = self._routes.get(route)
        if stored is None or now - stored.reported_at > EDGE_HOLD_S:
            return False
        return rank < stored.level

    def is_poll_due(self, route: str, now: float) -> bool:
        """Report whether to ask a node for the level of a route, and count the poll."""
        if not self.enabled:
            return False
        stored = self._routes.get(route) or self._store(route)
        interval_s = POLL_INTERVAL_S if stored.level else IDLE_POLL_INTERVAL_S
        if now - stored.polled_at < interval_s:
            return False
        stored.polled_at = now
        return True

    def snapshot(self) -> dict[str, int]:
        """Return the level last reported for each route."""
        return {
            route: stored.level
            for route, stored in self._routes.items()
            if stored.level
        }


@dataclass(slots=True)
class _CalledRoute:
    pool: str
    called_at: float


@dataclass
class ChainAdmission:
    """Decide which runs of each kind one target starts.

    The level of a kind is the highest of those reported for the routes that it calls,
    and of those of the pools that it calls, for which the retries left are too few.

    Args:
        room: Which chains the retries left can complete.
        enabled: Whether runs may be refused; if not, every run is started.
    """

    room: RetryRoom
    enabled: bool = True
    reported: ReportedLevels = field(init=False)
    _called: dict[str, dict[str, _CalledRoute]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.reported = ReportedLevels(self.enabled)

    @classmethod
    def disabled(cls) -> "ChainAdmission":
        """Return an admission that starts every run."""
        return cls(RetryRoom(TurnedAwayShares(), RetryWindow(0.0)), False)

    def retry_share(self, rank: int) -> float:
        """Return the square root of the part of the retries that a call may use."""
        if not self.enabled:
            return (rank + 1) / (CHAIN_CLASSES * LEVEL_SCALE)
        return math.sqrt(class_part(rank // LEVEL_SCALE))

    def record_call(
        self, now: float, kind: str, route: str, pool: str, rank: int
    ) -> None:
        """Record the first attempt of a call that a run of a kind makes.

        Args:
            now: Monotonic time in seconds.
            kind: Route of the run.
            route: Route of the call.
            pool: Pool that serves it.
            rank: Rank of the chain.
        """
        if not self.enabled:
            return
        self.room.record_call(pool, rank, now)
        if kind not in self._called and len(self._called) >= MAX_KINDS:
            return
        routes = self._called.setdefault(kind, {})
        called = routes.get(route)
        if called is None:
            routes[route] = _CalledRoute(pool, now)
        else:
            called.pool, called.called_at = pool, now

    def level(self, now: float, kind: str, rank: int) -> int:
        """Return the level that applies to runs of a kind and rank."""
        level = 0
        for route, called in self._called.get(kind, {}).items():
            if now - called.called_at < CALLED_ROUTE_TTL_S:
                level = max(
                    level,
                    self.reported.level(route, rank, now),
                    min(self.room.level(called.pool, now), _class_end(rank)),
                )
        return level

    def highest_level(self, now: float, kind: str) -> int:
        """Return the level of a kind that replies report, for all ranks."""
        return self.level(now, kind, MAX_LEVEL)

    def refuses(self, now: float, kind: str, rank: int) -> bool:
        """Report whether a run is not started, since its calls would find no room."""
        return rank < self.level(now, kind, rank)

    def due_polls(self, now: float) -> dict[str, str]:
        """Return the routes whose level to ask a node for now, and their pools."""
        polls: dict[str, str] = {}
        for routes in self._called.values():
            for route, called in routes.items():
                is_limited = self.reported.level(route, MAX_LEVEL, now) > 0
                used_s = CALLED_ROUTE_TTL_S if is_limited else IDLE_POLL_S
                if route in polls or now - called.called_at > used_s:
                    continue
                if self.reported.is_poll_due(route, now):
                    polls[route] = called.pool
        return polls

    def snapshot(self, now: float) -> dict[str, int]:
        """Return the level of each kind of run that has one."""
        levels = {kind: self.highest_level(now, kind) for kind in self._called}
        return {kind: level for kind, level in levels.items() if level}


def _class_end(rank: int) -> int:
    """Return the rank at which the class above begins."""
    return (rank // LEVEL_SCALE + 1) * LEVEL_SCALE
