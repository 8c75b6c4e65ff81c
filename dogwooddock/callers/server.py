"""HTTP server for routers and for the calls of the local target."""

__all__ = ["CallerServer", "ServerLimits"]

import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from cheroot import errors as cheroot_errors
from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer

from ..boundedserver import BoundedConnection, BoundedServer
from ..bytebudget import ByteBudget
from ..errors import InvalidRequest
from ..headers import (
    CALLER,
    IDEMPOTENCY_KEY,
    OUTCOME,
    REASON,
    TIMEOUT_MS,
    TRACEPARENT,
    end_to_end_headers,
    trace_id_of,
)
from ..http1.bodybuffer import BodyBuffer
from ..policy.endofinput import on_end_of_input
from ..policy.outcomes import Outcome, Reason
from .api import API_PREFIX, NodeApi, TargetControl
from .disconnects import DisconnectWatcher
from .ingress import Ingress
from .messages import CallerReply, CallerRequest, problem_reply
from .requesttarget import parse_request_target

KEEP_ALIVE_WAIT_S = 0.25
STOP_TIMEOUT_S = 1
KEEP_ALIVE_THREAD_SHARE = 0.5
READ_CHUNK_BYTES = 64 * 1024
# Longest time of a body, and longest wait of a request for memory for its body.
BODY_TIMEOUT_S = 600.0
MEMORY_WAIT_S = 2.0
# A body of unknown length claims memory in steps of this size.
CLAIM_BYTES = 512 * 1024


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a server for callers.

    Args:
        threads: Number of threads, each serving one request at a time.
        max_body_bytes: Largest accepted request body.
        idle_timeout_s: Longest time without data from a client, in seconds.
        max_connections: Most open connections.
    """

    threads: int
    max_body_bytes: int
    idle_timeout_s: float
    max_connections: int = 4096


class _NoMemory(Exception):
    """There is no memory for a body now."""


class _Body:
    """A body that is read in full while its bytes fit into a budget."""

    def __init__(self, budget: ByteBudget):
        self._budget = budget
        self._claimed = 0
        self.buffer = BodyBuffer()

    def claim(self, size: int) -> None:
        """Hold memory for a body of this size in all.

        Raises:
            _NoMemory: There is none in time.
        """
        more = size - self._claimed
        if more <= 0:
            return
        if not self._budget.acquire(more, MEMORY_WAIT_S, self._claimed):
            raise _NoMemory
        self._claimed = size

    def release(self) -> None:
        """Hold no memory any more."""
        self._budget.release(self._claimed)
        self._claimed = 0


class _Request(HTTPRequest):
    def __init__(self, server: HTTPServer, conn: HTTPConnection):
        # Otherwise the library refuses targets in absolute form.
        super().__init__(server, conn, proxy_mode=True)

    def read_request_line(self) -> bool:
        """Read the request line; refuse what only a proxy serves."""
        try:
            valid = super().read_request_line()
        except ValueError:
            self.simple_response("400 Bad Request", "Malformed Request-URI")
            return False
        if valid and self.method == b"CONNECT":
            self.simple_response("405 Method Not Allowed")
            return False
        return bool(valid)

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Send a reply made by the HTTP library, with the outcome headers added."""
        code = str(status)[:3]
        reason = Reason.TOO_LARGE if code in ("413", "414") else Reason.MALFORMED
        head = (
            f"{self.server.protocol} {status}\r\nContent-Length: {len(msg)}\r\n"
            f"Content-Type: text/plain\r\nConnection: close\r\n"
            f"{OUTCOME}: {Outcome.NOT_RUN}\r\n{REASON}: {reason}\r\n\r\n{msg}"
        )
        self.close_connection = True
        try:
            self.conn.wfile.write(head.encode("latin-1"))
        except OSError as exc:
            if exc.args[0] not in cheroot_errors.socket_errors_to_ignore:
                raise


class _Server(BoundedServer):
    caller_server: "CallerServer"


class _Connection(BoundedConnection):
    RequestHandlerClass = _Request
    server: "_Server"

    def communicate(self) -> bool:
        """Serve requests while the next one arrives within ``KEEP_ALIVE_WAIT_S``."""
        while super().communicate():
            if not self._next_request_arrives():
                return True
        return False

    def _next_request_arrives(self) -> bool:
        if self.rfile.has_data():
            return True
        with self.server.caller_server.keep_alive_wait() as allowed:
            return allowed and bool(self.poll.poll(KEEP_ALIVE_WAIT_S * 1000))


class _Gateway(Gateway):
    def respond(self) -> None:
        """Answer one request."""
        with self.req.server.caller_server.answering():
            self._respond()

    def _respond(self) -> None:
        server = self.req.server.caller_server
        body = _Body(server.budget)
        try:
            self._write(self._reply(body))
        finally:
            body.release()

    def _reply(self, body: _Body) -> CallerReply:
        """Return the reply to a request, whose body is read first."""
        server = self.req.server.caller_server
        try:
            reply = server.dispatch(self.req, body)
        except _NoMemory:
            self.req.close_connection = True
            reply = problem_reply(
                Outcome.NOT_RUN, Reason.OVERLOAD, server.ingress.deps.rng
            )
        except (InvalidRequest, ValueError, cheroot_errors.MaxSizeExceeded) as exc:
            too_large = isinstance(exc, cheroot_errors.MaxSizeExceeded)
            reason = Reason.TOO_LARGE if too_large else Reason.MALFORMED
            self.req.close_connection = True
            reply = problem_reply(Outcome.NOT_RUN, reason, server.ingress.deps.rng)
        except TimeoutError:
            self.req.close_connection = True
            reply = problem_reply(
                Outcome.NOT_RUN, Reason.MALFORMED, server.ingress.deps.rng
            )
        if server.closing:
            self.req.close_connection = True
        return reply

    def _write(self, reply: CallerReply) -> None:
        req = self.req
        req.status = f"{reply.status} {_reason_phrase(reply.status)}".encode("latin-1")
        length = str(len(reply.body)).encode()
        headers = [
            (name.encode("latin-1"), value.encode("latin-1", "replace"))
            for name, value in reply.headers
            if name.lower() != "content-length"
        ]
        headers.append((b"Content-Length", length))
        req.outheaders.extend(headers)
        req.conn.wfile.hold()
        req.ensure_headers_sent()
        if reply.body and req.method != b"HEAD":
            req.write(reply.body)
        req.conn.wfile.release()


def _reason_phrase(status: int) -> str:
    return {200: "OK", 503: "Service Unavailable"}.get(status, "Status")


class CallerServer:
    """Serve callers over HTTP/1.1.

    Args:
        sock: Listening socket; the server closes it.
        ingress: Runs the requests.
        limits: Limits of the server.
        watcher: Cancels requests whose caller disconnects.
        pool_name: For the local target's server, returns the name of its pool.
        target_control: For the local target's server, handles the target's
            announcements.
        budget: Budget for bodies; without a limit if it is None.
    """

    def __init__(
        self,
        sock: socket.socket,
        ingress: Ingress,
        limits: ServerLimits,
        watcher: DisconnectWatcher,
        pool_name: Callable[[], str] | None = None,
        target_control: TargetControl | None = None,
        budget: ByteBudget | None = None,
    ):
        self.ingress = ingress
        self.budget = budget or ByteBudget(sys.maxsize)
        self._watcher = watcher
        self._pool_name = pool_name
        self._api = NodeApi(ingress, target_control)
        self._limits = limits
        self._closing = False
        self._waiting_threads = 0
        self._unanswered = 0
        self._count_lock = threading.Lock()
        self._server = _Server(
            sock, _Gateway, minthreads=limits.threads, maxthreads=limits.threads
        )
        self._server.caller_server = self
        self._server.ConnectionClass = _Connection
        self._server.max_request_body_size = limits.max_body_bytes
        self._server.timeout = limits.idle_timeout_s  # type: ignore[assignment]
        self._server.max_connections = limits.max_connections
        self._server.keep_alive_conn_limit = limits.max_connections
        self._server.nodelay = True
        self._server.prepare()
        self.address: tuple[str, int] = self._server.bind_addr[:2]

    def start(self) -> None:
        """Serve in a background thread."""
        threading.Thread(target=self._server.serve, daemon=True).start()

    def disable_keep_alive(self) -> None:
        """Close every connection after its next reply; requests are still served."""
        self._closing = True

    def stop(self) -> None:
        """Close the listener and the remaining connections in the background.

        Blocks for ``KEEP_ALIVE_WAIT_S``, so that threads waiting for a next request
        finish first.
        """
        time.sleep(KEEP_ALIVE_WAIT_S)
        self._server.shutdown_timeout = STOP_TIMEOUT_S
        threading.Thread(target=self._server.stop, daemon=True).start()

    @contextmanager
    def keep_alive_wait(self) -> Iterator[bool]:
        """Count the calling thread as waiting for the next request of its connection.

        Yields:
            Whether the thread may wait: enough threads are left for other
            connections and keep-alive is not disabled.
        """
        with self._count_lock:
            self._waiting_threads += 1
            waiting = self._waiting_threads
        busy = waiting + self.ingress.in_flight
        try:
            yield (
                busy < self._limits.threads * KEEP_ALIVE_THREAD_SHARE
                and not self._closing
            )
        finally:
            with self._count_lock:
                self._waiting_threads -= 1

    @contextmanager
    def answering(self) -> Iterator[None]:
        """Count a request as unanswered until the connection has taken its reply."""
        with self._count_lock:
            self._unanswered += 1
        try:
            yield
        finally:
            with self._count_lock:
                self._unanswered -= 1

    @property
    def unanswered(self) -> int:
        """Return the requests whose replies connections have not taken whole."""
        with self._count_lock:
            return self._unanswered

    @property
    def closing(self) -> bool:
        """Report whether connections are closed after their next reply."""
        return self._closing

    # Requests.

    def dispatch(self, req: HTTPRequest, body_memory: _Body) -> CallerReply:
        """Serve one HTTP request and return the reply.

        Args:
            req: The request; its body is read.
            body_memory: Holds the body.
        """
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in req.inheaders.items()
        }
        body = self._read_body(req, body_memory)
        target = parse_request_target(req.uri.decode("latin-1"))
        path = target.path
        if target.host:
            headers["Host"] = target.host
        method = req.method.decode("latin-1")
        if path.startswith(API_PREFIX):
            caller, name = self._caller_name(headers), path.removeprefix(API_PREFIX)
            return self._api.handle(caller, method, name, body)
        return self._forward(req, method, path, headers, body)

    def _forward(
        self,
        req: HTTPRequest,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> CallerReply:
        local = self._pool_name is not None
        forwarded = [
            pair
            for pair in end_to_end_headers(headers.items())
            if pair[0] not in (TRACEPARENT, IDEMPOTENCY_KEY)
        ]
        token = object()

        def watch(cancel: Callable[[], None], idempotent: bool) -> None:
            takes_interim = req.response_protocol == "HTTP/1.1"
            at_end = on_end_of_input(takes_interim, idempotent)
            self._watcher.watch(token, req.conn.socket, cancel, at_end)

        request = CallerRequest(
            caller=self._caller_name(headers),
            method=method,
            path=path,
            headers=forwarded,
            body=body,
            key=headers.get(IDEMPOTENCY_KEY, ""),
            trace_id=trace_id_of(headers.get(TRACEPARENT, "")),
            timeout_ms=_timeout_ms(headers),
            local=local,
            on_start=watch,
        )
        try:
            return self.ingress.handle(request)
        finally:
            self._watcher.unwatch(token)

    def _caller_name(self, headers: dict[str, str]) -> str:
        if self._pool_name is not None:
            return f"pool:{self._pool_name()}"
        return headers.get(CALLER, "")

    def _read_body(self, req: HTTPRequest, body: _Body) -> bytes:
        declared = req.inheaders.get(b"Content-Length")
        if declared is None and not req.chunked_read:
            return b""
        if declared is not None:
            body.claim(int(declared))
        buffer = body.buffer
        req.conn.rfile.limit_time(BODY_TIMEOUT_S)
        while chunk := req.rfile.read(READ_CHUNK_BYTES):
            if buffer.size + len(chunk) > self._limits.max_body_bytes:
                raise cheroot_errors.MaxSizeExceeded
            buffer.add(chunk)
            if declared is None:
                body.claim(-(-buffer.size // CLAIM_BYTES) * CLAIM_BYTES)
        req.conn.rfile.limit_time(None)
        if declared is not None and buffer.size < int(declared):
            raise InvalidRequest("the body is shorter than Content-Length")
        return buffer.take()


def _timeout_ms(headers: dict[str, str]) -> int:
    text = headers.get(TIMEOUT_MS, "")
    return int(text) if text.isdigit() else 0
