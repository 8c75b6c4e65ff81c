"""State that a gate keeps for each call and for its target."""

__all__ = ["GateCall", "GateTarget", "Stage"]

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ..http1.client import ClientConnection
from ..policy.admission import QueuedCall
from ..policy.outcomes import Outcome, Reason
from ..policy.unanswered import TargetLifetime
from .calls import MeshCall, MeshReply


class Stage(Enum):
    """Stage of a call at the gate.

    Calls that connect or run hold one of the target's slots.
    """

    WAITING = 1
    CONNECTING = 2
    RUNNING = 3
    FINISHED = 4


@dataclass(slots=True, eq=False)
class GateCall:
    """A call at the gate, from its arrival until its reply.

    Args:
        call: The call.
        done: Called once with the reply unless the call is cancelled.
        queued: Entry of the call in the admission queue.
        stage: Stage of the call.
        conn: Connection that the call runs on, or None.
        sent_at: Loop time when it was sent to the target, in seconds; 0 if never, or if
            the target had closed the connection.
        timer: Timer that ends the call after its deadline.
        downstream_failed: Whether a downstream call of this run failed.
        below_level: Highest admission level reported for its downstream calls, in
            hundredths of an importance class.
        target_lifetime: Target that it was sent to; None if it was never sent.
    """

    call: MeshCall
    done: Callable[[MeshReply], None]
    queued: QueuedCall
    stage: Stage = Stage.WAITING
    conn: ClientConnection | None = None
    sent_at: float = 0.0
    timer: asyncio.TimerHandle | None = None
    downstream_failed: bool = False
    below_level: int = 0
    target_lifetime: TargetLifetime | None = None

    @property
    def finished(self) -> bool:
        """Report whether ``done`` was called or the call was cancelled."""
        return self.stage is Stage.FINISHED

    def refusal(self, reason: Reason) -> MeshReply:
        """Return the reply to a call that is not sent."""
        return MeshReply(Outcome.NOT_RUN, reason)


@dataclass(frozen=True, slots=True)
class GateTarget:
    """The target that the gate serves.

    Args:
        target_id: Identifier of the target.
        address: Address of the target.
        slots: Requests that the target runs at once.
        born_ms: Start of the target's lifetime, in Unix milliseconds.
    """

    target_id: str
    address: tuple[str, int]
    slots: int
    born_ms: int = 0

    @property
    def lifetime(self) -> tuple[int, str]:
        """Return the identifier of one run of a target: start time and target."""
        return self.born_ms, self.target_id
