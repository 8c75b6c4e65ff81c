"""HTTP servers of the library that bound what clients may send and hold."""

__all__ = ["MAX_HEADER_BYTES", "BoundedConnection", "BoundedServer"]

import select
import socket
import threading
import time
from typing import Any

from cheroot.server import HTTPConnection, HTTPServer

from .clientstreams import ConnectionReader, ConnectionWriter
from .listening import LISTEN_BACKLOG

MAX_HEADER_BYTES = 64 * 1024
# Longest time of a request's head, from the moment at which its first bytes are there.
HEAD_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 64
# Idle time after which a connection may be closed to make room for others.
CROWDED_IDLE_S = 0.5


class BoundedConnection(HTTPConnection):
    """Connection whose heads must arrive in time."""

    server: "BoundedServer"

    def __init__(self, server: HTTPServer, sock: socket.socket, *rest: Any):
        super().__init__(server, sock, *rest)
        timeout_s = None if server.timeout is None else float(server.timeout)
        self.rfile = ConnectionReader(sock, timeout_s)
        self.wfile = ConnectionWriter(sock)
        self.poll = select.poll()
        self.poll.register(sock, select.POLLIN)
        self.is_new = True

    def communicate(self) -> bool:
        """Serve the next request."""
        self.rfile.limit_time(HEAD_TIMEOUT_S)
        return bool(super().communicate())

    def close(self) -> None:
        """Close the socket, and let the server forget the connection."""
        super().close()
        self.server.forget(self)


class BoundedServer(HTTPServer):
    """Serve on a listening socket instead of binding an address.

    A connection gets a thread only once its client has sent something. Beyond
    ``max_connections``, idle ones are closed, or else new ones.

    Args:
        sock: Socket; the server closes it.
        rest: Arguments of the library's server after its address.
        options: Its further options.
    """

    max_connections = MAX_CONNECTIONS
    _connections: Any  # Of the library, which has no types for what is used here.

    def __init__(self, sock: socket.socket, *rest: Any, **options: Any):
        super().__init__(sock.getsockname()[:2], *rest, **options)
        self._reserved = sock
        self._open: set[HTTPConnection] = set()
        self._open_lock = threading.Lock()
        self.ConnectionClass = BoundedConnection
        self.max_request_header_size = MAX_HEADER_BYTES
        self.request_queue_size = LISTEN_BACKLOG

    def bind(self, family: int, type: int, proto: int = 0) -> socket.socket:
        """Take the reserved socket."""
        self._reserved.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = self._reserved
        return self._reserved

    def process_conn(self, conn: BoundedConnection) -> None:
        """Give a connection to a thread, once there is something to read."""
        if conn.is_new:
            conn.is_new = False
            if not self._admit(conn):
                conn.close()
                return
            if not conn.poll.poll(0):
                self._connections.put(conn)
                return
        super().process_conn(conn)

    def _admit(self, conn: BoundedConnection) -> bool:
        """Count a new connection; return whether there is room for it."""
        if len(self._open) >= self.max_connections:
            self._connections._expire(time.time() - CROWDED_IDLE_S)
        with self._open_lock:
            has_room = len(self._open) < self.max_connections
            if has_room:
                self._open.add(conn)
        return has_room

    def forget(self, conn: HTTPConnection) -> None:
        """Count a connection no more, as it is closed."""
        with self._open_lock:
            self._open.discard(conn)
