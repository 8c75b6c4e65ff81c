"""Token bucket of one account at its owner, and the parts of the nodes in its limit."""

__all__ = ["FIRST_FILL_SHARE", "QuotaBucket"]

import math
from collections import deque
from dataclasses import dataclass, field

from .accountdemand import AccountDemand
from .clusterview import ClusterView
from .quota import PART_TTL_S, RESERVED_SHARE, TOKEN_TTL_S, QuotaAsk, QuotaLimit
from .rendezvous import Address

# Shares of the allowed excess: a deeper bucket, so that requests within the limit are
# not refused for coming close together, and the first fill of a new owner. The rest is
# for a second change of owner in a window, and for nodes without an owner.
SLACK_SHARE = 0.35
FIRST_FILL_SHARE = 0.25
# Share of the allowed excess that may be granted ahead of requests; such tokens count
# against the depth of the bucket.
OUTSTANDING_SHARE = 0.2
# Share of the bucket that may be granted ahead; most is left for waiting requests.
AHEAD_SHARE = 0.25
PART_REFRESH_S = 5.0
MIN_PART = 0.01
# Relative change of a part of which its node is told at once.
PART_CHANGE = 0.25
# Time over which the demand of nodes is averaged.
DEMAND_S = 5.0
# Parts are computed as if at least this share of the limit were asked for, so that the
# first node to ask does not get all of it.
USUAL_SHARE = 0.6
MIN_DEMAND_AGE_S = 2.0
MIN_DEMAND = 4.0
MIN_RETRY_S = 0.1
MAX_RETRY_S = 3.0


@dataclass(slots=True)
class _NodeUse:
    """What an owner knows of one node's use of an account."""

    demand: float = 0.0
    updated_at: float = 0.0
    part: float = 0.0
    told_at: float = -math.inf
    withheld: float = 0.0

    def demand_at(self, now: float) -> float:
        """Return the recent demand, in requests, decayed to a time."""
        return self.demand * math.exp((self.updated_at - now) / DEMAND_S)


@dataclass(slots=True)
class QuotaBucket:
    """Token bucket of one account at its owner."""

    limit: QuotaLimit
    margin: float
    tokens: float
    updated_at: float
    uses: dict[Address, _NodeUse] = field(default_factory=dict)
    # Expiry times of tokens granted ahead of requests.
    outstanding: deque[tuple[float, int]] = field(default_factory=deque)
    outstanding_tokens: int = 0
    started_at: float = 0.0
    demand: AccountDemand = field(default_factory=lambda: AccountDemand(0.0))
    total_demand: float = 0.0
    demand_at: float = 0.0
    # Sum of the parts that nodes were told of.
    told_parts: float = 0.0
    forgot_at: float = 0.0

    @property
    def capacity(self) -> float:
        """Return the most tokens that the bucket holds."""
        return max(1.0, self.limit.burst) + SLACK_SHARE * self.margin

    def refill(self, now: float, view: ClusterView) -> None:
        """Add what was earned, less the parts of nodes that can't be reached."""
        earned_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        full = self.limit.rate_per_s * earned_s
        withheld = 0.0
        for address in view.cut_off:
            use = self.uses.get(address)
            part = RESERVED_SHARE / view.nodes
            if use is not None:
                part += use.part if now - use.told_at <= PART_TTL_S else 0.0
                use.withheld += part * full
            withheld += part
        gained = full * max(0.0, 1.0 - withheld)
        room = max(0.0, self.capacity - self.outstanding_tokens - self.tokens)
        self.tokens += min(room, gained)
        while self.outstanding and self.outstanding[0][0] <= now:
            self.outstanding_tokens -= self.outstanding.popleft()[1]

    def take(self, now: float, ask: QuotaAsk) -> int:
        """Take tokens for an ask and return their number."""
        available = max(0, int(self.tokens + 1e-9))
        tokens = min(ask.waiting, available)
        room = int(OUTSTANDING_SHARE * self.margin) - self.outstanding_tokens
        spare = int(AHEAD_SHARE * (available - tokens))
        extra = max(0, min(ask.extra, spare, room))
        if extra:
            self.outstanding.append((now + TOKEN_TTL_S, extra))
            self.outstanding_tokens += extra
        self.tokens -= tokens + extra
        return tokens + extra

    def debit(self, node: Address, spent: int) -> None:
        """Charge what a node admitted on its own part, unless it was withheld."""
        use = self.uses.get(node)
        covered = 0.0
        if use is not None:
            covered, use.withheld = min(spent, use.withheld), 0.0
        floor = -self.capacity - self.margin
        self.tokens = max(floor, self.tokens - spent + covered)

    def retry_s(self, unmet: int) -> float:
        """Return the time until there is room for more requests, in seconds."""
        rate = max(self.limit.rate_per_s, 1e-3)
        return min(MAX_RETRY_S, max(MIN_RETRY_S, (unmet - self.tokens) / rate))

    def update_part(self, now: float, node: Address, requests: int) -> float | None:
        """Record the demand of a node; return its part if it is to be told of it."""
        use = self.uses.setdefault(node, _NodeUse())
        use.demand = use.demand_at(now) + requests
        use.updated_at = now
        decay = math.exp((self.demand_at - now) / DEMAND_S)
        self.total_demand = self.total_demand * decay + requests
        self.demand_at = now
        age_s = max(MIN_DEMAND_AGE_S, now - self.started_at)
        counted_s = DEMAND_S * (1.0 - math.exp(-age_s / DEMAND_S))
        usual = USUAL_SHARE * self.limit.rate_per_s * counted_s
        total = max(self.total_demand, usual, MIN_DEMAND)
        wanted = (1.0 - RESERVED_SHARE) * use.demand / total
        if wanted < MIN_PART and use.part < MIN_PART:
            return None
        others = self.told_parts - use.part
        part = max(0.0, min(wanted, 1.0 - RESERVED_SHARE - others))
        changed = abs(part - use.part) > PART_CHANGE * max(use.part, MIN_PART)
        if not changed and now - use.told_at < PART_REFRESH_S:
            return None
        self.told_parts += part - use.part
        use.part, use.told_at = part, now
        return part

    def forget_idle(self, now: float, view: ClusterView) -> None:
        """Forget nodes that asked for nothing for as long as their parts are valid."""
        if now - self.forgot_at < PART_REFRESH_S:
            return
        self.forgot_at = now
        self.demand.forget_idle(now)
        for address, use in list(self.uses.items()):
            last_at = max(use.updated_at, use.told_at)
            if address not in view.cut_off and now - last_at > PART_TTL_S:
                del self.uses[address]
        self.told_parts = sum(use.part for use in self.uses.values())
