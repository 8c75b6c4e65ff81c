"""Which of the nodes that ask for the same large answer get it from each other.

A new configuration or the table of all records is asked for by many nodes at the same
time, and few nodes have it first. Without a bound these would send it to all others.
"""

__all__ = ["AnswerTree"]

from collections import deque

# Copies that one node sends, to those that ask it and to those it is named to.
FANOUT = 2
# Askers within this time form one tree.
WINDOW_S = 1.0

Address = tuple[str, int]


class AnswerTree:
    """Arrange askers in the order in which they ask as a tree of bounded fan-out.

    The first ``FANOUT`` askers get the answer from this node, each later one is told of
    the earliest asker that has not been named ``FANOUT`` times. An asker that asks
    again got no answer from the node it was told of, and gets it from this one.
    """

    def __init__(self) -> None:
        self._content = -1
        self._began_at = 0.0
        self._sources: deque[Address | None] = deque()
        self._askers: set[Address] = set()

    def source_for(
        self, asker: Address | None, content: int, now: float
    ) -> Address | None:
        """Return the node that an asker has to ask; None for this node.

        Args:
            asker: Address of the asker; None if it is not known, so that it cannot be
                named to others.
            content: Version of the answer; later versions begin a new tree.
            now: Current time, in seconds.
        """
        if content > self._content or now - self._began_at > WINDOW_S:
            self._begin(content, now)
        if asker in self._askers:
            return None
        source = self._sources.popleft() if self._sources else None
        if asker is not None:
            self._askers.add(asker)
            self._sources.extend([asker] * FANOUT)
        return source

    def _begin(self, content: int, now: float) -> None:
        self._content = content
        self._began_at = now
        self._askers.clear()
        self._sources = deque([None] * FANOUT)
