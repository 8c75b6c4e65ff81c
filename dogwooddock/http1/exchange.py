"""Requests and their responses, and what the connections of a server share."""

__all__ = [
    "ClientState",
    "Exchange",
    "Handler",
    "ServerConnection",
    "ServerLimits",
    "ServerState",
]

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from ..policy.heldbytes import HeldBytes, MemoryClaim
from .messages import Request

# Longest time from the first byte of a request to its last, if its client names none.
MAX_UPLOAD_S = 600.0
MAX_CONNECTIONS = 4096
NO_MEMORY_STATUS = 503
RETRY_AFTER = b"Retry-After: 1\r\n"


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Size limits and timeouts of client connections.

    Args:
        max_header_bytes: Largest header block, in bytes.
        max_body_bytes: Largest body, in bytes.
        header_timeout_s: Longest time of a head, and longest pause within a body, in
            seconds.
        idle_timeout_s: Longest pause between requests, in seconds.
    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class ClientState(StrEnum):
    """What is known about the client of a connection."""

    OPEN = "open"
    SENDS_NO_MORE = "sends-no-more"
    GONE = "gone"


class ServerConnection(ABC):
    """A client's connection, as exchanges and the server use it."""

    closed: bool
    client_state: ClientState
    peer_host: str

    @property
    @abstractmethod
    def unwritten_bytes(self) -> int:
        """Return the bytes that the kernel has not taken yet."""

    @abstractmethod
    def flush(self) -> None:
        """Write the responses that are ready, in the order of the requests."""

    @abstractmethod
    def write_raw(
        self, exchange: "Exchange", data: bytes, close: bool, reset: bool
    ) -> None:
        """Write unframed bytes in place of the response of an exchange."""

    @abstractmethod
    def write_before(self, data: bytes) -> None:
        """Write bytes ahead of the responses that are due."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection with a reset."""

    @abstractmethod
    def hold_answer(self, exchange: "Exchange", size: int) -> None:
        """Count an answer that is ready, in place of its request."""

    @abstractmethod
    def close_for_others(self) -> None:
        """Close the connection, which is idle, to make room for others."""

    @abstractmethod
    def refuse_incomplete(self) -> None:
        """Refuse the incomplete request, to make room for others."""

    @abstractmethod
    def sweep(self, now: float) -> None:
        """Apply the timeouts, and close an idle connection while draining."""


class Exchange:
    """A received request and its response.

    Args:
        request: The complete request.
        conn: Connection that it arrived on.
        arrived_at: Loop time of its last byte, in seconds.

    ``on_disconnect`` is called if the client disconnects before the response.
    ``must_be_answered``, if set, tells whether the request may run and may not be
    repeated.
    ``claim`` is the memory that it takes, if it is counted.
    """

    __slots__ = (
        "_conn",
        "_response",
        "arrived_at",
        "claim",
        "must_be_answered",
        "on_disconnect",
        "request",
    )

    def __init__(self, request: Request, conn: ServerConnection, arrived_at: float):
        self.request = request
        self.arrived_at = arrived_at
        self.on_disconnect: Callable[[], None] | None = None
        self.must_be_answered: Callable[[], bool] | None = None
        self.claim: MemoryClaim | None = None
        self._conn = conn
        self._response: tuple[int, bytes, bytes] | None = None

    @property
    def answered(self) -> bool:
        """Report whether ``respond`` was called."""
        return self._response is not None

    @property
    def disconnected(self) -> bool:
        """Report whether the client connection is closed."""
        return self._conn.closed

    @property
    def client_state(self) -> ClientState:
        """Return what is known about the client."""
        return self._conn.client_state

    @property
    def conn_id(self) -> int:
        """Return a number that all requests of the connection share."""
        return id(self._conn)

    @property
    def peer_host(self) -> str:
        """Return the client's IP address, or an empty string if it is unknown."""
        return self._conn.peer_host

    def respond(self, status: int, block: bytes, body: bytes) -> None:
        """Respond; pipelined responses are written in the order of the requests.

        A second call has no effect.

        Args:
            status: Status code.
            block: Rendered header lines, without Content-Length and Connection.
            body: Complete body.
        """
        if self._response is None:
            self._response = (status, block, body)
            # They refer to this exchange in turn.
            self.on_disconnect = self.must_be_answered = None
            self._conn.hold_answer(self, len(block) + len(body))
            self._conn.flush()

    def write_raw(self, data: bytes, close: bool = False, reset: bool = False) -> None:
        """Write unframed bytes in place of the response.

        Used by simulated servers that send malformed responses.

        Args:
            data: Bytes to write.
            close: Whether to close the connection afterwards.
            reset: Whether to reset the connection afterwards; ``close`` has priority.
        """
        self._conn.write_raw(self, data, close, reset)

    def write_before(self, data: bytes) -> None:
        """Write unframed bytes before the response; used by simulated servers."""
        self._conn.write_before(data)


Handler = Callable[[Exchange], None]


def _refuse_for_memory(exchange: Exchange) -> None:
    text = b"the node has no memory for the request; resend it later\n"
    exchange.respond(NO_MEMORY_STATUS, RETRY_AFTER, text)


def _upload_timeout_s(head: Request) -> float:
    return MAX_UPLOAD_S


class ServerState:
    """What the connections of a server share.

    ``accepted`` counts the connections accepted since the start.

    Args:
        handler: Called with each exchange on the event loop; must not block.
        limits: Size limits and timeouts of connections; new ones hold from the next
            request of each connection on.
        memory: Budget for requests; without a limit if it is None.
        max_connections: Most open connections; beyond them, the one that has no
            request in progress for the longest time is closed.

    ``head_check``, if set, is called on the event loop with each request that has a
    body, before the body is received. If it answers the request, the handler is not
    called, and the body is received within the same limits and discarded.
    ``on_no_memory`` is called in place of the handler if a request finds no memory.
    ``body_timeout_s`` returns the longest time from the first byte of a request with
    this head to its last, in seconds.
    ``answers_half_closed`` tells whether clients that send no more are answered; if
    not, they count as disconnected. Its handler must answer each request in time.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        memory: HeldBytes | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ):
        self.max_connections = max_connections
        self.handler = handler
        self.memory = memory or HeldBytes()
        self.head_check: Handler | None = None
        self.on_no_memory: Handler = _refuse_for_memory
        self.body_timeout_s: Callable[[Request], float] = _upload_timeout_s
        self.answers_half_closed = False
        self.limits = limits or ServerLimits()
        self.connections: set[ServerConnection] = set()
        # In the order of time: without a request in progress, and with a part of one
        # whose body has no memory of its own.
        self.idle: dict[ServerConnection, None] = {}
        self.incomplete: dict[ServerConnection, None] = {}
        self.accepted = 0
        self.draining = False
        self.closing_idle = False

    def admit(self, conn: ServerConnection) -> None:
        """Take a new connection; close another one if there are too many."""
        self.accepted += 1
        self.connections.add(conn)
        self.idle[conn] = None
        if len(self.connections) > self.max_connections:
            oldest = next(iter(self.idle))
            self.forget(oldest)
            oldest.close_for_others()

    def forget(self, conn: ServerConnection) -> None:
        """Drop a connection that ends."""
        self.connections.discard(conn)
        self.idle.pop(conn, None)
        self.incomplete.pop(conn, None)

    def relieve_memory(self) -> None:
        """Refuse the oldest incomplete requests while there is no memory for heads."""
        while self.memory.is_full and self.incomplete:
            next(iter(self.incomplete)).refuse_incomplete()
