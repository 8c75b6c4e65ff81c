"""HTTP/1.1 client connections on an event loop, one request at a time each."""

__all__ = ["ClientConnection", "ConnectionPool", "Lost"]

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from .messages import HttpProblem, Response, ResponseParser
from .sockets import tune_socket

MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_IDLE_S = 4.0
KEEP_ALIVE_SHARE = 0.7
CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class Lost:
    """A request that got no whole response.

    Args:
        sent: Whether any byte of it was handed to the connection.
        reused: Whether the connection had served a request before.
        began: Whether a byte of a response arrived.
        reset: Whether the other side broke the connection off.
        cause: What was seen, for the log.
    """

    sent: bool
    reused: bool
    began: bool
    reset: bool
    cause: str


Result = Response | Lost
Matches = Callable[[Response], bool]


def _accept_any(response: Response) -> bool:
    return True


class ClientConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._parser = ResponseParser(MAX_HEADER_BYTES, MAX_BODY_BYTES)
        self._done: Callable[[Result], None] | None = None
        self._matches: Matches = _accept_any
        self._transport: asyncio.Transport
        self._began = False
        self._served = 0
        self._blocked = False
        self._idle_limit_s = DEFAULT_IDLE_S
        self.idle_since = self._loop.time()
        self.usable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        tune_socket(self._transport)
        self.usable = True

    @property
    def in_use(self) -> bool:
        """Report whether a request is in progress."""
        return self._done is not None

    @property
    def reused(self) -> bool:
        """Report whether the connection has served a request before."""
        return self._served > 0

    @property
    def idle_s(self) -> float:
        """Return how long the connection has been idle, in seconds."""
        return self._loop.time() - self.idle_since

    @property
    def stale(self) -> bool:
        """Report whether the server may be about to close it."""
        return self.idle_s > self._idle_limit_s

    def send(
        self,
        data: bytes,
        done: Callable[[Result], None],
        matches: Matches = _accept_any,
    ) -> None:
        """Write a request; ``done`` is called once with what becomes of it.

        Args:
            data: The rendered request.
            done: Receives the response, or how the request was lost.
            matches: Reports whether a response belongs to this request; one that
                does not is skipped.
        """
        if not self.usable:
            done(Lost(False, self._served > 0, False, False, "connection is closed"))
            return
        self._done = done
        self._matches = matches
        self._began = False
        self._transport.write(data)

    async def exchange(self, data: bytes) -> Result:
        """Write a request and return what becomes of it."""
        fut: asyncio.Future[Result] = self._loop.create_future()

        def done(result: Result) -> None:
            if not fut.done():
                fut.set_result(result)

        self.send(data, done)
        return await fut

    def data_received(self, data: bytes) -> None:
        """Read a response."""
        if self._done is None:
            self.close()
            return
        self._began = True
        try:
            responses = self._parser.feed(data)
        except HttpProblem as exc:
            self._fail(str(exc), reset=False)
            return
        for position, response in enumerate(responses):
            if self._matches(response):
                more = position + 1 < len(responses) or self._parser.begun
                self._finish(response, more)
                return

    def _finish(self, response: Response, more: bool) -> None:
        done, self._done = self._done, None
        self._served += 1
        self.idle_since = self._loop.time()
        self._note_idle_limit(response)
        if more or self._blocked or not response.keep_alive:
            self.close()
        assert done is not None
        done(response)

    def _note_idle_limit(self, response: Response) -> None:
        for part in response.fields.get(b"keep-alive", b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self._idle_limit_s = int(value) * KEEP_ALIVE_SHARE

    def _fail(self, cause: str, reset: bool) -> None:
        done, self._done = self._done, None
        self.close()
        if done is not None:
            done(Lost(True, self._served > 0, self._began, reset, cause))

    def pause_writing(self) -> None:
        """Note that the server does not read."""
        self._blocked = True

    def resume_writing(self) -> None:
        """Note that the server reads again."""
        self._blocked = False

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection."""
        response = self._parser.finish()
        if response is not None and self._done is not None and self._matches(response):
            self._finish(response, more=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a request that is lost with the connection."""
        self.usable = False
        cause = f"connection reset: {exc}" if exc else "connection closed"
        self._fail(cause, reset=True)

    def abandon(self) -> None:
        """Break off the request in progress; ``done`` is not called."""
        self._done = None
        if self.usable:
            self.usable = False
            self._transport.abort()

    def close(self) -> None:
        """Close the connection."""
        if self.usable:
            self.usable = False
            self._transport.close()


class ConnectionPool:
    """Connections to one server.

    Args:
        address: Address of the server.
    """

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self._idle: list[ClientConnection] = []

    def take(self, max_idle_s: float) -> ClientConnection | None:
        """Return the most recently used idle connection, or None.

        Args:
            max_idle_s: Longest time that it may have been idle, in seconds.
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
            TimeoutError: It did not answer in time.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, conn = await loop.create_connection(ClientConnection, *self.address)
        return conn

    def give_back(self, conn: ClientConnection) -> None:
        """Return a connection whose request is answered."""
        if conn.usable:
            self._idle.append(conn)

    def trim(self) -> None:
        """Close connections that the server may be about to close."""
        kept = []
        for conn in self._idle:
            if conn.usable and not conn.stale:
                kept.append(conn)
            else:
                conn.close()
        self._idle = kept

    def close(self) -> None:
        """Close every idle connection."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()
