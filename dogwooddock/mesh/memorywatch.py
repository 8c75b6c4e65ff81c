"""Log lines about the budget of memory for bodies."""

__all__ = ["MemoryWatch"]

import structlog

from ..policy.heldbytes import Held, HeldBytes

log = structlog.get_logger()


class MemoryWatch:
    """Log when requests begin to wait for memory, and when none waits any more.

    Args:
        memory: Budget to watch.
    """

    def __init__(self, memory: HeldBytes):
        self._memory = memory
        self._is_short = False
        self._waits = 0
        self._waits_before = 0
        self._refusals_before = 0

    def check(self) -> None:
        """Log a change since the last check; to be called at intervals."""
        memory = self._memory
        waits, refusals = memory.waits.total(), memory.refusals.total()
        is_short = memory.waiting > 0 or waits > self._waits
        if is_short and not self._is_short:
            held = {kind.name.lower(): memory.held_bytes(kind) for kind in Held}
            limit = memory.limit_bytes
            log.warning("memory_short", limit=limit, waiting=memory.waiting, **held)
        elif self._is_short and not is_short:
            log.info(
                "memory_enough",
                waited=waits - self._waits_before,
                given_up=refusals - self._refusals_before,
            )
        if not is_short:
            self._waits_before, self._refusals_before = waits, refusals
        self._waits, self._is_short = waits, is_short
