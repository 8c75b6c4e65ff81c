"""Attempts that a gate has seen, kept for duplicates, cancellation and replay."""

__all__ = ["AttemptRecord", "AttemptRegistry", "Phase"]

import threading
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from ..peers.wire.ttypes import Reply
from ..policy.outcomes import Outcome
from .client import Canceller

RETENTION_S = 600.0
MAX_FINISHED_BYTES = 32 * 1024 * 1024
MAX_RECORDS = 20_000


class Phase(Enum):
    """How far an attempt has come."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    TOMBSTONED = "tombstoned"


@dataclass(eq=False, slots=True)
class AttemptRecord:
    """One attempt at this gate."""

    attempt_id: str
    at: float
    phase: Phase = Phase.WAITING
    reply: Reply | None = None
    canceller: Canceller = field(default_factory=Canceller)
    done: threading.Event = field(default_factory=threading.Event)


class AttemptRegistry:
    """Remember attempts for a bounded time and in bounded memory."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, AttemptRecord] = OrderedDict()
        self._lock = threading.Lock()
        self._bytes = 0

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
        """Move an attempt to dispatched; return False if it is tombstoned."""
        with self._lock:
            if record.phase is not Phase.WAITING:
                return False
            record.phase = Phase.DISPATCHED
            return True

    def tombstone(self, now: float, attempt_id: str) -> AttemptRecord:
        """Make an attempt that was not dispatched unable to run."""
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
        """Store the reply of an attempt; drop what need not be kept."""
        record.reply = reply
        with self._lock:
            if reply.outcome == Outcome.NOT_RUN:
                record.phase = Phase.TOMBSTONED
            else:
                record.phase = Phase.FINISHED
            if keep or record.phase is Phase.TOMBSTONED:
                self._bytes += len(reply.body or b"")
                record.at = now
                self._records.move_to_end(record.attempt_id)
            else:
                self._records.pop(record.attempt_id, None)
            self._prune(now)
        record.done.set()

    def _prune(self, now: float) -> None:
        while self._records:
            record = next(iter(self._records.values()))
            crowded = self._bytes > MAX_FINISHED_BYTES
            crowded = crowded or len(self._records) > MAX_RECORDS
            if not crowded and now - record.at <= RETENTION_S:
                return
            if record.phase in (Phase.WAITING, Phase.DISPATCHED):
                return
            del self._records[record.attempt_id]
            if record.reply is not None:
                self._bytes -= len(record.reply.body or b"")

    def __len__(self) -> int:
        return len(self._records)
