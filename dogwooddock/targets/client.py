"""Clients that send requests to the local target."""

__all__ = ["Canceller", "HttpTarget", "Target", "TargetAnswer"]

import math
import socket
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError as ConnectTimeout
from urllib3.exceptions import (
    HTTPError,
    IncompleteRead,
    NewConnectionError,
    ProtocolError,
)

from ..errors import (
    AnswerTooLarge,
    IncompleteAnswer,
    TargetError,
    TargetUnreachable,
)
from .responsehead import WholeHeadResponse

CONNECT_TIMEOUT_S = 0.5
TIMEOUT_STEP_S = 0.01
READ_CHUNK_BYTES = 64 * 1024
BODILESS_STATUSES = frozenset({204, 304})

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A complete answer of a target.

    Args:
        status: HTTP status.
        headers: Headers as sent.
        body: Body.
        opened_at: Monotonic time at which its connection was opened, in seconds.
    """

    status: int
    headers: Headers
    body: bytes
    opened_at: float


@dataclass
class Canceller:
    """Cancel a request that may be in progress in another thread."""

    cancelled: bool = False
    _stop: Callable[[], None] | None = None
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def bind(self, stop: Callable[[], None]) -> bool:
        """Set the function that stops the request; return False if cancelled."""
        with self._lock:
            self._stop = stop
            return not self.cancelled

    def cancel(self) -> None:
        """Stop the request, or keep it from starting."""
        with self._lock:
            self.cancelled = True
            stop = self._stop
        if stop is not None:
            stop()


class Target(ABC):
    """A target that can run requests."""

    @abstractmethod
    def send(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout_s: float,
        canceller: Canceller,
    ) -> TargetAnswer:
        """Send one request and return the answer.

        Raises:
            TargetUnreachable: Nothing was sent.
            TargetError: The request was sent and got no complete answer.
        """

    @abstractmethod
    def accepts_connections(self) -> bool:
        """Report whether the target accepts connections on its port."""

    @abstractmethod
    def close(self) -> None:
        """Close the idle connections to the target."""


@dataclass(slots=True)
class _TargetConnection:
    """One connection to the target, with the monotonic time of its start in seconds."""

    http: HTTPConnection
    opened_at: float


class HttpTarget(Target):
    """Target reached over HTTP/1.1 with persistent connections.

    Args:
        address: IP address and port.
        max_answer_bytes: Largest accepted answer body.
    """

    def __init__(self, address: tuple[str, int], max_answer_bytes: int):
        self.address = address
        self._max_answer_bytes = max_answer_bytes
        self._idle: list[_TargetConnection] = []
        self._lock = threading.Lock()

    def send(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout_s: float,
        canceller: Canceller,
    ) -> TargetAnswer:
        """Send one request over an idle or a new connection."""
        conn = self._acquire_connection()
        try:
            return self._exchange(
                conn, method, path, headers, body, timeout_s, canceller
            )
        except BaseException:
            conn.http.close()
            raise

    def _exchange(
        self,
        conn: _TargetConnection,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout_s: float,
        canceller: Canceller,
    ) -> TargetAnswer:
        http = conn.http
        if not canceller.bind(lambda: _shut_down(http)):
            raise TargetUnreachable("the request was cancelled before it was sent")
        try:
            _set_timeout(http, timeout_s)
            http.request(
                method,
                path,
                body=body or None,
                headers=dict(headers),
                preload_content=False,
                decode_content=False,
            )
            answer = http.getresponse()
            payload = self._read_body(answer, method)
        except TimeoutError as exc:
            raise TargetError("the target did not answer in time") from exc
        except (IncompleteRead, ProtocolError) as exc:
            raise IncompleteAnswer(f"the target's answer ended early: {exc}") from exc
        except (HTTPError, OSError, ValueError) as exc:
            raise TargetError(f"the connection to the target failed: {exc}") from exc
        if answer.headers.get("connection", "").lower() == "close":
            http.close()
        else:
            self._release_connection(conn)
        headers_sent = list(answer.headers.items())
        return TargetAnswer(answer.status, headers_sent, payload, conn.opened_at)

    def _release_connection(self, conn: _TargetConnection) -> None:
        with self._lock:
            self._idle.append(conn)

    def _read_body(self, answer: object, method: str) -> bytes:
        headers = answer.headers  # type: ignore[attr-defined]
        bodiless = method == "HEAD" or answer.status in BODILESS_STATUSES  # type: ignore[attr-defined]
        has_framing = "content-length" in headers or "transfer-encoding" in headers
        if not bodiless and not has_framing:
            raise IncompleteAnswer(
                "the target's answer has no length; add Content-Length"
            )
        chunks = []
        size = 0
        while chunk := answer.read(READ_CHUNK_BYTES):  # type: ignore[attr-defined]
            size += len(chunk)
            if size > self._max_answer_bytes:
                raise AnswerTooLarge(
                    f"the target's answer is over {self._max_answer_bytes} bytes"
                )
            chunks.append(chunk)
        return b"".join(chunks)

    def _acquire_connection(self) -> _TargetConnection:
        """Return an idle connection that is open and has nothing to read, or a new one.

        What a target writes between two requests would be read as the next answer.
        """
        while True:
            with self._lock:
                idle = self._idle.pop() if self._idle else None
            if idle is None:
                return self._connect()
            if idle.http.is_connected:
                return idle
            idle.http.close()

    def _connect(self) -> _TargetConnection:
        http = HTTPConnection(*self.address, timeout=CONNECT_TIMEOUT_S)
        http.response_class = WholeHeadResponse
        try:
            http.connect()
        except (NewConnectionError, ConnectTimeout, HTTPError, OSError) as exc:
            raise TargetUnreachable(f"cannot connect to the target: {exc}") from exc
        return _TargetConnection(http, time.monotonic())

    def accepts_connections(self) -> bool:
        """Report whether the target accepts connections on its port."""
        try:
            socket.create_connection(self.address, CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for conn in idle:
            conn.http.close()


def _set_timeout(http: HTTPConnection, timeout_s: float) -> None:
    """Set a timeout, rounded up to ``TIMEOUT_STEP_S``.

    Rounding lets a reused connection keep its timeout if it differs little.
    """
    rounded_s = math.ceil(timeout_s / TIMEOUT_STEP_S) * TIMEOUT_STEP_S
    if http.sock is not None and http.sock.gettimeout() != rounded_s:
        http.timeout = rounded_s
        http.sock.settimeout(rounded_s)


def _shut_down(http: HTTPConnection) -> None:
    sock = http.sock
    if sock is not None:
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
