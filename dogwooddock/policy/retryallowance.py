"""The part of the retries of a fleet that one node may make.

Load answered: many nodes that retry at the same moment, some of them just started.
"""

__all__ = ["RetryAllowance"]

from .retries import RetryBudget
from .retrywindow import RetryWindow, spend_retry

# Part of the fleet's allowance that its nodes divide among themselves.
USED_FRACTION = 0.8
MAX_TOKENS = 4.0


class RetryAllowance:
    """Grant the retries of one node, so that those of all stay within the fleet's.

    Args:
        ratio: Retries per request that the fleet may make.
        extra: Further retries of the fleet for each pool in a window.
    """

    def __init__(self, ratio: float, extra: float):
        self.budget = RetryBudget(ratio * USED_FRACTION, MAX_TOKENS)
        self.window = RetryWindow(ratio * USED_FRACTION)
        self._extra = extra * USED_FRACTION

    def resize(self, nodes: int) -> None:
        """Take this node's share of the extra retries.

        Args:
            nodes: Nodes of the fleet, this one included.
        """
        share = self._extra / max(1, nodes)
        self.budget.max_tokens = min(MAX_TOKENS, max(1.0, share))

    def record_request(self, pool: str, now: float) -> None:
        """Let a request for a pool earn its part of a retry.

        Args:
            pool: Pool that the request is sent to.
            now: Monotonic time in seconds.
        """
        self.budget.earn("", pool)
        self.window.record_request(pool, now)

    def record_repeat(self, pool: str, now: float) -> None:
        """Charge a call of a run that is itself a retry."""
        self.budget.debit("", pool)
        self.window.record_retry(pool, now)

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
            self.budget, self.window, pool, now, reserve, turned_away_share
        )
