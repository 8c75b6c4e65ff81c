"""Attempts of a request: sent to gates, and sent again where that is allowed."""

__all__ = ["INGRESS_RULES", "Attempts"]

from threading import Lock

from ..errors import PeerError, PeerUnreachable
from ..headers import new_attempt_id
from ..peers.wire.ttypes import Reply
from ..policy.candidates import Candidate
from ..policy.outcomes import Outcome, Reason
from ..policy.resends import Resend, ResendRules, classify_resend
from .chains import ChainTracker
from .dependencies import IngressDependencies
from .pending import PendingRequest

REPLY_GRACE_S = 0.1
INGRESS_RULES = ResendRules(
    statuses=frozenset({503}),
    overload_reasons=frozenset({Reason.OVERLOAD, Reason.DISPLACED}),
    unknown_reasons=frozenset({Reason.TARGET_FAILED, Reason.PEER_FAILED}),
)


class Attempts:
    """Send the attempts of requests, and record what the replies report.

    Args:
        deps: Collaborators of the ingress.
        lock: Lock that guards the selector and the retry budget.
        chains: Call chains that requests belong to.
    """

    def __init__(self, deps: IngressDependencies, lock: Lock, chains: ChainTracker):
        self._deps = deps
        self._lock = lock
        self._chains = chains
        self.retries = 0

    def send_to_pool(self, pending: PendingRequest) -> None:
        """Send attempts to targets of the pool until no retry is needed or allowed."""
        while True:
            with self._lock:
                candidate = self._choose(pending)
            if candidate is None:
                return
            pending.tried.add(candidate.node_id)
            self.send(pending, candidate.node_id, candidate)
            if not self._may_retry(pending):
                return
            self.retries += 1

    def _choose(self, pending: PendingRequest) -> Candidate | None:
        deps = self._deps
        now = deps.clock()
        pool, fingerprint = pending.route.pool, pending.attempt.fingerprint
        if deps.quarantine.is_isolated(now, fingerprint):
            return deps.selector.choose_for_suspect(pool, pending.tried, fingerprint)
        return deps.selector.choose(pool, now, deps.rng, pending.tried)

    def _may_retry(self, pending: PendingRequest) -> bool:
        context, reply = pending.context, pending.reply
        if pending.cancelled or context.allowance <= 0:
            return False
        if self._deps.clock() >= context.deadline:
            return False
        resend = _classify(pending)
        if resend is Resend.NEVER:
            return False
        if resend is not Resend.FREE and not self._spend_retry_budget(pending):
            return False
        context.allowance -= 1
        if reply is not None and reply.key_version:
            pending.key_base = reply.key_version
        return True

    def _spend_retry_budget(self, pending: PendingRequest) -> bool:
        with self._lock:
            return self._deps.budget.spend(pending.req.caller, pending.route.pool)

    def send(
        self, pending: PendingRequest, node_id: int, candidate: Candidate | None = None
    ) -> None:
        """Send one attempt to a node, and set its reply and reason.

        Half of the retry allowance, rounded up, is passed on with the attempt for
        downstream calls; the part that the reply reports as unspent is added back.

        Args:
            pending: The request.
            node_id: Node beside the target.
            candidate: Target that was chosen; None if the request names the node.
        """
        now = self._deps.clock()
        context, attempt = pending.context, pending.attempt
        remaining_s = context.deadline - now
        _prepare(pending, node_id, remaining_s)
        if candidate is not None:
            with self._lock:
                self._deps.selector.record_sent(candidate)
        timeout_s = remaining_s + REPLY_GRACE_S
        try:
            reply = self._deps.fleet.call(node_id, attempt, timeout_s)
        except PeerUnreachable:
            context.allowance += attempt.allowance
            self._record_lost_call(candidate)
            pending.reply = Reply(outcome=str(Outcome.NOT_RUN), key_version=0)
            return
        except PeerError:
            pending.may_have_run = True
            self._record_lost_call(candidate)
            return
        self._record_reply(pending, node_id, reply, now)
        if candidate is not None:
            self._record_load(candidate, reply)
        self._record_levels(pending, reply)

    def _record_lost_call(self, candidate: Candidate | None) -> None:
        if candidate is not None:
            with self._lock:
                self._deps.selector.record_lost(candidate, self._deps.clock())

    def _record_reply(
        self, pending: PendingRequest, node_id: int, reply: Reply, sent_at: float
    ) -> None:
        attempt = pending.attempt
        pending.reply, pending.reason = reply, Reason(reply.reason)
        pending.context.allowance += max(0, min(reply.unspent, attempt.allowance))
        pending.ticket = reply.ticket or ""
        if reply.outcome != Outcome.NOT_RUN:
            pending.may_have_run = True
        if reply.reason == Reason.TARGET_LOST:
            self._deps.quarantine.record_target_loss(
                sent_at,
                attempt.fingerprint,
                node_id,
                reply.target_lifetime or 0,
                sent_at,
            )

    def _record_load(self, candidate: Candidate, reply: Reply) -> None:
        now = self._deps.clock()
        load = reply.load
        failed = reply.outcome == Outcome.UNKNOWN
        failed = failed or reply.reason == Reason.TARGET_UNREACHABLE
        with self._lock:
            self._deps.selector.record_reply(
                candidate,
                now,
                load.service_us / 1e6,
                load.limit,
                load.in_flight + load.queued,
                load.draining,
                failed,
            )
        self._deps.levels.update(f"gate:{candidate.node_id}", load.level, now)

    def _record_levels(self, pending: PendingRequest, reply: Reply) -> None:
        route, level = pending.route.name, reply.downstream_level
        self._deps.levels.update(f"route:{route}", level, self._deps.clock())
        self._chains.record_level(pending.context, max(reply.load.level, level))

    def cancel(self, pending: PendingRequest) -> None:
        """Send no further attempts, and cancel the latest one."""
        pending.cancelled = True
        current = pending.current
        if current is not None:
            try:
                self._deps.fleet.cancel(*current)
            except PeerError:
                pass


def _prepare(pending: PendingRequest, node_id: int, remaining_s: float) -> None:
    """Fill in the next attempt; its reply counts as lost until it arrives."""
    context, attempt = pending.context, pending.attempt
    attempt.attempt_id = new_attempt_id()
    attempt.remaining_us = max(0, int(remaining_s * 1e6))
    attempt.allowance = (context.allowance + 1) // 2
    attempt.key_base = pending.key_base
    context.allowance -= attempt.allowance
    pending.current = (node_id, attempt.attempt_id)
    pending.reply, pending.reason = None, Reason.PEER_FAILED


def _classify(pending: PendingRequest) -> Resend:
    reply = pending.reply
    outcome = Outcome.UNKNOWN if reply is None else Outcome(reply.outcome)
    status = 0 if reply is None else reply.status or 0
    idempotent, reason = pending.route.idempotent, pending.reason
    return classify_resend(
        idempotent, outcome, reason, status, reached=False, rules=INGRESS_RULES
    )
