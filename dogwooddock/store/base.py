"""Interfaces of the platform's table service and object store."""

__all__ = ["ObjectStore", "Row", "TableService", "Write", "WriteResult"]

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """A row of a table.

    Args:
        key: Key of the row.
        version: Number of writes to the row; 0 means that the row is absent.
        value: Text of the row.
    """

    key: str
    version: int
    value: str


@dataclass(frozen=True, slots=True)
class Write:
    """A conditional write, applied only if the row has the expected version.

    Args:
        key: Key of the row.
        expected: Version that the row must have; 0 for an absent row.
        value: New text of the row.
    """

    key: str
    expected: int
    value: str


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Result of one write.

    Args:
        applied: Whether the row was written.
        version: Version of the row after the transaction.
        value: Text of the row after the transaction.
    """

    applied: bool
    version: int
    value: str


class TableService(ABC):
    """Transactional tables of versioned rows.

    Every method raises ``PlatformUnavailable`` if nothing was written,
    ``PlatformRefused`` if the call itself is invalid, and ``PlatformTimeout`` if a
    write may have taken effect.
    """

    @abstractmethod
    def read(self, table: str, keys: Sequence[str]) -> list[Row]:
        """Return the rows of the keys; absent rows have version 0."""

    @abstractmethod
    def scan(self, table: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows with keys above ``after``, in key order."""

    @abstractmethod
    def commit(
        self, table: str, writes: Sequence[Write], atomic: bool = False
    ) -> list[WriteResult]:
        """Run the writes in one transaction.

        Args:
            table: Name of the table.
            writes: Writes, each with its expected version.
            atomic: Whether no write is applied if any row has another version than
                expected; otherwise each write is applied on its own.

        Returns:
            One result per write, in order.
        """


class ObjectStore(ABC):
    """Store of named blobs; a read may return an older value."""

    @abstractmethod
    def get(self, name: str) -> bytes | None:
        """Return a blob, or None if it is absent."""

    @abstractmethod
    def put(self, name: str, data: bytes) -> None:
        """Store a blob, replacing one of the same name."""
