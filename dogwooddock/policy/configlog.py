"""A node's replica of the configuration: tables and a log of recent edits.

The version of a replica only increases.
"""

__all__ = ["ConfigReplica", "LogSlice", "first_ranked", "zone_rank"]

import hashlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..tables import Edit, Tables

LOG_CAPACITY = 512
POLLERS_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class LogSlice:
    """Edits or a snapshot that bring a replica to a newer version.

    Args:
        base: Version that the first edit applies to; 0 with a snapshot.
        edits: Serialized edits in version order.
        snapshot: Serialized tables if the log no longer holds the edits, else empty.
        version: Version of the sender's tables; 0 if not stated.
    """

    base: int
    edits: tuple[str, ...]
    snapshot: str
    version: int


@dataclass
class ConfigReplica:
    """Newest configuration seen by this node and the log of its last edits.

    The version never decreases: updates that arrive late or out of order are ignored.

    Args:
        tables: Active tables.
    """

    tables: Tables = field(default_factory=Tables)
    _log: deque[Edit] = field(default_factory=lambda: deque(maxlen=LOG_CAPACITY))

    @property
    def version(self) -> int:
        """Return the version of the active tables."""
        return self.tables.version

    def log_since(self, version: int) -> LogSlice:
        """Return the edits after a version, or a snapshot if the log lacks some.

        Args:
            version: Version that the receiver has; 0 if it has none.
        """
        if version >= self.version:
            return LogSlice(version, (), "", self.version)
        if self._log and self._log[0].version <= version + 1:
            edits = [edit.dumps() for edit in self._log if edit.version > version]
            return LogSlice(version, tuple(edits), "", self.version)
        return LogSlice(0, (), self.tables.dumps(), self.version)

    def apply(self, update: LogSlice) -> bool:
        """Apply a snapshot and edits; return whether the version increased.

        Edits that do not follow directly on the active version are skipped.
        """
        before = self.version
        if update.snapshot:
            self._replace_if_newer(Tables.loads(update.snapshot))
        for text in update.edits:
            self._apply_edit(Edit.loads(text))
        return self.version > before

    def adopt(self, tables: Tables) -> bool:
        """Replace the tables if they are newer; return whether they were."""
        before = self.version
        self._replace_if_newer(tables)
        return self.version > before

    def _replace_if_newer(self, tables: Tables) -> None:
        if tables.version > self.version:
            self.tables = tables
            self._log.clear()

    def _apply_edit(self, edit: Edit) -> None:
        if edit.version != self.version + 1:
            return
        self.tables = self.tables.apply(edit)
        self._log.append(edit)


def _rank_hash(node_id: int) -> bytes:
    return hashlib.blake2b(node_id.to_bytes(8, "big"), digest_size=8).digest()


def zone_rank(node_id: int, zone_members: Iterable[int]) -> int:
    """Return the position of a node among its availability zone's members.

    Members are ordered by a hash of their identifiers, so every node computes the
    same order without agreement. Nodes below ``POLLERS_PER_ZONE`` poll the store.

    Args:
        node_id: Node to rank.
        zone_members: Identifiers of the zone's live members.
    """
    own = _rank_hash(node_id)
    return sum(1 for member_id in zone_members if _rank_hash(member_id) < own)


def first_ranked(zone_members: Iterable[int]) -> int:
    """Return the member of an availability zone whose ``zone_rank`` is 0.

    Raises:
        ValueError: There are no members.
    """
    return min(zone_members, key=_rank_hash)
