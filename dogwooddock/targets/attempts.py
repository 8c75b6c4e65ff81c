"""Attempts known to a gate, for duplicate detection, cancellation and replay."""

__all__ = ["AttemptRecord", "AttemptRegistry", "Phase"]

import threading
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from ..peers.wire.ttypes import Reply
from ..policy.outcomes import Outcome
from .client import Canceller

RETENTION_S = 600.0
MAX_KEPT_REPLY_BYTES = 32 * 1024 * 1024
MAX_RECORDS = 20_000


class Phase(Enum):
    """Progress of an attempt.

    A tombstoned attempt did not run and cannot run any more.
    """

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    TOMBSTONED = "tombstoned"


@dataclass(eq=False, slots=True)
class AttemptRecord:
    """One attempt at this gate.

    Args:
        attempt_id: Identifier of the attempt.
        updated_at: Monotonic time of creation or of the reply, in seconds.
        phase: Progress of the attempt.
        reply: Reply, once the attempt has one.
        canceller: Cancels the request at the target.
        done: Set when the attempt has its reply, or was tombstoned before it arrived.
    """

    attempt_id: str
    updated_at: float
    phase: Phase = Phase.WAITING
    reply: Reply | None = None
    canceller: Canceller = field(default_factory=Canceller)
    done: threading.Event = field(default_factory=threading.Event)


class AttemptRegistry:
    """Records of attempts, kept for a bounded time and in bounded memory.

    Finished and tombstoned records are dropped after ``RETENTION_S``, or earlier if
    there are more than ``MAX_RECORDS`` or ``MAX_KEPT_REPLY_BYTES`` of reply bodies.
    Pruning starts at the oldest record and stops at one that is unfinished.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[str, AttemptRecord] = OrderedDict()
        self._lock = threading.Lock()
        self._reply_bytes = 0

    def begin(self, now: float, attempt_id: str) -> tuple[AttemptRecord, bool]:
        """Return the record of an attempt and whether this call created it."""
        with self._lock:
            record = self._records.get(attempt_id)
            if record is not None:
                return record, False
            record = AttemptRecord(attempt_id, now)
            self._records[attempt_id] = record
            return record, True

    def find(self, attempt_id: str) -> AttemptRecord | None:
        """Return the record of an attempt, or None."""
        return self._records.get(attempt_id)

    def dispatch(self, record: AttemptRecord) -> bool:
        """Mark an attempt as dispatched; return False if it no longer waits."""
        with self._lock:
            if record.phase is not Phase.WAITING:
                return False
            record.phase = Phase.DISPATCHED
            return True

    def tombstone(self, now: float, attempt_id: str) -> AttemptRecord:
        """Prevent an attempt from running, unless it was already dispatched.

        An attempt that has not arrived yet gets a tombstone, so that it is refused if
        it arrives later.
        """
        with self._lock:
            record = self._records.get(attempt_id)
            if record is None:
                record = AttemptRecord(attempt_id, now, Phase.TOMBSTONED)
                record.done.set()
                self._records[attempt_id] = record
            elif record.phase is Phase.WAITING:
                record.phase = Phase.TOMBSTONED
            return record

    def finish(
        self, now: float, record: AttemptRecord, reply: Reply, keep: bool
    ) -> None:
        """Store the reply of an attempt.

        Args:
            now: Monotonic time in seconds.
            record: Record of the attempt.
            reply: Reply to store.
            keep: Whether to keep the record of an attempt that was dispatched; a
                tombstone is always kept.
        """
        record.reply = reply
        with self._lock:
            if reply.outcome == Outcome.NOT_RUN:
                record.phase = Phase.TOMBSTONED
            else:
                record.phase = Phase.FINISHED
            if keep or record.phase is Phase.TOMBSTONED:
                self._reply_bytes += len(reply.body or b"")
                record.updated_at = now
                self._records.move_to_end(record.attempt_id)
            else:
                self._records.pop(record.attempt_id, None)
            self._prune(now)
        record.done.set()

    def _prune(self, now: float) -> None:
        while self._records:
            record = next(iter(self._records.values()))
            over_limit = self._reply_bytes > MAX_KEPT_REPLY_BYTES
            over_limit = over_limit or len(self._records) > MAX_RECORDS
            if not over_limit and now - record.updated_at <= RETENTION_S:
                return
            if record.phase in (Phase.WAITING, Phase.DISPATCHED):
                return
            del self._records[record.attempt_id]
            if record.reply is not None:
                self._reply_bytes -= len(record.reply.body or b"")

    def __len__(self) -> int:
        return len(self._records)
