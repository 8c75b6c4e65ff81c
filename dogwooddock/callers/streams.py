"""Reader and writer of a caller's connection; the reader is C-implemented ``io``."""

__all__ = ["ConnectionReader", "ConnectionWriter"]

import io
import socket
from typing import Any

BUFFER_BYTES = 16 * 1024


class _CountingSocket(socket.SocketIO):
    """Raw socket stream that counts the bytes it has read."""

    def __init__(self, sock: socket.socket):
        super().__init__(sock, "rb")
        self.bytes_received = 0

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer and count the bytes."""
        size = super().readinto(buffer)
        self.bytes_received += size or 0
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
        return self._socket.bytes_received > self.bytes_read


class ConnectionWriter:
    """Writer that can buffer data and send it with a single system call."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._buffered: list[bytes] | None = None
        self.bytes_written = 0
        self.closed = False

    def hold(self) -> None:
        """Buffer data written from now on until ``release``."""
        self._buffered = []

    def release(self) -> None:
        """Send the buffered data and stop buffering."""
        buffered, self._buffered = self._buffered, None
        if buffered:
            self._send(b"".join(buffered))

    def write(self, data: bytes) -> int:
        """Send data at once, or buffer it after ``hold``."""
        if self._buffered is None:
            self._send(data)
        else:
            self._buffered.append(data)
        return len(data)

    def _send(self, data: bytes) -> None:
        """Send data; the socket's timeout applies to each part that the reader takes.

        For ``sendall`` it would apply to the whole.
        """
        unsent = memoryview(data)
        while unsent:
            sent = self._sock.send(unsent)
            self.bytes_written += sent
            unsent = unsent[sent:]

    def flush(self) -> None:
        """Do nothing; data is buffered only between ``hold`` and ``release``."""

    def close(self) -> None:
        """Mark the writer as closed."""
        self.closed = True
