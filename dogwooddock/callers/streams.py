"""Buffered streams of a caller's connection, on top of the C-implemented ``io``."""

__all__ = ["ConnectionReader", "ConnectionWriter"]

import io
import socket
from typing import Any

BUFFER_BYTES = 16 * 1024


class _CountingSocket(socket.SocketIO):
    """Raw socket stream that counts the bytes it has read."""

    def __init__(self, sock: socket.socket):
        super().__init__(sock, "rb")
        self.received = 0

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer and count the bytes."""
        size = super().readinto(buffer)
        self.received += size or 0
        return size


class ConnectionReader(io.BufferedReader):
    """Buffered reader that can report whether its buffer holds unread bytes."""

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
    """Writer that can hold data back and send it in a single call."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._held: list[bytes] | None = None
        self.bytes_written = 0
        self.closed = False

    def hold(self) -> None:
        """Collect data written from now on until ``release``."""
        self._held = []

    def release(self) -> None:
        """Send the collected data."""
        held, self._held = self._held, None
        if held:
            self._send(b"".join(held))

    def write(self, data: bytes) -> int:
        """Send data at once, or collect it after ``hold``."""
        if self._held is None:
            self._send(data)
        else:
            self._held.append(data)
        return len(data)

    def _send(self, data: bytes) -> None:
        self._sock.sendall(data)
        self.bytes_written += len(data)

    def flush(self) -> None:
        """Do nothing; data is buffered only between ``hold`` and ``release``."""

    def close(self) -> None:
        """Mark the writer as closed."""
        self.closed = True
