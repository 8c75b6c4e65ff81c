"""Quarantine of requests that crash the targets they run on."""

__all__ = ["Mark", "MarkKind", "Quarantine", "QuarantineStatus", "fingerprint"]

import hashlib
import itertools
import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from random import Random

from .outcomes import RETRY_INVITING_STATUSES
from .unanswered import UnansweredRun

MARK_LIFETIME_S = 1800.0
LOSSES_TO_ISOLATE = 2
MAX_FINGERPRINTS = 4096
MAX_MARKS_PER_FINGERPRINT = 64
MIN_FAILED_STATUS = 500


def fingerprint(
    route: str, key: str, body: bytes, path: str = "", method: str = ""
) -> str:
    """Return a hash that identifies a request across resends.

    It covers the route and the idempotency key, or method, path and body if there is no
    key.
    """
    identity = key or f"{method} {path}\0"
    digest = hashlib.sha256(f"{route}\0{identity}".encode())
    if not key:
        digest.update(body)
    return digest.hexdigest()[:24]


class QuarantineStatus(Enum):
    """Quarantine status of a request.

    A request is suspect after the loss of a target that ran it, and quarantined after
    the loss of another one that began to run it while it was suspect.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class MarkKind(IntEnum):
    """What a mark states of the loss of a target.

    LOST: the target was lost while it ran the request. LOST_TO_SUSPECT: besides, the
    request was suspect when the run began. RELEASED: the loss no longer counts, since
    a target ran the request to its end or an operator released it.
    """

    LOST = 0
    LOST_TO_SUSPECT = 1
    RELEASED = 2


@dataclass(frozen=True, slots=True)
class Mark:
    """Statement about a request and the loss of a target, exchanged between nodes.

    Args:
        fingerprint: Fingerprint of the request.
        node_id: Node of the lost target.
        remaining_s: Time until the mark expires, in seconds.
        kind: What the mark states.
        lifetime: Number that distinguishes the lifetimes of the node's target.
    """

    fingerprint: str
    node_id: int
    remaining_s: int
    kind: MarkKind = MarkKind.LOST
    lifetime: int = 0


@dataclass(frozen=True, slots=True)
class _Loss:
    """The lifetime of a target that ended."""

    node_id: int
    lifetime: int


@dataclass(slots=True)
class _Statement:
    """What is known of one loss."""

    kind: MarkKind
    expires_at: float
    learned_at: float
    local: bool


@dataclass(slots=True)
class _Entry:
    """The losses of one request, in the order in which they were learned."""

    losses: OrderedDict[_Loss, _Statement] = field(default_factory=OrderedDict)

    def in_force(self, now: float) -> dict[_Loss, _Statement]:
        """Return the losses that count against the request."""
        return {
            loss: statement
            for loss, statement in list(self.losses.items())
            if statement.kind is not MarkKind.RELEASED and statement.expires_at > now
        }


@dataclass
class Quarantine:
    """Track the targets that each request has crashed.

    For each loss the highest kind of mark holds, so that nodes can merge marks in any
    order and as often as they like. At most MAX_FINGERPRINTS requests are kept; the
    least recently marked is dropped. Threads may share an object.
    """

    _entries: OrderedDict[str, _Entry] = field(default_factory=OrderedDict)
    _quarantined: dict[str, None] = field(default_factory=dict)
    _digest: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def __len__(self) -> int:
        return len(self._entries)

    def status(self, now: float, fingerprint: str) -> QuarantineStatus:
        """Return the quarantine status of the request with a fingerprint."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return QuarantineStatus.CLEAR
        return _status(entry.in_force(now))

    def is_isolated(self, now: float, fingerprint: str) -> bool:
        """Report whether only one target of the fleet may try a request.

        Several targets that were lost at one moment make a request suspect only.
        """
        entry = self._entries.get(fingerprint)
        return entry is not None and len(entry.in_force(now)) >= LOSSES_TO_ISOLATE

    def statuses(self, now: float) -> dict[str, str]:
        """Return the status of each suspect or quarantined request by fingerprint."""
        listed = {name: self.status(now, name) for name in list(self._entries)}
        return {
            name: status.value
            for name, status in listed.items()
            if status is not QuarantineStatus.CLEAR
        }

    # Marks.

    def add(self, now: float, mark: Mark) -> bool:
        """Merge a mark; return whether it changed anything and should be passed on."""
        return self._merge(now, mark, local=False)

    def restore(self, now: float, marks: Iterable[Mark]) -> None:
        """Merge marks that an earlier process of this node made."""
        for mark in marks:
            self._merge(now, mark, local=True)

    def record_target_loss(
        self,
        now: float,
        fingerprint: str,
        node_id: int,
        lifetime: int = 0,
        began_at: float | None = None,
    ) -> Mark | None:
        """Record the loss of a node's target; return the mark to pass on, or None.

        Args:
            now: Monotonic time, in seconds.
            fingerprint: Fingerprint of a request that the target ran.
            node_id: Node of the target.
            lifetime: Number of the target's lifetime.
            began_at: Time at which that run began; None for now.
        """
        began_at = now if began_at is None else began_at
        kind = MarkKind.LOST
        if self._was_suspect(now, fingerprint, began_at, _Loss(node_id, lifetime)):
            kind = MarkKind.LOST_TO_SUSPECT
        mark = Mark(fingerprint, node_id, int(MARK_LIFETIME_S), kind, lifetime)
        return mark if self._merge(now, mark, local=True) else None

    def record_lost_runs(self, now: float, runs: Iterable[UnansweredRun]) -> list[Mark]:
        """Record the runs that a target's end cut off; return the marks to pass on."""
        marks = [
            self.record_target_loss(
                now,
                run.fingerprint,
                run.lifetime.node_id,
                run.lifetime.born_ms,
                run.began_at,
            )
            for run in runs
        ]
        return [mark for mark in marks if mark is not None]

    def _was_suspect(
        self, now: float, fingerprint: str, at: float, excluded: _Loss
    ) -> bool:
        """Report whether another loss was known at a time."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return False
        return any(
            loss != excluded and statement.learned_at <= at
            for loss, statement in entry.in_force(now).items()
        )

    def record_answer(self, now: float, fingerprint: str, status: int) -> list[Mark]:
        """Release a request that a target ran to its end; return the marks to pass on.

        A failed answer releases nothing: the target may have given up before the point
        at which the request crashes it.

        Args:
            now: Monotonic time, in seconds.
            fingerprint: Fingerprint of the request.
            status: HTTP status of the target's answer.
        """
        if fingerprint not in self._entries:
            return []
        if status >= MIN_FAILED_STATUS or status in RETRY_INVITING_STATUSES:
            return []
        return self.release(now, fingerprint)

    def release(self, now: float, fingerprint: str) -> list[Mark]:
        """Release a request from its known losses; return the marks to pass on.

        Later losses count again.
        """
        entry = self._entries.get(fingerprint)
        if entry is None:
            return []
        remaining_s = int(MARK_LIFETIME_S)
        marks = [
            Mark(
                fingerprint, loss.node_id, remaining_s, MarkKind.RELEASED, loss.lifetime
            )
            for loss in entry.in_force(now)
        ]
        return [mark for mark in marks if self._merge(now, mark, local=True)]

    def _merge(self, now: float, mark: Mark, local: bool) -> bool:
        with self._lock:
            known = self._entries.get(mark.fingerprint)
            loss = _Loss(mark.node_id, mark.lifetime)
            statement = known.losses.get(loss) if known is not None else None
            outdated = statement is not None and statement.kind >= mark.kind
            if statement is not None and local:
                statement.local = True
            if mark.remaining_s <= 0 or outdated:
                return False
            entry = self._get_or_add_entry(mark.fingerprint)
            expires_at = now + min(mark.remaining_s, MARK_LIFETIME_S)
            learned_at = statement.learned_at if statement is not None else now
            self._drop(mark.fingerprint, entry, loss)
            local = local or (statement is not None and statement.local)
            entry.losses[loss] = _Statement(mark.kind, expires_at, learned_at, local)
            self._digest ^= _hash(mark.fingerprint, loss, mark.kind)
            if len(entry.losses) > MAX_MARKS_PER_FINGERPRINT:
                self._drop(mark.fingerprint, entry, next(iter(entry.losses)))
            self._update_quarantined(mark.fingerprint, entry, now)
            return True

    def _get_or_add_entry(self, fingerprint: str) -> _Entry:
        entry = self._entries.get(fingerprint)
        if entry is None:
            entry = self._entries[fingerprint] = _Entry()
        self._entries.move_to_end(fingerprint)
        if len(self._entries) > MAX_FINGERPRINTS:
            self._evict(fingerprint)
        return entry

    def _evict(self, kept: str) -> None:
        """Drop the least recently marked request, preferably one not quarantined."""
        others = (
            name
            for name in self._entries
            if name not in self._quarantined and name != kept
        )
        evicted = next(others, next(iter(self._entries)))
        entry = self._entries.pop(evicted)
        for loss in list(entry.losses):
            self._drop(evicted, entry, loss)
        self._quarantined.pop(evicted, None)

    def _drop(self, fingerprint: str, entry: _Entry, loss: _Loss) -> None:
        statement = entry.losses.pop(loss, None)
        if statement is not None:
            self._digest ^= _hash(fingerprint, loss, statement.kind)

    def _update_quarantined(self, fingerprint: str, entry: _Entry, now: float) -> None:
        if _status(entry.in_force(now)) is QuarantineStatus.QUARANTINED:
            self._quarantined[fingerprint] = None
        else:
            self._quarantined.pop(fingerprint, None)

    def expire(self, now: float) -> None:
        """Drop the marks whose time has passed."""
        with self._lock:
            for name, entry in list(self._entries.items()):
                for loss, statement in list(entry.losses.items()):
                    if statement.expires_at <= now:
                        self._drop(name, entry, loss)
                self._update_quarantined(name, entry, now)
                if not entry.losses:
                    del self._entries[name]

    # Exchange with other nodes.

    def digest(self) -> int:
        """Return a 63-bit number that is equal on nodes with equal marks; 0 if none."""
        return self._digest

    def sample(self, now: float, count: int, rng: Random) -> tuple[Mark, ...]:
        """Return up to ``count`` marks: the most important, and others at random."""
        with self._lock:
            names = self._important_names(count // 2)
            others = rng.sample(list(self._entries), min(count, len(self._entries)))
            marks = self._marks([*names, *others], now)
        return tuple(marks[:count])

    def local_marks(self, now: float, count: int) -> tuple[Mark, ...]:
        """Return the most important marks that this node made, at most ``count``."""
        with self._lock:
            names = self._important_names(len(self._entries))
            marks = self._marks(names, now, local_only=True)
        return tuple(marks[:count])

    def _important_names(self, count: int) -> list[str]:
        """Return the quarantined requests, then the most recently marked ones."""
        names = itertools.chain(reversed(self._quarantined), reversed(self._entries))
        return list(itertools.islice(names, count))

    def _marks(
        self, names: Iterable[str], now: float, local_only: bool = False
    ) -> list[Mark]:
        return [
            Mark(
                name,
                loss.node_id,
                int(statement.expires_at - now),
                statement.kind,
                loss.lifetime,
            )
            for name in dict.fromkeys(names)
            for loss, statement in self._entries[name].losses.items()
            if statement.expires_at - now >= 1.0 and (statement.local or not local_only)
        ]


def _status(in_force: dict[_Loss, _Statement]) -> QuarantineStatus:
    if any(item.kind is MarkKind.LOST_TO_SUSPECT for item in in_force.values()):
        return QuarantineStatus.QUARANTINED
    return QuarantineStatus.SUSPECT if in_force else QuarantineStatus.CLEAR


def _hash(fingerprint: str, loss: _Loss, kind: MarkKind) -> int:
    text = f"{fingerprint} {loss.node_id} {loss.lifetime} {int(kind)}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big") >> 1
