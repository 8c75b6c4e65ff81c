"""How the bytes of a link are packed on the wire."""

__all__ = ["DeflateStream", "LinkStream", "PlainStream", "stream_for"]

import zlib
from abc import ABC, abstractmethod

from ..errors import PeerError

LEVEL = 1
WINDOW_BITS = -12
MEMORY_LEVEL = 5


class LinkStream(ABC):
    """Pack and unpack one connection's bytes; what is packed can be read at once."""

    preface: bytes

    @abstractmethod
    def pack(self, data: bytes) -> bytes:
        """Return the bytes to send."""

    @abstractmethod
    def unpack(self, data: bytes) -> bytes:
        """Return the bytes that were packed.

        Raises:
            PeerError: The bytes are malformed; close the link.
        """


class PlainStream(LinkStream):
    """Bytes as they are, for links within an availability zone."""

    preface = b"P"

    def pack(self, data: bytes) -> bytes:
        """Return the bytes to send."""
        return data

    def unpack(self, data: bytes) -> bytes:
        """Return the bytes that were packed."""
        return data


class DeflateStream(LinkStream):
    """Compressed bytes, for links between availability zones.

    The headers of one link's calls are much alike, so both directions keep their
    history for the life of the connection.
    """

    preface = b"Z"

    def __init__(self) -> None:
        self._packer = zlib.compressobj(LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)
        self._unpacker = zlib.decompressobj(WINDOW_BITS)

    def pack(self, data: bytes) -> bytes:
        """Return the bytes to send."""
        return self._packer.compress(data) + self._packer.flush(zlib.Z_SYNC_FLUSH)

    def unpack(self, data: bytes) -> bytes:
        """Return the bytes that were packed."""
        try:
            return self._unpacker.decompress(data)
        except zlib.error as exc:
            raise PeerError("a link's bytes are malformed; the link is closed") from exc


_STREAMS: dict[bytes, type[LinkStream]] = {
    stream.preface: stream for stream in (PlainStream, DeflateStream)
}


def stream_for(preface: bytes) -> LinkStream:
    """Return the stream that the first byte of a connection names.

    Raises:
        PeerError: There is no such stream.
    """
    stream = _STREAMS.get(preface)
    if stream is None:
        raise PeerError("a link's first byte is unknown; run one release on all nodes")
    return stream()
