"""Gossip actor: runs the membership protocol over a UDP socket."""

__all__ = ["Gossip", "GossipActor", "GossipCallbacks"]

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
MARKS_REPLY_PERIOD_S = 0.2
MAX_REPLIED_MARKS = 12

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Tick:
    """Message to the actor: run the timers of the membership protocol."""


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
    """Message to the actor: announce that this process stops."""


@dataclass(frozen=True, slots=True)
class GossipCallbacks:
    """Callbacks of the gossip actor; they run in the actor's thread.

    Args:
        on_members_changed: Called with all members, by node identifier, after a change.
        on_newer_config: Called with a configuration version newer than the local one
            and the member that announced it; repeated until the local version has
            caught up.
        on_mark: Called with every received quarantine mark; returns whether the mark
            was new and is to be passed on.
        marks_digest: Returns the digest of this node's quarantine marks.
        sample_marks: Returns some of these marks, at most as many as its argument.
    """

    on_members_changed: Callable[[dict[int, Member]], None]
    on_newer_config: Callable[[int, Member], None]
    on_mark: Callable[[Mark], bool]
    marks_digest: Callable[[], int]
    sample_marks: Callable[[int], tuple[Mark, ...]]


class GossipActor(pykka.ThreadingActor):
    """Own the membership state; only this actor's thread touches it."""

    use_daemon_thread = True

    def __init__(
        self,
        local: Member,
        rng: Random,
        sock: socket.socket,
        callbacks: GossipCallbacks,
    ):
        super().__init__()
        self._membership = Membership(local, rng)
        self._sock = sock
        self._callbacks = callbacks
        self._marks_replied_at = 0.0
        self.sent_messages = 0
        self.sent_bytes = 0

    def on_receive(self, message: object) -> object:
        """Process one event, send the resulting messages and run the callbacks."""
        now = time.monotonic()
        membership = self._membership
        outgoing: list[OutgoingMessage] = []
        membership.marks_digest = self._callbacks.marks_digest()
        match message:
            case _Tick():
                outgoing = membership.tick(now)
            case _Datagram(data, source):
                outgoing = self._handle_datagram(now, data, source)
            case _SetPool(pool):
                membership.set_pool(pool)
            case _SetVersion(version):
                outgoing = membership.set_config_version(version)
            case _Join(contacts):
                outgoing = membership.join(contacts)
            case _Merge(members):
                membership.merge(now, members)
            case _AddMark(mark):
                membership.add_mark(mark)
            case _Leave():
                outgoing = membership.leave()
        self._send(outgoing)
        self._run_callbacks()
        return None

    def _handle_datagram(
        self, now: float, data: bytes, source: tuple[str, int]
    ) -> list[OutgoingMessage]:
        try:
            message = decode_gossip(data)
        except PeerError as exc:
            log.warning("gossip_rejected", source=f"{source[0]}:{source[1]}", why=exc)
            return []
        outgoing = self._membership.handle(now, message, source)
        for mark in self._membership.received_marks:
            if self._callbacks.on_mark(mark):
                self._membership.add_mark(mark)
        self._membership.received_marks.clear()
        if message.marks_digest != self._callbacks.marks_digest():
            outgoing += self._reply_with_marks(now, source)
        return outgoing

    def _reply_with_marks(
        self, now: float, source: tuple[str, int]
    ) -> list[OutgoingMessage]:
        """Send marks to a peer whose marks differ, at most once a period."""
        if now - self._marks_replied_at < MARKS_REPLY_PERIOD_S:
            return []
        marks = self._callbacks.sample_marks(MAX_REPLIED_MARKS)
        if not marks:
            return []
        self._marks_replied_at = now
        self._membership.marks_digest = self._callbacks.marks_digest()
        return self._membership.reply_with_marks(source, marks)

    def _send(self, outgoing: list[OutgoingMessage]) -> None:
        for outgoing_message in outgoing:
            data = encode_gossip(outgoing_message.message)
            self.sent_messages += 1
            self.sent_bytes += len(data)
            try:
                self._sock.sendto(data, outgoing_message.address)
            except OSError:
                continue

    def _run_callbacks(self) -> None:
        membership = self._membership
        if membership.changed:
            membership.changed = False
            self._callbacks.on_members_changed(dict(membership.members))
        outdated = membership.seen_config_version > membership.config_version
        if outdated:
            member = membership.members.get(membership.seen_config_sender)
            if member is not None:
                self._callbacks.on_newer_config(membership.seen_config_version, member)


class Gossip:
    """Thread-safe interface to the gossip actor and its socket.

    Args:
        local: Record of this process.
        rng: Source of randomness for timing and the choice of peers.
        sock: Bound UDP socket.
        callbacks: Functions that the actor calls on changes.
    """

    def __init__(
        self,
        local: Member,
        rng: Random,
        sock: socket.socket,
        callbacks: GossipCallbacks,
    ):
        self._sock = sock
        self._actor = GossipActor.start(local, rng, sock, callbacks)
        self._stopped = threading.Event()

    def start(self) -> None:
        """Receive datagrams and run timers in background threads."""
        for loop in (self._receive, self._tick):
            threading.Thread(target=loop, name="gossip", daemon=True).start()

    def _receive(self) -> None:
        while True:
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            if self._stopped.is_set():
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
        """Announce the configuration version that is active on this node."""
        self._tell(_SetVersion(version))

    def join(self, contacts: list[tuple[str, int]]) -> None:
        """Contact the given addresses, to join the fleet through them."""
        self._tell(_Join(contacts))

    def merge(self, members: list[Member]) -> None:
        """Merge a member list that was pulled from a peer."""
        self._tell(_Merge(members))

    def add_mark(self, mark: Mark) -> None:
        """Pass a quarantine mark on to other members."""
        self._tell(_AddMark(mark))

    def leave(self) -> None:
        """Announce that this process stops."""
        self._tell(_Leave())

    def traffic(self) -> tuple[int, int]:
        """Return the numbers of messages and bytes sent so far."""
        proxy = self._actor.proxy()
        return proxy.sent_messages.get(), proxy.sent_bytes.get()

    def stop(self) -> None:
        """Stop the actor and close the socket."""
        self._stopped.set()
        self._actor.stop()
        # Closing alone does not end the blocking recvfrom().
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()
