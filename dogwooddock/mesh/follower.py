"""Follow the changes of a store table across outages and dropped history."""

__all__ = ["TableFollower"]

import asyncio
from collections.abc import Callable
from random import Random

import structlog

from ..errors import PlatformError
from ..policy.polling import REGULAR_TIMING, PollTiming
from .bootclock import boot_time_s
from .rows import HistoryLost, Row, RowStore, StoreUncertain

BACKOFF_FIRST_S = 0.1

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
        on_unanswered: Called when a call was not answered; calls of others may be lost
            as well.
        on_proof: Called after ``on_rows`` with a time, of the clock that goes on
            during suspensions, up to which all changes were passed on, and the era.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        parts: list[str] | None,
        on_rows: Callable[[tuple[Row, ...], int], None],
        rng: Random,
        batch_delay_s: float = 0.0,
        on_unanswered: Callable[[], None] = lambda: None,
        on_proof: Callable[[float, int], None] = lambda at, era: None,
    ):
        self._store = store
        self._table = table
        self._parts = parts
        self._on_rows = on_rows
        self._rng = rng
        self._position: int | None = None
        self._era = 0
        self._batch_delay_s = batch_delay_s
        self._on_unanswered = on_unanswered
        self._on_proof = on_proof
        self._timing = REGULAR_TIMING
        self._poll: asyncio.Task[None] | None = None
        self._poll_restarted = False
        self._enabled = asyncio.Event()
        self.store_lost = False

    def set_enabled(self, enabled: bool) -> None:
        """Start following, or stop once the current call has returned."""
        if enabled:
            self._enabled.set()
        else:
            self._enabled.clear()

    def set_timing(self, timing: PollTiming) -> None:
        """Change the timing; a call that may wait longer is replaced at once."""
        shorter = timing.wait_s < self._timing.wait_s
        self._timing = timing
        if shorter:
            self.restart()

    def restart(self) -> None:
        """Replace the call that waits for changes, since the store may have lost it."""
        poll = self._poll
        if poll is not None and poll is not asyncio.current_task():
            self._poll_restarted = True
            poll.cancel()

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
                await self._wait_or_restart()
            except HistoryLost:
                self._forget_position()
            except PlatformError as exc:
                await self._regain(exc, called_at)
            await asyncio.sleep(self._batch_delay_s)

    async def _wait_or_restart(self) -> None:
        """Make one call; return without a result if ``restart`` is called meanwhile."""
        self._poll_restarted = False
        step = self._step(self._timing.wait_s, self._timing.answer_s)
        poll = asyncio.get_running_loop().create_task(step)
        self._poll = poll
        try:
            await poll
        except asyncio.CancelledError:
            if not self._poll_restarted or _is_cancelled():
                raise
        finally:
            self._poll = None

    async def _step(self, wait_s: float, answer_s: float) -> None:
        """Read the table if its position is not known, or else the changes since.

        Args:
            wait_s: Longest wait of the store for a change, in seconds.
            answer_s: Time beyond it until the call has failed, in seconds.
        """
        if self._position is None or self._era != self._store.era:
            await self._read_table()
        else:
            await self._read_changes(self._position, wait_s, answer_s)

    async def _read_table(self) -> None:
        called_at = boot_time_s()
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
        self._on_proof(called_at, era)

    def _require_era(self, era: int) -> None:
        if era != self._store.era:
            raise HistoryLost(
                "the store has come back from an older copy; read the table again"
            )

    async def _read_changes(
        self, position: int, wait_s: float, answer_s: float
    ) -> None:
        called_at = boot_time_s()
        try:
            async with asyncio.timeout(wait_s + answer_s):
                page = await self._store.changes(self._table, position, wait_s)
        except TimeoutError as exc:
            raise StoreUncertain("the store did not respond in time") from exc
        self._require_era(self._era)
        if page.rows:
            self._on_rows(page.rows, page.version)
        self._position = max(position, page.version)
        # Without a change, the store has waited to the end before it answered.
        waited = not page.rows and boot_time_s() - called_at >= wait_s
        self._on_proof(called_at + wait_s if waited else called_at, self._era)

    def _forget_position(self) -> None:
        log.info("store_history_lost", table=self._table)
        self._position = None

    # Outages.

    async def _regain(self, exc: PlatformError, called_at: float) -> None:
        """Call until the store answers.

        A call without an answer is not waited for, since the store may have lost it,
        and not given up at once, since the store may be slow: the calls overlap.

        Args:
            exc: Failure of the call before.
            called_at: Loop time of that call, in seconds.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        interval_s = BACKOFF_FIRST_S
        calls: set[asyncio.Task[None]] = set()
        self._on_unanswered()
        try:
            while not await self._is_answered(calls, interval_s, called_at):
                if loop.time() - began_at >= REGULAR_TIMING.answer_s:
                    self._note_lost(exc, called_at)
                interval_s = min(self._timing.retry_s, interval_s * 2)
        finally:
            for call in calls:
                call.cancel()
        self._note_regained()

    async def _is_answered(
        self, calls: set[asyncio.Task[None]], interval_s: float, called_at: float
    ) -> bool:
        """Add a call to those in progress; report whether one is answered in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + interval_s * (0.5 + self._rng.random())
        calls.add(loop.create_task(self._step(0.0, REGULAR_TIMING.answer_s)))
        while calls and loop.time() < until:
            done, _ = await asyncio.wait(
                calls,
                timeout=until - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            calls -= done
            for call in done:
                exc = call.exception()
                if exc is None:
                    return True
                self._on_failed_call(exc, called_at)
        await asyncio.sleep(max(0.0, until - loop.time()))
        return False

    def _on_failed_call(self, exc: BaseException, called_at: float) -> None:
        if isinstance(exc, HistoryLost):
            self._forget_position()
        elif isinstance(exc, PlatformError):
            self._note_lost(exc, called_at)
        else:
            raise exc

    def _note_lost(self, exc: PlatformError, called_at: float) -> None:
        if self.store_lost:
            return
        self.store_lost = True
        waited_s = asyncio.get_running_loop().time() - called_at
        log.warning(
            "store_lost",
            table=self._table,
            error=str(exc),
            waited_ms=round(waited_s * 1000),
        )

    def _note_regained(self) -> None:
        if self.store_lost:
            self.store_lost = False
            log.info("store_regained", table=self._table, version=self._position)


def _is_cancelled() -> bool:
    """Report whether the current task is to be cancelled itself."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
