"""Weighted fair queueing among the callers of one importance class."""

__all__ = ["FairQueue"]

from dataclasses import dataclass, field

MAX_CALLERS = 1024


@dataclass
class FairQueue:
    """Tag calls so that callers with calls waiting are served by their weights.

    Answers the load of one caller that sends more than the others together. Tags are
    start tags: a caller that has nothing waiting goes before one that has. Only calls
    that enter the queue count, so a caller is not charged for calls that were refused.
    """

    _virtual_time: float = 0.0
    _next_tags: dict[str, float] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of callers with a tag of their own."""
        return len(self._next_tags)

    def next_tag(self, caller: str) -> float:
        """Return the tag of a caller's next call."""
        return max(self._virtual_time, self._next_tags.get(caller, 0.0))

    def enter(self, caller: str, weight: float) -> None:
        """Count a call that enters the queue."""
        tag = self.next_tag(caller) + 1.0 / weight
        if len(self._next_tags) >= MAX_CALLERS:
            self._forget_idle()
        self._next_tags[caller] = tag

    def leave(self, caller: str, weight: float) -> None:
        """Take back the count of a call that leaves the queue without being served."""
        if caller in self._next_tags:
            self._next_tags[caller] -= 1.0 / weight

    def serve(self, tag: float) -> None:
        """Advance to the tag of a call that is served."""
        self._virtual_time = max(self._virtual_time, tag)

    def _forget_idle(self) -> None:
        """Drop callers with no tag ahead of the virtual time; all if each has one."""
        ahead = {
            caller: tag
            for caller, tag in self._next_tags.items()
            if tag > self._virtual_time
        }
        self._next_tags = ahead if len(ahead) < MAX_CALLERS else {}
