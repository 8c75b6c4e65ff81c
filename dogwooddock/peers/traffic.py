"""Account of the bytes and connections between nodes, by purpose."""

__all__ = ["Direction", "LinkTraffic", "Purpose", "TrafficAccount", "TrafficRow"]

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from .linkcodec import (
    CallFrame,
    CancelFrame,
    Frame,
    MarksFrame,
    PartFrame,
    ProbeFrame,
    PullFrame,
    PushFrame,
    QuotaAskFrame,
    QuotaGrantFrame,
    ReplyFrame,
)


class Purpose(IntEnum):
    """What a frame between two nodes is for."""

    CALL = 0
    REPLY = 1
    HANDSHAKE = 2
    PROBE = 3
    CONFIG_AGE = 4
    CONFIG = 5
    PULL = 6
    RECORDS = 7
    MARKS = 8
    QUOTA = 9
    BODY = 10


class Direction(StrEnum):
    """Direction of bytes, seen from this node."""

    SENT = "sent"
    RECEIVED = "received"


_PURPOSES: dict[type, Purpose] = {
    CallFrame: Purpose.CALL,
    CancelFrame: Purpose.CALL,
    ReplyFrame: Purpose.REPLY,
    PartFrame: Purpose.BODY,
    ProbeFrame: Purpose.PROBE,
    PullFrame: Purpose.PULL,
    PushFrame: Purpose.RECORDS,
    MarksFrame: Purpose.MARKS,
    QuotaAskFrame: Purpose.QUOTA,
    QuotaGrantFrame: Purpose.QUOTA,
}


@dataclass(slots=True)
class _Part:
    purpose: Purpose
    size: int


class FlowCounts:
    """Bytes on the wire and frames in one direction, by purpose."""

    __slots__ = ("bytes", "frames")

    def __init__(self) -> None:
        self.bytes = [0] * len(Purpose)
        self.frames = [0] * len(Purpose)

    def merge(self, other: "FlowCounts") -> None:
        """Add other counts to these."""
        for purpose in Purpose:
            self.bytes[purpose] += other.bytes[purpose]
            self.frames[purpose] += other.frames[purpose]


class LinkFlow:
    """Count one direction of a connection.

    ``add`` is called with each frame, then ``settle`` with the number of bytes on the
    wire that carried these frames. On a compressed link this is less than the sum of
    their sizes, so it is divided among them in proportion.
    """

    __slots__ = ("_has_frames", "_parts", "counts")

    def __init__(self) -> None:
        self.counts = FlowCounts()
        self._parts: list[_Part] = []
        self._has_frames = False

    def add(self, frame: Frame, size: int) -> None:
        """Count a frame of a size before compression, in bytes."""
        purpose = _PURPOSES[type(frame)]
        if isinstance(frame, ProbeFrame):
            purpose = self._purpose_of_probe(frame)
        elif isinstance(frame, PushFrame) and frame.ask is not None:
            purpose = Purpose.PULL
        elif isinstance(frame, PushFrame) and frame.update.document:
            document = len(frame.update.document)
            self._parts.append(_Part(Purpose.CONFIG, document))
            size -= document
        self._has_frames = True
        self._parts.append(_Part(purpose, size))

    def _purpose_of_probe(self, frame: ProbeFrame) -> Purpose:
        if not self._has_frames:
            return Purpose.HANDSHAKE
        if frame.asked_at_us is not None:
            return Purpose.CONFIG_AGE
        return Purpose.PROBE

    def settle(self, wire_bytes: int) -> None:
        """Divide the bytes on the wire among the frames since the last call."""
        parts, self._parts = self._parts, []
        counts = self.counts
        if len(parts) == 1:
            purpose = parts[0].purpose
            counts.bytes[purpose] += wire_bytes
            counts.frames[purpose] += 1
            return
        total = sum(part.size for part in parts)
        size_so_far = wire_so_far = 0
        for part in parts:
            size_so_far += part.size
            share = wire_bytes * size_so_far // total - wire_so_far
            wire_so_far += share
            counts.bytes[part.purpose] += share
            counts.frames[part.purpose] += 1


class LinkTraffic:
    """Count both directions of one connection.

    Args:
        preface_bytes: Bytes that were sent before the first frame.
    """

    __slots__ = ("_unsettled", "received", "sent", "zone")

    def __init__(self, preface_bytes: int = 0):
        self.sent = LinkFlow()
        self.received = LinkFlow()
        self.sent.counts.bytes[Purpose.HANDSHAKE] += preface_bytes
        self.zone = ""
        self._unsettled = 0

    def receive_bytes(self, wire_bytes: int) -> None:
        """Count bytes on the wire whose frames are passed on afterwards."""
        self._unsettled += wire_bytes

    def receive_frames(self, frames: list[Frame], sizes: list[int]) -> None:
        """Count frames that are complete, with their sizes before compression."""
        if not frames:
            return
        for frame, size in zip(frames, sizes, strict=True):
            self.received.add(frame, size)
        self.received.settle(self._unsettled)
        self._unsettled = 0

    def flow(self, direction: Direction) -> FlowCounts:
        """Return the counts of one direction."""
        return (self.sent if direction is Direction.SENT else self.received).counts


@dataclass(frozen=True, slots=True)
class TrafficRow:
    """Traffic since the start of the node.

    Args:
        direction: Direction of the bytes.
        zone: ``own`` or ``other`` availability zone; ``unknown`` if the connection
            ended before the peer reported its zone.
        purpose: What the frames are for, in lower case.
        bytes: Bytes on the wire, without those of TCP and below.
        frames: Number of frames.
    """

    direction: Direction
    zone: str
    purpose: str
    bytes: int
    frames: int


@dataclass(frozen=True, slots=True)
class _Key:
    direction: Direction
    zone: str


@dataclass(slots=True)
class TrafficAccount:
    """Sum the traffic of all links of a node.

    Links count for themselves and are summed when the account is read.

    Args:
        own_zone: Availability zone of the node.
        links_opened: Connections to peers by side: ``link_out``, ``link_in``.
    """

    own_zone: str
    links_opened: Counter[str] = field(default_factory=Counter)
    _open: set[LinkTraffic] = field(default_factory=set)
    _ended: dict[_Key, FlowCounts] = field(default_factory=dict)

    def open(self, side: str, preface_bytes: int = 0) -> LinkTraffic:
        """Return the counters of a new connection.

        Args:
            side: ``link_out`` if this node connected, else ``link_in``.
            preface_bytes: Bytes that are sent before the first frame.
        """
        self.links_opened[side] += 1
        traffic = LinkTraffic(preface_bytes)
        self._open.add(traffic)
        return traffic

    def close(self, traffic: LinkTraffic) -> None:
        """Keep the sums of a connection that has ended."""
        if traffic in self._open:
            self._open.discard(traffic)
            self._sum_up(traffic, self._ended)

    def _sum_up(self, traffic: LinkTraffic, sums: dict[_Key, FlowCounts]) -> None:
        for direction in Direction:
            key = _Key(direction, self._side_of(traffic.zone))
            sums.setdefault(key, FlowCounts()).merge(traffic.flow(direction))

    def _side_of(self, zone: str) -> str:
        if not zone:
            return "unknown"
        return "own" if zone == self.own_zone else "other"

    def rows(self) -> Iterator[TrafficRow]:
        """Return the traffic so far; rows without bytes and frames are left out."""
        sums: dict[_Key, FlowCounts] = {}
        for key, counts in self._ended.items():
            sums.setdefault(key, FlowCounts()).merge(counts)
        for traffic in self._open:
            self._sum_up(traffic, sums)
        for key, counts in sums.items():
            for purpose in Purpose:
                size, frames = counts.bytes[purpose], counts.frames[purpose]
                if size or frames:
                    name = purpose.name.lower()
                    yield TrafficRow(key.direction, key.zone, name, size, frames)
