"""Whether a node hears from its fleet, judged by a few peers.

Answers the cut of a node, which must stop granting quotas before its links end, at a
cost that does not grow with the fleet.
"""

__all__ = ["MAX_WITNESSES", "InTouch"]

import math
from collections.abc import Callable, Collection
from random import Random

# A node is in touch while it heard from a few peers within this time; it probes some
# before that time is over.
IN_TOUCH_S = 1.25
PROBE_AFTER_S = 0.5
PROBE_ALL_AFTER_S = 0.8
MIN_PEERS_HEARD = 3
MAX_WITNESSES = 8

Address = tuple[str, int]


class InTouch:
    """Follow the silence of a few peers, the witnesses.

    Args:
        rng: Source of the choice of witnesses.

    ``silence_s`` is the time since the node was last in touch as far as its witnesses
    tell, in seconds.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._peers: list[Address] = []
        self._witnesses: list[Address] = []
        self._needed = 0
        self.silence_s = 0.0

    @property
    def in_touch(self) -> bool:
        """Report whether enough peers were heard from recently."""
        return self.silence_s <= IN_TOUCH_S

    def follow(self, peers: Collection[Address], nodes: int) -> None:
        """Follow a change of the fleet.

        Args:
            peers: Other nodes with a working link.
            nodes: Nodes of the fleet, this one included.
        """
        self._peers = sorted(peers)
        # In a small fleet, this node and these peers are just a majority.
        self._needed = min(MIN_PEERS_HEARD, nodes // 2)
        kept = set(peers)
        self._witnesses = [item for item in self._witnesses if item in kept]
        self._fill_witnesses()

    def check(self, silence_of: Callable[[Address], float]) -> list[Address]:
        """Measure the silence of the witnesses and return the peers to probe.

        Args:
            silence_of: Returns the time since a peer was heard from, in seconds.
        """
        if not self._needed:
            self.silence_s = 0.0
            return []
        self._measure(silence_of)
        if self.silence_s <= PROBE_AFTER_S:
            return []
        del self._witnesses[self._needed :]
        self._fill_witnesses()
        self._measure(silence_of)
        if self.silence_s <= PROBE_AFTER_S:
            return []
        if self.silence_s <= PROBE_ALL_AFTER_S:
            return self._witnesses[: self._needed]
        return list(self._witnesses)

    def _measure(self, silence_of: Callable[[Address], float]) -> None:
        """Order the witnesses by their silence and note that of the last one needed."""
        silences = {item: silence_of(item) for item in self._witnesses}
        self._witnesses.sort(key=silences.__getitem__)
        self.silence_s = math.inf
        if len(self._witnesses) >= self._needed:
            self.silence_s = silences[self._witnesses[self._needed - 1]]

    def _fill_witnesses(self) -> None:
        """Fill the witnesses up with other peers."""
        count = min(MAX_WITNESSES, len(self._peers))
        for item in self._rng.sample(self._peers, count):
            if len(self._witnesses) < count and item not in self._witnesses:
                self._witnesses.append(item)
