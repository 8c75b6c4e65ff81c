"""Ingress: sends a caller's request to a target and reports the outcome."""

__all__ = ["Ingress"]

import threading

from ..peers.wire.ttypes import Attempt, Header
from ..policy.outcomes import Outcome, Reason
from ..policy.quarantine import QuarantineStatus, fingerprint
from ..policy.recentlatency import RecentLatency
from ..policy.shutdown import Shutdown
from ..policy.tickets import TICKET_PREFIX, TicketState, parse_ticket
from ..tables import MAX_IMPORTANCE, Route
from .attempts import Attempts
from .chains import CallContext, ChainTracker
from .dependencies import IngressDependencies
from .messages import CallerReply, CallerRequest
from .pending import PendingRequest
from .results import Results
from .ticketclient import TicketClient

MAX_KEY_LENGTH = 200
SERVER_ERROR_STATUS = 500
IN_FLIGHT_BASE_SHARE = 0.55


class Ingress:
    """Serve callers' requests.

    Args:
        deps: Collaborators of the ingress.

    ``shutdown`` decides what is still taken, once the node stops.
    """

    def __init__(self, deps: IngressDependencies):
        self.deps = deps
        self.shutdown: Shutdown | None = None
        self._latency = RecentLatency()
        self.lock = threading.Lock()
        self.in_flight = 0
        self.chains = ChainTracker(deps.ledger, deps.ledger_lock, deps.edge_allowance)
        self.tickets = TicketClient(deps)
        self._attempts = Attempts(deps, self.lock, self.chains)
        self._results = Results(deps, self.lock, self.chains)

    @property
    def retries(self) -> int:
        """Return the number of attempts that were retries."""
        return self._attempts.retries

    @property
    def outcomes(self) -> dict[tuple[str, str, str], int]:
        """Return the number of requests by kind, outcome and reason."""
        return self._results.outcomes

    def handle(self, req: CallerRequest) -> CallerReply:
        """Run one request and return its outcome to the caller."""
        started = self.deps.clock()
        tables = self.deps.tables()
        path = req.path.partition("?")[0]
        route = tables.match(req.caller, req.method, path)
        reason = Reason.NO_ROUTE if route is None else _check_key(req, route)
        if route is None or reason:
            return self._results.problem(route, Outcome.NOT_RUN, reason)
        if not self._admits(req, route, started):
            return self._refuse_before_sending(req, route, Reason.DRAINING)
        if not self._reserve_in_flight(route.importance):
            return self._refuse_before_sending(req, route, Reason.OVERLOAD)
        context = self.chains.begin(req, route, started)
        context.deadline = self._limit_deadline(context.deadline)
        failed = True
        try:
            reply = self._serve(req, route, context, tables.version)
            failed = reply.status >= SERVER_ERROR_STATUS
            self._record_latency(route, started, reply, failed)
            return reply
        finally:
            self._release_in_flight()
            elapsed_s = self.deps.clock() - started
            self.chains.end(req, context, elapsed_s, failed)

    # Admission at the ingress.

    def _admits(self, req: CallerRequest, route: Route, now: float) -> bool:
        """Report whether a stopping node still takes a request."""
        if self.shutdown is None:
            return True
        if req.local:
            return self.shutdown.admits_call(now)
        with self.lock:
            usual_s = self._latency.longest_s(now, route.name)
        return self.shutdown.admits(now, self.chains.wait_s(req, route), usual_s)

    def _limit_deadline(self, deadline: float) -> float:
        """Return a deadline that a stopping node can keep."""
        if self.shutdown is None:
            return deadline
        return self.shutdown.limit_deadline(deadline)

    def _record_latency(
        self, route: Route, started: float, reply: CallerReply, failed: bool
    ) -> None:
        if failed and reply.outcome is not Outcome.UNKNOWN:
            return
        now = self.deps.clock()
        with self.lock:
            self._latency.record(now, route.name, now - started)

    def _reserve_in_flight(self, importance: int) -> bool:
        """Count a request as in flight; return False if its limit is reached.

        The limit grows with the importance, from ``IN_FLIGHT_BASE_SHARE`` of
        ``max_in_flight`` to all of it.
        """
        share = IN_FLIGHT_BASE_SHARE
        share += (1 - IN_FLIGHT_BASE_SHARE) * importance / MAX_IMPORTANCE
        with self.lock:
            if self.in_flight >= self.deps.max_in_flight * share:
                return False
            self.in_flight += 1
            return True

    def _release_in_flight(self) -> None:
        with self.lock:
            self.in_flight -= 1

    def _is_below_admission_level(self, route: Route, context: CallContext) -> bool:
        """Report whether the route or every gate of its pool would refuse the call."""
        levels = self.deps.levels
        now = self.deps.clock()
        if context.rank < levels.level(f"route:{route.name}", now):
            return True
        candidates = self.deps.selector.candidates(route.pool)
        if not candidates:
            return False
        lowest = min(
            levels.level(f"gate:{candidate.node_id}", now) for candidate in candidates
        )
        return context.rank < lowest

    # Refusals.

    def _refuse_before_sending(
        self, req: CallerRequest, route: Route, reason: Reason
    ) -> CallerReply:
        """Refuse a request of which this ingress has sent no attempt.

        An earlier request with the same key may have run. Not-run is reported only
        once the key is released or the ticket cancelled.
        """
        if not req.key:
            return self._results.problem(route, Outcome.NOT_RUN, reason)
        if req.key.startswith(TICKET_PREFIX):
            return self._cancel_refused_ticket(req, route, reason)
        if self.deps.keyed is None:
            return self._refuse_key_without_store(route)
        deadline = self._limit_deadline(self.deps.clock() + route.timeout_ms / 1000)
        state = self.deps.keyed.lookup(req.key, deadline)
        if state.settled:
            return self._results.report_key(route, state)
        return self._results.confirm_not_run(
            route, req.key, state.base, reason, deadline
        )

    def _refuse_key_without_store(self, route: Route) -> CallerReply:
        reason = Reason.STORE_UNAVAILABLE
        return self._results.problem(route, Outcome.UNKNOWN, reason)

    def _cancel_refused_ticket(
        self, req: CallerRequest, route: Route, reason: Reason
    ) -> CallerReply:
        state = self.tickets.cancel(req.key)
        if state == TicketState.CANCELLED:
            return self._results.problem(route, Outcome.NOT_RUN, reason)
        return self._results.problem(route, Outcome.UNKNOWN, Reason.TICKET_LOST)

    # Running a request.

    def _serve(
        self, req: CallerRequest, route: Route, context: CallContext, version: int
    ) -> CallerReply:
        identity = fingerprint(route.name, req.key, req.body, req.path)
        if not req.key and self._is_quarantined(identity):
            reason = Reason.QUARANTINED
            return self._results.problem(route, Outcome.NOT_RUN, reason)
        if self._is_below_admission_level(route, context):
            self.chains.record_level(context, context.rank + 1)
            return self._refuse_before_sending(req, route, Reason.OVERLOAD)
        attempt = self._build_attempt(req, route, context, version, identity)
        pending = PendingRequest(req, route, context, attempt)
        if not route.idempotent and parse_ticket(req.key) is None:
            return self._send_keyed(pending)
        return self._send(pending)

    def _is_quarantined(self, identity: str) -> bool:
        status = self.deps.quarantine.status(self.deps.clock(), identity)
        return status is QuarantineStatus.QUARANTINED

    def _send_keyed(self, pending: PendingRequest) -> CallerReply:
        """Send a request whose key allows it, else report the state of the key."""
        if self.deps.keyed is None:
            return self._refuse_key_without_store(pending.route)
        deadline = pending.context.deadline
        state = self.deps.keyed.lookup(pending.req.key, deadline)
        if state.settled:
            return self._results.report_key(pending.route, state)
        pending.key_base = state.base
        return self._send(pending)

    def _send(self, pending: PendingRequest) -> CallerReply:
        req = pending.req
        if req.on_start is not None:
            idempotent = pending.route.idempotent
            req.on_start(lambda: self._attempts.cancel(pending), idempotent)
        with self.lock:
            self.deps.budget.earn(req.caller, pending.route.pool)
        ticket = parse_ticket(req.key) if req.key else None
        if ticket is not None:
            self._attempts.send(pending, ticket.node_id)
        else:
            self._attempts.send_to_pool(pending)
        return self._results.resolve(pending)

    def _build_attempt(
        self,
        req: CallerRequest,
        route: Route,
        context: CallContext,
        version: int,
        identity: str,
    ) -> Attempt:
        return Attempt(
            attempt_id="",
            trace_id=context.trace_id,
            route=route.name,
            caller=req.caller,
            importance=context.importance,
            depth=context.depth,
            remaining_us=0,
            allowance=0,
            config_version=version,
            method=req.method,
            path=req.path,
            headers=[Header(*pair) for pair in req.headers],
            body=req.body,
            idempotent=route.idempotent,
            key="" if route.idempotent else req.key,
            key_base=0,
            fingerprint=identity,
            source=self.deps.source,
            rank=context.rank,
        )


def _check_key(req: CallerRequest, route: Route) -> Reason:
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
