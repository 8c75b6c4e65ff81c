"""Limit on the requests a second that are sent to one target."""

__all__ = ["RateLimit"]

from dataclasses import dataclass

# Unused allowance is kept for this long, so that a short lull costs no throughput.
BURST_S = 0.5
MIN_BURST = 1.0
# A target that allows less is still tried this often, to learn that its limit ended.
MIN_RATE_PER_S = 0.5


@dataclass
class RateLimit:
    """Token bucket that follows the rate that a target names; unlimited at first.

    Args:
        per_s: Requests a second that the target accepts; None for no limit.
    """

    per_s: float | None = None
    _tokens: float = 0.0
    _updated_at: float = 0.0

    def set(self, now: float, per_s: float | None) -> None:
        """Change the rate; allowance of the rate before is kept up to the new burst.

        A limit that is new starts without any allowance, since the requests of the time
        before have used it.

        Args:
            now: Monotonic time, in seconds.
            per_s: Requests a second; None for no limit.
        """
        if per_s is not None:
            per_s = max(MIN_RATE_PER_S, per_s)
        if per_s == self.per_s:
            return
        self._tokens = self._available(now) if self.per_s is not None else 0.0
        self._updated_at = now
        self.per_s = per_s
        self._tokens = min(self._tokens, self._burst)

    @property
    def _burst(self) -> float:
        return max(MIN_BURST, (self.per_s or 0.0) * BURST_S)

    def _available(self, now: float) -> float:
        earned = (now - self._updated_at) * (self.per_s or 0.0)
        return min(self._burst, self._tokens + earned)

    def allows(self, now: float) -> bool:
        """Report whether a request may be sent now."""
        return self.per_s is None or self._available(now) >= 1.0

    def take(self, now: float) -> None:
        """Count a request that is sent now, also one that was not allowed."""
        if self.per_s is not None:
            self._tokens = self._available(now) - 1.0
            self._updated_at = now

    def delay_s(self, now: float, ahead: int) -> float:
        """Return the time until a request may be sent after ``ahead`` others."""
        if self.per_s is None:
            return 0.0
        return max(0.0, (ahead + 1 - self._available(now)) / self.per_s)

    def concurrency(self, service_s: float) -> float:
        """Return the mean number of requests in flight at the full rate.

        Args:
            service_s: Mean service time of a request, in seconds.
        """
        return float("inf") if self.per_s is None else self.per_s * service_s
