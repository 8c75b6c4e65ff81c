"""Announcement, serving and removal of the local target."""

__all__ = ["LocalTarget"]

import time
from collections.abc import Callable
from typing import Any

import structlog
from pydantic import BaseModel, ConfigDict, ValidationError, field_validator

from ..settings import parse_address
from ..tables import Pool, Tables
from .client import HttpTarget
from .gate import Gate

POLL_PERIOD_S = 0.01

log = structlog.get_logger()


class _Announcement(BaseModel):
    """Schema of what the local target announces: its pool and its address."""

    model_config = ConfigDict(frozen=True)

    pool: str
    address: str

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        parse_address(value)
        return value


class LocalTarget:
    """Serve the target that announces itself on the local port.

    Args:
        gate: Gate of this node.
        tables: Function that returns the active routes and pools.
        set_pool: Function that tells the other nodes the pool; empty for none.
        max_body_bytes: Largest accepted answer body.
        drain_timeout_s: Longest time that requests in flight have to finish.
    """

    def __init__(
        self,
        gate: Gate,
        tables: Callable[[], Tables],
        set_pool: Callable[[str], None],
        max_body_bytes: int,
        drain_timeout_s: float,
    ):
        self._gate = gate
        self._tables = tables
        self._set_pool = set_pool
        self._max_body_bytes = max_body_bytes
        self._drain_timeout_s = drain_timeout_s
        self._announcement: _Announcement | None = None

    @property
    def pool_name(self) -> str:
        """Return the announced pool, or an empty string."""
        announcement = self._announcement
        return announcement.pool if announcement else ""

    def control(self, method: str, document: Any) -> int:
        """Announce or remove the target; return the HTTP status."""
        if method == "PUT":
            return self._announce(document)
        if method == "DELETE":
            self._remove()
            return 204
        return 405

    def _announce(self, document: Any) -> int:
        """Serve the announced target; return the HTTP status.

        If the configuration lacks the pool, the status is 202, and the target is
        served once the pool is configured.
        """
        try:
            announcement = _Announcement.model_validate(document)
        except ValidationError:
            return 400
        if announcement == self._announcement and self._gate.target is not None:
            return 200
        self._announcement = announcement
        pool = self._tables().pool(announcement.pool)
        if pool is None:
            return 202
        self._serve(pool, announcement)
        return 200

    def follow(self, tables: Tables) -> None:
        """Serve the target or update its limits after a change of configuration."""
        announcement = self._announcement
        if announcement is None:
            return
        pool = tables.pool(announcement.pool)
        if pool is not None and self._gate.target is None:
            self._serve(pool, announcement)
        elif pool is not None:
            self._gate.update_pool(pool)

    def _serve(self, pool: Pool, announcement: _Announcement) -> None:
        target = HttpTarget(parse_address(announcement.address), self._max_body_bytes)
        self._gate.serve(pool, target)
        self._gate.deps.tickets.pool = pool.name
        self._set_pool(pool.name)
        log.info("target_announced", pool=pool.name, target=announcement.address)

    def _remove(self) -> None:
        self._gate.drain()
        self._set_pool("")
        deadline = time.monotonic() + self._drain_timeout_s
        while self._gate.deps.admission.in_flight and time.monotonic() < deadline:
            time.sleep(POLL_PERIOD_S)
        self._announcement = None
        self._gate.remove_target()
        log.info("target_left")
