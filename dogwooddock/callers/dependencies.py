"""Collaborators of an ingress."""

__all__ = ["Fleet", "IngressDependencies"]

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
    """Calls from an ingress to the gates of the nodes."""

    def call(self, node_id: int, attempt: Attempt, timeout_s: float) -> Reply:
        """Run an attempt at the gate of a node.

        Raises:
            PeerUnreachable: The attempt was not sent.
            PeerError: The attempt was sent and its reply was lost.
        """

    def cancel(self, node_id: int, attempt_id: str) -> bool:
        """Cancel an attempt; return True if it did not run and will not run."""

    def key_status(
        self, holder: int, address: str, attempt_id: str, wait_s: float
    ) -> KeyStatus:
        """Ask the node that holds a key for the status of its attempt."""

    def issue_tickets(self, node_id: int, count: int) -> list[str]:
        """Return up to ``count`` new tickets issued by a node."""

    def cancel_ticket(self, node_id: int, ticket: str) -> str:
        """Cancel a ticket at its issuer and return the state of the ticket."""


@dataclass
class IngressDependencies:
    """Collaborators of an ingress.

    Args:
        tables: Function that returns the active routes and pools.
        fleet: Calls to the gates of the nodes.
        selector: Chooses a target within a pool.
        ledger: Retry allowances of the chains that the local target works on.
        ledger_lock: Lock that guards the ledger.
        levels: Admission levels of gates and routes, as reported in replies.
        budget: Retry budget per caller and pool.
        quarantine: Requests that crash targets.
        keyed: Idempotency keys, or None if the node has no platform.
        rng: Source of randomness.
        source: Peer address of this node, as ``IP:PORT``.
        node_id: Identifier of this node.
        max_in_flight: Maximum number of requests that this ingress serves at once.
        edge_allowance: Retries that a new chain starts with.
        clock: Monotonic clock in seconds.
    """

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
