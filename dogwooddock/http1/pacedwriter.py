"""Writing of large messages without a copy of them in the transport."""

__all__ = ["WRITE_HIGH_WATER_BYTES", "PacedWriter"]

import asyncio
from collections import deque

# Messages up to this size are written at once.
SLICE_BYTES = 64 * 1024
WRITE_HIGH_WATER_BYTES = 2 * SLICE_BYTES


class PacedWriter:
    """Hand bytes to a transport in slices, no faster than the peer takes them.

    The owner of the transport must pass on its ``pause_writing`` and
    ``resume_writing``.

    Args:
        transport: Transport to write to.
    """

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport
        self._waiting: deque[memoryview] = deque()
        self._paused = False
        self._ends = False
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    @property
    def unwritten_bytes(self) -> int:
        """Return the bytes that the kernel has not taken yet."""
        waiting = sum(map(len, self._waiting)) if self._waiting else 0
        return waiting + self._transport.get_write_buffer_size()

    @property
    def is_behind(self) -> bool:
        """Report whether the peer has not taken much of what was written."""
        return self._paused or bool(self._waiting)

    def write(self, head: bytes, body: bytes = b"") -> None:
        """Write a message behind those before it."""
        if not self._waiting and len(body) <= SLICE_BYTES:
            self._transport.write(head + body if body else head)
            return
        self._waiting.append(memoryview(head))
        if body:
            self._waiting.append(memoryview(body))
        self._write_slices()

    def pause(self) -> None:
        """Keep what is not written yet, as the peer does not take it."""
        self._paused = True

    def resume(self) -> None:
        """Write on, as the peer has taken what was written."""
        self._paused = False
        self._write_slices()

    def write_eof(self) -> None:
        """End the output behind what is not written yet."""
        self._ends = True
        self._write_slices()

    def clear(self) -> None:
        """Drop what is not written yet, as the connection has ended."""
        self._waiting.clear()

    def _write_slices(self) -> None:
        while self._waiting and not self._paused:
            rest = self._waiting.popleft()
            if len(rest) > SLICE_BYTES:
                self._waiting.appendleft(rest[SLICE_BYTES:])
            # The transport calls ``pause`` from within if the peer does not take it.
            self._transport.write(rest[:SLICE_BYTES])
        if self._ends and not self._waiting and not self._transport.is_closing():
            self._ends = False
            self._end()

    def _end(self) -> None:
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()
