"""SWIM membership: failure detection by probes, suspicion and refutation."""

__all__ = ["Membership"]

import math
from collections import deque
from dataclasses import dataclass, field, replace
from random import Random

from .members import Member, MemberState, Message, MessageKind, OutgoingMessage
from .quarantine import Mark
from .updates import ByteBudget, UpdateQueue

PROBE_PERIOD_S = 1.0
ACK_TIMEOUT_S = 0.35
INDIRECT_PROBES = 3
SUSPICION_S = 3.0
PARTITION_SUSPICION_S = 60.0
PARTITION_SUSPECT_SHARE = 0.15
PARTITION_MIN_SUSPECTS = 4
GOSSIP_PERIOD_S = 0.2
GOSSIP_FANOUT = 3
DEAD_RETENTION_S = 7200.0
DEAD_PROBE_PERIOD_S = 5.0
PAUSE_THRESHOLD_S = 2.5
RETRANSMIT_FACTOR = 4
MAX_UPDATES_PER_MESSAGE = 12
BUDGET_BYTES_PER_S = 2600.0
BUDGET_BURST_BYTES = 12_000.0
HEADER_BYTES = 81
UPDATE_BYTES = 52


@dataclass(slots=True)
class _Probe:
    node_id: int
    sequence: int
    sent_at: float
    acked: bool = False
    indirect: bool = False


@dataclass(slots=True)
class _RelayedProbe:
    requester: tuple[str, int]
    sequence: int
    subject: int
    relayed_at: float


@dataclass
class Membership:
    """Detect failures and spread member records within a byte budget.

    The caller runs the timers and transmits the returned messages. All times are
    monotonic, in seconds.

    Args:
        local: Record of this process.
        rng: Source of randomness.
        config_version: Active configuration version of this node.
        seen_config_version: Highest configuration version announced by a peer.
        seen_config_sender: Identifier of the first peer that announced it.
        members: Known members by identifier, this process included.
        changed: Whether ``members`` has changed; the caller resets it.
        received_marks: Received quarantine marks; the caller handles and removes them.
        marks_digest: Digest of the quarantine marks of this node.
        refutations: Number of times that this process refuted a suspicion or its death.
    """

    local: Member
    rng: Random
    config_version: int = 0
    seen_config_version: int = 0
    seen_config_sender: int = 0
    members: dict[int, Member] = field(default_factory=dict)
    changed: bool = True
    received_marks: list[Mark] = field(default_factory=list)
    marks_digest: int = 0
    refutations: int = 0
    _probe_order: deque[int] = field(default_factory=deque)
    _suspected_at: dict[int, float] = field(default_factory=dict)
    _dead_at: dict[int, float] = field(default_factory=dict)
    _probe: _Probe | None = None
    _relayed_probes: dict[int, _RelayedProbe] = field(default_factory=dict)
    _updates: UpdateQueue[Member | Mark] = field(default_factory=UpdateQueue)
    _budget: ByteBudget = field(
        default_factory=lambda: ByteBudget(BUDGET_BYTES_PER_S, BUDGET_BURST_BYTES)
    )
    _sequence: int = 0
    _next_probe: float = 0.0
    _next_gossip: float = 0.0
    _next_dead_probe: float = 0.0
    _last_tick: float = -1.0
    _cached_peer_ids: list[int] = field(default_factory=list)
    _peer_ids_stale: bool = True

    def __post_init__(self) -> None:
        self.members[self.local.node_id] = self.local
        self._queue_update(self.local)

    # Queries.

    @property
    def sent_bytes(self) -> int:
        """Return the estimated number of bytes sent so far."""
        return self._budget.spent

    def alive(self) -> list[Member]:
        """Return the members that are alive or suspected."""
        return [item for item in self.members.values() if item.state <= 1]

    def is_gone(self, node_id: int) -> bool:
        """Report whether a member is known and is dead or has left."""
        member = self.members.get(node_id)
        return member is not None and member.state >= MemberState.DEAD

    # Events.

    def join(self, contacts: list[tuple[str, int]]) -> list[OutgoingMessage]:
        """Return pings that introduce this process to the given addresses."""
        return [
            self._compose(address, MessageKind.PING, 0, include_local=True)
            for address in contacts
            if address != self.local.address
        ]

    def merge(self, now: float, members: list[Member]) -> None:
        """Merge member records that were received outside gossip messages."""
        for member in members:
            self._merge(now, member)

    def leave(self) -> list[OutgoingMessage]:
        """Record that this process leaves; return the announcements to send."""
        self._update_local(state=MemberState.LEFT)
        peers = self._random_peers(GOSSIP_FANOUT * 2)
        return [self._compose(peer.address, MessageKind.UPDATE, 0) for peer in peers]

    def set_pool(self, pool: str) -> None:
        """Announce the pool of the local target; empty if there is no target."""
        if pool != self.local.pool:
            self._update_local(pool=pool)

    def set_config_version(self, version: int) -> list[OutgoingMessage]:
        """Record a newer configuration version; return announcements for some peers."""
        if version <= self.config_version:
            return []
        self.config_version = version
        peers = self._random_peers(GOSSIP_FANOUT + 1)
        return [
            self._compose(peer.address, MessageKind.CONFIG_HINT, 0) for peer in peers
        ]

    def add_mark(self, mark: Mark) -> None:
        """Queue a quarantine mark to be sent with gossip messages."""
        key = (mark.fingerprint, mark.node_id, mark.lifetime, mark.kind)
        self._updates.put(key, mark, self._retransmit_count())

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Run the timers and return the messages to send.

        Must be called at least every ``GOSSIP_PERIOD_S``.
        """
        self._budget.refill(now)
        if self._last_tick >= 0 and now - self._last_tick > PAUSE_THRESHOLD_S:
            self._reset_after_pause(now)
        self._last_tick = now
        outgoing: list[OutgoingMessage] = []
        outgoing.extend(self._continue_probe(now))
        if now >= self._next_probe:
            outgoing.extend(self._finish_probe(now))
            outgoing.extend(self._start_probe(now))
            self._next_probe = now + PROBE_PERIOD_S * self.rng.uniform(0.9, 1.1)
        self._expire_suspects(now)
        self._prune_dead(now)
        if now >= self._next_dead_probe:
            self._next_dead_probe = now + DEAD_PROBE_PERIOD_S
            outgoing.extend(self._probe_dead())
        if now >= self._next_gossip:
            self._next_gossip = now + GOSSIP_PERIOD_S
            outgoing.extend(self._gossip())
        return outgoing

    def handle(
        self, now: float, message: Message, source: tuple[str, int]
    ) -> list[OutgoingMessage]:
        """Process a received message and return the messages to send in response."""
        self._budget.refill(now)
        for member in message.members:
            self._merge(now, member)
        for mark in message.marks:
            self.received_marks.append(mark)
        if message.config_version > self.seen_config_version:
            self.seen_config_version = message.config_version
            self.seen_config_sender = message.sender
        if message.kind is MessageKind.PING:
            return self._answer_ping(message, source)
        if message.kind is MessageKind.PING_REQUEST:
            return self._relay_probe(now, message, source)
        if message.kind is MessageKind.ACK:
            return self._accept_ack(now, message)
        return []

    # Probing.

    def _start_probe(self, now: float) -> list[OutgoingMessage]:
        member = self._next_member_to_probe()
        if member is None:
            return []
        self._sequence += 1
        self._probe = _Probe(member.node_id, self._sequence, now)
        return [
            self._compose(
                member.address, MessageKind.PING, self._sequence, member.node_id
            )
        ]

    def _next_member_to_probe(self) -> Member | None:
        for _ in range(2):
            while self._probe_order:
                member = self.members.get(self._probe_order.popleft())
                if member is not None and member.state <= MemberState.SUSPECT:
                    return member
            own = self.local.node_id
            ids = [item.node_id for item in self.alive() if item.node_id != own]
            self.rng.shuffle(ids)
            self._probe_order.extend(ids)
        return None

    def _continue_probe(self, now: float) -> list[OutgoingMessage]:
        probe = self._probe
        if probe is None or probe.acked or probe.indirect:
            return []
        if now - probe.sent_at < ACK_TIMEOUT_S:
            return []
        probe.indirect = True
        relays = self._random_peers(INDIRECT_PROBES, exclude=probe.node_id)
        return [
            self._compose(
                peer.address, MessageKind.PING_REQUEST, probe.sequence, probe.node_id
            )
            for peer in relays
        ]

    def _finish_probe(self, now: float) -> list[OutgoingMessage]:
        probe, self._probe = self._probe, None
        if probe is None or probe.acked:
            return []
        member = self.members.get(probe.node_id)
        if member is None or member.state is not MemberState.ALIVE:
            return []
        self._merge(now, replace(member, state=MemberState.SUSPECT))
        suspect = self.members[probe.node_id]
        return [
            self._compose(
                suspect.address, MessageKind.PING, 0, suspect.node_id, suspect
            )
        ]

    def _answer_ping(
        self, message: Message, source: tuple[str, int]
    ) -> list[OutgoingMessage]:
        if message.subject and message.subject != self.local.node_id:
            # The probed process is gone: its address now belongs to this one.
            return [self._compose(source, MessageKind.UPDATE, 0, extra=self.local)]
        # The prober may have been cut off when this record was gossiped.
        return [
            self._compose(
                source,
                MessageKind.ACK,
                message.sequence,
                self.local.node_id,
                include_local=True,
            )
        ]

    def _relay_probe(
        self, now: float, message: Message, source: tuple[str, int]
    ) -> list[OutgoingMessage]:
        member = self.members.get(message.subject)
        if member is None:
            return []
        self._sequence += 1
        self._relayed_probes[self._sequence] = _RelayedProbe(
            source, message.sequence, message.subject, now
        )
        return [
            self._compose(
                member.address, MessageKind.PING, self._sequence, member.node_id
            )
        ]

    def _accept_ack(self, now: float, message: Message) -> list[OutgoingMessage]:
        relay = self._relayed_probes.pop(message.sequence, None)
        if relay is not None and relay.subject == message.sender:
            return [
                OutgoingMessage(
                    relay.requester,
                    Message(
                        MessageKind.ACK,
                        message.sender,
                        relay.sequence,
                        message.sender,
                        self.config_version,
                    ),
                )
            ]
        probe = self._probe
        if probe is not None and (probe.sequence, probe.node_id) == (
            message.sequence,
            message.subject,
        ):
            probe.acked = True
        member = self.members.get(message.sender)
        if member is not None and member.state is MemberState.SUSPECT:
            # Tell the member that it is suspected, so that it refutes the suspicion.
            return [self._compose(member.address, MessageKind.UPDATE, 0, extra=member)]
        return []

    def _probe_dead(self) -> list[OutgoingMessage]:
        if not self._dead_at:
            return []
        node_id = self.rng.choice(list(self._dead_at))
        member = self.members[node_id]
        # A member that is alive after all, as after a partition, refutes the record.
        if member.state is MemberState.LEFT:
            return []
        return [
            self._compose(member.address, MessageKind.PING, 0, node_id, extra=member)
        ]

    # Records.

    def _merge(self, now: float, member: Member) -> None:
        if member.node_id == self.local.node_id:
            self._refute(member)
            return
        known = self.members.get(member.node_id)
        if known is None:
            if member.state >= MemberState.DEAD:
                return
            self._peer_ids_stale = True
            self._add_member(now, member)
        elif not member.supersedes(known):
            return
        self.members[member.node_id] = member
        self._track_state(now, known, member)
        self._queue_update(member)
        self.changed = True

    def _add_member(self, now: float, member: Member) -> None:
        self._probe_order.insert(
            self.rng.randint(0, len(self._probe_order)), member.node_id
        )
        # The new process has taken over the address, so its previous owner is dead.
        for other in list(self.members.values()):
            if other.address != member.address or other.state >= MemberState.DEAD:
                continue
            if other.node_id not in (member.node_id, self.local.node_id):
                self._merge(now, replace(other, state=MemberState.DEAD))

    def _track_state(self, now: float, known: Member | None, member: Member) -> None:
        self._suspected_at.pop(member.node_id, None)
        self._dead_at.pop(member.node_id, None)
        if member.state is MemberState.SUSPECT:
            self._suspected_at[member.node_id] = now
        elif member.state >= MemberState.DEAD:
            self._dead_at[member.node_id] = now

    def _refute(self, member: Member) -> None:
        if member.state is MemberState.ALIVE or self.local.state >= MemberState.DEAD:
            return
        if member.incarnation >= self.local.incarnation:
            self.refutations += 1
            self._update_local(incarnation=member.incarnation + 1)

    def _update_local(
        self,
        pool: str | None = None,
        incarnation: int | None = None,
        state: MemberState | None = None,
    ) -> None:
        self.local = replace(
            self.local,
            pool=self.local.pool if pool is None else pool,
            incarnation=self.local.incarnation + 1
            if incarnation is None
            else incarnation,
            state=self.local.state if state is None else state,
        )
        self.members[self.local.node_id] = self.local
        self._queue_update(self.local)
        self.changed = True

    def _expire_suspects(self, now: float) -> None:
        if not self._suspected_at:
            return
        timeout_s = self._suspicion_timeout_s()
        for node_id, since in list(self._suspected_at.items()):
            if now - since >= timeout_s:
                member = self.members[node_id]
                self._merge(now, replace(member, state=MemberState.DEAD))

    def _suspicion_timeout_s(self) -> float:
        suspects = len(self._suspected_at)
        total = len(self.members) - len(self._dead_at)
        # Many suspects at once point to a network partition rather than to failures.
        if (
            suspects >= PARTITION_MIN_SUSPECTS
            and suspects > PARTITION_SUSPECT_SHARE * total
        ):
            return PARTITION_SUSPICION_S
        return SUSPICION_S * max(1.0, math.log10(max(1, total)))

    def _prune_dead(self, now: float) -> None:
        while self._dead_at:
            node_id = next(iter(self._dead_at))
            if now - self._dead_at[node_id] < DEAD_RETENTION_S:
                return
            del self._dead_at[node_id]
            self.members.pop(node_id, None)
            self._peer_ids_stale = True

    def _reset_after_pause(self, now: float) -> None:
        # While this process was paused it received no acknowledgements or refutations,
        # so what was pending before the pause is no evidence against a member.
        self._probe = None
        for node_id in self._suspected_at:
            self._suspected_at[node_id] = now

    # Dissemination.

    def _retransmit_count(self) -> int:
        return RETRANSMIT_FACTOR * math.ceil(math.log10(len(self.members) + 1))

    def _queue_update(self, member: Member) -> None:
        self._updates.put(member.node_id, member, self._retransmit_count())

    def _gossip(self) -> list[OutgoingMessage]:
        if not self._updates:
            return []
        peers = self._random_peers(GOSSIP_FANOUT)
        return [
            self._compose(peer.address, MessageKind.UPDATE, 0)
            for peer in peers
            if self._updates and self._budget.capacity(HEADER_BYTES, UPDATE_BYTES)
        ]

    def _random_peers(self, count: int, exclude: int = 0) -> list[Member]:
        chosen: list[Member] = []
        candidates = self._peer_ids()
        for _ in range(count * 4):
            if len(chosen) >= count or not candidates:
                break
            member = self.members.get(self.rng.choice(candidates))
            if member is None or member in chosen or member.node_id == exclude:
                continue
            if member.state <= MemberState.SUSPECT:
                chosen.append(member)
        return chosen

    def _peer_ids(self) -> list[int]:
        if self._peer_ids_stale:
            self._cached_peer_ids = [
                item for item in self.members if item != self.local.node_id
            ]
            self._peer_ids_stale = False
        return self._cached_peer_ids

    def _compose(
        self,
        address: tuple[str, int],
        kind: MessageKind,
        sequence: int,
        subject: int = 0,
        extra: Member | None = None,
        include_local: bool = False,
    ) -> OutgoingMessage:
        members, marks = self._next_updates()
        if extra is not None:
            members.insert(0, extra)
        if include_local and self.local not in members:
            members.insert(0, self.local)
        size = HEADER_BYTES + UPDATE_BYTES * (len(members) + len(marks))
        self._budget.spend(size)
        message = Message(
            kind,
            self.local.node_id,
            sequence,
            subject,
            self.config_version,
            tuple(members),
            tuple(marks),
            self.marks_digest,
        )
        return OutgoingMessage(address, message)

    def reply_with_marks(
        self, address: tuple[str, int], marks: tuple[Mark, ...]
    ) -> list[OutgoingMessage]:
        """Return a message with marks that the receiver may lack, if bytes are left."""
        if not self._budget.capacity(HEADER_BYTES, UPDATE_BYTES * len(marks)):
            return []
        self._budget.spend(HEADER_BYTES + UPDATE_BYTES * len(marks))
        message = Message(
            MessageKind.UPDATE,
            self.local.node_id,
            0,
            0,
            self.config_version,
            marks=marks,
            marks_digest=self.marks_digest,
        )
        return [OutgoingMessage(address, message)]

    def _next_updates(self) -> tuple[list[Member], list[Mark]]:
        if not self._updates:
            return [], []
        count = min(
            MAX_UPDATES_PER_MESSAGE, self._budget.capacity(HEADER_BYTES, UPDATE_BYTES)
        )
        updates = self._updates.next_items(count)
        members = [item for item in updates if isinstance(item, Member)]
        marks = [item for item in updates if isinstance(item, Mark)]
        return members, marks
