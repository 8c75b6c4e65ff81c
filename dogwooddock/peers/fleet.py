"""Calls to the gates of all nodes; the local gate is called without a connection."""

__all__ = ["NodeFleet", "PeerHandler"]

from collections.abc import Callable

from ..errors import PeerUnreachable, PlatformUnavailable
from ..keys.committer import KeyBatchExecutor
from ..keys.rows import KeyWrite
from ..policy.configlog import LogSlice
from ..policy.keys import KeyRow
from ..policy.members import Member
from ..policy.quarantine import Mark
from ..policy.tickets import parse_ticket
from ..targets.gate import Gate
from .batching import to_wire_results
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

CANCEL_TIMEOUT_S = 0.5
TICKET_TIMEOUT_S = 1.0
STATUS_GRACE_S = 0.2


class NodeFleet:
    """Call the gates of nodes, which are addressed by node identifier.

    Calls to another node raise ``PeerUnreachable`` if nothing was sent, and
    ``PeerError`` if the call may have run.

    Args:
        gate: Gate of this node.
        connections: Connections to peers.
        find_member: Returns the member with a node identifier, or None.
    """

    def __init__(
        self,
        gate: Gate,
        connections: PeerConnections,
        find_member: Callable[[int], Member | None],
    ):
        self._gate = gate
        self._connections = connections
        self._find_member = find_member

    def _address(self, node_id: int) -> tuple[str, int]:
        member = self._find_member(node_id)
        if member is None:
            raise PeerUnreachable(f"node {node_id:x} is not a member")
        return member.address

    def call(self, node_id: int, attempt: Attempt, timeout_s: float) -> Reply:
        """Run an attempt at the gate of a node and return its reply."""
        if node_id == self._gate.node_id:
            return self._gate.call(attempt)
        return self._connections.run(
            self._address(node_id), timeout_s, lambda client: client.call(attempt)
        )

    def cancel(self, node_id: int, attempt_id: str) -> bool:
        """Cancel an attempt; return True if it did not run and will not run."""
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
        """Ask the node that holds a key for the status of its attempt.

        Args:
            holder: Identifier of the node.
            address: Peer address of the node, as ``IP:PORT``.
            attempt_id: Attempt that claimed the key.
            wait_s: Longest wait for a running attempt to finish, in seconds.
        """
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
        """Return up to ``count`` new tickets issued by a node."""
        if node_id == self._gate.node_id:
            return self._gate.issue_tickets(count)
        return self._connections.run(
            self._address(node_id),
            TICKET_TIMEOUT_S,
            lambda client: client.issue_tickets(count),
        )

    def cancel_ticket(self, node_id: int, ticket: str) -> str:
        """Cancel a ticket at its issuer and return the state of the ticket."""
        if node_id == self._gate.node_id:
            return self._gate.cancel_ticket(ticket)
        return self._connections.run(
            self._address(node_id),
            TICKET_TIMEOUT_S,
            lambda client: client.cancel_ticket(ticket),
        )


class PeerHandler:
    """Implement the methods of the thrift service ``Peer``.

    Args:
        gate: Gate of this node.
        keys: Executor for the key batches of other nodes; None without a platform.
        log_since: Returns the configuration changes after a version.
        members: Returns the known members.
        on_mark: Called with each received quarantine mark.
    """

    def __init__(
        self,
        gate: Gate,
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
        """Return the status of an attempt that claimed a key at this gate."""
        return self._gate.key_status(from_wire_id(holder), attempt_id, wait_us / 1e6)

    def issue_tickets(self, count: int) -> list[str]:
        """Issue tickets of this node."""
        return self._gate.issue_tickets(count)

    def cancel_ticket(self, ticket: str) -> str:
        """Cancel a ticket and return its state: "foreign" if it cannot be parsed."""
        if parse_ticket(ticket) is None:
            return "foreign"
        return self._gate.cancel_ticket(ticket)

    def write_claims(self, writes: list[ClaimWrite]) -> list[ClaimResult]:
        """Commit key writes on behalf of another node of the availability zone."""
        batch = [
            KeyWrite(write.key, write.base, KeyRow.loads(write.row)) for write in writes
        ]
        return to_wire_results(self._key_executor().commit(batch))

    def read_claims(self, keys: list[str]) -> list[ClaimResult]:
        """Read key rows on behalf of another node of the availability zone."""
        return to_wire_results(self._key_executor().read(keys))

    def _key_executor(self) -> KeyBatchExecutor:
        if self._keys is None:
            raise PlatformUnavailable("this node has no platform; set --platform-url")
        return self._keys

    def pull_config(self, position: int) -> ConfigLog:
        """Return the configuration changes after a version."""
        log_slice = self._log_since(position)
        return ConfigLog(
            log_slice.base, list(log_slice.edits), log_slice.snapshot, log_slice.version
        )

    def pull_members(self, requester: int) -> list[WireMember]:
        """Return all members that this node knows."""
        return [to_wire_member(member) for member in self._members()]

    def add_mark(self, mark: QuarantineMark) -> bool:
        """Record a quarantine mark from a gate of the same pool."""
        self._on_mark(from_wire_mark(mark))
        return True
