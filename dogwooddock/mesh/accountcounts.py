"""Requests per account, for metrics with a bounded number of labels."""

__all__ = ["OTHER_ACCOUNTS", "AccountCounts"]

from collections import Counter, defaultdict
from dataclasses import dataclass, field

OTHER_ACCOUNTS = "(others)"
SHOWN_ACCOUNTS = 20
MAX_ACCOUNTS = 4096


@dataclass
class AccountCounts:
    """Count the requests of each account by outcome."""

    _counts: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )

    def record(self, account: str, outcome: str) -> None:
        """Count one request; accounts beyond MAX_ACCOUNTS are summed."""
        if account not in self._counts and len(self._counts) >= MAX_ACCOUNTS:
            account = OTHER_ACCOUNTS
        self._counts[account][outcome] += 1

    def top(self) -> dict[str, Counter[str]]:
        """Return the counts of the busiest accounts, and the sum of the others."""
        ordered = sorted(
            self._counts, key=lambda name: self._counts[name].total(), reverse=True
        )
        shown = {name: self._counts[name] for name in ordered[:SHOWN_ACCOUNTS]}
        others: Counter[str] = shown.pop(OTHER_ACCOUNTS, Counter())
        for name in ordered[SHOWN_ACCOUNTS:]:
            others = others + self._counts[name]
        if others:
            shown[OTHER_ACCOUNTS] = others
        return shown
