"""Timing of the calls with which readers of the store wait for changes."""

__all__ = ["REGULAR_TIMING", "PollTiming", "lead_timing"]

from dataclasses import dataclass

# Shares of the time in which a change has to be in use everywhere; the rest is for the
# way from the reader to the other nodes.
LEAD_WAIT_SHARE = 0.4
LEAD_ANSWER_SHARE = 0.2
LEAD_RETRY_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class PollTiming:
    """Timing of one reader's calls.

    Args:
        wait_s: Time that the store may hold a call until there is a change, in seconds.
        answer_s: Time beyond it after which the call is taken to be lost, in seconds.
        retry_s: Longest pause between calls while the store does not answer, in
            seconds.
    """

    wait_s: float
    answer_s: float
    retry_s: float


REGULAR_TIMING = PollTiming(wait_s=8.0, answer_s=1.5, retry_s=2.0)


def lead_timing(bound_s: float) -> PollTiming:
    """Return the timing of a lead reader.

    The store may drop a call that waits and leave its connection open. A change
    that follows is noticed after ``wait_s`` and ``answer_s`` at the latest.

    Args:
        bound_s: Time in which a change has to be in use everywhere, in seconds.
    """
    return PollTiming(
        wait_s=min(REGULAR_TIMING.wait_s, bound_s * LEAD_WAIT_SHARE),
        answer_s=min(REGULAR_TIMING.answer_s, bound_s * LEAD_ANSWER_SHARE),
        retry_s=min(REGULAR_TIMING.retry_s, bound_s * LEAD_RETRY_SHARE),
    )
