"""One choice of a target, what rules targets out, and what it looked at."""

__all__ = ["Obstacle", "Placement", "PlacementView", "TargetView"]

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random

from .candidates import Candidate

MAX_EJECTED_SHARE = 0.5


class Obstacle(IntEnum):
    """Why a target cannot be chosen, from the least to the most severe."""

    NONE = 0
    EJECTED = 1
    TRIED = 2
    DRAINING = 3
    UNREACHABLE = 4


@dataclass(frozen=True, slots=True)
class Placement:
    """The call that is placed, the time, and what rules targets out.

    Args:
        now: Monotonic time in seconds.
        rng: Source of draws and of jitter.
        excluded: Ids of nodes not to choose, such as those already tried.
        kind: Name of the route.
        objective_s: Latency objective of the call, in seconds.
        usable: Reports whether the target of a node can be reached now.
        ejected_until: Monotonic time at which the last ejection in the pool ends.
        passed_over: Why targets whose turn it was were not chosen, by node id.
    """

    now: float
    rng: Random
    excluded: set[int]
    kind: str
    objective_s: float
    usable: Callable[[int], bool]
    ejected_until: float
    passed_over: dict[int, str] = field(default_factory=dict)

    def obstacle(self, item: Candidate) -> Obstacle:
        """Return why a target cannot be chosen."""
        if item.node_id in self.excluded:
            return Obstacle.TRIED
        if item.draining:
            return Obstacle.DRAINING
        if not self.usable(item.node_id):
            return Obstacle.UNREACHABLE
        return Obstacle.EJECTED if item.ejected_until > self.now else Obstacle.NONE

    def is_mostly_healthy(self, items: list[Candidate]) -> bool:
        """Report whether at most MAX_EJECTED_SHARE of what may be chosen is ejected."""
        if self.now >= self.ejected_until:
            return True
        obstacles = [self.obstacle(item) for item in items]
        healthy = obstacles.count(Obstacle.NONE)
        available = healthy + obstacles.count(Obstacle.EJECTED)
        return healthy >= max(1.0, available * (1 - MAX_EJECTED_SHARE))


@dataclass(frozen=True, slots=True)
class TargetView:
    """What a choice knew of one target.

    Args:
        node_id: Identifier of the target's node.
        zone: Availability zone.
        obstacle: Why it cannot be chosen.
        passed_over: Why it was not chosen at its turn; empty if it was not its turn.
        age_s: Age of its last report, in seconds; None if there is none.
        reported_load: Calls in flight and queued by that report.
        outstanding: Calls of this node that have not returned.
        limit: Concurrency limit by that report.
        utilization: Expected load with one more call, over the limit.
        share: Share of the calls; 1 is that of a typical target.
        cost_s: Expected latency with what is added for zone, load and failures, in
            seconds.
    """

    node_id: int
    zone: str
    obstacle: Obstacle
    passed_over: str
    age_s: float | None
    reported_load: int
    outstanding: int
    limit: int
    utilization: float
    share: float
    cost_s: float


@dataclass(frozen=True, slots=True)
class PlacementView:
    """A choice and what it knew of each target.

    Args:
        chosen: Node id of the target; None if no target can be chosen.
        targets: The targets of the pool.
    """

    chosen: int | None
    targets: tuple[TargetView, ...]
