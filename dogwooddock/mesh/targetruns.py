"""Runs of calls on the local target, from the connection to the reply."""

__all__ = ["TargetRuns"]

import asyncio
from collections.abc import Callable

import structlog

from ..http1.client import ClientConnection, ConnectionPool, RequestFailure
from ..http1.messages import Response, render_request_head
from ..policy.admission import MIN_REMAINING_S
from ..policy.outcomes import RETRY_INVITING_STATUSES, Outcome, Reason
from ..policy.recentids import RecentIds
from .calls import MeshReply
from .gatecalls import GateCall, Stage
from .marks import MarkExchange
from .servedtarget import ServedTarget
from .wireformat import HeaderFormat, TargetAnswer

# Time after the deadline of a call in which the target's answer is still awaited.
ANSWER_GRACE_S = 0.08
# A target that has closed an idle connection resets it as soon as a request arrives.
IDLE_CLOSE_S = 0.05

log = structlog.get_logger()


class TargetRuns:
    """Send admitted calls to the target, and reply with what comes back.

    Args:
        wire: Header format of the platform.
        served: Target that the gate serves.
        marks: Requests that made targets crash.
        refuse_waiting: Called with the reason when the target cannot be reached.
        release: Called with a call that no longer holds a slot, and whether its run
            failed.
        finish: Called with a call and its reply.
    """

    def __init__(
        self,
        wire: HeaderFormat,
        served: ServedTarget,
        marks: MarkExchange,
        refuse_waiting: Callable[[Reason], None],
        release: Callable[[GateCall, bool], None],
        finish: Callable[[GateCall, MeshReply], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._wire = wire
        self._served = served
        self._marks = marks
        self._losses = served.losses
        self._connections = served.connections
        self._refuse_waiting = refuse_waiting
        self._release = release
        self._finish = finish
        self._running: dict[bytes, GateCall] = {}
        self._refused = RecentIds()

    def find(self, request_id: bytes) -> GateCall | None:
        """Return the call that runs under an identifier, or None."""
        return self._running.get(request_id)

    # Start.

    def start(self, gate_call: GateCall) -> None:
        """Send a call that holds a slot, once it has a connection.

        A request that the target refused before gets a new connection: on that of the
        earlier send, a second copy of the refusal could still be on its way.
        """
        call = gate_call.call
        pool = self._connections.pool
        conn = None
        if not self._refused.contains(call.request_id, self._loop.time()):
            conn = self._connections.acquire_idle(call.idempotent)
        if conn is not None:
            self._send(gate_call, pool, conn)
            return
        gate_call.stage = Stage.CONNECTING
        self._loop.create_task(self._connect(gate_call, pool))

    async def _connect(self, gate_call: GateCall, pool: ConnectionPool) -> None:
        try:
            conn = await self._connections.open(pool)
        except OSError:
            self._refuse_waiting(Reason.TARGET_UNREACHABLE)
            self._refuse(gate_call, Reason.TARGET_UNREACHABLE)
            return
        if gate_call.finished or self._target_replaced(gate_call):
            pool.release(conn)
            self._refuse(gate_call, Reason.DRAINING)
            return
        self._send(gate_call, pool, conn)

    def _target_replaced(self, gate_call: GateCall) -> bool:
        """Report whether the gate no longer serves the target of the call."""
        return self._served.ended or not self._served.serves(gate_call.call)

    def _refuse(self, gate_call: GateCall, reason: Reason) -> None:
        """Free the slot of a call that was not sent, and reply."""
        self._release(gate_call, True)
        self._finish(gate_call, gate_call.refusal(reason))

    def _send(
        self, gate_call: GateCall, pool: ConnectionPool, conn: ClientConnection
    ) -> None:
        call = gate_call.call
        now = self._loop.time()
        remaining_s = call.deadline - now
        quarantined = self._marks.is_quarantined(call.fingerprint)
        if quarantined or remaining_s < MIN_REMAINING_S:
            pool.release(conn)
            reason = Reason.QUARANTINED if quarantined else Reason.DEADLINE
            self._refuse(gate_call, reason)
            return
        gate_call.stage = Stage.RUNNING
        gate_call.conn = conn
        gate_call.sent_at = now
        gate_call.target_lifetime = self._losses.lifetime
        if gate_call.timer is None:
            gate_call.timer = self._loop.call_at(
                call.deadline + ANSWER_GRACE_S, self._time_out, gate_call
            )
        block = call.headers + self._wire.target_headers(call, remaining_s)
        fresh = not conn.reused
        self._running[call.request_id] = gate_call
        conn.send(
            render_request_head(call.method, call.path, block, call.body),
            lambda result: self._on_result(gate_call, pool, conn, result),
            lambda response: self._wire.is_response_to(call, response, fresh),
            bodiless=call.method == b"HEAD",
            body=call.body,
        )

    # Results.

    def _on_result(
        self,
        gate_call: GateCall,
        pool: ConnectionPool,
        conn: ClientConnection,
        result: Response | RequestFailure,
    ) -> None:
        gate_call.conn = None
        self._remove_running(gate_call)
        if isinstance(result, Response):
            self._losses.record_answer(conn)
            pool.release(conn)
            self._on_response(gate_call, result)
        else:
            self._on_failure(gate_call, pool, result)

    def _remove_running(self, gate_call: GateCall) -> None:
        request_id = gate_call.call.request_id
        if self._running.get(request_id) is gate_call:
            del self._running[request_id]

    def _on_response(self, gate_call: GateCall, response: Response) -> None:
        answer = self._wire.read_answer(response)
        call = gate_call.call
        if answer.not_run:
            self._refused.add(call.request_id, self._loop.time(), call.deadline)
        if gate_call.target_lifetime == self._losses.lifetime:
            self._served.follow(answer)
        reply = self._reply_to(gate_call, answer)
        self._release(gate_call, answer.status >= 500)
        self._finish(gate_call, reply)

    def _reply_to(self, gate_call: GateCall, answer: TargetAnswer) -> MeshReply:
        """Return the reply to a call, and record what its answer tells."""
        reply = MeshReply(Outcome.ANSWERED, status=answer.status, reached=True)
        if answer.wrong_target:
            reply.outcome = Outcome.NOT_RUN
            reply.reason = Reason.WRONG_TARGET
            if gate_call.target_lifetime == self._losses.lifetime:
                self._losses.target_ended()
                self._served.withdraw()
        elif answer.not_run:
            reply.outcome = Outcome.NOT_RUN
            reply.reason = Reason.TARGET_SHED
        elif not answer.stamped or answer.status in RETRY_INVITING_STATUSES:
            reply.outcome, reply.reason = Outcome.UNKNOWN, Reason.TARGET_FAILED
        else:
            reply.headers, reply.body = answer.headers, answer.body
            if answer.status >= 500 and gate_call.downstream_failed:
                reply.reason = Reason.FAILED_BELOW
            self._marks.record_answer(
                gate_call.call.fingerprint, gate_call.queued.attempt_id, answer.status
            )
        return reply

    def _on_failure(
        self, gate_call: GateCall, pool: ConnectionPool, failure: RequestFailure
    ) -> None:
        call = gate_call.call
        if failure.closed_by_peer and self._served.current is not None:
            self._losses.record_cut_off(gate_call)
        idle_close = self._is_idle_close(gate_call, failure)
        if idle_close:
            self._connections.record_idle_close()
        log.info(
            "target_lost_call",
            request=gate_call.queued.attempt_id,
            route=call.route,
            fingerprint=call.fingerprint,
            target=call.target_id,
            cause=failure.cause,
            reused=failure.reused,
            began=failure.response_started,
            idle_close=idle_close,
        )
        reason = Reason.TARGET_LOST if failure.closed_by_peer else Reason.TARGET_FAILED
        reply = MeshReply(Outcome.UNKNOWN, reason, reached=True, idle_close=idle_close)
        if not failure.closed_by_peer or self._served.current is None:
            self._finish_failed(gate_call, reply)
        else:
            self._loop.create_task(self._finish_lost(gate_call, reply))

    def _is_idle_close(self, gate_call: GateCall, failure: RequestFailure) -> bool:
        """Report whether the target had closed the connection before the call."""
        if not failure.reused or not failure.closed_by_peer or failure.response_started:
            return False
        return self._loop.time() - gate_call.sent_at < IDLE_CLOSE_S

    async def _finish_lost(self, gate_call: GateCall, reply: MeshReply) -> None:
        """Reply after a check of the target, so that marks arrive before the reply."""
        await self._losses.check()
        self._finish_failed(gate_call, reply)

    def _finish_failed(self, gate_call: GateCall, reply: MeshReply) -> None:
        if reply.idle_close:
            gate_call.sent_at = 0.0  # No sample of the target's service time.
        self._release(gate_call, True)
        self._finish(gate_call, reply)

    def _time_out(self, gate_call: GateCall) -> None:
        if gate_call.finished:
            return
        if gate_call.stage is Stage.RUNNING:
            self.abort(gate_call)
        self._finish(
            gate_call, MeshReply(Outcome.UNKNOWN, Reason.DEADLINE, reached=True)
        )

    def abort(self, gate_call: GateCall) -> None:
        """Close the connection of a running call, which ends its run."""
        conn, gate_call.conn = gate_call.conn, None
        if conn is not None:
            self._losses.record_given_up(gate_call)
            conn.abort()
            self._remove_running(gate_call)
            self._release(gate_call, False)
