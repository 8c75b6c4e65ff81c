"""The part of the retries of a fleet that one node may make.

Load answered: many nodes that retry at the same moment, some of them just started.
"""

__all__ = ["RetryAllowance"]

from .retries import RetryBudget
from .retrywindow import WINDOW_S, RetryWindow, spend_retry

# Part of the fleet's allowance that its nodes divide among themselves.
USED_FRACTION = 0.8
MAX_TOKENS = 4.0


class RetryAllowance:
    """Grant the retries of one node, so that those of all stay within the fleet's.

    A node that has started does not know what it spent before. It has no share of the
    extra retries until that lies outside the window.

    Args:
        ratio: Retries per request that the fleet may make.
        extra: Further retries of the fleet for each pool in a window.
        started_at: Monotonic time at which the process started, in seconds.
    """

    def __init__(self, ratio: float, extra: float, started_at: float):
        self.budget = RetryBudget(ratio * USED_FRACTION, 1.0, 0.0)
        self.window = RetryWindow(ratio * USED_FRACTION)
        self._extra = extra * USED_FRACTION
        self._has_share_at = started_at + WINDOW_S
        self._share = 0.0

    def resize(self, nodes: int, now: float) -> None:
        """Take this node's share of the extra retries.

        Args:
            nodes: Nodes of the fleet, this one included.
            now: Monotonic time in seconds.
        """
        share = min(MAX_TOKENS, self._extra / max(1, nodes))
        self.budget.max_tokens = max(1.0, share)
        if now < self._has_share_at:
            return
        if not self._share:
            self.budget.grant(share)
        self._share = share

    def record_request(self, pool: str, now: float, repeat: bool) -> None:
        """Let a request for a pool earn its part of a retry, or charge a repeat.

        Args:
            pool: Pool that the request is sent to.
            now: Monotonic time in seconds.
            repeat: Whether it is a call of a run that is itself a retry.
        """
        if repeat:
            self.budget.debit("", pool)
            self.window.record_retry(pool, now)
        else:
            self.budget.earn("", pool)
            self.window.record_request(pool, now)

    def spend(
        self, pool: str, now: float, reserve: float, turned_away_share: float | None
    ) -> bool:
        """Charge a retry; report whether it fits.

        Args:
            pool: Pool that gets the retry.
            now: Monotonic time in seconds.
            reserve: Share of the tokens that must remain, 0 to 1.
            turned_away_share: Importance share of a call that a target turned away;
                None for other retries.
        """
        return spend_retry(
            self.budget,
            self.window,
            pool,
            now,
            reserve,
            turned_away_share,
            self._share,
        )
