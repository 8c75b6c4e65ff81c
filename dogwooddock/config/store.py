"""Configuration store: an edit log with snapshots in the platform's services.

Table ``config`` holds the row ``head`` and one row per edit. The object store holds a
snapshot of the tables for every ``SNAPSHOT_EVERY``-th version.
"""

__all__ = ["ConfigStore", "Head"]

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import TypeVar

from ..errors import ConfigConflict, MalformedRow, PlatformError, PlatformTimeout
from ..store.base import ObjectStore, Row, TableService, Write
from ..tables import Edit, Tables, changes_between

CONFIG_TABLE = "config"
HEAD_KEY = "head"
SNAPSHOT_EVERY = 32
LOG_PAGE_ROWS = 200
MAX_WRITE_ATTEMPTS = 5
MALFORMED = (ValueError, TypeError, KeyError, AttributeError, RecursionError)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Head:
    """Newest accepted version and the identifier of the edit that created it."""

    version: int
    edit_id: str

    @classmethod
    def loads(cls, text: str) -> "Head":
        """Deserialize a head from JSON.

        Raises:
            ValueError: The version is not a whole number.
        """
        head = cls(**json.loads(text))
        if type(head.version) is not int:
            raise ValueError("the version is not a whole number")
        head.edit_id.encode()
        return head


def _parse(row: Row, loads: Callable[[str], T]) -> T:
    try:
        return loads(row.value)
    except MALFORMED as exc:
        raise MalformedRow(
            f"row {row.key!r} of table {CONFIG_TABLE!r} is malformed; correct it: "
            f"{exc!r:.80}"
        ) from exc


def _log_key(version: int) -> str:
    return f"log/{version:012d}"


def _head_of(row: Row) -> Head:
    return _parse(row, Head.loads) if row.version else Head(0, "")


def _snapshot_name(version: int) -> str:
    return f"config/snapshot/{version}"


class ConfigStore:
    """Read and edit the configuration in the platform's services.

    Args:
        tables: The platform's table service.
        objects: The platform's object store.
    """

    def __init__(self, tables: TableService, objects: ObjectStore):
        self._tables = tables
        self._objects = objects

    def head(self) -> Head:
        """Return the newest accepted version; version 0 if there is none."""
        return _head_of(self._tables.read(CONFIG_TABLE, [HEAD_KEY])[0])

    def edits_after(self, version: int) -> list[Edit]:
        """Return the edits after a version, oldest first."""
        edits: list[Edit] = []
        after = _log_key(version)
        while True:
            rows = self._tables.scan(CONFIG_TABLE, after, LOG_PAGE_ROWS)
            edits.extend(_parse(row, Edit.loads) for row in rows)
            if len(rows) < LOG_PAGE_ROWS:
                return edits
            after = rows[-1].key

    def load(self, head: Head | None = None) -> Tables:
        """Return the tables at the newest version.

        Args:
            head: Head that was already read; by default it is read from the store.
        """
        newest = head or self.head()
        tables = self._load_snapshot(newest.version)
        for edit in self.edits_after(tables.version):
            tables = tables.apply(edit)
        return tables

    def _load_snapshot(self, version: int) -> Tables:
        """Return the newest snapshot up to a version, or empty tables without one."""
        snapshot_version = version - version % SNAPSHOT_EVERY
        if snapshot_version == 0:
            return Tables()
        try:
            data = self._objects.get(_snapshot_name(snapshot_version))
        except PlatformError:
            data = None
        return Tables.loads(data.decode()) if data else Tables()

    def apply(self, desired: Tables, base: int, edit_id: str, author: str) -> Tables:
        """Store tables as the newest version with compare-and-set.

        A write whose result is unknown is retried with the same ``edit_id``, so that
        the edit is applied at most once.

        Args:
            desired: Validated tables; their version is ignored.
            base: Version that the operator edited.
            edit_id: Identifier of this edit, the same on every attempt.
            author: Name of the operator.

        Returns:
            The tables after the edit, or the newest ones if an earlier attempt at the
            edit was already accepted.

        Raises:
            ConfigConflict: Another edit was accepted after ``base``.
            PlatformError: The platform is unavailable or does not respond; apply again
                with the same ``edit_id``.
        """
        failure: PlatformError | None = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                return self._try_apply(desired, base, edit_id, author)
            except PlatformTimeout as exc:
                failure = exc
        assert failure is not None
        raise failure

    def _try_apply(
        self, desired: Tables, base: int, edit_id: str, author: str
    ) -> Tables:
        row = self._tables.read(CONFIG_TABLE, [HEAD_KEY])[0]
        head = _head_of(row)
        if head.version != base:
            return self._resolve_version_mismatch(desired, base, head, edit_id)
        current = self.load(head)
        changes = changes_between(current, desired)
        if not changes:
            return current
        edit = Edit(base + 1, edit_id, author, changes)
        writes = [
            Write(HEAD_KEY, row.version, json.dumps(asdict(Head(base + 1, edit_id)))),
            Write(_log_key(base + 1), 0, edit.dumps()),
        ]
        results = self._tables.commit(CONFIG_TABLE, writes, atomic=True)
        if not results[0].applied:
            return self._resolve_version_mismatch(desired, base, self.head(), edit_id)
        tables = current.apply(edit)
        self._save_snapshot(tables)
        return tables

    def _resolve_version_mismatch(
        self, desired: Tables, base: int, head: Head, edit_id: str
    ) -> Tables:
        """Return the newest tables if this edit was accepted already.

        Raises:
            ConfigConflict: Another edit was accepted after ``base``.
        """
        later = self.edits_after(base)
        if later and later[0].edit_id == edit_id:
            return self.load(head)
        changed = sorted(
            {
                f"{change.table}/{change.name}"
                for edit in later
                for change in edit.changes
            }
        )
        raise ConfigConflict(base, head.version, changed)

    def _save_snapshot(self, tables: Tables) -> None:
        """Store a snapshot if one is due; without it, readers replay the edits."""
        if tables.version % SNAPSHOT_EVERY:
            return
        try:
            self._objects.put(_snapshot_name(tables.version), tables.dumps().encode())
        except PlatformError:
            pass
