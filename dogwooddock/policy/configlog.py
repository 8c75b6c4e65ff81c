"""Configuration held by a node: tables, recent change log, forward-only versions."""

__all__ = ["ConfigReplica", "LogSlice", "first_ranked", "poller_rank"]

import hashlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..tables import Edit, Tables

LOG_CAPACITY = 512
POLLERS_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class LogSlice:
    """What brings a replica forward.

    Args:
        base: Version that the first edit applies to.
        edits: Serialized edits in order.
        snapshot: Serialized tables, if the position is older than the log.
        version: Version after everything is applied.
    """

    base: int
    edits: tuple[str, ...]
    snapshot: str
    version: int


@dataclass
class ConfigReplica:
    """Hold the newest configuration seen and serve its change log.

    A replica only moves to higher versions, whatever arrives late.
    """

    tables: Tables = field(default_factory=Tables)
    _log: deque[Edit] = field(default_factory=lambda: deque(maxlen=LOG_CAPACITY))

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.tables.version

    def log_since(self, position: int) -> LogSlice:
        """Return the edits after a position, or a snapshot if they are gone."""
        if position >= self.version:
            return LogSlice(position, (), "", self.version)
        if self._log and self._log[0].version <= position + 1:
            edits = [edit.dumps() for edit in self._log if edit.version > position]
            return LogSlice(position, tuple(edits), "", self.version)
        return LogSlice(0, (), self.tables.dumps(), self.version)

    def apply(self, part: LogSlice) -> bool:
        """Move forward by a slice; return whether the version changed."""
        before = self.version
        if part.snapshot:
            self._adopt(Tables.loads(part.snapshot))
        for text in part.edits:
            self._apply_edit(Edit.loads(text))
        return self.version > before

    def adopt(self, tables: Tables) -> bool:
        """Move to newer tables; return whether the version changed."""
        before = self.version
        self._adopt(tables)
        return self.version > before

    def _adopt(self, tables: Tables) -> None:
        if tables.version > self.version:
            self.tables = tables
            self._log.clear()

    def _apply_edit(self, edit: Edit) -> None:
        if edit.version != self.version + 1:
            return
        self.tables = self.tables.apply(edit)
        self._log.append(edit)


def _weight(node_id: int) -> bytes:
    return hashlib.blake2b(node_id.to_bytes(8, "big"), digest_size=8).digest()


def poller_rank(node_id: int, zone_members: Iterable[int]) -> int:
    """Return the position of a node in its availability zone's order."""
    own = _weight(node_id)
    return sum(1 for item in zone_members if _weight(item) < own)


def first_ranked(zone_members: Iterable[int]) -> int:
    """Return the node that comes first in its availability zone's order."""
    return min(zone_members, key=_weight)
