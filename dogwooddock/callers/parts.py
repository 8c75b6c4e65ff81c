"""What an ingress works with."""

__all__ = ["Fleet", "IngressParts"]

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from ..peers.wire.ttypes import Attempt, KeyStatus, Reply
from ..policy.allowance import EDGE_ALLOWANCE, AllowanceLedger
from ..policy.levels import LevelTable
from ..policy.quarantine import Quarantine
from ..policy.retries import RetryBudget
from ..policy.selection import Selector
from ..tables import Tables
from .keyed import KeyedRequests


class Fleet(Protocol):
    """How an ingress reaches gates."""

    def call(self, node_id: int, attempt: Attempt, timeout_s: float) -> Reply:
        """Run an attempt at the gate of a node."""

    def cancel(self, node_id: int, attempt_id: str) -> bool:
        """Cancel an attempt; return True if it never ran and never will."""

    def key_status(
        self, holder: int, address: str, attempt_id: str, wait_s: float
    ) -> KeyStatus:
        """Ask the holder of a key about its attempt."""

    def issue_tickets(self, node_id: int, count: int) -> list[str]:
        """Return new tickets of a node."""

    def cancel_ticket(self, node_id: int, ticket: str) -> str:
        """Cancel a ticket and return its state."""


@dataclass
class IngressParts:
    """What an ingress works with."""

    tables: Callable[[], Tables]
    fleet: Fleet
    selector: Selector
    ledger: AllowanceLedger
    ledger_lock: threading.Lock
    levels: LevelTable
    budget: RetryBudget
    quarantine: Quarantine
    keyed: KeyedRequests | None
    rng: Random
    source: str
    node_id: int
    max_in_flight: int
    edge_allowance: int = EDGE_ALLOWANCE
    clock: Callable[[], float] = time.monotonic
