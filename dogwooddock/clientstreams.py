"""Reader and writer of a client's connection; the reader is C-implemented ``io``."""

__all__ = ["ConnectionReader", "ConnectionWriter"]

import io
import socket
import time
from typing import Any

from cheroot.errors import MaxSizeExceeded

BUFFER_BYTES = 16 * 1024
# Longest line of a chunked body: a chunk's size and extensions, or a trailer.
MAX_LINE_BYTES = 16 * 1024
# Most bytes of such lines in a row.
MAX_FRAMING_BYTES = 64 * 1024


class _TimedSocket(socket.SocketIO):
    """Raw socket stream that counts what it has read, until a deadline."""

    def __init__(self, sock: socket.socket, timeout_s: float | None):
        super().__init__(sock, "rb")
        self._client_socket = sock
        self._timeout_s = timeout_s
        self._deadline: float | None = None
        self.bytes_received = 0

    def limit_time(self, limit_s: float | None) -> None:
        """End all reads of the next seconds by a timeout; None for no limit."""
        self._deadline = None if limit_s is None else time.monotonic() + limit_s
        if limit_s is None:
            self._client_socket.settimeout(self._timeout_s)

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer and count the bytes.

        Raises:
            TimeoutError: The client does not send in time.
        """
        if self._deadline is not None:
            left_s = self._deadline - time.monotonic()
            if left_s <= 0:
                raise TimeoutError("timed out")
            if self._timeout_s is not None:
                left_s = min(left_s, self._timeout_s)
            self._client_socket.settimeout(left_s)
        size = super().readinto(buffer)
        self.bytes_received += size or 0
        return size


class ConnectionReader(io.BufferedReader):
    """Buffered reader that can report whether its buffer holds unread bytes.

    Args:
        sock: Connected socket.
        timeout_s: Longest time without data from the client, in seconds.
    """

    def __init__(self, sock: socket.socket, timeout_s: float | None = None):
        self._socket = _TimedSocket(sock, timeout_s)
        super().__init__(self._socket, BUFFER_BYTES)
        self.bytes_read = 0
        self._framing_bytes = 0

    def limit_time(self, limit_s: float | None) -> None:
        """Let reads of a request take no longer than this; None for no limit."""
        self._socket.limit_time(limit_s)

    def read(self, size: int | None = -1, /) -> bytes:
        """Read up to a number of bytes."""
        data = super().read(size)
        self.bytes_read += len(data)
        self._framing_bytes = 0
        return data

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line of up to a number of bytes.

        Raises:
            MaxSizeExceeded: A line of unlimited size, or many in a row, do not end.
        """
        limited = size is None or size < 0
        data = super().readline(MAX_LINE_BYTES if limited else size)
        self.bytes_read += len(data)
        if limited:
            self._framing_bytes += len(data)
            is_cut = len(data) == MAX_LINE_BYTES
            if is_cut or self._framing_bytes > MAX_FRAMING_BYTES:
                raise MaxSizeExceeded
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
