"""Tickets for callers: issued by the nodes of a pool and cancelled at their issuer."""

__all__ = ["TicketClient"]

from ..errors import PeerError
from ..policy.tickets import parse_ticket
from .dependencies import IngressDependencies


class TicketClient:
    """Request tickets from the nodes of a pool and cancel them at their issuer."""

    def __init__(self, deps: IngressDependencies):
        self._deps = deps

    def issue(self, caller: str, method: str, path: str, count: int) -> list[str]:
        """Return up to ``count`` tickets, spread over the nodes of the pool.

        The list is empty if no route matches or if the route is idempotent. Nodes that
        cannot be reached are skipped.
        """
        deps = self._deps
        route = deps.tables().match(caller, method, path)
        if route is None or route.idempotent:
            return []
        candidates = deps.selector.candidates(route.pool)
        tickets: list[str] = []
        deps.rng.shuffle(candidates)
        max_per_node = -(-count // max(1, len(candidates)))
        for candidate in candidates:
            requested = min(max_per_node, count - len(tickets))
            if requested <= 0:
                break
            try:
                issued = deps.fleet.issue_tickets(candidate.node_id, requested)
            except PeerError:
                continue
            tickets.extend(issued)
        deps.rng.shuffle(tickets)
        return tickets

    def cancel(self, text: str) -> str:
        """Cancel a ticket at its issuer and return the state of the ticket.

        The state is "foreign" if the text is not a ticket and "lost" if the issuer
        cannot be reached.
        """
        ticket = parse_ticket(text)
        if ticket is None:
            return "foreign"
        try:
            return self._deps.fleet.cancel_ticket(ticket.node_id, text)
        except PeerError:
            return "lost"
