"""Gate side of tickets: issue, use and cancel."""

__all__ = ["TicketedAttempts"]

from collections import OrderedDict
from threading import Lock

from ..peers.wire.ttypes import Attempt, Reply
from ..policy.outcomes import Outcome
from ..policy.tickets import Ticket, TicketState, parse_ticket
from .attempts import MAX_RECORDS
from .dependencies import GateDependencies


class TicketedAttempts:
    """Issue, use and cancel tickets, and record the attempts that used them.

    The last ``MAX_RECORDS`` uses are kept; the gate keeps as many attempts.

    Args:
        deps: Collaborators of the gate.
        lock: Lock that guards the tickets.
    """

    def __init__(self, deps: GateDependencies, lock: Lock):
        self._deps = deps
        self._lock = lock
        self._attempt_ids: OrderedDict[int, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._attempt_ids)

    def issue(self, count: int) -> list[str]:
        """Return new tickets; the list is empty while draining."""
        with self._lock:
            if self._deps.admission.draining:
                return []
            return self._issue(count)

    def _issue(self, count: int) -> list[str]:
        return self._deps.tickets.issue(self._deps.clock(), count)

    def start(self, ticket: Ticket, attempt: Attempt) -> TicketState:
        """Use a ticket for an attempt; return its state before."""
        with self._lock:
            state = self._deps.tickets.start(self._deps.clock(), ticket)
            if state is TicketState.FRESH:
                self._attempt_ids[ticket.serial] = attempt.attempt_id
                if len(self._attempt_ids) > MAX_RECORDS:
                    self._attempt_ids.popitem(last=False)
            return state

    def attempt_id(self, ticket: Ticket) -> str:
        """Return the attempt that used a ticket; empty if it is not known."""
        return self._attempt_ids.get(ticket.serial, "")

    def finish(self, ticket: Ticket, reply: Reply) -> None:
        """End the use of a ticket, and add the next one to the reply.

        The ticket of an attempt that did not run is cancelled.
        """
        with self._lock:
            if reply.outcome == Outcome.NOT_RUN:
                self._deps.tickets.revoke(self._deps.clock(), ticket)
            else:
                self._deps.tickets.finish(self._deps.clock(), ticket)
            reply.ticket = self._issue(1)[0]

    def add_next(self, reply: Reply) -> None:
        """Add a ticket for the caller's next request to a reply."""
        with self._lock:
            reply.ticket = self._issue(1)[0]

    def cancel(self, text: str) -> str:
        """Cancel a ticket that was not used, and return the state of the ticket."""
        ticket = parse_ticket(text)
        if ticket is None:
            return str(TicketState.FOREIGN)
        with self._lock:
            return str(self._deps.tickets.cancel(self._deps.clock(), ticket))
