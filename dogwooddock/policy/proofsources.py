"""Choice of whom a node asks whether its configuration is the newest.

Answers the load of a whole fleet that needs a recent proof at all times. The lead
readers have proofs from the store, since they call it often anyway; the other readers
ask them, and the rest ask the readers of their zone. Nodes that get no proof ask more
peers and then the store: the readers first, the rest later, spread over time.

A fleet that starts as a whole has no proof at first. The peers that will have one soon
are then asked repeatedly, since they may have a proof by the next question.
"""

__all__ = ["ProofPeer", "ProofQuestions", "ProofRole", "ProofSources"]

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from .readers import LEAD_READERS, READERS_PER_ZONE

# Age from which several peers are asked at once, as a share of the bound after which a
# withdrawn key must no longer work.
ASK_MORE_SHARE = 0.4
# Age up to which a peer's proof is recent, and time for which a peer without a recent
# proof is asked after others, likewise.
RECENT_SHARE = 0.3
# Shares of the same bound: pause between questions, at first without any proof.
INTERVAL_SHARE = 0.06
FIRST_INTERVAL_SHARE = 0.02
INTERVAL_GROWTH = 1.5
READ_INTERVAL_SHARE = 0.2
PEERS_AT_ONCE = 3
# Calls to the store by the whole fleet while no peer has a proof.
FLEET_READS_PER_S = 500.0

Address = tuple[str, int]


class ProofRole(Enum):
    """Part of a node in obtaining proofs, with the ages at which it asks.

    Attributes:
        ask_share: Age from which peers are asked, as a share of the bound.
        read_share: Age from which the store is read, likewise.
    """

    READER = (0.1, 0.4)
    OTHER = (0.2, 0.7)

    def __init__(self, ask_share: float, read_share: float):
        self.ask_share = ask_share
        self.read_share = read_share


@dataclass(frozen=True, slots=True)
class ProofPeer:
    """A peer to which a link is up.

    Args:
        address: Address of its peer port.
        in_zone: Whether it is in the zone of this node.
        store_lost: Whether it reported that it cannot reach the store.
    """

    address: Address
    in_zone: bool
    store_lost: bool


@dataclass(frozen=True, slots=True)
class ProofQuestions:
    """What to ask now.

    Args:
        peers: Addresses of the peers to ask.
        reads_store: Whether to read the store.
    """

    peers: tuple[Address, ...] = ()
    reads_store: bool = False


class ProofSources:
    """Decide when to ask which peers, and when to read the store.

    Args:
        revoke_s: Time after which a withdrawn key must no longer work, in seconds.
        rng: Source of jitter, and of the choice among equal peers.
    """

    def __init__(self, revoke_s: float, rng: Random):
        self._revoke_s = revoke_s
        self._rng = rng
        self._interval_s = FIRST_INTERVAL_SHARE * revoke_s
        self._ask_at = 0.0
        self._read_at: float | None = None
        # Peers that were asked and brought no recent proof, by time of asking.
        self._unproved: dict[Address, float] = {}
        self._proved = False

    def is_due(self, now: float, role: ProofRole, waited_s: float) -> bool:
        """Report whether it is time to ask.

        Args:
            now: Current time, in seconds.
            role: Part of this node.
            waited_s: Time since the last proof or since the start, in seconds.
        """
        return now >= self._ask_at and (
            not self._proved or waited_s >= role.ask_share * self._revoke_s
        )

    def next_questions(
        self,
        now: float,
        role: ProofRole,
        waited_s: float,
        peers: Iterable[ProofPeer],
        nodes: int,
        may_read: bool,
    ) -> ProofQuestions:
        """Return what to ask now that it is due.

        Args:
            now: Current time, in seconds.
            role: Part of this node.
            waited_s: Time since the last proof or since the start, in seconds.
            peers: Peers to which links are up.
            nodes: Number of nodes of the fleet.
            may_read: Whether the node does not call the store often anyway.
        """
        self._ask_at = now + self._interval_s * self._rng.uniform(0.8, 1.2)
        longest_s = INTERVAL_SHARE * self._revoke_s
        self._interval_s = min(longest_s, self._interval_s * INTERVAL_GROWTH)
        urgent = waited_s >= ASK_MORE_SHARE * self._revoke_s
        starting = not self._proved and not urgent
        count = PEERS_AT_ONCE if starting or urgent else 1
        chosen = self._choose(now, role, peers, count, starting)
        reads = may_read and self._is_read_due(now, role, waited_s, nodes)
        return ProofQuestions(chosen, reads)

    def note_proof(self) -> None:
        """Ask one peer at a time from now on, while proofs are recent."""
        self._proved = True
        self._interval_s = INTERVAL_SHARE * self._revoke_s

    def note_answer(self, address: Address, age_s: float) -> None:
        """Keep asking a peer whose own proof is recent, though not newer than ours.

        Args:
            address: Address of the peer.
            age_s: Age of its view, in seconds.
        """
        if age_s <= RECENT_SHARE * self._revoke_s:
            self._unproved.pop(address, None)

    def _choose(
        self,
        now: float,
        role: ProofRole,
        peers: Iterable[ProofPeer],
        count: int,
        starting: bool,
    ) -> tuple[Address, ...]:
        """Return peers in order of preference, and note that they brought no proof yet.

        Args:
            now: Current time, in seconds.
            role: Part of this node.
            peers: Peers to which links are up.
            count: Number of peers to return at most.
            starting: Whether the preferred peers may have started with this node, and
                are asked again at once.
        """
        known = sorted(peers, key=lambda peer: peer.address)
        preferred = _preferred(role, known)
        recent = now - RECENT_SHARE * self._revoke_s
        self._unproved = {
            address: at for address, at in self._unproved.items() if at > recent
        }

        def order(peer: ProofPeer) -> tuple[bool, bool, bool, bool, float]:
            return (
                peer.address in self._unproved
                and not (starting and peer.address in preferred),
                peer.store_lost,
                peer.address not in preferred,
                not peer.in_zone,
                self._rng.random(),
            )

        chosen = tuple(peer.address for peer in sorted(known, key=order)[:count])
        for address in chosen:
            self._unproved.setdefault(address, now)
        return chosen

    def _is_read_due(
        self, now: float, role: ProofRole, waited_s: float, nodes: int
    ) -> bool:
        if waited_s < role.read_share * self._revoke_s:
            self._read_at = None
            return False
        interval_s = max(
            READ_INTERVAL_SHARE * self._revoke_s, nodes / FLEET_READS_PER_S
        )
        if self._read_at is None:
            self._read_at = now + interval_s * self._rng.random()
        if now < self._read_at:
            return False
        self._read_at = now + interval_s * self._rng.uniform(0.5, 1.5)
        return True


def _preferred(role: ProofRole, peers: list[ProofPeer]) -> list[Address]:
    """Return the peers that probably have the most recent proofs.

    Args:
        role: Part of the node that asks.
        peers: Peers in the order of their addresses.
    """
    able = [peer for peer in peers if not peer.store_lost]
    if role is ProofRole.READER:
        return [peer.address for peer in able[:LEAD_READERS]]
    return [peer.address for peer in able if peer.in_zone][:READERS_PER_ZONE]
