"""Reaching the gates of the fleet, the local one without a connection."""

__all__ = ["NodeFleet", "PeerHandler"]

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..errors import PeerUnreachable, PlatformUnavailable
from ..keys.committer import KeyBatchExecutor
from ..keys.rows import KeyWrite
from ..policy.configlog import LogSlice
from ..policy.keys import KeyRow
from ..policy.members import Member
from ..policy.quarantine import Mark
from ..policy.tickets import parse_ticket
from .batching import to_wire
from .client import PeerConnections
from .codec import from_wire_id, from_wire_mark, to_wire_id, to_wire_member
from .wire.ttypes import (
    Attempt,
    ClaimResult,
    ClaimWrite,
    ConfigLog,
    KeyStatus,
    QuarantineMark,
    Reply,
)
from .wire.ttypes import Member as WireMember

if TYPE_CHECKING:
    from ..targets.gate import Gate

CANCEL_TIMEOUT_S = 0.5
TICKET_TIMEOUT_S = 1.0
STATUS_GRACE_S = 0.2


class NodeFleet:
    """Calls to gates, by node identity.

    Args:
        gate: Gate of this node.
        connections: Connections to peers.
        find: Function that returns the member of an identity, or None.
    """

    def __init__(
        self,
        gate: "Gate",
        connections: PeerConnections,
        find: Callable[[int], Member | None],
    ):
        self._gate = gate
        self._connections = connections
        self._find = find

    def _address(self, node_id: int) -> tuple[str, int]:
        member = self._find(node_id)
        if member is None:
            raise PeerUnreachable(f"node {node_id:x} is not a member")
        return member.address

    def call(self, node_id: int, attempt: Attempt, timeout_s: float) -> Reply:
        """Run an attempt at the gate of a node."""
        if node_id == self._gate.node_id:
            return self._gate.call(attempt)
        return self._connections.run(
            self._address(node_id), timeout_s, lambda client: client.call(attempt)
        )

    def cancel(self, node_id: int, attempt_id: str) -> bool:
        """Cancel an attempt; return True if it never ran and never will."""
        if node_id == self._gate.node_id:
            return self._gate.cancel(attempt_id)
        return self._connections.run(
            self._address(node_id),
            CANCEL_TIMEOUT_S,
            lambda client: client.cancel(attempt_id),
        )

    def key_status(
        self, holder: int, address: str, attempt_id: str, wait_s: float
    ) -> KeyStatus:
        """Ask the holder of a key about its attempt."""
        if holder == self._gate.node_id:
            return self._gate.key_status(holder, attempt_id, wait_s)
        host, _, port = address.rpartition(":")
        return self._connections.run(
            (host, int(port)),
            wait_s + STATUS_GRACE_S,
            lambda client: client.key_status(
                to_wire_id(holder), attempt_id, int(wait_s * 1e6)
            ),
        )

    def issue_tickets(self, node_id: int, count: int) -> list[str]:
        """Return new tickets of a node."""
        if node_id == self._gate.node_id:
            return self._gate.issue_tickets(count)
        return self._connections.run(
            self._address(node_id),
            TICKET_TIMEOUT_S,
            lambda client: client.issue_tickets(count),
        )

    def cancel_ticket(self, node_id: int, ticket: str) -> str:
        """Cancel a ticket and return its state."""
        if node_id == self._gate.node_id:
            return self._gate.cancel_ticket(ticket)
        return self._connections.run(
            self._address(node_id),
            TICKET_TIMEOUT_S,
            lambda client: client.cancel_ticket(ticket),
        )


class PeerHandler:
    """Methods of the thrift service."""

    def __init__(
        self,
        gate: "Gate",
        keys: KeyBatchExecutor | None,
        log_since: Callable[[int], LogSlice],
        members: Callable[[], list[Member]],
        on_mark: Callable[[Mark], object],
    ):
        self._gate = gate
        self._keys = keys
        self._log_since = log_since
        self._members = members
        self._on_mark = on_mark

    def call(self, attempt: Attempt) -> Reply:
        """Run an attempt at this gate."""
        return self._gate.call(attempt)

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt at this gate."""
        return self._gate.cancel(attempt_id)

    def key_status(self, holder: int, attempt_id: str, wait_us: int) -> KeyStatus:
        """Tell what this gate knows about an attempt."""
        return self._gate.key_status(from_wire_id(holder), attempt_id, wait_us / 1e6)

    def issue_tickets(self, count: int) -> list[str]:
        """Issue tickets of this node."""
        return self._gate.issue_tickets(count)

    def cancel_ticket(self, ticket: str) -> str:
        """Cancel a ticket of this node."""
        if parse_ticket(ticket) is None:
            return "foreign"
        return self._gate.cancel_ticket(ticket)

    def write_claims(self, writes: list[ClaimWrite]) -> list[ClaimResult]:
        """Commit key writes for another node of the availability zone."""
        batch = [
            KeyWrite(write.key, write.base, KeyRow.loads(write.row)) for write in writes
        ]
        return to_wire(self._batches().commit(batch))

    def read_claims(self, keys: list[str]) -> list[ClaimResult]:
        """Read key rows for another node of the availability zone."""
        return to_wire(self._batches().read(keys))

    def _batches(self) -> KeyBatchExecutor:
        if self._keys is None:
            raise PlatformUnavailable("this node has no platform; set --platform-url")
        return self._keys

    def pull_config(self, position: int) -> ConfigLog:
        """Return what brings a replica forward from a position."""
        part = self._log_since(position)
        return ConfigLog(part.base, list(part.edits), part.snapshot, part.version)

    def pull_members(self, requester: int) -> list[WireMember]:
        """Return every member that this node knows."""
        return [to_wire_member(member) for member in self._members()]

    def add_mark(self, mark: QuarantineMark) -> bool:
        """Accept a quarantine mark from a gate of the same pool."""
        self._on_mark(from_wire_mark(mark))
        return True
