"""The gate: admission of calls to the local target.

Every call for the target, from any node, passes through its gate. Decisions about the
target (slots, queue, drain, connections, cancellation) therefore need no coordination
with other nodes.
"""

__all__ = ["Gate"]

import asyncio
from collections import Counter
from collections.abc import Callable

from ..policy.accounts import AccountTable
from ..policy.admission import (
    MIN_REMAINING_S,
    AdmissionController,
    QueuedCall,
    Verdict,
)
from ..policy.chains import ChainAdmission
from ..policy.headroom import HeadroomLimit
from ..policy.heldbytes import HeldBytes
from ..policy.levels import LEVEL_SCALE
from ..policy.outcomes import Reason
from ..policy.quarantine import QuarantineStatus
from ..policy.suspects import SuspectQueue
from .calls import GateLoad, MeshCall, MeshReply
from .gatecalls import GateCall, GateTarget, Stage
from .marks import MarkExchange
from .servedtarget import ServedTarget
from .targetruns import TargetRuns
from .wireformat import HeaderFormat

SWEEP_PERIOD_S = 0.01
INITIAL_SLOTS = 1


class Gate:
    """Allocate the target's slots and its rate, and send calls to it.

    Args:
        wire: Header format of the platform.
        marks: Requests that made targets crash.
        node_id: This node.
        chains: Decides which chains start; None to start all.
        memory: Budget for the target's answers; None for no limit.
    """

    def __init__(
        self,
        wire: HeaderFormat,
        marks: MarkExchange,
        node_id: int,
        chains: ChainAdmission | None = None,
        memory: HeldBytes | None = None,
    ):
        self._loop = asyncio.get_running_loop()
        self._marks = marks
        self._quarantine = marks.quarantine
        self._limit = HeadroomLimit(INITIAL_SLOTS)
        self.admission = AdmissionController(self._limit, INITIAL_SLOTS)
        self.chains = chains or ChainAdmission.disabled()
        self.accounts: AccountTable | None = None
        self.served = ServedTarget(
            node_id, marks, self.admission.rate, self.refuse_waiting, memory
        )
        self.connections = self.served.connections
        self.losses = self.served.losses
        self._runs = TargetRuns(
            wire,
            self.served,
            marks,
            self.refuse_waiting,
            self._release,
            lambda gate_call, reply: self._finish(gate_call, reply),
        )
        self._suspects: SuspectQueue[GateCall] = SuspectQueue()
        self._waiting: dict[QueuedCall, GateCall] = {}
        self._sweeping = False
        self._dispatching = False
        self._dispatch_again = False
        self.stopping = False
        self.outcomes: Counter[tuple[str, str]] = Counter()

    # Target.

    @property
    def target(self) -> GateTarget | None:
        """Return the target that receives new calls, or None."""
        return self.served.current

    @property
    def accepting(self) -> bool:
        """Report whether the gate accepts new calls."""
        return self.served.usable and not self.stopping

    @property
    def busy(self) -> bool:
        """Report whether any call is waiting or running."""
        return bool(self._waiting or self.admission.in_flight or self._suspects.holding)

    def serve(self, target: GateTarget) -> None:
        """Accept calls for a target, which replaces the previous one.

        A target that has ended is served again as a new lifetime.
        """
        if not self.served.serve(target):
            return
        self._limit.resize(1, target.slots)
        self.admission.capacity = target.slots

    def refuse_all(self) -> None:
        """Accept no more calls; waiting calls are refused, running ones continue."""
        self.served.withdraw()

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse the calls that wait; running ones continue."""
        for held in self._suspects.take_held():
            self._refuse(held, reason)
        for waiting in self.admission.drop_all():
            gate_call = self._waiting.pop(waiting, None)
            if gate_call is not None:
                self._refuse(gate_call, reason)

    def load(self, kind: str = "") -> GateLoad:
        """Return the current load; its limit is 0 while the target cannot be used.

        Args:
            kind: Kind of call whose mean service time is included.
        """
        now = self._loop.time()
        admission = self.admission
        usable = self.accepting and not self.connections.target_down
        return GateLoad(
            admission.concurrency if usable else 0,
            admission.in_flight,
            admission.queued,
            admission.level(now),
            admission.expected_wait_s(now),
            self.accepting,
            admission.expected_service_s(now, kind),
            admission.rate.per_s or 0.0,
        )

    def parent_of(self, request_id: bytes) -> GateCall | None:
        """Return the running call that a request of the local target belongs to.

        A target forms the ids of its own calls from the id of the request that it
        runs, a dot and a suffix. Returns None if no such request runs here.
        """
        parent_id, dot, _ = request_id.rpartition(b".")
        return self._runs.find(parent_id) if dot else None

    # Arrival.

    def submit(self, call: MeshCall, done: Callable[[MeshReply], None]) -> GateCall:
        """Admit, queue or refuse a call.

        ``done`` is called once, possibly before this returns, unless the call is
        cancelled.
        """
        queued = QueuedCall(
            call.request_id.decode("latin-1"),
            call.importance,
            call.depth,
            call.deadline,
            call.route,
            call.account or call.caller,
            level_class=call.rank // LEVEL_SCALE,
            rank=call.rank,
            weight=self.accounts.weight(call.account) if self.accounts else 1.0,
            objective=call.deadline if call.objective is None else call.objective,
        )
        gate_call = GateCall(call, done, queued)
        self.served.adopt_rate(call)
        self._arrive(gate_call)
        return gate_call

    def _arrive(self, gate_call: GateCall) -> None:
        """Refuse, hold or admit a call; suspects run one at a time."""
        now = self._loop.time()
        reason = self._refusal_reason(gate_call.call, now)
        status = self._quarantine.status(now, gate_call.call.fingerprint)
        if reason is not Reason.NONE:
            self._refuse(gate_call, reason)
        elif status is QuarantineStatus.SUSPECT and not self._suspects.enter(gate_call):
            gate_call.timer = self._loop.call_at(
                gate_call.call.deadline - MIN_REMAINING_S,
                self._refuse,
                gate_call,
                Reason.DEADLINE,
            )
        else:
            self._admit(gate_call, now)

    def _arrive_held(self) -> None:
        """Let held calls arrive until one of them proceeds as a suspect."""
        while (held := self._suspects.next_call()) is not None:
            self._arrive_again(held)

    def recheck_held(self) -> None:
        """Let held calls arrive that changed marks no longer make suspect."""
        for held in self._suspects.take_if(self._is_not_suspect):
            self._arrive_again(held)

    def _is_not_suspect(self, gate_call: GateCall) -> bool:
        now = self._loop.time()
        status = self._quarantine.status(now, gate_call.call.fingerprint)
        return status is not QuarantineStatus.SUSPECT

    def _arrive_again(self, gate_call: GateCall) -> None:
        if gate_call.timer is not None:
            gate_call.timer.cancel()
            gate_call.timer = None
        self._arrive(gate_call)

    def _admit(self, gate_call: GateCall, now: float) -> None:
        queued = gate_call.queued
        decision = self.admission.arrive(now, queued)
        if decision.displaced is not None:
            self._refuse(self._waiting.pop(decision.displaced), Reason.DISPLACED)
        if decision.verdict is Verdict.ADMIT:
            self._runs.start(gate_call)
        elif decision.verdict is Verdict.WAIT:
            self._waiting[queued] = gate_call
            self._schedule_sweep()
        else:
            self._refuse(gate_call, decision.reason)

    def _refusal_reason(self, call: MeshCall, now: float) -> Reason:
        if self.served.current is None or self.stopping:
            return Reason.DRAINING
        if not self.served.serves(call):
            return Reason.WRONG_TARGET
        if self.served.ended or self.connections.target_down:
            return Reason.TARGET_UNREACHABLE
        if self._marks.is_quarantined(call.fingerprint):
            return Reason.QUARANTINED
        if self._is_chain_refused(call):
            return Reason.OVERLOAD
        return Reason.NONE

    def _is_chain_refused(self, call: MeshCall) -> bool:
        """Report whether a new chain is not started as it could not be completed."""
        now = self._loop.time()
        return not call.depth and self.chains.refuses(now, call.route, call.rank)

    def _refuse(self, gate_call: GateCall, reason: Reason) -> None:
        self._finish(gate_call, gate_call.refusal(reason))

    def _finish(self, gate_call: GateCall, reply: MeshReply) -> None:
        if gate_call.finished:
            return
        done = gate_call.done
        self._end(gate_call)
        call = gate_call.call
        if call.target_id:  # A question for a level has none.
            self.outcomes[(reply.outcome.value, reply.reason.value)] += 1
        reply.load = self.load(call.route)
        reply.below_level = gate_call.below_level
        reply.chain_level = self.chains.highest_level(self._loop.time(), call.route)
        done(reply)

    def _end(self, gate_call: GateCall) -> None:
        gate_call.stage = Stage.FINISHED
        gate_call.done = _drop_reply  # It may refer to this call in turn.
        if gate_call.timer is not None:
            gate_call.timer.cancel()
        if self._suspects.leave(gate_call):
            self._loop.call_soon(self._arrive_held)

    # Queue.

    def _schedule_sweep(self) -> None:
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_later(SWEEP_PERIOD_S, self._sweep)

    def _sweep(self) -> None:
        """Refuse waiting calls that cannot be answered in time, and admit others.

        A rate limit may allow a further call though no slot was freed.
        """
        self._sweeping = False
        now = self._loop.time()
        for queued, gate_call in list(self._waiting.items()):
            if self.admission.is_too_late(now, queued):
                del self._waiting[queued]
                self.admission.expire(queued)
                self._refuse(gate_call, Reason.DEADLINE)
        self._dispatch_next()
        for queued in self.admission.drop_overdue(now):
            self._refuse(self._waiting.pop(queued), Reason.OVERLOAD)
        if self._waiting:
            self._schedule_sweep()

    def _dispatch_next(self) -> None:
        """Admit waiting calls.

        A call that is refused when it starts frees its slot within this method, so it
        asks for another round instead of a nested one per call.
        """
        self._dispatch_again = True
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._dispatch_again:
                self._dispatch_again = False
                for queued in self.admission.admit_waiting(self._loop.time()):
                    self._start_waiting(self._waiting.pop(queued))
        finally:
            self._dispatching = False

    def _start_waiting(self, gate_call: GateCall) -> None:
        if self._is_chain_refused(gate_call.call):
            self.admission.release_slot()
            self._refuse(gate_call, Reason.OVERLOAD)
            self._schedule_sweep()
        else:
            self._runs.start(gate_call)

    def _release(self, gate_call: GateCall, failed: bool) -> None:
        """Free the slot of a call and dispatch the next waiting call."""
        now = self._loop.time()
        service_s = now - gate_call.sent_at if gate_call.sent_at else 0.0
        if gate_call.sent_at:
            self.admission.finish(now, gate_call.queued, service_s, failed)
        else:
            self.admission.release_slot()
        self._dispatch_next()

    def cancel(self, gate_call: GateCall) -> None:
        """Cancel a call whose reply is no longer needed.

        A non-idempotent call that has been sent to the target runs on.
        """
        if gate_call.finished:
            return
        if gate_call.stage is Stage.WAITING:
            self._waiting.pop(gate_call.queued, None)
            self.admission.withdraw(gate_call.queued)  # No effect on a held call.
        elif gate_call.stage is Stage.RUNNING:
            if not gate_call.call.idempotent:
                return
            self._runs.abort(gate_call)
        self._end(gate_call)


def _drop_reply(reply: MeshReply) -> None:
    """Drop the reply to a call that has ended."""
