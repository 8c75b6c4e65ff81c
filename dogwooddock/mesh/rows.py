"""Versioned rows that the nodes keep on the platform, and their interface."""

__all__ = [
    "Change",
    "ExpectedVersion",
    "HistoryLost",
    "MemoryRows",
    "Row",
    "RowPage",
    "RowStore",
    "StoreRefused",
    "StoreUncertain",
    "TransactionResult",
]

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from ..errors import PlatformError, PlatformTimeout, PlatformUnavailable


class StoreRefused(PlatformUnavailable):
    """The store did nothing; the call may be repeated."""


class StoreUncertain(PlatformTimeout):
    """The call may have been performed, or may be later."""


class HistoryLost(PlatformError):
    """The changes after a version are no longer kept; read the table again."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row as of a moment.

    Args:
        version: Version of its last change.
        removed: Whether that change removed it.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows, and the version of the store that they were read at."""

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class ExpectedVersion:
    """Version that a row must have; 0 if it must not exist."""

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
    """Whether a transaction was applied.

    Args:
        applied: Whether every expected version held.
        version: Version of the transaction, if applied.
        rows: Present rows of those expected, if not applied.
    """

    applied: bool
    version: int
    rows: tuple[Row, ...]


class RowStore(ABC):
    """Tables of versioned rows with atomic conditional transactions.

    Every call raises StoreRefused if nothing was done and StoreUncertain if that is
    not known. ``calls`` counts the calls to the platform since the start.
    """

    calls: int = 0

    @abstractmethod
    async def read(self, table: str, part: str) -> RowPage:
        """Return all rows of a part of a table."""

    @abstractmethod
    async def parts(self, table: str) -> list[str]:
        """Return the parts of a table."""

    @abstractmethod
    async def changes(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the rows of a table that changed after a version.

        Waits for a change if there is none yet.

        Raises:
            HistoryLost: The changes are no longer kept.
        """

    @abstractmethod
    async def transact(
        self, expected: list[ExpectedVersion], changes: list[Change]
    ) -> TransactionResult:
        """Apply all changes if every expected version holds."""

    @abstractmethod
    def close(self) -> None:
        """Release connections."""


@dataclass
class MemoryRows(RowStore):
    """Keep rows in memory, for tests and tools."""

    version: int = 0
    forgotten: int = 0
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
        if after < self.forgotten:
            raise HistoryLost("the store dropped this history; read the table again")
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
        present = [self._rows.get(key) for key in keys]
        for item, row in zip(expected, present, strict=True):
            actual = 0 if row is None or row.removed else row.version
            if actual != item.version:
                found = tuple(row for row in present if row and not row.removed)
                return TransactionResult(False, 0, found)
        self.version += 1
        for change in changes:
            key = (change.table, change.part, change.key)
            removed = change.value is None
            self._rows[key] = Row(*key, change.value or b"", self.version, removed)
        self._changed.set()
        return TransactionResult(True, self.version, ())

    def close(self) -> None:
        """Do nothing; there are no connections."""
