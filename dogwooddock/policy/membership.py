"""Membership of the fleet by probing, suspicion and refutation."""

__all__ = ["Membership"]

import math
from collections import deque
from dataclasses import dataclass, field, replace
from random import Random

from .members import Kind, Member, MemberState, Message, Send
from .news import ByteBudget, NewsQueue
from .quarantine import Mark

PROBE_PERIOD_S = 1.0
ACK_TIMEOUT_S = 0.35
INDIRECT_PROBES = 3
SUSPICION_S = 3.0
CUT_SUSPICION_S = 60.0
CUT_SHARE = 0.15
CUT_MIN_SUSPECTS = 4
GOSSIP_PERIOD_S = 0.2
GOSSIP_FANOUT = 3
DEAD_RETENTION_S = 7200.0
DEAD_PROBE_PERIOD_S = 5.0
PAUSE_GAP_S = 2.5
RETRANSMIT_FACTOR = 4
MAX_UPDATES = 12
BUDGET_BYTES_PER_S = 2600.0
BUDGET_BURST_BYTES = 12_000.0
HEADER_BYTES = 70
UPDATE_BYTES = 52


@dataclass(slots=True)
class _Probe:
    node_id: int
    sequence: int
    sent_at: float
    acked: bool = False
    indirect: bool = False


@dataclass(slots=True)
class _Relay:
    requester: tuple[str, int]
    sequence: int
    subject: int
    at: float


@dataclass
class Membership:
    """Detect failures and spread member records within a byte budget.

    Args:
        local: Record of this process.
        rng: Source of randomness.
    """

    local: Member
    rng: Random
    config_version: int = 0
    seen_config_version: int = 0
    seen_config_from: int = 0
    members: dict[int, Member] = field(default_factory=dict)
    changed: bool = True
    fresh_marks: list[Mark] = field(default_factory=list)
    false_accusations: int = 0
    _order: deque[int] = field(default_factory=deque)
    _suspected_at: dict[int, float] = field(default_factory=dict)
    _dead_at: dict[int, float] = field(default_factory=dict)
    _probe: _Probe | None = None
    _relays: dict[int, _Relay] = field(default_factory=dict)
    _news: NewsQueue[Member | Mark] = field(default_factory=NewsQueue)
    _budget: ByteBudget = field(
        default_factory=lambda: ByteBudget(BUDGET_BYTES_PER_S, BUDGET_BURST_BYTES)
    )
    _sequence: int = 0
    _next_probe: float = 0.0
    _next_gossip: float = 0.0
    _next_dead_probe: float = 0.0
    _last_tick: float = -1.0
    _ids: list[int] = field(default_factory=list)
    _ids_stale: bool = True

    def __post_init__(self) -> None:
        self.members[self.local.node_id] = self.local
        self._queue_member(self.local)

    # Views.

    @property
    def sent_bytes(self) -> int:
        """Return the estimated bytes sent so far."""
        return self._budget.spent

    def alive(self) -> list[Member]:
        """Return the members that may serve, suspects included."""
        return [item for item in self.members.values() if item.state <= 1]

    def is_gone(self, node_id: int) -> bool:
        """Report whether a member is known to be dead or to have left."""
        member = self.members.get(node_id)
        return member is not None and member.state >= MemberState.DEAD

    # Events.

    def join(self, contacts: list[tuple[str, int]]) -> list[Send]:
        """Return the first messages to the given contact addresses."""
        return [
            self._send(address, Kind.PING, 0, force_local=True)
            for address in contacts
            if address != self.local.address
        ]

    def merge(self, now: float, members: list[Member]) -> None:
        """Merge a full list of members from a peer."""
        for member in members:
            self._merge(now, member)

    def leave(self) -> list[Send]:
        """Announce that this process stops."""
        self._update_local(state=MemberState.LEFT)
        peers = self._pick(GOSSIP_FANOUT * 2)
        return [self._send(peer.address, Kind.NEWS, 0) for peer in peers]

    def set_pool(self, pool: str) -> None:
        """Announce the pool of the local target; empty when it has gone."""
        if pool != self.local.pool:
            self._update_local(pool=pool)

    def set_config_version(self, version: int) -> list[Send]:
        """Adopt a configuration version and return hints for peers."""
        if version <= self.config_version:
            return []
        self.config_version = version
        peers = self._pick(GOSSIP_FANOUT + 1)
        return [self._send(peer.address, Kind.CONFIG_HINT, 0) for peer in peers]

    def add_mark(self, mark: Mark) -> None:
        """Spread a quarantine mark."""
        key = (mark.fingerprint, mark.node_id, mark.released)
        self._news.put(key, mark, self._retransmits())

    def tick(self, now: float) -> list[Send]:
        """Run timers; call at least every ``GOSSIP_PERIOD_S``."""
        self._budget.refill(now)
        if self._last_tick >= 0 and now - self._last_tick > PAUSE_GAP_S:
            self._forgive_pause(now)
        self._last_tick = now
        sends: list[Send] = []
        sends.extend(self._continue_probe(now))
        if now >= self._next_probe:
            sends.extend(self._finish_probe(now))
            sends.extend(self._start_probe(now))
            self._next_probe = now + PROBE_PERIOD_S * self.rng.uniform(0.9, 1.1)
        self._expire_suspects(now)
        self._forget_dead(now)
        if now >= self._next_dead_probe:
            self._next_dead_probe = now + DEAD_PROBE_PERIOD_S
            sends.extend(self._probe_dead())
        if now >= self._next_gossip:
            self._next_gossip = now + GOSSIP_PERIOD_S
            sends.extend(self._gossip())
        return sends

    def handle(
        self, now: float, message: Message, source: tuple[str, int]
    ) -> list[Send]:
        """Process a received message and return the answers."""
        self._budget.refill(now)
        for member in message.members:
            self._merge(now, member)
        for mark in message.marks:
            self.fresh_marks.append(mark)
        if message.config_version > self.seen_config_version:
            self.seen_config_version = message.config_version
            self.seen_config_from = message.sender
        if message.kind is Kind.PING:
            return self._answer_ping(message, source)
        if message.kind is Kind.PING_REQUEST:
            return self._relay_probe(now, message, source)
        if message.kind is Kind.ACK:
            return self._accept_ack(now, message)
        return []

    # Probing.

    def _start_probe(self, now: float) -> list[Send]:
        member = self._next_in_order()
        if member is None:
            return []
        self._sequence += 1
        self._probe = _Probe(member.node_id, self._sequence, now)
        return [self._send(member.address, Kind.PING, self._sequence, member.node_id)]

    def _next_in_order(self) -> Member | None:
        for _ in range(2):
            while self._order:
                member = self.members.get(self._order.popleft())
                if member is not None and member.state <= MemberState.SUSPECT:
                    return member
            own = self.local.node_id
            names = [item.node_id for item in self.alive() if item.node_id != own]
            self.rng.shuffle(names)
            self._order.extend(names)
        return None

    def _continue_probe(self, now: float) -> list[Send]:
        probe = self._probe
        if probe is None or probe.acked or probe.indirect:
            return []
        if now - probe.sent_at < ACK_TIMEOUT_S:
            return []
        probe.indirect = True
        helpers = self._pick(INDIRECT_PROBES, exclude=probe.node_id)
        return [
            self._send(peer.address, Kind.PING_REQUEST, probe.sequence, probe.node_id)
            for peer in helpers
        ]

    def _finish_probe(self, now: float) -> list[Send]:
        probe, self._probe = self._probe, None
        if probe is None or probe.acked:
            return []
        member = self.members.get(probe.node_id)
        if member is None or member.state is not MemberState.ALIVE:
            return []
        self._merge(now, replace(member, state=MemberState.SUSPECT))
        suspect = self.members[probe.node_id]
        return [self._send(suspect.address, Kind.PING, 0, suspect.node_id, suspect)]

    def _answer_ping(self, message: Message, source: tuple[str, int]) -> list[Send]:
        if message.subject and message.subject != self.local.node_id:
            # The address now belongs to this process; the probed one is gone.
            return [self._send(source, Kind.NEWS, 0, extra=self.local)]
        force = message.sequence == 0
        return [
            self._send(
                source,
                Kind.ACK,
                message.sequence,
                self.local.node_id,
                force_local=force,
            )
        ]

    def _relay_probe(
        self, now: float, message: Message, source: tuple[str, int]
    ) -> list[Send]:
        member = self.members.get(message.subject)
        if member is None:
            return []
        self._sequence += 1
        self._relays[self._sequence] = _Relay(
            source, message.sequence, message.subject, now
        )
        return [self._send(member.address, Kind.PING, self._sequence, member.node_id)]

    def _accept_ack(self, now: float, message: Message) -> list[Send]:
        relay = self._relays.pop(message.sequence, None)
        if relay is not None and relay.subject == message.sender:
            return [
                Send(
                    relay.requester,
                    Message(
                        Kind.ACK,
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
            # The member is told through the next ping and refutes by itself.
            return [self._send(member.address, Kind.NEWS, 0, extra=member)]
        return []

    def _probe_dead(self) -> list[Send]:
        if not self._dead_at:
            return []
        node_id = self.rng.choice(list(self._dead_at))
        member = self.members[node_id]
        if member.state is MemberState.LEFT:
            return []
        return [self._send(member.address, Kind.PING, 0, node_id, extra=member)]

    # Records.

    def _merge(self, now: float, member: Member) -> None:
        if member.node_id == self.local.node_id:
            self._refute(member)
            return
        known = self.members.get(member.node_id)
        if known is None:
            if member.state >= MemberState.DEAD:
                return
            self._ids_stale = True
            self._replace_address(now, member)
        elif not member.supersedes(known):
            return
        self.members[member.node_id] = member
        self._note_state(now, known, member)
        self._queue_member(member)
        self.changed = True

    def _replace_address(self, now: float, member: Member) -> None:
        self._order.insert(self.rng.randint(0, len(self._order)), member.node_id)
        for other in list(self.members.values()):
            if other.address != member.address or other.state >= MemberState.DEAD:
                continue
            if other.node_id not in (member.node_id, self.local.node_id):
                self._merge(now, replace(other, state=MemberState.DEAD))

    def _note_state(self, now: float, known: Member | None, member: Member) -> None:
        self._suspected_at.pop(member.node_id, None)
        self._dead_at.pop(member.node_id, None)
        if member.state is MemberState.SUSPECT:
            self._suspected_at[member.node_id] = now
        elif member.state >= MemberState.DEAD:
            self._dead_at[member.node_id] = now

    def _refute(self, member: Member) -> None:
        if member.state is MemberState.ALIVE or self.local.state >= MemberState.DEAD:
            return
        if member.counter >= self.local.counter:
            self.false_accusations += 1
            self._update_local(counter=member.counter + 1)

    def _update_local(
        self,
        pool: str | None = None,
        counter: int | None = None,
        state: MemberState | None = None,
    ) -> None:
        self.local = replace(
            self.local,
            pool=self.local.pool if pool is None else pool,
            counter=self.local.counter + 1 if counter is None else counter,
            state=self.local.state if state is None else state,
        )
        self.members[self.local.node_id] = self.local
        self._queue_member(self.local)
        self.changed = True

    def _expire_suspects(self, now: float) -> None:
        if not self._suspected_at:
            return
        patience = self._suspicion_s()
        for node_id, since in list(self._suspected_at.items()):
            if now - since >= patience:
                member = self.members[node_id]
                self._merge(now, replace(member, state=MemberState.DEAD))

    def _suspicion_s(self) -> float:
        suspects = len(self._suspected_at)
        total = len(self.members) - len(self._dead_at)
        if suspects >= CUT_MIN_SUSPECTS and suspects > CUT_SHARE * total:
            return CUT_SUSPICION_S
        return SUSPICION_S * max(1.0, math.log10(max(1, total)))

    def _forget_dead(self, now: float) -> None:
        while self._dead_at:
            node_id = next(iter(self._dead_at))
            if now - self._dead_at[node_id] < DEAD_RETENTION_S:
                return
            del self._dead_at[node_id]
            self.members.pop(node_id, None)
            self._ids_stale = True

    def _forgive_pause(self, now: float) -> None:
        self._probe = None
        for node_id in self._suspected_at:
            self._suspected_at[node_id] = now

    # Spreading.

    def _retransmits(self) -> int:
        return RETRANSMIT_FACTOR * math.ceil(math.log10(len(self.members) + 1))

    def _queue_member(self, member: Member) -> None:
        self._news.put(member.node_id, member, self._retransmits())

    def _gossip(self) -> list[Send]:
        if not self._news:
            return []
        peers = self._pick(GOSSIP_FANOUT)
        return [
            self._send(peer.address, Kind.NEWS, 0)
            for peer in peers
            if self._news and self._budget.room(HEADER_BYTES, UPDATE_BYTES)
        ]

    def _pick(self, count: int, exclude: int = 0) -> list[Member]:
        chosen: list[Member] = []
        pool = self._peer_ids()
        for _ in range(count * 4):
            if len(chosen) >= count or not pool:
                break
            member = self.members.get(self.rng.choice(pool))
            if member is None or member in chosen or member.node_id == exclude:
                continue
            if member.state <= MemberState.SUSPECT:
                chosen.append(member)
        return chosen

    def _peer_ids(self) -> list[int]:
        if self._ids_stale:
            self._ids = [item for item in self.members if item != self.local.node_id]
            self._ids_stale = False
        return self._ids

    def _send(
        self,
        address: tuple[str, int],
        kind: Kind,
        sequence: int,
        subject: int = 0,
        extra: Member | None = None,
        force_local: bool = False,
    ) -> Send:
        members, marks = self._take_news()
        if extra is not None:
            members.insert(0, extra)
        if force_local and self.local not in members:
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
        )
        return Send(address, message)

    def _take_news(self) -> tuple[list[Member], list[Mark]]:
        if not self._news:
            return [], []
        room = min(MAX_UPDATES, self._budget.room(HEADER_BYTES, UPDATE_BYTES))
        taken = self._news.take(room)
        members = [item for item in taken if isinstance(item, Member)]
        marks = [item for item in taken if isinstance(item, Mark)]
        return members, marks
