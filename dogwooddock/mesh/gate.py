"""The gate: the only way to the local target.

Every call for the target passes here, so decisions about it (slots, queue, drain,
connections, cancellation) need nothing from other nodes. Load that it answers: calls
of all nodes for one target.
"""

__all__ = ["Gate"]

import asyncio
from collections import Counter
from collections.abc import Callable

import structlog

from ..http1.client import ClientConnection, ConnectionPool, RequestFailure
from ..http1.messages import Response, render_request
from ..policy.admission import Admission, QueuedCall, Verdict
from ..policy.levels import LEVEL_SCALE
from ..policy.limits import StaticLimit
from ..policy.outcomes import Outcome, Reason
from ..policy.quarantine import Quarantine, Standing
from .calls import GateLoad, MeshCall, MeshReply
from .gatecalls import GateCall, GateTarget, Stage
from .reach import TargetReach
from .wireformat import HeaderFormat

SWEEP_PERIOD_S = 0.01
ANSWER_SLACK_S = 0.08
LEAST_TIME_S = 0.004
LEAST_RUN_SHARE = 0.5
INITIAL_SLOTS = 1
PROMISING_STATUSES = frozenset({408, 421, 429, 503})

log = structlog.get_logger()


class Gate:
    """Hand out the target's slots and carry calls to it.

    Args:
        wire: Header names and values.
        quarantine: Requests that made targets crash.
        on_target_lost: Called with the fingerprints of the calls that a crash of the
            target took along.
    """

    def __init__(
        self,
        wire: HeaderFormat,
        quarantine: Quarantine,
        on_target_lost: Callable[[list[str]], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._wire = wire
        self._quarantine = quarantine
        self._limit = StaticLimit(INITIAL_SLOTS)
        self.admission = Admission(self._limit, INITIAL_SLOTS)
        self._target: GateTarget | None = None
        self.reach = TargetReach(on_target_lost)
        self._waiting: dict[QueuedCall, GateCall] = {}
        self._running: dict[bytes, GateCall] = {}
        self._sweeping = False
        self.stopping = False
        self.outcomes: Counter[tuple[str, str]] = Counter()

    # Target.

    @property
    def target(self) -> GateTarget | None:
        """Return the target that new work goes to, or None."""
        return self._target

    @property
    def accepting(self) -> bool:
        """Report whether the gate takes new work."""
        return self._target is not None and not self.stopping

    @property
    def busy(self) -> bool:
        """Report whether calls wait or run."""
        return bool(self._waiting or self.admission.in_flight)

    def serve(self, target: GateTarget) -> None:
        """Take work for a target."""
        held = self._target
        if held == target:
            return
        if held is None or held.target_id != target.target_id:
            self.reach.point_at(target.address)
        self._target = target
        self._limit.resize(1, target.slots)
        self.admission.capacity = target.slots

    def refuse_all(self) -> None:
        """Take no more work; what waits is refused, what runs goes on."""
        self._target = None
        self._refuse_waiting(Reason.DRAINING)

    def _refuse_waiting(self, reason: Reason) -> None:
        for waiting in self.admission.drop_all():
            gate_call = self._waiting.pop(waiting, None)
            if gate_call is not None:
                self._refuse(gate_call, reason)

    def load(self) -> GateLoad:
        """Return the present load."""
        now = self._loop.time()
        admission = self.admission
        usable = self.accepting and not self.reach.down
        return GateLoad(
            self._limit.value if usable else 0,
            admission.in_flight,
            admission.queued,
            admission.level(now),
            admission.expected_wait_s,
            self.accepting,
        )

    def parent_of(self, request_id: bytes) -> GateCall | None:
        """Return the running call that a request of the local target belongs to.

        A target forms the identity of its own calls from that of the request that it
        runs, a dot and a part of its own. None if no such request runs here.
        """
        parent_id, dot, _ = request_id.rpartition(b".")
        return self._running.get(parent_id) if dot else None

    # Arrival.

    def submit(self, call: MeshCall, done: Callable[[MeshReply], None]) -> GateCall:
        """Take a call; ``done`` is called once unless it is cancelled."""
        queued = QueuedCall(
            call.request_id.decode("latin-1"),
            call.importance,
            call.depth,
            call.deadline,
            call.route,
            call.caller,
            level_class=call.rank // LEVEL_SCALE,
        )
        now = self._loop.time()
        gate_call = GateCall(call, done, queued, arrived_at=now)
        reason = self._unfit(call, now)
        if reason is not Reason.NONE:
            self._refuse(gate_call, reason)
            return gate_call
        decision = self.admission.arrive(now, queued)
        if decision.displaced is not None:
            self._refuse(self._waiting.pop(decision.displaced), Reason.DISPLACED)
        if decision.verdict is Verdict.ADMIT:
            self._dispatch(gate_call)
        elif decision.verdict is Verdict.WAIT:
            self._waiting[queued] = gate_call
            self._schedule_sweep()
        else:
            self._refuse(gate_call, decision.reason)
        return gate_call

    def _unfit(self, call: MeshCall, now: float) -> Reason:
        target = self._target
        if target is None or self.stopping:
            return Reason.DRAINING
        if call.target_id != target.target_id:
            return Reason.WRONG_TARGET
        if self.reach.down:
            return Reason.TARGET_UNREACHABLE
        if self._quarantine.standing(now, call.fingerprint) is Standing.QUARANTINED:
            return Reason.QUARANTINED
        return Reason.NONE

    def _refuse(self, gate_call: GateCall, reason: Reason) -> None:
        """Answer that the call did not run, unless an earlier send of it may have."""
        outcome = Outcome.UNKNOWN if gate_call.resent else Outcome.NOT_RUN
        self._finish(gate_call, MeshReply(outcome, reason, reached=gate_call.resent))

    def _finish(self, gate_call: GateCall, reply: MeshReply) -> None:
        if gate_call.finished:
            return
        gate_call.stage = Stage.FINISHED
        if gate_call.timer is not None:
            gate_call.timer.cancel()
        self.outcomes[(reply.outcome.value, reply.reason.value)] += 1
        reply.load = self.load()
        reply.below_level = gate_call.below_level
        gate_call.done(reply)

    # Queue.

    def _schedule_sweep(self) -> None:
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_later(SWEEP_PERIOD_S, self._sweep)

    def _sweep(self) -> None:
        """Refuse waiting calls that can no longer be answered in time."""
        self._sweeping = False
        now = self._loop.time()
        for queued, gate_call in list(self._waiting.items()):
            expected_s = self.admission.expected_s(now, queued.kind)
            if now + max(LEAST_TIME_S, expected_s * LEAST_RUN_SHARE) > queued.deadline:
                del self._waiting[queued]
                self.admission.give_up(queued)
                self._refuse(gate_call, Reason.DEADLINE)
        if self._waiting:
            self._schedule_sweep()

    def _dispatch_next(self) -> None:
        for queued in self.admission.next_calls():
            gate_call = self._waiting.pop(queued)
            self._dispatch(gate_call)

    # Target side.

    def _dispatch(self, gate_call: GateCall) -> None:
        pool = self.reach.pool
        conn = self.reach.take(gate_call.call.idempotent)
        if conn is not None:
            self._send(gate_call, pool, conn)
            return
        gate_call.stage = Stage.CONNECTING
        self._loop.create_task(self._connect(gate_call, pool))

    async def _connect(self, gate_call: GateCall, pool: ConnectionPool) -> None:
        try:
            conn = await self.reach.open(pool)
        except OSError:
            self._refuse_waiting(Reason.TARGET_UNREACHABLE)
            self._release(gate_call)
            self._refuse(gate_call, Reason.TARGET_UNREACHABLE)
            return
        if gate_call.finished or self._stale(gate_call):
            pool.release(conn)
            self._release(gate_call)
            self._refuse(gate_call, Reason.DRAINING)
            return
        self._send(gate_call, pool, conn)

    def _stale(self, gate_call: GateCall) -> bool:
        """Report whether the gate no longer serves the call's target."""
        target = self._target
        return target is None or target.target_id != gate_call.call.target_id

    def _send(
        self, gate_call: GateCall, pool: ConnectionPool, conn: ClientConnection
    ) -> None:
        call = gate_call.call
        now = self._loop.time()
        remaining_s = call.deadline - now
        if remaining_s < LEAST_TIME_S:
            pool.release(conn)
            self._release(gate_call)
            self._refuse(gate_call, Reason.DEADLINE)
            return
        gate_call.stage = Stage.RUNNING
        gate_call.conn = conn
        gate_call.sent_at = now
        if gate_call.timer is None:
            gate_call.timer = self._loop.call_at(
                call.deadline + ANSWER_SLACK_S, self._time_out, gate_call
            )
        block = call.headers + self._wire.target_headers(call, remaining_s)
        fresh = not conn.reused
        self._running[call.request_id] = gate_call
        conn.send(
            render_request(call.method, call.path, block, call.body),
            lambda result: self._on_result(gate_call, pool, conn, result),
            lambda response: self._wire.belongs(call, response, fresh),
        )

    def _on_result(
        self,
        gate_call: GateCall,
        pool: ConnectionPool,
        conn: ClientConnection,
        result: Response | RequestFailure,
    ) -> None:
        gate_call.conn = None
        self._forget_running(gate_call)
        if isinstance(result, Response):
            pool.release(conn)
            self._on_response(gate_call, result)
        else:
            self._on_lost(gate_call, pool, result)

    def _forget_running(self, gate_call: GateCall) -> None:
        request_id = gate_call.call.request_id
        if self._running.get(request_id) is gate_call:
            del self._running[request_id]

    def _on_response(self, gate_call: GateCall, response: Response) -> None:
        answer = self._wire.read_answer(response)
        reply = MeshReply(Outcome.ANSWERED, status=answer.status, reached=True)
        failed = answer.status >= 500
        if answer.wrong_target:
            reply.outcome, reply.reason = Outcome.NOT_RUN, Reason.WRONG_TARGET
            self.refuse_all()
        elif answer.not_run:
            reply.outcome, reply.reason = Outcome.NOT_RUN, Reason.TARGET_SHED
        elif not answer.genuine or answer.status in PROMISING_STATUSES:
            reply.outcome, reply.reason = Outcome.UNKNOWN, Reason.TARGET_FAILED
        else:
            reply.headers, reply.body = answer.headers, answer.body
            if failed and gate_call.failed_below:
                reply.reason = Reason.FAILED_BELOW
        self._release(gate_call, failed)
        self._finish(gate_call, reply)

    def _on_lost(
        self, gate_call: GateCall, pool: ConnectionPool, lost: RequestFailure
    ) -> None:
        call = gate_call.call
        harmless = lost.reused and lost.closed_by_peer and not lost.response_started
        if harmless and call.idempotent and not gate_call.resent:
            gate_call.resent = True
            gate_call.stage = Stage.CONNECTING
            self._loop.create_task(self._connect(gate_call, pool))
            return
        log.info(
            "target_lost_call",
            request=gate_call.queued.attempt_id,
            route=call.route,
            cause=lost.cause,
            reused=lost.reused,
            began=lost.response_started,
        )
        if lost.closed_by_peer:
            self.reach.suspect(call.fingerprint)
        self._release(gate_call, failed=True)
        reason = Reason.TARGET_LOST if lost.closed_by_peer else Reason.TARGET_FAILED
        self._finish(gate_call, MeshReply(Outcome.UNKNOWN, reason, reached=True))

    def _release(self, gate_call: GateCall, failed: bool = True) -> None:
        """Give the call's slot to the next one."""
        now = self._loop.time()
        service_s = now - gate_call.sent_at if gate_call.sent_at else 0.0
        if gate_call.sent_at:
            self.admission.finish(now, gate_call.queued, service_s, failed)
        else:
            self.admission.abandon()
        self._dispatch_next()

    def _time_out(self, gate_call: GateCall) -> None:
        if gate_call.finished:
            return
        if gate_call.stage is Stage.RUNNING:
            self._break_off(gate_call)
        self._finish(
            gate_call, MeshReply(Outcome.UNKNOWN, Reason.DEADLINE, reached=True)
        )

    def _break_off(self, gate_call: GateCall) -> None:
        conn, gate_call.conn = gate_call.conn, None
        if conn is not None:
            conn.abort()
            self._forget_running(gate_call)
            self._release(gate_call, failed=False)

    def cancel(self, gate_call: GateCall) -> None:
        """Drop a call that nobody waits for; what cannot be repeated runs on."""
        if gate_call.finished:
            return
        if gate_call.stage is Stage.WAITING:
            self._waiting.pop(gate_call.queued, None)
            self.admission.withdraw(gate_call.queued)
        elif gate_call.stage is Stage.RUNNING:
            if not gate_call.call.idempotent:
                return
            self._break_off(gate_call)
        gate_call.stage = Stage.FINISHED
        if gate_call.timer is not None:
            gate_call.timer.cancel()
