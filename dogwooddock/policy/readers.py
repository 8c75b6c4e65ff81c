"""Selection of the nodes that read the store for others."""

__all__ = [
    "LEAD_READERS",
    "READERS_PER_ZONE",
    "LinkedPeer",
    "is_lead_reader",
    "is_store_reader",
]

from collections.abc import Iterable
from dataclasses import dataclass

READERS_PER_ZONE = 2
LEAD_READERS = 2

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class LinkedPeer:
    """A peer to which a link is up.

    Args:
        address: Address of its peer port.
        store_lost: Whether it reported that it cannot reach the store.
    """

    address: Address
    store_lost: bool


def is_store_reader(own: Address, peers: Iterable[LinkedPeer]) -> bool:
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


def is_lead_reader(own: Address, store_lost: bool, peers: Iterable[LinkedPeer]) -> bool:
    """Report whether a store reader is a lead reader, which calls the store often.

    Lead readers notice soon that the store has dropped the calls of all readers. They
    are the first ``LEAD_READERS`` nodes of the fleet, by address, that reach the store.
    The first ones of all keep the role while they cannot reach it, so that its return
    is noticed as soon, without frequent calls of the whole fleet.

    Args:
        own: Address of the node's peer port.
        store_lost: Whether the node itself cannot reach the store.
        peers: Peers of all zones to which a link is up.
    """
    before = [peer for peer in peers if peer.address < own]
    able = [peer for peer in before if not peer.store_lost]
    return len(before if store_lost else able) < LEAD_READERS
