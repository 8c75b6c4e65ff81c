"""Demand of one account over all nodes, as the owner of its quota sees it."""

__all__ = ["DEMAND_TTL_S", "AccountDemand"]

import math
from dataclasses import dataclass, field

from .quota import DEMAND_AVERAGE_S
from .rendezvous import Address

# Time for which a node uses the demand that it was told.
DEMAND_TTL_S = 10.0
# Time after which a node is told again even if the demand is unchanged, so that what it
# was told does not expire.
REFRESH_S = 4.0
# Relative change of the demand of which a node is told at once.
NOTABLE_CHANGE = 0.1
# No demand is given before this time of recording: it would be of too few requests.
MIN_AGE_S = 4.0


@dataclass(slots=True)
class _Told:
    per_s: float
    at: float

    def is_stale(self, now: float, per_s: float) -> bool:
        """Report whether a node that was told this is to be told a new demand."""
        changed = abs(per_s - self.per_s) > NOTABLE_CHANGE * self.per_s
        return changed or now - self.at >= REFRESH_S


@dataclass(slots=True)
class AccountDemand:
    """Average the requests of an account and tell nodes of it when it changed.

    Args:
        started_at: Time since which requests are recorded, in seconds.
    """

    started_at: float
    _count: float = 0.0
    _counted_at: float = -math.inf
    _told: dict[Address, _Told] = field(default_factory=dict)

    def record(self, now: float, requests: int) -> None:
        """Record requests; a negative number takes back some recorded before."""
        self._count = max(0.0, self._count_at(now) + requests)
        self._counted_at = now

    def per_s(self, now: float) -> float | None:
        """Return the requests per second; None before MIN_AGE_S of recording."""
        age_s = now - self.started_at
        if age_s < MIN_AGE_S:
            return None
        counted_s = DEMAND_AVERAGE_S * (1.0 - math.exp(-age_s / DEMAND_AVERAGE_S))
        return self._count_at(now) / counted_s

    def tell(self, now: float, node: Address) -> float | None:
        """Return the requests per second if the node is to be told of them."""
        per_s = self.per_s(now)
        if per_s is None:
            return None
        told = self._told.get(node)
        if told is not None and not told.is_stale(now, per_s):
            return None
        self._told[node] = _Told(per_s, now)
        return per_s

    def forget_idle(self, now: float) -> None:
        """Forget the nodes for which what they were told is no longer valid."""
        for node, told in list(self._told.items()):
            if now - told.at > DEMAND_TTL_S:
                del self._told[node]

    def _count_at(self, now: float) -> float:
        return self._count * math.exp((self._counted_at - now) / DEMAND_AVERAGE_S)
