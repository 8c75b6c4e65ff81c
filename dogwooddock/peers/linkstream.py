"""Encodings of a link's byte stream: plain or deflate."""

__all__ = ["DeflateStream", "LinkStream", "PlainStream", "stream_from_preface"]

import zlib
from abc import ABC, abstractmethod
from collections.abc import Iterator

from ..errors import PeerError

COMPRESSION_LEVEL = 1
WINDOW_BITS = -12  # negative: raw deflate without header and checksum
MEMORY_LEVEL = 5
MAX_DECODED_BYTES = 256 * 1024


class LinkStream(ABC):
    """Encode and decode the bytes of one connection.

    The receiver can decode the result of every ``encode`` call at once, without waiting
    for later bytes. ``preface`` is the first byte that the connecting side sends; it
    names the encoding.
    """

    preface: bytes

    @abstractmethod
    def encode(self, data: bytes) -> bytes:
        """Return the encoded bytes."""

    @abstractmethod
    def decode(self, data: bytes) -> Iterator[bytes]:
        """Yield the decoded bytes, in pieces of a bounded size.

        Raises:
            PeerError: The bytes are malformed; the link must be closed.
        """


class PlainStream(LinkStream):
    """Send bytes unchanged, for links within an availability zone."""

    preface = b"P"

    def encode(self, data: bytes) -> bytes:
        """Return the encoded bytes."""
        return data

    def decode(self, data: bytes) -> Iterator[bytes]:
        """Yield the bytes."""
        yield data


class DeflateStream(LinkStream):
    """Compress bytes with deflate, for links between availability zones.

    The calls on a link have similar headers, so each direction keeps its compression
    window for the lifetime of the connection.
    """

    preface = b"Z"

    def __init__(self) -> None:
        self._compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )
        self._decompressor = zlib.decompressobj(WINDOW_BITS)

    def encode(self, data: bytes) -> bytes:
        """Return the encoded bytes."""
        return self._compressor.compress(data) + self._compressor.flush(
            zlib.Z_SYNC_FLUSH
        )

    def decode(self, data: bytes) -> Iterator[bytes]:
        """Yield the decoded bytes, however much they were compressed."""
        while data:
            yield self._decompress(data)
            data = self._decompressor.unconsumed_tail

    def _decompress(self, data: bytes) -> bytes:
        try:
            return self._decompressor.decompress(data, MAX_DECODED_BYTES)
        except zlib.error as exc:
            raise PeerError(
                "malformed deflate data on a link; the link is closed"
            ) from exc


_STREAM_TYPES: dict[bytes, type[LinkStream]] = {
    stream_type.preface: stream_type for stream_type in (PlainStream, DeflateStream)
}


def stream_from_preface(preface: bytes) -> LinkStream:
    """Return a new stream of the type that a connection's first byte names.

    Raises:
        PeerError: The byte names no known encoding.
    """
    stream_type = _STREAM_TYPES.get(preface)
    if stream_type is None:
        raise PeerError("unknown link encoding; run the same release on all nodes")
    return stream_type()
