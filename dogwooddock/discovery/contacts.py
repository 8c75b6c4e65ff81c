"""Contact rows: addresses of a few nodes per availability zone, for joining nodes."""

__all__ = ["ContactRows"]

import structlog

from ..errors import PlatformError
from ..settings import parse_address
from ..store.base import TableService, Write

CONTACTS_TABLE = "contacts"
ROWS_PER_ZONE = 3
MAX_ROWS = 200
MAX_LOGGED_CHARS = 120

log = structlog.get_logger()


class ContactRows:
    """Read and write contact rows in the table service.

    Args:
        tables: The platform's table service.
        zone: Availability zone of this node.
    """

    def __init__(self, tables: TableService, zone: str):
        self._tables = tables
        self._zone = zone

    def read(self) -> list[tuple[str, int]]:
        """Return the addresses of all zones; empty if the store is unavailable."""
        try:
            rows = self._tables.scan(CONTACTS_TABLE, "", MAX_ROWS)
        except PlatformError:
            return []
        addresses = []
        for row in rows:
            try:
                addresses.append(_parse_contact(row.value))
            except ValueError as exc:
                cause = str(exc)[:MAX_LOGGED_CHARS]
                log.warning("contact_malformed", key=row.key[:80], error=cause)
        return addresses

    def write(self, rank: int, address: str) -> bool:
        """Write an address to this zone's row of a rank.

        Args:
            rank: Rank of the node in its zone; each rank below ``ROWS_PER_ZONE`` has a
                row.
            address: Address of the node as ``IP:PORT``.

        Returns:
            Whether the row holds the address.
        """
        if rank >= ROWS_PER_ZONE:
            return False
        key = f"{self._zone}/{rank}"
        try:
            row = self._tables.read(CONTACTS_TABLE, [key])[0]
            if row.value == address:
                return True
            results = self._tables.commit(
                CONTACTS_TABLE, [Write(key, row.version, address)]
            )
        except PlatformError:
            return False
        return results[0].applied


def _parse_contact(text: str) -> tuple[str, int]:
    address = parse_address(text)
    if not address[1]:
        raise ValueError("port 0 cannot be connected to")
    return address
