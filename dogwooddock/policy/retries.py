"""Bound on retries as a share of the load, per caller and pool."""

__all__ = ["RetryBudget"]

from dataclasses import dataclass, field

RETRY_RATIO = 0.1
MAX_TOKENS = 10.0
INITIAL_TOKENS = 3.0
MAX_PAIRS = 4096


@dataclass
class RetryBudget:
    """Earn a fraction of a retry with every request and spend one per retry."""

    ratio: float = RETRY_RATIO
    _tokens: dict[tuple[str, str], float] = field(default_factory=dict)

    def earn(self, caller: str, pool: str) -> None:
        """Account for one first attempt."""
        key = (caller, pool)
        held = self._tokens.get(key, INITIAL_TOKENS)
        if len(self._tokens) >= MAX_PAIRS:
            self._tokens.clear()
        self._tokens[key] = min(MAX_TOKENS, held + self.ratio)

    def spend(self, caller: str, pool: str) -> bool:
        """Take one retry; return False if the budget is exhausted."""
        key = (caller, pool)
        held = self._tokens.get(key, INITIAL_TOKENS)
        if held < 1.0:
            return False
        self._tokens[key] = held - 1.0
        return True
