"""Selection of the newest heartbeat of the local target.

Heartbeats may arrive late and out of order, also after the target was replaced or this
process was restarted. Once a drain has been acknowledged, an older message must not
make the target ready again.
"""

__all__ = ["MAX_BORN_MS", "Heartbeat", "LifetimeTracker", "TargetState"]

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import IntEnum

MAX_DEPARTED_TARGETS = 64
# Start of the year 2200. No target starts later; one would displace all others.
MAX_BORN_MS = 7_258_118_400_000


class TargetState(IntEnum):
    """State of a target within one lifetime; it never decreases."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Status message of a target.

    Args:
        target_id: Identifier of the target.
        pool: Pool that it belongs to.
        address: Host and port that it serves requests on.
        slots: Requests that it can run concurrently.
        state: Whether it accepts new requests.
        cold_s: Duration of its warm-up after the start, in seconds.
        sequence: Message number; increases within one lifetime.
        born_ms: Start of the lifetime, in Unix milliseconds.
    """

    target_id: str
    pool: str
    address: tuple[str, int]
    slots: int
    state: TargetState
    cold_s: float
    sequence: int
    born_ms: int

    @property
    def lifetime(self) -> tuple[int, str]:
        """Return the identifier of one run of a target: start time and target."""
        return self.born_ms, self.target_id


@dataclass
class LifetimeTracker:
    """Track the newest lifetime of the local target.

    Args:
        current: Last accepted heartbeat, with the latest state of its lifetime.
    """

    current: Heartbeat | None = None
    _departed_ms: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def observe(self, heartbeat: Heartbeat) -> bool:
        """Process a heartbeat; return whether lifetime, state or slots changed.

        Heartbeats of an older lifetime, or of a target that has left, are ignored.
        Within a lifetime the state never decreases; of a heartbeat whose sequence
        number is not newer, only a later state counts.
        """
        known = self.current
        if heartbeat.born_ms <= self._departed_ms.get(heartbeat.target_id, -1):
            return False
        if known is None or heartbeat.born_ms > known.born_ms:
            self.current = heartbeat
            return True
        if heartbeat.lifetime != known.lifetime:
            if heartbeat.born_ms < known.born_ms or known.state is not TargetState.GONE:
                return False
            self.current = heartbeat
            return True
        state = max(known.state, heartbeat.state)
        if heartbeat.sequence <= known.sequence:
            self.current = replace(known, state=state)
            return state != known.state
        self.current = replace(heartbeat, state=state)
        return (state, heartbeat.slots) != (known.state, known.slots)

    def observe_leaving(self, target_id: str) -> bool:
        """Process an answer that says that a target leaves.

        The result is False for any target but the current one, and if that is known.
        """
        known = self.current
        if known is None or known.target_id != target_id:
            return False
        if known.state is not TargetState.READY:
            return False
        self.current = replace(known, state=TargetState.DRAINING)
        return True

    def observe_leave(self, target_id: str, born_ms: int, sequence: int) -> bool:
        """Process a leave message; return whether the target's state changed.

        The result is False for any target but the current one.

        Args:
            target_id: Identifier of the target.
            born_ms: Start of its lifetime; 0 if the message has none.
            sequence: Message number; 0 if the message has none.
        """
        known = self.current
        if known is None or known.target_id != target_id:
            self._record_departure(target_id, born_ms)
            return False
        if born_ms and born_ms != known.born_ms:
            return False
        self._record_departure(target_id, known.born_ms)
        changed = known.state is not TargetState.GONE
        self.current = replace(
            known,
            state=TargetState.GONE,
            sequence=max(known.sequence, sequence),
        )
        return changed

    def _record_departure(self, target_id: str, born_ms: int) -> None:
        latest_ms = self._departed_ms.get(target_id, 0)
        self._departed_ms[target_id] = max(latest_ms, born_ms)
        self._departed_ms.move_to_end(target_id)
        if len(self._departed_ms) > MAX_DEPARTED_TARGETS:
            self._departed_ms.popitem(last=False)

    def recover(self, heartbeat: Heartbeat) -> None:
        """Merge a heartbeat that was stored before a restart of this process.

        An older lifetime is ignored. Within the current lifetime the later state
        and the higher sequence number are kept.
        """
        known = self.current
        if known is None or heartbeat.born_ms > known.born_ms:
            self.current = heartbeat
        elif heartbeat.lifetime == known.lifetime:
            state = max(known.state, heartbeat.state)
            sequence = max(known.sequence, heartbeat.sequence)
            self.current = replace(known, state=state, sequence=sequence)
