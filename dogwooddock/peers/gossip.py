"""Gossip actor: drives the membership over a datagram socket."""

__all__ = ["Gossip", "GossipActor", "GossipEvents"]

import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import pykka
import structlog

from ..errors import PeerError
from ..policy.members import Member, OutgoingMessage
from ..policy.membership import Membership
from ..policy.quarantine import Mark
from .codec import decode_gossip, encode_gossip

MAX_DATAGRAM_BYTES = 8192
TICK_S = 0.1

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Tick:
    """Run the timers."""


@dataclass(frozen=True, slots=True)
class _Datagram:
    data: bytes
    source: tuple[str, int]


@dataclass(frozen=True, slots=True)
class _SetPool:
    pool: str


@dataclass(frozen=True, slots=True)
class _SetVersion:
    version: int


@dataclass(frozen=True, slots=True)
class _Join:
    contacts: list[tuple[str, int]]


@dataclass(frozen=True, slots=True)
class _Merge:
    members: list[Member]


@dataclass(frozen=True, slots=True)
class _AddMark:
    mark: Mark


@dataclass(frozen=True, slots=True)
class _Leave:
    """Announce that this process stops."""


@dataclass(frozen=True, slots=True)
class GossipEvents:
    """Functions that the gossip calls when something is new.

    Args:
        members: Called with all members after a change.
        config: Called with a version and the member that has it.
        mark: Called with every received quarantine mark.
    """

    members: Callable[[dict[int, Member]], None]
    config: Callable[[int, Member], None]
    mark: Callable[[Mark], bool]


class GossipActor(pykka.ThreadingActor):
    """Own the membership state."""

    use_daemon_thread = True

    def __init__(
        self, local: Member, rng: Random, sock: socket.socket, events: GossipEvents
    ):
        super().__init__()
        self._membership = Membership(local, rng)
        self._sock = sock
        self._events = events
        self._config_seen = 0
        self.sent_messages = 0
        self.sent_bytes = 0

    def on_receive(self, message: object) -> object:
        """Process one event and send what follows from it."""
        now = time.monotonic()
        membership = self._membership
        sends: list[OutgoingMessage] = []
        match message:
            case _Tick():
                sends = membership.tick(now)
            case _Datagram(data, source):
                sends = self._handle(now, data, source)
            case _SetPool(pool):
                membership.set_pool(pool)
            case _SetVersion(version):
                sends = membership.set_config_version(version)
            case _Join(contacts):
                sends = membership.join(contacts)
            case _Merge(members):
                membership.merge(now, members)
            case _AddMark(mark):
                membership.add_mark(mark)
            case _Leave():
                sends = membership.leave()
        self._send(sends)
        self._publish()
        return None

    def _handle(
        self, now: float, data: bytes, source: tuple[str, int]
    ) -> list[OutgoingMessage]:
        try:
            message = decode_gossip(data)
        except PeerError as exc:
            log.warning("gossip_rejected", source=f"{source[0]}:{source[1]}", why=exc)
            return []
        sends = self._membership.handle(now, message, source)
        for mark in self._membership.received_marks:
            if self._events.mark(mark):
                self._membership.add_mark(mark)
        self._membership.received_marks.clear()
        return sends

    def _send(self, sends: list[OutgoingMessage]) -> None:
        for send in sends:
            data = encode_gossip(send.message)
            self.sent_messages += 1
            self.sent_bytes += len(data)
            try:
                self._sock.sendto(data, send.address)
            except OSError:
                continue

    def _publish(self) -> None:
        membership = self._membership
        if membership.changed:
            membership.changed = False
            self._events.members(dict(membership.members))
        behind = membership.seen_config_version > membership.config_version
        if behind:
            member = membership.members.get(membership.seen_config_sender)
            if member is not None:
                self._events.config(membership.seen_config_version, member)


class Gossip:
    """Handle on the gossip actor and its socket.

    Args:
        local: Record of this process.
        rng: Source of randomness.
        sock: Bound datagram socket.
        events: Functions called when something is new.
    """

    def __init__(
        self, local: Member, rng: Random, sock: socket.socket, events: GossipEvents
    ):
        self._sock = sock
        self._actor = GossipActor.start(local, rng, sock, events)
        self._stopped = threading.Event()

    def start(self) -> None:
        """Receive datagrams and run timers in background threads."""
        for run in (self._receive, self._tick):
            threading.Thread(target=run, name="gossip", daemon=True).start()

    def _receive(self) -> None:
        while not self._stopped.is_set():
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._tell(_Datagram(data, source[:2]))

    def _tick(self) -> None:
        while not self._stopped.wait(TICK_S):
            self._tell(_Tick())

    def _tell(self, message: object) -> None:
        try:
            self._actor.tell(message)
        except pykka.ActorDeadError:
            self._stopped.set()

    def set_pool(self, pool: str) -> None:
        """Announce the pool of the local target."""
        self._tell(_SetPool(pool))

    def set_config_version(self, version: int) -> None:
        """Announce the configuration version in force here."""
        self._tell(_SetVersion(version))

    def join(self, contacts: list[tuple[str, int]]) -> None:
        """Introduce this process to the contacts."""
        self._tell(_Join(contacts))

    def merge(self, members: list[Member]) -> None:
        """Merge a full list of members."""
        self._tell(_Merge(members))

    def add_mark(self, mark: Mark) -> None:
        """Spread a quarantine mark."""
        self._tell(_AddMark(mark))

    def leave(self) -> None:
        """Announce that this process stops."""
        self._tell(_Leave())

    def traffic(self) -> tuple[int, int]:
        """Return the messages and bytes sent so far."""
        proxy = self._actor.proxy()
        return proxy.sent_messages.get(), proxy.sent_bytes.get()

    def stop(self) -> None:
        """Stop the actor and close the socket."""
        self._stopped.set()
        self._actor.stop()
        self._sock.close()
