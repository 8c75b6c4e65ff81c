"""Runs that the end of the target's lifetime cut off."""

__all__ = ["TargetLosses"]

from dataclasses import dataclass, field

from .unanswered import TargetLifetime, UnansweredRun, UnansweredRuns


@dataclass
class TargetLosses:
    """Tell which runs the end of the target's lifetime cut off.

    Runs that were cut off without an answer shortly before the end is known count for
    it, and later ones when they are cut off.

    Args:
        lifetime: Present lifetime of the target, or the last one.
    """

    lifetime: TargetLifetime
    _ended: TargetLifetime | None = None
    _ended_at: float = 0.0
    _answered_at: float = 0.0
    _runs: UnansweredRuns = field(default_factory=UnansweredRuns)

    def watch(self, born_ms: int) -> None:
        """Begin a new lifetime.

        A target that is used again after its end was known has restarted, even if it
        has not reported a later start yet; its lifetime gets a number of its own.
        """
        if self._ended is not None:
            born_ms = max(born_ms, self._ended.born_ms + 1)
        self.lifetime = TargetLifetime(self.lifetime.node_id, born_ms)

    def lifetime_of(self, began_at: float) -> TargetLifetime:
        """Return the lifetime of a run that reached the target, by when it began.

        A run that began after the last end was known shows that the target is back.
        """
        if self._ended is None:
            return self.lifetime
        if began_at <= self._ended_at:
            return self._ended
        if self.has_ended(self.lifetime):
            self.watch(0)
        return self.lifetime

    def has_ended(self, lifetime: TargetLifetime) -> bool:
        """Report whether a lifetime is the last one that is known to have ended."""
        return lifetime == self._ended

    def record_answer(self, now: float, opened_at: float) -> None:
        """Record an answer: the target has lived since its connection was opened."""
        self._answered_at = now
        self._runs.drop_alive(self.lifetime, opened_at)

    def was_silent_since(self, began_at: float) -> bool:
        """Report whether no run was answered since a run began.

        Only then may a run that is given up count for the end of the target.
        """
        return self._answered_at < began_at

    def add(self, run: UnansweredRun) -> None:
        """Record a run that was cut off, or given up in silence."""
        self._runs.add(run)

    def end(self, now: float) -> None:
        """Record that the present lifetime has ended."""
        self._ended = self.lifetime
        self._ended_at = now

    def take(self, now: float, lifetime: TargetLifetime) -> list[UnansweredRun]:
        """Remove and return the runs that the end of a lifetime cut off."""
        return self._runs.take(now, lifetime)
