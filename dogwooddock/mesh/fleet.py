"""The gates that calls can go to: choice, links and what their replies show."""

__all__ = ["Fleet", "Sending", "node_id_of"]

import asyncio
from collections.abc import Callable
from random import Random

from ..peers.linkcodec import Frame
from ..peers.links import OutboundLink, PeerState
from ..policy.levels import LevelTable
from ..policy.outcomes import Outcome, Reason
from ..policy.readers import ZonePeer
from ..policy.selection import Candidate, Selector
from .calls import MeshCall, MeshReply, NodeRecord
from .gate import Gate
from .gatecalls import GateCall
from .members import MemberTable

WATCH_PERIOD_S = 0.1
DOWN_HOLD_S = 0.2
MAX_WARM_POOLS = 16

Address = tuple[str, int]


def node_id_of(address: Address) -> int:
    """Return the number that stands for a peer address."""
    parts = [int(part) for part in address[0].split(".")]
    return int.from_bytes(bytes(parts), "big") << 16 | address[1]


class Sending:
    """A call on its way to a gate."""

    __slots__ = (
        "_gate",
        "_gate_call",
        "_number",
        "candidate",
        "kind",
        "link",
        "sent_at",
    )

    def __init__(self, candidate: Candidate, kind: str, sent_at: float):
        self.candidate = candidate
        self.kind = kind
        self.sent_at = sent_at
        self._gate: Gate | None = None
        self._gate_call: GateCall | None = None
        self.link: OutboundLink | None = None
        self._number = 0

    def cancel(self) -> None:
        """Tell the gate that nobody waits for the call."""
        if self._gate is not None and self._gate_call is not None:
            self._gate.cancel(self._gate_call)
        elif self.link is not None:
            self.link.cancel(self._number)


class Fleet:
    """Choose gates and carry calls to them.

    Args:
        address: Peer address of this node.
        zone: Availability zone of this node.
        gate: The gate of this node.
        state: State that links exchange.
        rng: Source of choices.
    """

    def __init__(
        self, address: Address, zone: str, gate: Gate, state: PeerState, rng: Random
    ):
        self._loop = asyncio.get_running_loop()
        self.address = address
        self._zone = zone
        self._gate = gate
        self._state = state
        self._rng = rng
        self._links: dict[Address, OutboundLink] = {}
        self._addresses: dict[int, Address] = {}
        self._pool_used_at: dict[str, float] = {}
        self.members = MemberTable(self._on_pool_change)
        self.selector = Selector(zone)
        self.levels = LevelTable()

    def _on_pool_change(self, pool: str) -> None:
        records = self.members.ready(pool)
        pairs = []
        for record in records:
            node_id = node_id_of(record.address)
            self._addresses[node_id] = record.address
            pairs.append((node_id, record.zone))
        self.selector.sync(pool, pairs)
        for record in records:
            candidate = self.selector.find(pool, node_id_of(record.address))
            if candidate is not None and not candidate.reported_at:
                candidate.limit = record.slots
        if pool in self._pool_used_at:
            self._dial(records)

    def _dial(self, records: list[NodeRecord]) -> None:
        for record in records:
            if record.address != self.address:
                self._link(record.address).dial()

    def _link(self, address: Address) -> OutboundLink:
        link = self._links.get(address)
        if link is None:
            record = self.members.find(address)
            remote = record is not None and record.zone != self._zone
            link = OutboundLink(address, self._state, compressed=remote)
            self._links[address] = link
        return link

    def choose(
        self, pool: str, excluded: set[int], kind: str, allowed_s: float
    ) -> Candidate | None:
        """Return the target for a call, or None if none can be reached.

        Args:
            pool: Pool to choose from.
            excluded: Nodes that were tried before.
            kind: Route of the call.
            allowed_s: Time in which its answer is worth most, in seconds.
        """
        now = self._loop.time()
        if pool not in self._pool_used_at:
            self._dial(self.members.ready(pool))
        self._pool_used_at[pool] = now
        unusable = set(excluded)
        for candidate in self.selector.candidates(pool):
            if not self._usable(candidate.node_id):
                unusable.add(candidate.node_id)
        return self.selector.choose(pool, now, self._rng, unusable, kind, allowed_s)

    def _usable(self, node_id: int) -> bool:
        address = self._addresses[node_id]
        if address == self.address:
            return self._gate.accepting
        link = self._link(address)
        if link.is_up:
            return link.peer_accepting
        link.dial()
        return False

    def target_id(self, candidate: Candidate) -> str:
        """Return the identity of a candidate's target."""
        record = self.members.find(self._addresses[candidate.node_id])
        return record.target_id if record is not None else ""

    def address_of(self, candidate: Candidate) -> Address:
        """Return the peer address of a candidate."""
        return self._addresses[candidate.node_id]

    def send(
        self,
        candidate: Candidate,
        call: MeshCall,
        done: Callable[[MeshReply], None],
    ) -> Sending:
        """Send a call to a gate; ``done`` is called once unless it is cancelled."""
        sending = Sending(candidate, call.route, self._loop.time())
        self.selector.sent(candidate)

        def on_reply(reply: MeshReply) -> None:
            self._note(sending, reply)
            done(reply)

        address = self._addresses[candidate.node_id]
        if address == self.address:
            sending._gate = self._gate
            sending._gate_call = self._gate.submit(call, on_reply)
            return sending
        link = self._link(address)
        sending.link = link
        sending._number = link.call(call, on_reply)
        return sending

    def _note(self, sending: Sending, reply: MeshReply) -> None:
        now = self._loop.time()
        candidate = sending.candidate
        if reply.reason is Reason.PEER_FAILED:
            self.selector.lost(candidate, now)
            return
        load = reply.load
        failed = reply.outcome is Outcome.UNKNOWN or reply.reason is Reason.TARGET_SHED
        self.selector.replied(
            candidate,
            now,
            now - sending.sent_at,
            load.limit,
            load.in_flight + load.queued,
            False,
            failed or (reply.status >= 500 and reply.reason is Reason.NONE),
            sending.kind,
        )
        if sending.link is not None:
            sending.link.peer_accepting = load.accepting
        if not load.limit:
            candidate.ejected_until = max(candidate.ejected_until, now + DOWN_HOLD_S)
        self.levels.update(str(candidate.node_id), load.level, now)

    def cancel(self, sending: Sending) -> None:
        """Cancel a call whose reply nobody waits for."""
        sending.candidate.outstanding -= 1
        sending.cancel()

    def tell_all(self, frame: Frame) -> None:
        """Send a frame on every link that is up."""
        for link in self._links.values():
            link.send(frame)

    def dial_contacts(self, addresses: tuple[Address, ...]) -> None:
        """Connect to nodes that are known from the settings."""
        for address in addresses:
            if address != self.address:
                self._link(address).dial()

    def warm(self, pools: list[str]) -> None:
        """Connect to the members of pools before they are needed."""
        for pool in pools[:MAX_WARM_POOLS]:
            self._pool_used_at.setdefault(pool, self._loop.time())
            self._dial(self.members.ready(pool))

    def zone_peers(self) -> list[ZonePeer]:
        """Return the peers of the own zone that can be reached now."""
        return [
            ZonePeer(address, link.peer_store_lost)
            for address, link in self._links.items()
            if link.is_up and link.peer_zone == self._zone
        ]

    def has_members(self, pool: str) -> bool:
        """Report whether any target of a pool takes new work."""
        return bool(self.members.ready(pool))

    async def watch(self) -> None:
        """Probe links and drop those that nothing needs, until cancelled."""
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            now = self._loop.time()
            for address, link in list(self._links.items()):
                link.watch(now)
                record = self.members.find(address)
                if record is not None and record.pool in self._pool_used_at:
                    link.dial()

    def close(self) -> None:
        """Close every link."""
        for link in self._links.values():
            link.close()
