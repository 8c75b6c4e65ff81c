"""Acceptance of links from other nodes, whose calls go to this node's gate."""

__all__ = ["LinkServer"]

import asyncio
import socket

import structlog

from ..listening import ACCEPTED_AT_ONCE, LISTEN_BACKLOG, Address, bind_socket
from ..mesh.calls import MeshCall, MeshReply
from ..mesh.gate import Gate
from ..mesh.gatecalls import GateCall
from ..policy.heldbytes import (
    SMALL_BODY_BYTES,
    Held,
    HeldBytes,
    MemoryClaim,
    request_cost,
)
from ..policy.outcomes import Outcome, Reason
from .linkbodies import IncomingBodies
from .linkcodec import (
    CallFrame,
    CancelFrame,
    Frame,
    PartFrame,
    ProbeFrame,
    ReplyFrame,
)
from .links import Link, LinkHandler

MAX_LINKS = 1024
# Time in which a node that has connected sends its first frame.
FIRST_FRAME_TIMEOUT_S = 5.0

log = structlog.get_logger()


class _InboundLink:
    """Pass the calls that one other node sends to this node's gate."""

    def __init__(
        self,
        gate: Gate,
        handler: LinkHandler,
        links: dict["_InboundLink", None],
        memory: HeldBytes,
    ):
        self._loop = asyncio.get_running_loop()
        self._gate = gate
        self._handler = handler
        self._memory = memory
        self._claims: dict[int, MemoryClaim] = {}
        self._links = links
        self._calls: dict[int, GateCall] = {}
        self._bodies = IncomingBodies()
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self.link = Link(self._on_frame, self._on_lost, handler.traffic, memory)
        links[self] = None

    def _on_frame(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, CallFrame):
            self._handler.on_config_version(link, frame.config_version)
            self._receive(frame)
        elif isinstance(frame, PartFrame):
            whole = self._bodies.add(frame)
            if isinstance(whole, CallFrame):
                self._end_timer(whole.call_id)
                self._submit(whole)
        elif isinstance(frame, CancelFrame):
            self._cancel(frame.call_id)
        else:
            if isinstance(frame, ProbeFrame) and not frame.reply:
                link.send(self._handler.answer(frame))
            self._handler.on_frame(link, frame)
            if link.congested:
                log.warning("peer_reads_too_slowly", peer=link.peer_host)
                link.close()

    def _receive(self, frame: CallFrame) -> None:
        """Submit a call, or wait for its body."""
        call_id, call = frame.call_id, frame.call
        if not self._hold(call_id, call, frame.body_size or len(call.body)):
            reply = MeshReply(Outcome.NOT_RUN, Reason.OVERLOAD)
            reply.load = self._gate.load(call.route)
            version = self._handler.config_version()
            self.link.send(ReplyFrame(call_id, reply, version))
        elif frame.body_size:
            self._bodies.begin(frame)
            self._timers[call_id] = self._loop.call_at(
                call.deadline, self._cancel, call_id
            )
        else:
            self._submit(frame)

    def _submit(self, frame: CallFrame) -> None:
        call_id = frame.call_id

        def on_reply(reply: MeshReply) -> None:
            self._calls.pop(call_id, None)
            self._free(call_id)
            version = self._handler.config_version()
            self.link.send_with_body(ReplyFrame(call_id, reply, version), reply.body)

        call = self._gate.submit(frame.call, on_reply)
        if not call.finished:
            self._calls[call_id] = call

    def _cancel(self, call_id: int) -> None:
        """End a call whose reply is no longer awaited."""
        self.link.drop_body(call_id)
        self._bodies.drop(call_id)
        self._end_timer(call_id)
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._gate.cancel(call)
        self._free(call_id)

    def _end_timer(self, call_id: int) -> None:
        timer = self._timers.pop(call_id, None)
        if timer is not None:
            timer.cancel()

    def _hold(self, call_id: int, call: MeshCall, size: int) -> bool:
        """Count a call; return whether there is room for it."""
        cost = request_cost(len(call.headers) + len(call.path), size)
        if size <= SMALL_BODY_BYTES:
            claim = self._memory.hold_small(Held.CALL, cost)
            if claim is None:
                return False
        elif self._memory.has_room(Held.CALL, cost):
            claim = self._memory.hold(Held.CALL, cost)
        else:
            self._memory.refusals[Held.CALL] += 1
            return False
        self._claims[call_id] = claim
        return True

    def _free(self, call_id: int) -> None:
        claim = self._claims.pop(call_id, None)
        if claim is not None:
            self._memory.release(claim)

    def _on_lost(self, link: Link) -> None:
        self._links.pop(self, None)
        calls, self._calls = self._calls, {}
        for call in calls.values():
            self._gate.cancel(call)
        self._bodies.clear()
        for call_id in list(self._timers):
            self._end_timer(call_id)
        for call_id in list(self._claims):
            self._free(call_id)


def _close_if_silent(inbound: _InboundLink) -> None:
    if not inbound.link.has_frames:
        inbound.link.close()


class LinkServer:
    """Accept links from other nodes.

    Args:
        gate: Gate that receives the calls of other nodes.
        handler: State and callbacks of this node.
        memory: Budget for calls; without a limit if it is None.
        max_links: Most open links; beyond them, the oldest one that has sent nothing
            yet is closed, or else the new one.
    """

    def __init__(
        self,
        gate: Gate,
        handler: LinkHandler,
        memory: HeldBytes | None = None,
        max_links: int = MAX_LINKS,
    ):
        self._gate = gate
        self._memory = memory or HeldBytes()
        self._handler = handler
        self._max_links = max_links
        self._links: dict[_InboundLink, None] = {}
        self._server: asyncio.Server | None = None

    async def start(self, where: Address | socket.socket) -> Address:
        """Start listening on an address or a bound socket; return the address."""
        sock = where if isinstance(where, socket.socket) else bind_socket(where)
        self._server = await asyncio.get_running_loop().create_server(
            self._create_link, sock=sock, backlog=ACCEPTED_AT_ONCE
        )
        sock.listen(LISTEN_BACKLOG)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def _create_link(self) -> Link:
        inbound = _InboundLink(self._gate, self._handler, self._links, self._memory)
        asyncio.get_running_loop().call_later(
            FIRST_FRAME_TIMEOUT_S, _close_if_silent, inbound
        )
        if len(self._links) > self._max_links:
            silent = (other for other in self._links if not other.link.has_frames)
            surplus = next(silent)  # The new one at least.
            del self._links[surplus]
            surplus.link.close()
        return inbound.link

    @property
    def unwritten_bytes(self) -> int:
        """Return the bytes of replies and other frames that links have not taken."""
        return sum(inbound.link.unwritten_bytes for inbound in self._links)

    def broadcast(self, frame: Frame, zone: str = "", max_links: int = 0) -> None:
        """Send a frame to the nodes that have connected to this one.

        Args:
            frame: Frame to send.
            zone: Availability zone whose nodes get the frame; empty for all zones.
            max_links: Maximum number of links to send it on; 0 for no limit.
        """
        links = [inbound.link for inbound in self._links]
        if zone:
            links = [link for link in links if link.peer_zone == zone]
        for link in links[:max_links] if max_links else links:
            link.send(frame)

    def stop(self) -> None:
        """Stop listening and close every link."""
        if self._server is not None:
            self._server.close()
        for inbound in list(self._links):
            inbound.link.close()
