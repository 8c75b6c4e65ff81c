"""Tickets for callers: issued by the nodes of a pool, cancelled at their issuer."""

__all__ = ["TicketDesk"]

from ..errors import PeerError
from ..policy.tickets import parse_ticket
from .parts import IngressParts


class TicketDesk:
    """Hand out and cancel tickets."""

    def __init__(self, parts: IngressParts):
        self._parts = parts

    def issue(self, caller: str, method: str, path: str, count: int) -> list[str]:
        """Return tickets for a caller's requests, spread over the pool's nodes."""
        parts = self._parts
        route = parts.tables().match(caller, method, path)
        if route is None or route.idempotent:
            return []
        candidates = parts.selector.candidates(route.pool)
        tickets: list[str] = []
        parts.rng.shuffle(candidates)
        share = -(-count // max(1, len(candidates)))
        for candidate in candidates:
            wanted = min(share, count - len(tickets))
            if wanted <= 0:
                break
            try:
                fresh = parts.fleet.issue_tickets(candidate.node_id, wanted)
            except PeerError:
                continue
            tickets.extend(fresh)
        parts.rng.shuffle(tickets)
        return tickets

    def cancel(self, text: str) -> str:
        """Cancel a ticket at its issuer and return its state."""
        ticket = parse_ticket(text)
        if ticket is None:
            return "foreign"
        try:
            return self._parts.fleet.cancel_ticket(ticket.node_id, text)
        except PeerError:
            return "lost"
