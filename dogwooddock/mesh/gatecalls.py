"""What a gate keeps of its calls and of its target."""

__all__ = ["GateCall", "GateTarget", "Stage"]

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ..http1.client import ClientConnection
from ..policy.admission import QueuedCall
from .calls import MeshCall, MeshReply


class Stage(Enum):
    """Where a call stands at the gate."""

    WAITING = 1
    CONNECTING = 2
    RUNNING = 3
    FINISHED = 4


@dataclass(slots=True, eq=False)
class GateCall:
    """A call at the gate."""

    call: MeshCall
    done: Callable[[MeshReply], None]
    queued: QueuedCall
    stage: Stage = Stage.WAITING
    conn: ClientConnection | None = None
    sent_at: float = 0.0
    timer: asyncio.TimerHandle | None = None
    resent: bool = False
    failed_below: bool = False
    below_level: int = 0
    arrived_at: float = 0.0

    @property
    def finished(self) -> bool:
        """Report whether ``done`` was called or will not be."""
        return self.stage is Stage.FINISHED


@dataclass(frozen=True, slots=True)
class GateTarget:
    """The target that the gate serves.

    Args:
        target_id: Identity of the target.
        address: Address of the target.
        slots: Requests that it runs at once.
    """

    target_id: str
    address: tuple[str, int]
    slots: int
