"""Replies of an ingress to its callers, counted by outcome."""

__all__ = ["Results"]

from threading import Lock

from ..headers import NEXT_TICKET, OUTCOME
from ..peers.wire.ttypes import Reply
from ..policy.levels import LEVEL_SCALE
from ..policy.outcomes import Outcome, Reason
from ..policy.tickets import parse_ticket
from ..tables import Route
from .chains import ChainTracker
from .dependencies import IngressDependencies
from .keyed import KeyOutcome
from .messages import CallerReply, problem_reply
from .pending import PendingRequest

# Requests that match no route are counted under this kind.
UNKNOWN_KIND = "-"


class Results:
    """Build the replies of an ingress, and count their outcomes.

    Args:
        deps: Collaborators of the ingress.
        lock: Lock that guards the counts.
        chains: Call chains that requests belong to.
    """

    def __init__(self, deps: IngressDependencies, lock: Lock, chains: ChainTracker):
        self._deps = deps
        self._lock = lock
        self._chains = chains
        self.outcomes: dict[tuple[str, str, str], int] = {}

    def resolve(self, pending: PendingRequest) -> CallerReply:
        """Turn the result of the last attempt into the reply to the caller."""
        reply, reason = pending.reply, pending.reason
        if reply is not None and reply.outcome == Outcome.ANSWERED:
            return self.answer(pending.route, reply, pending.ticket)
        if reason in (Reason.OVERLOAD, Reason.DISPLACED):
            level = pending.context.importance * LEVEL_SCALE
            self._chains.record_level(pending.context, level)
        if pending.route.idempotent:
            may_have_run = pending.may_have_run
            outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
            return self.problem(pending.route, outcome, reason)
        if parse_ticket(pending.req.key) is not None:
            return self._resolve_ticket(pending)
        return self._resolve_key(pending)

    def _resolve_ticket(self, pending: PendingRequest) -> CallerReply:
        reply, reason = pending.reply, pending.reason
        if reason is Reason.PEER_FAILED:
            outcome, reason = Outcome.UNKNOWN, Reason.TICKET_LOST
        elif reply is not None and reply.outcome == Outcome.NOT_RUN:
            outcome = Outcome.NOT_RUN
        else:
            outcome = Outcome.UNKNOWN
        return self.problem(pending.route, outcome, reason, pending.ticket)

    def _resolve_key(self, pending: PendingRequest) -> CallerReply:
        reply, base = pending.reply, pending.key_base
        if reply is not None and reply.outcome == Outcome.UNKNOWN:
            return self.problem(pending.route, Outcome.UNKNOWN, pending.reason)
        if reply is not None and reply.key_version:
            base = reply.key_version
        key, deadline = pending.req.key, pending.context.deadline
        return self.confirm_not_run(pending.route, key, base, pending.reason, deadline)

    def confirm_not_run(
        self, route: Route, key: str, base: int, reason: Reason, deadline: float
    ) -> CallerReply:
        """Report not-run if the key could be released, else the state of the key."""
        assert self._deps.keyed is not None
        state = self._deps.keyed.confirm_not_run(key, base, reason, deadline)
        return self.report_key(route, state)

    def report_key(self, route: Route, state: KeyOutcome) -> CallerReply:
        """Report the state of a key whose request is not to run."""
        if state.reply is not None:
            return self.answer(route, state.reply)
        return self.problem(route, state.outcome, state.reason)

    def answer(self, route: Route, reply: Reply, ticket: str = "") -> CallerReply:
        """Convert the reply of a gate into the reply to the caller."""
        outcome = Outcome(reply.outcome)
        if outcome is not Outcome.ANSWERED:
            return self.problem(route, outcome, Reason(reply.reason))
        self._count(route.kind, outcome, Reason.NONE)
        headers = [(header.name, header.value) for header in reply.headers]
        headers.append((OUTCOME, str(outcome)))
        if ticket:
            headers.append((NEXT_TICKET, ticket))
        return CallerReply(outcome, Reason.NONE, reply.status, headers, reply.body)

    def problem(
        self, route: Route | None, outcome: Outcome, reason: Reason, ticket: str = ""
    ) -> CallerReply:
        """Return the reply to a request without an answer.

        ``route`` is None if no route matches the request.
        """
        self._count(route.kind if route else UNKNOWN_KIND, outcome, reason)
        return problem_reply(outcome, reason, self._deps.rng, ticket)

    def _count(self, kind: str, outcome: Outcome, reason: Reason) -> None:
        key = (kind, str(outcome), str(reason))
        with self._lock:
            self.outcomes[key] = self.outcomes.get(key, 0) + 1
