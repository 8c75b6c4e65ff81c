"""Quarantine of requests that make targets crash."""

__all__ = ["Mark", "Quarantine", "Standing", "fingerprint"]

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

TARGETS_TO_QUARANTINE = 2
MARK_LIFETIME_S = 1800.0
MAX_FINGERPRINTS = 4096


def fingerprint(route: str, key: str, body: bytes, path: str = "") -> str:
    """Identify a request across resends by its key, else by path and body."""
    identity = key.encode() if key else path.encode() + b"\0" + body
    return hashlib.sha256(route.encode() + b"\0" + identity).hexdigest()[:24]


class Standing(Enum):
    """How a request is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Mark:
    """Observation that a target was lost while it ran a request.

    Args:
        fingerprint: Identity of the request.
        node_id: Node beside the lost target.
        remaining_s: Time until the mark expires, in seconds.
        released: Whether an operator or a success cleared the request.
    """

    fingerprint: str
    node_id: int
    remaining_s: int
    released: bool = False


@dataclass(slots=True)
class _Entry:
    targets: set[int] = field(default_factory=set)
    expires_at: float = 0.0
    released_until: float = 0.0


@dataclass
class Quarantine:
    """Count the targets lost to each request, in bounded memory."""

    _entries: OrderedDict[str, _Entry] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._entries)

    def standing(self, now: float, request: str) -> Standing:
        """Return how a request is treated."""
        entry = self._entries.get(request)
        if entry is None or entry.expires_at <= now or not entry.targets:
            return Standing.CLEAR
        if len(entry.targets) >= TARGETS_TO_QUARANTINE:
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def add(self, now: float, mark: Mark) -> bool:
        """Merge a mark; return whether it was news worth spreading."""
        if mark.released:
            return self.release(now, mark.fingerprint)
        entry = self._entry(mark.fingerprint)
        if entry.released_until > now or mark.node_id in entry.targets:
            return False
        entry.targets.add(mark.node_id)
        entry.expires_at = max(entry.expires_at, now + mark.remaining_s)
        return True

    def observe_loss(self, now: float, request: str, node_id: int) -> Mark | None:
        """Record a lost target; return the mark to spread, or None."""
        mark = Mark(request, node_id, int(MARK_LIFETIME_S))
        return mark if self.add(now, mark) else None

    def observe_success(self, now: float, request: str) -> Mark | None:
        """Clear a suspect that was answered; return the mark to spread."""
        if self.standing(now, request) is not Standing.SUSPECT:
            return None
        self.release(now, request)
        return Mark(request, 0, int(MARK_LIFETIME_S), released=True)

    def release(self, now: float, request: str) -> bool:
        """Clear a request; return whether it was marked."""
        entry = self._entries.get(request)
        if entry is None or not entry.targets:
            return False
        entry.targets.clear()
        entry.released_until = now + MARK_LIFETIME_S
        return True

    def listing(self, now: float) -> dict[str, str]:
        """Return the standing of every marked request."""
        listed = {name: self.standing(now, name) for name in list(self._entries)}
        return {
            name: standing.value
            for name, standing in listed.items()
            if standing is not Standing.CLEAR
        }

    def _entry(self, request: str) -> _Entry:
        entry = self._entries.get(request)
        if entry is None:
            entry = self._entries[request] = _Entry()
        self._entries.move_to_end(request)
        if len(self._entries) > MAX_FINGERPRINTS:
            self._entries.popitem(last=False)
        return entry
