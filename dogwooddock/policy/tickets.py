"""Tickets: idempotency keys that one node issues and only that node may run."""

__all__ = ["TICKET_PREFIX", "Ticket", "TicketBook", "TicketState", "parse_ticket"]

import hashlib
import hmac
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

TICKET_PREFIX = "dwt1."
TICKET_LIFETIME_S = 7200
RECORD_RETENTION_S = 4 * TICKET_LIFETIME_S
MAX_BATCH = 256
MAC_HEX_DIGITS = 16


class TicketState(StrEnum):
    """What a node knows about one of its tickets."""

    FRESH = "fresh"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    LOST = "lost"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class Ticket:
    """A parsed ticket.

    Args:
        pool: Pool whose requests it can carry.
        node_id: Node that issued it.
        serial: Position in that node's issue order.
        issued_s: Seconds between the node's start and the issue.
        mac: Truncated HMAC over the other fields, in hexadecimal.
    """

    pool: str
    node_id: int
    serial: int
    issued_s: int
    mac: str

    @property
    def payload(self) -> str:
        """Return the part that the MAC covers."""
        return f"{self.pool}.{self.node_id:x}.{self.serial:x}.{self.issued_s:x}"

    def __str__(self) -> str:
        return f"{TICKET_PREFIX}{self.payload}.{self.mac}"


def parse_ticket(text: str) -> Ticket | None:
    """Return the ticket that a key spells, or None if it is malformed."""
    if not text.startswith(TICKET_PREFIX):
        return None
    parts = text[len(TICKET_PREFIX) :].rsplit(".", 4)
    if len(parts) != 5:
        return None
    pool, node_id, serial, issued_s, mac = parts
    try:
        numbers = int(node_id, 16), int(serial, 16), int(issued_s, 16)
    except ValueError:
        return None
    return Ticket(pool, *numbers, mac)


@dataclass(slots=True)
class _Record:
    state: TicketState
    at: float


@dataclass
class TicketBook:
    """Issue tickets and remember which were used.

    The book lives as long as its process and is the only place where a ticket can
    be started, so no lease and no store is involved.

    Args:
        pool: Pool of the local target.
        node_id: Identity of this node.
        secret: Key of the MAC, random for every process.
        started_at: Monotonic time of the node's start, in seconds.
    """

    pool: str
    node_id: int
    secret: bytes
    started_at: float
    issued: int = 0
    _records: OrderedDict[int, _Record] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._records)

    def issue(self, now: float, count: int) -> list[str]:
        """Return up to ``MAX_BATCH`` new tickets."""
        issued_s = int(now - self.started_at)
        tickets = []
        for _ in range(max(0, min(count, MAX_BATCH))):
            self.issued += 1
            blank = Ticket(self.pool, self.node_id, self.issued, issued_s, "")
            tickets.append(f"{TICKET_PREFIX}{blank.payload}.{self._mac(blank)}")
        return tickets

    def _mac(self, ticket: Ticket) -> str:
        digest = hmac.new(self.secret, ticket.payload.encode(), hashlib.sha256)
        return digest.hexdigest()[:MAC_HEX_DIGITS]

    def state(self, now: float, ticket: Ticket) -> TicketState:
        """Return what is known about a ticket."""
        foreign = ticket.node_id != self.node_id or ticket.pool != self.pool
        if foreign or not hmac.compare_digest(ticket.mac, self._mac(ticket)):
            return TicketState.FOREIGN
        record = self._records.get(ticket.serial)
        if record is not None:
            return record.state
        age_s = now - self.started_at - ticket.issued_s
        if age_s <= TICKET_LIFETIME_S:
            return TicketState.FRESH
        if age_s <= RECORD_RETENTION_S:
            return TicketState.CANCELLED
        return TicketState.LOST

    def start(self, now: float, ticket: Ticket) -> TicketState:
        """Move a fresh ticket to running; return the state before."""
        state = self.state(now, ticket)
        if state is TicketState.FRESH:
            self._record(now, ticket, TicketState.RUNNING)
        return state

    def finish(self, now: float, ticket: Ticket) -> None:
        """Record that the request of a running ticket was handed to the target."""
        self._record(now, ticket, TicketState.FINISHED)

    def cancel(self, now: float, ticket: Ticket) -> TicketState:
        """Make a fresh ticket unusable; return the state after."""
        state = self.state(now, ticket)
        if state is TicketState.FRESH:
            self._record(now, ticket, TicketState.CANCELLED)
            return TicketState.CANCELLED
        return state

    def revoke(self, now: float, ticket: Ticket) -> None:
        """Cancel a running ticket whose request was never dispatched."""
        self._record(now, ticket, TicketState.CANCELLED)

    def _record(self, now: float, ticket: Ticket, state: TicketState) -> None:
        self._records[ticket.serial] = _Record(state, now)
        self._records.move_to_end(ticket.serial)
        self._prune(now)

    def _prune(self, now: float) -> None:
        while self._records:
            serial, record = next(iter(self._records.items()))
            if now - record.at <= RECORD_RETENTION_S:
                return
            del self._records[serial]
