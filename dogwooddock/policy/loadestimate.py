"""Estimate of the present load of targets from old reports."""

__all__ = ["PoolLoad", "record_slowness"]

import math
from dataclasses import dataclass

from .candidates import Candidate

POOL_SMOOTHING = 0.05
MAX_POOL_SMOOTHING = 0.5
POOL_MEMORY_S = 2.0
MAX_SLOWNESS_SMOOTHING = 0.12
SLOWNESS_MEMORY_S = 1.0
SLOWNESS_HALF_LIFE_S = 30.0
# Utilization from which a target gets only MIN_RELIEF of its share.
SATURATION = 2.5
MAX_MEAN_UTILIZATION = 1.0
MIN_RELIEF = 0.1
MAX_RELIEF = 2.0
MIN_MEMORY_S = 0.005


@dataclass(slots=True)
class PoolLoad:
    """Typical load of the targets of a pool, seen by one node.

    Answers load that many nodes place at once by reports that are older than the calls
    that they count. The weight of a report decays in about the time that a call stays
    at a target: then the calls that it counts have ended, and the target is expected
    to have the typical load of its pool.

    Args:
        utilization: Typical load of a target over its limit.
        limit: Typical concurrency limit.
        stay_s: Time that a call spends at a target, waiting and running, in seconds.
        updated_at: Monotonic time of the last report, in seconds.
    """

    utilization: float = 0.0
    limit: float = 0.0
    stay_s: float = 0.0
    updated_at: float = 0.0

    def record(self, candidate: Candidate, stay_s: float | None) -> None:
        """Include the report that a candidate now holds.

        Args:
            candidate: Target that reported.
            stay_s: Time that the call spent there, in seconds; None if it did not run.
        """
        since_s = candidate.reported_at - self.updated_at
        self.updated_at = candidate.reported_at
        smoothing = max(
            POOL_SMOOTHING, min(MAX_POOL_SMOOTHING, since_s / POOL_MEMORY_S)
        )
        utilization = candidate.reported_load / candidate.limit
        self.utilization += (utilization - self.utilization) * smoothing
        self.limit = self.limit or float(candidate.limit)
        self.limit += (candidate.limit - self.limit) * POOL_SMOOTHING
        if stay_s is not None:
            self.stay_s = self.stay_s or stay_s
            self.stay_s += (stay_s - self.stay_s) * POOL_SMOOTHING

    def utilization_of(self, candidate: Candidate, now: float) -> float:
        """Return the expected load of a target with one more call, over its limit."""
        age_s = now - candidate.reported_at
        weight = math.exp(-age_s / max(MIN_MEMORY_S, self.stay_s))
        limit = max(1, candidate.limit)
        typical = self.utilization * limit
        load = typical + (candidate.reported_load - typical) * weight
        load += min(candidate.sent_since, candidate.outstanding)
        return (max(load, candidate.outstanding) + 1) / limit

    def share_of(self, candidate: Candidate, now: float) -> float:
        """Return a target's share of the pool's calls; 1 is that of a typical one.

        It is what the target can finish in a time, increased or reduced by how much
        less or more load than the pool's it is expected to have.
        """
        limit = max(1, candidate.limit)
        capacity = limit / (self.limit or limit) / _slowness(candidate, now)
        typical = min(self.utilization, MAX_MEAN_UTILIZATION) + 1 / limit
        spare = SATURATION - self.utilization_of(candidate, now)
        relief = spare / (SATURATION - min(typical, MAX_MEAN_UTILIZATION))
        return capacity * min(MAX_RELIEF, max(MIN_RELIEF, relief))


def record_slowness(candidate: Candidate, now: float, ratio: float) -> None:
    """Record the time of a call over the one that is typical of its kind."""
    since_s = now - candidate.slowness_at
    candidate.slowness_samples += 1
    smoothing = max(
        min(MAX_SLOWNESS_SMOOTHING, since_s / SLOWNESS_MEMORY_S),
        1 / candidate.slowness_samples,
        1.0 - 0.5 ** (since_s / SLOWNESS_HALF_LIFE_S),
    )
    candidate.slowness += (ratio - candidate.slowness) * smoothing
    candidate.slowness_at = now


def _slowness(candidate: Candidate, now: float) -> float:
    """Return the slowness of a target, which decays to 1 while it gets no calls."""
    age_s = now - candidate.slowness_at
    return 1.0 + (candidate.slowness - 1.0) * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
