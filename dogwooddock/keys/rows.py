"""Idempotency key rows in the platform's table service."""

__all__ = ["KeyResult", "KeyStore", "KeyWrite"]

from collections.abc import Sequence
from dataclasses import dataclass

from ..policy.keys import KeyRow
from ..store.base import TableService, Write

TABLE = "keys"


@dataclass(frozen=True, slots=True)
class KeyWrite:
    """Compare-and-set of the row of one key.

    Args:
        key: Idempotency key.
        base: Version that the row must have for the write to apply.
        row: Row to write.
    """

    key: str
    base: int
    row: KeyRow


@dataclass(frozen=True, slots=True)
class KeyResult:
    """Row of a key after a read or a write.

    Args:
        applied: Whether a write took effect; False for a read.
        version: Version of the row.
        row: The row, or None if the key has none.
    """

    applied: bool
    version: int
    row: KeyRow | None


class KeyStore:
    """Read and write key rows in the table service, many in one transaction."""

    def __init__(self, tables: TableService):
        self._tables = tables

    def read(self, keys: Sequence[str]) -> list[KeyResult]:
        """Return the current rows of the keys, in the order of the keys."""
        rows = self._tables.read(TABLE, keys)
        return [KeyResult(False, row.version, _row(row.value)) for row in rows]

    def commit(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Run compare-and-set writes in one transaction; each can fail on its own."""
        batch = [Write(write.key, write.base, write.row.dumps()) for write in writes]
        results = self._tables.commit(TABLE, batch)
        return [
            KeyResult(result.applied, result.version, _row(result.value))
            for result in results
        ]


def _row(text: str) -> KeyRow | None:
    return KeyRow.loads(text) if text else None
