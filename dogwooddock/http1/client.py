"""HTTP/1.1 client connections for asyncio, without pipelining."""

__all__ = ["ClientConnection", "ConnectionPool", "RequestFailure", "ResponseMemory"]

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from ..policy.heldbytes import Held, HeldBytes
from .inputmemory import BodyMemory
from .messages import HttpError, Response
from .pacedwriter import PacedWriter
from .responseparser import ResponseParser
from .sockets import tune_socket

MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_SKIPPED_RESPONSES = 8
DEFAULT_IDLE_S = 4.0
# Idle connections are reused only for this fraction of the server's keep-alive
# timeout; later, the server could close one while a request is on its way.
KEEP_ALIVE_FRACTION = 0.7
# A longer number is cut to its first digits; it is beyond any use.
MAX_KEEP_ALIVE_DIGITS = 9
CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """Why a request got no complete response.

    Args:
        sent: Whether the request was written to the connection, at least in part.
        reused: Whether the connection had completed an earlier request.
        response_started: Whether any byte of a response arrived.
        closed_by_peer: Whether the server closed or reset the connection; False for
            a malformed response.
        cause: Description for the log.
    """

    sent: bool
    reused: bool
    response_started: bool
    closed_by_peer: bool
    cause: str


Result = Response | RequestFailure
ResponseMatcher = Callable[[Response], bool]


def _accept_any(response: Response) -> bool:
    return True


class ResponseMemory:
    """Bound the bytes that incomplete responses hold on all connections together.

    Args:
        max_bytes: Bound, in bytes.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._held: dict[ClientConnection, int] = {}
        self.total_bytes = 0

    def set_held(self, conn: "ClientConnection", size: int) -> None:
        """Record what a connection holds; fail the largest response over the bound."""
        self.total_bytes += size - self._held.pop(conn, 0)
        if size:
            self._held[conn] = size
        if self.total_bytes > self._max_bytes:
            largest = max(self._held, key=self._held.__getitem__)
            largest.fail("the responses in progress exceed the memory for them")


class ClientConnection(asyncio.Protocol):
    """One connection to a server; it carries one request at a time.

    Args:
        memory: Bound on what incomplete responses hold, or None.
        budget: Budget of memory for large responses, which are read no further than
            it allows; None for no limit.
    """

    def __init__(
        self, memory: ResponseMemory | None = None, budget: HeldBytes | None = None
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._memory = memory
        self._skipped_responses = 0
        self._parser = ResponseParser(MAX_HEADER_BYTES, MAX_BODY_BYTES)
        self._body_memory = BodyMemory(
            budget or HeldBytes(), Held.READING, self._parser, self._resume_reading
        )
        self._on_result: Callable[[Result], None] | None = None
        self._matches: ResponseMatcher = _accept_any
        self._transport: asyncio.Transport
        self._response_started = False
        self._completed_requests = 0
        self._writer: PacedWriter
        self._idle_limit_s = DEFAULT_IDLE_S
        self.opened_at = self._loop.time()
        self.idle_since = self.opened_at
        self.usable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and mark the connection usable."""
        self._transport = cast(asyncio.Transport, transport)
        self._writer = PacedWriter(self._transport)
        tune_socket(self._transport)
        self.usable = True

    @property
    def in_use(self) -> bool:
        """Report whether a request is in progress."""
        return self._on_result is not None

    @property
    def reused(self) -> bool:
        """Report whether the connection has completed an earlier request."""
        return self._completed_requests > 0

    @property
    def idle_s(self) -> float:
        """Return the time since the last response, or since the start, in seconds."""
        return self._loop.time() - self.idle_since

    @property
    def stale(self) -> bool:
        """Report whether the server may soon close the idle connection."""
        return self.idle_s > self._idle_limit_s

    def send(
        self,
        data: bytes,
        on_result: Callable[[Result], None],
        matches: ResponseMatcher = _accept_any,
        bodiless: bool = False,
        body: bytes = b"",
    ) -> None:
        """Write a request.

        Args:
            data: The rendered request.
            on_result: Called once with the response or the failure; not called after
                ``abort``.
            matches: Reports whether a response belongs to this request; other
                responses are skipped.
            bodiless: Whether the response has no body, as to a HEAD request.
            body: Bytes that follow the request, if they are not part of it.
        """
        if not self.usable:
            on_result(
                RequestFailure(
                    False,
                    self._completed_requests > 0,
                    False,
                    False,
                    "connection is closed",
                )
            )
            return
        self._on_result = on_result
        self._matches = matches
        self._response_started = False
        self._skipped_responses = 0
        self._parser.bodiless = bodiless
        self._writer.write(data, body)

    async def exchange(self, data: bytes) -> Result:
        """Write a request and wait for its response or failure."""
        fut: asyncio.Future[Result] = self._loop.create_future()

        def on_result(result: Result) -> None:
            if not fut.done():
                fut.set_result(result)

        self.send(data, on_result)
        return await fut

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; close the connection if no request is in progress."""
        if self._on_result is None:
            self.close()
            return
        self._response_started = True
        try:
            responses = self._parser.feed(data)
        except HttpError as exc:
            self.fail(str(exc))
            return
        for index, response in enumerate(responses):
            if self._matches(response):
                extra_data = index + 1 < len(responses) or self._parser.in_message
                self._finish(response, extra_data)
                return
        self._skipped_responses += len(responses)
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            self.fail("the responses of other requests do not end")
        elif self._memory is not None:
            self._memory.set_held(self, self._parser.buffered_bytes)
        self._body_memory.follow()
        if self._body_memory.waits and self.usable:
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.usable:
            self._transport.resume_reading()

    def _finish(self, response: Response, extra_data: bool) -> None:
        """Complete the request; close the connection if it cannot be reused."""
        on_result = self._take_callback()
        self._completed_requests += 1
        self.idle_since = self._loop.time()
        self._update_idle_limit(response)
        if extra_data or self._writer.is_behind or not response.keep_alive:
            self._writer.clear()
            self.close()
        assert on_result is not None
        on_result(response)

    def _update_idle_limit(self, response: Response) -> None:
        for parameter in response.fields.get(b"keep-alive", b"").split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                timeout_s = int(value[:MAX_KEEP_ALIVE_DIGITS])
                self._idle_limit_s = timeout_s * KEEP_ALIVE_FRACTION

    def fail(self, cause: str) -> None:
        """Close the connection and fail its request, whose response is unusable."""
        self._fail(cause, closed_by_peer=False)

    def _take_callback(self) -> Callable[[Result], None] | None:
        """Return the callback of the request; nothing of the request is held on."""
        on_result, self._on_result = self._on_result, None
        self._matches = _accept_any
        self._body_memory.release()
        if self._memory is not None:
            self._memory.set_held(self, 0)
        return on_result

    def _fail(self, cause: str, closed_by_peer: bool) -> None:
        on_result = self._take_callback()
        self._writer.clear()
        if not closed_by_peer and self.usable:
            self._transport.abort()
            self.usable = False
        self.close()
        self._parser.drop_body()  # The parser refers to itself.
        if on_result is not None:
            on_result(
                RequestFailure(
                    True,
                    self._completed_requests > 0,
                    self._response_started,
                    closed_by_peer,
                    cause,
                )
            )

    def pause_writing(self) -> None:
        """Keep the rest of the request, as the server does not read."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Write the rest of the request."""
        self._writer.resume()

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the end of the connection."""
        response = self._parser.feed_eof()
        if (
            response is not None
            and self._on_result is not None
            and self._matches(response)
        ):
            self._finish(response, extra_data=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, if any."""
        self.usable = False
        cause = f"connection reset: {exc}" if exc else "connection closed"
        self._fail(cause, closed_by_peer=True)

    def abort(self) -> None:
        """Abort the connection without reporting a result for its request."""
        self._take_callback()
        self._writer.clear()
        self._parser.drop_body()
        if self.usable:
            self.usable = False
            self._transport.abort()

    def close(self) -> None:
        """Close the connection; a request in progress fails."""
        if self.usable:
            self.usable = False
            self._transport.close()


class ConnectionPool:
    """Idle connections to one server.

    ``opened`` counts all connections that were opened.

    Args:
        address: Address of the server.
        memory: Bound on what incomplete responses hold, or None.
        budget: Budget of memory for large responses; None for no limit.
    """

    def __init__(
        self,
        address: tuple[str, int],
        memory: ResponseMemory | None = None,
        budget: HeldBytes | None = None,
    ):
        self.address = address
        self._memory = memory
        self._budget = budget
        self._idle: list[ClientConnection] = []
        self.opened = 0

    def acquire_idle(self, max_idle_s: float) -> ClientConnection | None:
        """Return the most recently used idle connection, or None.

        Args:
            max_idle_s: Longest idle time of the connection, in seconds.
        """
        while self._idle:
            conn = self._idle.pop()
            if not conn.usable:
                continue
            if conn.stale:
                conn.close()
                continue
            if conn.idle_s > max_idle_s:
                self._idle.append(conn)
                return None
            return conn
        return None

    async def open(self) -> ClientConnection:
        """Open a new connection.

        Raises:
            OSError: The server cannot be reached.
            TimeoutError: The connection was not made within ``CONNECT_TIMEOUT_S``.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, conn = await loop.create_connection(
                lambda: ClientConnection(self._memory, self._budget), *self.address
            )
        self.opened += 1
        return conn

    def release(self, conn: ClientConnection) -> None:
        """Keep a connection without a request in progress for reuse."""
        if conn.usable:
            self._idle.append(conn)

    def close_stale(self) -> None:
        """Close idle connections that the server may soon close itself."""
        reusable = []
        for conn in self._idle:
            if conn.usable and not conn.stale:
                reusable.append(conn)
            else:
                conn.close()
        self._idle = reusable

    def close(self) -> None:
        """Close every idle connection."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()
