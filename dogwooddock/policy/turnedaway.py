"""What the calls to each pool met lately: how many its targets turned away.

Load answered: targets that turn part of their calls away, unrun, although they have
free slots and their health is good.
"""

__all__ = ["TurnedAwayShares"]

import math
from dataclasses import dataclass, field

HALF_LIFE_S = 0.5
# Calls assumed to have run besides those counted, so that the share is low after only
# a few calls.
PRIOR_CALLS = 4.0
# Share from which a call that is turned away does not count against its target, since
# the whole pool turns calls away.
POOL_WIDE_SHARE = 0.4
# Share from which another attempt is unlikely to succeed.
HOPELESS_SHARE = 0.9
# A pool has recovered once so many calls in a row were not turned away that this would
# have at most this probability under the share before.
RECOVERY_PROBABILITY = 1e-2
MIN_CALLS_IN_ROW = 5
# If a call is turned away within this time after a recovery, the recovery is undone.
CLEAR_TRIAL_S = 0.5
MAX_POOLS = 1024


@dataclass(slots=True)
class _Calls:
    count: float = 0.0
    turned_away: float = 0.0
    placed_in_row: int = 0
    updated_at: float = 0.0
    cleared_at: float = -CLEAR_TRIAL_S
    before_clear: float = 0.0

    def age(self, now: float) -> None:
        kept = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.count *= kept
        self.turned_away *= kept
        self.before_clear *= kept
        self.updated_at = now

    def record(self, turned_away: bool) -> None:
        self.count += 1.0
        self.turned_away += turned_away
        self.placed_in_row = 0 if turned_away else self.placed_in_row + 1
        if turned_away and self.updated_at - self.cleared_at < CLEAR_TRIAL_S:
            self.turned_away += self.before_clear
            self.before_clear = 0.0
        elif self._has_recovered():
            if self.updated_at - self.cleared_at >= CLEAR_TRIAL_S:
                self.before_clear = 0.0
            self.before_clear += self.turned_away
            self.turned_away = 0.0
            self.cleared_at = self.updated_at

    def _has_recovered(self) -> bool:
        if self.placed_in_row < MIN_CALLS_IN_ROW or not self.turned_away:
            return False
        placed_log = math.log1p(-min(0.99, self.turned_away / self.count))
        return self.placed_in_row * placed_log < math.log(RECOVERY_PROBABILITY)


@dataclass
class TurnedAwayShares:
    """Share of the calls to each pool that targets turned away, aged within seconds.

    The share is 0 once so many calls in a row were not turned away that this would
    be unlikely under the share before.
    """

    _pools: dict[str, _Calls] = field(default_factory=dict)

    def record(self, pool: str, now: float, turned_away: bool) -> None:
        """Record a call that reached a target of the pool."""
        calls = self._pools.get(pool)
        if calls is None:
            if not turned_away or len(self._pools) >= MAX_POOLS:
                return
            calls = self._pools[pool] = _Calls(updated_at=now)
        calls.age(now)
        calls.record(turned_away)

    def share(self, pool: str, now: float) -> float:
        """Return the share, 0 to 1."""
        calls = self._pools.get(pool)
        if calls is None:
            return 0.0
        calls.age(now)
        return calls.turned_away / (calls.count + PRIOR_CALLS)

    def is_pool_wide(self, pool: str, now: float) -> bool:
        """Report whether the share is so high that no single target is at fault."""
        return self.share(pool, now) >= POOL_WIDE_SHARE

    def is_hopeless(self, pool: str, now: float) -> bool:
        """Report whether another attempt on the pool is unlikely to succeed."""
        return self.share(pool, now) >= HOPELESS_SHARE
