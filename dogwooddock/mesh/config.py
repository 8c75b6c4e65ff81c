"""The active configuration of this node; its version never decreases."""

__all__ = ["ConfigHolder"]

from collections.abc import Callable

import structlog

from ..errors import DogwooddockError
from .routing import DesiredState, RouteTable

log = structlog.get_logger()


class ConfigHolder:
    """Hold the newest valid configuration that this process has received.

    Args:
        decode: Parses a document; raises DogwooddockError if it is invalid.
        on_change: Called after a newer version became active.
    """

    def __init__(
        self,
        decode: Callable[[bytes], DesiredState],
        on_change: Callable[[DesiredState], None],
    ):
        self._decode = decode
        self._on_change = on_change
        self.table: RouteTable | None = None

    @property
    def version(self) -> int:
        """Return the active version; 0 if there is none."""
        return self.table.state.version if self.table is not None else 0

    @property
    def document(self) -> bytes:
        """Return the active document; empty if there is none."""
        return self.table.state.document if self.table is not None else b""

    def apply_if_newer(self, document: bytes, source: str) -> bool:
        """Activate a document if it is valid and newer; return whether it was.

        Args:
            document: The encoded configuration.
            source: Where it came from ("store" or "peer"), for the log.
        """
        try:
            state = self._decode(document)
        except DogwooddockError as exc:
            log.error("config_refused", source=source, error=str(exc))
            return False
        if self.table is not None and state.version <= self.version:
            return False
        previous = self.version
        self.table = RouteTable(state, self.table)
        log.info(
            "config_in_force",
            version=state.version,
            previous=previous,
            source=source,
            routes=len(state.routes),
        )
        self._on_change(state)
        return True
