"""Links between nodes: connections that carry the frames of many calls at once."""

__all__ = ["Link", "LinkHandler"]

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import replace
from typing import cast

import structlog

from ..errors import PeerError
from ..http1.sockets import tune_socket
from ..policy.heldbytes import Held, HeldBytes, MemoryClaim
from .linkbodies import MAX_WHOLE_BODY_BYTES, OutgoingBodies
from .linkcodec import (
    CallFrame,
    Frame,
    FrameReader,
    ProbeFrame,
    ReplyFrame,
    encode_frame,
)
from .linkstream import LinkStream, stream_from_preface
from .traffic import LinkTraffic, TrafficAccount

MAX_BUFFERED_BYTES = 8 * 1024 * 1024
WRITE_HIGH_WATER_BYTES = 256 * 1024
# Parts of bodies that are written before other events are handled.
PARTS_AT_ONCE = 4
# Largest body that is sent to a peer that takes none in parts.
MAX_UNDIVIDED_BODY_BYTES = 16_000_000
# An incomplete frame up to this size is not counted.
SMALL_FRAME_BYTES = 64 * 1024

log = structlog.get_logger()


class LinkHandler(ABC):
    """Supplies the node state that links send and handles the frames of peers.

    ``traffic`` counts the bytes of the links, and ``memory`` is the budget for bodies.
    """

    traffic: TrafficAccount
    memory: HeldBytes

    @abstractmethod
    def config_version(self) -> int:
        """Return the version of the active configuration."""

    @abstractmethod
    def probe(self, reply: bool, peer_position: int = 0) -> ProbeFrame:
        """Return a probe, or the reply to one, with the state of this node.

        Args:
            reply: Whether the peer must not answer, as for answers and broadcasts.
            peer_position: Position of the store up to which the peer knows the records
                of nodes; 0 if that is not known.
        """

    def answer(self, probe: ProbeFrame) -> ProbeFrame:
        """Return the answer to a peer's probe."""
        return self.probe(reply=True, peer_position=probe.members_version)

    @abstractmethod
    def on_frame(self, link: "Link", frame: Frame) -> None:
        """Handle a received frame that is not a call, a reply or a cancellation."""

    @abstractmethod
    def on_config_version(self, link: "Link", version: int) -> None:
        """Handle the configuration version that a peer sent with a call or a reply."""


class Link(asyncio.Protocol):
    """Send and receive frames on one connection.

    Args:
        on_frame: Called with each received frame.
        on_lost: Called when the connection has ended.
        account: Counts the bytes of the connection.
        memory: Budget for incomplete frames.
        stream: Encoding of the bytes; None on the accepting side, which uses the
            encoding that the peer's preface names.
    """

    def __init__(
        self,
        on_frame: Callable[["Link", Frame], None],
        on_lost: Callable[["Link"], None],
        account: TrafficAccount,
        memory: HeldBytes,
        stream: LinkStream | None = None,
    ):
        self._loop = asyncio.get_running_loop()
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._reader = FrameReader()
        self._stream = stream
        self._account = account
        self._traffic = LinkTraffic()
        self._outgoing: list[bytes] = []
        self._bodies = OutgoingBodies()
        self._write_paused = False
        self._memory = memory
        self._frame_claim: MemoryClaim | None = None
        self._reply_claims: dict[int, MemoryClaim] = {}
        self._is_rejected = False
        self.has_frames = False
        self.peer_host = ""
        self.peer_takes_parts = False
        self._transport: asyncio.Transport
        self.is_up = False
        self.peer_zone = ""
        self.peer_address: tuple[str, int] | None = None
        self.peer_position = 0
        self.last_received_at = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the preface on the connecting side."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        tune_socket(self._transport)
        self.peer_host = (self._transport.get_extra_info("peername") or ("",))[0]
        self.last_received_at = self._loop.time()
        if self._is_rejected:
            self._transport.abort()
            return
        self.is_up = True
        if self._stream is not None:
            self._transport.write(self._stream.preface)
            self._traffic = self._account.open("link_out", len(self._stream.preface))
        else:
            self._traffic = self._account.open("link_in")

    @property
    def congested(self) -> bool:
        """Report whether more than ``MAX_BUFFERED_BYTES`` wait to be sent."""
        return self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES

    @property
    def unwritten_bytes(self) -> int:
        """Return the bytes that the kernel has not taken yet."""
        if not self.is_up:
            return 0
        queued = sum(map(len, self._outgoing)) + self._bodies.unsent_bytes
        return queued + self._transport.get_write_buffer_size()

    def send(self, frame: Frame) -> None:
        """Queue a frame; the frames of one event loop iteration are written together.

        The frame is dropped if the connection has ended.
        """
        if not self.is_up:
            return
        if not self._outgoing:
            self._loop.call_soon(self._flush)
        data = encode_frame(frame, self._loop.time())
        self._traffic.sent.add(frame, len(data))
        self._outgoing.append(data)

    def takes_body(self, size: int) -> bool:
        """Report whether the peer takes a body of this size, in bytes."""
        return self.peer_takes_parts or size <= MAX_UNDIVIDED_BODY_BYTES

    def send_with_body(self, frame: CallFrame | ReplyFrame, body: bytes) -> None:
        """Queue a frame whose large body follows in parts, if the peer takes them."""
        if len(body) > MAX_WHOLE_BODY_BYTES and self.peer_takes_parts and self.is_up:
            self.send(replace(frame, body_size=len(body)))
            self._bodies.add(frame.call_id, body)
            if isinstance(frame, ReplyFrame):
                claim = self._memory.hold(Held.ANSWER, len(body))
                self._reply_claims[frame.call_id] = claim
        else:
            self.send(frame)

    def drop_body(self, call_id: int) -> None:
        """Send no more of the body of a call."""
        self._bodies.drop(call_id)
        self._free_reply(call_id)

    def _free_reply(self, call_id: int) -> None:
        claim = self._reply_claims.pop(call_id, None)
        if claim is not None:
            self._memory.release(claim)

    def _flush(self) -> None:
        outgoing, self._outgoing = self._outgoing, []
        if self.is_up and self._stream is not None and outgoing:
            self._write(b"".join(outgoing))
        self._send_parts()

    def _write(self, data: bytes) -> None:
        assert self._stream is not None
        encoded = self._stream.encode(data)
        self._traffic.sent.settle(len(encoded))
        self._transport.write(encoded)

    def _send_parts(self) -> None:
        """Write parts of bodies while the peer takes them."""
        for _ in range(PARTS_AT_ONCE):
            if self._write_paused or not self.is_up:
                return
            part = self._bodies.next_part()
            if part is None:
                return
            data = encode_frame(part, self._loop.time())
            self._traffic.sent.add(part, len(data))
            self._write(data)
            if not self._bodies.has(part.call_id):
                self._free_reply(part.call_id)
        if not self._outgoing:
            self._loop.call_soon(self._flush)

    def pause_writing(self) -> None:
        """Send no parts of bodies while the peer takes none."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Send parts of bodies again."""
        self._write_paused = False
        self._send_parts()

    def data_received(self, data: bytes) -> None:
        """Pass on the frames that are complete with these bytes."""
        self.last_received_at = self._loop.time()
        self._traffic.receive_bytes(len(data))
        try:
            if self._stream is None:
                self._stream = stream_from_preface(data[:1])
                data = data[1:]
            for piece in self._stream.decode(data):
                self._receive(piece)
        except PeerError as exc:
            log.warning("link_malformed", error=str(exc))
            self.close()

    def _receive(self, data: bytes) -> None:
        """Handle the frames that are complete with these decoded bytes."""
        frames = self._reader.feed(data, self.last_received_at)
        self._count_incomplete_frame()
        self._traffic.receive_frames(frames, self._reader.sizes)
        for frame in frames:
            self.has_frames = True
            if isinstance(frame, ProbeFrame):
                self.peer_zone = self._traffic.zone = frame.zone
                self.peer_position = frame.members_version
                self.peer_takes_parts = frame.takes_parts
                if frame.sender is not None:
                    self.peer_address = frame.sender.address
            self._on_frame(self, frame)

    def _count_incomplete_frame(self) -> None:
        """Count a large frame that is arriving.

        Raises:
            PeerError: There is no memory for it.
        """
        size, claim = self._reader.buffered_bytes, self._frame_claim
        if claim is None and size <= SMALL_FRAME_BYTES:
            return
        if claim is None:
            claim = self._frame_claim = self._memory.hold(Held.CALL, 0)
        owned = claim.size
        if size > owned and not self._memory.has_room(Held.CALL, size - owned, owned):
            raise PeerError("no memory for a large frame; raise limits.memory_mb")
        self._memory.resize(claim, size)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self.is_up = False
        if self._frame_claim is not None:
            self._memory.release(self._frame_claim)
        for call_id in list(self._reply_claims):
            self._free_reply(call_id)
        self._account.close(self._traffic)
        self._on_lost(self)

    def close(self) -> None:
        """Abort the connection without sending what is buffered."""
        self._is_rejected = True
        if self.is_up:
            self._transport.abort()
