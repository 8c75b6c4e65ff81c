"""Replies of a gate, with its load and the levels that it knows."""

__all__ = ["Replies"]

import threading

from ..peers.wire.ttypes import Attempt, Load, Reply
from ..policy.levels import LevelTable
from ..policy.outcomes import Outcome, Reason
from .dependencies import GateDependencies


class Replies:
    """Build the replies of a gate.

    Args:
        deps: Collaborators of the gate.
        lock: Lock that guards its admission control.
    """

    def __init__(self, deps: GateDependencies, lock: threading.Lock):
        self._deps = deps
        self._lock = lock
        self._downstream_levels = LevelTable()

    def refusal(self, attempt: Attempt, outcome: Outcome, reason: Reason) -> Reply:
        """Return a reply without an answer, with the present load."""
        reply = self.reply(attempt, outcome, reason)
        with self._lock:
            self.add_load(attempt, reply)
        return reply

    def reply(self, attempt: Attempt, outcome: Outcome, reason: Reason) -> Reply:
        """Return a reply without an answer and without the load."""
        return Reply(
            attempt_id=attempt.attempt_id,
            outcome=str(outcome),
            reason=str(reason),
            status=0,
            headers=[],
            body=b"",
            unspent=attempt.allowance,
            load=None,
            downstream_level=0,
            config_version=self._deps.config_version(),
            ticket="",
            key_version=0,
        )

    def repeat(self, attempt: Attempt, earlier: Reply) -> Reply:
        """Return the reply of an earlier attempt as that of its duplicate."""
        with self._lock:
            load = self._load()
        return Reply(
            attempt_id=attempt.attempt_id,
            outcome=earlier.outcome,
            reason=earlier.reason,
            status=earlier.status,
            headers=earlier.headers,
            body=earlier.body,
            unspent=0,
            load=load,
            downstream_level=0,
            config_version=self._deps.config_version(),
            ticket=earlier.ticket,
            key_version=earlier.key_version,
        )

    def record_downstream_level(self, route: str, level: int) -> None:
        """Record the level that the downstream calls of a route's run met."""
        self._downstream_levels.update_smoothed(route, level, self._deps.clock())

    def add_load(self, attempt: Attempt, reply: Reply) -> None:
        """Add the load and the downstream level; the lock must be held."""
        reply.load = self._load()
        reply.downstream_level = self._downstream_levels.level(
            attempt.route, self._deps.clock()
        )

    def _load(self) -> Load:
        admission = self._deps.admission
        return Load(
            admission.limit.value,
            admission.in_flight,
            admission.queued,
            admission.level(self._deps.clock()),
            int(admission.mean_service_s * 1e6),
            admission.draining,
        )
