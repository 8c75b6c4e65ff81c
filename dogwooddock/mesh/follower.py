"""Follow the changes of a store table across outages and dropped history."""

__all__ = ["TableFollower"]

import asyncio
from collections.abc import Callable
from random import Random

import structlog

from ..errors import PlatformError
from .rows import HistoryLost, Row, RowStore

LONG_POLL_S = 8.0
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 1.0

log = structlog.get_logger()


class TableFollower:
    """Read a table, then long-poll for its changes, and pass every row on.

    After an outage or a new full read, rows may be passed on more than once and out of
    order; the receiver has to keep the newest version of each. When the store comes
    back from an older copy, the table is read in full again.

    Args:
        store: The store.
        table: Name of the table.
        parts: Parts of the table to read; None for all.
        on_rows: Called with rows and the store version at which they were read.
        rng: Source of the jitter of retry delays.
        batch_delay_s: Pause between calls, so that several changes arrive in one
            reply, in seconds.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        parts: list[str] | None,
        on_rows: Callable[[tuple[Row, ...], int], None],
        rng: Random,
        batch_delay_s: float = 0.0,
    ):
        self._store = store
        self._table = table
        self._parts = parts
        self._on_rows = on_rows
        self._rng = rng
        self._position: int | None = None
        self._era = 0
        self._batch_delay_s = batch_delay_s
        self._backoff_s = BACKOFF_FIRST_S
        self._enabled = asyncio.Event()
        self.store_lost = False

    def set_enabled(self, enabled: bool) -> None:
        """Start following, or stop once the current call has returned."""
        if enabled:
            self._enabled.set()
        else:
            self._enabled.clear()

    async def load(self) -> None:
        """Read the table once without following it.

        Raises:
            PlatformError: The store cannot be read.
        """
        await self._read_table()

    async def run(self) -> None:
        """Follow the table while enabled, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._enabled.wait()
            called_at = loop.time()
            try:
                if self._position is None or self._era != self._store.era:
                    await self._read_table()
                else:
                    await self._wait_for_changes(self._position)
            except HistoryLost:
                log.info("store_history_lost", table=self._table)
                self._position = None
            except PlatformError as exc:
                await self._back_off(exc, loop.time() - called_at)
            else:
                self._on_success()
                await asyncio.sleep(self._batch_delay_s)

    async def _read_table(self) -> None:
        parts = self._parts
        if parts is None:
            parts = await self._store.parts(self._table) or [""]
        pages = [await self._store.read(self._table, parts[0])]
        era = self._store.era
        for part in parts[1:]:
            pages.append(await self._store.read(self._table, part))
        self._require_era(era)
        self._era = era
        position = min(page.version for page in pages)
        rows = tuple(row for page in pages for row in page.rows)
        self._on_rows(rows, position)
        self._position = position

    def _require_era(self, era: int) -> None:
        if era != self._store.era:
            raise HistoryLost(
                "the store has come back from an older copy; read the table again"
            )

    async def _wait_for_changes(self, position: int) -> None:
        page = await self._store.changes(self._table, position, LONG_POLL_S)
        self._require_era(self._era)
        if page.rows:
            self._on_rows(page.rows, page.version)
        self._position = max(position, page.version)

    async def _back_off(self, exc: PlatformError, waited_s: float) -> None:
        if not self.store_lost:
            self.store_lost = True
            log.warning(
                "store_lost",
                table=self._table,
                error=str(exc),
                waited_ms=round(waited_s * 1000),
            )
        await asyncio.sleep(self._backoff_s * (0.5 + self._rng.random()))
        self._backoff_s = min(BACKOFF_MAX_S, self._backoff_s * 2)

    def _on_success(self) -> None:
        if self.store_lost:
            self.store_lost = False
            log.info("store_regained", table=self._table, version=self._position)
        self._backoff_s = BACKOFF_FIRST_S
