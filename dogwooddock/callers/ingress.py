"""Ingress: takes a caller's request through the fleet and tells the outcome."""

__all__ = ["Ingress"]

import threading
from dataclasses import dataclass, field

from ..errors import PeerError, PeerUnreachable
from ..headers import NEXT_TICKET, OUTCOME, new_attempt_id
from ..peers.wire.ttypes import Attempt, Header, Reply
from ..policy.levels import LEVEL_SCALE
from ..policy.outcomes import Outcome, Reason
from ..policy.quarantine import QuarantineStatus, fingerprint
from ..policy.retries import FREE_REASONS, is_retryable
from ..policy.selection import Candidate
from ..policy.tickets import TICKET_PREFIX, parse_ticket
from ..tables import MAX_IMPORTANCE, Route
from .chains import Chain, Chains
from .messages import CallerReply, CallerRequest, problem_reply
from .parts import IngressParts
from .ticketdesk import TicketDesk

MAX_KEY_LENGTH = 200
REPLY_GRACE_S = 0.1
SERVER_ERROR_STATUS = 500
IN_FLIGHT_BASE_SHARE = 0.55


@dataclass(slots=True)
class _Progress:
    tried: set[int] = field(default_factory=set)
    current: tuple[int, str] | None = None
    cancelled: bool = False
    key_base: int = 0
    ticket: str = ""
    handed_over: bool = False


class Ingress:
    """Serve callers' requests."""

    def __init__(self, parts: IngressParts):
        self.parts = parts
        self.lock = threading.Lock()
        self.in_flight = 0
        self.outcomes: dict[tuple[str, str, str], int] = {}
        self.retries = 0
        self.chains = Chains(parts.ledger, parts.ledger_lock, parts.edge_allowance)
        self.tickets = TicketDesk(parts)

    def handle(self, req: CallerRequest) -> CallerReply:
        """Take one request to its outcome."""
        started = self.parts.clock()
        tables = self.parts.tables()
        path = req.path.partition("?")[0]
        route = tables.match(req.caller, req.method, path)
        if route is None:
            return self._finish("-", Outcome.NOT_RUN, Reason.NO_ROUTE)
        reason = _key_problem(req, route)
        if reason:
            return self._finish(route.kind, Outcome.NOT_RUN, reason)
        if not self._enter(route.importance):
            return self._refuse_early(req, route, Reason.OVERLOAD)
        chain = self.chains.begin(req, route, started)
        failed = True
        try:
            reply = self._serve(req, route, chain, tables.version)
            failed = reply.status >= SERVER_ERROR_STATUS
            return reply
        finally:
            self._leave()
            elapsed = self.parts.clock() - started
            self.chains.end(req, chain, elapsed, failed)

    # Admission at the edge.

    def _enter(self, importance: int) -> bool:
        share = IN_FLIGHT_BASE_SHARE
        share += (1 - IN_FLIGHT_BASE_SHARE) * importance / MAX_IMPORTANCE
        with self.lock:
            if self.in_flight >= self.parts.max_in_flight * share:
                return False
            self.in_flight += 1
            return True

    def _leave(self) -> None:
        with self.lock:
            self.in_flight -= 1

    def _refused_at_edge(self, route: Route, chain: Chain, now: float) -> bool:
        levels = self.parts.levels
        if chain.rank < levels.level(f"route:{route.name}", now):
            return True
        candidates = self.parts.selector.candidates(route.pool)
        if not candidates:
            return False
        lowest = min(
            levels.level(f"gate:{candidate.node_id}", now) for candidate in candidates
        )
        return chain.rank < lowest

    def _refuse_early(
        self, req: CallerRequest, route: Route, reason: Reason
    ) -> CallerReply:
        if not req.key:
            return self._finish(route.kind, Outcome.NOT_RUN, reason)
        if req.key.startswith(TICKET_PREFIX):
            return self._cancel_refused_ticket(req, route, reason)
        if self.parts.keyed is None:
            return self._finish(route.kind, Outcome.UNKNOWN, Reason.STORE_UNAVAILABLE)
        deadline = self.parts.clock() + route.timeout_ms / 1000
        reply = self.parts.keyed.begin(req.key, deadline)
        if reply.reply is not None:
            return self._answer(route, reply.reply, "")
        if reply.reason:
            return self._finish(route.kind, reply.outcome, reply.reason)
        return self._settle_not_run(req, route, reply.base, reason, deadline)

    def _cancel_refused_ticket(
        self, req: CallerRequest, route: Route, reason: Reason
    ) -> CallerReply:
        state = self.tickets.cancel(req.key)
        if state == "cancelled":
            return self._finish(route.kind, Outcome.NOT_RUN, reason)
        return self._finish(route.kind, Outcome.UNKNOWN, Reason.TICKET_LOST)

    # The request's way through the fleet.

    def _serve(
        self, req: CallerRequest, route: Route, chain: Chain, version: int
    ) -> CallerReply:
        now = self.parts.clock()
        identity = fingerprint(route.name, req.key, req.body, req.path)
        standing = self.parts.quarantine.status(now, identity)
        if standing is QuarantineStatus.QUARANTINED and not req.key:
            return self._finish(route.kind, Outcome.NOT_RUN, Reason.QUARANTINED)
        if self._refused_at_edge(route, chain, now):
            self.chains.note_level(chain, chain.rank + 1)
            return self._refuse_early(req, route, Reason.OVERLOAD)
        ticket = parse_ticket(req.key) if req.key else None
        progress = _Progress()
        if not route.idempotent and ticket is None:
            if self.parts.keyed is None:
                reason = Reason.STORE_UNAVAILABLE
                return self._finish(route.kind, Outcome.UNKNOWN, reason)
            begun = self.parts.keyed.begin(req.key, chain.deadline)
            if begun.reply is not None:
                return self._answer(route, begun.reply, "")
            if begun.reason:
                return self._finish(route.kind, begun.outcome, begun.reason)
            progress.key_base = begun.base
        if req.on_start is not None:
            req.on_start(lambda: self._cancel(progress))
        with self.lock:
            self.parts.budget.earn(req.caller, route.pool)
        attempt = self._attempt(req, route, chain, version, identity)
        if ticket is not None:
            reply, reason = self._try_node(
                ticket.node_id, None, route, chain, attempt, progress
            )
        else:
            reply, reason = self._try_targets(req, route, chain, attempt, progress)
        return self._conclude(req, route, chain, progress, reply, reason)

    def _attempt(
        self,
        req: CallerRequest,
        route: Route,
        chain: Chain,
        version: int,
        identity: str,
    ) -> Attempt:
        return Attempt(
            "",
            chain.trace_id,
            route.name,
            req.caller,
            chain.importance,
            chain.depth,
            0,
            0,
            version,
            req.method,
            req.path,
            [Header(*pair) for pair in req.headers],
            req.body,
            route.idempotent,
            "" if route.idempotent else req.key,
            0,
            identity,
            self.parts.source,
            chain.rank,
        )

    def _try_targets(
        self,
        req: CallerRequest,
        route: Route,
        chain: Chain,
        attempt: Attempt,
        progress: _Progress,
    ) -> tuple[Reply | None, Reason]:
        reply: Reply | None = None
        reason = Reason.NO_TARGET
        while True:
            with self.lock:
                candidate = self.parts.selector.choose(
                    route.pool, self.parts.clock(), self.parts.rng, progress.tried
                )
            if candidate is None:
                return reply, reason
            progress.tried.add(candidate.node_id)
            reply, reason = self._try_node(
                candidate.node_id, candidate, route, chain, attempt, progress
            )
            if not self._may_retry(req, route, chain, progress, reply, reason):
                return reply, reason
            self.retries += 1

    def _may_retry(
        self,
        req: CallerRequest,
        route: Route,
        chain: Chain,
        progress: _Progress,
        reply: Reply | None,
        reason: Reason,
    ) -> bool:
        if progress.cancelled or chain.allowance <= 0:
            return False
        if self.parts.clock() >= chain.deadline:
            return False
        if not _worth_retry(route, reply, reason):
            return False
        if reason not in FREE_REASONS and not self._spend(req, route):
            return False
        chain.allowance -= 1
        if reply is not None and reply.key_version:
            progress.key_base = reply.key_version
        return True

    def _spend(self, req: CallerRequest, route: Route) -> bool:
        with self.lock:
            return self.parts.budget.spend(req.caller, route.pool)

    def _try_node(
        self,
        node_id: int,
        candidate: Candidate | None,
        route: Route,
        chain: Chain,
        attempt: Attempt,
        progress: _Progress,
    ) -> tuple[Reply | None, Reason]:
        now = self.parts.clock()
        left = chain.deadline - now
        attempt.attempt_id = new_attempt_id()
        attempt.remaining_us = max(0, int(left * 1e6))
        attempt.allowance = (chain.allowance + 1) // 2
        attempt.key_base = progress.key_base
        chain.allowance -= attempt.allowance
        progress.current = (node_id, attempt.attempt_id)
        if candidate is not None:
            with self.lock:
                self.parts.selector.record_sent(candidate)
        try:
            reply = self.parts.fleet.call(node_id, attempt, left + REPLY_GRACE_S)
        except PeerUnreachable:
            chain.allowance += attempt.allowance
            self._lost(candidate)
            refusal = Reply(outcome=str(Outcome.NOT_RUN), reason="", key_version=0)
            return refusal, Reason.PEER_FAILED
        except PeerError:
            progress.handed_over = True
            self._lost(candidate)
            return None, Reason.PEER_FAILED
        chain.allowance += max(0, min(reply.unspent, attempt.allowance))
        self._learn(candidate, route, chain, reply, now)
        if reply.outcome != Outcome.NOT_RUN:
            progress.handed_over = True
        if reply.reason == Reason.TARGET_LOST:
            self.parts.quarantine.record_target_loss(now, attempt.fingerprint, node_id)
        progress.ticket = reply.ticket or ""
        return reply, Reason(reply.reason)

    def _lost(self, candidate: Candidate | None) -> None:
        if candidate is not None:
            with self.lock:
                self.parts.selector.record_lost(candidate, self.parts.clock())

    def _learn(
        self,
        candidate: Candidate | None,
        route: Route,
        chain: Chain,
        reply: Reply,
        sent_at: float,
    ) -> None:
        now = self.parts.clock()
        load = reply.load
        if candidate is not None:
            failed = reply.outcome == Outcome.UNKNOWN
            failed = failed or reply.reason == Reason.TARGET_UNREACHABLE
            with self.lock:
                self.parts.selector.record_reply(
                    candidate,
                    now,
                    load.service_us / 1e6,
                    load.limit,
                    load.in_flight + load.queued,
                    load.draining,
                    failed,
                )
            self.parts.levels.update(f"gate:{candidate.node_id}", load.level, now)
        self.parts.levels.update(f"route:{route.name}", reply.downstream_level, now)
        below = max(load.level, reply.downstream_level)
        self.chains.note_level(chain, below)

    # Outcomes.

    def _conclude(
        self,
        req: CallerRequest,
        route: Route,
        chain: Chain,
        progress: _Progress,
        reply: Reply | None,
        reason: Reason,
    ) -> CallerReply:
        if reply is not None and reply.outcome == Outcome.ANSWERED:
            return self._answer(route, reply, progress.ticket)
        if reason in (Reason.OVERLOAD, Reason.DISPLACED):
            self.chains.note_level(chain, chain.importance * LEVEL_SCALE)
        if route.idempotent:
            handed = progress.handed_over
            outcome = Outcome.UNKNOWN if handed else Outcome.NOT_RUN
            return self._finish(route.kind, outcome, reason)
        if parse_ticket(req.key) is not None:
            confirmed = reply is not None and reply.outcome == Outcome.NOT_RUN
            confirmed = confirmed and reason is not Reason.PEER_FAILED
            outcome = Outcome.NOT_RUN if confirmed else Outcome.UNKNOWN
            if not confirmed and reason is Reason.PEER_FAILED:
                reason = Reason.TICKET_LOST
            return self._finish(route.kind, outcome, reason, progress.ticket)
        if reply is not None and reply.outcome == Outcome.UNKNOWN:
            return self._finish(route.kind, Outcome.UNKNOWN, reason)
        base = progress.key_base
        if reply is not None and reply.key_version:
            base = reply.key_version
        return self._settle_not_run(req, route, base, reason, chain.deadline)

    def _settle_not_run(
        self,
        req: CallerRequest,
        route: Route,
        base: int,
        reason: Reason,
        deadline: float,
    ) -> CallerReply:
        assert self.parts.keyed is not None
        settled = self.parts.keyed.settle(req.key, base, reason, deadline)
        if settled.reply is not None:
            return self._answer(route, settled.reply, "")
        return self._finish(route.kind, settled.outcome, settled.reason)

    def _answer(self, route: Route, reply: Reply, ticket: str) -> CallerReply:
        outcome = Outcome(reply.outcome)
        if outcome is not Outcome.ANSWERED:
            return self._finish(route.kind, outcome, Reason(reply.reason))
        self._count(route.kind, outcome, Reason.NONE)
        headers = [(header.name, header.value) for header in reply.headers]
        headers.append((OUTCOME, str(outcome)))
        if ticket:
            headers.append((NEXT_TICKET, ticket))
        return CallerReply(outcome, Reason.NONE, reply.status, headers, reply.body)

    def _finish(
        self, kind: str, outcome: Outcome, reason: Reason, ticket: str = ""
    ) -> CallerReply:
        self._count(kind, outcome, reason)
        return problem_reply(outcome, reason, self.parts.rng, ticket)

    def _count(self, kind: str, outcome: Outcome, reason: Reason) -> None:
        key = (kind, str(outcome), str(reason))
        with self.lock:
            self.outcomes[key] = self.outcomes.get(key, 0) + 1

    # Cancellation.

    def _cancel(self, progress: _Progress) -> None:
        progress.cancelled = True
        current = progress.current
        if current is not None:
            try:
                self.parts.fleet.cancel(*current)
            except PeerError:
                pass


def _worth_retry(route: Route, reply: Reply | None, reason: Reason) -> bool:
    if reply is None:
        return is_retryable(route.idempotent, Outcome.UNKNOWN, reason, 0)
    outcome = Outcome(reply.outcome)
    return is_retryable(route.idempotent, outcome, reason, reply.status)


def _key_problem(req: CallerRequest, route: Route) -> Reason:
    if route.idempotent:
        return Reason.NONE
    if not req.key:
        return Reason.KEY_REQUIRED
    printable = req.key.isascii() and req.key.isprintable()
    if len(req.key) > MAX_KEY_LENGTH or not printable:
        return Reason.KEY_INVALID
    if req.key.startswith(TICKET_PREFIX) and parse_ticket(req.key) is None:
        return Reason.KEY_INVALID
    return Reason.NONE
