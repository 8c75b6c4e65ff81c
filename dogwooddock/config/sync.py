"""Replication of the configuration to a node, from the store and from peers."""

__all__ = ["ConfigHolder", "ConfigSync"]

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import pykka
import structlog

from ..errors import PeerError, PlatformError
from ..policy.configlog import (
    POLLERS_PER_ZONE,
    ConfigReplica,
    LogSlice,
    zone_rank,
)
from ..policy.members import Member
from ..tables import Edit, Tables
from .store import ConfigStore

MAX_BACKOFF_S = 8.0
FALLBACK_POLL_S = 300.0

PullFrom = Callable[[tuple[str, int], int], LogSlice]

log = structlog.get_logger()


class ConfigHolder:
    """Thread-safe holder of a node's configuration, whose version never decreases.

    Args:
        on_change: Called with the tables after every change, under the holder's lock.
    """

    def __init__(self, on_change: Callable[[Tables], None]):
        self._replica = ConfigReplica()
        self._lock = threading.Lock()
        self._on_change = on_change

    @property
    def tables(self) -> Tables:
        """Return the current tables."""
        return self._replica.tables

    @property
    def version(self) -> int:
        """Return the current version."""
        return self._replica.version

    def log_since(self, version: int) -> LogSlice:
        """Return the edits after a version, or a snapshot if the log is too short."""
        with self._lock:
            return self._replica.log_since(version)

    def apply(self, update: LogSlice) -> bool:
        """Apply a slice of the log; return whether the version increased."""
        return self._update(lambda replica: replica.apply(update))

    def apply_if_newer(self, tables: Tables) -> bool:
        """Replace the tables if these are newer; return whether they were."""
        return self._update(lambda replica: replica.adopt(tables))

    def _update(self, change: Callable[[ConfigReplica], bool]) -> bool:
        with self._lock:
            changed = change(self._replica)
            if changed:
                self._on_change(self._replica.tables)
        return changed


@dataclass(frozen=True, slots=True)
class _Poll:
    """Message: read the store if a poll or a fallback read is due."""


@dataclass(frozen=True, slots=True)
class _Pull:
    """Message: pull a newer version from the peer at an address."""

    address: tuple[str, int]
    version: int


class _ConfigActor(pykka.ThreadingActor):
    use_daemon_thread = True

    def __init__(
        self,
        holder: ConfigHolder,
        store: ConfigStore | None,
        pull: PullFrom,
        is_poller: Callable[[], bool],
        period_s: float,
        rng: Random,
    ):
        super().__init__()
        self._holder = holder
        self._store = store
        self._pull = pull
        self._is_poller = is_poller
        self._period_s = period_s
        self._rng = rng
        self._backoff_s = 0.0
        self._next_poll_at = 0.0
        self._last_read_at = 0.0

    def on_receive(self, message: object) -> object:
        """Handle a ``_Poll`` or ``_Pull`` message; one that fails ends no other."""
        try:
            if isinstance(message, _Poll):
                self._poll(time.monotonic())
            elif isinstance(message, _Pull) and message.version > self._holder.version:
                self._pull_from(message)
        except Exception:
            log.exception("config_update_failed")
        return None

    def _poll(self, now: float) -> None:
        if self._store is None or now < self._next_poll_at:
            return
        overdue = now - self._last_read_at > FALLBACK_POLL_S * self._rng.uniform(1, 3)
        unconfigured = self._holder.version == 0
        if not (unconfigured or overdue or self._is_poller()):
            self._next_poll_at = now + self._period_s
            return
        self._last_read_at = now
        try:
            self._read(self._store)
            self._backoff_s = 0.0
        except PlatformError as exc:
            increased_s = max(self._period_s, self._backoff_s * 2)
            self._backoff_s = min(MAX_BACKOFF_S, increased_s)
            log.warning("config_poll_failed", error=str(exc)[:80])
        delay = max(self._period_s, self._backoff_s)
        self._next_poll_at = now + delay * self._rng.uniform(0.85, 1.15)

    def _read(self, store: ConfigStore) -> None:
        head = store.head()
        version = self._holder.version
        if head.version <= version:
            return
        if version == 0:
            self._holder.apply_if_newer(store.load(head))
            return
        edits: list[Edit] = store.edits_after(version)
        update = LogSlice(version, tuple(edit.dumps() for edit in edits), "", 0)
        if not self._holder.apply(update):
            self._holder.apply_if_newer(store.load(head))

    def _pull_from(self, message: _Pull) -> None:
        try:
            self._holder.apply(self._pull(message.address, self._holder.version))
        except PeerError as exc:
            log.info("config_pull_failed", error=str(exc)[:80])


class ConfigSync:
    """Keep a holder up to date in the background.

    The first ``POLLERS_PER_ZONE`` nodes of each availability zone poll the store; the
    others learn of new versions from peers and pull them. Every node also reads the
    store while it has no configuration, and if its last read is ``FALLBACK_POLL_S``
    times a random factor from 1 to 3 ago.

    Args:
        holder: Configuration to update.
        store: Store to poll, or None to pull from peers only.
        pull: Function that pulls the log after a version from a peer's address.
        zone_members: Function that returns the ids of the zone's live nodes.
        node_id: Id of this node.
        period_s: Time between polls, in seconds.
        rng: Generator for the jitter of the polls.
    """

    def __init__(
        self,
        holder: ConfigHolder,
        store: ConfigStore | None,
        pull: PullFrom,
        zone_members: Callable[[], list[int]],
        node_id: int,
        period_s: float,
        rng: Random,
    ):
        def is_poller() -> bool:
            return zone_rank(node_id, zone_members()) < POLLERS_PER_ZONE

        self._holder = holder
        self._pull = pull
        self._period_s = period_s
        self._actor = _ConfigActor.start(holder, store, pull, is_poller, period_s, rng)
        self._last_request_at = 0.0
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start polling in a background thread."""
        threading.Thread(target=self._run, name="config", daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                self._actor.tell(_Poll())
            except pykka.ActorDeadError:
                return
            if self._stopped.wait(self._period_s / 4):
                return

    def request_pull(self, version: int, member: Member) -> None:
        """Pull in the background from a peer that has a newer version.

        Requests within 50 ms of the last one are ignored.
        """
        now = time.monotonic()
        if version > self._holder.version and now - self._last_request_at > 0.05:
            self._last_request_at = now
            self._actor.tell(_Pull(member.address, version))

    def catch_up(self, source: str, version: int) -> None:
        """Pull a newer version from a peer before returning.

        Args:
            source: Peer address as ``IP:PORT``.
            version: Configuration version of the peer.
        """
        host, _, port = source.rpartition(":")
        if not host or version <= self._holder.version:
            return
        try:
            update = self._pull((host, int(port)), self._holder.version)
        except PeerError:
            return
        self._holder.apply(update)

    def stop(self) -> None:
        """Stop polling and pulling."""
        self._stopped.set()
        self._actor.stop()
