"""In-memory implementations of the platform's services, for tests and simulations."""

__all__ = ["MemoryObjectStore", "MemoryTableService"]

import threading
from collections.abc import Sequence

from .base import ObjectStore, Row, TableService, Write, WriteResult


class MemoryTableService(TableService):
    """Table service in memory, which counts its transactions and reads."""

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, Row]] = {}
        self._lock = threading.Lock()
        self.transactions = 0
        self.reads = 0

    def read(self, table: str, keys: Sequence[str]) -> list[Row]:
        """Return the rows of the keys; absent rows have version 0."""
        with self._lock:
            self.reads += 1
            rows = self._tables.get(table, {})
            return [rows.get(key, Row(key, 0, "")) for key in keys]

    def scan(self, table: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows with keys above ``after``, in key order."""
        with self._lock:
            self.reads += 1
            rows = self._tables.get(table, {})
            keys = sorted(key for key in rows if key > after)
            return [rows[key] for key in keys[:limit]]

    def commit(
        self, table: str, writes: Sequence[Write], atomic: bool = False
    ) -> list[WriteResult]:
        """Run the writes in one transaction."""
        with self._lock:
            self.transactions += 1
            rows = self._tables.setdefault(table, {})
            if atomic and not all(_version_matches(rows, write) for write in writes):
                return [_not_applied(rows, write) for write in writes]
            return [_apply_write(rows, write) for write in writes]


def _version_matches(rows: dict[str, Row], write: Write) -> bool:
    row = rows.get(write.key)
    return (row.version if row else 0) == write.expected


def _not_applied(rows: dict[str, Row], write: Write) -> WriteResult:
    row = rows.get(write.key, Row(write.key, 0, ""))
    return WriteResult(False, row.version, row.value)


def _apply_write(rows: dict[str, Row], write: Write) -> WriteResult:
    if not _version_matches(rows, write):
        return _not_applied(rows, write)
    row = Row(write.key, write.expected + 1, write.value)
    rows[write.key] = row
    return WriteResult(True, row.version, row.value)


class MemoryObjectStore(ObjectStore):
    """Object store in memory."""

    def __init__(self) -> None:
        self._blobs: dict[str, bytes] = {}

    def get(self, name: str) -> bytes | None:
        """Return a blob, or None if it is absent."""
        return self._blobs.get(name)

    def put(self, name: str, data: bytes) -> None:
        """Store a blob, replacing one of the same name."""
        self._blobs[name] = data
