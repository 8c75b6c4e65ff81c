"""Body of a message while it arrives."""

__all__ = ["BodyBuffer"]

from io import BytesIO


class BodyBuffer:
    """Collect the pieces of a body in one block, however small they are.

    ``size`` is the number of bytes that were added.
    """

    __slots__ = ("_block", "_first", "size")

    def __init__(self) -> None:
        self._first = b""
        self._block: BytesIO | None = None
        self.size = 0

    def add(self, piece: bytes) -> None:
        """Add the next bytes."""
        self.size += len(piece)
        if self._block is not None:
            self._block.write(piece)
        elif not self._first:
            self._first = piece
        else:
            self._block = BytesIO()
            self._block.write(self._first)
            self._block.write(piece)
            self._first = b""

    def clear(self) -> None:
        """Drop what is held; ``size`` stays."""
        self._first = b""
        self._block = None

    def take(self) -> bytes:
        """Return the whole body without a copy, and hold it no longer."""
        # BytesIO gives its block away and copies it only at a later write.
        body = self._first if self._block is None else self._block.getvalue()
        self.clear()
        return body
