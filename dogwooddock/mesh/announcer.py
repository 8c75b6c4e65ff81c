"""Write this node's record and marks to the store, retrying after failures."""

__all__ = ["Announcer", "rewrite_spread_s"]

import asyncio
from random import Random

import structlog

from ..errors import PlatformError
from ..policy.lifetimes import TargetState
from ..policy.quarantine import Quarantine
from .calls import NodeRecord
from .members import era_of, version_of
from .recordrows import (
    MEMBERS_TABLE,
    MalformedRecord,
    decode_marks,
    decode_record,
    encode_record,
    record_key,
)
from .rows import Change, ExpectedVersion, Row, RowStore, StoreUncertain
from .zonerows import ZoneRows

BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 1.0
MARKS_WRITE_PERIOD_S = 1.0
MAX_STORED_MARKS = 100
MIN_REWRITE_SPREAD_S = 1.0
# The store may carry out a call without an answer some seconds later.
LATE_WRITE_S = 10.0
REWRITES_PER_S = 100.0

log = structlog.get_logger()


def rewrite_spread_s(nodes: int) -> float:
    """Return the time over which a fleet writes its rows again, in seconds.

    It grows with the fleet, so that the store is not met by all nodes at once.
    """
    return max(MIN_REWRITE_SPREAD_S, nodes / REWRITES_PER_S)


class Announcer:
    """Keep this node's row in the store up to date with its newest record and marks.

    Each write is conditional on the version that it replaces, so a write that the
    store executes late cannot overwrite a newer one.

    Args:
        store: The store.
        zone_rows: Reads the rows of this node's zone, its own among them.
        address: Peer address of this node; the key of the row is built from it.
        quarantine: Provides the marks that this node made, and gets those that an
            earlier process of it made.
        rng: Source of the jitter of retry delays.
    """

    def __init__(
        self,
        store: RowStore,
        zone_rows: ZoneRows,
        address: tuple[str, int],
        quarantine: Quarantine,
        rng: Random,
    ):
        self._loop = asyncio.get_running_loop()
        self._quarantine = quarantine
        self._marks_pending = False
        self._marks_written_at = -MARKS_WRITE_PERIOD_S
        self._store = store
        self._zone_rows = zone_rows
        self._row_id = (MEMBERS_TABLE, zone_rows.zone, record_key(address))
        self._rng = rng
        self._desired: NodeRecord | None = None
        self._written: NodeRecord | None = None
        self._version: int | None = None
        self._version_era = 0
        self._rewrite_since: float | None = None
        self._unanswered_era: int | None = None
        self.rewrites = 0
        self._wake = asyncio.Event()

    @property
    def synced(self) -> bool:
        """Report whether the newest record, if any, was written to the store."""
        return self._written == self._desired

    def is_known_at(self, position: int, record: NodeRecord | None) -> bool:
        """Report whether all who know the store's rows up to a position have a record.

        Not so while it is being written, or if it was written in another era of the
        store, which may have come back without it.
        """
        if record is None or record != self._written or self._version is None:
            return False
        same_era = era_of(position) == self._version_era
        return same_era and self._version <= version_of(position)

    def announce(self, record: NodeRecord) -> None:
        """Replace the record to be written; ``run`` writes it in the background."""
        if record != self._desired:
            self._desired = record
            self._wake.set()

    def announce_marks(self) -> None:
        """Write the marks that this node made, at most once a period."""
        if self._marks_pending:
            return
        self._marks_pending = True
        self._loop.call_at(
            max(self._loop.time(), self._marks_written_at + MARKS_WRITE_PERIOD_S),
            self._wake.set,
        )

    def write_again(self, era: int, nodes: int) -> None:
        """Write record and marks once more if the store has begun a later era.

        The writes of a fleet are spread over time, except those of a drain or of
        marks, which go first.

        Args:
            era: Era that was seen.
            nodes: Number of nodes in the fleet.
        """
        if self._desired is None or era <= self._version_era:
            return
        self._written = None
        self._marks_pending = True
        if self._rewrite_since is None:
            self._rewrite_since = self._loop.time()
        urgent = self._desired.state is not TargetState.READY or bool(
            self._quarantine.local_marks(self._loop.time(), 1)
        )
        spread_s = 0.0 if urgent else rewrite_spread_s(nodes)
        self._loop.call_later(spread_s * self._rng.random(), self._wake.set)

    async def recover(self) -> NodeRecord | None:
        """Read the record that an earlier process of this node wrote.

        Also restores the marks of that process, and remembers the version of the row,
        on which the next write depends.

        Returns:
            The record, or None if the row is absent or malformed.

        Raises:
            PlatformError: The store cannot be read.
        """
        rows = await self._zone_rows.read()
        self._version_era = self._store.era
        for row in rows:
            if row.key == self._row_id[-1]:
                self._version = row.version
                return self._decode(row)
        self._version = 0
        return None

    def _decode(self, row: Row) -> NodeRecord | None:
        try:
            self._quarantine.restore(self._loop.time(), decode_marks(row.value))
            return decode_record(row.value)
        except MalformedRecord as exc:
            log.warning("record_malformed", key=row.key, error=str(exc))
            return None

    async def run(self) -> None:
        """Write announced records until cancelled, with backoff after errors."""
        backoff_s = BACKOFF_FIRST_S
        while True:
            await self._wake.wait()
            self._wake.clear()
            try:
                await self._write()
                backoff_s = BACKOFF_FIRST_S
            except PlatformError as exc:
                log.info("record_not_written", error=str(exc))
                await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
                self._wake.set()

    async def _write(self) -> None:
        record = self._desired
        if record is None or (record == self._written and not self._marks_pending):
            return
        if self._version is None or self._version_era != self._store.era:
            await self.recover()
        assert self._version is not None
        version, era = self._version, self._version_era
        self._version = None
        marks = self._quarantine.local_marks(self._loop.time(), MAX_STORED_MARKS)
        self._marks_pending = False
        self._marks_written_at = self._loop.time()
        try:
            result = await self._store.transact(
                [ExpectedVersion(*self._row_id, version)],
                [Change(*self._row_id, encode_record(record, marks))],
            )
        except PlatformError as exc:
            self._marks_pending = True
            if isinstance(exc, StoreUncertain):
                self._note_unanswered(era)
            raise
        if result.applied and era != self._store.era:
            self._note_unanswered(era)
        if result.applied and era == self._store.era:
            self._version = result.version
            self._written = record
            self._log_rewrite()
        else:
            self._marks_pending = True
            self._wake.set()

    def _log_rewrite(self) -> None:
        since, self._rewrite_since = self._rewrite_since, None
        if since is None:
            return
        self.rewrites += 1
        took_ms = round((self._loop.time() - since) * 1000)
        log.info("record_written_again", era=self._version_era, took_ms=took_ms)
        unanswered_era = self._unanswered_era
        if unanswered_era is not None and unanswered_era < self._version_era:
            self._unanswered_era = None
            self._loop.call_later(LATE_WRITE_S, self._write_once_more)

    def _note_unanswered(self, era: int) -> None:
        """Note a write that the store may still carry out in a later era.

        The version that it expects may be given out again there, so that it would
        replace a later record.
        """
        if self._unanswered_era is None:
            self._unanswered_era = era

    def _write_once_more(self) -> None:
        """Replace what a late write of an earlier era may have left in the row."""
        self._version = None
        self._written = None
        self._marks_pending = True
        self._wake.set()
