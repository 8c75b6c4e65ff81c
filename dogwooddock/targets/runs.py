"""Runs of admitted attempts on the local target."""

__all__ = ["RunResult", "TargetRuns"]

from dataclasses import dataclass
from threading import Lock

from ..errors import TargetError, TargetUnreachable
from ..headers import (
    IDEMPOTENCY_KEY,
    TIMEOUT_MS,
    TRACEPARENT,
    end_to_end_headers,
    make_traceparent,
)
from ..peers.wire.ttypes import Attempt, Header, Reply
from ..policy.admission import QueuedCall
from ..policy.outcomes import Outcome, Reason
from .attempts import AttemptRecord
from .client import Target, TargetAnswer
from .dependencies import GateDependencies
from .losswatch import LossWatch
from .replies import Replies
from .slots import SlotQueue

MIN_TIMEOUT_S = 0.001
SERVER_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of an admitted attempt: its reply, and whether anything was sent."""

    reply: Reply
    sent: bool


class TargetRuns:
    """Send admitted attempts to the target, and account for the results.

    Args:
        deps: Collaborators of the gate.
        node_id: Identifier of this node.
        lock: Lock that guards the admission control and the ledger.
        slots: Queue for the slots of the target.
        replies: Builds the replies.
    """

    def __init__(
        self,
        deps: GateDependencies,
        node_id: int,
        lock: Lock,
        slots: SlotQueue,
        replies: Replies,
    ):
        self._deps = deps
        self._lock = lock
        self._slots = slots
        self._replies = replies
        self._losses = LossWatch(deps, node_id)

    def run(
        self,
        target: Target,
        attempt: Attempt,
        record: AttemptRecord,
        call: QueuedCall,
    ) -> RunResult:
        """Send an attempt that holds a slot; the slot is free afterwards."""
        with self._lock:
            self._deps.ledger.open(
                attempt.trace_id,
                attempt.allowance,
                attempt.importance,
                attempt.depth,
                call.deadline,
                attempt.rank or 0,
            )
        started = self._deps.clock()
        try:
            result = self._send(target, attempt, record, call.deadline)
        except Exception:
            self._abandon(attempt)
            raise
        elapsed_s = self._deps.clock() - started
        with self._lock:
            self._account(attempt, call, result, elapsed_s)
            self._slots.grant()
            self._replies.add_load(attempt, result.reply)
        return result

    def _abandon(self, attempt: Attempt) -> None:
        """Free the slot and the allowance of an attempt that ends with an error."""
        with self._lock:
            self._deps.ledger.close(attempt.trace_id)
            self._deps.admission.release_slot()
            self._slots.grant()

    def _account(
        self, attempt: Attempt, call: QueuedCall, result: RunResult, elapsed_s: float
    ) -> None:
        """Close the chain's entry and free the slot; the lock must be held.

        Time spent in downstream calls is not counted as service time of the target,
        and a failure that such a call caused is not counted against its limit.
        """
        deps, reply = self._deps, result.reply
        entry = deps.ledger.find(attempt.trace_id)
        if entry is not None:
            self._replies.record_downstream_level(attempt.route, entry.downstream_level)
            elapsed_s = max(0.0, elapsed_s - entry.downstream_s)
        reply.unspent = deps.ledger.close(attempt.trace_id)
        answered = reply.outcome == Outcome.ANSWERED
        failed = not answered or reply.status >= SERVER_ERROR_STATUS
        failed_downstream = failed and entry is not None and entry.downstream_at_fault
        if failed_downstream or not result.sent:
            deps.admission.release_slot()
        else:
            at_fault = failed and reply.reason != Reason.DEADLINE
            deps.admission.finish(deps.clock(), call, elapsed_s, at_fault)
        if failed_downstream and answered:
            reply.reason = str(Reason.FAILED_BELOW)

    def _send(
        self, target: Target, attempt: Attempt, record: AttemptRecord, deadline: float
    ) -> RunResult:
        began_at = self._deps.clock()
        remaining_s = deadline - began_at
        try:
            answer = target.send(
                attempt.method,
                attempt.path,
                _target_headers(attempt, remaining_s),
                attempt.body,
                max(MIN_TIMEOUT_S, remaining_s),
                record.canceller,
            )
        except TargetUnreachable:
            reason = Reason.TARGET_UNREACHABLE
            reply = self._replies.reply(attempt, Outcome.NOT_RUN, reason)
            return RunResult(reply, sent=False)
        except TargetError:
            reply = self._failure(target, attempt, record, deadline, began_at)
            return RunResult(reply, sent=True)
        self._losses.record_answer(began_at, answer.opened_at, target)
        return RunResult(self._answer(attempt, answer), sent=True)

    def _answer(self, attempt: Attempt, answer: TargetAnswer) -> Reply:
        """Return the reply with an answer, which may release the request's marks."""
        marks = self._deps.quarantine.record_answer(
            self._deps.clock(), attempt.fingerprint, answer.status
        )
        for mark in marks:
            self._deps.broadcast_mark(mark)
        reply = self._replies.reply(attempt, Outcome.ANSWERED, Reason.NONE)
        reply.status = answer.status
        reply.headers = [Header(*pair) for pair in end_to_end_headers(answer.headers)]
        reply.body = answer.body
        return reply

    def _failure(
        self,
        target: Target,
        attempt: Attempt,
        record: AttemptRecord,
        deadline: float,
        began_at: float,
    ) -> Reply:
        """Return the reply for a request that was sent and got no complete answer."""
        timed_out = self._deps.clock() >= deadline
        cancelled = record.canceller.cancelled
        if timed_out or cancelled:
            self._losses.record_given_up(attempt.fingerprint, began_at, target)
            reason = Reason.CANCELLED if cancelled else Reason.DEADLINE
            return self._replies.reply(attempt, Outcome.UNKNOWN, reason)
        lost = self._losses.record_cut_off(attempt.fingerprint, began_at, target)
        if lost is None:
            reason = Reason.TARGET_FAILED
            return self._replies.reply(attempt, Outcome.UNKNOWN, reason)
        reply = self._replies.reply(attempt, Outcome.UNKNOWN, Reason.TARGET_LOST)
        reply.target_lifetime = lost.born_ms
        return reply


def _target_headers(attempt: Attempt, remaining_s: float) -> list[tuple[str, str]]:
    headers = [(header.name, header.value) for header in attempt.headers]
    headers.append((TRACEPARENT, make_traceparent(attempt.trace_id)))
    headers.append((TIMEOUT_MS, str(max(1, int(remaining_s * 1000)))))
    if attempt.key:
        headers.append((IDEMPOTENCY_KEY, attempt.key))
    return headers
