"""Retries of turned-away calls, within what a window of requests allows.

Load answered: a pool that turns away so many calls for some seconds that a token
bucket is empty, although hardly any retry was made in the seconds before.
"""

__all__ = ["WINDOW_S", "RetryWindow", "spend_retry"]

from collections import deque
from dataclasses import dataclass, field

from .retries import RetryBudget

# Whole seconds, as requests are counted by second.
WINDOW_S = 10
HALF_WINDOW_S = 5
# Retries that only earlier requests allow are spread over intervals of so many seconds,
# with at least one retry in each.
PACE_S = 2
MAX_POOLS = 4096


@dataclass(slots=True)
class _Second:
    number: int
    requests: int = 0
    retries: int = 0


@dataclass(slots=True)
class _Counts:
    """Requests of the last window and of the one before, and recent retries."""

    recent: int = 0
    earlier: int = 0
    retries: int = 0
    paced: int = 0


@dataclass
class RetryWindow:
    """Count the requests and retries of each pool by second.

    A retry is allowed while the retries of the last WINDOW_S seconds are fewer than
    a share of the requests in them, or in as many that ended HALF_WINDOW_S ago:
    requests that edges refuse to protect a pool do not take the retries from those they
    admit. Retries that only the earlier requests allow are spread over the window,
    since their number falls.

    Args:
        ratio: Retries per request.
    """

    ratio: float
    _pools: dict[str, deque[_Second]] = field(default_factory=dict)

    def record_request(self, pool: str, now: float) -> None:
        """Count a request for a pool."""
        self._second(pool, now).requests += 1

    def record_retry(self, pool: str, now: float) -> None:
        """Count an attempt that is a retry, or belongs to one."""
        self._second(pool, now).retries += 1

    def allows(self, pool: str, now: float, importance_share: float) -> bool:
        """Report whether another retry fits.

        Args:
            pool: Pool that gets the retry.
            now: Monotonic time in seconds.
            importance_share: Importance of the request over the highest, 0 to 1. Its
                square is the part of the allowance that the request may draw on.
        """
        counts = self._count(pool, now)
        part = self.ratio * importance_share**2
        if counts.retries + 1 <= part * counts.recent:
            return True
        pace = max(1.0, part * counts.earlier * PACE_S / WINDOW_S)
        return counts.retries + 1 <= part * counts.earlier and counts.paced + 1 <= pace

    def has_room(self, pool: str, now: float, spare: float) -> bool:
        """Report whether another retry fits, with some to spare beyond the ratio."""
        counts = self._count(pool, now)
        requests = max(counts.recent, counts.earlier)
        return counts.retries + 1 <= self.ratio * requests + spare

    def left(self, pool: str, now: float, part: float = 1.0) -> float:
        """Return the retries that fit into a part of the allowance within PACE_S."""
        counts = self._count(pool, now)
        share = self.ratio * part
        recent = share * counts.recent - counts.retries
        earlier = share * counts.earlier
        pace = earlier * PACE_S / WINDOW_S
        paced = min(earlier - counts.retries, (2.0 * pace - counts.paced) / 2.0)
        return max(0.0, recent, paced)

    def _count(self, pool: str, now: float) -> "_Counts":
        counts = _Counts()
        for second in self._pools.get(pool, ()):
            age_s = int(now) - second.number
            if age_s < WINDOW_S:
                counts.recent += second.requests
            # The oldest second may lie in the window in part.
            if age_s <= WINDOW_S:
                counts.retries += second.retries
            if HALF_WINDOW_S <= age_s < HALF_WINDOW_S + WINDOW_S:
                counts.earlier += second.requests
            if age_s < PACE_S:
                counts.paced += second.retries
        return counts

    def _second(self, pool: str, now: float) -> _Second:
        seconds = self._pools.get(pool)
        if seconds is None:
            if len(self._pools) >= MAX_POOLS:
                self._pools.clear()
            seconds = self._pools[pool] = deque(maxlen=WINDOW_S + HALF_WINDOW_S)
        number = int(now)
        if not seconds or seconds[-1].number != number:
            seconds.append(_Second(number))
        return seconds[-1]


def spend_retry(
    budget: RetryBudget,
    window: RetryWindow,
    pool: str,
    now: float,
    reserve: float,
    turned_away_share: float | None,
    spare: float,
) -> bool:
    """Charge a retry to the token bucket or to the window; report whether it fits.

    The bucket fills while the window is spent, so retries of both count together.

    Args:
        budget: Token bucket of the node.
        window: Requests and retries of the node.
        pool: Pool that gets the retry.
        now: Monotonic time in seconds.
        reserve: Share of the bucket that must remain, 0 to 1.
        turned_away_share: Importance share of a call that a target turned away; None
            for other retries, which the window does not allow.
        spare: Retries beyond the ratio that the bucket may allow in a window.
    """
    within = window.has_room(pool, now, spare)
    allowed = within and budget.spend("", pool, reserve)
    if not allowed and turned_away_share is not None:
        allowed = window.allows(pool, now, turned_away_share)
    if allowed:
        window.record_retry(pool, now)
    return allowed
