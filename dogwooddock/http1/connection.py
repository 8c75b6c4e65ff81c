"""Server side of an HTTP/1.1 connection, with pipelining and timeouts."""

__all__ = ["Connection"]

import asyncio
import socket
import struct
from collections import deque
from typing import Any, cast

import structlog

from ..policy.halfclose import (
    HalfClosePolicy,
    PausedClient,
    client_while_paused,
    keeps_open,
)
from ..policy.heldbytes import Held, MemoryClaim
from .exchange import (
    NO_MEMORY_STATUS,
    RETRY_AFTER,
    ClientState,
    Exchange,
    ServerConnection,
    ServerState,
)
from .halfclose import INTERIM_RESPONSE, HalfCloseWatch, PausedInputWatch
from .inputmemory import RequestMemory
from .messages import HttpError, Request, render_response
from .pacedwriter import PacedWriter
from .requestparser import RequestParser
from .sockets import tune_socket

MAX_PIPELINED_REQUESTS = 64
# Requests of a connection that are handled before other connections have their turn.
REQUESTS_PER_TURN = 16
SLOW_READER_TIMEOUT_S = 10.0
# Time in which a client closes a connection after its last response.
LINGER_S = 1.0
READ_BYTES = 32 * 1024
# Longest wait of a request for memory for its body.
MEMORY_WAIT_S = 10.0
RESET_DELAY_S = 0.01

log = structlog.get_logger()


class Connection(asyncio.Protocol, ServerConnection):
    """Read requests, and write their responses in the same order.

    Args:
        server: State of the server that accepted the connection.
    """

    def __init__(self, server: ServerState):
        self._server = server
        self._parser = RequestParser(
            server.limits.max_header_bytes, server.limits.max_body_bytes
        )
        self._memory = RequestMemory(server.memory, self._parser, self._read_body)
        self._pending: deque[Exchange] = deque()
        self._refused: deque[Exchange] = deque()
        self._write_paused_at: float | None = None
        self._input_closed = False
        self._parsing = False
        self._turn_over = False
        self._lingering = False
        self._unwritten_claim: MemoryClaim | None = None
        self._waits_for_memory_since: float | None = None
        self._loop = asyncio.get_running_loop()
        self._last_activity_at = self._loop.time()
        # Of the incomplete request: its first byte, and the last one of its body.
        self._began_at = self._progress_at = self._last_activity_at
        # Of the bytes that came last, and of those that began the incomplete request.
        self._received_at = self._arrived_at = self._last_activity_at
        self._is_incomplete = False
        self._body_bytes = 0
        self._body_until = 0.0
        self._transport: asyncio.Transport
        self._writer: PacedWriter
        self.closed = False
        self.client_state = ClientState.OPEN
        self._half_close: HalfCloseWatch | None = None
        self._paused_watch: PausedInputWatch | HalfCloseWatch | None = None
        self.peer_host = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._writer = PacedWriter(self._transport)
        # Of asyncio's socket transports: the most that is read before a pause holds.
        cast(Any, self._transport).max_size = READ_BYTES
        tune_socket(self._transport, 2 * SLOW_READER_TIMEOUT_S)
        peer = self._transport.get_extra_info("peername")
        self.peer_host = peer[0] if peer else ""
        self._server.admit(self)

    def data_received(self, data: bytes) -> None:
        """Parse what the client sends, and handle the requests that it completes."""
        if self._input_closed and not self._parser.drops_body:
            return
        self._received_at = self._loop.time()
        self._parser.receive(data)
        self._process_input()

    # Input.

    def _process_input(self) -> None:
        """Handle the requests that have arrived, up to the limit of pipelined ones."""
        may_continue = not self._pending
        was_dropping = self._parser.drops_body
        self._parsing = True
        try:
            self._handle_requests()
        except HttpError as exc:
            self._reject(exc)
            return
        finally:
            self._parsing = False
        if self._parser.in_message:
            self._follow_incomplete(may_continue)
        else:
            self._end_incomplete()
            if was_dropping:
                self._close_if_done()
        if len(self._pending) >= self._max_pipelined:
            self._pause_reading()

    def _handle_requests(self) -> None:
        parser, server = self._parser, self._server
        for _ in range(REQUESTS_PER_TURN):
            if len(self._pending) >= self._max_pipelined:
                return
            if not parser.in_message:
                parser.max_header_bytes = server.limits.max_header_bytes
                parser.max_body_bytes = server.limits.max_body_bytes
            parser.refuses_head = self._refuses_head if server.head_check else None
            request = parser.next_request()
            if request is None:
                return
            self._handle_request(request)
            if self._input_closed and not parser.drops_body:
                parser.discard_input()
                return
        if parser.has_input:
            self._turn_over = True
            self._transport.pause_reading()
            self._loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        """Go on with what has arrived, after other connections."""
        self._turn_over = False
        self._resume_reading()

    @property
    def _max_pipelined(self) -> int:
        """Return how many requests of the connection may be in progress."""
        return 1 if self._server.memory.is_crowded else MAX_PIPELINED_REQUESTS

    def _follow_incomplete(self, may_continue: bool) -> None:
        """Record what has arrived of an incomplete request, and claim memory for it."""
        now, parser = self._loop.time(), self._parser
        if not self._is_incomplete:
            self._is_incomplete = True
            self._arrived_at = self._received_at
            self._began_at = self._progress_at = self._last_activity_at = now
            self._body_bytes = 0
            self._body_until = 0.0
            self._server.incomplete[self] = None
        if parser.in_body:
            self._follow_body(now)
        self._memory.follow()
        if self._memory.is_claimed:
            self._server.incomplete.pop(self, None)
            self._server.idle.pop(self, None)
        if self._memory.waits and self._waits_for_memory_since is None:
            self._waits_for_memory_since = now
            self._pause_reading()
        if may_continue:
            self._continue()
        self._server.relieve_memory()

    def _follow_body(self, now: float) -> None:
        parser = self._parser
        if not self._body_until:
            head = parser.partial_request()
            self._body_until = self._began_at + self._server.body_timeout_s(head)
            self._progress_at = now
        if parser.body_bytes != self._body_bytes:
            self._body_bytes = parser.body_bytes
            self._progress_at = now

    def _end_incomplete(self) -> None:
        self._is_incomplete = False
        self._server.incomplete.pop(self, None)

    def _continue(self) -> None:
        """Let a client send its body that awaits 100 Continue, if there is memory."""
        if self._parser.wants_continue and self._waits_for_memory_since is None:
            self._parser.wants_continue = False
            self._writer.write(INTERIM_RESPONSE)

    # Memory for bodies.

    def _read_body(self) -> None:
        """Read on, as there is memory for the body; its timeout starts anew."""
        self._waits_for_memory_since = None
        self._progress_at = self._loop.time()
        self._resume_reading()
        if not self._pending:
            self._continue()

    def _pause_reading(self) -> None:
        self._transport.pause_reading()
        if self._paused_watch is None and self._half_close is None:
            self._paused_watch = PausedInputWatch(self._transport, self._on_paused_look)

    def _resume_reading(self) -> None:
        """Handle what has arrived and read on, unless something still prevents it."""
        if self._parsing or self.closed:
            return
        if self._may_read and self._parser.has_input and not self._input_closed:
            self._process_input()
        if self._may_read:
            self._stop_paused_watch()
            self._transport.resume_reading()

    @property
    def _may_read(self) -> bool:
        return (
            not self._turn_over
            and self._waits_for_memory_since is None
            and self._write_paused_at is None
            and len(self._pending) < self._max_pipelined
        )

    def _free_claim(self, exchange: Exchange) -> None:
        claim, exchange.claim = exchange.claim, None
        if claim is not None:
            self._server.memory.release(claim)

    def _drop_incomplete_body(self) -> None:
        """Free the part of a request that has arrived, as the rest is not read."""
        self._parser.drop_body()  # The parser refers to itself.
        self._parser.discard_input()
        self._waits_for_memory_since = None
        self._end_incomplete()
        self._memory.release()

    def _count_unwritten(self) -> None:
        """Count what the client has not taken yet."""
        claim, size = self._unwritten_claim, self.unwritten_bytes
        memory = self._server.memory
        if claim is not None:
            memory.resize(claim, size)
        elif size:
            self._unwritten_claim = memory.hold(Held.ANSWER, size)

    def hold_answer(self, exchange: Exchange, size: int) -> None:
        """Count an answer that is ready, in place of its request."""
        self._free_claim(exchange)
        if self._pending and exchange is not self._pending[0]:
            # It waits for the answers to earlier requests.
            exchange.claim = self._server.memory.hold(Held.ANSWER, size)

    # Requests and responses.

    def _refuses_head(self, head: Request) -> bool:
        """Let the server answer a request from its head; return whether it did."""
        check = self._server.head_check
        if check is None or self._input_closed:
            return False
        exchange = Exchange(head, self, self._loop.time())
        try:
            check(exchange)
        except Exception:
            # The handler decides once the request is complete.
            log.exception("head_check_failed", path=head.path.decode("latin-1"))
        if exchange.answered:
            self._refused.append(exchange)
        return exchange.answered

    def _handle_request(self, request: Request) -> None:
        if self._input_closed:
            return
        # The client's time runs from when it began to send.
        arrived_at = self._arrived_at if self._is_incomplete else self._received_at
        self._last_activity_at = self._loop.time()
        refused = bool(self._refused) and self._refused[0].request is request
        exchange = (
            self._refused.popleft() if refused else Exchange(request, self, arrived_at)
        )
        self._end_incomplete()
        self._server.idle.pop(self, None)
        self._pending.append(exchange)
        self._input_closed = not request.keep_alive
        if refused:
            self.flush()
            return
        exchange.claim = self._memory.take(request)
        handler = self._server.handler
        if exchange.claim is None:
            handler = self._server.on_no_memory
        try:
            handler(exchange)
        except Exception:
            # A failing handler must not end the other requests of the connection.
            log.exception("handler_failed", path=request.path.decode("latin-1"))
            exchange.respond(502, b"", b"the node failed; the request may have run\n")

    def _reject(self, error: HttpError) -> None:
        if self._parser.drops_body or self._input_closed:
            # It is answered already, or follows the last request.
            self._parser.drops_body = False
            self._input_closed = True
            self._close_if_done()
            return
        self._drop_incomplete_body()
        exchange = Exchange(Request(keep_alive=False), self, self._loop.time())
        self._pending.append(exchange)
        self._input_closed = True
        block = RETRY_AFTER if error.status == NO_MEMORY_STATUS else b""
        exchange.respond(error.status, block, f"{error}\n".encode())

    def flush(self) -> None:
        """Write the responses that are ready, in the order of the requests."""
        pending = self._pending
        while pending and pending[0].answered and not self.closed:
            exchange = pending.popleft()
            response = exchange._response
            assert response is not None
            if self._server.draining and not pending and not self._parser.in_message:
                self._input_closed = True
            close = self._input_closed and not pending
            to_head = exchange.request.method == b"HEAD"
            self._writer.write(*render_response(*response, close, to_head))
            self._free_claim(exchange)
            self._last_activity_at = self._loop.time()
            self._count_unwritten()
            if close:
                self._close_if_done()
                return
        if not pending:
            self._server.idle[self] = None
            if isinstance(self._paused_watch, HalfCloseWatch):
                # An interim response may not follow the last response.
                self._stop_paused_watch()
        self._resume_reading()

    def _close_if_done(self) -> None:
        """Close once every request is answered and no discarded body is still arriving.

        A client whose connection is closed while it sends may lose the response.
        """
        if self._input_closed and not self._pending and not self._parser.drops_body:
            self._linger()

    def _linger(self) -> None:
        """End the responses, and discard what the client still sends until it closes.

        A close with unread data resets the connection, and the client could lose the
        response. After the end of input there is none.
        """
        if self._lingering or self.closed or self._transport.is_closing():
            return
        self._input_closed = self._lingering = True
        self._stop_paused_watch()
        self._drop_incomplete_body()
        if self._half_close is not None:
            self._transport.close()
            return
        self._writer.write_eof()
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def write_raw(
        self, exchange: Exchange, data: bytes, close: bool, reset: bool
    ) -> None:
        """Write unframed bytes in place of the response of an exchange."""
        if exchange in self._pending:
            self._pending.remove(exchange)
        if self.closed:
            return
        self._transport.write(data)
        if close:
            self._transport.close()
        elif reset:
            self._loop.call_later(RESET_DELAY_S, self.abort)

    @property
    def unwritten_bytes(self) -> int:
        """Return the bytes that the kernel has not taken yet."""
        return 0 if self.closed else self._writer.unwritten_bytes

    def write_before(self, data: bytes) -> None:
        """Write bytes ahead of the responses that are due."""
        if not self.closed:
            self._writer.write(data)

    def abort(self) -> None:
        """Close the connection with a TCP RST (SO_LINGER with timeout 0)."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self.closed:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self._transport.abort()

    def pause_writing(self) -> None:
        """Read no more while the client does not take its responses."""
        self._writer.pause()
        self._write_paused_at = self._loop.time()
        self._pause_reading()

    def resume_writing(self) -> None:
        """Read on, once the client has taken its responses."""
        self._write_paused_at = None
        self._writer.resume()
        self._count_unwritten()
        self._resume_reading()
        if self._server.closing_idle:
            self.sweep(self._loop.time())

    def eof_received(self) -> bool:
        """Answer the complete requests of a client that sends no more, then close."""
        self.client_state = ClientState.SENDS_NO_MORE
        if not self._keeps_open():
            return False
        self._input_closed = True
        self._parser.drops_body = False
        self._drop_incomplete_body()
        if self._half_close is None:
            self._half_close = self._watch_half_close()
        return True

    def _watch_half_close(self) -> HalfCloseWatch:
        policy = HalfClosePolicy(self._loop.time(), self._parser.http_version)
        return HalfCloseWatch(self._transport, policy, self._on_reset)

    def _on_paused_look(self, is_reset: bool, has_ended: bool) -> None:
        waiting = len(self._pending) + (self._waits_for_memory_since is not None)
        client = client_while_paused(is_reset, has_ended, waiting, self.unwritten_bytes)
        if client is PausedClient.GONE:
            self._on_reset()
        elif client is PausedClient.SENDS_NO_MORE:
            self._on_paused_end()

    def _on_paused_end(self) -> None:
        """Ask whether the client reads on; what is unread stays until it is read."""
        self.client_state = ClientState.SENDS_NO_MORE
        self._stop_paused_watch()
        if self._keeps_open():
            self._paused_watch = self._watch_half_close()
        else:
            self._transport.close()

    def _stop_paused_watch(self) -> None:
        if self._paused_watch is not None:
            self._paused_watch.stop()
            self._paused_watch = None

    def _keeps_open(self) -> bool:
        kept = any(
            exchange.must_be_answered is not None and exchange.must_be_answered()
            for exchange in self._pending
        )
        waiting = len(self._pending) + (self._waits_for_memory_since is not None)
        return self._server.answers_half_closed and keeps_open(
            self._parser.http_version, waiting, kept
        )

    def _on_reset(self) -> None:
        self.client_state = ClientState.GONE
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the requests that are not answered."""
        self.closed = True
        if exc is not None:
            self.client_state = ClientState.GONE
        if self._half_close is not None:
            self._half_close.stop()
        self._stop_paused_watch()
        self._writer.clear()
        self._server.forget(self)
        for exchange in self._pending:
            on_disconnect, exchange.on_disconnect = exchange.on_disconnect, None
            if on_disconnect is not None:
                on_disconnect()
            self._free_claim(exchange)
        self._pending.clear()
        self._drop_incomplete_body()
        self._count_unwritten()

    def sweep(self, now: float) -> None:
        """Apply the timeouts, and close an idle connection while draining."""
        if self._unwritten_claim is not None:
            self._count_unwritten()
        if self._lingering:
            limit_s = SLOW_READER_TIMEOUT_S if self.unwritten_bytes else LINGER_S
            if now - self._last_activity_at > limit_s:
                self._transport.abort()
            return
        if self._write_paused_at is not None:
            if now - self._write_paused_at > SLOW_READER_TIMEOUT_S:
                self._transport.abort()
            return
        if self._waits_for_memory_since is not None:
            if now - self._waits_for_memory_since > MEMORY_WAIT_S:
                text = "the node has no memory for the body; resend it later"
                self._reject(HttpError(NO_MEMORY_STATUS, text))
            return
        if self._pending:
            return
        limits = self._server.limits
        if self._parser.in_message:
            if self._input_is_late(now, limits.header_timeout_s):
                self._reject(HttpError(408, "the request is incomplete; resend it"))
        elif (
            now - self._last_activity_at > limits.idle_timeout_s
            or self._server.closing_idle
        ):
            self._last_activity_at = now
            self._linger()

    def _input_is_late(self, now: float, limit_s: float) -> bool:
        """Report whether a head is not complete in time, or a body does not go on."""
        if not self._parser.in_body:
            return now - self._began_at > limit_s
        return now - self._progress_at > limit_s or now > self._body_until

    def close_for_others(self) -> None:
        """Close the connection, which is idle, to make room for others."""
        self._transport.abort()

    def refuse_incomplete(self) -> None:
        """Refuse the incomplete request, to make room for others."""
        text = "the node has no memory for the request; resend it later"
        self._reject(HttpError(NO_MEMORY_STATUS, text))
