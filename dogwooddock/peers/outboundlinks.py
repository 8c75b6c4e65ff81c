"""Links to other nodes that carry this node's calls, and connect again on demand."""

__all__ = ["OutboundLink"]

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from ..mesh.calls import MeshCall, MeshReply
from ..policy.heldbytes import Held, MemoryClaim
from ..policy.outcomes import Outcome, Reason
from .linkbodies import IncomingBodies
from .linkcodec import CallFrame, CancelFrame, Frame, PartFrame, ProbeFrame, ReplyFrame
from .links import Link, LinkHandler
from .linkstream import DeflateStream, PlainStream

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

log = structlog.get_logger()


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
