"""Serial execution of suspect calls at one target."""

__all__ = ["SuspectQueue"]

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

CallT = TypeVar("CallT")


class SuspectQueue(Generic[CallT]):
    """Let one suspect call at a time proceed, and hold the others in order.

    If the target crashes, at most one suspect request was running.
    """

    def __init__(self) -> None:
        self._active: CallT | None = None
        self._held: deque[CallT] = deque()

    def enter(self, call: CallT) -> bool:
        """Let a call proceed and return True, or hold it and return False."""
        if self._active is None:
            self._active = call
            return True
        self._held.append(call)
        return False

    def leave(self, call: CallT) -> bool:
        """Remove a call that has ended; return whether a held one can proceed."""
        if self._active is call:
            self._active = None
        elif self._held and call in self._held:
            self._held.remove(call)
        return self._active is None and bool(self._held)

    def next_call(self) -> CallT | None:
        """Remove and return the first held call if no call proceeds, else None.

        The caller judges it again: the run before may have quarantined it.
        """
        if self._active is not None or not self._held:
            return None
        return self._held.popleft()

    @property
    def holding(self) -> bool:
        """Report whether any call is held."""
        return bool(self._held)

    def take_if(self, is_ready: Callable[[CallT], bool]) -> list[CallT]:
        """Remove and return the held calls that need not wait any longer."""
        ready = [held for held in self._held if is_ready(held)]
        for held in ready:
            self._held.remove(held)
        return ready

    def take_held(self) -> list[CallT]:
        """Remove and return all held calls."""
        held = list(self._held)
        self._held.clear()
        return held
