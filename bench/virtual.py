"""Virtual time for the membership state machines of many nodes in one process.

It drives the product's own code at its interface; messages are encoded by the real
codec for their size. It models delay and loss, nothing of the services.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from dogwooddock.peers.codec import encode_gossip
from dogwooddock.policy.members import Member, MemberState, OutgoingMessage
from dogwooddock.policy.membership import Membership

TICK_S = 0.1
DELAY_S = 0.0005
DELAY_REGION_S = 0.03
PULL_DELAY_S = 0.01
DATAGRAM_OVERHEAD_BYTES = 28
ZONES = 13
REGIONS = 6
NODES_PER_POOL = 13


@dataclass
class Counters:
    """Traffic since the last reset."""

    messages: int = 0
    bytes: int = 0
    pulls: int = 0


@dataclass
class VirtualFleet:
    """Memberships of many nodes on a virtual clock."""

    size: int
    seed: int
    loss: float = 0.0
    now: float = 0.0
    nodes: dict[int, Membership] = field(default_factory=dict)
    paused: set[int] = field(default_factory=set)
    stopped: set[int] = field(default_factory=set)
    cut: set[int] = field(default_factory=set)
    counters: Counters = field(default_factory=Counters)
    on_version: Callable[[int, int], object] | None = None

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._by_address: dict[tuple[str, int], int] = {}
        self._sizes: dict[int, int] = {}
        members = [self._member(index) for index in range(self.size)]
        for member in members:
            self.add(member, members)

    def _member(self, index: int) -> Member:
        zone = index % ZONES
        return Member(
            self.rng.getrandbits(63) | 1,
            f"node-{index:05d}",
            f"10.{index >> 16}.{(index >> 8) & 255}.{index & 255}",
            7400,
            f"zone-{zone:02d}",
            f"pool-{index // NODES_PER_POOL:03d}",
        )

    def add(self, member: Member, known: list[Member]) -> Membership:
        """Start a node that knows the given members."""
        membership = Membership(member, Random(self.rng.random()))
        for other in known:
            membership.members[other.node_id] = other
        membership._updates.clear()
        self.nodes[member.node_id] = membership
        self._by_address[member.address] = member.node_id
        self.at(self.now + self.rng.random(), lambda: self._tick(member.node_id))
        return membership

    def replacement(self, old: Member) -> Member:
        """Return a new member on an old one's address."""
        return Member(
            self.rng.getrandbits(63) | 1,
            old.name,
            old.ip,
            old.port,
            old.zone,
            old.pool,
        )

    def at(self, when: float, run: Callable[[], None]) -> None:
        """Run something at a time."""
        heapq.heappush(self._events, (when, next(self._order), run))

    def run(self, duration_s: float) -> None:
        """Advance the clock."""
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, run = heapq.heappop(self._events)
            run()
        self.now = end

    def _tick(self, node_id: int) -> None:
        if node_id in self.stopped:
            return
        if node_id not in self.paused:
            self.deliver(node_id, self.nodes[node_id].tick(self.now))
        self.at(self.now + TICK_S, lambda: self._tick(node_id))

    def deliver(self, sender: int, sends: list[OutgoingMessage]) -> None:
        """Put messages on the wire."""
        for send in sends:
            size = len(encode_gossip(send.message)) + DATAGRAM_OVERHEAD_BYTES
            self.counters.messages += 1
            self.counters.bytes += size
            dest = self._by_address.get(send.address)
            if dest is None or dest in self.stopped or self._lost(sender, dest):
                continue
            self._schedule(sender, dest, send)

    def _lost(self, sender: int, dest: int) -> bool:
        if (sender in self.cut) != (dest in self.cut):
            return True
        return self.loss > 0 and self.rng.random() < self.loss

    def _schedule(self, sender: int, dest: int, send: OutgoingMessage) -> None:
        source = self.nodes[sender].local
        delay = DELAY_S
        if _region(source.zone) != _region(self.nodes[dest].local.zone):
            delay = DELAY_REGION_S
        self.at(
            self.now + delay * self.rng.uniform(0.8, 1.4),
            lambda: self._receive(dest, send, source.address),
        )

    def _receive(
        self, dest: int, send: OutgoingMessage, source: tuple[str, int]
    ) -> None:
        if dest in self.paused:
            self.at(self.now + TICK_S, lambda: self._receive(dest, send, source))
            return
        if dest in self.stopped:
            return
        membership = self.nodes[dest]
        self.deliver(dest, membership.handle(self.now, send.message, source))
        if membership.seen_config_version > membership.config_version:
            self._pull(dest, membership)

    def _pull(self, dest: int, membership: Membership) -> None:
        version = membership.seen_config_version
        holder = membership.seen_config_sender
        if self._sizes.get(dest, -1) >= version or holder not in self.nodes:
            return
        self._sizes[dest] = version
        self.counters.pulls += 1

        def finish() -> None:
            if dest not in self.stopped:
                self.set_version(dest, version)

        self.at(self.now + PULL_DELAY_S, finish)

    def set_version(self, node_id: int, version: int) -> None:
        """Put a configuration version in force at a node."""
        membership = self.nodes[node_id]
        if version > membership.config_version:
            self.deliver(node_id, membership.set_config_version(version))
            if self.on_version is not None:
                self.on_version(node_id, version)

    def live(self) -> list[int]:
        """Return the nodes that run."""
        return [node_id for node_id in self.nodes if node_id not in self.stopped]

    def believe_gone(self, node_id: int) -> int:
        """Return how many live nodes hold a node for dead."""
        return sum(1 for other in self.live() if self.nodes[other].is_gone(node_id))

    def false_deaths(self) -> int:
        """Return the pairs of live nodes of which one holds the other for dead."""
        live = set(self.live())
        return sum(
            1
            for node_id in live
            for other, member in self.nodes[node_id].members.items()
            if other in live and member.state is MemberState.DEAD
        )


def _region(zone: str) -> int:
    return int(zone[-2:]) * REGIONS // ZONES
