"""Streams of a caller's connection, buffered in C."""

__all__ = ["ConnectionReader", "ConnectionWriter"]

import io
import socket
from typing import Any

BUFFER_BYTES = 16 * 1024


class _CountingSocket(socket.SocketIO):
    """Raw socket stream that counts what it has read."""

    def __init__(self, sock: socket.socket):
        super().__init__(sock, "rb")
        self.received = 0

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer."""
        size = super().readinto(buffer)
        self.received += size or 0
        return size


class ConnectionReader(io.BufferedReader):
    """Buffered reader that knows whether it holds unread bytes."""

    def __init__(self, sock: socket.socket):
        self._socket = _CountingSocket(sock)
        super().__init__(self._socket, BUFFER_BYTES)
        self.bytes_read = 0

    def read(self, size: int | None = -1, /) -> bytes:
        """Read up to a number of bytes."""
        data = super().read(size)
        self.bytes_read += len(data)
        return data

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line of up to a number of bytes."""
        data = super().readline(size)
        self.bytes_read += len(data)
        return data

    def has_data(self) -> bool:
        """Report whether unread bytes are buffered."""
        return self._socket.received > self.bytes_read


class ConnectionWriter:
    """Writer that can hold what is written and send it in one piece."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._held: list[bytes] | None = None
        self.bytes_written = 0
        self.closed = False

    def hold(self) -> None:
        """Keep what is written until ``release``."""
        self._held = []

    def release(self) -> None:
        """Send what was kept."""
        held, self._held = self._held, None
        if held:
            self._send(b"".join(held))

    def write(self, data: bytes) -> int:
        """Send or keep bytes."""
        if self._held is None:
            self._send(data)
        else:
            self._held.append(data)
        return len(data)

    def _send(self, data: bytes) -> None:
        self._sock.sendall(data)
        self.bytes_written += len(data)

    def flush(self) -> None:
        """Do nothing; bytes are not buffered unless held."""

    def close(self) -> None:
        """Mark the writer as closed."""
        self.closed = True
