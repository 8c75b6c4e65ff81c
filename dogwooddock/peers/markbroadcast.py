"""Quarantine marks: sent to all nodes and received from them."""

__all__ = ["MarkBroadcast"]

import time

import structlog

from ..errors import PeerError
from ..policy.members import Member, MemberState
from ..policy.quarantine import Mark, Quarantine
from .client import PeerConnections
from .codec import to_wire_mark
from .directory import MemberDirectory
from .gossip import Gossip

# Time for the calls that confirm a mark at the gates of the pool.
CONFIRM_TIMEOUT_S = 0.5

log = structlog.get_logger()


class MarkBroadcast:
    """Exchange quarantine marks with the other nodes.

    Args:
        node_id: Identifier of this node.
        quarantine: Requests that crash targets.
        members: Known members.
        connections: Connections to peers.
        gossip: Gossip of this node.
    """

    def __init__(
        self,
        node_id: int,
        quarantine: Quarantine,
        members: MemberDirectory,
        connections: PeerConnections,
        gossip: Gossip,
    ):
        self._node_id = node_id
        self._quarantine = quarantine
        self._members = members
        self._connections = connections
        self._gossip = gossip

    def broadcast(self, mark: Mark) -> None:
        """Gossip a mark to all nodes, and call each gate of the pool to confirm it.

        Failed calls are logged. After ``CONFIRM_TIMEOUT_S`` in total, the timeout is
        logged, and the remaining gates receive the mark through gossip only.
        """
        self._gossip.add_mark(mark)
        deadline = time.monotonic() + CONFIRM_TIMEOUT_S
        for member in self._gates_of_pool():
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                log.warning("mark_not_confirmed", request=mark.fingerprint)
                return
            self._send(member, mark, remaining_s)

    def _gates_of_pool(self) -> list[Member]:
        """Return the other members of this node's pool that may be alive."""
        local = self._members.find(self._node_id)
        pool = local.pool if local else ""
        return [
            member
            for member in self._members.all()
            if member.pool == pool
            and member.node_id != self._node_id
            and member.state <= MemberState.SUSPECT
        ]

    def _send(self, member: Member, mark: Mark, timeout_s: float) -> None:
        wire = to_wire_mark(mark)
        try:
            self._connections.run(
                member.address, timeout_s, lambda client: client.add_mark(wire)
            )
        except PeerError:
            log.info("mark_not_confirmed", request=mark.fingerprint, by=member.name)

    def release(self, fingerprint: str) -> bool:
        """Release a request on all nodes; return whether it was marked on this node."""
        marks = self._quarantine.release(time.monotonic(), fingerprint)
        for mark in marks:
            self._gossip.add_mark(mark)
        return bool(marks)
