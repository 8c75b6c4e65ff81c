"""Watch over a connection whose client sends no more and may read on."""

__all__ = ["INTERIM_RESPONSE", "HalfCloseWatch"]

import asyncio
import socket
from collections.abc import Callable

from ..policy.halfclose import HalfClosePolicy

INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HalfCloseWatch:
    """Notice that a client resets its connection, which is not read any more.

    Args:
        transport: Transport of the connection.
        policy: Decides when the connection is written to and checked.
        on_reset: Called once if the client has reset the connection.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        policy: HalfClosePolicy,
        on_reset: Callable[[], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._policy = policy
        self._on_reset = on_reset
        self._timer: asyncio.TimerHandle | None = None
        self._step()

    def stop(self) -> None:
        """End the watch."""
        if self._timer is not None:
            self._timer.cancel()

    def _step(self) -> None:
        if self._is_reset():
            self._on_reset()
            return
        step = self._policy.step(self._loop.time())
        # Nothing may follow the last response.
        if step.writes and not self._transport.is_closing():
            self._transport.write(INTERIM_RESPONSE)
        self._timer = self._loop.call_later(step.pause_s, self._step)

    def _is_reset(self) -> bool:
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return False
        try:
            return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        except OSError:
            return True
