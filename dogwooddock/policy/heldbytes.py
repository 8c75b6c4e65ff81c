"""What a node reads and asks for while its memory for requests is limited.

Load answered: callers that stall uploads, that do not read answers, or that send very
many requests at once, in such number that the process would pass its memory limit.
"""

__all__ = [
    "MIN_MEMORY_MB",
    "SMALL_BODY_BYTES",
    "AnswerSizes",
    "Held",
    "HeldBytes",
    "MemoryClaim",
    "budget_bytes",
    "capacity_bytes",
    "request_cost",
]

from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum

MEGABYTE = 1_000_000
# Memory of a node that holds no bodies, with its state for a large fleet.
BASE_MB = 80.0
# Memory taken for each byte that is held: copies on the way, and unused parts of the
# allocator's arenas.
COST_FACTOR = 2.0
# Room for the largest answer of a target.
MIN_BUDGET_MB = 17.0
MIN_MEMORY_MB = BASE_MB + COST_FACTOR * MIN_BUDGET_MB
# Memory taken for each byte of a body that is alone, which is copied in parts only.
LONE_COST_FACTOR = 1.25
# Bodies up to this size are not made to wait.
SMALL_BODY_BYTES = 16 * 1024
# Parts of the base: for small requests and calls, before they take of the budget, and
# for incomplete requests.
SMALL_LIMIT_BYTES = 16 * MEGABYTE
HEAD_LIMIT_BYTES = 8 * MEGABYTE
# Objects of a request in progress.
REQUEST_COST_BYTES = 6 * 1024
# Copies of the head of a request in progress.
HEAD_COPIES = 3
# Share of the budget that requests, or answers, can use at most.
MAX_SHARE = 0.75
# Assumed for the answers of a route that has not been answered yet.
UNKNOWN_ANSWER_BYTES = 160_000
RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.1


class Held(StrEnum):
    """What memory is held for."""

    REQUEST = "request-bodies"
    CALL = "call-bodies"
    EXPECTED = "expected-answers"
    ANSWER = "unwritten-answers"
    READING = "arriving-answers"
    SMALL = "small-requests"
    HEAD = "incomplete-requests"


# What competes for one share of the budget, and waits in one queue.
_RIVALS = {
    Held.REQUEST: (Held.REQUEST,),
    Held.CALL: (Held.CALL,),
    Held.EXPECTED: (Held.EXPECTED, Held.ANSWER),
    Held.ANSWER: (Held.EXPECTED, Held.ANSWER),
    # An answer that was asked for may not wait for others that are expected.
    Held.READING: (Held.READING, Held.ANSWER),
    Held.SMALL: (Held.SMALL,),
    Held.HEAD: (Held.HEAD,),
}


def budget_bytes(memory_mb: float) -> int:
    """Return the bytes of bodies that a process may hold, from its memory limit."""
    return int((memory_mb - BASE_MB) / COST_FACTOR * MEGABYTE)


def capacity_bytes(memory_mb: float) -> int:
    """Return the largest body that a process may hold, from its memory limit."""
    return int((memory_mb - BASE_MB) / LONE_COST_FACTOR * MEGABYTE)


def request_cost(head_bytes: int, body_bytes: int) -> int:
    """Return the memory that a request in progress takes, in bytes."""
    return REQUEST_COST_BYTES + HEAD_COPIES * head_bytes + body_bytes


class MemoryClaim:
    """Memory that is held, or waited for, on behalf of one request or connection.

    Args:
        kind: What it is for.
        size: Its size, in bytes.
        on_grant: Called once it is granted after a wait.
        owned: Bytes of the same kind that its claimant holds already.
    """

    __slots__ = ("granted", "kind", "on_grant", "owned", "size")

    def __init__(
        self, kind: Held, size: int, on_grant: Callable[[], None], owned: int = 0
    ):
        self.kind = kind
        self.size = size
        self.owned = owned
        self.granted = False
        self.on_grant = on_grant


def _ignore() -> None:
    """Take no notice of a grant."""


class HeldBytes:
    """Divide a budget of bytes among the bodies of requests, calls and answers.

    Claims that do not fit wait in the order of their arrival. What waits for requests
    does not delay answers, nor the other way round, and none can use the whole
    budget. A claim beyond its share is granted once its side holds nothing else, if
    the process can hold it. Small and incomplete requests have parts of their own
    beside the budget.

    ``waits`` and ``refusals`` count the claims that waited, and those that were given
    up before they were granted or that found no room, by what they are for.

    Args:
        limit_bytes: The budget, in bytes; None for no limit.
        capacity_bytes: Most that a claim beyond its share and all others may reach, in
            bytes; None for no limit.
        small_limit_bytes: Part of small requests, in bytes.
        head_limit_bytes: Part of incomplete requests, in bytes.
    """

    def __init__(
        self,
        limit_bytes: int | None = None,
        capacity_bytes: int | None = None,
        small_limit_bytes: int = SMALL_LIMIT_BYTES,
        head_limit_bytes: int = HEAD_LIMIT_BYTES,
    ):
        self.limit_bytes = limit_bytes
        self._capacity_bytes = capacity_bytes
        self._small_limit_bytes = small_limit_bytes
        self._head_limit_bytes = head_limit_bytes
        self.waits: Counter[Held] = Counter()
        self.refusals: Counter[Held] = Counter()
        self._held = dict.fromkeys(Held, 0)
        self._queues: dict[tuple[Held, ...], deque[MemoryClaim]] = {
            rivals: deque() for rivals in _RIVALS.values()
        }

    @property
    def total_bytes(self) -> int:
        """Return the bytes that are held."""
        return sum(self._held.values())

    @property
    def waiting(self) -> int:
        """Return the number of claims that wait."""
        return sum(map(len, self._queues.values()))

    def snapshot(self) -> dict[str, int | None]:
        """Return the budget, what is held by kind, and how many claims wait."""
        held = {str(kind): size for kind, size in self._held.items()}
        return {"limit": self.limit_bytes, "waiting": self.waiting, **held}

    def held_bytes(self, kind: Held) -> int:
        """Return the bytes that are held for a purpose."""
        return self._held[kind]

    def hold(self, kind: Held, size: int) -> MemoryClaim:
        """Record bytes that are there already, within the budget or not."""
        claim = MemoryClaim(kind, size, _ignore)
        claim.granted = True
        self._held[kind] += size
        return claim

    def hold_small(self, kind: Held, size: int) -> MemoryClaim | None:
        """Record a small request or call; None if there is no room for it.

        Args:
            kind: Part of the budget that it takes once its own part is used up.
            size: Its size, in bytes.
        """
        if self._held[Held.SMALL] + size <= self._small_limit_bytes:
            return self.hold(Held.SMALL, size)
        if self.has_room(kind, size):
            return self.hold(kind, size)
        self.refusals[kind] += 1
        return None

    @property
    def is_crowded(self) -> bool:
        """Report whether small requests use more than half of their part."""
        return self._held[Held.SMALL] * 2 > self._small_limit_bytes

    @property
    def is_full(self) -> bool:
        """Report whether incomplete requests exceed their part."""
        return self._held[Held.HEAD] > self._head_limit_bytes

    def ask(
        self, kind: Held, size: int, on_grant: Callable[[], None], owned: int = 0
    ) -> MemoryClaim:
        """Claim bytes; if they are not granted at once, they wait.

        Args:
            kind: What they are for.
            size: Number of bytes.
            on_grant: Called once they are granted after a wait.
            owned: Bytes that the claimant holds already.
        """
        claim = MemoryClaim(kind, size, on_grant, owned)
        queue = self._queues[_RIVALS[kind]]
        if not queue and self.has_room(kind, size, owned):
            self._grant(claim)
        else:
            queue.append(claim)
            self.waits[kind] += 1
        return claim

    def resize(self, claim: MemoryClaim, size: int) -> None:
        """Record the size that a claim has reached, whether it was granted or not."""
        if not claim.granted:
            self._queues[_RIVALS[claim.kind]].remove(claim)
            claim.size = 0
            claim.granted = True
            claim.on_grant = _ignore
        self._held[claim.kind] += size - claim.size
        shrinks = size < claim.size
        claim.size = size
        if shrinks:
            self._grant_next()

    def release(self, claim: MemoryClaim) -> None:
        """Free what a claim holds, or give up its wait."""
        if claim.granted:
            self.resize(claim, 0)
            return
        claim.granted = True
        claim.size = 0
        claim.on_grant = _ignore
        self._queues[_RIVALS[claim.kind]].remove(claim)
        self.refusals[claim.kind] += 1
        self._grant_next()

    def has_room(self, kind: Held, size: int, owned: int = 0) -> bool:
        """Report whether a claim would be granted if no other waited.

        Args:
            kind: What it is for.
            size: Its size, in bytes.
            owned: Bytes of this kind that the claimant holds already.
        """
        if self.limit_bytes is None:
            return True
        own = sum(self._held[rival] for rival in _RIVALS[kind])
        beside = self._held[Held.SMALL] + self._held[Held.HEAD]
        total = self.total_bytes - beside + size
        if own == owned:
            return self._capacity_bytes is None or total <= self._capacity_bytes
        fits_share = own + size <= self.limit_bytes * MAX_SHARE
        return fits_share and total <= self.limit_bytes

    def _grant(self, claim: MemoryClaim) -> Callable[[], None]:
        """Grant a claim; return its callback, which may refer to it in turn."""
        claim.granted = True
        self._held[claim.kind] += claim.size
        on_grant, claim.on_grant = claim.on_grant, _ignore
        return on_grant

    def _grant_next(self) -> None:
        for queue in self._queues.values():
            while queue and self.has_room(queue[0].kind, queue[0].size, queue[0].owned):
                self._grant(queue.popleft())()


class AnswerSizes:
    """Estimate the size of a route's next answer from its recent ones."""

    def __init__(self) -> None:
        self._sizes: dict[str, float] = {}

    def is_known(self, route: str) -> bool:
        """Report whether a route has been answered yet."""
        return route in self._sizes

    def expected(self, route: str) -> int:
        """Return the expected size of an answer, in bytes."""
        return int(self._sizes.get(route, UNKNOWN_ANSWER_BYTES))

    def record(self, route: str, size: int) -> None:
        """Record the size of an answer, in bytes."""
        mean = self._sizes.get(route)
        if mean is None:
            self._sizes[route] = size
            return
        weight = RISE_WEIGHT if size > mean else FALL_WEIGHT
        self._sizes[route] = mean + (size - mean) * weight
