"""Conversion between the messages of a link and their frames."""

__all__ = [
    "Cancel",
    "Frame",
    "FrameReader",
    "Marks",
    "NumberedCall",
    "NumberedReply",
    "Probe",
    "Pull",
    "Push",
    "encode_frame",
]

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from ..errors import PeerError
from ..mesh.calls import GateLoad, MeshCall, MeshReply, NodeRecord, StateUpdate
from ..policy.lifetimes import TargetState
from ..policy.outcomes import Outcome, Reason
from ..policy.quarantine import Mark
from .codec import from_wire_mark, to_wire_mark
from .wire import ttypes

MAX_FRAME_BYTES = 80 * 1024 * 1024

# One protocol serves every frame; only its transport changes.
_PROTOCOL = TBinaryProtocolAccelerated(TMemoryBuffer())
_HEADER = struct.Struct("!IB")
_OUTCOMES = (Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN)


class _Kind(IntEnum):
    CALL = 1
    REPLY = 2
    CANCEL = 3
    PROBE = 4
    PULL = 5
    PUSH = 6
    MARKS = 7


@dataclass(frozen=True, slots=True)
class NumberedCall:
    """A call and its number on the link.

    Args:
        number: Number that the reply repeats.
        call: The call; its times are loop times of the receiver.
        config_version: Configuration version of the sender.
    """

    number: int
    call: MeshCall
    config_version: int


@dataclass(frozen=True, slots=True)
class NumberedReply:
    """A reply and the number of its call."""

    number: int
    reply: MeshReply
    config_version: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """A call that nobody waits for any more."""

    number: int


@dataclass(frozen=True, slots=True)
class Probe:
    """A sign of life.

    Args:
        reply: Whether it answers a probe.
        config_version: Configuration version of the sender.
        members_version: Store version that its members were read at.
        accepting: Whether its gate takes new work.
        sender: Its own record; None while it has no target.
        zone: Its availability zone.
        store_lost: Whether it cannot reach the store.
    """

    reply: bool
    config_version: int
    members_version: int
    accepting: bool
    sender: NodeRecord | None
    zone: str = ""
    store_lost: bool = False


@dataclass(frozen=True, slots=True)
class Pull:
    """A question for what is newer than these versions."""

    config_version: int
    members_version: int


@dataclass(frozen=True, slots=True)
class Push:
    """The answer to a pull."""

    update: StateUpdate


@dataclass(frozen=True, slots=True)
class Marks:
    """Marks of requests that made targets crash."""

    marks: tuple[Mark, ...]


Frame = NumberedCall | NumberedReply | Cancel | Probe | Pull | Push | Marks


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
        (wire.ip, wire.port),
        wire.zone,
        wire.pool,
        wire.target_id,
        wire.born_ms,
        wire.sequence,
        wire.slots,
        TargetState(wire.state),
        wire.cold_ms / 1000,
    )


def _call_struct(frame: NumberedCall, now: float) -> ttypes.LinkCall:
    call = frame.call
    return ttypes.LinkCall(
        frame.number,
        call.request_id,
        call.route,
        call.target_id,
        call.method,
        call.path,
        call.headers,
        call.body,
        int((call.deadline - now) * 1000),
        call.idempotent,
        call.importance,
        call.depth,
        call.caller,
        call.fingerprint,
        frame.config_version,
        call.rank,
        call.repeat,
    )


def _read_call(wire: ttypes.LinkCall, now: float) -> NumberedCall:
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
    )
    return NumberedCall(wire.call_id, call, wire.config_version)


def _reply_struct(frame: NumberedReply, now: float) -> ttypes.LinkReply:
    reply = frame.reply
    load = reply.load
    return ttypes.LinkReply(
        frame.number,
        _OUTCOMES.index(reply.outcome),
        reply.reason.value,
        reply.status,
        reply.headers,
        reply.body,
        reply.reached,
        ttypes.LinkLoad(
            load.limit,
            load.in_flight,
            load.queued,
            load.level,
            int(load.wait_s * 1000),
            load.accepting,
        ),
        frame.config_version,
        reply.below_level,
    )


def _read_reply(wire: ttypes.LinkReply, now: float) -> NumberedReply:
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
        ),
        wire.below_level,
    )
    return NumberedReply(wire.call_id, reply, wire.config_version)


def _probe_struct(frame: Probe, now: float) -> ttypes.LinkProbe:
    sender = _to_wire_record(frame.sender) if frame.sender else None
    return ttypes.LinkProbe(
        frame.reply,
        frame.config_version,
        frame.members_version,
        frame.accepting,
        sender,
        frame.zone,
        frame.store_lost,
    )


def _read_probe(wire: ttypes.LinkProbe, now: float) -> Probe:
    sender = _from_wire_record(wire.sender) if wire.sender else None
    return Probe(
        wire.reply,
        wire.config_version,
        wire.members_version,
        wire.accepting,
        sender,
        wire.zone or "",
        bool(wire.store_lost),
    )


def _push_struct(frame: Push, now: float) -> ttypes.StatePush:
    update = frame.update
    return ttypes.StatePush(
        update.config_version,
        update.document,
        [_to_wire_record(record) for record in update.members],
        update.members_version,
    )


def _read_push(wire: ttypes.StatePush, now: float) -> Push:
    members = tuple(_from_wire_record(record) for record in wire.members)
    return Push(
        StateUpdate(wire.config_version, wire.document, members, wire.members_version)
    )


_WRITERS: dict[type, tuple[_Kind, Callable[[Any, float], Any]]] = {
    NumberedCall: (_Kind.CALL, _call_struct),
    NumberedReply: (_Kind.REPLY, _reply_struct),
    Cancel: (_Kind.CANCEL, lambda frame, now: ttypes.LinkCancel(frame.number)),
    Probe: (_Kind.PROBE, _probe_struct),
    Pull: (
        _Kind.PULL,
        lambda frame, now: ttypes.StatePull(
            frame.config_version, frame.members_version
        ),
    ),
    Push: (_Kind.PUSH, _push_struct),
    Marks: (
        _Kind.MARKS,
        lambda frame, now: ttypes.LinkMarks(
            [to_wire_mark(mark) for mark in frame.marks]
        ),
    ),
}

_READERS: dict[int, tuple[type, Callable[[Any, float], Frame]]] = {
    _Kind.CALL: (ttypes.LinkCall, _read_call),
    _Kind.REPLY: (ttypes.LinkReply, _read_reply),
    _Kind.CANCEL: (ttypes.LinkCancel, lambda wire, now: Cancel(wire.call_id)),
    _Kind.PROBE: (ttypes.LinkProbe, _read_probe),
    _Kind.PULL: (
        ttypes.StatePull,
        lambda wire, now: Pull(wire.config_version, wire.members_version),
    ),
    _Kind.PUSH: (ttypes.StatePush, _read_push),
    _Kind.MARKS: (
        ttypes.LinkMarks,
        lambda wire, now: Marks(tuple(from_wire_mark(mark) for mark in wire.marks)),
    ),
}


def encode_frame(frame: Frame, now: float) -> bytes:
    """Return a frame's bytes.

    Args:
        frame: The message.
        now: Loop time, to turn times into what is left of them.
    """
    kind, writer = _WRITERS[type(frame)]
    buffer = _PROTOCOL.trans = TMemoryBuffer()
    writer(frame, now).write(_PROTOCOL)
    payload = buffer.getvalue()
    return _HEADER.pack(len(payload), kind) + payload


class FrameReader:
    """Cut the bytes of a link into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes, now: float) -> list[Frame]:
        """Return the frames that these bytes complete.

        Raises:
            PeerError: The bytes are no frame; close the link.
        """
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        start = 0
        while len(buffer) - start >= _HEADER.size:
            length, kind = _HEADER.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES or kind not in _READERS:
                raise PeerError("a frame is malformed; run one release on all nodes")
            end = start + _HEADER.size + length
            if len(buffer) < end:
                break
            payload = bytes(memoryview(buffer)[start + _HEADER.size : end])
            frames.append(_decode(kind, payload, now))
            start = end
        del buffer[:start]
        return frames


def _decode(kind: int, payload: bytes, now: float) -> Frame:
    wire_type, reader = _READERS[kind]
    try:
        _PROTOCOL.trans = TMemoryBuffer(payload)
        wire = wire_type()
        wire.read(_PROTOCOL)
        return reader(wire, now)
    except (TException, EOFError, ValueError, TypeError, IndexError) as exc:
        raise PeerError("a frame is malformed; run one release on all nodes") from exc
