"""Selection of the nodes that read the store for their availability zone."""

__all__ = ["READERS_PER_ZONE", "ZonePeer", "is_store_reader"]

from collections.abc import Iterable
from dataclasses import dataclass

READERS_PER_ZONE = 2

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ZonePeer:
    """A peer in the same availability zone to which a link is up.

    Args:
        address: Address of its peer port.
        store_lost: Whether it reported that it cannot reach the store.
    """

    address: Address
    store_lost: bool


def is_store_reader(own: Address, peers: Iterable[ZonePeer]) -> bool:
    """Report whether a node reads the store itself.

    If every node read the store, the calls to it would grow with the number of nodes
    times the number of changes. Only the first ``READERS_PER_ZONE`` nodes of a zone,
    by address, read it, and pass changes on to the others over their links. Nodes
    that cannot reach the store are not counted.

    The nodes need no agreement. A node without reachable peers reads for itself, and
    if nodes see different peers, more of them read: this costs additional calls but
    no node misses a change.

    Args:
        own: Address of the node's peer port.
        peers: Peers of its zone to which a link is up.
    """
    before = sum(1 for peer in peers if peer.address < own and not peer.store_lost)
    return before < READERS_PER_ZONE
