"""The way from the gate to its target: connections, and whether it is down."""

__all__ = ["TargetReach"]

import asyncio
from collections.abc import Callable

import structlog

from ..http1.client import ClientConnection, ConnectionPool

REUSE_IDLE_S = 4.0
REUSE_IDLE_UNREPEATABLE_S = 0.2
DOWN_RETRY_FIRST_S = 0.1
DOWN_RETRY_MAX_S = 1.0
MAX_SUSPECTS = 100

log = structlog.get_logger()


class TargetReach:
    """Connect to the target and note when it cannot be reached.

    A target may forget a connection that rests, and resets what is sent next. What
    must not run twice is lost then, so it gets a connection that has hardly rested.

    Args:
        on_target_lost: Called with the fingerprints of the calls that a crash of the
            target took along.
    """

    def __init__(self, on_target_lost: Callable[[list[str]], None]):
        self._loop = asyncio.get_running_loop()
        self._on_target_lost = on_target_lost
        self._pool: ConnectionPool | None = None
        self._down_until = 0.0
        self._down_s = DOWN_RETRY_FIRST_S
        self._suspects: list[str] = []
        self.opened = 0

    @property
    def down(self) -> bool:
        """Report whether the target could not be reached a moment ago."""
        return self._loop.time() < self._down_until

    def point_at(self, address: tuple[str, int]) -> None:
        """Use connections to a new target from now on."""
        self.close()
        self._pool = ConnectionPool(address)
        self._down_until = 0.0

    @property
    def pool(self) -> ConnectionPool:
        """Return the connections to the target."""
        assert self._pool is not None
        return self._pool

    def take(self, idempotent: bool) -> ClientConnection | None:
        """Return an idle connection that a call may be sent on, or None."""
        return self.pool.acquire_idle(
            REUSE_IDLE_S if idempotent else REUSE_IDLE_UNREPEATABLE_S
        )

    async def open(self, pool: ConnectionPool) -> ClientConnection:
        """Open a new connection.

        Raises:
            OSError: The target cannot be reached.
        """
        self.opened += 1
        try:
            conn = await pool.open()
        except OSError as exc:
            self._note_unreachable(exc)
            raise
        self._down_s = DOWN_RETRY_FIRST_S
        return conn

    def _note_unreachable(self, exc: OSError) -> None:
        if not self.down:
            log.warning("target_unreachable", error=repr(exc))
            self._down_until = self._loop.time() + self._down_s
            self._down_s = min(DOWN_RETRY_MAX_S, self._down_s * 2)
        if isinstance(exc, ConnectionRefusedError) and self._suspects:
            suspects, self._suspects = self._suspects, []
            self._on_target_lost(suspects)

    def suspect(self, fingerprint: str) -> None:
        """Note a call whose connection the target reset; it may have crashed."""
        self._suspects.append(fingerprint)
        del self._suspects[:-MAX_SUSPECTS]

    def trim(self) -> None:
        """Close connections that the target may be about to close."""
        if self._pool is not None:
            self._pool.close_stale()

    def close(self) -> None:
        """Close idle connections."""
        if self._pool is not None:
            self._pool.close()
