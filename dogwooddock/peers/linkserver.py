"""Acceptance of links from other nodes, whose calls go to this node's gate."""

__all__ = ["LinkServer"]

import asyncio
import socket

from ..listening import LISTEN_BACKLOG, Address, bind_socket
from ..mesh.calls import MeshReply
from ..mesh.gate import Gate
from ..mesh.gatecalls import GateCall
from ..policy.heldbytes import SMALL_BODY_BYTES, Held, HeldBytes, MemoryClaim
from ..policy.outcomes import Outcome, Reason
from .linkcodec import CallFrame, CancelFrame, Frame, ProbeFrame, ReplyFrame
from .links import Link, LinkHandler


class _InboundLink:
    """Pass the calls that one other node sends to this node's gate."""

    def __init__(
        self,
        gate: Gate,
        handler: LinkHandler,
        links: set["_InboundLink"],
        memory: HeldBytes,
    ):
        self._gate = gate
        self._handler = handler
        self._memory = memory
        self._claims: dict[int, MemoryClaim] = {}
        self._links = links
        self._calls: dict[int, GateCall] = {}
        self.link = Link(self._on_frame, self._on_lost, handler.traffic)
        links.add(self)

    def _on_frame(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, CallFrame):
            self._handler.on_config_version(link, frame.config_version)
            self._submit(frame)
        elif isinstance(frame, CancelFrame):
            call = self._calls.pop(frame.call_id, None)
            if call is not None:
                self._gate.cancel(call)
                self._free(frame.call_id)
        else:
            if isinstance(frame, ProbeFrame) and not frame.reply:
                link.send(self._handler.answer(frame))
            self._handler.on_frame(link, frame)

    def _submit(self, frame: CallFrame) -> None:
        call_id = frame.call_id
        if not self._hold_body(call_id, len(frame.call.body)):
            reply = MeshReply(Outcome.NOT_RUN, Reason.OVERLOAD)
            reply.load = self._gate.load(frame.call.route)
            version = self._handler.config_version()
            self.link.send(ReplyFrame(call_id, reply, version))
            return

        def on_reply(reply: MeshReply) -> None:
            self._calls.pop(call_id, None)
            self._free(call_id)
            version = self._handler.config_version()
            self.link.send(ReplyFrame(call_id, reply, version))

        call = self._gate.submit(frame.call, on_reply)
        if not call.finished:
            self._calls[call_id] = call

    def _hold_body(self, call_id: int, size: int) -> bool:
        """Count the body of a call; return whether there is room for it."""
        if size <= SMALL_BODY_BYTES:
            return True
        if not self._memory.has_room(Held.CALL, size):
            self._memory.refusals[Held.CALL] += 1
            return False
        self._claims[call_id] = self._memory.hold(Held.CALL, size)
        return True

    def _free(self, call_id: int) -> None:
        claim = self._claims.pop(call_id, None)
        if claim is not None:
            self._memory.release(claim)

    def _on_lost(self, link: Link) -> None:
        self._links.discard(self)
        calls, self._calls = self._calls, {}
        for call in calls.values():
            self._gate.cancel(call)
        for call_id in list(self._claims):
            self._free(call_id)


class LinkServer:
    """Accept links from other nodes.

    Args:
        gate: Gate that receives the calls of other nodes.
        handler: State and callbacks of this node.
        memory: Budget for the bodies of calls; without a limit if it is None.
    """

    def __init__(
        self, gate: Gate, handler: LinkHandler, memory: HeldBytes | None = None
    ):
        self._gate = gate
        self._memory = memory or HeldBytes()
        self._handler = handler
        self._links: set[_InboundLink] = set()
        self._server: asyncio.Server | None = None

    async def start(self, where: Address | socket.socket) -> Address:
        """Start listening on an address or a bound socket; return the address."""
        sock = where if isinstance(where, socket.socket) else bind_socket(where)
        self._server = await asyncio.get_running_loop().create_server(
            self._create_link,
            sock=sock,
            backlog=LISTEN_BACKLOG,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def _create_link(self) -> Link:
        inbound = _InboundLink(self._gate, self._handler, self._links, self._memory)
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
