"""Members of the fleet and the messages between them."""

__all__ = ["Kind", "Member", "MemberState", "Message", "Send"]

from dataclasses import dataclass
from enum import IntEnum

from .quarantine import Mark


class MemberState(IntEnum):
    """State of a member, in order of precedence at equal counters."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One process of the fleet.

    Args:
        node_id: Random identity, new for every process.
        name: Name from the settings.
        ip: Address of the peer port.
        port: Peer port, for TCP and UDP.
        zone: Availability zone.
        pool: Pool of the target beside it; empty while there is none.
        counter: Refutation counter, raised only by the member itself.
        state: State as seen by the sender.
    """

    node_id: int
    name: str
    ip: str
    port: int
    zone: str
    pool: str
    counter: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def address(self) -> tuple[str, int]:
        """Return the address of the peer port."""
        return self.ip, self.port

    def supersedes(self, other: "Member") -> bool:
        """Report whether this record replaces another of the same member."""
        return (self.counter, self.state) > (other.counter, other.state)


class Kind(IntEnum):
    """Kind of a gossip message."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    NEWS = 4
    CONFIG_HINT = 5


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram between members.

    Args:
        kind: Kind of the message.
        sender: Identity of the sender.
        sequence: Number that an acknowledgement repeats.
        subject: Member to probe on behalf of the sender, or that was probed.
        config_version: Configuration version of the sender.
        members: Member records to merge.
        marks: Quarantine marks to merge.
    """

    kind: Kind
    sender: int
    sequence: int
    subject: int
    config_version: int
    members: tuple[Member, ...] = ()
    marks: tuple[Mark, ...] = ()


@dataclass(frozen=True, slots=True)
class Send:
    """A message to send to an address."""

    address: tuple[str, int]
    message: Message
