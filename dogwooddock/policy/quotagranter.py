"""Grants of a quota: one node per account counts the requests of all nodes.

Answers the load of an account that sends more than its limit, at any number of nodes:
its owner holds one exact token bucket and grants tokens to the nodes that the account's
requests arrive at. Tokens that are granted before they are needed, the first tokens of
a new owner and the tokens of nodes without an owner stay, together, within the excess
that the deployment allows.
"""

__all__ = ["QuotaGranter"]

import math
from collections.abc import Mapping

from .accountdemand import AccountDemand
from .clusterview import ClusterView
from .quota import MAX_PAUSE_S, QuotaAsk, QuotaGrant, QuotaLimit, QuotaRule
from .quotabucket import FIRST_FILL_SHARE, QuotaBucket
from .rendezvous import Address


class QuotaGranter:
    """Grant tokens for the accounts that this node owns.

    ``update`` must be called several times a second; a longer gap is taken for a pause,
    after which another node may own the accounts.

    Args:
        rule: Bound that the deployment sets.
        view: Nodes that this node knows and reaches.
        now: Current time, in seconds, of a clock that counts suspension.
    """

    def __init__(self, rule: QuotaRule, view: ClusterView, now: float):
        self._rule = rule
        self.view = view
        self._limits: dict[int, QuotaLimit] = {}
        self._buckets: dict[int, QuotaBucket] = {}
        # Since when the view is as it is; no bucket has earned anything before.
        self._settled_at = now
        self._updated_at = now
        self._view_before = view

    @property
    def owned(self) -> int:
        """Return the number of accounts that this node grants tokens of."""
        return len(self._buckets)

    def owned_since(self, account_id: int) -> float:
        """Return when the last change of view changed the owner.

        It is minus infinity if that did not change it.
        """
        if self._view_before.owner(account_id) == self.view.owner(account_id):
            return -math.inf
        return self._settled_at

    def set_limits(self, now: float, limits: Mapping[int, QuotaLimit]) -> None:
        """Follow a configuration; a lower burst binds at once."""
        self._limits = dict(limits)
        for account_id, bucket in list(self._buckets.items()):
            limit = limits.get(account_id)
            if limit is None:
                del self._buckets[account_id]
            elif limit != bucket.limit:
                self._rebound(now, bucket, limit)

    def set_rule(self, now: float, rule: QuotaRule) -> None:
        """Follow new bounds of the deployment; lower ones bind at once."""
        self._rule = rule
        for bucket in self._buckets.values():
            self._rebound(now, bucket, bucket.limit)

    def _rebound(self, now: float, bucket: QuotaBucket, limit: QuotaLimit) -> None:
        bucket.refill(now, self.view)
        bucket.limit, bucket.margin = limit, self._rule.margin(limit)
        bucket.tokens = min(bucket.tokens, bucket.capacity)

    def update(self, now: float, view: ClusterView) -> None:
        """Follow the view of the fleet; forget accounts that others may own now."""
        self._notice_pause(now)
        if not view.matches(self.view):
            for bucket in self._buckets.values():
                bucket.refill(now, self.view)
            self._settled_at = now
            self._view_before, self.view = self.view, view
        for account_id, bucket in list(self._buckets.items()):
            if not view.can_grant or view.owner(account_id) != view.own:
                del self._buckets[account_id]
            else:
                bucket.forget_idle(now, view)

    def grant(
        self, now: float, account_id: int, node: Address | None, ask: QuotaAsk
    ) -> QuotaGrant:
        """Answer an ask.

        Args:
            now: Current time, in seconds.
            account_id: Id of the account.
            node: Node that asks; None if it is not known, then it gets no part.
            ask: What it asks for.
        """
        self._notice_pause(now)
        view = self.view
        limit = self._limits.get(account_id)
        if limit is None or not view.can_grant or view.owner(account_id) != view.own:
            return QuotaGrant(owner=False)
        bucket = self._buckets.get(account_id)
        if bucket is None:
            bucket = self._buckets[account_id] = self._new_bucket(limit)
            bucket.started_at = now
            bucket.demand = AccountDemand(now)
        bucket.refill(now, view)
        if node is not None and ask.spent:
            bucket.debit(node, ask.spent)
        tokens = bucket.take(now, ask)
        unmet = ask.waiting - min(ask.waiting, tokens)
        retry_s = bucket.retry_s(unmet) if unmet else 0.0
        bucket.demand.record(now, tokens + ask.spent + ask.reused)
        if node is None:
            return QuotaGrant(tokens, retry_s)
        part = bucket.update_part(now, node, max(ask.waiting, tokens))
        demand_per_s = bucket.demand.tell(now, node)
        return QuotaGrant(tokens, retry_s, part, demand_per_s=demand_per_s)

    def _new_bucket(self, limit: QuotaLimit) -> QuotaBucket:
        """Return a bucket with a small fill, as the owner before may have granted."""
        margin = self._rule.margin(limit)
        fill = max(1.0, FIRST_FILL_SHARE * margin)
        return QuotaBucket(limit, margin, fill, self._settled_at)

    def _notice_pause(self, now: float) -> None:
        if now - self._updated_at > MAX_PAUSE_S:
            self._buckets.clear()
            self._settled_at = now
        self._updated_at = max(self._updated_at, now)
