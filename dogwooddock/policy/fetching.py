"""Which announced versions a node asks for, whom it asks, and whom it asks next.

Load: a new version is announced by many peers at the same time, and the peer that is
asked may die, or name a peer that does not answer.
"""

__all__ = ["Announcement", "Fetcher", "Versions"]

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

MAX_ANNOUNCEMENTS = 4

Peer = TypeVar("Peer")


@dataclass(frozen=True, slots=True)
class Versions:
    """Versions of the state that nodes share.

    Args:
        config: Version of the configuration.
        members: Position of the store up to which node records are known.
    """

    config: int
    members: int

    def lacks(self, other: "Versions") -> bool:
        """Report whether others are newer in any part."""
        return self.config < other.config or self.members < other.members


@dataclass(frozen=True, slots=True)
class Announcement(Generic[Peer]):
    """Versions that a peer has."""

    peer: Peer
    versions: Versions


class Fetcher(Generic[Peer]):
    """Ask one announcing peer at a time, and another one if the answer is missing.

    Args:
        is_up: Whether a peer can be asked.
    """

    def __init__(self, is_up: Callable[[Peer], bool]):
        self._is_up = is_up
        self._asked: Announcement[Peer] | None = None
        self._is_redirected = False
        self._others: deque[Announcement[Peer]] = deque(maxlen=MAX_ANNOUNCEMENTS)

    @property
    def wanted(self) -> Versions:
        """Return the versions that are asked for; 0 if there are none."""
        return self._asked.versions if self._asked is not None else Versions(0, 0)

    def hear(self, heard: Announcement[Peer], own: Versions) -> bool:
        """Take an announcement; return whether to ask this peer now.

        It is asked unless an answer is awaited, or if its configuration is newer than
        the one in that answer.

        Args:
            heard: What a peer has.
            own: Versions of this node.
        """
        if not own.lacks(heard.versions):
            return False
        asked = self._asked
        if asked is not None and self._is_up(asked.peer):
            known = max(own.config, asked.versions.config)
            if heard.versions.config <= known:
                self._others.append(heard)
                return False
        self._ask(heard)
        return True

    def _ask(self, announced: Announcement[Peer]) -> None:
        self._asked = announced
        self._is_redirected = False

    def redirect(self) -> Peer | None:
        """Note that the asked peer named another one, which is asked instead.

        Returns:
            The peer that was asked; None if no answer is awaited.
        """
        self._is_redirected = True
        return self._asked.peer if self._asked is not None else None

    def settle(self, own: Versions) -> Peer | None:
        """Note that an answer was applied; return the peer to ask next, or None.

        Args:
            own: Versions of this node.
        """
        asked, self._asked = self._asked, None
        if asked is not None:
            self._others.appendleft(asked)
        return self._ask_next(own)

    def retry(self, own: Versions) -> Peer | None:
        """Note that no answer came in time; return the peer to ask next, or None.

        That is another one that announced what is missing; the same one if it named a
        peer, so that it is known to live.

        Args:
            own: Versions of this node.
        """
        asked, self._asked = self._asked, None
        if asked is not None and self._is_redirected:
            self._others.append(asked)
        return self._ask_next(own)

    def _ask_next(self, own: Versions) -> Peer | None:
        while self._others:
            announced = self._others.pop()
            if own.lacks(announced.versions) and self._is_up(announced.peer):
                self._ask(announced)
                return announced.peer
        return None
