"""Delay after which a refused caller should retry."""

__all__ = ["retry_after_s"]

from random import Random

MIN_DELAY_S = 0.2
MAX_DELAY_S = 3.0
JITTER_SHARE = 0.5


def retry_after_s(expected_wait_s: float, rng: Random) -> float:
    """Return the Retry-After delay in seconds, with jitter.

    The jitter keeps callers that were refused together from returning together.

    Args:
        expected_wait_s: Time that a new request would wait in the queue now, in
            seconds; the base of the delay, within its bounds.
        rng: Source of the jitter.
    """
    base = min(MAX_DELAY_S, max(MIN_DELAY_S, expected_wait_s))
    return base * (1.0 + rng.random() * JITTER_SHARE)
