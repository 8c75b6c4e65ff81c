"""Which heartbeat of the local target counts, and what it allows.

Heartbeats may arrive late and out of order, also after the target was replaced or this
process was restarted. A drain that was acknowledged binds: an older message must not
bring the target back.
"""

__all__ = ["Heartbeat", "LifetimeTracker", "TargetState"]

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import IntEnum

MAX_DEPARTED = 64


class TargetState(IntEnum):
    """State of a target within one lifetime; it only moves forward."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a target says of itself.

    Args:
        target_id: Identity of the target.
        pool: Pool that it belongs to.
        address: Address that it serves at.
        slots: Requests that it runs at once.
        state: Whether it takes new work.
        cold_s: Time for which it stays slow after its start, in seconds.
        sequence: Number that grows with each message of one lifetime.
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
        """Return what tells one start of a target from another."""
        return self.born_ms, self.target_id


@dataclass
class LifetimeTracker:
    """Keep the newest lifetime of the local target.

    Args:
        current: Last heartbeat that counted.
    """

    current: Heartbeat | None = None
    _departed: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def observe(self, beat: Heartbeat) -> bool:
        """Take a heartbeat; return whether it changed what is known.

        A message of an older lifetime, or one that is older within its lifetime,
        changes nothing. Within a lifetime the state never moves back.
        """
        held = self.current
        if beat.born_ms <= self._departed.get(beat.target_id, -1):
            return False
        if held is None or beat.born_ms > held.born_ms:
            self.current = beat
            return True
        if beat.lifetime != held.lifetime:
            if beat.born_ms < held.born_ms or held.state is not TargetState.GONE:
                return False
            self.current = beat
            return True
        if beat.sequence <= held.sequence:
            return False
        state = max(held.state, beat.state)
        self.current = replace(beat, state=state)
        return (state, beat.slots) != (held.state, held.slots)

    def leave(self, target_id: str, born_ms: int, sequence: int) -> bool:
        """Note that a target leaves; return whether it is the current one.

        Args:
            target_id: Identity of the target.
            born_ms: Start of its lifetime; 0 if it was not stated.
            sequence: Number of the message; 0 if it was not stated.
        """
        held = self.current
        if held is None or held.target_id != target_id:
            self._note_departed(target_id, born_ms)
            return False
        if born_ms and born_ms != held.born_ms:
            return False
        self._note_departed(target_id, held.born_ms)
        changed = held.state is not TargetState.GONE
        self.current = replace(
            held,
            state=TargetState.GONE,
            sequence=max(held.sequence, sequence),
        )
        return changed

    def _note_departed(self, target_id: str, born_ms: int) -> None:
        known = self._departed.get(target_id, 0)
        self._departed[target_id] = max(known, born_ms)
        self._departed.move_to_end(target_id)
        if len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)

    def recover(self, beat: Heartbeat) -> None:
        """Adopt what was stored before a restart, unless something newer is known."""
        held = self.current
        if held is None or beat.born_ms > held.born_ms:
            self.current = beat
        elif beat.lifetime == held.lifetime:
            state = max(held.state, beat.state)
            sequence = max(held.sequence, beat.sequence)
            self.current = replace(held, state=state, sequence=sequence)
