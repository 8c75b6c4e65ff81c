"""What the parsers of requests and of responses share."""

__all__ = ["MessageParser", "callback_error"]

from .bodybuffer import BodyBuffer
from .headerfields import HeaderFields
from .messages import HttpError

UNREPEATABLE_HEADERS = frozenset({b"host", b"content-length", b"transfer-encoding"})


class MessageParser:
    """httptools callbacks shared by both parsers; they collect headers and body."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.in_message = False
        # Bytes of chunk sizes, extensions and trailers since the last byte of a body.
        self._framing_bytes = 0
        self._reset()

    def _reset(self) -> None:
        self._fields = HeaderFields()
        self._body = BodyBuffer()
        self._length: int | None = None
        self._names_sent: set[bytes] = set()
        self._header_bytes = 0
        self._in_body = False

    @property
    def in_body(self) -> bool:
        """Report whether the head of the current message is complete."""
        return self.in_message and self._in_body

    @property
    def body_length(self) -> int | None:
        """Return the size of the body that the head tells; None if it tells none."""
        return self._length

    @property
    def body_bytes(self) -> int:
        """Return the size of the part of the current body that has arrived."""
        return self._body.size

    def on_message_begin(self) -> None:
        """Start a message."""
        self._reset()
        self.in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are ignored."""
        if self._in_body:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self.max_header_bytes:
            raise HttpError(431, "the headers are too large; send fewer or shorter")
        lower = name.lower()
        if lower in UNREPEATABLE_HEADERS:
            if lower in self._names_sent:
                raise HttpError(400, f"header {name!r} is repeated; send it once")
            self._names_sent.add(lower)
        self._fields.add(name, value)

    def on_headers_complete(self) -> None:
        """Record that the body follows, and its length if the head tells one."""
        self._fields.unpack()
        length = self._fields.by_name.get(b"content-length")
        self._length = int(length) if length is not None else None
        self._in_body = True

    def on_body(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        if self._body.size + len(chunk) > self.max_body_bytes:
            raise HttpError(413, "the body is too large; send a smaller one")
        self._body.add(chunk)

    def drop_body(self) -> None:
        """Hold no part of an incomplete body; the message can't be completed."""
        self._body.clear()

    def _count_framing(self, size: int, progressed: bool) -> bool:
        """Count bytes that were parsed; return whether framing exceeds its limit."""
        self._framing_bytes = 0 if progressed else self._framing_bytes + size
        return self._framing_bytes > self.max_header_bytes


def callback_error(exc: Exception) -> HttpError | None:
    """Return the HttpError that a callback raised inside the library, or None."""
    for chained in (exc.__context__, exc.__cause__):
        if isinstance(chained, HttpError):
            return chained
    return None
