"""When a refused caller should come back."""

__all__ = ["retry_after_s"]

from random import Random

LEAST_S = 0.2
MOST_S = 3.0
SPREAD = 0.5


def retry_after_s(expected_wait_s: float, rng: Random) -> float:
    """Return a delay after which room is expected, spread over the callers.

    Args:
        expected_wait_s: Time that a new request would wait now, in seconds.
        rng: Source of the spread.
    """
    base = min(MOST_S, max(LEAST_S, expected_wait_s))
    return base * (1.0 + rng.random() * SPREAD)
