"""Memory of a message that is arriving on a connection."""

__all__ = ["BodyMemory", "RequestMemory"]

from collections.abc import Callable

from ..policy.heldbytes import (
    SMALL_BODY_BYTES,
    Held,
    HeldBytes,
    MemoryClaim,
    request_cost,
)
from .messageparser import MessageParser
from .messages import Request
from .requestparser import RequestParser

# A body of unknown length claims this many times what has arrived of it.
GROWTH = 2


class BodyMemory:
    """Claim memory for a large body before it is read.

    It is claimed whole if its length is known, else in growing parts.

    Args:
        memory: Budget for bodies.
        kind: What the body is.
        parser: Parser of the connection.
        on_grant: Called once memory is granted after a wait.
    """

    def __init__(
        self,
        memory: HeldBytes,
        kind: Held,
        parser: MessageParser,
        on_grant: Callable[[], None],
    ):
        self._memory = memory
        self._kind = kind
        self._parser = parser
        self._on_grant = on_grant
        self._claims: list[MemoryClaim] = []

    @property
    def is_claimed(self) -> bool:
        """Report whether the body is large enough to be claimed."""
        return bool(self._claims)

    @property
    def waits(self) -> bool:
        """Report whether the body may not be read yet."""
        return bool(self._claims) and not self._claims[-1].granted

    def follow(self) -> None:
        """Claim what the body may take soon, if it is large."""
        if not self._parser.in_body or self.waits:
            return
        size, claimed = self._wanted_bytes(), sum(item.size for item in self._claims)
        if size > SMALL_BODY_BYTES and size > claimed:
            more = size - claimed
            claim = self._memory.ask(self._kind, more, self._on_grant, claimed)
            self._claims.append(claim)

    def _wanted_bytes(self) -> int:
        parser = self._parser
        if parser.body_length is not None:
            return min(parser.body_length, parser.max_body_bytes)
        return min(parser.body_bytes * GROWTH, parser.max_body_bytes)

    def take(self, size: int) -> MemoryClaim:
        """Return one claim of a size, in place of those of the whole body."""
        claim = self._claims.pop(0)
        self._memory.resize(claim, size)
        self.release()
        return claim

    def release(self) -> None:
        """Free what the body holds, or end its wait."""
        claims, self._claims = self._claims, []
        for claim in claims:
            self._memory.release(claim)


class RequestMemory:
    """Count a request as it arrives, and claim memory for its body.

    Args:
        memory: Budget for requests.
        parser: Parser of the connection.
        on_grant: Called once memory for the body is granted after a wait.
    """

    def __init__(
        self,
        memory: HeldBytes,
        parser: RequestParser,
        on_grant: Callable[[], None],
    ):
        self._memory = memory
        self._parser = parser
        self._body = BodyMemory(memory, Held.REQUEST, parser, on_grant)
        self._small: MemoryClaim | None = None

    @property
    def waits(self) -> bool:
        """Report whether the body may not be read yet."""
        return self._body.waits

    @property
    def is_claimed(self) -> bool:
        """Report whether the request is claimed with its large body."""
        return self._body.is_claimed

    def follow(self) -> None:
        """Count what is there of an incomplete request, and claim what is to come."""
        parser = self._parser
        if not parser.drops_body:
            self._body.follow()
        size = parser.held_bytes
        if self.is_claimed:
            self._count(Held.SMALL, size)
        else:
            self._count(Held.HEAD, size + (parser.body_bytes if parser.in_body else 0))

    def _count(self, kind: Held, size: int) -> None:
        """Count what is held beside a claimed body."""
        if self._small is not None and self._small.kind is not kind:
            self._release_small()
        if self._small is not None:
            self._memory.resize(self._small, size)
        elif size:
            self._small = self._memory.hold(kind, size)

    def take(self, request: Request) -> MemoryClaim | None:
        """Return the claim of a complete request; None if there is no room for it."""
        size = request_cost(request.head_bytes, len(request.body))
        self._release_small()
        if self._body.is_claimed:
            return self._body.take(size)
        return self._memory.hold_small(Held.REQUEST, size)

    def release(self) -> None:
        """Free what the incomplete request holds, or end its wait."""
        self._release_small()
        self._body.release()

    def _release_small(self) -> None:
        claim, self._small = self._small, None
        if claim is not None:
            self._memory.release(claim)
