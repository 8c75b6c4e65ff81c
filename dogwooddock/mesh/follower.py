"""Follow a table of the store through outages and lost history."""

__all__ = ["TableFollower"]

import asyncio
from collections.abc import Callable
from random import Random

import structlog

from ..errors import PlatformError
from .rows import HistoryLost, Row, RowStore

WAIT_S = 8.0
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 1.0

log = structlog.get_logger()


class TableFollower:
    """Read a table, then its changes, and hand every row on.

    Rows may be handed on more than once and out of order after an outage; the
    receiver keeps the newest.

    Args:
        store: The store.
        table: Name of the table.
        parts: Parts to read; None reads every part.
        on_rows: Called with rows and the version that they were read at.
        rng: Source of jitter.
        gap_s: Time between calls in which changes gather, in seconds.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        parts: list[str] | None,
        on_rows: Callable[[tuple[Row, ...], int], None],
        rng: Random,
        gap_s: float = 0.0,
    ):
        self._store = store
        self._table = table
        self._parts = parts
        self._on_rows = on_rows
        self._rng = rng
        self._position: int | None = None
        self._gap_s = gap_s
        self._backoff_s = BACKOFF_FIRST_S
        self._wanted = asyncio.Event()
        self.lost = False

    def want(self, wanted: bool) -> None:
        """Begin to follow, or stop after the call under way."""
        if wanted:
            self._wanted.set()
        else:
            self._wanted.clear()

    async def run(self) -> None:
        """Follow the table while that is wanted, until cancelled."""
        while True:
            await self._wanted.wait()
            try:
                if self._position is None:
                    await self._read()
                else:
                    await self._wait_for_changes(self._position)
            except HistoryLost:
                log.info("store_history_lost", table=self._table)
                self._position = None
            except PlatformError as exc:
                await self._back_off(exc)
            else:
                self._recovered()
                await asyncio.sleep(self._gap_s)

    async def _read(self) -> None:
        parts = self._parts
        if parts is None:
            parts = await self._store.parts(self._table)
        position: int | None = None
        rows: list[Row] = []
        for part in parts or [""]:
            page = await self._store.read(self._table, part)
            rows.extend(page.rows)
            if position is None:
                position = page.version
            position = min(position, page.version)
        assert position is not None
        self._on_rows(tuple(rows), position)
        self._position = position

    async def _wait_for_changes(self, position: int) -> None:
        page = await self._store.changes(self._table, position, WAIT_S)
        if page.rows:
            self._on_rows(page.rows, page.version)
        self._position = max(position, page.version)

    async def _back_off(self, exc: PlatformError) -> None:
        if not self.lost:
            self.lost = True
            log.warning("store_lost", table=self._table, error=str(exc))
        await asyncio.sleep(self._backoff_s * (0.5 + self._rng.random()))
        self._backoff_s = min(BACKOFF_MAX_S, self._backoff_s * 2)

    def _recovered(self) -> None:
        if self.lost:
            self.lost = False
            log.info("store_regained", table=self._table, version=self._position)
        self._backoff_s = BACKOFF_FIRST_S
