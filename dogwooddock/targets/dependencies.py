"""Collaborators of a gate."""

__all__ = ["GateDependencies"]

import time
from collections.abc import Callable
from dataclasses import dataclass

from ..keys.committer import KeyService
from ..policy.admission import AdmissionController
from ..policy.allowance import AllowanceLedger
from ..policy.quarantine import Mark, Quarantine
from ..policy.tickets import TicketRegistry


@dataclass
class GateDependencies:
    """Collaborators of a gate.

    Args:
        admission: Admission control for the slots of the target.
        ledger: Retry allowances of the chains that the target works on.
        tickets: Tickets issued by this node.
        quarantine: Requests that crash targets.
        keys: Access to the key rows, or None if the node has no platform.
        broadcast_mark: Function that sends a quarantine mark to the other nodes.
        catch_up: Function that fetches a configuration version from a peer; takes the
            peer's address and the version.
        config_version: Function that returns the active configuration version.
        clock: Monotonic clock in seconds.
    """

    admission: AdmissionController
    ledger: AllowanceLedger
    tickets: TicketRegistry
    quarantine: Quarantine
    keys: KeyService | None
    broadcast_mark: Callable[[Mark], None]
    catch_up: Callable[[str, int], None]
    config_version: Callable[[], int]
    clock: Callable[[], float] = time.monotonic
