"""Reads of the rows that the nodes of one availability zone write."""

__all__ = ["ZoneRows"]

import asyncio
from collections.abc import Callable

from .recordrows import MEMBERS_TABLE
from .rows import Row, RowStore


class ZoneRows:
    """Read the rows of this node's zone and pass them on.

    Args:
        store: The platform's store.
        zone: Availability zone; names the table part that holds the rows.
        on_rows: Called with all rows after each read.
    """

    def __init__(
        self, store: RowStore, zone: str, on_rows: Callable[[tuple[Row, ...]], None]
    ):
        self._store = store
        self._on_rows = on_rows
        self.zone = zone
        self.has_rows = False
        self.was_read = asyncio.Event()

    async def read(self) -> tuple[Row, ...]:
        """Return the rows.

        Raises:
            PlatformError: The store cannot be read.
        """
        page = await self._store.read(MEMBERS_TABLE, self.zone)
        self.has_rows = bool(page.rows)
        self.was_read.set()
        self._on_rows(page.rows)
        return page.rows
