"""Calls to other nodes over pooled connections."""

__all__ = ["PeerConnections"]

import math
import threading
import time
from collections.abc import Callable
from typing import Any

from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket

from ..errors import PeerError, PeerUnreachable
from .transport import make_protocol
from .wire import Peer

MAX_IDLE_PER_PEER = 64
CONNECT_TIMEOUT_S = 0.5
# Timeouts are rounded up to a multiple of this, so that calls with similar timeouts
# need not set the socket timeout again.
TIMEOUT_STEP_S = 0.05
# A connection that was idle for less than this is reused without checking whether the
# peer has closed it.
UNCHECKED_IDLE_S = 0.02


class _Connection:
    """Open connection to one peer, for one call at a time."""

    def __init__(self, address: tuple[str, int]):
        self.socket = TSocket(*address)
        self.socket.setTimeout(CONNECT_TIMEOUT_S * 1000)
        self.socket.open()
        self._timeout_s = CONNECT_TIMEOUT_S
        self.idle_since = 0.0
        self.client = Peer.Client(make_protocol(self.socket))

    def set_timeout(self, timeout_s: float) -> None:
        rounded_s = math.ceil(max(0.0, timeout_s) / TIMEOUT_STEP_S) * TIMEOUT_STEP_S
        if rounded_s != self._timeout_s:
            self._timeout_s = rounded_s
            self.socket.setTimeout(max(TIMEOUT_STEP_S, rounded_s) * 1000)

    def close(self) -> None:
        self.socket.close()


class PeerConnections:
    """Run calls to peers over pooled connections; safe to use from several threads.

    A connection carries one call at a time. Up to ``MAX_IDLE_PER_PEER`` idle
    connections per peer are kept for reuse.
    """

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[_Connection]] = {}
        self._lock = threading.Lock()

    def run(
        self,
        address: tuple[str, int],
        timeout_s: float,
        call: Callable[[Peer.Client], Any],
    ) -> Any:
        """Run one call on the peer at an address.

        Args:
            address: IP address and port.
            timeout_s: Longest wait for each socket operation, in seconds; rounded up
                to a multiple of ``TIMEOUT_STEP_S``.
            call: Function that makes exactly one call with the thrift client.

        Returns:
            The result of ``call``.

        Raises:
            PeerUnreachable: The connection could not be opened; nothing was sent.
            PeerError: The call failed after it may have been sent; whether it ran is
                unknown.
        """
        conn = self._acquire(address)
        try:
            conn.set_timeout(timeout_s)
            result = call(conn.client)
        except (TException, OSError, EOFError, ValueError) as exc:
            conn.close()
            raise PeerError(f"call to {address[0]}:{address[1]} failed: {exc}") from exc
        self._release(address, conn)
        return result

    def _acquire(self, address: tuple[str, int]) -> _Connection:
        with self._lock:
            idle = self._idle.get(address)
            while idle:
                conn = idle.pop()
                if time.monotonic() - conn.idle_since < UNCHECKED_IDLE_S:
                    return conn
                if conn.socket.isOpen():
                    return conn
                conn.close()
        try:
            return _Connection(address)
        except (TException, OSError) as exc:
            text = f"cannot connect to {address[0]}:{address[1]}: {exc}"
            raise PeerUnreachable(text) from exc

    def _release(self, address: tuple[str, int], conn: _Connection) -> None:
        with self._lock:
            conn.idle_since = time.monotonic()
            idle = self._idle.setdefault(address, [])
            if len(idle) < MAX_IDLE_PER_PEER:
                idle.append(conn)
                return
        conn.close()

    def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        with self._lock:
            idle = self._idle.pop(address, [])
        for conn in idle:
            conn.close()

    def close(self) -> None:
        """Close the idle connections to all peers."""
        for address in list(self._idle):
            self.close_idle(address)
