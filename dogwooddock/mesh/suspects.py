"""Serial execution of suspect calls at a gate."""

__all__ = ["SuspectQueue"]

from collections import deque
from collections.abc import Callable

from .gatecalls import GateCall


class SuspectQueue:
    """Let one suspect call at a time proceed, and hold the others in order.

    If the target crashes, at most one suspect request was running.
    """

    def __init__(self) -> None:
        self._active: GateCall | None = None
        self._held: deque[GateCall] = deque()

    def enter(self, gate_call: GateCall) -> bool:
        """Let a call proceed and return True, or hold it and return False."""
        if self._active is None:
            self._active = gate_call
            return True
        self._held.append(gate_call)
        return False

    def leave(self, gate_call: GateCall) -> bool:
        """Remove a call that has ended; return whether a held one can proceed."""
        if self._active is gate_call:
            self._active = None
        elif self._held and gate_call in self._held:
            self._held.remove(gate_call)
        return self._active is None and bool(self._held)

    def next_call(self) -> GateCall | None:
        """Remove and return the first held call if no call proceeds, else None."""
        if self._active is not None or not self._held:
            return None
        return self._held.popleft()

    @property
    def holding(self) -> bool:
        """Report whether any call is held."""
        return bool(self._held)

    def take_if(self, is_ready: Callable[[GateCall], bool]) -> list[GateCall]:
        """Remove and return the held calls that need not wait any longer."""
        ready = [held for held in self._held if is_ready(held)]
        for held in ready:
            self._held.remove(held)
        return ready

    def take_held(self) -> list[GateCall]:
        """Remove and return all held calls."""
        held = list(self._held)
        self._held.clear()
        return held
