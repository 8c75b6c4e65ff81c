"""Large bodies on a link between two nodes, which travel in parts."""

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_WHOLE_BODY_BYTES",
    "IncomingBodies",
    "OutgoingBodies",
]

from collections import deque
from dataclasses import dataclass
from io import BytesIO

from ..errors import PeerError
from .linkcodec import CallFrame, PartFrame, ReplyFrame

PART_BYTES = 64 * 1024
# Larger bodies travel in parts, so that they delay no other frame for long.
MAX_WHOLE_BODY_BYTES = 2 * PART_BYTES
MAX_BODY_BYTES = 80 * 1024 * 1024


class OutgoingBodies:
    """Divide bodies into parts, and take turns among them."""

    def __init__(self) -> None:
        self._bodies: deque[tuple[int, memoryview]] = deque()

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that are not taken yet."""
        return sum(len(rest) for _, rest in self._bodies)

    def add(self, call_id: int, body: bytes) -> None:
        """Add the body of a call, or of the reply to one."""
        self._bodies.append((call_id, memoryview(body)))

    def has(self, call_id: int) -> bool:
        """Report whether a part of a body is not taken yet."""
        return any(other == call_id for other, _ in self._bodies)

    def drop(self, call_id: int) -> None:
        """Send no more of a body."""
        kept = [entry for entry in self._bodies if entry[0] != call_id]
        self._bodies = deque(kept)

    def next_part(self) -> PartFrame | None:
        """Return the next part, of another body than the one before if there is one."""
        if not self._bodies:
            return None
        call_id, rest = self._bodies.popleft()
        if len(rest) > PART_BYTES:
            self._bodies.append((call_id, rest[PART_BYTES:]))
        return PartFrame(call_id, bytes(rest[:PART_BYTES]))


@dataclass(slots=True)
class _Incoming:
    frame: CallFrame | ReplyFrame
    block: BytesIO


class IncomingBodies:
    """Put bodies together from their parts."""

    def __init__(self) -> None:
        self._bodies: dict[int, _Incoming] = {}

    def begin(self, frame: CallFrame | ReplyFrame) -> None:
        """Expect the body that a frame announces.

        Raises:
            PeerError: It is too large, or another body has its number.
        """
        if not 0 < frame.body_size <= MAX_BODY_BYTES or frame.call_id in self._bodies:
            raise PeerError("malformed frame; run the same release on all nodes")
        self._bodies[frame.call_id] = _Incoming(frame, BytesIO())

    def add(self, part: PartFrame) -> CallFrame | ReplyFrame | None:
        """Add a part; return the frame that it completes, with its body.

        Parts of a body that is not expected are ignored: it was dropped.

        Raises:
            PeerError: The body is larger than announced.
        """
        incoming = self._bodies.get(part.call_id)
        if incoming is None:
            return None
        frame, block = incoming.frame, incoming.block
        block.write(part.data)
        if block.tell() > frame.body_size:
            raise PeerError("malformed frame; run the same release on all nodes")
        if block.tell() < frame.body_size:
            return None
        del self._bodies[part.call_id]
        message = frame.call if isinstance(frame, CallFrame) else frame.reply
        # BytesIO gives its block away without a copy.
        message.body = block.getvalue()
        return frame

    def drop(self, call_id: int) -> bool:
        """Expect a body no more; return whether it was expected."""
        return self._bodies.pop(call_id, None) is not None

    def clear(self) -> None:
        """Expect no body any more."""
        self._bodies.clear()
