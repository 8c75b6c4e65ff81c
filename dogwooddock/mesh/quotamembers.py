"""Nodes that may own quotas, as this node knows and reaches them."""

__all__ = ["QuotaMembers"]

from random import Random

from ..policy.clusterview import ClusterView
from ..policy.intouch import InTouch
from ..policy.quota import MAX_PAUSE_S
from ..policy.rendezvous import Address
from .fleet import Fleet

# Age up to which the view is recent.
VIEW_PERIOD_S = 0.25


class QuotaMembers:
    """Follow the members and links of the fleet, and whether this node is in touch.

    Args:
        fleet: Nodes and the links to them.
        rng: Source of the choice of peers to watch.
    """

    def __init__(self, fleet: Fleet, rng: Random):
        self.view = ClusterView(fleet.address, (), ())
        self.refreshed_at = 0.0
        self._fleet = fleet
        self._in_touch = InTouch(rng)
        self._heard_at: dict[Address, float] = {}
        self._seen_changes = -1
        self._refresh_asked_at = float("inf")
        self._resumed_at = float("-inf")

    def hear(self, now: float, address: Address) -> None:
        """Record a message of a peer."""
        self._heard_at[address] = now

    def refresh(self, now: float) -> bool:
        """Update the view unless it is recent, and report whether it was updated.

        The members are read only after a change of them or of a link, since that takes
        time in proportion to their number.

        Args:
            now: Time of a clock that counts suspension, in seconds.
        """
        if now - self._refresh_asked_at > MAX_PAUSE_S:
            self._resumed_at = now
        self._refresh_asked_at = now
        view = self.view
        changed = self._fleet.changes != self._seen_changes
        has_grown = changed and self._fleet.granting_count() > 2 * len(view.known)
        if now - self.refreshed_at < VIEW_PERIOD_S and not has_grown:
            return False
        self.refreshed_at = now
        if changed:
            view = self._read_members()
        for address in self._in_touch.check(lambda peer: self._silence_s(peer, now)):
            self._fleet.probe(address)
        if view.in_touch is not self._in_touch.in_touch:
            view = view.with_touch(self._in_touch.in_touch)
        self.view = view
        return True

    def _read_members(self) -> ClusterView:
        """Return a view of the members and links as they are now."""
        fleet = self._fleet
        self._seen_changes = fleet.changes
        known = fleet.granting_members()
        reached = [address for address in known if fleet.reaches(address)]
        peers = set(reached) - {fleet.address}
        self._in_touch.follow(peers, len(known))
        self._heard_at = {
            address: at for address, at in self._heard_at.items() if address in peers
        }
        return ClusterView(fleet.address, known, reached, self._in_touch.in_touch)

    def _silence_s(self, address: Address, now: float) -> float:
        heard_s = now - self._heard_at.get(address, float("-inf"))
        silence_s = self._fleet.silence_s(address)
        if silence_s > now - self._resumed_at:
            # Links measure it without the time of a suspension, which came after it.
            return heard_s
        return min(heard_s, silence_s)
