"""Counts of the requests at an ingress, for metrics and state dumps."""

__all__ = ["RequestCounts"]

from collections import Counter
from dataclasses import dataclass, field

from ..policy.outcomes import Outcome, Reason
from .accountcounts import AccountCounts
from .latencyhistogram import LatencyHistogram


@dataclass
class RequestCounts:
    """Count the requests of one ingress since its start.

    Args:
        resends: Retries that were charged.
        outcomes: Answered requests by route, outcome and reason; the route is empty
            for requests that came before the first configuration.
        chains_refused: Requests by route whose chains would find no room.
        accounts: Requests of client accounts by outcome.
        latency: Time from arrival to answer, by route.
    """

    resends: int = 0
    outcomes: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    chains_refused: Counter[str] = field(default_factory=Counter)
    accounts: AccountCounts = field(default_factory=AccountCounts)
    latency: LatencyHistogram = field(default_factory=LatencyHistogram)

    def record(self, route: str, outcome: Outcome, reason: Reason) -> None:
        """Count a request that has ended."""
        self.outcomes[(route, outcome.value, reason.value)] += 1
