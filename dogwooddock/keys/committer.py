"""Group commit of key writes and group reads of key rows."""

__all__ = ["DirectBatches", "KeyBatches", "KeyCommitter", "KeyReader", "KeyService"]

import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass, field

import pykka

from ..errors import PlatformError, PlatformTimeout
from .rows import KeyResult, KeyStore, KeyWrite

MAX_BATCH = 500
WRITE_PERIOD_S = 0.04
READ_PERIOD_S = 0.025
BATCH_TIMEOUT_S = 2.0


class KeyBatches(ABC):
    """Where batches of key reads and writes go."""

    @abstractmethod
    def commit(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Run the writes in one transaction, each on its own condition."""

    @abstractmethod
    def read(self, keys: Sequence[str]) -> list[KeyResult]:
        """Return the present rows of the keys."""


@dataclass
class _Submit:
    item: object
    fut: Future = field(default_factory=Future)


@dataclass(frozen=True)
class _Flush:
    """Ask a batching actor to run what has piled up."""


class _BatchingActor(pykka.ThreadingActor):
    """Collect items while the previous batch is running.

    A batch starts at once if the last one is older than the period, so a quiet actor
    adds no delay and a busy one runs at most one batch per period.
    """

    use_daemon_thread = True

    def __init__(self, batches: KeyBatches, period_s: float):
        super().__init__()
        self._batches = batches
        self._period_s = period_s
        self._pending: list[_Submit] = []
        self._scheduled = False
        self._next_start = 0.0

    def on_receive(self, message: object) -> object:
        """Queue an item or run the queued ones."""
        if isinstance(message, _Submit):
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

    def _run(self, batch: list[_Submit]) -> None:
        try:
            results = self.run_batch([submit.item for submit in batch])
        except Exception as exc:
            for submit in batch:
                submit.fut.set_exception(exc)
            return
        for submit, result in zip(batch, results, strict=True):
            submit.fut.set_result(result)

    def run_batch(self, items: list) -> list[KeyResult]:
        """Run one batch and return one result per item."""
        raise NotImplementedError


class KeyCommitter(_BatchingActor):
    """Write key rows in group commits."""

    def run_batch(self, items: list) -> list[KeyResult]:
        """Commit one batch of writes."""
        return self._batches.commit(items)


class KeyReader(_BatchingActor):
    """Read key rows in groups."""

    def run_batch(self, items: list) -> list[KeyResult]:
        """Read one batch of keys."""
        return self._batches.read(items)


class KeyService(KeyBatches):
    """Blocking access to key rows for request threads.

    Args:
        batches: Where batches go; a store, or a batcher in the availability zone.
        write_period_s: Shortest time between two group commits, in seconds.
        read_period_s: Shortest time between two group reads, in seconds.
    """

    def __init__(
        self,
        batches: KeyBatches,
        write_period_s: float = WRITE_PERIOD_S,
        read_period_s: float = READ_PERIOD_S,
    ):
        self._writer = KeyCommitter.start(batches, write_period_s)
        self._reader = KeyReader.start(batches, read_period_s)

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
            PlatformTimeout: The write may have taken effect or may do so later.
        """
        return _result(_submit(self._writer, write), timeout_s)

    def write_later(self, write: KeyWrite) -> None:
        """Queue a write whose loss does no harm."""
        _submit(self._writer, write).add_done_callback(_ignore_failure)

    def commit(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Commit a batch on behalf of others, together with what waits here."""
        futures = [_submit(self._writer, write) for write in writes]
        return [_result(fut, BATCH_TIMEOUT_S) for fut in futures]

    def read(self, keys: Sequence[str]) -> list[KeyResult]:
        """Read a batch on behalf of others, together with what waits here."""
        futures = [_submit(self._reader, key) for key in keys]
        return [_result(fut, BATCH_TIMEOUT_S) for fut in futures]

    def stop(self) -> None:
        """Finish the queued work and stop."""
        self._writer.stop()
        self._reader.stop()


class DirectBatches(KeyBatches):
    """Batches that go straight to the table service."""

    def __init__(self, store: KeyStore):
        self._store = store

    def commit(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Run the writes in one transaction."""
        return self._store.commit(writes)

    def read(self, keys: Sequence[str]) -> list[KeyResult]:
        """Return the present rows of the keys."""
        return self._store.read(keys)


def _ignore_failure(fut: Future) -> None:
    fut.exception()


def _submit(actor: pykka.ActorRef, item: object) -> Future:
    submit = _Submit(item)
    try:
        actor.tell(submit)
    except pykka.ActorDeadError as exc:
        submit.fut.set_exception(PlatformTimeout(f"this node is stopping: {exc}"))
    return submit.fut


def _result(fut: Future, timeout_s: float) -> KeyResult:
    try:
        return fut.result(max(0.0, timeout_s))
    except FutureTimeout as exc:
        raise PlatformTimeout("the table service did not answer in time") from exc
    except PlatformError:
        raise
    except Exception as exc:
        raise PlatformTimeout(f"the batch failed: {exc}") from exc
