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

MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_CONTAINER_ITEMS = 100_000
READ_BYTES = 16 * 1024
_LENGTH = struct.Struct("!i")


class BoundedFramedTransport(TFramedTransport):
    """Framed transport that rejects frames larger than ``MAX_FRAME_BYTES``.

    Args:
        trans: Underlying buffered transport.
        on_frame: Called when a complete frame has been received.
    """

    def __init__(
        self, trans: TTransportBase, on_frame: Callable[[], None] | None = None
    ):
        super().__init__(trans)
        self._on_frame = on_frame

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
        self._TFramedTransport__rbuf = BytesIO(trans.readAll(size))
        if self._on_frame is not None:
            self._on_frame()


def make_protocol(
    socket: TTransportBase, on_frame: Callable[[], None] | None = None
) -> TBinaryProtocolAccelerated:
    """Wrap a thrift socket in the transports and protocol used between nodes."""
    return TBinaryProtocolAccelerated(
        BoundedFramedTransport(TBufferedTransport(socket, READ_BYTES), on_frame),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
