"""Configuration in the platform's services.

Table ``config`` holds the row ``head`` and one row per edit; the object store holds a
snapshot of the tables every ``SNAPSHOT_EVERY`` versions.
"""

__all__ = ["ConfigStore", "Head"]

import json
from dataclasses import asdict, dataclass

from ..errors import ConfigConflict, PlatformError, PlatformTimeout
from ..store.base import ObjectStore, TableService, Write
from ..tables import Edit, Tables, changes_between

TABLE = "config"
HEAD = "head"
SNAPSHOT_EVERY = 32
LOG_PAGE = 200
WRITE_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class Head:
    """Newest accepted version and the edit that created it."""

    version: int
    edit_id: str


def _log_key(version: int) -> str:
    return f"log/{version:012d}"


def _snapshot_name(version: int) -> str:
    return f"config/snapshot/{version}"


class ConfigStore:
    """Read and edit the configuration.

    Args:
        tables: The platform's table service.
        objects: The platform's object store.
    """

    def __init__(self, tables: TableService, objects: ObjectStore):
        self._tables = tables
        self._objects = objects

    def head(self) -> Head:
        """Return the newest accepted version."""
        row = self._tables.read(TABLE, [HEAD])[0]
        return Head(**json.loads(row.value)) if row.version else Head(0, "")

    def edits_after(self, position: int) -> list[Edit]:
        """Return the edits after a version, in order."""
        edits: list[Edit] = []
        after = _log_key(position)
        while True:
            rows = self._tables.scan(TABLE, after, LOG_PAGE)
            edits.extend(Edit.loads(row.value) for row in rows)
            if len(rows) < LOG_PAGE:
                return edits
            after = rows[-1].key

    def load(self, head: Head | None = None) -> Tables:
        """Return the tables at the newest version."""
        newest = head or self.head()
        tables = self._snapshot_before(newest.version)
        for edit in self.edits_after(tables.version):
            tables = tables.apply(edit)
        return tables

    def _snapshot_before(self, version: int) -> Tables:
        nearest = version - version % SNAPSHOT_EVERY
        if nearest == 0:
            return Tables()
        try:
            data = self._objects.get(_snapshot_name(nearest))
        except PlatformError:
            data = None
        return Tables.loads(data.decode()) if data else Tables()

    def apply(self, wanted: Tables, base: int, edit_id: str, author: str) -> Tables:
        """Make the tables the newest version by compare-and-set.

        Args:
            wanted: Checked tables; their version is ignored.
            base: Version that the operator edited.
            edit_id: Identifier of this edit, the same on every try.
            author: Name of the operator.

        Returns:
            The tables in force after the edit.

        Raises:
            ConfigConflict: Another edit was accepted after ``base``.
            PlatformError: The platform is down or its answers are lost; apply again
                with the same ``edit_id``.
        """
        failure: PlatformError | None = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                return self._try_apply(wanted, base, edit_id, author)
            except PlatformTimeout as exc:
                failure = exc
        assert failure is not None
        raise failure

    def _try_apply(
        self, wanted: Tables, base: int, edit_id: str, author: str
    ) -> Tables:
        row = self._tables.read(TABLE, [HEAD])[0]
        head = Head(**json.loads(row.value)) if row.version else Head(0, "")
        if head.version != base:
            return self._settle(wanted, base, head, edit_id)
        current = self.load(head)
        changes = changes_between(current, wanted)
        if not changes:
            return current
        edit = Edit(base + 1, edit_id, author, changes)
        writes = [
            Write(HEAD, row.version, json.dumps(asdict(Head(base + 1, edit_id)))),
            Write(_log_key(base + 1), 0, edit.dumps()),
        ]
        results = self._tables.commit(TABLE, writes, atomic=True)
        if not results[0].applied:
            return self._settle(wanted, base, self.head(), edit_id)
        tables = current.apply(edit)
        self._save_snapshot(tables)
        return tables

    def _settle(self, wanted: Tables, base: int, head: Head, edit_id: str) -> Tables:
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
        if tables.version % SNAPSHOT_EVERY:
            return
        try:
            self._objects.put(_snapshot_name(tables.version), tables.dumps().encode())
        except PlatformError:
            pass
