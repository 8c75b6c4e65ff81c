"""HTTP/1.1 server connections on an event loop."""

__all__ = ["Exchange", "HttpServer", "ServerLimits"]

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import structlog

from .messages import HttpProblem, Request, RequestParser, render_response
from .sockets import tune_socket

MAX_PIPELINED = 64
SWEEP_PERIOD_S = 0.5
SLOW_READER_TIMEOUT_S = 10.0
WRITE_HIGH_BYTES = 256 * 1024
BACKLOG = 1024
RESET_DELAY_S = 0.01

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds on what a client may send.

    Args:
        max_header_bytes: Largest header block, in bytes.
        max_body_bytes: Largest body, in bytes.
        header_timeout_s: Time to send a request's headers, in seconds.
        idle_timeout_s: Time between requests, in seconds.
    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class Exchange:
    """One request of a connection and the place of its response.

    Args:
        request: The whole request.
        conn: Connection that it came on.
        arrived_at: Loop time of its last byte, in seconds.
    """

    __slots__ = ("_conn", "_rendered", "arrived_at", "on_gone", "request")

    def __init__(self, request: Request, conn: "_Connection", arrived_at: float):
        self.request = request
        self.arrived_at = arrived_at
        self.on_gone: Callable[[], None] | None = None
        self._conn = conn
        self._rendered: tuple[int, bytes, bytes] | None = None

    @property
    def answered(self) -> bool:
        """Report whether a response was given."""
        return self._rendered is not None

    @property
    def gone(self) -> bool:
        """Report whether the client has left."""
        return self._conn.closed

    @property
    def conn_id(self) -> int:
        """Return a number of the connection, the same for all its requests."""
        return id(self._conn)

    @property
    def peer_host(self) -> str:
        """Return the address that the request came from."""
        return self._conn.peer_host

    def respond(self, status: int, block: bytes, body: bytes) -> None:
        """Answer; the response is written when those before it are.

        Args:
            status: Status code.
            block: Rendered headers, without lengths and connection options.
            body: Whole body.
        """
        if self._rendered is None:
            self._rendered = (status, block, body)
            self._conn.flush()

    def write_raw(self, data: bytes, close: bool = False, reset: bool = False) -> None:
        """Write bytes as they are, as a faulty server does.

        Args:
            data: Bytes to write.
            close: Whether the connection ends after them.
            reset: Whether the connection is reset after them.
        """
        self._conn.write_raw(self, data, close, reset)


Handler = Callable[[Exchange], None]


class _Connection(asyncio.Protocol):
    def __init__(self, server: "HttpServer"):
        self._server = server
        self._parser = RequestParser(
            server.limits.max_header_bytes, server.limits.max_body_bytes
        )
        self._pending: deque[Exchange] = deque()
        self._paused_at: float | None = None
        self._last_request = False
        self._loop = asyncio.get_running_loop()
        self._active_at = self._loop.time()
        self._transport: asyncio.Transport
        self.closed = False
        self.peer_host = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        tune_socket(self._transport)
        peer = self._transport.get_extra_info("peername")
        self.peer_host = peer[0] if peer else ""
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._last_request:
            return
        self._active_at = self._loop.time()
        try:
            requests = self._parser.feed(data)
        except HttpProblem as exc:
            self._reject(exc)
            return
        if self._parser.wants_continue and not self._pending:
            self._parser.wants_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        for request in requests:
            self._accept(request)

    def _accept(self, request: Request) -> None:
        if self._last_request:
            return
        exchange = Exchange(request, self, self._active_at)
        self._pending.append(exchange)
        self._last_request = not request.keep_alive
        if len(self._pending) >= MAX_PIPELINED:
            self._transport.pause_reading()
        try:
            self._server.handler(exchange)
        except Exception:
            # A fault of ours must not cost the other requests of the connection.
            log.exception("handler_failed", path=request.path.decode("latin-1"))
            exchange.respond(502, b"", b"the node failed; the request may have run\n")

    def _reject(self, problem: HttpProblem) -> None:
        exchange = Exchange(Request(keep_alive=False), self, self._active_at)
        self._pending.append(exchange)
        self._last_request = True
        exchange.respond(problem.status, b"", f"{problem}\n".encode())

    def flush(self) -> None:
        """Write the responses that are due, in the order of the requests."""
        pending = self._pending
        while pending and pending[0].answered and not self.closed:
            rendered = pending.popleft()._rendered
            assert rendered is not None
            if self._server.draining and not pending and not self._parser.begun:
                self._last_request = True
            close = self._last_request and not pending
            self._transport.write(render_response(*rendered, close))
            self._active_at = self._loop.time()
            if close:
                self._transport.close()
                return
        if len(pending) < MAX_PIPELINED and self._paused_at is None:
            self._transport.resume_reading()

    def write_raw(
        self, exchange: Exchange, data: bytes, close: bool, reset: bool
    ) -> None:
        """Write bytes as they are, in place of an exchange's response."""
        if exchange in self._pending:
            self._pending.remove(exchange)
        if self.closed:
            return
        self._transport.write(data)
        if close:
            self._transport.close()
        elif reset:
            self._loop.call_later(RESET_DELAY_S, self.abort)

    def abort(self) -> None:
        """Reset the connection."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self.closed:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self._transport.abort()

    def pause_writing(self) -> None:
        self._paused_at = self._loop.time()
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._paused_at = None
        self._transport.resume_reading()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._server.connections.discard(self)
        for exchange in self._pending:
            if not exchange.answered and exchange.on_gone is not None:
                exchange.on_gone()
        self._pending.clear()

    def sweep(self, now: float) -> None:
        """Apply the timeouts and, while draining, close what is idle."""
        if self._paused_at is not None:
            if now - self._paused_at > SLOW_READER_TIMEOUT_S:
                self._transport.abort()
            return
        if self._pending:
            return
        idle_s = now - self._active_at
        limits = self._server.limits
        if self._parser.begun:
            if idle_s > limits.header_timeout_s:
                self._reject(HttpProblem(408, "the request is incomplete; resend it"))
        elif idle_s > limits.idle_timeout_s or self._server.closing_idle:
            self._transport.close()


class HttpServer:
    """Listen on an address and hand whole requests to a function.

    Args:
        handler: Called with each exchange on the event loop; it must not block.
        limits: Bounds on what clients may send.
    """

    def __init__(self, handler: Handler, limits: ServerLimits | None = None):
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.connections: set[_Connection] = set()
        self.draining = False
        self.closing_idle = False
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen; return the bound address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self),
            *address,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self._sweeper = loop.create_task(self._sweep())
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            for conn in list(self.connections):
                conn.sweep(loop.time())

    def close_idle(self) -> None:
        """Close each connection once it has no request in progress."""
        self.draining = True
        self.closing_idle = True
        now = asyncio.get_running_loop().time()
        for conn in list(self.connections):
            conn.sweep(now)

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()

    def stop(self) -> None:
        """Stop listening and sweeping."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
