"""Framed thrift transport and size limits shared by client and server."""

__all__ = ["MAX_FRAME_BYTES", "BoundedFramedTransport", "make_protocol"]

import struct
from collections.abc import Callable
from io import BytesIO

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import (
    TBufferedTransport,
    TFramedTransport,
    TTransportBase,
    TTransportException,
)

from ..bytebudget import ByteBudget

MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_CONTAINER_ITEMS = 100_000
READ_BYTES = 16 * 1024
SMALL_FRAME_BYTES = 64 * 1024
# Longest wait of a large frame for memory.
MEMORY_WAIT_S = 0.5
_LENGTH = struct.Struct("!i")


class BoundedFramedTransport(TFramedTransport):
    """Framed transport that rejects frames larger than ``MAX_FRAME_BYTES``.

    Args:
        trans: Underlying buffered transport.
        on_frame: Called when a complete frame has been received.
        budget: Budget that large frames are read from; None for no limit.

    ``on_large_frame`` is called with True before a large frame is read, and with False
    afterwards.
    """

    def __init__(
        self,
        trans: TTransportBase,
        on_frame: Callable[[], None] | None = None,
        budget: ByteBudget | None = None,
    ):
        super().__init__(trans)
        self._on_frame = on_frame
        self._budget = budget
        self._held_bytes = 0
        self.on_large_frame: Callable[[bool], None] = lambda begins: None

    def readFrame(self) -> None:  # noqa: N802
        """Read one frame into the buffer.

        Raises:
            TTransportException: The length is negative or over the limit.
        """
        trans = self._TFramedTransport__trans
        (size,) = _LENGTH.unpack(trans.readAll(_LENGTH.size))
        if not 0 <= size <= MAX_FRAME_BYTES:
            raise TTransportException(
                type=TTransportException.SIZE_LIMIT,
                message=f"invalid frame length: {size} bytes",
            )
        self._hold(size)
        is_large = size > SMALL_FRAME_BYTES
        if is_large:
            self.on_large_frame(True)
        self._TFramedTransport__rbuf = BytesIO(self._read_all(size))
        if is_large:
            self.on_large_frame(False)
        if self._on_frame is not None:
            self._on_frame()

    def _hold(self, size: int) -> None:
        """Hold memory for a frame until the next one.

        Raises:
            TTransportException: There is none.
        """
        self.release()
        if self._budget is None or size <= SMALL_FRAME_BYTES:
            return
        if not self._budget.acquire(size, MEMORY_WAIT_S):
            raise TTransportException(
                type=TTransportException.SIZE_LIMIT,
                message="no memory for a large frame; raise --memory-mb",
            )
        self._held_bytes = size

    def release(self) -> None:
        """Hold no memory for the last frame any more."""
        if self._budget is not None:
            self._budget.release(self._held_bytes)
        self._held_bytes = 0

    def _read_all(self, size: int) -> bytes:
        """Read a frame; unlike ``readAll``, without a copy for each part of it."""
        trans, block = self._TFramedTransport__trans, BytesIO()
        while block.tell() < size:
            part = trans.read(min(size - block.tell(), READ_BYTES))
            if not part:
                raise EOFError
            block.write(part)
        return block.getvalue()


def make_protocol(
    socket: TTransportBase,
    on_frame: Callable[[], None] | None = None,
    budget: ByteBudget | None = None,
) -> TBinaryProtocolAccelerated:
    """Wrap a thrift socket in the transports and protocol used between nodes."""
    return TBinaryProtocolAccelerated(
        BoundedFramedTransport(
            TBufferedTransport(socket, READ_BYTES), on_frame, budget
        ),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
