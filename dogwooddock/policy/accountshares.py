"""Order of the requests of one importance class by their accounts' shares."""

__all__ = ["AccountRanks", "AccountShares"]

import bisect
import zlib
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import accumulate

from .levels import LEVEL_SCALE
from .quota import DEMAND_AVERAGE_S

# Half-life of the counts of requests.
HALF_LIFE_S = 8.0
REFRESH_PERIOD_S = 0.1
# Accounts whose decayed count is lower are dropped.
MIN_COUNT = 0.0001
# Requests added to those counted and to the share that they are compared with, so that
# an account with few requests is taken to ask for its share.
PRIOR_REQUESTS = 2.0
# Deviations from the share below this factor are treated as random.
NOTABLE_EXCESS = 1.5
LEAST_NOTABLE = 1 / NOTABLE_EXCESS


@dataclass(slots=True)
class _Demand:
    weight: float
    count: float = 0.0
    excess: float = 1.0
    # Requests at all nodes within DEMAND_AVERAGE_S; 0 if not known.
    fleet_count: float = 0.0
    weight_per_fleet_count: float = 0.0


def _excess(asked: float, fair: float) -> float:
    """Return requests over an account's share of them; 1 if that is about its share."""
    excess = (asked + PRIOR_REQUESTS) / (fair + PRIOR_REQUESTS)
    return 1.0 if LEAST_NOTABLE < excess < NOTABLE_EXCESS else excess


@dataclass
class AccountShares:
    """Place each request by how far its account exceeds its share.

    Answers the load of an account that asks for many times its share while ingresses
    refuse a part of its class: the account's excess is refused first, and the others
    lose nothing as long as what they ask for fits.

    An account that asks for ``excess`` times its share has its requests spread evenly
    from 0 to ``excess``, so at any point of this scale each account has as much before
    the point as its weight gives it. The positions that result are spread evenly over
    all requests, as a plain hash would do.

    Counts are those of one ingress. Where the demand of an account at all nodes is
    known, its excess is taken from that: an ingress may see too few requests to tell.
    """

    _demands: dict[str, _Demand] = field(default_factory=dict)
    _excesses: list[float] = field(default_factory=list)
    _counts_up_to: list[float] = field(default_factory=list)
    _densities_from: list[float] = field(default_factory=list)
    _refreshed_at: float = 0.0
    # Requests at all nodes of an account of weight 1 that asks its share; 0 if unknown.
    _fleet_per_weight: float = 0.0

    def place(
        self,
        now: float,
        account: str,
        weight: float,
        spread: float,
        fleet_per_s: float | None = None,
    ) -> float:
        """Count a request and return its position: 0 (refused last) to 1 (first).

        Args:
            now: Monotonic time in seconds.
            account: Name of the account.
            weight: Weight of the account's share.
            spread: Hash of the request, spread evenly from 0 to 1.
            fleet_per_s: Requests of the account at all nodes, per second, if known.
        """
        if now - self._refreshed_at >= REFRESH_PERIOD_S:
            self._refresh(now)
        demand = self._demands.get(account)
        if demand is None:
            demand = self._demands[account] = _Demand(weight)
        demand.weight = weight
        demand.count += 1.0
        self._follow_fleet(demand, (fleet_per_s or 0.0) * DEMAND_AVERAGE_S)
        return self._share_before(spread * demand.excess, spread)

    def _follow_fleet(self, demand: _Demand, fleet_count: float) -> None:
        """Take the requests of an account at all nodes, if they are known."""
        demand.fleet_count = fleet_count
        if not fleet_count:
            return
        demand.weight_per_fleet_count = demand.weight / fleet_count
        if self._fleet_per_weight:
            fair = demand.weight * self._fleet_per_weight
            demand.excess = _excess(fleet_count, fair)

    def _share_before(self, point: float, default: float) -> float:
        """Return the share of all requests that lie before a point of the scale."""
        if not self._excesses:
            return default
        index = bisect.bisect_right(self._excesses, point)
        before = self._counts_up_to[index] + point * self._densities_from[index]
        return min(1.0, before / self._counts_up_to[-1])

    def _refresh(self, now: float) -> None:
        """Decay the counts and update the excess of every account."""
        decay = 0.5 ** ((now - self._refreshed_at) / HALF_LIFE_S)
        self._refreshed_at = now
        total_count = total_weight = fleet_count = fleet_weight = 0.0
        idle = []
        for name, demand in self._demands.items():
            demand.count *= decay
            if demand.count < MIN_COUNT:
                idle.append(name)
                continue
            total_count += demand.count
            total_weight += demand.weight
            if demand.fleet_count:
                fleet_count += demand.count
                fleet_weight += demand.count * demand.weight_per_fleet_count
        for name in idle:
            del self._demands[name]
        # Requests come here in proportion to the demands of their accounts, so the mean
        # over all accounts is the harmonic mean over the requests.
        self._fleet_per_weight = fleet_count / fleet_weight if fleet_weight else 0.0
        points = self._update_excesses(total_count, total_weight)
        points.sort()
        self._excesses = [excess for excess, _ in points]
        self._counts_up_to = [0.0, *accumulate(count for _, count in points)]
        densities = [count / excess for excess, count in reversed(points)]
        self._densities_from = [0.0, *accumulate(densities)][::-1]

    def _update_excesses(
        self, total_count: float, total_weight: float
    ) -> list[tuple[float, float]]:
        """Update how many times its share each account asks for; 1 if about that.

        Most accounts ask for about their share, so they are taken together.

        Args:
            total_count: Requests of all accounts.
            total_weight: Weights of all accounts.

        Returns:
            Each excess, with the requests of the accounts that have it.
        """
        per_weight = total_count / total_weight if total_weight else 0.0
        fleet_per_weight = self._fleet_per_weight
        usual_count = 0.0
        points = []
        for demand in self._demands.values():
            if demand.fleet_count and fleet_per_weight:
                asked, fair = demand.fleet_count, demand.weight * fleet_per_weight
            else:
                asked, fair = demand.count, demand.weight * per_weight
            demand.excess = _excess(asked, fair)
            if demand.excess == 1.0:
                usual_count += demand.count
            else:
                points.append((demand.excess, demand.count))
        if usual_count:
            points.append((1.0, usual_count))
        return points


@dataclass
class AccountRanks:
    """Rank requests of accounts, as ``request_rank`` does for others."""

    _shares: dict[int, AccountShares] = field(
        default_factory=lambda: defaultdict(AccountShares)
    )

    def rank(
        self,
        now: float,
        importance: int,
        account: str,
        weight: float,
        identity: str,
        fleet_per_s: float | None = None,
    ) -> int:
        """Count a request and return its rank in hundredths of an importance class.

        Args:
            now: Monotonic time in seconds.
            importance: Importance of the request.
            account: Name of the account.
            weight: Weight of the account's share.
            identity: Identity of the request.
            fleet_per_s: Requests of the account at all nodes, per second, if known.
        """
        spread = zlib.crc32(identity.encode()) / 2**32
        shares = self._shares[importance]
        place = shares.place(now, account, weight, spread, fleet_per_s)
        return importance * LEVEL_SCALE + int((1.0 - place) * (LEVEL_SCALE - 1))
