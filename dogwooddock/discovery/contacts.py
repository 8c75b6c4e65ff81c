"""Contact rows: a few addresses per availability zone for processes that boot."""

__all__ = ["ContactRows"]

from ..errors import PlatformError
from ..store.base import TableService, Write

TABLE = "contacts"
ROWS_PER_ZONE = 3
MAX_ROWS = 200


class ContactRows:
    """Read and refresh contact rows.

    Args:
        tables: The platform's table service.
        zone: Availability zone of this node.
    """

    def __init__(self, tables: TableService, zone: str):
        self._tables = tables
        self._zone = zone

    def read(self) -> list[tuple[str, int]]:
        """Return the contact addresses; none if the store is unavailable."""
        try:
            rows = self._tables.scan(TABLE, "", MAX_ROWS)
        except PlatformError:
            return []
        addresses = []
        for row in rows:
            host, _, port = row.value.rpartition(":")
            if host and port.isdigit():
                addresses.append((host, int(port)))
        return addresses

    def write(self, rank: int, address: str) -> bool:
        """Put an address into the row of a rank; return whether that worked."""
        if rank >= ROWS_PER_ZONE:
            return False
        key = f"{self._zone}/{rank}"
        try:
            row = self._tables.read(TABLE, [key])[0]
            if row.value == address:
                return True
            results = self._tables.commit(TABLE, [Write(key, row.version, address)])
        except PlatformError:
            return False
        return results[0].applied
