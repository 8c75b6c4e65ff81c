"""Which nodes read the platform's store for their availability zone."""

__all__ = ["READERS_PER_ZONE", "PeerSight", "reads_store"]

from collections.abc import Iterable
from dataclasses import dataclass

READERS_PER_ZONE = 2

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class PeerSight:
    """A peer of the own availability zone with a live link.

    Args:
        address: Its peer address.
        store_lost: Whether it said that it cannot reach the store.
    """

    address: Address
    store_lost: bool


def reads_store(own: Address, peers: Iterable[PeerSight]) -> bool:
    """Report whether a node reads the store itself.

    The first nodes of a zone do, by address; the others learn from them over links. A
    node that sees no peers reads for itself, so no agreement is needed: those who
    disagree cost calls, not news. Load that it answers: calls to the store, which
    would grow with the nodes times the changes.

    Args:
        own: Peer address of the node.
        peers: Peers of its zone that it has a live link to.
    """
    before = sum(1 for peer in peers if peer.address < own and not peer.store_lost)
    return before < READERS_PER_ZONE
