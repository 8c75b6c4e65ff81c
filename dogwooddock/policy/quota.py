"""Limits of client accounts over all nodes, and the messages that share them.

A token is the permission to run one request. The owner of an account's quota grants
tokens to the nodes that the account's requests arrive at.
"""

__all__ = [
    "DEMAND_AVERAGE_S",
    "MAX_PAUSE_S",
    "PART_TTL_S",
    "RESERVED_SHARE",
    "TOKEN_TTL_S",
    "QuotaAsk",
    "QuotaGrant",
    "QuotaLimit",
    "QuotaRule",
]

from dataclasses import dataclass

# A token that is not used within this time of the ask for it expires.
TOKEN_TTL_S = 1.0
# Share of a limit that all nodes have equal parts of while they have no owner; the rest
# is divided by demand.
RESERVED_SHARE = 0.25
# A part that a node was told of is valid for this long, unless it is told again.
PART_TTL_S = 10.0
# Demand over all nodes is an average over this time.
DEMAND_AVERAGE_S = 10.0
# An owner that did not run for this long may have been replaced meanwhile.
MAX_PAUSE_S = 0.75


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """Limit of one account over all nodes together.

    Args:
        rate_per_s: Requests per second.
        burst: Requests at once beyond the rate.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """Bound on the requests of an account in any window.

    Args:
        window_s: Length of the window, in seconds.
        excess: Share of the limit that may run beyond it.
        slack: Requests that may run beyond it in addition.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def margin(self, limit: QuotaLimit) -> float:
        """Return the requests that may run in a window beyond the limit."""
        return self.excess * self._limit(limit) + self.slack

    def bound(self, limit: QuotaLimit) -> float:
        """Return the requests that may run in a window."""
        return self._limit(limit) + self.margin(limit)

    def _limit(self, limit: QuotaLimit) -> float:
        return limit.rate_per_s * self.window_s + limit.burst


@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Request of a node for tokens.

    Args:
        waiting: Requests that wait for a token.
        extra: Tokens asked for ahead of requests.
        spent: Requests admitted on the node's own part since its last ask.
        reused: Requests admitted on tokens that were given back, less tokens that
            expired, since its last ask.
    """

    waiting: int
    extra: int = 0
    spent: int = 0
    reused: int = 0


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Answer to an ask.

    Args:
        tokens: Requests that the node may admit.
        retry_s: Time until the bucket has room for what was not granted, in seconds; 0
            if every waiting request got a token.
        part: Share of the limit that the node may use while it has no owner; None if
            it is unchanged.
        owner: Whether the asked node is the owner; if not, nothing is granted.
        demand_per_s: Requests of the account within its limit, at all nodes; None if
            it is not told.
    """

    tokens: int = 0
    retry_s: float = 0.0
    part: float | None = None
    owner: bool = True
    demand_per_s: float | None = None
