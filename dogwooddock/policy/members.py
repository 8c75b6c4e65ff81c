"""Member records and gossip messages."""

__all__ = ["Member", "MemberState", "Message", "MessageKind", "OutgoingMessage"]

from dataclasses import dataclass
from enum import IntEnum

from .quarantine import Mark


class MemberState(IntEnum):
    """State of a member, ordered by precedence within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """Record of one node process.

    Args:
        node_id: Random identifier, new for every process.
        name: Configured name.
        ip: IP address of the peer port.
        port: Peer port, for TCP and UDP.
        zone: Availability zone.
        pool: Pool of the local target; empty while there is none.
        incarnation: Version of the record, increased only by the member itself, when
            its record changes or to refute a suspicion. On the wire ``counter``.
        state: State that the sender of the record believes it to be in.
    """

    node_id: int
    name: str
    ip: str
    port: int
    zone: str
    pool: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def address(self) -> tuple[str, int]:
        """Return the address of the peer port."""
        return self.ip, self.port

    def supersedes(self, other: "Member") -> bool:
        """Report whether this record is newer than another of the same member."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


class MessageKind(IntEnum):
    """Kind of a gossip message, as a number on the wire."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    UPDATE = 4
    CONFIG_HINT = 5


@dataclass(frozen=True, slots=True)
class Message:
    """Gossip message, sent as one datagram.

    Args:
        kind: Kind of the message.
        sender: Identifier of the sender.
        sequence: Number that the acknowledgement of a ping repeats; 0 if the message
            does not belong to a probe.
        subject: Member that is or was probed; 0 for none or any.
        config_version: Active configuration version of the sender.
        members: Member records for the receiver to merge.
        marks: Quarantine marks for the receiver to merge.
        marks_digest: Digest of the quarantine marks that the sender knows.
    """

    kind: MessageKind
    sender: int
    sequence: int
    subject: int
    config_version: int
    members: tuple[Member, ...] = ()
    marks: tuple[Mark, ...] = ()
    marks_digest: int = 0


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """Message with the address to send it to."""

    address: tuple[str, int]
    message: Message
