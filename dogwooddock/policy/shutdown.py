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
# Time from the deadline of a request until its answer is on its way.
ANSWER_S = 0.3
# Time in which answers to the requests that are left are written.
LAST_ANSWERS_S = 0.16
# A request may take longer than the longest of late.
LATENCY_MARGIN = 1.5


@dataclass(frozen=True, slots=True)
class UnfinishedWork:
    """What a node has taken and not finished.

    Args:
        gate_busy: Whether calls wait or run at the gate.
        requests: Requests of callers that are not answered.
        unwritten_bytes: Bytes of answers that connections have not taken yet.
        closing: Connections that are being closed.
    """

    gate_busy: bool
    requests: int
    unwritten_bytes: int
    closing: int = 0


class Shutdown:
    """Decide what a node takes from its stop signal on.

    In the drain period it takes every request. After it, only those that are expected
    to end before it exits. None gets more time than is left, so that targets give up
    in time for an answer.

    Args:
        now: Time of the signal, in seconds.
        drain_s: Time in which callers turn to other nodes.
        grace_s: Time after which the process is killed.
    """

    def __init__(self, now: float, drain_s: float, grace_s: float):
        self.exit_at = now + grace_s - EXIT_MARGIN_S
        self.last_deadline = self.exit_at - ANSWER_S
        self.listen_until = min(now + drain_s + LISTEN_MARGIN_S, self.exit_at)
        self.gate_until = self.listen_until - GATE_LEAD_S

    def admits(self, now: float, wait_s: float, usual_s: float | None = None) -> bool:
        """Report whether a caller's request is taken.

        Args:
            now: Time of its arrival, in seconds.
            wait_s: Longest time until it is answered, in seconds.
            usual_s: Longest time that such requests took of late, in seconds; None if
                that is not known.
        """
        if now < self.listen_until:
            return True
        if usual_s is not None:
            wait_s = min(wait_s, usual_s * LATENCY_MARGIN)
        return now + wait_s <= self.last_deadline

    def admits_call(self, now: float) -> bool:
        """Report whether a call of a run of the local target is taken.

        The target is at work on the run, so a call is refused only if it cannot end.

        Args:
            now: Time of its arrival, in seconds.
        """
        return now < self.last_deadline

    def limit_deadline(self, deadline: float) -> float:
        """Return the deadline of a request that is taken now, in seconds."""
        return min(deadline, self.last_deadline)

    def gate_takes_calls(self, now: float) -> bool:
        """Report whether the gate takes calls."""
        return now < self.gate_until

    def closes_connections(self, now: float) -> bool:
        """Report whether connections are closed behind their next answers."""
        return now >= self.listen_until

    def closes_listener(self, now: float, work: UnfinishedWork) -> bool:
        """Report whether connections are no longer accepted.

        Runs of the target may still make calls, on connections of their own.
        """
        return now >= self.listen_until and not work.gate_busy

    def gives_up(self, now: float) -> bool:
        """Report whether requests that are left are answered by the node itself."""
        return now >= self.exit_at - LAST_ANSWERS_S

    def may_exit(self, now: float, work: UnfinishedWork) -> bool:
        """Report whether the process may exit."""
        if now >= self.exit_at:
            return True
        finished = not work.requests and not work.unwritten_bytes and not work.closing
        return self.closes_listener(now, work) and finished
