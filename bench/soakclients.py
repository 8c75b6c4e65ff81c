"""Connections of a soak test's clients that differ from those of usual ones."""

__all__ = ["HalfCloser", "SlowReader", "exchange_in_time", "open_connection"]

import asyncio
import socket
from typing import Any

from dogwooddock.http1.client import (
    CONNECT_TIMEOUT_S,
    ClientConnection,
    RequestFailure,
)
from dogwooddock.http1.messages import Response

from .soakfleet import Address

READ_PERIOD_S = 0.1
RECEIVE_BUFFER_BYTES = 16 * 1024
SEGMENT_BYTES = 1448


class HalfCloser(ClientConnection):
    """A connection that closes its sending side behind its request."""

    def send(self, *args: Any, **options: Any) -> None:
        """Write a request, the last one."""
        super().send(*args, **options)
        if self.usable:
            self._transport.write_eof()


class SlowReader(ClientConnection):
    """A connection that takes its answers little by little."""

    def data_received(self, data: bytes) -> None:
        """Wait before the next read."""
        super().data_received(data)
        if self.usable:
            self._transport.pause_reading()
            self._loop.call_later(READ_PERIOD_S, self._transport.resume_reading)


async def open_connection(
    kind: type[ClientConnection], address: Address
) -> ClientConnection:
    """Open a connection of a kind.

    Raises:
        OSError: The server cannot be reached in time.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    if kind is SlowReader:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # Segments of an Ethernet, so that the kernel holds little of the answer.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.sock_connect(sock, address)
    except OSError:
        sock.close()
        raise
    _, conn = await loop.create_connection(kind, sock=sock)
    return conn


async def exchange_in_time(
    conn: ClientConnection, data: bytes, limit_s: float
) -> Response | RequestFailure:
    """Write a request and wait for its response; give up after a time in seconds."""
    try:
        async with asyncio.timeout(limit_s):
            return await conn.exchange(data)
    except TimeoutError:
        conn.abort()
        return RequestFailure(True, False, False, False, "no answer")
