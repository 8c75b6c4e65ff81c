"""Known members, and the node that writes the keys of the zone."""

__all__ = ["MemberDirectory"]

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..policy.configlog import first_ranked
from ..policy.members import Member, MemberState

# Larger zones commit key writes through a batcher.
MAX_DIRECT_WRITERS = 2


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Members by identifier, and the address of the zone's batcher.

    ``batcher`` is None if this node commits key writes itself.
    """

    by_id: Mapping[int, Member] = field(default_factory=dict)
    batcher: tuple[str, int] | None = None


class MemberDirectory:
    """Look up the members that gossip last reported. Threads may share an object.

    Args:
        node_id: Identifier of this node.
        zone: Availability zone of this node.
    """

    def __init__(self, node_id: int, zone: str):
        self._node_id = node_id
        self._zone = zone
        self._snapshot = _Snapshot()

    def replace(self, members: Mapping[int, Member]) -> None:
        """Replace all members."""
        self._snapshot = _Snapshot(members, self._choose_batcher(members))

    def _choose_batcher(self, members: Mapping[int, Member]) -> tuple[str, int] | None:
        zone_members = self._in_zone(members)
        if len(zone_members) <= MAX_DIRECT_WRITERS:
            return None
        chosen = first_ranked(zone_members)
        if chosen == self._node_id:
            return None
        return members[chosen].address

    def _in_zone(self, members: Mapping[int, Member]) -> list[int]:
        return [
            member.node_id
            for member in members.values()
            if member.zone == self._zone and member.state <= MemberState.SUSPECT
        ]

    @property
    def alone(self) -> bool:
        """Report whether no other member is known."""
        return len(self._snapshot.by_id) <= 1

    def find(self, node_id: int) -> Member | None:
        """Return the member with an identifier, or None."""
        return self._snapshot.by_id.get(node_id)

    def all(self) -> list[Member]:
        """Return all known members, including suspected and dead ones."""
        return list(self._snapshot.by_id.values())

    def zone_members(self) -> list[int]:
        """Return the identifiers of the members of this zone that may be alive."""
        return self._in_zone(self._snapshot.by_id)

    def batcher(self) -> tuple[str, int] | None:
        """Return the address of the zone's batcher; None to commit writes directly."""
        return self._snapshot.batcher
