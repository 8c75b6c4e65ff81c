"""The budget that limits the share of retries in the load."""

__all__ = ["RetryBudget"]

from dataclasses import dataclass, field

RETRY_RATIO = 0.1
MAX_TOKENS = 10.0
INITIAL_TOKENS = 3.0
MAX_BUCKETS = 4096


@dataclass
class RetryBudget:
    """Token bucket per caller and pool that limits retries to a share of the requests.

    Args:
        ratio: Tokens that each first attempt adds; a retry takes one token.
        max_tokens: Size of a bucket.
        initial_tokens: Tokens of a new bucket.
    """

    ratio: float = RETRY_RATIO
    max_tokens: float = MAX_TOKENS
    initial_tokens: float = INITIAL_TOKENS
    _tokens: dict[tuple[str, str], float] = field(default_factory=dict)

    def earn(self, caller: str, pool: str) -> None:
        """Add the tokens for one first attempt."""
        key = (caller, pool)
        tokens = self._tokens.get(key, min(self.max_tokens, self.initial_tokens))
        if len(self._tokens) >= MAX_BUCKETS:
            self._tokens.clear()
        self._tokens[key] = min(self.max_tokens, tokens + self.ratio)

    def grant(self, count: float) -> None:
        """Add tokens to each bucket, and to those that are not used yet."""
        self.initial_tokens += count
        for key, tokens in self._tokens.items():
            self._tokens[key] = min(self.max_tokens, tokens + count)

    def debit(self, caller: str, pool: str) -> None:
        """Take a token for a retry that an upstream node made; may go below zero."""
        key = (caller, pool)
        tokens = self._tokens.get(key, min(self.max_tokens, self.initial_tokens))
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
        tokens = self._tokens.get(key, min(self.max_tokens, self.initial_tokens))
        if tokens < 1.0 + reserve * max(0.0, self.max_tokens - 1.0):
            return False
        self._tokens[key] = tokens - 1.0
        return True
