"""Quarantine of requests that crash the targets they run on."""

__all__ = ["Mark", "Quarantine", "QuarantineStatus", "fingerprint"]

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

TARGETS_TO_QUARANTINE = 2
MARK_LIFETIME_S = 1800.0
MAX_FINGERPRINTS = 4096


def fingerprint(route: str, key: str, body: bytes, path: str = "") -> str:
    """Return a hash that identifies a request across resends.

    It covers the route and the idempotency key, or path and body if there is no key.
    """
    identity = key.encode() if key else path.encode() + b"\0" + body
    return hashlib.sha256(route.encode() + b"\0" + identity).hexdigest()[:24]


class QuarantineStatus(Enum):
    """Quarantine status of a request.

    A request is suspect after the loss of one target, and quarantined after the loss of
    TARGETS_TO_QUARANTINE different ones.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Mark:
    """Record, exchanged between nodes, that a target was lost while it ran a request.

    Args:
        fingerprint: Fingerprint of the request.
        node_id: Node of the lost target.
        remaining_s: Time until the mark expires, in seconds.
        released: Whether the mark instead releases the request, after an operator's
            command or a success.
    """

    fingerprint: str
    node_id: int
    remaining_s: int
    released: bool = False


@dataclass(slots=True)
class _Entry:
    node_ids: set[int] = field(default_factory=set)
    expires_at: float = 0.0
    released_until: float = 0.0


@dataclass
class Quarantine:
    """Track the targets that each request has crashed.

    At most MAX_FINGERPRINTS requests are kept; the least recently marked is dropped.
    """

    _entries: OrderedDict[str, _Entry] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._entries)

    def status(self, now: float, fingerprint: str) -> QuarantineStatus:
        """Return the quarantine status of the request with a fingerprint."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.expires_at <= now or not entry.node_ids:
            return QuarantineStatus.CLEAR
        if len(entry.node_ids) >= TARGETS_TO_QUARANTINE:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.SUSPECT

    def add(self, now: float, mark: Mark) -> bool:
        """Merge a mark; return whether it changed anything and should be gossiped."""
        if mark.released:
            return self.release(now, mark.fingerprint)
        entry = self._get_or_add_entry(mark.fingerprint)
        if entry.released_until > now or mark.node_id in entry.node_ids:
            return False
        entry.node_ids.add(mark.node_id)
        entry.expires_at = max(entry.expires_at, now + mark.remaining_s)
        return True

    def record_target_loss(
        self, now: float, fingerprint: str, node_id: int
    ) -> Mark | None:
        """Record the loss of a node's target; return the mark to gossip, or None."""
        mark = Mark(fingerprint, node_id, int(MARK_LIFETIME_S))
        return mark if self.add(now, mark) else None

    def record_success(self, now: float, fingerprint: str) -> Mark | None:
        """Release a suspect request that was answered; return the mark to gossip."""
        if self.status(now, fingerprint) is not QuarantineStatus.SUSPECT:
            return None
        self.release(now, fingerprint)
        return Mark(fingerprint, 0, int(MARK_LIFETIME_S), released=True)

    def release(self, now: float, fingerprint: str) -> bool:
        """Release a request; return whether it was marked.

        Marks for it are ignored for MARK_LIFETIME_S afterwards.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or not entry.node_ids:
            return False
        entry.node_ids.clear()
        entry.released_until = now + MARK_LIFETIME_S
        return True

    def statuses(self, now: float) -> dict[str, str]:
        """Return the status of each suspect or quarantined request by fingerprint."""
        listed = {name: self.status(now, name) for name in list(self._entries)}
        return {
            name: status.value
            for name, status in listed.items()
            if status is not QuarantineStatus.CLEAR
        }

    def _get_or_add_entry(self, fingerprint: str) -> _Entry:
        entry = self._entries.get(fingerprint)
        if entry is None:
            entry = self._entries[fingerprint] = _Entry()
        self._entries.move_to_end(fingerprint)
        if len(self._entries) > MAX_FINGERPRINTS:
            self._entries.popitem(last=False)
        return entry
