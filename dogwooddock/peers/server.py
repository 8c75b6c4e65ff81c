"""Thrift server for calls from other nodes."""

__all__ = ["PeerServer"]

import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import structlog
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket

from ..bytebudget import ByteBudget
from .transport import make_protocol
from .wire import Peer

MAX_CONNECTIONS = 2048
# Longest pause within a large frame.
FRAME_TIMEOUT_S = 5.0

log = structlog.get_logger()


class _BusyTracker:
    """Counts one connection as busy while a request is processed.

    Args:
        on_change: Called with 1 when the connection gets busy, with -1 when it is
            idle again.
    """

    def __init__(self, on_change: Callable[[int], None]):
        self._on_change = on_change
        self._active = False

    def begin(self) -> None:
        self._active = True
        self._on_change(1)

    def end(self) -> None:
        if self._active:
            self._active = False
            self._on_change(-1)


class PeerServer:
    """Serve the thrift service ``Peer`` with one thread per open connection.

    Beyond the limit of connections, the oldest one that has sent no whole call yet is
    closed, or else the new one.

    Args:
        listener: Listening socket.
        handler: Object with the methods of the thrift service.
        budget: Budget for large frames; None for no limit.
        max_connections: Most open connections.
    """

    def __init__(
        self,
        listener: socket.socket,
        handler: Any,
        budget: ByteBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ):
        self._budget = budget
        self._max_connections = min(max_connections, MAX_CONNECTIONS)
        self._processor = Peer.Processor(handler)
        self._listener = listener
        # Whether each connection has sent a whole call, in the order of their age.
        self._connections: dict[socket.socket, bool] = {}
        self._busy_connections = 0
        self._lock = threading.Lock()
        self._stopping = False

    def start(self) -> None:
        """Accept connections in a background thread."""
        threading.Thread(target=self._accept, name="peer-accept", daemon=True).start()

    def _accept(self) -> None:
        while not self._stopping:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            if not self._has_room():
                log.warning("peer_connection_refused", remedy="raise --max-connections")
                conn.close()
                continue
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections[conn] = False
            thread = threading.Thread(target=self._serve, args=(conn,), daemon=True)
            thread.start()

    def _has_room(self) -> bool:
        """Report whether a connection can be taken; close the oldest silent one."""
        with self._lock:
            if len(self._connections) < self._max_connections:
                return True
            silent = (conn for conn, sent in self._connections.items() if not sent)
            oldest = next(silent, None)
            if oldest is None:
                return False
            del self._connections[oldest]
        _shut_down(oldest)
        return True

    def _record_call(self, conn: socket.socket) -> None:
        with self._lock:
            if conn in self._connections:
                self._connections[conn] = True

    def _serve(self, conn: socket.socket) -> None:
        thrift_socket = TSocket()
        thrift_socket.setHandle(conn)
        busy = _BusyTracker(self._change_busy)
        protocol = make_protocol(thrift_socket, busy.begin, self._budget)
        protocol.trans.on_large_frame = partial(_limit_time, thrift_socket)
        try:
            while not self._stopping:
                try:
                    self._processor.process(protocol, protocol)
                    self._record_call(conn)
                finally:
                    busy.end()
                    protocol.trans.release()
        except (TException, OSError, EOFError):
            pass
        except Exception as exc:
            log.warning("peer_connection_dropped", error=type(exc).__name__)
        finally:
            with self._lock:
                self._connections.pop(conn, None)
            thrift_socket.close()

    def _change_busy(self, change: int) -> None:
        with self._lock:
            self._busy_connections += change

    def stop(self, grace_s: float) -> None:
        """Stop accepting, wait for the calls in progress and close every connection.

        Args:
            grace_s: Longest wait for the calls in progress, in seconds.
        """
        # Closing alone neither ends the blocking accept() nor frees the port.
        _shut_down(self._listener)
        self._listener.close()
        deadline = time.monotonic() + grace_s
        while self._busy_connections and time.monotonic() < deadline:
            time.sleep(0.01)
        self._stopping = True
        with self._lock:
            remaining = list(self._connections)
        for conn in remaining:
            _shut_down(conn)


def _limit_time(thrift_socket: TSocket, begins: bool) -> None:
    """Let a large frame arrive without long pauses, but not the next frame."""
    thrift_socket.setTimeout(FRAME_TIMEOUT_S * 1000 if begins else None)


def _shut_down(sock: socket.socket) -> None:
    """End the calls that block on a socket in other threads."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
