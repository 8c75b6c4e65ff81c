"""What a stopping node still takes, and when it may exit.

Load answered: callers that go on sending requests to a node that stops beside a busy
target, and callers that read their answers slowly.
"""

__all__ = ["Shutdown", "UnfinishedWork"]

from dataclasses import dataclass

# The listener outlives the drain period, in which callers turn to other nodes.
LISTEN_MARGIN_S = 0.1
# The gate stops before the listener, so that its last calls finish meanwhile.
GATE_LEAD_S = 0.7
# Time before the end of the grace period at which the process exits.
EXIT_MARGIN_S = 0.6
# Time from the end of a request until its answer is on its way.
ANSWER_S = 0.2


@dataclass(frozen=True, slots=True)
class UnfinishedWork:
    """What a node has taken and not finished.

    Args:
        gate_busy: Whether calls wait or run at the gate.
        requests: Requests of callers that are not answered.
        unwritten_bytes: Bytes of answers that connections have not taken yet.
    """

    gate_busy: bool
    requests: int
    unwritten_bytes: int


class Shutdown:
    """Decide what a node takes from its stop signal on.

    In the drain period it takes every request. After it, only those that end before
    it exits; calls of runs of its own target are always taken, since the target is at
    work on them.

    Args:
        now: Time of the signal, in seconds.
        drain_s: Time in which callers turn to other nodes.
        grace_s: Time after which the process is killed.
    """

    def __init__(self, now: float, drain_s: float, grace_s: float):
        self.exit_at = now + grace_s - EXIT_MARGIN_S
        self.listen_until = min(now + drain_s + LISTEN_MARGIN_S, self.exit_at)
        self.gate_until = self.listen_until - GATE_LEAD_S

    def admits(self, now: float, wait_s: float) -> bool:
        """Report whether a caller's request is taken.

        Args:
            now: Time of its arrival, in seconds.
            wait_s: Longest time until it is answered, in seconds.
        """
        return now < self.listen_until or now + wait_s + ANSWER_S <= self.exit_at

    def gate_takes_calls(self, now: float) -> bool:
        """Report whether the gate takes calls."""
        return now < self.gate_until

    def closes_listener(self, now: float, work: UnfinishedWork) -> bool:
        """Report whether connections are no longer accepted.

        Runs of the target may still make calls, on connections of their own.
        """
        return now >= self.listen_until and not work.gate_busy

    def may_exit(self, now: float, work: UnfinishedWork) -> bool:
        """Report whether the process may exit."""
        if now >= self.exit_at:
            return True
        finished = not work.requests and not work.unwritten_bytes
        return self.closes_listener(now, work) and finished
