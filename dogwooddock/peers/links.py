"""Links between nodes: multiplexed connections that carry many calls at once."""

__all__ = ["Link", "LinkHandler", "OutboundLink"]

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import cast

import structlog

from ..errors import PeerError
from ..http1.sockets import tune_socket
from ..mesh.calls import MeshCall, MeshReply
from ..policy.heldbytes import Held, HeldBytes, MemoryClaim
from ..policy.outcomes import Outcome, Reason
from .linkbodies import MAX_WHOLE_BODY_BYTES, IncomingBodies, OutgoingBodies
from .linkcodec import (
    CallFrame,
    CancelFrame,
    Frame,
    FrameReader,
    PartFrame,
    ProbeFrame,
    ReplyFrame,
    encode_frame,
)
from .linkstream import DeflateStream, LinkStream, PlainStream, stream_from_preface
from .traffic import LinkTraffic, TrafficAccount

CONNECT_TIMEOUT_S = 0.7
# Backoff after a failed attempt to connect; doubled after each further failure.
REDIAL_FIRST_S = 0.05
REDIAL_MAX_S = 1.0
# A link is probed after this long without received data: PROBE_AFTER_BUSY_S while
# calls wait for replies, PROBE_AFTER_IDLE_S otherwise.
PROBE_AFTER_IDLE_S = 5.0
PROBE_AFTER_BUSY_S = 0.4
# A link with waiting calls is closed after this long without received data. Any link is
# closed if a probe is unanswered for DEAD_AFTER_S - PROBE_AFTER_BUSY_S.
DEAD_AFTER_S = 1.3
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
        else:
            self.send(frame)

    def drop_body(self, call_id: int) -> None:
        """Send no more of the body of a call."""
        self._bodies.drop(call_id)

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
        self._account.close(self._traffic)
        self._on_lost(self)

    def close(self) -> None:
        """Abort the connection without sending what is buffered."""
        self._is_rejected = True
        if self.is_up:
            self._transport.abort()


@dataclass(slots=True)
class _PendingCall:
    on_reply: Callable[[MeshReply], None]


class OutboundLink:
    """Send calls to one other node over a link that reconnects on demand.

    ``dial`` connects in the background; ``check_liveness`` must be called regularly.

    Args:
        address: Peer address of the other node.
        handler: State and callbacks of this node.
        compressed: Whether to compress, which saves bandwidth at the cost of CPU time.
        on_change: Called when the link was connected or lost.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: LinkHandler,
        compressed: bool = False,
        on_change: Callable[[], None] = lambda: None,
    ):
        self.address = address
        self._on_change = on_change
        self._stream_type = DeflateStream if compressed else PlainStream
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._link: Link | None = None
        self._pending: dict[int, _PendingCall] = {}
        self._replies = IncomingBodies()
        self._claims: dict[int, MemoryClaim] = {}
        self._last_call_id = 0
        self._redial_s = REDIAL_FIRST_S
        self._redial_at = 0.0
        self._dialing = False
        self._closed = False
        self._probe_sent_at = 0.0
        self.peer_accepting = True
        self.peer_store_lost = False
        self.next_check_at = 0.0

    @property
    def peer_zone(self) -> str:
        """Return the availability zone of the peer; empty until its first probe."""
        return self._link.peer_zone if self._link is not None else ""

    @property
    def last_received_at(self) -> float:
        """Return the loop time of the last received data, in seconds; 0 if none."""
        return self._link.last_received_at if self._link is not None else 0.0

    @property
    def is_up(self) -> bool:
        """Report whether the link is connected and not congested."""
        link = self._link
        return link is not None and link.is_up and not link.congested

    @property
    def is_connected(self) -> bool:
        """Report whether the link is connected, congested or not."""
        return self._link is not None and self._link.is_up

    @property
    def last_dial_failed(self) -> bool:
        """Report whether the last attempt to connect failed."""
        return self._redial_s > REDIAL_FIRST_S

    def dial(self) -> None:
        """Connect in the background unless connected, connecting or in backoff."""
        if self._dialing or self._closed or self._loop.time() < self._redial_at:
            return
        if self._link is not None and self._link.is_up:
            return
        self._dialing = True
        self._loop.create_task(self._dial())

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await self._loop.create_connection(
                    self._create_link, *self.address
                )
        except OSError as exc:
            self._redial_at = self._loop.time() + self._redial_s
            if not self.last_dial_failed:
                log.info("peer_unreachable", peer=self.address[0], error=repr(exc))
            self._redial_s = min(REDIAL_MAX_S, self._redial_s * 2)
            return
        finally:
            self._dialing = False
        if self.last_dial_failed:
            log.info("peer_reached", peer=self.address[0])
        self._redial_s = REDIAL_FIRST_S
        self.peer_accepting = True
        self.peer_store_lost = False
        link.peer_address = self.address
        self._link = link
        self._on_change()
        self.probe()

    def _create_link(self) -> Link:
        account = self._handler.traffic
        memory = self._handler.memory
        return Link(self._on_frame, self._on_lost, account, memory, self._stream_type())

    def call(self, call: MeshCall, on_reply: Callable[[MeshReply], None]) -> int:
        """Send a call on a connected link and return its call id.

        ``on_reply`` is called once with the reply, or with an unknown outcome if the
        link is lost; it is not called after ``cancel``.
        """
        link = self._link
        assert link is not None
        self.next_check_at = 0.0
        self._last_call_id += 1
        call_id = self._last_call_id
        self._pending[call_id] = _PendingCall(on_reply)
        frame = CallFrame(call_id, call, self._handler.config_version())
        link.send_with_body(frame, call.body)
        return call_id

    def takes_body(self, size: int) -> bool:
        """Report whether the peer takes a body of this size, in bytes."""
        return self._link is not None and self._link.takes_body(size)

    def cancel(self, call_id: int) -> None:
        """Tell the peer's gate that the reply to a call is no longer awaited."""
        if self._pending.pop(call_id, None) is not None and self._link is not None:
            self._link.drop_body(call_id)
            self._link.send(CancelFrame(call_id))
        self._replies.drop(call_id)
        self._free(call_id)

    def send(self, frame: Frame) -> None:
        """Send a frame if the link is connected, else drop it."""
        if self._link is not None:
            self._link.send(frame)

    def _on_frame(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, ReplyFrame):
            self._handler.on_config_version(link, frame.config_version)
            self._on_reply(link, frame)
            return
        if isinstance(frame, PartFrame):
            whole = self._replies.add(frame)
            if isinstance(whole, ReplyFrame):
                self._finish(whole)
            return
        if isinstance(frame, ProbeFrame):
            self.peer_accepting = frame.accepting
            self.peer_store_lost = frame.store_lost
        self._handler.on_frame(link, frame)

    def _on_reply(self, link: Link, frame: ReplyFrame) -> None:
        # A call may be refused before all of its body is sent.
        link.drop_body(frame.call_id)
        if not frame.body_size:
            self._finish(frame)
        elif frame.call_id in self._pending:
            self._replies.begin(frame)
            claim = self._handler.memory.hold(Held.ANSWER, frame.body_size)
            self._claims[frame.call_id] = claim

    def _finish(self, frame: ReplyFrame) -> None:
        self._free(frame.call_id)
        pending = self._pending.pop(frame.call_id, None)
        if pending is not None:
            pending.on_reply(frame.reply)

    def _free(self, call_id: int) -> None:
        claim = self._claims.pop(call_id, None)
        if claim is not None:
            self._handler.memory.release(claim)

    def _on_lost(self, link: Link) -> None:
        if self._link is not link:
            return
        self._link = None
        self._on_change()
        self.next_check_at = 0.0
        self._replies.clear()
        for call_id in list(self._claims):
            self._free(call_id)
        pending, self._pending = self._pending, {}
        if pending:
            log.info("peer_lost", peer=self.address[0], calls=len(pending))
        for pending_call in pending.values():
            pending_call.on_reply(
                MeshReply(Outcome.UNKNOWN, Reason.PEER_FAILED, reached=True)
            )

    def check_liveness(self, now: float, idle_probe_s: float) -> None:
        """Probe a link that received nothing for a while; close it if no reply comes.

        Args:
            now: Current loop time, in seconds.
            idle_probe_s: Silence after which a link without calls is probed, in
                seconds.
        """
        link = self._link
        if now < self.next_check_at or link is None or not link.is_up:
            return
        silent_s = now - link.last_received_at
        probe_unanswered = self._probe_sent_at > link.last_received_at
        if (
            probe_unanswered
            and now - self._probe_sent_at > DEAD_AFTER_S - PROBE_AFTER_BUSY_S
        ):
            log.info("peer_silent", peer=self.address[0], silent_s=round(silent_s, 2))
            link.close()
            return
        probe_after_s = PROBE_AFTER_BUSY_S if self._pending else idle_probe_s
        if silent_s > probe_after_s and not probe_unanswered:
            self.probe()
        elif not self._pending and not probe_unanswered:
            self.next_check_at = link.last_received_at + idle_probe_s

    def probe(self) -> None:
        """Send this node's state; the peer replies with its own."""
        if self._link is not None:
            self._probe_sent_at = self._loop.time()
            self.next_check_at = 0.0
            position = self._link.peer_position
            self._link.send(self._handler.probe(reply=False, peer_position=position))

    def probe_once(self) -> None:
        """Probe the peer, unless an earlier probe still awaits its answer."""
        link = self._link
        if link is not None and self._probe_sent_at <= link.last_received_at:
            self.probe()

    def close(self) -> None:
        """Close the link permanently; it is not dialled again."""
        self._closed = True
        if self._link is not None:
            self._link.close()
