"""Watches over connections that are not read, whose clients may leave."""

__all__ = ["INTERIM_RESPONSE", "HalfCloseWatch", "PausedInputWatch"]

import asyncio
import select
import socket
from collections.abc import Callable

from ..policy.halfclose import PAUSED_LOOK_PERIOD_S, HalfClosePolicy

INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
RESET_EVENTS = select.POLLERR | select.POLLHUP | select.POLLNVAL


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


class PausedInputWatch:
    """Look at the socket of a connection while its reading is paused.

    The event loop notices neither the end of input nor a reset in that time.

    Args:
        transport: Transport of the connection.
        on_look: Called at each look at which there is something to tell, with whether
            the client has reset the connection and whether its input has ended.
    """

    def __init__(
        self, transport: asyncio.Transport, on_look: Callable[[bool, bool], None]
    ):
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._on_look = on_look
        self._timer = self._loop.call_later(PAUSED_LOOK_PERIOD_S, self._look)

    def stop(self) -> None:
        """End the watch."""
        self._timer.cancel()

    def _look(self) -> None:
        self._timer = self._loop.call_later(PAUSED_LOOK_PERIOD_S, self._look)
        events = self._events()
        if events:
            self._on_look(bool(events & RESET_EVENTS), bool(events & select.POLLRDHUP))

    def _events(self) -> int:
        sock = self._transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return 0
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return sum(events for _, events in poll.poll(0))
