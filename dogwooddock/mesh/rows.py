"""Interface of the platform's store of versioned rows, and an in-memory version."""

__all__ = [
    "Change",
    "ExpectedVersion",
    "HistoryLost",
    "MemoryRowStore",
    "Row",
    "RowPage",
    "RowStore",
    "StoreRefused",
    "StoreUncertain",
    "TransactionResult",
]

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from ..errors import PlatformError, PlatformTimeout, PlatformUnavailable


class StoreRefused(PlatformUnavailable):
    """The store did not execute the call; it is safe to retry."""


class StoreUncertain(PlatformTimeout):
    """It is unknown whether the store executed the call or will still execute it."""


class HistoryLost(PlatformError):
    """The store no longer keeps all changes since a version; read the table again."""


@dataclass(frozen=True, slots=True)
class Row:
    """One version of a row.

    Args:
        table: Name of the table.
        part: Part of the table that holds the row.
        key: Key of the row, unique within the part.
        value: Content of the row; empty if it was removed.
        version: Store version of the last change.
        removed: Whether the last change removed the row.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows and the store version at which they were read."""

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class ExpectedVersion:
    """Precondition on the version of a row; 0 means that it must not exist."""

    table: str
    part: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Change:
    """New value of a row; None removes it."""

    table: str
    part: str
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Result of a conditional transaction.

    Args:
        applied: Whether every precondition held and all changes were made.
        version: Store version of the transaction; 0 if not applied.
        rows: Current rows named in the preconditions, if not applied.
    """

    applied: bool
    version: int
    rows: tuple[Row, ...]


class RowStore(ABC):
    """Tables of versioned rows with atomic conditional transactions.

    Every call raises StoreRefused if it was not executed and StoreUncertain if that
    is unknown. ``calls`` counts the calls to the platform since the start.

    The store may come back from a copy that lacks its latest writes. Each time, a new
    era begins; versions of different eras cannot be compared.

    Args:
        era: Era of the newest answer; 0 before the first answer.
        on_new_era: Called with a later era than that of earlier answers.
    """

    calls: int = 0
    era: int = 0
    on_new_era: Callable[[int], None] | None = None

    @property
    def connections_opened(self) -> int:
        """Return the number of connections to the platform since the start."""
        return 0

    @abstractmethod
    async def read(self, table: str, part: str) -> RowPage:
        """Return all rows of a part of a table."""

    @abstractmethod
    async def parts(self, table: str) -> list[str]:
        """Return the parts of a table."""

    @abstractmethod
    async def changes(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the rows of a table that changed after a version.

        Args:
            table: Name of the table.
            after: Store version; later changes are returned.
            wait_s: Longest wait for a first change, in seconds.

        Raises:
            HistoryLost: The store no longer keeps all changes after the version.
        """

    @abstractmethod
    async def transact(
        self, expected: list[ExpectedVersion], changes: list[Change]
    ) -> TransactionResult:
        """Apply all changes atomically if every expected version holds."""

    @abstractmethod
    def close(self) -> None:
        """Close the connections to the store."""


@dataclass
class MemoryRowStore(RowStore):
    """Keep rows in memory, for tests and tools.

    Args:
        version: Version of the last transaction.
        compacted_version: Oldest version after which changes can still be read.
    """

    version: int = 0
    compacted_version: int = 0
    _rows: dict[tuple[str, str, str], Row] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def read(self, table: str, part: str) -> RowPage:
        """Return all rows of a part of a table."""
        rows = [
            row
            for row in self._rows.values()
            if (row.table, row.part) == (table, part) and not row.removed
        ]
        return RowPage(tuple(sorted(rows, key=lambda row: row.key)), self.version)

    async def parts(self, table: str) -> list[str]:
        """Return the parts of a table."""
        found = {
            row.part
            for row in self._rows.values()
            if row.table == table and not row.removed
        }
        return sorted(found)

    async def changes(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the rows of a table that changed after a version."""
        if after < self.compacted_version:
            raise HistoryLost(
                "the store has compacted this history; read the table again"
            )
        page = self._changed_after(table, after)
        if page.rows or wait_s <= 0:
            return page
        self._changed.clear()
        try:
            await asyncio.wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            return self._changed_after(table, after)
        return self._changed_after(table, after)

    def _changed_after(self, table: str, after: int) -> RowPage:
        rows = [
            row
            for row in self._rows.values()
            if row.table == table and row.version > after
        ]
        return RowPage(tuple(sorted(rows, key=lambda row: row.version)), self.version)

    async def transact(
        self, expected: list[ExpectedVersion], changes: list[Change]
    ) -> TransactionResult:
        """Apply all changes if every expected version holds."""
        keys = [(item.table, item.part, item.key) for item in expected]
        current = [self._rows.get(key) for key in keys]
        for item, row in zip(expected, current, strict=True):
            actual = 0 if row is None or row.removed else row.version
            if actual != item.version:
                found = tuple(row for row in current if row and not row.removed)
                return TransactionResult(False, 0, found)
        self.version += 1
        for change in changes:
            key = (change.table, change.part, change.key)
            removed = change.value is None
            self._rows[key] = Row(*key, change.value or b"", self.version, removed)
        self._changed.set()
        return TransactionResult(True, self.version, ())

    def copy(self) -> "MemoryRowStore":
        """Return an independent copy with the same rows and versions."""
        return MemoryRowStore(self.version, self.compacted_version, dict(self._rows))

    def close(self) -> None:
        """Do nothing; there are no connections."""
