"""HTTP servers of the library that serve on a socket that was reserved before."""

__all__ = ["ReservedSocketServer"]

import socket
from typing import Any

from cheroot.server import HTTPServer


class ReservedSocketServer(HTTPServer):
    """Serve on a listening socket instead of binding an address.

    Args:
        sock: Socket; the server closes it.
        rest: Arguments of the library's server after its address.
        options: Its further options.
    """

    def __init__(self, sock: socket.socket, *rest: Any, **options: Any):
        super().__init__(sock.getsockname()[:2], *rest, **options)
        self._reserved = sock

    def bind(self, family: int, type: int, proto: int = 0) -> socket.socket:
        """Take the reserved socket."""
        self._reserved.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = self._reserved
        return self._reserved
