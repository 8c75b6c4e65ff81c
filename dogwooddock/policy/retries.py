"""Which attempts may be retried, and how large a share of the load retries are."""

__all__ = ["FREE_OF_WORK", "RetryBudget", "worth_retry"]

from dataclasses import dataclass, field

from .outcomes import Outcome, Reason

RETRY_RATIO = 0.1
MAX_TOKENS = 10.0
INITIAL_TOKENS = 3.0
MAX_PAIRS = 4096


SHED_STATUS = 503
FREE_OF_WORK = frozenset(
    {Reason.DRAINING, Reason.NO_TARGET, Reason.TARGET_UNREACHABLE, Reason.PEER_FAILED}
)
RETRY_NOT_RUN = FREE_OF_WORK | {Reason.OVERLOAD, Reason.DISPLACED}
RETRY_UNKNOWN = frozenset({Reason.TARGET_FAILED, Reason.PEER_FAILED})


def worth_retry(
    idempotent: bool, outcome: Outcome, reason: Reason, status: int
) -> bool:
    """Report whether another target may be tried.

    Args:
        idempotent: Whether the request may run more than once.
        outcome: Outcome of the attempt.
        reason: Reason that came with it.
        status: HTTP status, if it was answered.
    """
    if outcome is Outcome.NOT_RUN:
        return reason in RETRY_NOT_RUN
    if not idempotent:
        return False
    if outcome is Outcome.ANSWERED:
        return status == SHED_STATUS and not reason
    return reason in RETRY_UNKNOWN


@dataclass
class RetryBudget:
    """Earn a fraction of a retry with every request and spend one per retry."""

    ratio: float = RETRY_RATIO
    max_tokens: float = MAX_TOKENS
    _tokens: dict[tuple[str, str], float] = field(default_factory=dict)

    def earn(self, caller: str, pool: str) -> None:
        """Account for one first attempt."""
        key = (caller, pool)
        held = self._tokens.get(key, min(self.max_tokens, INITIAL_TOKENS))
        if len(self._tokens) >= MAX_PAIRS:
            self._tokens.clear()
        self._tokens[key] = min(self.max_tokens, held + self.ratio)

    def debit(self, caller: str, pool: str) -> None:
        """Account for a repeat that was decided elsewhere; may go below zero."""
        key = (caller, pool)
        held = self._tokens.get(key, min(self.max_tokens, INITIAL_TOKENS))
        self._tokens[key] = held - 1.0

    def spend(self, caller: str, pool: str, reserve: float = 0.0) -> bool:
        """Take one retry; return False if the budget is exhausted.

        Args:
            caller: Caller that it is charged to.
            pool: Pool that gets the retry.
            reserve: Share of the most that can be held, which is left for others.
        """
        key = (caller, pool)
        held = self._tokens.get(key, min(self.max_tokens, INITIAL_TOKENS))
        if held < 1.0 + reserve * max(0.0, self.max_tokens - 1.0):
            return False
        self._tokens[key] = held - 1.0
        return True
