"""Group commit of key writes and group reads of key rows."""

__all__ = ["KeyCommitter", "KeyReader", "KeyService"]

from collections.abc import Callable, Sequence
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass, field

import pykka

from ..errors import PlatformError, PlatformTimeout
from .keystore import KeyResult, KeyStore, KeyWrite

MAX_BATCH = 500

CommitPath = Callable[[list[KeyWrite]], list[KeyResult]]


@dataclass
class _Submit:
    item: object
    fut: Future = field(default_factory=Future)


@dataclass(frozen=True)
class _Flush:
    """Ask a batching actor to run what has piled up."""


class _BatchingActor(pykka.ThreadingActor):
    """Collect items while the previous batch is running."""

    use_daemon_thread = True

    def __init__(self) -> None:
        super().__init__()
        self._pending: list[_Submit] = []
        self._scheduled = False
        self.batches = 0
        self.items = 0

    def on_receive(self, message: object) -> object:
        """Queue an item or run the queued ones."""
        if isinstance(message, _Submit):
            self._pending.append(message)
            if not self._scheduled:
                self._scheduled = True
                self.actor_ref.tell(_Flush())
        elif isinstance(message, _Flush):
            self._flush()
        return None

    def _flush(self) -> None:
        batch, self._pending = self._pending[:MAX_BATCH], self._pending[MAX_BATCH:]
        self._scheduled = bool(self._pending)
        if self._scheduled:
            self.actor_ref.tell(_Flush())
        self.batches += 1
        self.items += len(batch)
        try:
            results = self.run_batch([submit.item for submit in batch])
        except Exception as exc:
            for submit in batch:
                submit.fut.set_exception(exc)
            return
        for submit, result in zip(batch, results, strict=True):
            submit.fut.set_result(result)

    def run_batch(self, items: list) -> list:
        """Run one batch and return one result per item."""
        raise NotImplementedError


class KeyCommitter(_BatchingActor):
    """Write key rows in group commits."""

    def __init__(self, commit: CommitPath):
        super().__init__()
        self._commit = commit

    def run_batch(self, items: list) -> list:
        """Commit one batch of writes."""
        return self._commit(items)


class KeyReader(_BatchingActor):
    """Read key rows in groups."""

    def __init__(self, store: KeyStore):
        super().__init__()
        self._store = store

    def run_batch(self, items: list) -> list:
        """Read one batch of keys."""
        return self._store.read(items)


class KeyService:
    """Blocking access to key rows for request threads.

    Args:
        store: Key rows in the table service.
        commit: Function that commits a batch; the default writes directly.
    """

    def __init__(self, store: KeyStore, commit: CommitPath | None = None):
        self._store = store
        self._writer = KeyCommitter.start(commit or store.commit)
        self._reader = KeyReader.start(store)

    def read(self, key: str, timeout_s: float) -> KeyResult:
        """Return the row of a key.

        Raises:
            PlatformError: The row could not be read in time.
        """
        return _wait(self._reader, key, timeout_s)

    def write(self, write: KeyWrite, timeout_s: float) -> KeyResult:
        """Run one compare-and-set in the next group commit.

        Raises:
            PlatformUnavailable: Nothing was written.
            PlatformTimeout: The write may have taken effect or may do so later.
        """
        return _wait(self._writer, write, timeout_s)

    def write_later(self, write: KeyWrite) -> None:
        """Queue a write whose loss does no harm."""
        submit = _Submit(write)
        submit.fut.add_done_callback(_ignore_failure)
        self._writer.tell(submit)

    def commit_batch(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Commit a batch on behalf of another node."""
        futures = []
        for write in writes:
            submit = _Submit(write)
            self._writer.tell(submit)
            futures.append(submit.fut)
        return [_result(fut, 2.0) for fut in futures]

    def stop(self) -> None:
        """Finish the queued writes and stop."""
        self._writer.stop()
        self._reader.stop()


def _ignore_failure(fut: Future) -> None:
    fut.exception()


def _wait(actor: pykka.ActorRef, item: object, timeout_s: float) -> KeyResult:
    submit = _Submit(item)
    actor.tell(submit)
    return _result(submit.fut, timeout_s)


def _result(fut: Future, timeout_s: float) -> KeyResult:
    try:
        return fut.result(max(0.0, timeout_s))
    except FutureTimeout as exc:
        raise PlatformTimeout("the table service did not answer in time") from exc
    except PlatformError:
        raise
    except Exception as exc:
        raise PlatformTimeout(f"the batch failed: {exc}") from exc
