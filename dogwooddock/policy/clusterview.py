"""View that one node has of the nodes that own quotas, and who may grant."""

__all__ = ["ClusterView"]

from collections.abc import Iterable

from .rendezvous import Address, pick_owner, seed_of


class ClusterView:
    """The nodes that a node knows and those that it reaches.

    Args:
        own: Address of this node.
        known: Addresses of the nodes that may own accounts.
        reached: Those of them with a working link, and this node if it may own any.
        in_touch: Whether peers were heard from recently.
    """

    def __init__(
        self,
        own: Address,
        known: Iterable[Address],
        reached: Iterable[Address],
        in_touch: bool = True,
    ):
        self.own = own
        self.known = frozenset(known)
        self.reached = frozenset(reached)
        self.cut_off = self.known - self.reached
        self.in_touch = in_touch
        self._seeds = [(seed_of(address), address) for address in self.reached]
        self._owners: dict[int, Address | None] = {}

    @property
    def can_grant(self) -> bool:
        """Report whether this node may grant: at most one side of a cut may."""
        return self.in_touch and 2 * len(self.reached) > len(self.known)

    @property
    def nodes(self) -> int:
        """Return the number of nodes that share a limit."""
        return max(1, len(self.known))

    def owner(self, account_id: int) -> Address | None:
        """Return the owner of an account, as far as this node can tell."""
        if account_id not in self._owners:
            self._owners[account_id] = pick_owner(account_id, self._seeds)
        return self._owners[account_id]

    def with_touch(self, in_touch: bool) -> "ClusterView":
        """Return this view with another answer to whether peers were heard from."""
        return ClusterView(self.own, self.known, self.reached, in_touch)

    def matches(self, other: "ClusterView") -> bool:
        """Report whether another view leads to the same owners and parts."""
        if self is other:
            return True
        return (self.known, self.reached, self.can_grant) == (
            other.known,
            other.reached,
            other.can_grant,
        )
