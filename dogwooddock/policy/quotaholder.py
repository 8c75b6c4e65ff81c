"""Tokens of one account at one node, granted by the account's owner.

Answers the load of requests that arrive at many nodes: each node holds tokens for a
short time of its own demand, a request that finds none waits for the owner, and a node
without an owner admits within its own part of the limit.
"""

__all__ = ["QuotaHolder", "QuotaVerdict", "Settled"]

import bisect
import math
from collections import deque
from dataclasses import dataclass
from enum import Enum
from random import Random

from .accountdemand import DEMAND_TTL_S
from .quota import (
    MAX_PAUSE_S,
    PART_TTL_S,
    RESERVED_SHARE,
    TOKEN_TTL_S,
    QuotaAsk,
    QuotaGrant,
    QuotaLimit,
    QuotaRule,
)
from .rendezvous import Address

# Tokens are held for this long of the node's demand.
HOLD_S = 0.5
DEMAND_WINDOW_S = 2.0
# An owner that has not answered for this long is asked again; until it answers, the
# node uses its own part.
ASK_TIMEOUT_S = 0.25
# A node that has asked no owner for this long asks before it refuses.
ASK_AGAIN_S = 0.5
# A request waits for a token for at most this long, so that a lost owner is replaced.
MAX_WAIT_S = 4.0
# An owner withholds a node's part only once it has noticed the loss of the link; until
# then the node uses a share of its part.
NOTICE_S = 1.3
UNNOTICED_SHARE = 0.5
# A new owner starts with few tokens, so what waited for it may wait on for this long.
SETTLE_S = 3.0
# No more requests wait at a node than an account may send within this time.
QUEUE_S = 2.0
# Time for another owner to take over; afterwards requests that the node's own part
# cannot admit in MAX_WAIT_S are refused at once.
TAKE_OVER_S = 2.0
# A refusal of the owner is remembered for at most this long, with jitter.
MAX_REFUSED_S = 0.4
REFUSED_JITTER = 0.5
# Share of the allowed excess that all nodes together may admit at the loss of an owner.
FIRST_PART_SHARE = 0.1
MAX_COUNT = 30_000


class QuotaVerdict(Enum):
    """What happens with a request that needs a token."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Settled:
    """Waiting requests that an event settled, oldest first.

    Args:
        admitted: The first so many are admitted.
        refused: The next so many are refused.
    """

    admitted: int = 0
    refused: int = 0


class QuotaHolder:
    """Hold the tokens of one account and decide on its requests.

    Args:
        limit: Limit of the account.
        rule: Bound that the deployment sets.
        rng: Source of the jitter.
        now: Current time, in seconds, of a clock that counts suspension.

    ``taken_expiry`` is the time until which the last token taken may be given back, and
    ``used_at`` the time of the last request.
    """

    def __init__(self, limit: QuotaLimit, rule: QuotaRule, rng: Random, now: float):
        self.limit = limit
        self.rule = rule
        self._rng = rng
        self._expiries: list[float] = []
        self._waiting: deque[float] = deque()
        self._asked: deque[float] = deque()
        self._demand = 0.0
        self._refused_until = 0.0
        self._retry_at = 0.0
        self._part = 0.0
        self._part_at = -math.inf
        self._alone_since: float | None = None
        self._alone_tokens = 0.0
        self._alone_at = now
        self._nodes = 1
        self._owner: Address | None = None
        self._settled_at = -math.inf
        self._ask_after = 0.0
        self._asked_at = now
        self._polled_at = now
        self.spent = 0
        self.reused = 0
        self._demand_per_s = 0.0
        self._demand_told_at = -math.inf
        self.used_at = now
        self.taken_expiry = 0.0

    # Requests.

    def acquire(self, now: float) -> QuotaVerdict:
        """Decide on a request that arrives now."""
        elapsed_s = max(0.0, now - self.used_at)
        self._demand *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
        self._demand += 1.0 / DEMAND_WINDOW_S
        self.used_at = now
        if not self._waiting and (self._take(now) or self._take_alone(now)):
            return QuotaVerdict.ADMIT
        if self._cannot_wait(now):
            return QuotaVerdict.REFUSE
        self._waiting.append(now)
        return QuotaVerdict.WAIT

    def refuses(self, now: float) -> bool:
        """Report whether a request would be refused now; nothing is taken for it."""
        has_token = self.held(now) or self._alone_tokens_at(now) >= 1.0
        return self._cannot_wait(now) and (bool(self._waiting) or not has_token)

    def _cannot_wait(self, now: float) -> bool:
        """Report whether a request that finds no token is refused at once."""
        if now < self._refused_until or self._alone_too_long(now):
            return True
        return len(self._waiting) >= self.limit.rate_per_s * QUEUE_S + self.limit.burst

    def leave(self, index: int) -> None:
        """Drop a waiting request, counted from the oldest, whose caller has gone."""
        if index < len(self._waiting):
            del self._waiting[index]

    def give_back(self, now: float, expires_at: float) -> None:
        """Return the token of a request that did not run, unless it has expired.

        Args:
            now: Current time, in seconds.
            expires_at: ``taken_expiry`` when the token was taken.
        """
        if expires_at > now and self.held(now) < max(1, self._target()):
            bisect.insort(self._expiries, expires_at)
            self.reused += 1

    def held(self, now: float) -> int:
        """Return the number of tokens that have not expired."""
        expired = bisect.bisect_right(self._expiries, now)
        del self._expiries[:expired]
        self.reused -= expired
        return len(self._expiries)

    def retry_s(self, now: float) -> float:
        """Return the time after which the account has room again, in seconds."""
        if self._alone_since is not None:
            rate = max(self._alone_rate(now), 1e-3)
            return max(0.0, 1.0 - self._alone_tokens) / rate
        return max(0.0, self._retry_at - now)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a token."""
        return len(self._waiting)

    @property
    def alone(self) -> bool:
        """Report whether the node uses its own part, for lack of an owner."""
        return self._alone_since is not None

    def oldest_token_age_s(self, now: float) -> float:
        """Return the time since the oldest held token was asked for, in seconds."""
        return now - self._expiries[0] + TOKEN_TTL_S if self._expiries else 0.0

    def oldest_ask_age_s(self, now: float) -> float:
        """Return the age of the oldest ask without an answer, in seconds."""
        return now - self._asked[0] if self._asked else 0.0

    def demand_per_s(self, now: float) -> float | None:
        """Return the account's requests at all nodes, per second, if known."""
        if now - self._demand_told_at > DEMAND_TTL_S:
            return None
        return self._demand_per_s

    # Exchange with the owner.

    def next_ask(
        self, now: float, owner: Address | None, owned_since: float = -math.inf
    ) -> QuotaAsk | None:
        """Return what to ask the owner for now, or None.

        Args:
            now: Current time, in seconds.
            owner: The owner as far as this node can tell.
            owned_since: Time since which it is the owner, in seconds, if known.
        """
        if owner != self._owner:
            if self._owner is not None:
                owned_since = now
                self._refused_until = now
            self._owner = owner
        self._settled_at = max(self._settled_at, owned_since + SETTLE_S)
        while self._asked and now - self._asked[0] > TOKEN_TTL_S:
            self._asked.popleft()
        if now < self._ask_after:
            return None
        target, held = self._target(), self.held(now)
        extra = target - held if target > 1 and 2 * held <= target else 0
        if self._alone_since is not None and not self._waiting:
            extra = max(extra, 1)  # The answer tells that there is an owner again.
        if not self._waiting and (not extra or now < self._refused_until):
            return None
        self._asked.append(now)
        self._asked_at = now
        self._ask_after = now + ASK_TIMEOUT_S
        spent, self.spent = self.spent, 0
        reused, self.reused = self.reused, 0
        return QuotaAsk(
            min(len(self._waiting), MAX_COUNT),
            min(extra, MAX_COUNT),
            min(spent, MAX_COUNT),
            max(-MAX_COUNT, min(reused, MAX_COUNT)),
        )

    def receive(self, now: float, grant: QuotaGrant, nodes: int) -> Settled:
        """Take the answer to the oldest ask.

        Args:
            now: Current time, in seconds.
            grant: The answer.
            nodes: Nodes that share the limit.
        """
        asked_at = self._asked.popleft() if self._asked else -math.inf
        if not grant.owner:
            return self.lose_owner(now, nodes)
        self._ask_after = now
        if self._alone_since is not None:
            self._alone_since, self._settled_at = None, now + SETTLE_S
        if grant.part is not None:
            self._part, self._part_at = grant.part, now
        if grant.demand_per_s is not None:
            self._demand_per_s, self._demand_told_at = grant.demand_per_s, now
        expires_at = asked_at + TOKEN_TTL_S
        if expires_at > now:
            for _ in range(grant.tokens):
                bisect.insort(self._expiries, expires_at)
        admitted = self._admit_waiting(now)
        if not grant.retry_s:
            return Settled(admitted)
        jitter = 1.0 + REFUSED_JITTER * (self._rng.random() - 0.5)
        refused_until = now + min(grant.retry_s, MAX_REFUSED_S) * jitter
        if now < self._settled_at:
            self._ask_after = refused_until
            return Settled(admitted)
        self._refused_until = refused_until
        self._retry_at = now + grant.retry_s
        refused = len(self._waiting)
        self._waiting.clear()
        return Settled(admitted, refused)

    def lose_owner(self, now: float, nodes: int) -> Settled:
        """Use the node's own part from now on, until an owner answers."""
        self._nodes = max(1, nodes)
        if self._alone_since is None:
            self._alone_since = self._alone_at = now
            first = FIRST_PART_SHARE * self.rule.margin(self.limit) / self._nodes
            self._alone_tokens = min(1.0, first)
        return self._settle_alone(now)

    def poll(self, now: float, nodes: int) -> Settled:
        """Settle waiting requests as time passes; must be called regularly.

        A longer gap is taken for a pause, after which the owner may be a new one.
        """
        if now - self._polled_at > MAX_PAUSE_S:
            self._settled_at = now + SETTLE_S
            self._refused_until = now
        self._polled_at = now
        unanswered = self._asked and now - self._asked[-1] >= ASK_TIMEOUT_S
        if unanswered and self._waiting and self._alone_since is None:
            return self.lose_owner(now, nodes)
        return self._settle_alone(now)

    def _settle_alone(self, now: float) -> Settled:
        admitted = 0
        while self._waiting and self._take_alone(now):
            self._waiting.popleft()
            admitted += 1
        refused = 0
        while self._waiting and now - self._waiting[0] > MAX_WAIT_S:
            self._waiting.popleft()
            refused += 1
        return Settled(admitted, refused)

    # Tokens.

    def _target(self) -> int:
        """Return the tokens to hold, for HOLD_S of the demand within the limit."""
        return int(min(self._demand, self.limit.rate_per_s) * HOLD_S)

    def _take(self, now: float) -> bool:
        if not self.held(now):
            return False
        self.taken_expiry = self._expiries.pop(0)
        return True

    def _admit_waiting(self, now: float) -> int:
        admitted = 0
        while self._waiting and self._take(now):
            self._waiting.popleft()
            admitted += 1
        return admitted

    def _alone_share(self, now: float) -> float:
        part = self._part if now - self._part_at <= PART_TTL_S else 0.0
        share = part + RESERVED_SHARE / self._nodes
        since = self._alone_since
        if since is not None and now - since < NOTICE_S:
            share *= UNNOTICED_SHARE
        return share

    def _alone_rate(self, now: float) -> float:
        return self.limit.rate_per_s * self._alone_share(now)

    def _alone_tokens_at(self, now: float) -> float:
        """Return the tokens of the node's own part; none while there is an owner."""
        if self._alone_since is None:
            return 0.0
        earned = max(0.0, now - self._alone_at) * self._alone_rate(now)
        capacity = max(1.0, self._alone_share(now) * self.limit.burst)
        return min(capacity, self._alone_tokens + earned)

    def _take_alone(self, now: float) -> bool:
        """Take a token of the node's own part; it has one only without an owner."""
        if self._alone_since is None:
            return False
        self._alone_tokens, self._alone_at = self._alone_tokens_at(now), now
        if self._alone_tokens < 1.0:
            return False
        self._alone_tokens -= 1.0
        self.spent += 1
        self.taken_expiry = now + TOKEN_TTL_S
        return True

    def _alone_too_long(self, now: float) -> bool:
        since = self._alone_since
        if since is None or now - since <= TAKE_OVER_S:
            return False
        if now - self._asked_at > ASK_AGAIN_S:
            return False
        ahead = len(self._waiting) + 1 - self._alone_tokens
        return ahead > MAX_WAIT_S * self._alone_rate(now)
