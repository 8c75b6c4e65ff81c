"""Simulation of the membership protocol of many nodes, in virtual time.

The nodes run the product's membership code, and messages are encoded with its codec to
measure their size. Only the delay and loss of messages are modelled, no requests.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from dogwooddock.peers.codec import encode_gossip
from dogwooddock.policy.members import Member, MemberState, OutgoingMessage
from dogwooddock.policy.membership import Membership

TICK_INTERVAL_S = 0.1
LINK_DELAY_S = 0.0005
INTER_REGION_DELAY_S = 0.03
PULL_DELAY_S = 0.01
DATAGRAM_OVERHEAD_BYTES = 28
ZONE_COUNT = 13
REGION_COUNT = 6
NODES_PER_POOL = 13


@dataclass
class TrafficCounters:
    """Messages, bytes with UDP/IP overhead, and configuration pulls of all nodes."""

    messages: int = 0
    bytes: int = 0
    pulls: int = 0


@dataclass
class MembershipSimulation:
    """Memberships of many nodes on a virtual clock.

    Args:
        size: Number of nodes at the start.
        seed: Seed of node ids, delays and loss.
        loss: Probability that a message is lost, 0 to 1.
        now: Virtual time, in seconds.
        nodes: Membership of each node, by node id.
        paused: Nodes that handle messages only after they are resumed.
        stopped: Nodes that have stopped for good.
        partitioned: Nodes that cannot exchange messages with the others.
        counters: Traffic since the counters were replaced.
        on_version: Callback with node id and version when a node applies a version.
    """

    size: int
    seed: int
    loss: float = 0.0
    now: float = 0.0
    nodes: dict[int, Membership] = field(default_factory=dict)
    paused: set[int] = field(default_factory=set)
    stopped: set[int] = field(default_factory=set)
    partitioned: set[int] = field(default_factory=set)
    counters: TrafficCounters = field(default_factory=TrafficCounters)
    on_version: Callable[[int, int], object] | None = None

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = itertools.count()
        self._by_address: dict[tuple[str, int], int] = {}
        self._pulled_versions: dict[int, int] = {}
        members = [self._create_member(index) for index in range(self.size)]
        for member in members:
            self.add(member, members)

    def _create_member(self, index: int) -> Member:
        zone = index % ZONE_COUNT
        return Member(
            self.rng.getrandbits(63) | 1,
            f"node-{index:05d}",
            f"10.{index >> 16}.{(index >> 8) & 255}.{index & 255}",
            7400,
            f"zone-{zone:02d}",
            f"pool-{index // NODES_PER_POOL:03d}",
        )

    def add(self, member: Member, known: list[Member]) -> Membership:
        """Start a node that already knows the given members."""
        membership = Membership(member, Random(self.rng.random()))
        for other in known:
            membership.members[other.node_id] = other
        membership._updates.clear()
        self.nodes[member.node_id] = membership
        self._by_address[member.address] = member.node_id
        self.schedule_at(
            self.now + self.rng.random(), lambda: self._tick(member.node_id)
        )
        return membership

    def replacement_member(self, old: Member) -> Member:
        """Return a new member with the name and address of an old one."""
        return Member(
            self.rng.getrandbits(63) | 1,
            old.name,
            old.ip,
            old.port,
            old.zone,
            old.pool,
        )

    def schedule_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time, in seconds."""
        heapq.heappush(self._events, (when, next(self._event_count), action))

    def run(self, duration_s: float) -> None:
        """Run all events of the next ``duration_s`` seconds of virtual time."""
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _tick(self, node_id: int) -> None:
        if node_id in self.stopped:
            return
        if node_id not in self.paused:
            self.deliver(node_id, self.nodes[node_id].tick(self.now))
        self.schedule_at(self.now + TICK_INTERVAL_S, lambda: self._tick(node_id))

    def deliver(self, sender: int, messages: list[OutgoingMessage]) -> None:
        """Count messages of a node and deliver those that are not lost."""
        for outgoing in messages:
            size = len(encode_gossip(outgoing.message)) + DATAGRAM_OVERHEAD_BYTES
            self.counters.messages += 1
            self.counters.bytes += size
            dest = self._by_address.get(outgoing.address)
            if dest is None or dest in self.stopped or self._is_lost(sender, dest):
                continue
            self._schedule(sender, dest, outgoing)

    def _is_lost(self, sender: int, dest: int) -> bool:
        if (sender in self.partitioned) != (dest in self.partitioned):
            return True
        return self.loss > 0 and self.rng.random() < self.loss

    def _schedule(self, sender: int, dest: int, outgoing: OutgoingMessage) -> None:
        source = self.nodes[sender].local
        delay = LINK_DELAY_S
        if _region(source.zone) != _region(self.nodes[dest].local.zone):
            delay = INTER_REGION_DELAY_S
        self.schedule_at(
            self.now + delay * self.rng.uniform(0.8, 1.4),
            lambda: self._receive(dest, outgoing, source.address),
        )

    def _receive(
        self, dest: int, outgoing: OutgoingMessage, source: tuple[str, int]
    ) -> None:
        if dest in self.paused:
            self.schedule_at(
                self.now + TICK_INTERVAL_S,
                lambda: self._receive(dest, outgoing, source),
            )
            return
        if dest in self.stopped:
            return
        membership = self.nodes[dest]
        self.deliver(dest, membership.handle(self.now, outgoing.message, source))
        if membership.seen_config_version > membership.config_version:
            self._pull(dest, membership)

    def _pull(self, dest: int, membership: Membership) -> None:
        version = membership.seen_config_version
        holder = membership.seen_config_sender
        if self._pulled_versions.get(dest, -1) >= version or holder not in self.nodes:
            return
        self._pulled_versions[dest] = version
        self.counters.pulls += 1

        def finish() -> None:
            if dest not in self.stopped:
                self.set_version(dest, version)

        self.schedule_at(self.now + PULL_DELAY_S, finish)

    def set_version(self, node_id: int, version: int) -> None:
        """Apply a configuration version at a node, unless it has a newer one."""
        membership = self.nodes[node_id]
        if version > membership.config_version:
            self.deliver(node_id, membership.set_config_version(version))
            if self.on_version is not None:
                self.on_version(node_id, version)

    def live_nodes(self) -> list[int]:
        """Return the ids of the nodes that are not stopped."""
        return [node_id for node_id in self.nodes if node_id not in self.stopped]

    def count_declaring_dead(self, node_id: int) -> int:
        """Return how many live nodes consider a node dead or departed."""
        return sum(
            1 for other in self.live_nodes() if self.nodes[other].is_gone(node_id)
        )

    def count_false_deaths(self) -> int:
        """Return the number of pairs in which a live node considers another dead."""
        live = set(self.live_nodes())
        return sum(
            1
            for node_id in live
            for other, member in self.nodes[node_id].members.items()
            if other in live and member.state is MemberState.DEAD
        )


def _region(zone: str) -> int:
    return int(zone[-2:]) * REGION_COUNT // ZONE_COUNT
