"""Connections from the gate to its target, and detection of an unreachable target."""

__all__ = ["TargetConnections"]

import asyncio
from collections.abc import Callable

import structlog

from ..http1.client import ClientConnection, ConnectionPool, ResponseMemory
from ..policy.heldbytes import HeldBytes

MAX_IDLE_IDEMPOTENT_S = 4.0
MAX_IDLE_NON_IDEMPOTENT_S = 0.2
# After the target closed an idle connection under a request, the time for which all
# requests reuse only connections that were idle for a short time.
IDLE_CLOSE_MEMORY_S = 10.0
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 1.0
# Of all answers that are being received; a whole answer is copied a few times.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024

log = structlog.get_logger()


class TargetConnections:
    """Reuse connections to the target and track whether it can be reached.

    A target may drop an idle connection and reset it when the next request arrives.
    The outcome of that request is then unknown: a non-idempotent one therefore reuses
    only connections that were idle for a short time, and so do all others for a while
    after such a reset, since each costs a retry.

    Args:
        budget: Budget of memory for large answers; None for no limit.
    """

    def __init__(self, budget: HeldBytes | None = None) -> None:
        self._loop = asyncio.get_running_loop()
        self.on_target_ended: Callable[[], None] = lambda: None
        self._pool: ConnectionPool | None = None
        self._memory = ResponseMemory(MAX_RESPONSE_BYTES)
        self._budget = budget
        self._down_until = 0.0
        self._backoff_s = BACKOFF_FIRST_S
        self._idle_closed_at = float("-inf")
        self.opened = 0

    @property
    def target_down(self) -> bool:
        """Report whether the backoff after a failed connect has not ended yet."""
        return self._loop.time() < self._down_until

    def set_target(self, address: tuple[str, int]) -> None:
        """Close idle connections and connect to a new target from now on."""
        self.close()
        self._pool = ConnectionPool(address, self._memory, self._budget)
        self._down_until = 0.0

    @property
    def pool(self) -> ConnectionPool:
        """Return the connection pool of the target; ``set_target`` must come first."""
        assert self._pool is not None
        return self._pool

    def acquire_idle(self, idempotent: bool) -> ClientConnection | None:
        """Return an idle connection that is recent enough for a call, or None."""
        long_idle = idempotent and not self._closes_idle
        return self.pool.acquire_idle(
            MAX_IDLE_IDEMPOTENT_S if long_idle else MAX_IDLE_NON_IDEMPOTENT_S
        )

    @property
    def _closes_idle(self) -> bool:
        """Report whether the target closed an idle connection a short time ago."""
        return self._loop.time() - self._idle_closed_at < IDLE_CLOSE_MEMORY_S

    def record_idle_close(self) -> None:
        """Record that the target closed a reused connection under a request."""
        self._idle_closed_at = self._loop.time()

    async def open(self, pool: ConnectionPool) -> ClientConnection:
        """Open a connection; a failure starts a backoff that doubles up to a maximum.

        Raises:
            OSError: The target cannot be reached.
        """
        self.opened += 1
        try:
            conn = await pool.open()
        except OSError as exc:
            self._record_unreachable(exc)
            raise
        self._backoff_s = BACKOFF_FIRST_S
        return conn

    def _record_unreachable(self, exc: OSError) -> None:
        if not self.target_down:
            log.warning("target_unreachable", error=repr(exc))
            self._down_until = self._loop.time() + self._backoff_s
            self._backoff_s = min(BACKOFF_MAX_S, self._backoff_s * 2)
        # A live target may reset a connection or leave it waiting under load.
        if not isinstance(exc, ConnectionResetError | TimeoutError):
            self.on_target_ended()

    def close_stale(self) -> None:
        """Close idle connections that the target may be about to close."""
        if self._pool is not None:
            self._pool.close_stale()

    def close(self) -> None:
        """Close idle connections."""
        if self._pool is not None:
            self._pool.close()
