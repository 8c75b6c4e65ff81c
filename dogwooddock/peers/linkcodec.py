"""Conversion of the frames on a link between two nodes to and from bytes.

A frame is a 4-byte payload length, a 1-byte frame type and a thrift struct in the
binary protocol.
"""

__all__ = [
    "CallFrame",
    "CancelFrame",
    "Frame",
    "FrameReader",
    "MarksFrame",
    "PartFrame",
    "ProbeFrame",
    "PullFrame",
    "PushFrame",
    "QuotaAskFrame",
    "QuotaGrantFrame",
    "ReplyFrame",
    "encode_frame",
]

import math
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from ipaddress import IPv4Address
from typing import Any

import structlog
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from ..errors import PeerError
from ..mesh.calls import GateLoad, MeshCall, MeshReply, NodeRecord, StateUpdate
from ..policy.lifetimes import TargetState
from ..policy.outcomes import Outcome, Reason
from ..policy.quarantine import Mark
from ..policy.quota import QuotaAsk, QuotaGrant
from .codec import from_wire_mark, to_wire_mark
from .wire import ttypes

# Of a peer that sends bodies whole; its release takes no larger ones either.
MAX_FRAME_BYTES = 17 * 1024 * 1024
MAX_I16 = (1 << 15) - 1
MAX_I32 = (1 << 31) - 1
MAX_PORT = 65535
# A node's part of a quota is sent as a whole number of this fraction of the quota.
PARTS_PER_QUOTA = 10_000

# Shared by all frames; its transport is replaced for each one.
_PROTOCOL = TBinaryProtocolAccelerated(TMemoryBuffer())
_HEADER = struct.Struct("!IB")
_OUTCOMES = (Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN)

log = structlog.get_logger()


class _FrameType(IntEnum):
    CALL = 1
    REPLY = 2
    CANCEL = 3
    PROBE = 4
    PULL = 5
    PUSH = 6
    MARKS = 7
    QUOTA_ASK = 8
    QUOTA_GRANT = 9
    PART = 10


@dataclass(frozen=True, slots=True)
class CallFrame:
    """A call for the target of the receiving node.

    Args:
        call_id: Number of the call on this link, repeated in its reply.
        call: The call; after decoding, its deadline is a loop time of the receiver.
        config_version: Configuration version of the sender.
        body_size: Size of its body if that follows in parts, in bytes; else 0.
    """

    call_id: int
    call: MeshCall
    config_version: int
    body_size: int = 0


@dataclass(frozen=True, slots=True)
class ReplyFrame:
    """The reply to a call.

    Args:
        call_id: Number of the call on this link.
        reply: The reply.
        config_version: Configuration version of the sender.
        body_size: Size of its body if that follows in parts, in bytes; else 0.
    """

    call_id: int
    reply: MeshReply
    config_version: int
    body_size: int = 0


@dataclass(frozen=True, slots=True)
class PartFrame:
    """Next part of the body of a call, or of the reply to one.

    Args:
        call_id: Number of the call on this link.
        data: Bytes of the part.
    """

    call_id: int
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class CancelFrame:
    """Notice that the caller no longer waits for a call."""

    call_id: int


@dataclass(frozen=True, slots=True)
class ProbeFrame:
    """A liveness probe or the reply to one; it also carries the sender's state.

    Args:
        reply: Whether the peer must not reply, as for replies and broadcasts.
        config_version: Configuration version of the sender.
        members_version: Position of the store (era and version) at which the sender's
            members were read.
        accepting: Whether the sender's gate takes new work.
        sender: Node record of the sender; None while it has no target.
        zone: Availability zone of the sender.
        store_lost: Whether the sender cannot reach the store.
        marks_digest: Digest of the quarantine marks that the sender knows.
        asked_at_us: In a request for the age of the configuration, its send time in
            microseconds of the sender's clock, which the answer repeats; None in
            other probes.
        config_age_s: In an answer to such a request, the time in seconds since
            ``config_version`` was last proved to be the newest; None without a proof
            and in other probes.
        takes_parts: Whether the sender takes bodies in parts.
    """

    reply: bool
    config_version: int
    members_version: int
    accepting: bool
    sender: NodeRecord | None
    zone: str = ""
    store_lost: bool = False
    marks_digest: int = 0
    asked_at_us: int | None = None
    config_age_s: float | None = None
    takes_parts: bool = False


@dataclass(frozen=True, slots=True)
class PullFrame:
    """Request for the configuration and members that are newer than these versions.

    Args:
        config_version: Configuration version of the sender.
        members_version: Position of the store up to which the sender knows members.
        wanted_config: Configuration version that the sender knows to exist; the answer
            may then come later or name another node to ask. None if the answer must
            come at once.
    """

    config_version: int
    members_version: int
    wanted_config: int | None = None


@dataclass(frozen=True, slots=True)
class PushFrame:
    """Configuration and members, sent in reply to a pull or unsolicited.

    Args:
        update: What the receiver lacks.
        ask: Address of the node to pull from instead; None if this is the answer.
    """

    update: StateUpdate
    ask: tuple[str, int] | None = None


@dataclass(frozen=True, slots=True)
class MarksFrame:
    """Quarantine marks of requests during which targets were lost."""

    marks: tuple[Mark, ...]


@dataclass(frozen=True, slots=True)
class QuotaAskFrame:
    """Request for tokens of an account, by its id."""

    account_id: int
    ask: QuotaAsk


@dataclass(frozen=True, slots=True)
class QuotaGrantFrame:
    """Answer to the oldest unanswered ask for an account on this link."""

    account_id: int
    grant: QuotaGrant


Frame = (
    CallFrame
    | ReplyFrame
    | PartFrame
    | CancelFrame
    | ProbeFrame
    | PullFrame
    | PushFrame
    | MarksFrame
    | QuotaAskFrame
    | QuotaGrantFrame
)


def _to_wire_record(record: NodeRecord) -> ttypes.NodeRecord:
    return ttypes.NodeRecord(
        record.address[0],
        record.address[1],
        record.zone,
        record.pool,
        record.target_id,
        record.born_ms,
        record.sequence,
        record.slots,
        int(record.state),
        int(record.cold_s * 1000),
    )


def _from_wire_record(wire: ttypes.NodeRecord) -> NodeRecord:
    return NodeRecord(
        _from_wire_address(wire.ip, wire.port),
        wire.zone,
        wire.pool,
        wire.target_id,
        wire.born_ms,
        wire.sequence,
        wire.slots,
        TargetState(wire.state),
        wire.cold_ms / 1000,
    )


def _from_wire_address(ip: str, port: int) -> tuple[str, int]:
    """Return an address.

    Raises:
        ValueError: It is no IPv4 address, or the port is out of range.
    """
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return str(IPv4Address(ip)), port


def _from_wire_records(wires: Iterable[ttypes.NodeRecord]) -> tuple[NodeRecord, ...]:
    """Return the valid records; a peer may pass on what another writer left."""
    records = []
    for wire in wires:
        try:
            records.append(_from_wire_record(wire))
        except (ValueError, TypeError) as exc:
            log.warning("record_malformed", key=str(wire.ip)[:40], error=str(exc)[:80])
    return tuple(records)


def _call_to_wire(frame: CallFrame, now: float) -> ttypes.LinkCall:
    call = frame.call
    return ttypes.LinkCall(
        frame.call_id,
        call.request_id,
        call.route,
        call.target_id,
        call.method,
        call.path,
        call.headers,
        b"" if frame.body_size else call.body,
        int((call.deadline - now) * 1000),
        call.idempotent,
        call.importance,
        call.depth,
        call.caller,
        call.fingerprint,
        frame.config_version,
        call.rank,
        call.repeat,
        int(call.rate_limit * 1000),
        call.account or None,
        int((call.objective - now) * 1000) if call.objective is not None else None,
        frame.body_size or None,
    )


def _call_from_wire(wire: ttypes.LinkCall, now: float) -> CallFrame:
    call = MeshCall(
        wire.request_id,
        wire.route,
        wire.target_id,
        wire.method,
        wire.path,
        wire.headers,
        wire.body,
        now + wire.remaining_ms / 1000,
        wire.idempotent,
        wire.importance,
        wire.depth,
        wire.caller,
        wire.fingerprint,
        wire.rank,
        wire.repeat,
        (wire.rate_limit_per_1000_s or 0) / 1000,
        wire.account or "",
        now + wire.objective_ms / 1000 if wire.objective_ms is not None else None,
    )
    return CallFrame(wire.call_id, call, wire.config_version, wire.body_size or 0)


def _reply_to_wire(frame: ReplyFrame, now: float) -> ttypes.LinkReply:
    reply = frame.reply
    load = reply.load
    return ttypes.LinkReply(
        frame.call_id,
        _OUTCOMES.index(reply.outcome),
        reply.reason.value,
        reply.status,
        reply.headers,
        b"" if frame.body_size else reply.body,
        reply.reached,
        ttypes.LinkLoad(
            load.limit,
            load.in_flight,
            load.queued,
            load.level,
            int(load.wait_s * 1000),
            load.accepting,
            int(load.service_s * 1000),
            int(load.rate_limit * 1000),
        ),
        frame.config_version,
        reply.below_level,
        reply.chain_level or None,
        reply.idle_close or None,
        frame.body_size or None,
    )


def _reply_from_wire(wire: ttypes.LinkReply, now: float) -> ReplyFrame:
    load = wire.load
    reply = MeshReply(
        _OUTCOMES[wire.outcome],
        Reason(wire.reason),
        wire.status,
        wire.headers,
        wire.body,
        wire.reached,
        GateLoad(
            load.limit,
            load.in_flight,
            load.queued,
            load.level,
            load.wait_ms / 1000,
            load.accepting,
            (load.service_ms or 0) / 1000,
            (load.rate_limit_per_1000_s or 0) / 1000,
        ),
        wire.below_level,
        wire.chain_level or 0,
        bool(wire.idle_close),
    )
    return ReplyFrame(wire.call_id, reply, wire.config_version, wire.body_size or 0)


def _probe_to_wire(frame: ProbeFrame, now: float) -> ttypes.LinkProbe:
    sender = _to_wire_record(frame.sender) if frame.sender else None
    age_s = frame.config_age_s
    return ttypes.LinkProbe(
        frame.reply,
        frame.config_version,
        frame.members_version,
        frame.accepting,
        sender,
        frame.zone,
        frame.store_lost,
        frame.marks_digest,
        frame.asked_at_us,
        math.ceil(age_s * 1000) if age_s is not None else None,
        frame.takes_parts or None,
    )


def _probe_from_wire(wire: ttypes.LinkProbe, now: float) -> ProbeFrame:
    sender = _from_wire_record(wire.sender) if wire.sender else None
    age_ms = wire.config_age_ms
    return ProbeFrame(
        wire.reply,
        wire.config_version,
        wire.members_version,
        wire.accepting,
        sender,
        wire.zone or "",
        bool(wire.store_lost),
        wire.marks_digest or 0,
        wire.asked_at_us,
        age_ms / 1000 if age_ms is not None else None,
        bool(wire.takes_parts),
    )


def _push_to_wire(frame: PushFrame, now: float) -> ttypes.StatePush:
    update = frame.update
    ask_ip, ask_port = frame.ask or (None, None)
    return ttypes.StatePush(
        update.config_version,
        update.document,
        [_to_wire_record(record) for record in update.members],
        update.members_version,
        ask_ip,
        ask_port,
        update.members_since or None,
        update.members_until or None,
    )


def _push_from_wire(wire: ttypes.StatePush, now: float) -> PushFrame:
    members = _from_wire_records(wire.members)
    update = StateUpdate(
        wire.config_version,
        wire.document,
        members,
        wire.members_version,
        wire.members_since or 0,
        wire.members_until or 0,
    )
    ask = _from_wire_address(wire.ask_ip, wire.ask_port) if wire.ask_ip else None
    return PushFrame(update, ask)


def _ask_to_wire(frame: QuotaAskFrame, now: float) -> ttypes.LinkQuotaAsk:
    ask = frame.ask
    return ttypes.LinkQuotaAsk(
        frame.account_id,
        ask.waiting if ask.waiting != 1 else None,
        ask.extra or None,
        ask.spent or None,
        ask.reused or None,
    )


def _ask_from_wire(wire: ttypes.LinkQuotaAsk, now: float) -> QuotaAskFrame:
    waiting = wire.waiting if wire.waiting is not None else 1
    ask = QuotaAsk(waiting, wire.extra or 0, wire.spent or 0, wire.reused or 0)
    return QuotaAskFrame(wire.account, ask)


def _grant_to_wire(frame: QuotaGrantFrame, now: float) -> ttypes.LinkQuotaGrant:
    grant = frame.grant
    per_s = grant.demand_per_s
    return ttypes.LinkQuotaGrant(
        frame.account_id,
        min(grant.tokens, MAX_I16) if grant.tokens != 1 else None,
        min(int(grant.retry_s * 1000), MAX_I16) or None,
        int(grant.part * PARTS_PER_QUOTA) if grant.part is not None else None,
        None if grant.owner else True,
        min(int(per_s * 1000), MAX_I32) if per_s is not None else None,
    )


def _grant_from_wire(wire: ttypes.LinkQuotaGrant, now: float) -> QuotaGrantFrame:
    demand = wire.demand_per_1000_s
    grant = QuotaGrant(
        wire.tokens if wire.tokens is not None else 1,
        (wire.retry_ms or 0) / 1000,
        wire.part / PARTS_PER_QUOTA if wire.part is not None else None,
        not wire.not_owner,
        demand / 1000 if demand is not None else None,
    )
    return QuotaGrantFrame(wire.account, grant)


_ENCODERS: dict[type, tuple[_FrameType, Callable[[Any, float], Any]]] = {
    CallFrame: (_FrameType.CALL, _call_to_wire),
    ReplyFrame: (_FrameType.REPLY, _reply_to_wire),
    CancelFrame: (
        _FrameType.CANCEL,
        lambda frame, now: ttypes.LinkCancel(frame.call_id),
    ),
    PartFrame: (
        _FrameType.PART,
        lambda frame, now: ttypes.LinkPart(frame.call_id, frame.data),
    ),
    ProbeFrame: (_FrameType.PROBE, _probe_to_wire),
    PullFrame: (
        _FrameType.PULL,
        lambda frame, now: ttypes.StatePull(
            frame.config_version, frame.members_version, frame.wanted_config
        ),
    ),
    PushFrame: (_FrameType.PUSH, _push_to_wire),
    MarksFrame: (
        _FrameType.MARKS,
        lambda frame, now: ttypes.LinkMarks(
            [to_wire_mark(mark) for mark in frame.marks]
        ),
    ),
    QuotaAskFrame: (_FrameType.QUOTA_ASK, _ask_to_wire),
    QuotaGrantFrame: (_FrameType.QUOTA_GRANT, _grant_to_wire),
}

_DECODERS: dict[int, tuple[type, Callable[[Any, float], Frame]]] = {
    _FrameType.CALL: (ttypes.LinkCall, _call_from_wire),
    _FrameType.REPLY: (ttypes.LinkReply, _reply_from_wire),
    _FrameType.CANCEL: (ttypes.LinkCancel, lambda wire, now: CancelFrame(wire.call_id)),
    _FrameType.PART: (
        ttypes.LinkPart,
        lambda wire, now: PartFrame(wire.call_id, wire.data),
    ),
    _FrameType.PROBE: (ttypes.LinkProbe, _probe_from_wire),
    _FrameType.PULL: (
        ttypes.StatePull,
        lambda wire, now: PullFrame(
            wire.config_version, wire.members_version, wire.wanted_config
        ),
    ),
    _FrameType.PUSH: (ttypes.StatePush, _push_from_wire),
    _FrameType.MARKS: (
        ttypes.LinkMarks,
        lambda wire, now: MarksFrame(
            tuple(from_wire_mark(mark) for mark in wire.marks)
        ),
    ),
    _FrameType.QUOTA_ASK: (ttypes.LinkQuotaAsk, _ask_from_wire),
    _FrameType.QUOTA_GRANT: (ttypes.LinkQuotaGrant, _grant_from_wire),
}


def encode_frame(frame: Frame, now: float) -> bytes:
    """Serialize a frame.

    Args:
        frame: The frame.
        now: Current loop time in seconds; deadlines are sent as the time that remains.
    """
    frame_type, to_wire = _ENCODERS[type(frame)]
    buffer = _PROTOCOL.trans = TMemoryBuffer()
    to_wire(frame, now).write(_PROTOCOL)
    payload = buffer.getvalue()
    return _HEADER.pack(len(payload), frame_type) + payload


class FrameReader:
    """Split the byte stream of a link into frames and decode them.

    ``sizes`` are the sizes of the frames that ``feed`` returned last, in bytes.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.sizes: list[int] = []

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the part of an incomplete frame that is held."""
        return len(self._buffer)

    def feed(self, data: bytes, now: float) -> list[Frame]:
        """Return the frames that are complete with these bytes.

        Args:
            data: Next bytes of the stream.
            now: Current loop time in seconds, from which deadlines are computed.

        Raises:
            PeerError: A frame is malformed; the link must be closed.
        """
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        self.sizes = []
        start = 0
        while len(buffer) - start >= _HEADER.size:
            length, frame_type = _HEADER.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES or frame_type not in _DECODERS:
                raise PeerError("malformed frame; run the same release on all nodes")
            end = start + _HEADER.size + length
            if len(buffer) < end:
                break
            payload = bytes(memoryview(buffer)[start + _HEADER.size : end])
            frames.append(_decode(frame_type, payload, now))
            self.sizes.append(end - start)
            start = end
        del buffer[:start]
        return frames


def _decode(frame_type: int, payload: bytes, now: float) -> Frame:
    wire_type, from_wire = _DECODERS[frame_type]
    try:
        _PROTOCOL.trans = TMemoryBuffer(payload)
        wire = wire_type()
        wire.read(_PROTOCOL)
        return from_wire(wire, now)
    except (
        TException,
        EOFError,
        ValueError,
        TypeError,
        IndexError,
        OverflowError,
        RecursionError,  # Unknown fields are skipped however deeply they are nested.
        struct.error,
        AttributeError,  # A nested struct is missing.
    ) as exc:
        raise PeerError("malformed frame; run the same release on all nodes") from exc
