"""Choice of gates, links to them, and accounting of their replies."""

__all__ = ["Fleet", "OutboundCall", "node_id_of"]

import asyncio
from collections.abc import Callable
from random import Random

from ..peers.linkcodec import Frame
from ..peers.links import LinkHandler
from ..peers.outboundlinks import PROBE_AFTER_IDLE_S, OutboundLink
from ..policy.candidates import Candidate
from ..policy.levels import LevelTable
from ..policy.lifetimes import TargetState
from ..policy.outcomes import Outcome, Reason
from ..policy.placement import PlacementView
from ..policy.poollevels import PoolLevels
from ..policy.readers import READERS_PER_ZONE, LinkedPeer
from ..policy.selection import Selector
from ..policy.unanswered import TargetLifetime, UnansweredRun, UnansweredRuns
from .calls import MeshCall, MeshReply, NodeRecord
from .gate import Gate
from .gatecalls import GateCall
from .members import MemberTable

LINK_CHECK_PERIOD_S = 0.1
# Time until the deadline of a question for a level.
LEVEL_QUESTION_S = 0.5
MAX_IDLE_PROBES_PER_S = 4.0
UNUSABLE_EJECT_S = 0.2
MAX_PRECONNECTED_POOLS = 16
MAX_RATE_LIMITS = 4096
DIALLED_ZONE_PEERS = READERS_PER_ZONE + 1

Address = tuple[str, int]


def idle_probe_interval_s(links: int) -> float:
    """Return the silence after which a link without calls is probed, in seconds.

    A node sends at most MAX_IDLE_PROBES_PER_S such probes, however many peers it has.
    A call on a link notices its loss sooner.
    """
    return max(PROBE_AFTER_IDLE_S, links / MAX_IDLE_PROBES_PER_S)


def node_id_of(address: Address) -> int:
    """Return the node id of an IPv4 peer address: its 32 bits, then the port."""
    parts = [int(part) for part in address[0].split(".")]
    return int.from_bytes(bytes(parts), "big") << 16 | address[1]


class OutboundCall:
    """A call sent to a gate, local or remote, that has no reply yet."""

    __slots__ = (
        "_call_id",
        "_gate",
        "_gate_call",
        "born_ms",
        "candidate",
        "fingerprint",
        "kind",
        "link",
        "pool",
        "rank",
        "sent_at",
        "target_id",
    )

    def __init__(
        self,
        pool: str,
        candidate: Candidate,
        call: MeshCall,
        born_ms: int,
        sent_at: float,
    ):
        self.pool = pool
        self.candidate = candidate
        self.kind = call.route
        self.rank = call.rank
        self.fingerprint = call.fingerprint
        self.target_id = call.target_id
        self.born_ms = born_ms
        self.sent_at = sent_at
        self._gate: Gate | None = None
        self._gate_call: GateCall | None = None
        self.link: OutboundLink | None = None
        self._call_id = 0

    def cancel(self) -> None:
        """Cancel the call at the gate."""
        if self._gate is not None and self._gate_call is not None:
            self._gate.cancel(self._gate_call)
        elif self.link is not None:
            self.link.cancel(self._call_id)


class Fleet:
    """Choose the gate of each call and send the call to it.

    Args:
        address: Peer address of this node.
        zone: Availability zone of this node.
        gate: Gate of this node.
        handler: Handles the events of links and provides the state that they send.
        rng: Random source of the choice among targets.
        on_target_lost: Called with runs whose gate was lost and whose target has ended.

    ``changes`` counts the changes of members, of pools in use and of links.
    """

    def __init__(
        self,
        address: Address,
        zone: str,
        gate: Gate,
        handler: LinkHandler,
        rng: Random,
        on_target_lost: Callable[[list[UnansweredRun]], None],
    ):
        self._loop = asyncio.get_running_loop()
        self.address = address
        self._zone = zone
        self._gate = gate
        self._handler = handler
        self._rng = rng
        self._links: dict[Address, OutboundLink] = {}
        self._addresses: dict[int, Address] = {}
        self._pool_used_at: dict[str, float] = {}
        self._granting_pools: frozenset[str] = frozenset()
        self._ready_counts: dict[str, int] = {}
        self.changes = 0
        self._on_target_lost = on_target_lost
        self._unanswered = UnansweredRuns()
        self.members = MemberTable(self._on_pool_change, self._on_target_replaced)
        self.selector = Selector(zone)
        self.levels = LevelTable()
        self.pool_levels = PoolLevels()
        self.turned_away = gate.chains.room.shares
        self._rate_limits: dict[str, float] = {}

    def _on_pool_change(self, pool: str) -> None:
        records = self.members.ready_records(pool)
        self._ready_counts[pool] = len(records)
        self._count_change()
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

    def _on_target_replaced(self, record: NodeRecord) -> None:
        lifetime = TargetLifetime(node_id_of(record.address), record.born_ms)
        runs = self._unanswered.take(self._loop.time(), lifetime)
        if runs:
            self._on_target_lost(runs)

    def _dial(self, records: list[NodeRecord]) -> None:
        for record in records:
            if record.address != self.address:
                self._link(record.address).dial()

    def _link(self, address: Address) -> OutboundLink:
        link = self._links.get(address)
        if link is None:
            record = self.members.find(address)
            remote = record is not None and record.zone != self._zone
            link = OutboundLink(address, self._handler, remote, self._count_change)
            self._links[address] = link
        return link

    def choose(
        self, pool: str, excluded: set[int], kind: str, objective_s: float
    ) -> Candidate | None:
        """Return the target for a call, or None if none can be reached.

        The first call to a pool also connects to the pool's members.

        Args:
            pool: Pool to choose from.
            excluded: Ids of nodes that were tried before.
            kind: Route of the call.
            objective_s: Time left of the route's latency objective, in seconds.
        """
        now = self._loop.time()
        self._use_pool(pool)
        return self.selector.choose(
            pool, now, self._rng, excluded, kind, objective_s, self._usable
        )

    def explain(self, pool: str, kind: str, objective_s: float) -> PlacementView:
        """Return what ``choose`` would return now, and why; nothing is sent."""
        now = self._loop.time()
        return self.selector.explain(
            pool, now, self._rng, kind, objective_s, self._is_reached
        )

    def address_of(self, node_id: int) -> Address:
        """Return the peer address of a member that is known."""
        return self._addresses[node_id]

    def choose_for_suspect(
        self, pool: str, excluded: set[int], fingerprint: str
    ) -> Candidate | None:
        """Return the target on which all nodes try a suspect request, or None."""
        self._use_pool(pool)
        unreached = {
            candidate.node_id
            for candidate in self.selector.candidates(pool)
            if not self._usable(candidate.node_id)
        }
        return self.selector.choose_for_suspect(pool, excluded | unreached, fingerprint)

    def _use_pool(self, pool: str) -> None:
        """Keep links to a pool from now on."""
        if pool not in self._pool_used_at:
            self._count_change()
            self._dial(self.members.ready_records(pool))
        self._pool_used_at[pool] = self._loop.time()

    def _usable(self, node_id: int) -> bool:
        address = self._addresses[node_id]
        if address == self.address:
            return self._gate.accepting
        link = self._link(address)
        if link.is_up:
            return link.peer_accepting
        link.dial()
        return False

    def _is_reached(self, node_id: int) -> bool:
        """Report whether a gate can be reached, without connecting to it."""
        address = self._addresses[node_id]
        if address == self.address:
            return self._gate.accepting
        link = self._links.get(address)
        return link is not None and link.is_up and link.peer_accepting

    def target_id(self, candidate: Candidate) -> str:
        """Return the identifier of a candidate's target; empty if it is not known."""
        record = self.members.find(self._addresses[candidate.node_id])
        return record.target_id if record is not None else ""

    def send(
        self,
        pool: str,
        candidate: Candidate,
        call: MeshCall,
        done: Callable[[MeshReply], None],
    ) -> OutboundCall:
        """Send a call to a gate; ``done`` is called once unless it is cancelled."""
        address = self._addresses[candidate.node_id]
        record = self.members.find(address)
        born_ms = record.born_ms if record is not None else 0
        outbound = OutboundCall(pool, candidate, call, born_ms, self._loop.time())
        self.selector.record_sent(candidate)
        call.rate_limit = self._rate_limits.get(call.target_id, 0.0)

        def on_reply(reply: MeshReply) -> None:
            self._record_reply(outbound, reply)
            done(reply)

        if address == self.address:
            outbound._gate = self._gate
            outbound._gate_call = self._gate.submit(call, on_reply)
            return outbound
        link = self._link(address)
        if not link.takes_body(len(call.body)):
            on_reply(MeshReply(Outcome.NOT_RUN, Reason.MEMORY))
            return outbound
        outbound.link = link
        outbound._call_id = link.call(call, on_reply)
        return outbound

    def _record_reply(self, outbound: OutboundCall, reply: MeshReply) -> None:
        now = self._loop.time()
        candidate = outbound.candidate
        self._note_rate_limit(outbound.target_id, reply)
        if reply.reason is Reason.PEER_FAILED:
            self.selector.record_lost(candidate, now)
            self._record_unanswered(outbound, now)
            return
        load = reply.load
        turned_away = reply.reason is Reason.TARGET_SHED
        if reply.reached:
            self.turned_away.record(outbound.pool, now, turned_away)
        blamed = turned_away and not self.turned_away.is_pool_wide(outbound.pool, now)
        failed = reply.outcome is Outcome.UNKNOWN or blamed
        # A run that failed early says nothing of the time that a good one takes.
        succeeded = reply.outcome is Outcome.ANSWERED and reply.status < 500
        self.selector.record_reply(
            candidate,
            now,
            now - outbound.sent_at if succeeded else None,
            load.limit,
            load.in_flight + load.queued,
            False,
            failed or (reply.status >= 500 and reply.reason is Reason.NONE),
            outbound.kind,
            load.service_s,
            load.wait_s,
        )
        if reply.reason is Reason.FAILED_BELOW or reply.chain_level > outbound.rank:
            self.selector.record_failed_below(candidate, now)
        if outbound.link is not None:
            outbound.link.peer_accepting = load.accepting
        if not load.limit:
            self.selector.eject(candidate, now + UNUSABLE_EJECT_S)
        self.levels.update(str(candidate.node_id), load.level, now)
        if load.limit:
            self.pool_levels.record(candidate.pool, load.level, now)

    def _note_rate_limit(self, target_id: str, reply: MeshReply) -> None:
        """Remember the rate limit of a target, in case its gate restarts."""
        if reply.load.rate_limit:
            self._rate_limits[target_id] = reply.load.rate_limit
        elif reply.outcome is Outcome.ANSWERED:
            self._rate_limits.pop(target_id, None)
        if len(self._rate_limits) > MAX_RATE_LIMITS:
            self._rate_limits.clear()

    def _record_unanswered(self, outbound: OutboundCall, now: float) -> None:
        """Remember a run at a gate that may be gone together with its target."""
        lifetime = TargetLifetime(outbound.candidate.node_id, outbound.born_ms)
        self._unanswered.add(
            UnansweredRun(lifetime, outbound.fingerprint, outbound.sent_at, now)
        )

    def ask_level(self, pool: str, route: str, done: Callable[[int], None]) -> None:
        """Ask a random node of a pool for the level of a route of its target.

        The question is a call for no target, which any node refuses with its level.
        """
        addresses = [record.address for record in self.members.ready_records(pool)]
        links = [self._links[item] for item in addresses if item in self._links]
        links = [link for link in links if link.is_up]
        if not links:
            return
        deadline = self._loop.time() + LEVEL_QUESTION_S
        question = MeshCall(
            b"", route, "", b"", b"", b"", b"", deadline, True, 0, 0, "", ""
        )

        def on_reply(reply: MeshReply) -> None:
            if reply.load.limit:
                done(reply.chain_level)

        self._rng.choice(links).call(question, on_reply)

    def cancel(self, outbound: OutboundCall) -> None:
        """Cancel a call whose reply is no longer needed."""
        outbound.candidate.outstanding -= 1
        outbound.cancel()

    def broadcast(self, frame: Frame) -> None:
        """Send a frame on every link that is up."""
        for link in self._links.values():
            link.send(frame)

    def send_frame(self, address: Address, frame: Frame) -> None:
        """Send a frame to one peer if the link to it is up, else drop it."""
        link = self._links.get(address)
        if link is not None:
            link.send(frame)

    def probe_random_link(self, rng: Random) -> None:
        """Probe one link that is up, which exchanges state in both directions."""
        links = [link for link in self._links.values() if link.is_up]
        if links:
            rng.choice(links).probe()

    def dial_contacts(self, addresses: tuple[Address, ...]) -> None:
        """Connect to nodes by their peer addresses."""
        for address in addresses:
            if address != self.address:
                self._link(address).dial()

    def preconnect(self, pools: list[str]) -> None:
        """Connect to the members of the configuration's pools.

        At most ``MAX_PRECONNECTED_POOLS`` pools are connected to. Only their nodes own
        quotas, so that nodes with the same configuration agree on the owners, whatever
        pools they used before.

        Args:
            pools: Pools that routes lead to, in an order that all nodes share.
        """
        preconnected = pools[:MAX_PRECONNECTED_POOLS]
        self._granting_pools = frozenset(preconnected)
        self._count_change()
        for pool in preconnected:
            self._pool_used_at.setdefault(pool, self._loop.time())
            self._dial(self.members.ready_records(pool))

    def dial_zone(self) -> None:
        """Connect to the nodes of this node's zone that may read the store for it."""
        self.dial_contacts(tuple(self._first_of_zone()))

    @property
    def reaches_first_of_zone(self) -> bool:
        """Report whether the links to all nodes that ``dial_zone`` dials are up."""
        linked = {peer.address for peer in self.zone_peers()}
        return linked.issuperset(self._first_of_zone())

    def _first_of_zone(self) -> list[Address]:
        """Return the first other nodes of this node's zone, by address."""
        others = [
            record.address
            for record in self.members.all_records()
            if record.zone == self._zone and record.address != self.address
        ]
        return sorted(others)[:DIALLED_ZONE_PEERS]

    def zone_peers(self) -> list[LinkedPeer]:
        """Return the peers in this node's zone whose links are up."""
        return self.linked_peers(self._zone)

    def linked_peers(self, zone: str = "") -> list[LinkedPeer]:
        """Return the peers whose links are up, of one zone or of all."""
        return [
            LinkedPeer(address, link.peer_store_lost)
            for address, link in self._links.items()
            if link.is_up and link.peer_zone and zone in ("", link.peer_zone)
        ]

    def _count_change(self) -> None:
        self.changes += 1

    def granting_count(self) -> int:
        """Return the number of nodes that may own quotas."""
        return sum(self._ready_counts.get(pool, 0) for pool in self._granting_pools)

    def granting_members(self) -> list[Address]:
        """Return the nodes that may own quotas, this node included.

        Their targets are ready and belong to pools of the configuration.
        """
        return [
            record.address
            for record in self.members.all_records()
            if record.state is TargetState.READY and record.pool in self._granting_pools
        ]

    def reaches(self, address: Address) -> bool:
        """Report whether a node is connected; this node reaches itself."""
        link = self._links.get(address)
        return address == self.address or (link is not None and link.is_connected)

    def silence_s(self, address: Address) -> float:
        """Return the time since a peer was heard from on its link, in seconds."""
        link = self._links.get(address)
        return self._loop.time() - link.last_received_at if link else float("inf")

    def send_to(self, address: Address, frame: Frame) -> bool:
        """Send a frame to a node if its link is up, and return whether it is."""
        link = self._links.get(address)
        if link is None or not link.is_up:
            return False
        link.send(frame)
        return True

    def probe(self, address: Address) -> None:
        """Probe the link to a node, which is closed if no answer comes."""
        link = self._links.get(address)
        if link is not None and link.is_up:
            link.probe_once()

    def has_members(self, pool: str) -> bool:
        """Report whether any target of a pool is ready for new requests."""
        return bool(self.members.ready_records(pool))

    async def maintain_links(self) -> None:
        """Probe links and redial members of the pools in use, until cancelled."""
        while True:
            await asyncio.sleep(LINK_CHECK_PERIOD_S)
            now = self._loop.time()
            idle_probe_s = idle_probe_interval_s(len(self._links))
            for address, link in list(self._links.items()):
                if now < link.next_check_at:
                    continue
                link.check_liveness(now, idle_probe_s)
                record = self.members.find(address)
                if record is not None and record.pool in self._pool_used_at:
                    link.dial()

    def close(self) -> None:
        """Close every link."""
        for link in self._links.values():
            link.close()
