"""Idempotency key rows in the platform's table service."""

__all__ = ["KeyResult", "KeyStore", "KeyWrite"]

from collections.abc import Sequence
from dataclasses import dataclass

from ..policy.keys import KeyRow
from ..store.base import TableService, Write

TABLE = "keys"


@dataclass(frozen=True, slots=True)
class KeyWrite:
    """A compare-and-set of one key's row."""

    key: str
    base: int
    row: KeyRow


@dataclass(frozen=True, slots=True)
class KeyResult:
    """Row of a key after a read or a write."""

    applied: bool
    version: int
    row: KeyRow | None


class KeyStore:
    """Read and write key rows, many in one transaction."""

    def __init__(self, tables: TableService):
        self._tables = tables

    def read(self, keys: Sequence[str]) -> list[KeyResult]:
        """Return the present rows of the keys."""
        rows = self._tables.read(TABLE, keys)
        return [KeyResult(False, row.version, _row(row.value)) for row in rows]

    def commit(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Run the writes in one transaction, each on its own condition."""
        batch = [Write(write.key, write.base, write.row.dumps()) for write in writes]
        results = self._tables.commit(TABLE, batch)
        return [
            KeyResult(result.applied, result.version, _row(result.value))
            for result in results
        ]


def _row(text: str) -> KeyRow | None:
    return KeyRow.loads(text) if text else None
