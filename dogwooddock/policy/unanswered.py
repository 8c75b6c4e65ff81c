"""Runs that ended without an answer, kept until the fate of their target is known."""

__all__ = ["TargetLifetime", "UnansweredRun", "UnansweredRuns"]

from dataclasses import dataclass, field

# A run counts for the end of its target only if that is known within this time.
RUN_RETENTION_S = 15.0
MAX_RUNS = 200


@dataclass(frozen=True, slots=True)
class TargetLifetime:
    """One lifetime of the target beside a node.

    Args:
        node_id: Node of the target.
        born_ms: Start of the lifetime, in Unix milliseconds.
    """

    node_id: int
    born_ms: int


@dataclass(frozen=True, slots=True)
class UnansweredRun:
    """A run that got no answer.

    Args:
        lifetime: Target that the request was sent to.
        fingerprint: Fingerprint of the request.
        began_at: Monotonic time at which it was sent, in seconds.
        ended_at: Monotonic time at which it was cut off or given up, in seconds.
    """

    lifetime: TargetLifetime
    fingerprint: str
    began_at: float
    ended_at: float


@dataclass
class UnansweredRuns:
    """Remember unanswered runs until their target is known to live or to have ended.

    At most MAX_RUNS runs are kept; the oldest is dropped.
    """

    _runs: list[UnansweredRun] = field(default_factory=list)

    def add(self, run: UnansweredRun) -> None:
        """Remember a run."""
        self._runs.append(run)
        del self._runs[:-MAX_RUNS]

    def drop_alive(self, lifetime: TargetLifetime, since: float) -> None:
        """Forget the runs of a target that has been alive since a time until now.

        An answer on a connection that was opened at that time shows this.
        """
        if self._runs:
            self._runs = [
                run
                for run in self._runs
                if run.lifetime != lifetime or run.ended_at < since
            ]

    def take(self, now: float, lifetime: TargetLifetime) -> list[UnansweredRun]:
        """Remove and return the recent runs of a target that has ended."""
        if not self._runs:
            return []
        taken = [run for run in self._runs if run.lifetime == lifetime]
        self._runs = [run for run in self._runs if run.lifetime != lifetime]
        return [run for run in taken if now - run.ended_at < RUN_RETENTION_S]
