"""Conversion of gossip messages, member records and marks to their thrift form."""

__all__ = [
    "decode_gossip",
    "encode_gossip",
    "from_wire_id",
    "from_wire_mark",
    "from_wire_member",
    "to_wire_id",
    "to_wire_mark",
    "to_wire_member",
]

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from ..errors import PeerError
from ..policy.members import Member, MemberState, Message, MessageKind
from ..policy.quarantine import Mark, MarkKind
from .wire import ttypes

_FACTORY = TCompactProtocolAcceleratedFactory()
_SIGN_BIT = 1 << 63


def to_wire_id(node_id: int) -> int:
    """Convert an unsigned 64-bit node identifier to the signed i64 of thrift."""
    return node_id - 2 * _SIGN_BIT if node_id >= _SIGN_BIT else node_id


def from_wire_id(wire_id: int) -> int:
    """Convert a signed i64 of thrift to the unsigned 64-bit node identifier."""
    return wire_id + 2 * _SIGN_BIT if wire_id < 0 else wire_id


def to_wire_member(member: Member) -> ttypes.Member:
    """Convert a member record to its thrift struct."""
    return ttypes.Member(
        to_wire_id(member.node_id),
        member.name,
        member.ip,
        member.port,
        member.zone,
        member.pool,
        member.incarnation,
        int(member.state),
    )


def from_wire_member(wire: ttypes.Member) -> Member:
    """Convert a thrift struct to a member record.

    Raises:
        ValueError: The state is not a ``MemberState``.
    """
    return Member(
        from_wire_id(wire.node_id),
        wire.name,
        wire.ip,
        wire.port,
        wire.zone,
        wire.pool,
        wire.counter,
        MemberState(wire.state),
    )


def to_wire_mark(mark: Mark) -> ttypes.QuarantineMark:
    """Convert a quarantine mark to its thrift struct."""
    return ttypes.QuarantineMark(
        mark.fingerprint,
        to_wire_id(mark.node_id),
        mark.remaining_s,
        int(mark.kind),
        mark.lifetime,
    )


def from_wire_mark(wire: ttypes.QuarantineMark) -> Mark:
    """Convert a thrift struct to a quarantine mark."""
    return Mark(
        wire.fingerprint,
        from_wire_id(wire.node_id),
        wire.remaining_s,
        MarkKind(wire.kind),
        wire.lifetime,
    )


def encode_gossip(message: Message) -> bytes:
    """Serialize a gossip message into one datagram."""
    wire = ttypes.Gossip(
        int(message.kind),
        to_wire_id(message.sender),
        message.sequence,
        to_wire_id(message.subject),
        message.config_version,
        [to_wire_member(member) for member in message.members],
        [to_wire_mark(mark) for mark in message.marks],
        message.marks_digest,
    )
    return serialize(wire, protocol_factory=_FACTORY)


def decode_gossip(data: bytes) -> Message:
    """Parse a datagram as a gossip message.

    Raises:
        PeerError: The datagram is not a gossip message.
    """
    try:
        wire = deserialize(ttypes.Gossip(), data, protocol_factory=_FACTORY)
        return Message(
            MessageKind(wire.kind),
            from_wire_id(wire.sender),
            wire.sequence,
            from_wire_id(wire.subject),
            wire.config_version,
            tuple(from_wire_member(member) for member in wire.members),
            tuple(from_wire_mark(mark) for mark in wire.marks),
            wire.marks_digest or 0,
        )
    except Exception as exc:
        raise PeerError(f"datagram is not a gossip message: {exc}") from exc
