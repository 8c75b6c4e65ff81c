"""Rules for retries, and the budget that limits their share of the load."""

__all__ = ["NO_WORK_REASONS", "RetryBudget", "is_retryable"]

from dataclasses import dataclass, field

from .outcomes import Outcome, Reason

RETRY_RATIO = 0.1
MAX_TOKENS = 10.0
INITIAL_TOKENS = 3.0
MAX_BUCKETS = 4096


SHED_STATUS = 503
# Refusals that cost no work; retries after them are not charged to the budget.
NO_WORK_REASONS = frozenset(
    {Reason.DRAINING, Reason.NO_TARGET, Reason.TARGET_UNREACHABLE, Reason.PEER_FAILED}
)
RETRYABLE_NOT_RUN_REASONS = NO_WORK_REASONS | {Reason.OVERLOAD, Reason.DISPLACED}
RETRYABLE_UNKNOWN_REASONS = frozenset({Reason.TARGET_FAILED, Reason.PEER_FAILED})


def is_retryable(
    idempotent: bool, outcome: Outcome, reason: Reason, status: int
) -> bool:
    """Report whether an attempt may be retried on another target.

    Args:
        idempotent: Whether the request may run more than once.
        outcome: Outcome of the attempt.
        reason: Reason that came with it.
        status: HTTP status, if it was answered.
    """
    if outcome is Outcome.NOT_RUN:
        return reason in RETRYABLE_NOT_RUN_REASONS
    if not idempotent:
        return False
    if outcome is Outcome.ANSWERED:
        return status == SHED_STATUS and not reason
    return reason in RETRYABLE_UNKNOWN_REASONS


@dataclass
class RetryBudget:
    """Token bucket per caller and pool that limits retries to a share of the requests.

    Args:
        ratio: Tokens that each first attempt adds; a retry takes one token.
        max_tokens: Size of a bucket.
    """

    ratio: float = RETRY_RATIO
    max_tokens: float = MAX_TOKENS
    _tokens: dict[tuple[str, str], float] = field(default_factory=dict)

    def earn(self, caller: str, pool: str) -> None:
        """Add the tokens for one first attempt."""
        key = (caller, pool)
        tokens = self._tokens.get(key, min(self.max_tokens, INITIAL_TOKENS))
        if len(self._tokens) >= MAX_BUCKETS:
            self._tokens.clear()
        self._tokens[key] = min(self.max_tokens, tokens + self.ratio)

    def debit(self, caller: str, pool: str) -> None:
        """Take a token for a retry that an upstream node made; may go below zero."""
        key = (caller, pool)
        tokens = self._tokens.get(key, min(self.max_tokens, INITIAL_TOKENS))
        self._tokens[key] = tokens - 1.0

    def spend(self, caller: str, pool: str, reserve: float = 0.0) -> bool:
        """Take a token for a retry; return False if the budget is exhausted.

        Args:
            caller: Caller that the retry is charged to.
            pool: Pool that gets the retry.
            reserve: Share of the bucket, 0 to 1, that must remain for more important
                retries.
        """
        key = (caller, pool)
        tokens = self._tokens.get(key, min(self.max_tokens, INITIAL_TOKENS))
        if tokens < 1.0 + reserve * max(0.0, self.max_tokens - 1.0):
            return False
        self._tokens[key] = tokens - 1.0
        return True
