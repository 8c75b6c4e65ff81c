"""Tickets: idempotency keys that are valid only at the node that issued them."""

__all__ = ["TICKET_PREFIX", "Ticket", "TicketRegistry", "TicketState", "parse_ticket"]

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
    """State of a ticket as reported by a node.

    ``LOST`` means that the node no longer knows whether the ticket was used;
    ``FOREIGN`` that it did not issue the ticket.
    """

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
        pool: Pool whose requests it is valid for.
        node_id: Identifier of the node that issued it.
        serial: Serial number, counted by that node from 1.
        issued_s: Time of issue, in seconds since the start of the node.
        mac: Truncated HMAC over the other fields, in hexadecimal.
    """

    pool: str
    node_id: int
    serial: int
    issued_s: int
    mac: str

    @property
    def payload(self) -> str:
        """Return the text that the MAC covers."""
        return f"{self.pool}.{self.node_id:x}.{self.serial:x}.{self.issued_s:x}"

    def __str__(self) -> str:
        return f"{TICKET_PREFIX}{self.payload}.{self.mac}"


def parse_ticket(text: str) -> Ticket | None:
    """Parse an idempotency key as a ticket; return None if it is not one.

    The MAC is not verified.
    """
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
    updated_at: float


@dataclass
class TicketRegistry:
    """Issue tickets and record which of them were used.

    A ticket can be started only in the process that issued it, so its state needs
    neither a lease nor the store. The state is lost with the process.

    Args:
        pool: Pool of the local target.
        node_id: Identifier of this node.
        secret: Key of the MAC, random for every process.
        started_at: Monotonic time of the node's start, in seconds.
        issued: Number of tickets issued so far.
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
        """Return new tickets as text, at most ``MAX_BATCH``.

        Args:
            now: Monotonic time in seconds.
            count: Number of tickets requested.
        """
        issued_s = int(now - self.started_at)
        tickets = []
        for _ in range(max(0, min(count, MAX_BATCH))):
            self.issued += 1
            unsigned = Ticket(self.pool, self.node_id, self.issued, issued_s, "")
            tickets.append(f"{TICKET_PREFIX}{unsigned.payload}.{self._mac(unsigned)}")
        return tickets

    def _mac(self, ticket: Ticket) -> str:
        digest = hmac.new(self.secret, ticket.payload.encode(), hashlib.sha256)
        return digest.hexdigest()[:MAC_HEX_DIGITS]

    def state(self, now: float, ticket: Ticket) -> TicketState:
        """Return the state of a ticket.

        A ticket without a record is fresh until ``TICKET_LIFETIME_S`` after its issue
        and then counts as cancelled. From ``RECORD_RETENTION_S`` on its record may
        have been removed, so it is lost.
        """
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
        """Mark a fresh ticket as running; return its previous state."""
        state = self.state(now, ticket)
        if state is TicketState.FRESH:
            self._set_state(now, ticket, TicketState.RUNNING)
        return state

    def finish(self, now: float, ticket: Ticket) -> None:
        """Mark a running ticket as finished; its request was dispatched."""
        self._set_state(now, ticket, TicketState.FINISHED)

    def cancel(self, now: float, ticket: Ticket) -> TicketState:
        """Cancel a ticket if it is fresh; return its new state."""
        state = self.state(now, ticket)
        if state is TicketState.FRESH:
            self._set_state(now, ticket, TicketState.CANCELLED)
            return TicketState.CANCELLED
        return state

    def revoke(self, now: float, ticket: Ticket) -> None:
        """Cancel a running ticket whose request was never dispatched."""
        self._set_state(now, ticket, TicketState.CANCELLED)

    def _set_state(self, now: float, ticket: Ticket, state: TicketState) -> None:
        self._records[ticket.serial] = _Record(state, now)
        self._records.move_to_end(ticket.serial)
        self._prune(now)

    def _prune(self, now: float) -> None:
        while self._records:
            serial, record = next(iter(self._records.items()))
            if now - record.updated_at <= RECORD_RETENTION_S:
                return
            del self._records[serial]
