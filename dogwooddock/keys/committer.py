"""Group commit of key writes and group reads of key rows."""

__all__ = [
    "DirectKeyBatchExecutor",
    "KeyBatchExecutor",
    "KeyCommitter",
    "KeyReader",
    "KeyService",
]

import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass, field
from typing import Any

import pykka

from ..errors import PlatformError, PlatformTimeout, PlatformUnavailable
from .rows import KeyResult, KeyStore, KeyWrite

MAX_BATCH = 500
WRITE_PERIOD_S = 0.04
READ_PERIOD_S = 0.025
BATCH_TIMEOUT_S = 2.0


class KeyBatchExecutor(ABC):
    """Executor of batches of key reads and writes."""

    @abstractmethod
    def commit(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Run compare-and-set writes in one transaction; each can fail on its own."""

    @abstractmethod
    def read(self, keys: Sequence[str]) -> list[KeyResult]:
        """Return the current rows of the keys, in the order of the keys."""


@dataclass
class _PendingItem:
    item: object
    fut: Future = field(default_factory=Future)


@dataclass(frozen=True)
class _Flush:
    """Message that tells a batching actor to run the pending items."""


class _BatchingActor(pykka.ThreadingActor):
    """Actor that collects items while the previous batch is running.

    A batch starts at once if the previous one started at least a period ago, so an
    idle actor adds no delay and a busy one runs at most one batch per period.
    """

    use_daemon_thread = True

    def __init__(self, executor: KeyBatchExecutor, period_s: float):
        super().__init__()
        self._executor = executor
        self._period_s = period_s
        self._pending: list[_PendingItem] = []
        self._scheduled = False
        self._next_start = 0.0

    def on_receive(self, message: object) -> object:
        """Queue an item, or run the queued ones."""
        if isinstance(message, _PendingItem):
            self._pending.append(message)
            self._schedule()
        elif isinstance(message, _Flush):
            self._flush()
        return None

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self.actor_ref.tell(_Flush())

    def _flush(self) -> None:
        self._scheduled = False
        now = time.monotonic()
        if now < self._next_start:
            time.sleep(self._next_start - now)
            self._schedule()
            return
        self._next_start = now + self._period_s
        batch, self._pending = self._pending[:MAX_BATCH], self._pending[MAX_BATCH:]
        if self._pending:
            self._schedule()
        if batch:
            self._run(batch)

    def _run(self, batch: list[_PendingItem]) -> None:
        try:
            results = self.run_batch([pending.item for pending in batch])
        except Exception as exc:
            for pending in batch:
                pending.fut.set_exception(exc)
            return
        for pending, result in zip(batch, results, strict=True):
            pending.fut.set_result(result)

    def on_stop(self) -> None:
        """Fail the items that were never run."""
        for pending in self._pending:
            exc = PlatformUnavailable("the node is stopping; send the call elsewhere")
            pending.fut.set_exception(exc)
        self._pending = []

    @abstractmethod
    def run_batch(self, items: list[Any]) -> list[KeyResult]:
        """Run one batch and return one result per item."""


class KeyCommitter(_BatchingActor):
    """Actor that writes key rows in group commits."""

    def run_batch(self, items: list[Any]) -> list[KeyResult]:
        """Commit one batch of writes."""
        return self._executor.commit(items)


class KeyReader(_BatchingActor):
    """Actor that reads key rows in groups."""

    def run_batch(self, items: list[Any]) -> list[KeyResult]:
        """Read one batch of keys."""
        return self._executor.read(items)


class KeyService(KeyBatchExecutor):
    """Blocking access to key rows for request threads.

    Args:
        executor: Runs the batches: a store, or the batcher of the availability zone.
        write_period_s: Shortest time between the starts of two group commits, in
            seconds.
        read_period_s: Shortest time between the starts of two group reads, in seconds.
    """

    def __init__(
        self,
        executor: KeyBatchExecutor,
        write_period_s: float = WRITE_PERIOD_S,
        read_period_s: float = READ_PERIOD_S,
    ):
        self._writer = KeyCommitter.start(executor, write_period_s)
        self._reader = KeyReader.start(executor, read_period_s)

    def read_key(self, key: str, timeout_s: float) -> KeyResult:
        """Return the row of a key.

        Raises:
            PlatformError: The row could not be read in time.
        """
        return _result(_submit(self._reader, key), timeout_s)

    def write_key(self, write: KeyWrite, timeout_s: float) -> KeyResult:
        """Run one compare-and-set in the next group commit.

        Raises:
            PlatformUnavailable: Nothing was written.
            PlatformTimeout: The write may have taken effect, or may still do so.
        """
        return _result(_submit(self._writer, write), timeout_s)

    def write_in_background(self, write: KeyWrite) -> None:
        """Queue a write that may be lost: without waiting, and ignoring a failure."""
        _submit(self._writer, write).add_done_callback(_ignore_failure)

    def commit(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Commit a batch of another node, together with the writes pending here."""
        futures = [_submit(self._writer, write) for write in writes]
        return [_result(fut, BATCH_TIMEOUT_S) for fut in futures]

    def read(self, keys: Sequence[str]) -> list[KeyResult]:
        """Read a batch of another node, together with the reads pending here."""
        futures = [_submit(self._reader, key) for key in keys]
        return [_result(fut, BATCH_TIMEOUT_S) for fut in futures]

    def stop(self) -> None:
        """Stop after the batch in progress; waiting items fail and never run."""
        self._writer.stop()
        self._reader.stop()


class DirectKeyBatchExecutor(KeyBatchExecutor):
    """Executor that sends batches directly to the table service."""

    def __init__(self, store: KeyStore):
        self._store = store

    def commit(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Run the writes in one transaction."""
        return self._store.commit(writes)

    def read(self, keys: Sequence[str]) -> list[KeyResult]:
        """Return the current rows of the keys."""
        return self._store.read(keys)


def _ignore_failure(fut: Future) -> None:
    fut.exception()


def _submit(actor: pykka.ActorRef, item: object) -> Future:
    pending = _PendingItem(item)
    try:
        actor.tell(pending)
    except pykka.ActorDeadError as exc:
        pending.fut.set_exception(PlatformTimeout(f"the node is stopping: {exc}"))
    return pending.fut


def _result(fut: Future, timeout_s: float) -> KeyResult:
    try:
        return fut.result(max(0.0, timeout_s))
    except FutureTimeout as exc:
        raise PlatformTimeout("the table service did not answer in time") from exc
    except PlatformError:
        raise
    except Exception as exc:
        raise PlatformTimeout(f"the batch of key rows failed: {exc}") from exc
