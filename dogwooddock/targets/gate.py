"""Gate of the local target: runs attempts that ingresses send."""

__all__ = ["Gate", "GateParts"]

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from ..errors import TargetError, TargetUnreachable
from ..headers import (
    IDEMPOTENCY_KEY,
    TIMEOUT_MS,
    TRACEPARENT,
    end_to_end,
    make_traceparent,
)
from ..keys.committer import KeyService
from ..peers.wire.ttypes import Attempt, Header, KeyStatus, Load, Reply
from ..policy.admission import Admission, QueuedCall
from ..policy.allowance import AllowanceLedger
from ..policy.levels import LevelTable
from ..policy.outcomes import Outcome, Reason
from ..policy.quarantine import Mark, Quarantine, Standing
from ..policy.tickets import TicketRegistry, TicketState, parse_ticket
from ..tables import Pool
from .attempts import AttemptRecord, AttemptRegistry, Phase
from .claims import Claims
from .client import Target
from .slots import SlotQueue

LOSS_CHECK_DELAY_S = 0.03
SERVER_ERROR_STATUS = 500

log = structlog.get_logger()


@dataclass
class GateParts:
    """What a gate works with.

    Args:
        admission: Slots of the target.
        ledger: Retry allowances of the chains that the target works on.
        tickets: Tickets of this node.
        quarantine: Requests that crash targets.
        keys: Key rows, or None if the node has no platform.
        spread_mark: Function that spreads a quarantine mark.
        catch_up: Function that fetches a configuration version from a peer.
        config_version: Function that returns the version in force.
        clock: Monotonic clock in seconds.
    """

    admission: Admission
    ledger: AllowanceLedger
    tickets: TicketRegistry
    quarantine: Quarantine
    keys: KeyService | None
    spread_mark: Callable[[Mark], None]
    catch_up: Callable[[str, int], None]
    config_version: Callable[[], int]
    clock: Callable[[], float] = time.monotonic


class Gate:
    """Admit, claim, dispatch and answer attempts for one target.

    Args:
        parts: Collaborators.
        node_id: Identity of this node.
        address: Address of this node's peer port, as text.
    """

    def __init__(self, parts: GateParts, node_id: int, address: str):
        self.parts = parts
        self.node_id = node_id
        self.address = address
        self.pool: Pool | None = None
        self.target: Target | None = None
        self.registry = AttemptRegistry()
        self.lock = threading.Lock()
        self.outcomes: dict[tuple[str, str], int] = {}
        self.below = LevelTable()
        self._claims = Claims(parts.keys, node_id, address, parts.clock)
        self._slots = SlotQueue(lambda: parts.admission, self.lock, parts.clock)
        self._ticket_attempts: dict[int, str] = {}
        self._suspect_lock = threading.Lock()

    # Public operations.

    def call(self, attempt: Attempt) -> Reply:
        """Run an attempt, or return the reply of the same attempt."""
        now = self.parts.clock()
        deadline = now + attempt.remaining_us / 1e6
        record, created = self.registry.begin(now, attempt.attempt_id)
        if not created:
            return self._await_duplicate(attempt, record, deadline)
        try:
            reply = self._run(attempt, record, deadline)
        except Exception:
            log.exception("attempt_failed", attempt=attempt.attempt_id)
            reply = self._refusal(attempt, Outcome.UNKNOWN, Reason.TARGET_FAILED)
        keep = not attempt.idempotent
        self.registry.finish(self.parts.clock(), record, reply, keep)
        self._count(reply)
        return reply

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt; return True if it never was and never will be run."""
        record = self.registry.tombstone(self.parts.clock(), attempt_id)
        record.canceller.cancel()
        self._slots.cancel(attempt_id)
        return record.phase is Phase.TOMBSTONED

    def key_status(self, holder: int, attempt_id: str, wait_s: float) -> KeyStatus:
        """Return what this gate knows about an attempt that holds a key."""
        if holder != self.node_id:
            return KeyStatus("lost", None)
        record = self.registry.find(attempt_id)
        if record is None:
            record = self.registry.tombstone(self.parts.clock(), attempt_id)
        if record.phase is Phase.TOMBSTONED:
            return KeyStatus("never", None)
        if not record.done.wait(wait_s):
            return KeyStatus("running", None)
        return KeyStatus("finished", record.reply)

    def issue_tickets(self, count: int) -> list[str]:
        """Return new tickets, or none if no target is served."""
        with self.lock:
            if self.target is None or self.parts.admission.draining:
                return []
            return self.parts.tickets.issue(self.parts.clock(), count)

    def cancel_ticket(self, text: str) -> str:
        """Cancel a ticket that was not used; return its state."""
        ticket = parse_ticket(text)
        if ticket is None:
            return str(TicketState.FOREIGN)
        with self.lock:
            return str(self.parts.tickets.cancel(self.parts.clock(), ticket))

    def drain(self) -> None:
        """Refuse new work from now on, waiting calls included."""
        with self.lock:
            self.parts.admission.draining = True
            self._slots.refuse_waiting(Reason.DRAINING)

    def adopt(self, pool: Pool, target: Target) -> None:
        """Serve a pool with a target."""
        with self.lock:
            self.pool = pool
            self.target = target
            admission = self.parts.admission
            admission.limit.resize(pool.min_limit, pool.limit_ceiling)
            admission.capacity = pool.queue_capacity
            admission.draining = False

    def resize(self, pool: Pool) -> None:
        """Adopt changed bounds of the pool."""
        with self.lock:
            self.pool = pool
            admission = self.parts.admission
            admission.limit.resize(pool.min_limit, pool.limit_ceiling)
            admission.capacity = pool.queue_capacity

    # One attempt.

    def _run(self, attempt: Attempt, record: AttemptRecord, deadline: float) -> Reply:
        parts = self.parts
        if attempt.config_version > parts.config_version():
            parts.catch_up(attempt.source, attempt.config_version)
        ticket = parse_ticket(attempt.key) if attempt.key else None
        if ticket is not None:
            with self.lock:
                state = parts.tickets.start(parts.clock(), ticket)
                if state is TicketState.FRESH:
                    self._ticket_attempts[ticket.serial] = attempt.attempt_id
            if state is not TicketState.FRESH:
                return self._used_ticket(attempt, ticket.serial, state, deadline)
            reply = self._admit(attempt, record, deadline)
            with self.lock:
                if reply.outcome == Outcome.NOT_RUN:
                    parts.tickets.revoke(parts.clock(), ticket)
                else:
                    parts.tickets.finish(parts.clock(), ticket)
                reply.ticket = parts.tickets.issue(parts.clock(), 1)[0]
            return reply
        return self._admit(attempt, record, deadline)

    def _used_ticket(
        self, attempt: Attempt, serial: int, state: TicketState, deadline: float
    ) -> Reply:
        if state is TicketState.CANCELLED:
            reply = self._refusal(attempt, Outcome.NOT_RUN, Reason.TICKET_SPENT)
            with self.lock:
                reply.ticket = self.parts.tickets.issue(self.parts.clock(), 1)[0]
            return reply
        earlier = self.registry.find(self._ticket_attempts.get(serial, ""))
        if state is TicketState.FOREIGN or earlier is None:
            return self._refusal(attempt, Outcome.UNKNOWN, Reason.TICKET_LOST)
        return self._await_duplicate(attempt, earlier, deadline)

    def _await_duplicate(
        self, attempt: Attempt, record: AttemptRecord, deadline: float
    ) -> Reply:
        record.done.wait(max(0.0, deadline - self.parts.clock()))
        earlier = record.reply
        if earlier is None:
            if record.phase is Phase.TOMBSTONED:
                return self._refusal(attempt, Outcome.NOT_RUN, Reason.CANCELLED)
            return self._refusal(attempt, Outcome.UNKNOWN, Reason.KEY_IN_USE)
        return Reply(
            attempt.attempt_id,
            earlier.outcome,
            earlier.reason,
            earlier.status,
            earlier.headers,
            earlier.body,
            0,
            self._load(),
            0,
            self.parts.config_version(),
            earlier.ticket,
            earlier.key_version,
        )

    def _admit(self, attempt: Attempt, record: AttemptRecord, deadline: float) -> Reply:
        if self.target is None:
            return self._refusal(attempt, Outcome.NOT_RUN, Reason.NO_TARGET)
        standing = self.parts.quarantine.standing(
            self.parts.clock(), attempt.fingerprint
        )
        if standing is Standing.QUARANTINED:
            return self._refusal(attempt, Outcome.NOT_RUN, Reason.QUARANTINED)
        if standing is Standing.SUSPECT:
            left = max(0.0, deadline - self.parts.clock())
            if not self._suspect_lock.acquire(timeout=left):
                return self._refusal(attempt, Outcome.NOT_RUN, Reason.DEADLINE)
            try:
                return self._queue_and_send(attempt, record, deadline)
            finally:
                self._suspect_lock.release()
        return self._queue_and_send(attempt, record, deadline)

    def _queue_and_send(
        self, attempt: Attempt, record: AttemptRecord, deadline: float
    ) -> Reply:
        claims = not attempt.idempotent and parse_ticket(attempt.key) is None
        call = QueuedCall(
            attempt.attempt_id,
            attempt.importance,
            attempt.depth,
            deadline,
            attempt.route,
            attempt.caller,
            ready=not claims,
        )
        waiter = self._slots.arrive(call)
        if waiter.reason:
            return self._refusal(attempt, Outcome.NOT_RUN, waiter.reason)
        claimed = 0
        if claims:
            claim = self._claims.claim(attempt, deadline)
            if claim.reason:
                self._slots.withdraw(waiter)
                return self._refusal(attempt, Outcome.NOT_RUN, claim.reason)
            claimed = claim.version
            self._slots.mark_ready(waiter)
        reason = self._slots.await_slot(waiter, deadline)
        if reason:
            return self._give_back(attempt, claimed, reason)
        in_time = self.parts.clock() < deadline
        if not in_time or not self.registry.dispatch(record):
            self._slots.withdraw(waiter)
            reason = Reason.CANCELLED if in_time else Reason.DEADLINE
            return self._give_back(attempt, claimed, reason)
        return self._dispatch(attempt, record, call, deadline, claimed)

    def _give_back(self, attempt: Attempt, version: int, reason: Reason) -> Reply:
        reply = self._refusal(attempt, Outcome.NOT_RUN, reason)
        reply.key_version = self._claims.release(attempt, version)
        return reply

    # Dispatch.

    def _dispatch(
        self,
        attempt: Attempt,
        record: AttemptRecord,
        call: QueuedCall,
        deadline: float,
        claimed: int,
    ) -> Reply:
        parts = self.parts
        with self.lock:
            parts.ledger.open(
                attempt.trace_id,
                attempt.allowance,
                attempt.importance,
                attempt.depth,
                deadline,
                attempt.rank or 0,
            )
        started = parts.clock()
        reply, sent = self._send(attempt, record, deadline)
        elapsed = parts.clock() - started
        with self.lock:
            entry = parts.ledger.find(attempt.trace_id)
            if entry is not None:
                level = entry.downstream_level
                self.below.follow(attempt.route, level, parts.clock())
                elapsed = max(0.0, elapsed - entry.downstream_s)
            reply.unspent = parts.ledger.close(attempt.trace_id)
            failed = reply.outcome != Outcome.ANSWERED
            failed = failed or reply.status >= SERVER_ERROR_STATUS
            late = reply.reason == Reason.DEADLINE
            blames_below = entry is not None and entry.blames_below
            if not sent or (failed and blames_below):
                parts.admission.abandon()
            else:
                error = failed and not late
                parts.admission.finish(parts.clock(), call, elapsed, error)
            if failed and blames_below and reply.outcome == Outcome.ANSWERED:
                reply.reason = str(Reason.FAILED_BELOW)
            self._slots.grant()
            reply.load = self._load_locked()
            reply.downstream_level = self.below.level(attempt.route, parts.clock())
        if not sent:
            return self._give_back(attempt, claimed, Reason(reply.reason))
        if reply.outcome == Outcome.ANSWERED:
            self._claims.finish(attempt, claimed, reply)
        return reply

    def _send(
        self, attempt: Attempt, record: AttemptRecord, deadline: float
    ) -> tuple[Reply, bool]:
        target = self.target
        assert target is not None
        left = deadline - self.parts.clock()
        try:
            answer = target.send(
                attempt.method,
                attempt.path,
                _target_headers(attempt, left),
                attempt.body,
                max(0.001, left),
                record.canceller,
            )
        except TargetUnreachable:
            reason = Reason.TARGET_UNREACHABLE
            return self._reply(attempt, Outcome.NOT_RUN, reason), False
        except TargetError as exc:
            return self._failure(attempt, record, deadline, exc, target), True
        now = self.parts.clock()
        mark = self.parts.quarantine.observe_success(now, attempt.fingerprint)
        if mark is not None:
            self.parts.spread_mark(mark)
        reply = self._reply(attempt, Outcome.ANSWERED, Reason.NONE)
        reply.status = answer.status
        reply.headers = [Header(*pair) for pair in end_to_end(answer.headers)]
        reply.body = answer.body
        return reply, True

    def _failure(
        self,
        attempt: Attempt,
        record: AttemptRecord,
        deadline: float,
        exc: TargetError,
        target: Target,
    ) -> Reply:
        if record.canceller.cancelled:
            return self._reply(attempt, Outcome.UNKNOWN, Reason.CANCELLED)
        if self.parts.clock() >= deadline:
            return self._reply(attempt, Outcome.UNKNOWN, Reason.DEADLINE)
        time.sleep(LOSS_CHECK_DELAY_S)
        if target.accepts_connections():
            return self._reply(attempt, Outcome.UNKNOWN, Reason.TARGET_FAILED)
        mark = self.parts.quarantine.observe_loss(
            self.parts.clock(), attempt.fingerprint, self.node_id
        )
        if mark is not None:
            self.parts.spread_mark(mark)
        return self._reply(attempt, Outcome.UNKNOWN, Reason.TARGET_LOST)

    # Replies.

    def _refusal(self, attempt: Attempt, outcome: Outcome, reason: Reason) -> Reply:
        reply = self._reply(attempt, outcome, reason)
        with self.lock:
            reply.load = self._load_locked()
            reply.downstream_level = self.below.level(attempt.route, self.parts.clock())
        return reply

    def _reply(self, attempt: Attempt, outcome: Outcome, reason: Reason) -> Reply:
        return Reply(
            attempt.attempt_id,
            str(outcome),
            str(reason),
            0,
            [],
            b"",
            attempt.allowance,
            None,
            0,
            self.parts.config_version(),
            "",
            0,
        )

    def _load(self) -> Load:
        with self.lock:
            return self._load_locked()

    def _load_locked(self) -> Load:
        admission = self.parts.admission
        return Load(
            admission.limit.value,
            admission.in_flight,
            admission.queued,
            admission.level(self.parts.clock()),
            int(admission.mean_service_s * 1e6),
            admission.draining,
        )

    def _count(self, reply: Reply) -> None:
        key = (reply.outcome, reply.reason)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1


def _target_headers(attempt: Attempt, left_s: float) -> list[tuple[str, str]]:
    headers = [(header.name, header.value) for header in attempt.headers]
    headers.append((TRACEPARENT, make_traceparent(attempt.trace_id)))
    headers.append((TIMEOUT_MS, str(max(1, int(left_s * 1000)))))
    if attempt.key:
        headers.append((IDEMPOTENCY_KEY, attempt.key))
    return headers
