"""The ingress: requests of local callers and of the local target.

Each request gets exactly one response: a target's answer, or an error response of the
node that tells whether the request may have run.
"""

__all__ = ["Ingress"]

import asyncio
from dataclasses import dataclass
from random import Random

from ..errors import DogwooddockError
from ..http1.exchange import MAX_UPLOAD_S
from ..http1.messages import Request
from ..http1.server import Exchange
from ..policy.accounts import ClientAccount
from ..policy.accountshares import AccountRanks
from ..policy.heldbytes import HeldBytes
from ..policy.outcomes import Outcome, Reason
from ..policy.quarantine import Quarantine, QuarantineStatus, fingerprint
from ..policy.recentlatency import RecentLatency
from ..policy.retryallowance import RetryAllowance
from ..policy.shutdown import Shutdown
from .admissionlevels import AdmissionLevels
from .answermemory import AnswerMemory
from .authentication import Authentication
from .calls import MeshCall, MeshReply
from .config import ConfigHolder
from .configproofs import ConfigProofs
from .environment import NodeEnvironment
from .errorresponses import ErrorResponses
from .fleet import Fleet
from .gate import Gate
from .gatecalls import GateCall
from .pending import (
    PendingRequest,
    chain_rank,
    importance_and_depth,
    objective_end,
)
from .quotas import QuotaPermit, QuotaRequest, Quotas
from .requestcounts import RequestCounts
from .resends import Resends
from .routing import MeshRoute
from .wireformat import CallerFields, HeaderFormat

# Time after the deadline of a request in which a gate's reply is still awaited; longer
# than the time in which the gate awaits the target's answer.
ANSWER_GRACE_S = 0.12
LINK_RETRY_PERIOD_S = 0.03
# Share of the latency objective for which a request may wait for a link.
MAX_LINK_WAIT_SHARE = 0.12


@dataclass(frozen=True, slots=True)
class _Caller:
    """Who sent a request, and on which route.

    Args:
        fields: Headers that concern the node.
        route: Route that serves the request.
        parent: Run of the local target that made the request; None if a client did.
        account: Account whose key it carries; None if it needs none.
    """

    fields: CallerFields
    route: MeshRoute
    parent: GateCall | None
    account: ClientAccount | None


class Ingress:
    """Forward each request to a target and return its answer.

    Args:
        env: Addresses, zone and bounds of this node.
        wire: Header format of the platform.
        config: Active configuration.
        fleet: Gates that calls can be sent to.
        gate: Gate of the local target.
        retries: Retries that this node may make.
        quarantine: Requests that made targets crash.
        quotas: Quotas of client accounts.
        rng: Random source of the jitter of Retry-After delays.
        proofs: Tells whether the configuration is recent enough for API keys; None if
            it need not be.
        memory: Budget for bodies; without a limit if it is None.

    ``shutdown`` decides what is still taken, once the node stops.
    """

    def __init__(
        self,
        env: NodeEnvironment,
        wire: HeaderFormat,
        config: ConfigHolder,
        fleet: Fleet,
        gate: Gate,
        retries: RetryAllowance,
        quarantine: Quarantine,
        quotas: Quotas,
        rng: Random,
        proofs: ConfigProofs | None = None,
        memory: HeldBytes | None = None,
    ):
        self._loop = asyncio.get_running_loop()
        self._env = env
        self._answer_memory = AnswerMemory(
            memory or HeldBytes(), self._start_attempt, self._give_up
        )
        self._wire = wire
        self._config = config
        self._fleet = fleet
        self._gate = gate
        self._quarantine = quarantine
        self._quotas = quotas
        self._ranks = AccountRanks()
        self.shutdown: Shutdown | None = None
        self._pending: set[PendingRequest] = set()
        self._latency = RecentLatency()
        self.counts = RequestCounts()
        self._errors = ErrorResponses(
            wire, config, self.counts, gate.chains.reported, quotas, rng
        )
        self._keys = Authentication(self._errors, proofs)
        self._levels = AdmissionLevels(fleet.levels, fleet.pool_levels, gate.chains)
        self._resends = Resends(fleet, retries, self.counts, gate.chains)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are not answered."""
        return len(self._pending)

    # Arrival.

    def check_head(self, exchange: Exchange) -> None:
        """Respond with an error if one is known before the body has arrived."""
        self._identify(exchange)

    def upload_timeout_s(self, head: Request) -> float:
        """Return how long a client sends a request, which waits no longer than that."""
        try:
            wait_s = self._wire.read_caller(head).wait_s
        except DogwooddockError:
            wait_s = None
        return MAX_UPLOAD_S if wait_s is None else min(wait_s, MAX_UPLOAD_S)

    def refuse_for_memory(self, exchange: Exchange) -> None:
        """Refuse a request for which there is no memory."""
        caller = self._identify(exchange)
        if caller is not None:
            self._give_up(self._create_pending(exchange, caller), Reason.MEMORY)

    def handle(self, exchange: Exchange) -> None:
        """Route a request and start its first attempt, or respond with an error."""
        caller = self._identify(exchange)
        if caller is None:
            return
        pending = self._create_pending(exchange, caller)
        if not self._admits(pending):
            self._give_up(pending, Reason.DRAINING)
            return
        account = pending.account
        if account is None or not account.rate_per_s:
            self._begin(pending)
            return
        pending.withdraw = self._quotas.acquire(
            QuotaRequest(
                account,
                pending.call.request_id.decode("latin-1"),
                pending.call.deadline - self._loop.time(),
                lambda permit: self._on_quota(pending, permit),
            )
        )

    def _admits(self, pending: PendingRequest) -> bool:
        """Report whether a stopping node still takes a request, and limit its time."""
        if self.shutdown is None:
            return True
        now, call = pending.arrived_at, pending.call
        if pending.parent is not None:
            admitted = self.shutdown.admits_call(now)
        else:
            usual_s = self._latency.longest_s(now, call.route)
            admitted = self.shutdown.admits(now, call.deadline - now, usual_s)
        if admitted:
            self._set_deadline(pending, self.shutdown.limit_deadline(call.deadline))
        return admitted

    def _set_deadline(self, pending: PendingRequest, deadline: float) -> None:
        """Set the time at which targets give a request up."""
        if pending.timer is not None:
            pending.timer.cancel()
        pending.call.deadline = deadline
        pending.timer = self._loop.call_at(
            deadline + ANSWER_GRACE_S, self._time_out, pending
        )

    def _identify(self, exchange: Exchange) -> _Caller | None:
        """Return who sent a request on which route; None if it was refused."""
        table = self._config.table
        try:
            fields = self._wire.read_caller(exchange.request)
        except DogwooddockError as exc:
            self._errors.refuse_malformed(exchange, str(exc))
            return None
        if table is None:
            self._errors.refuse_unconfigured(exchange, fields)
            return None
        path = exchange.request.path.decode("latin-1")
        route = table.find(fields.host, path)
        if route is None:
            self._errors.refuse_unrouted(exchange, fields, path)
            return None
        parent = self._gate.parent_of(fields.request_id)
        account = None
        if table.accounts is not None and not route.public and parent is None:
            account = self._keys.identify(exchange, fields, route, table.accounts)
            if account is None:
                return None
        return _Caller(fields, route, parent, account)

    def _create_pending(self, exchange: Exchange, caller: _Caller) -> PendingRequest:
        table = self._config.table
        assert table is not None
        fields, route = caller.fields, caller.route
        parent, account = caller.parent, caller.account
        pool = table.next_pool(route)
        now = exchange.arrived_at
        request = exchange.request
        wait_s = route.timeout_s
        if fields.wait_s is not None:
            wait_s = min(wait_s, fields.wait_s)
        importance, depth = importance_and_depth(route, parent, account)
        path = request.target.decode("latin-1")
        call = MeshCall(
            fields.request_id,
            route.name,
            "",
            request.method,
            request.target,
            self._wire.forwarded_headers(request, table.accounts is not None),
            request.body,
            now + wait_s,
            route.idempotent,
            importance,
            depth,
            self._env.pool,
            fingerprint(
                self._env.pool, "", request.body, path, request.method.decode("latin-1")
            ),
            chain_rank(route, fields.request_id, parent, account),
            parent is not None and parent.call.repeat,
            account=_account_name(parent, account),
            objective=objective_end(route, now, parent),
        )
        pending = PendingRequest(exchange, call, route, pool, now, parent)
        pending.account = account
        # The call has the headers, in much less memory.
        request.headers, request.fields = [], {}
        self._pending.add(pending)
        exchange.on_disconnect = lambda: self._on_disconnect(pending)
        exchange.must_be_answered = lambda: pending.may_run_once
        self._set_deadline(pending, call.deadline)
        if parent is not None:
            parent.queued.made_calls = True
            self._gate.chains.record_call(
                now, parent.call.route, route.name, pool, call.rank
            )
        return pending

    # Quota.

    def _on_quota(self, pending: PendingRequest, permit: QuotaPermit | None) -> None:
        """Start a request that has a token, or refuse it."""
        pending.withdraw, pending.permit = None, permit
        if permit is None:
            self._give_up(pending, Reason.QUOTA)
        else:
            self._begin(pending)

    def _release_quota(self, pending: PendingRequest, ran: bool) -> None:
        """Withdraw from the wait for a token, or give back that of no run."""
        if pending.withdraw is not None:
            pending.withdraw()
        elif pending.permit is not None and not ran:
            self._quotas.give_back(pending.permit)

    # Attempts.

    def _begin(self, pending: PendingRequest) -> None:
        """Rank a request within its account's quota and start its first attempt."""
        self._resends.record_request(pending)
        account, table = pending.account, self._config.table
        if account is not None and table is not None and table.accounts is not None:
            pending.call.rank = self._ranks.rank(
                self._loop.time(),
                pending.call.importance,
                account.name,
                table.accounts.weight(account.name),
                pending.call.request_id.decode("latin-1"),
                self._quotas.demand_per_s(account),
            )
        if pending.done:
            return
        self._answer_memory.start(pending)

    def _start_attempt(self, pending: PendingRequest) -> None:
        if pending.done:
            return
        now = self._loop.time()
        call = pending.call
        if (
            self._quarantine.status(now, call.fingerprint)
            is QuarantineStatus.QUARANTINED
        ):
            self._give_up(pending, Reason.QUARANTINED)
            return
        if self._quarantine.is_isolated(now, call.fingerprint):
            candidate = self._fleet.choose_for_suspect(
                pending.pool, pending.tried, call.fingerprint
            )
        else:
            candidate = self._resends.choose(pending, now)
        if candidate is None:
            self._wait_for_link(pending, now)
            return
        if self._levels.refuses(pending):
            self._give_up(pending, Reason.OVERLOAD)
            return
        call.target_id = self._fleet.target_id(candidate)
        pending.tried.add(candidate.node_id)
        pending.last_node = candidate.node_id
        pending.unconfirmed += 1
        replies: list[MeshReply] = []

        def on_reply(reply: MeshReply) -> None:
            replies.append(reply)
            self._on_reply(pending, reply)

        pending.outbound = None
        outbound = self._fleet.send(pending.pool, candidate, call, on_reply)
        if not replies:
            pending.outbound = outbound

    def _wait_for_link(self, pending: PendingRequest, now: float) -> None:
        limit_s = pending.route.objective_s * MAX_LINK_WAIT_SHARE
        waited_s = now - pending.arrived_at
        if waited_s < limit_s and self._fleet.has_members(pending.pool):
            self._loop.call_later(LINK_RETRY_PERIOD_S, self._start_attempt, pending)
        else:
            self._give_up(pending, pending.last_reply.reason)

    def _on_reply(self, pending: PendingRequest, reply: MeshReply) -> None:
        if pending.done:
            return
        pending.outbound = None
        pending.last_reply = reply
        self._levels.record(pending, reply)
        if reply.reason is Reason.TARGET_SHED:
            pending.record_turned_away()
        elif reply.reached:
            pending.reached += 1
            if reply.idle_close:
                pending.allow_same_target()
        if reply.outcome is Outcome.NOT_RUN:
            pending.unconfirmed -= 1
        elif reply.outcome is Outcome.ANSWERED:
            pending.fallback = reply
        if self._resends.prepare(pending, reply):
            self._loop.call_soon(self._start_attempt, pending)
        elif reply.outcome is Outcome.ANSWERED:
            self._deliver(pending, reply)
        else:
            self._give_up(pending, reply.reason)

    # Answers.

    def _deliver(self, pending: PendingRequest, reply: MeshReply) -> None:
        if reply.status >= 300:
            self._errors.log_failure(pending, reply.reason, reply.status)
        self._answer_memory.record(pending.route.name, len(reply.body))
        self._finish(pending, Outcome.ANSWERED, reply.reason, reply.status < 300)
        pending.exchange.respond(reply.status, reply.headers, reply.body)

    def _give_up(self, pending: PendingRequest, reason: Reason) -> None:
        """Respond with an earlier answer of a target, or with not-run or unknown.

        The outcome is not-run only if every gate that the request was sent to has
        reported that it did not run.
        """
        if pending.fallback is not None:
            self._deliver(pending, pending.fallback)
            return
        failure = self._errors.failure(pending, reason)
        self._finish(pending, failure.outcome, reason, False)
        self._errors.send_failure(pending, failure)

    def _time_out(self, pending: PendingRequest) -> None:
        if pending.done:
            return
        self._cancel_outbound(pending)
        self._give_up(pending, Reason.DEADLINE)

    def give_up_all(self, reason: Reason) -> None:
        """Respond to every request that is left, before the process exits."""
        for pending in list(self._pending):
            self._cancel_outbound(pending)
            self._give_up(pending, reason)

    def _cancel_outbound(self, pending: PendingRequest) -> None:
        outbound, pending.outbound = pending.outbound, None
        if outbound is not None:
            self._fleet.cancel(outbound)

    def _on_disconnect(self, pending: PendingRequest) -> None:
        if pending.done:
            return
        self._cancel_outbound(pending)
        self._errors.log_failure(pending, Reason.CANCELLED, 0)
        self._finish(pending, Outcome.UNKNOWN, Reason.CANCELLED, True)

    def _finish(
        self, pending: PendingRequest, outcome: Outcome, reason: Reason, succeeded: bool
    ) -> None:
        pending.done = True
        self._pending.discard(pending)
        if pending.account is not None:
            self.counts.accounts.record(pending.account.name, outcome.value)
            never_sent = outcome is Outcome.UNKNOWN and not pending.tried
            self._release_quota(
                pending, outcome is not Outcome.NOT_RUN and not never_sent
            )
        if pending.timer is not None:
            pending.timer.cancel()
        self._answer_memory.release(pending)
        if pending.parent is not None and not succeeded:
            pending.parent.downstream_failed = True
        route = pending.route.name
        now = self._loop.time()
        self.counts.record(route, outcome, reason)
        self.counts.latency.observe(route, now - pending.arrived_at)
        if succeeded or outcome is Outcome.UNKNOWN:
            self._latency.record(now, route, now - pending.arrived_at)


def _account_name(parent: GateCall | None, account: ClientAccount | None) -> str:
    """Return the account that a request counts for in fair queueing."""
    if parent is not None:
        return parent.call.account
    return account.name if account is not None else ""
