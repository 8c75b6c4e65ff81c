"""Write this node's record to the store, also through outages and lost answers."""

__all__ = ["Announcer"]

import asyncio
from random import Random

import structlog

from ..errors import PlatformError
from .calls import NodeRecord
from .recordrows import (
    MEMBERS_TABLE,
    MalformedRecord,
    decode_record,
    encode_record,
    record_key,
)
from .rows import Change, ExpectedVersion, Row, RowStore

BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 1.0

log = structlog.get_logger()


class Announcer:
    """Keep the row of this node at the newest record.

    Each write names the version that it replaces, so that one which the store
    performs late cannot undo a newer one.

    Args:
        store: The store.
        zone: Availability zone, which is the part that the row lies in.
        address: Peer address of this node, which is its key.
        rng: Source of jitter.
    """

    def __init__(
        self, store: RowStore, zone: str, address: tuple[str, int], rng: Random
    ):
        self._store = store
        self._place = (MEMBERS_TABLE, zone, record_key(address))
        self._rng = rng
        self._wanted: NodeRecord | None = None
        self._written: NodeRecord | None = None
        self._version: int | None = None
        self._wake = asyncio.Event()

    @property
    def settled(self) -> bool:
        """Report whether the store holds the newest record."""
        return self._written == self._wanted

    def announce(self, record: NodeRecord) -> None:
        """Ask for a record to be written."""
        if record != self._wanted:
            self._wanted = record
            self._wake.set()

    async def recover(self) -> NodeRecord | None:
        """Read the record that an earlier process of this node wrote.

        Raises:
            PlatformError: The store cannot be read.
        """
        table, part, key = self._place
        page = await self._store.read(table, part)
        for row in page.rows:
            if row.key == key:
                self._version = row.version
                return self._decode(row)
        self._version = 0
        return None

    def _decode(self, row: Row) -> NodeRecord | None:
        try:
            return decode_record(row.value)
        except MalformedRecord as exc:
            log.warning("record_malformed", key=row.key, error=str(exc))
            return None

    async def run(self) -> None:
        """Write until cancelled."""
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
        record = self._wanted
        if record is None or record == self._written:
            return
        if self._version is None:
            await self.recover()
        assert self._version is not None
        version = self._version
        self._version = None
        result = await self._store.transact(
            [ExpectedVersion(*self._place, version)],
            [Change(*self._place, encode_record(record))],
        )
        if result.applied:
            self._version = result.version
            self._written = record
        else:
            self._wake.set()
