"""Detection of the end of the local target's lifetime."""

__all__ = ["LossWatch"]

import threading
import time
from collections import deque
from dataclasses import dataclass

import structlog

from ..policy.losses import TargetLosses
from ..policy.unanswered import TargetLifetime, UnansweredRun
from .client import Target
from .dependencies import GateDependencies

# A process that crashes may reset connections shortly before its port closes.
CHECK_DELAY_S = 0.03
# The one that is served, and replaced ones that may still have runs.
MAX_WATCHED_TARGETS = 4
MS_PER_S = 1000

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _WatchedTarget:
    target: Target
    losses: TargetLosses


class LossWatch:
    """Detect runs that the end of the target cut off, and mark their requests.

    The target's lifetime has ended if its port is closed after a run was cut off, or
    given up without any answer of the target since the run began. The end of a target
    that was replaced does not concern the runs of its replacement.

    Args:
        deps: Collaborators of the gate.
        node_id: Identifier of this node.
    """

    def __init__(self, deps: GateDependencies, node_id: int):
        self._deps = deps
        self._node_id = node_id
        self._lock = threading.Lock()
        self._watched: deque[_WatchedTarget] = deque(maxlen=MAX_WATCHED_TARGETS)

    def _losses_of(self, target: Target) -> TargetLosses:
        """Return what is known of a target's losses; the lock must be held."""
        for watched in self._watched:
            if watched.target is target:
                return watched.losses
        born_ms = int(self._deps.clock() * MS_PER_S)
        losses = TargetLosses(TargetLifetime(self._node_id, born_ms))
        self._watched.append(_WatchedTarget(target, losses))
        return losses

    def record_answer(self, began_at: float, opened_at: float, target: Target) -> None:
        """Record an answer.

        Args:
            began_at: Monotonic time at which its run began, in seconds.
            opened_at: Monotonic time at which its connection was opened, in seconds.
            target: Target that gave it.
        """
        with self._lock:
            losses = self._losses_of(target)
            losses.lifetime_of(began_at)
            losses.record_answer(self._deps.clock(), opened_at)

    def record_cut_off(
        self, fingerprint: str, began_at: float, target: Target
    ) -> TargetLifetime | None:
        """Record a run that was cut off; return its lifetime if the target is lost."""
        run = self._add(fingerprint, began_at, target)
        time.sleep(CHECK_DELAY_S)
        return self._check(run, target)

    def record_given_up(
        self, fingerprint: str, began_at: float, target: Target
    ) -> None:
        """Record a run that is given up, if no run was answered since it began."""
        with self._lock:
            silent = self._losses_of(target).was_silent_since(began_at)
        if silent:
            self._check(self._add(fingerprint, began_at, target), target)

    def _add(self, fingerprint: str, began_at: float, target: Target) -> UnansweredRun:
        with self._lock:
            losses = self._losses_of(target)
            lifetime = losses.lifetime_of(began_at)
            now = self._deps.clock()
            run = UnansweredRun(lifetime, fingerprint, began_at, now)
            losses.add(run)
        return run

    def _check(self, run: UnansweredRun, target: Target) -> TargetLifetime | None:
        """Return a run's lifetime if it has ended, and mark the requests it cut off."""
        closed = not target.accepts_connections()
        with self._lock:
            losses = self._losses_of(target)
            if closed and run.lifetime == losses.lifetime:
                losses.end(self._deps.clock())
            if not losses.has_ended(run.lifetime):
                return None
            now = self._deps.clock()
            runs = losses.take(now, run.lifetime)
        if runs:
            log.warning("target_crashed", cut_off=len(runs))
        for mark in self._deps.quarantine.record_lost_runs(now, runs):
            self._deps.broadcast_mark(mark)
        return run.lifetime
