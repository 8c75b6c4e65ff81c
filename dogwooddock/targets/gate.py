"""Gate of the local target: runs the attempts that ingresses send to it."""

__all__ = ["Gate"]

import threading

import structlog

from ..peers.wire.ttypes import Attempt, KeyStatus, Reply
from ..policy.admission import QueuedCall
from ..policy.outcomes import Outcome, Reason
from ..policy.quarantine import QuarantineStatus
from ..policy.tickets import Ticket, TicketState, parse_ticket
from ..tables import Pool
from .attempts import AttemptRecord, AttemptRegistry, Phase
from .claims import Claim, Claims
from .client import Target
from .dependencies import GateDependencies
from .replies import Replies
from .runs import TargetRuns
from .slots import SlotQueue, SlotWaiter
from .suspects import SuspectTurns
from .ticketed import TicketedAttempts

log = structlog.get_logger()


class Gate:
    """Admit, claim, dispatch and answer attempts for one target.

    Args:
        deps: Collaborators of the gate.
        node_id: Identifier of this node.
        address: Peer address of this node, as ``IP:PORT``.
    """

    def __init__(self, deps: GateDependencies, node_id: int, address: str):
        self.deps = deps
        self.node_id = node_id
        self.pool: Pool | None = None
        self.target: Target | None = None
        self.registry = AttemptRegistry()
        self.lock = threading.Lock()
        self.outcomes: dict[tuple[str, str], int] = {}
        self._claims = Claims(deps.keys, node_id, address, deps.clock)
        self._slots = SlotQueue(lambda: deps.admission, self.lock, deps.clock)
        self._suspects = SuspectTurns(deps.clock)
        self._tickets = TicketedAttempts(deps, self.lock)
        self._replies = Replies(deps, self.lock)
        self._runs = TargetRuns(deps, node_id, self.lock, self._slots, self._replies)

    # Attempts.

    def call(self, attempt: Attempt) -> Reply:
        """Run an attempt and return its reply.

        A duplicate is not run again: it waits for the first and gets the same reply.
        """
        now = self.deps.clock()
        deadline = now + attempt.remaining_us / 1e6
        record, created = self.registry.begin(now, attempt.attempt_id)
        if not created:
            return self._await_duplicate(attempt, record, deadline)
        try:
            reply = self._run(attempt, record, deadline)
        except Exception:
            log.exception("attempt_failed", attempt=attempt.attempt_id)
            reply = self._unknown(attempt, Reason.TARGET_FAILED)
        keep = not attempt.idempotent
        self.registry.finish(self.deps.clock(), record, reply, keep)
        self._count_outcome(reply)
        return reply

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt; return True if it did not run and will not run."""
        record = self.registry.tombstone(self.deps.clock(), attempt_id)
        record.canceller.cancel()
        self._slots.cancel(attempt_id)
        return record.phase is Phase.TOMBSTONED

    def key_status(self, holder: int, attempt_id: str, wait_s: float) -> KeyStatus:
        """Return the status of an attempt that claimed a key.

        An attempt that is not known here is tombstoned, so that it cannot run later.

        Args:
            holder: Node that claimed the key; "lost" is returned for another node.
            attempt_id: Identifier of the attempt.
            wait_s: Longest time to wait for a running attempt, in seconds.
        """
        if holder != self.node_id:
            return KeyStatus("lost", None)
        record = self.registry.find(attempt_id)
        if record is None:
            record = self.registry.tombstone(self.deps.clock(), attempt_id)
        if record.phase is Phase.TOMBSTONED:
            return KeyStatus("never", None)
        if not record.done.wait(wait_s):
            return KeyStatus("running", None)
        return KeyStatus("finished", record.reply)

    # Tickets.

    def issue_tickets(self, count: int) -> list[str]:
        """Return new tickets; the list is empty without a target or while draining."""
        return [] if self.target is None else self._tickets.issue(count)

    def cancel_ticket(self, text: str) -> str:
        """Cancel a ticket that was not used, and return the state of the ticket."""
        return self._tickets.cancel(text)

    # Target.

    def drain(self) -> None:
        """Refuse new attempts and those that wait; running ones finish."""
        with self.lock:
            self.deps.admission.draining = True
            self._slots.refuse_waiting(Reason.DRAINING)
        self._suspects.refuse_held(Reason.DRAINING)

    def serve(self, pool: Pool, target: Target) -> None:
        """Start to serve a pool with a target, which replaces the previous one."""
        with self.lock:
            previous, self.target = self.target, target
            self._apply_limits(pool)
            self.deps.admission.draining = False
        if previous is not None and previous is not target:
            previous.close()

    def remove_target(self) -> None:
        """Serve no target until another one is given."""
        with self.lock:
            previous, self.target = self.target, None
        if previous is not None:
            previous.close()

    def update_pool(self, pool: Pool) -> None:
        """Apply changed limits of the pool."""
        with self.lock:
            self._apply_limits(pool)

    def _apply_limits(self, pool: Pool) -> None:
        self.pool = pool
        admission = self.deps.admission
        admission.limit.resize(pool.min_limit, pool.limit_ceiling)
        admission.capacity = pool.queue_capacity

    # Steps of one attempt.

    def _run(self, attempt: Attempt, record: AttemptRecord, deadline: float) -> Reply:
        """Use the ticket of an attempt, if it has one, and admit the attempt."""
        deps = self.deps
        if attempt.config_version > deps.config_version():
            deps.catch_up(attempt.source, attempt.config_version)
        ticket = parse_ticket(attempt.key) if attempt.key else None
        if ticket is None:
            return self._admit(attempt, record, deadline)
        state = self._tickets.start(ticket, attempt)
        if state is not TicketState.FRESH:
            return self._reply_for_used_ticket(attempt, ticket, state, deadline)
        reply = self._admit(attempt, record, deadline)
        self._tickets.finish(ticket, reply)
        return reply

    def _reply_for_used_ticket(
        self, attempt: Attempt, ticket: Ticket, state: TicketState, deadline: float
    ) -> Reply:
        """Return the reply for a ticket that cannot be started.

        A ticket that was used gets the reply of the attempt that used it.
        """
        if state is TicketState.CANCELLED:
            reply = self._refusal(attempt, Reason.TICKET_SPENT)
            self._tickets.add_next(reply)
            return reply
        earlier = self.registry.find(self._tickets.attempt_id(ticket))
        if state is TicketState.FOREIGN or earlier is None:
            return self._unknown(attempt, Reason.TICKET_LOST)
        return self._await_duplicate(attempt, earlier, deadline)

    def _await_duplicate(
        self, attempt: Attempt, record: AttemptRecord, deadline: float
    ) -> Reply:
        record.done.wait(max(0.0, deadline - self.deps.clock()))
        earlier = record.reply
        if earlier is not None:
            return self._replies.repeat(attempt, earlier)
        if record.phase is Phase.TOMBSTONED:
            return self._refusal(attempt, Reason.CANCELLED)
        return self._unknown(attempt, Reason.KEY_IN_USE)

    def _admit(self, attempt: Attempt, record: AttemptRecord, deadline: float) -> Reply:
        """Refuse quarantined requests, and run suspect ones one at a time."""
        if self.target is None:
            return self._refusal(attempt, Reason.NO_TARGET)
        status = self._quarantine_status(attempt)
        if status is QuarantineStatus.QUARANTINED:
            return self._refusal(attempt, Reason.QUARANTINED)
        if status is QuarantineStatus.SUSPECT:
            return self._admit_suspect(attempt, record, deadline)
        return self._queue_and_send(attempt, record, deadline)

    def _admit_suspect(
        self, attempt: Attempt, record: AttemptRecord, deadline: float
    ) -> Reply:
        """Wait for the turn of a suspect request, and look up its status again."""
        turn = self._suspects.await_turn(deadline)
        try:
            status = self._quarantine_status(attempt)
            if turn.reason or status is QuarantineStatus.QUARANTINED:
                return self._refusal(attempt, turn.reason or Reason.QUARANTINED)
            if status is QuarantineStatus.SUSPECT:
                return self._queue_and_send(attempt, record, deadline)
        finally:
            self._suspects.leave(turn)
        return self._queue_and_send(attempt, record, deadline)

    def _quarantine_status(self, attempt: Attempt) -> QuarantineStatus:
        return self.deps.quarantine.status(self.deps.clock(), attempt.fingerprint)

    def _queue_and_send(
        self, attempt: Attempt, record: AttemptRecord, deadline: float
    ) -> Reply:
        """Queue for a slot, claim the key meanwhile, and dispatch the attempt."""
        needs_claim = not attempt.idempotent and parse_ticket(attempt.key) is None
        call = _queued_call(attempt, deadline, ready=not needs_claim)
        waiter = self._slots.arrive(call)
        if waiter.reason:
            return self._refusal(attempt, waiter.reason)
        claim = Claim()
        if needs_claim:
            claim = self._claim(attempt, waiter, deadline)
            if claim.reason:
                self._slots.withdraw(waiter)
                return self._refusal(attempt, claim.reason)
            self._slots.mark_ready(waiter)
        reason = self._slots.await_slot(waiter)
        if reason:
            return self._release_and_refuse(attempt, claim, reason)
        target = self.target
        reason = self._reason_not_to_dispatch(attempt, record, call)
        if reason or target is None:
            self._slots.withdraw(waiter)
            reason = reason or Reason.NO_TARGET
            return self._release_and_refuse(attempt, claim, reason)
        return self._dispatch(target, attempt, record, call, claim)

    def _reason_not_to_dispatch(
        self, attempt: Attempt, record: AttemptRecord, call: QueuedCall
    ) -> Reason:
        """Return why an attempt that holds a slot is not sent, or an empty reason."""
        if self.deps.admission.is_too_late(self.deps.clock(), call):
            return Reason.DEADLINE
        if self._quarantine_status(attempt) is QuarantineStatus.QUARANTINED:
            return Reason.QUARANTINED
        return Reason.NONE if self.registry.dispatch(record) else Reason.CANCELLED

    def _claim(self, attempt: Attempt, waiter: SlotWaiter, deadline: float) -> Claim:
        """Claim the key of a waiting attempt, which leaves the queue on an error."""
        try:
            return self._claims.claim(attempt, deadline)
        except Exception:
            self._slots.withdraw(waiter)
            raise

    def _dispatch(
        self,
        target: Target,
        attempt: Attempt,
        record: AttemptRecord,
        call: QueuedCall,
        claim: Claim,
    ) -> Reply:
        """Run an attempt on the target, then release its claim or store its answer."""
        result = self._runs.run(target, attempt, record, call)
        reply = result.reply
        if not result.sent:
            return self._release_and_refuse(attempt, claim, Reason(reply.reason))
        if reply.outcome == Outcome.ANSWERED:
            self._claims.finish(attempt, claim.version, reply)
        return reply

    # Replies.

    def _release_and_refuse(
        self, attempt: Attempt, claim: Claim, reason: Reason
    ) -> Reply:
        reply = self._refusal(attempt, reason)
        reply.key_version = self._claims.release(attempt, claim.version)
        return reply

    def _refusal(self, attempt: Attempt, reason: Reason) -> Reply:
        return self._replies.refusal(attempt, Outcome.NOT_RUN, reason)

    def _unknown(self, attempt: Attempt, reason: Reason) -> Reply:
        return self._replies.refusal(attempt, Outcome.UNKNOWN, reason)

    def _count_outcome(self, reply: Reply) -> None:
        key = (reply.outcome, reply.reason)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1


def _queued_call(attempt: Attempt, deadline: float, ready: bool) -> QueuedCall:
    return QueuedCall(
        attempt.attempt_id,
        attempt.importance,
        attempt.depth,
        deadline,
        attempt.route,
        attempt.caller,
        ready=ready,
    )
