"""Joining the other nodes, and keeping the contact rows for nodes that join later."""

__all__ = ["Joining"]

import threading
from collections.abc import Sequence

import structlog

from ..errors import PeerError
from ..peers.client import PeerConnections
from ..peers.codec import from_wire_member
from ..peers.directory import MemberDirectory
from ..peers.gossip import Gossip
from ..policy.configlog import zone_rank
from .contacts import ROWS_PER_ZONE, ContactRows

CONTACT_PERIOD_S = 5.0
JOIN_PERIOD_S = 0.5
PULL_TIMEOUT_S = 1.0

Address = tuple[str, int]

log = structlog.get_logger()


class Joining:
    """Join other nodes while this one is alone, and refresh the contact rows after.

    Args:
        node_id: Identifier of this node.
        address: Peer address of this node.
        contacts: Configured contacts.
        rows: Contact rows, or None without a platform.
        members: Known members.
        connections: Connections to peers.
        gossip: Gossip of this node.
    """

    def __init__(
        self,
        node_id: int,
        address: Address,
        contacts: Sequence[Address],
        rows: ContactRows | None,
        members: MemberDirectory,
        connections: PeerConnections,
        gossip: Gossip,
    ):
        self._node_id = node_id
        self._address = address
        self._contacts = contacts
        self._rows = rows
        self._members = members
        self._connections = connections
        self._gossip = gossip
        self._stopped = threading.Event()

    def start(self) -> None:
        """Join and refresh in a background thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Let the background thread end."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            alone = self._members.alone
            try:
                if alone:
                    self._join(self._known_contacts())
                elif self._rows is not None:
                    self._refresh(self._rows)
            except Exception:
                # What a peer or another writer says must not end this thread.
                log.exception("joining_failed")
            if self._stopped.wait(JOIN_PERIOD_S if alone else CONTACT_PERIOD_S):
                return

    def _known_contacts(self) -> list[Address]:
        contacts = list(self._contacts)
        if self._rows is not None:
            stored = self._rows.read()
            contacts.extend(stored)
            if not stored:
                self._rows.write(0, self._host_port)
        return contacts

    @property
    def _host_port(self) -> str:
        return f"{self._address[0]}:{self._address[1]}"

    def _refresh(self, rows: ContactRows) -> None:
        """Write this node's contact row, and join contacts that are not yet members.

        Only the first ``ROWS_PER_ZONE`` nodes of the zone do this; others return.
        Nodes that start at the same time can form separate groups; joining unknown
        contacts merges them.
        """
        rank = zone_rank(self._node_id, self._members.zone_members())
        if rank >= ROWS_PER_ZONE:
            return
        known = {member.address for member in self._members.all()}
        self._join([address for address in rows.read() if address not in known])
        rows.write(rank, self._host_port)

    def _join(self, contacts: list[Address]) -> None:
        others = [address for address in contacts if address != self._address]
        self._gossip.join(others)
        for address in others:
            try:
                members = self._connections.run(
                    address, PULL_TIMEOUT_S, lambda client: client.pull_members(0)
                )
            except PeerError:
                continue
            self._gossip.merge([from_wire_member(member) for member in members])
            return
