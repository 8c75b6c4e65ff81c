"""Links between nodes: one connection carries many calls at once."""

__all__ = ["LinkServer", "OutboundLink", "PeerState"]

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import structlog

from ..errors import PeerError
from ..http1.sockets import tune_socket
from ..mesh.calls import MeshCall, MeshReply
from ..mesh.gate import Gate
from ..mesh.gatecalls import GateCall
from ..policy.outcomes import Outcome, Reason
from .linkcodec import (
    Cancel,
    Frame,
    FrameReader,
    NumberedCall,
    NumberedReply,
    Probe,
    encode_frame,
)
from .linkstream import DeflateStream, LinkStream, PlainStream, stream_for

CONNECT_TIMEOUT_S = 0.7
REDIAL_FIRST_S = 0.05
REDIAL_MAX_S = 1.0
PROBE_IDLE_S = 5.0
PROBE_BUSY_S = 0.4
SILENT_AFTER_S = 1.3
MAX_BUFFERED_BYTES = 8 * 1024 * 1024

log = structlog.get_logger()


class PeerState(ABC):
    """What a node tells its peers, and what it does with what they say."""

    @abstractmethod
    def config_version(self) -> int:
        """Return the version of the configuration in force."""

    @abstractmethod
    def probe(self, reply: bool) -> Probe:
        """Return a sign of life of this node."""

    @abstractmethod
    def on_frame(self, link: "Link", frame: Frame) -> None:
        """Take a frame other than a call or a reply."""

    @abstractmethod
    def on_config_version(self, link: "Link", version: int) -> None:
        """Take the configuration version of a peer."""


class Link(asyncio.Protocol):
    """Frames over one connection.

    Args:
        on_frame: Called with each frame.
        on_lost: Called when the connection has ended.
        stream: How bytes are packed; None takes what the other side names.
    """

    def __init__(
        self,
        on_frame: Callable[["Link", Frame], None],
        on_lost: Callable[["Link"], None],
        stream: LinkStream | None = None,
    ):
        self._loop = asyncio.get_running_loop()
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._reader = FrameReader()
        self._stream = stream
        self._outgoing: list[bytes] = []
        self._transport: asyncio.Transport
        self.is_up = False
        self.peer_zone = ""
        self.heard_at = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        tune_socket(self._transport)
        self.heard_at = self._loop.time()
        self.is_up = True
        if self._stream is not None:
            self._transport.write(self._stream.preface)

    @property
    def congested(self) -> bool:
        """Report whether the peer does not read."""
        return self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES

    def send(self, frame: Frame) -> None:
        """Queue a frame; frames of one turn of the loop leave together."""
        if not self.is_up:
            return
        if not self._outgoing:
            self._loop.call_soon(self._flush)
        self._outgoing.append(encode_frame(frame, self._loop.time()))

    def _flush(self) -> None:
        outgoing, self._outgoing = self._outgoing, []
        if self.is_up and self._stream is not None:
            self._transport.write(self._stream.pack(b"".join(outgoing)))

    def data_received(self, data: bytes) -> None:
        self.heard_at = self._loop.time()
        try:
            if self._stream is None:
                self._stream = stream_for(data[:1])
                data = data[1:]
            frames = self._reader.feed(self._stream.unpack(data), self.heard_at)
        except PeerError as exc:
            log.warning("link_malformed", error=str(exc))
            self.close()
            return
        for frame in frames:
            if isinstance(frame, Probe):
                self.peer_zone = frame.zone
            self._on_frame(self, frame)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_up = False
        self._on_lost(self)

    def close(self) -> None:
        """Break the connection off."""
        if self.is_up:
            self._transport.abort()


@dataclass(slots=True)
class _Waiting:
    done: Callable[[MeshReply], None]


class OutboundLink:
    """Calls to one other node; it is dialled when needed and watched while in use.

    Args:
        address: Peer address of the node.
        state: This node's state.
        compressed: Whether bytes are worth more than the time to compress them.
    """

    def __init__(
        self, address: tuple[str, int], state: PeerState, compressed: bool = False
    ):
        self.address = address
        self._stream_type = DeflateStream if compressed else PlainStream
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._link: Link | None = None
        self._waiting: dict[int, _Waiting] = {}
        self._next_number = 0
        self._redial_s = REDIAL_FIRST_S
        self._redial_at = 0.0
        self._dialing = False
        self._closed = False
        self._probed_at = 0.0
        self.peer_accepting = True
        self.peer_store_lost = False

    @property
    def peer_zone(self) -> str:
        """Return the peer's availability zone; empty while it is not known."""
        return self._link.peer_zone if self._link is not None else ""

    @property
    def is_up(self) -> bool:
        """Report whether calls can be sent now."""
        link = self._link
        return link is not None and link.is_up and not link.congested

    @property
    def failing(self) -> bool:
        """Report whether the last attempt to connect failed."""
        return self._redial_s > REDIAL_FIRST_S

    def dial(self) -> None:
        """Connect in the background unless connected or waiting to try again."""
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
                    lambda: Link(self._on_frame, self._on_lost, self._stream_type()),
                    *self.address,
                )
        except OSError as exc:
            self._redial_at = self._loop.time() + self._redial_s
            if not self.failing:
                log.info("peer_unreachable", peer=self.address[0], error=repr(exc))
            self._redial_s = min(REDIAL_MAX_S, self._redial_s * 2)
            return
        finally:
            self._dialing = False
        if self.failing:
            log.info("peer_reached", peer=self.address[0])
        self._redial_s = REDIAL_FIRST_S
        self.peer_accepting = True
        self.peer_store_lost = False
        self._link = link
        link.send(self._state.probe(reply=False))
        self._probed_at = self._loop.time()

    def call(self, call: MeshCall, done: Callable[[MeshReply], None]) -> int:
        """Send a call; return its number.

        ``done`` is called once with the reply, or with an unknown outcome if the
        link is lost.
        """
        link = self._link
        assert link is not None
        self._next_number += 1
        number = self._next_number
        self._waiting[number] = _Waiting(done)
        link.send(NumberedCall(number, call, self._state.config_version()))
        return number

    def cancel(self, number: int) -> None:
        """Tell the gate that nobody waits for a call."""
        if self._waiting.pop(number, None) is not None and self._link is not None:
            self._link.send(Cancel(number))

    def send(self, frame: Frame) -> None:
        """Send a frame if the link is up."""
        if self._link is not None:
            self._link.send(frame)

    def _on_frame(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, NumberedReply):
            self._state.on_config_version(link, frame.config_version)
            waiting = self._waiting.pop(frame.number, None)
            if waiting is not None:
                waiting.done(frame.reply)
            return
        if isinstance(frame, Probe):
            self.peer_accepting = frame.accepting
            self.peer_store_lost = frame.store_lost
        self._state.on_frame(link, frame)

    def _on_lost(self, link: Link) -> None:
        if self._link is not link:
            return
        self._link = None
        waiting, self._waiting = self._waiting, {}
        if waiting:
            log.info("peer_lost", peer=self.address[0], calls=len(waiting))
        for item in waiting.values():
            item.done(MeshReply(Outcome.UNKNOWN, Reason.PEER_FAILED, reached=True))

    def watch(self, now: float) -> None:
        """Probe a silent link and give up one that stays silent."""
        link = self._link
        if link is None or not link.is_up:
            return
        silent_s = now - link.heard_at
        probed_since = self._probed_at > link.heard_at
        if probed_since and now - self._probed_at > SILENT_AFTER_S - PROBE_BUSY_S:
            log.info("peer_silent", peer=self.address[0], silent_s=round(silent_s, 2))
            link.close()
            return
        limit_s = PROBE_BUSY_S if self._waiting else PROBE_IDLE_S
        if silent_s > limit_s and not probed_since:
            self._probed_at = now
            link.send(self._state.probe(reply=False))

    def close(self) -> None:
        """Close the link for good."""
        self._closed = True
        if self._link is not None:
            self._link.close()


class _InboundLink:
    """Calls that one other node sends to this node's gate."""

    def __init__(self, gate: Gate, state: PeerState, links: set["_InboundLink"]):
        self._gate = gate
        self._state = state
        self._links = links
        self._calls: dict[int, GateCall] = {}
        self.link = Link(self._on_frame, self._on_lost)
        links.add(self)

    def _on_frame(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, NumberedCall):
            self._state.on_config_version(link, frame.config_version)
            self._submit(frame)
        elif isinstance(frame, Cancel):
            call = self._calls.pop(frame.number, None)
            if call is not None:
                self._gate.cancel(call)
        else:
            if isinstance(frame, Probe) and not frame.reply:
                link.send(self._state.probe(reply=True))
            self._state.on_frame(link, frame)

    def _submit(self, frame: NumberedCall) -> None:
        number = frame.number

        def done(reply: MeshReply) -> None:
            self._calls.pop(number, None)
            version = self._state.config_version()
            self.link.send(NumberedReply(number, reply, version))

        call = self._gate.submit(frame.call, done)
        if not call.finished:
            self._calls[number] = call

    def _on_lost(self, link: Link) -> None:
        self._links.discard(self)
        calls, self._calls = self._calls, {}
        for call in calls.values():
            self._gate.cancel(call)


class LinkServer:
    """Accept links from other nodes.

    Args:
        gate: Gate that their calls go to.
        state: This node's state.
    """

    def __init__(self, gate: Gate, state: PeerState):
        self._gate = gate
        self._state = state
        self._links: set[_InboundLink] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen; return the bound address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _InboundLink(self._gate, self._state, self._links).link,
            *address,
            reuse_address=True,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def broadcast(self, frame: Frame, zone: str = "", most: int = 0) -> None:
        """Send a frame to the nodes that have a link to this one.

        Args:
            frame: What to send.
            zone: Availability zone to send it to; empty for all.
            most: Number of nodes to send it to; 0 for all.
        """
        links = [inbound.link for inbound in self._links]
        if zone:
            links = [link for link in links if link.peer_zone == zone]
        for link in links[:most] if most else links:
            link.send(frame)

    def stop(self) -> None:
        """Stop listening and close every link."""
        if self._server is not None:
            self._server.close()
        for inbound in list(self._links):
            inbound.link.close()
