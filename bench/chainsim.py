"""Simulation of call chains under load, in virtual time and without a network.

Admission, queues, admission levels and target selection run the code of the product.
Targets, links and callers are models. The same seed repeats the same run.
"""

__all__ = [
    "CallSpec",
    "ChainSimulation",
    "Load",
    "Pool",
    "RequestCounts",
    "Surge",
    "TurningAway",
    "deep_chain_loads",
    "deep_chain_pools",
]

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from dogwooddock.mesh.pending import CALLER_CLASSES
from dogwooddock.policy.admission import AdmissionController, QueuedCall, Verdict
from dogwooddock.policy.chains import ChainAdmission
from dogwooddock.policy.headroom import HeadroomLimit
from dogwooddock.policy.levels import LEVEL_SCALE, LevelTable
from dogwooddock.policy.outcomes import Reason
from dogwooddock.policy.poollevels import PoolLevels
from dogwooddock.policy.retries import RetryBudget
from dogwooddock.policy.retryroom import RetryRoom
from dogwooddock.policy.retrywindow import RetryWindow, spend_retry
from dogwooddock.policy.selection import Selector
from dogwooddock.policy.turnedaway import TurnedAwayShares

LINK_DELAY_S = 0.0005
SWEEP_INTERVAL_S = 0.01
SAMPLE_INTERVAL_S = 0.1
# Of a node in a fleet with a ratio of 0.2; see ``mesh/node.py``, ``mesh/resends.py``.
RETRY_RATIO = 0.16
MAX_RETRY_TOKENS = 4.0
MAX_TURNED_AWAY = 12


@dataclass(frozen=True)
class Pool:
    """A pool of targets in the simulation.

    Args:
        name: Name of the pool.
        slots: Requests that each target runs concurrently.
        speeds: Speed factor of each target; service time is divided by it.
        nearly_full: Share of the slots in use above which a target is slower.
        slowdown: Factor of the service time of calls that start then.
    """

    name: str
    slots: int
    speeds: tuple[float, ...]
    nearly_full: float = 1.0
    slowdown: float = 1.0


@dataclass(frozen=True)
class CallSpec:
    """One kind of call and the downstream calls that it makes.

    Args:
        name: Route.
        pool: Name of the pool that serves the call.
        work_s: Mean service time at speed 1, without downstream calls, in seconds.
        objective_s: Latency objective, in seconds.
        deadline_s: Deadline, in seconds after the call is sent.
        calls: Downstream calls that each run makes, one after the other.
        branches: Number of parallel branches; each makes all downstream calls.
    """

    name: str
    pool: str
    work_s: float
    objective_s: float
    deadline_s: float
    calls: tuple["CallSpec", ...] = ()
    branches: int = 1


@dataclass(frozen=True)
class Load:
    """Client requests of one kind.

    Args:
        spec: First call of the chain.
        per_s: Mean requests per second outside a surge; arrivals are Poisson.
        importance: Importance class of the caller, 0 (lowest) to 4.
        weight: Weight of an answer within the objective in the goodput.
    """

    spec: CallSpec
    per_s: float
    importance: int
    weight: int = 1


@dataclass(frozen=True)
class Surge:
    """Interval in which the rate of every load is multiplied by a factor."""

    factor: float
    start_s: float
    end_s: float


@dataclass(frozen=True)
class TurningAway:
    """Interval in which every target of a pool turns a share of its calls away.

    Args:
        pool: Name of the pool; empty for none.
        share: Share of the calls, 0 to 1.
        start_s: Start, in seconds.
        end_s: End, in seconds.
    """

    pool: str = ""
    share: float = 0.0
    start_s: float = 0.0
    end_s: float = 0.0


@dataclass
class RequestCounts:
    """Client requests of one kind, by result.

    Args:
        sent: All of them.
        in_time: Answered within the objective.
        refused: Refused at the edge.
        failed: Not answered, and not refused at the edge.
        wasted: Those of the failed ones that a target had begun to run.
    """

    sent: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    wasted: int = 0


@dataclass(slots=True)
class _Reply:
    succeeded: bool
    level: int = 0
    refused: Reason = Reason.NONE
    chain_level: int = 0


@dataclass
class _GateCall:
    call: QueuedCall
    spec: CallSpec
    rank: int
    done: Callable[[_Reply], None]
    downstream_level: int = 0
    failed: bool = False


@dataclass(eq=False)
class _Node:
    node_id: int
    pool: Pool
    speed: float
    selector: Selector
    chain_levels: bool = True
    levels: LevelTable = field(default_factory=LevelTable)
    pool_levels: PoolLevels = field(default_factory=PoolLevels)
    chains: ChainAdmission = field(init=False)
    turned_away: TurnedAwayShares = field(default_factory=TurnedAwayShares)
    window: RetryWindow = field(default_factory=lambda: RetryWindow(RETRY_RATIO))
    budget: RetryBudget = field(
        default_factory=lambda: RetryBudget(RETRY_RATIO, MAX_RETRY_TOKENS)
    )
    admission: AdmissionController = field(init=False)
    waiting: dict[QueuedCall, _GateCall] = field(default_factory=dict)

    def __post_init__(self) -> None:
        limit = HeadroomLimit(self.pool.slots)
        self.admission = AdmissionController(limit, self.pool.slots)
        room = RetryRoom(self.turned_away, self.window)
        self.chains = ChainAdmission(room, self.chain_levels)


def deep_chain_pools() -> list[Pool]:
    """Return four pools; each chain makes ten calls to the last one."""
    return [
        Pool("desk", 139, (0.6, 1.0, 1.6, 1.0)),
        Pool("booking", 185, (0.5, 1.0, 1.5)),
        Pool("stock", 185, (0.7, 0.7, 1.6)),
        Pool("fees", 39, (0.7, 0.7, 1.6)),
    ]


def deep_chain_loads(factor: float) -> list[Load]:
    """Return loads for these pools; a factor of 0.65 saturates the last pool."""
    fee = CallSpec("fee", "fees", 0.022, 0.3, 0.7)
    ledger = CallSpec("ledger", "stock", 0.015, 1.2, 2.5, (fee,) * 5)
    check = CallSpec("check", "booking", 0.015, 1.2, 3.0, (ledger,))
    return [
        Load(CallSpec("status", "desk", 0.09, 1.5, 6.0, (check,), 2), 588 * factor, 2),
        Load(
            CallSpec("book", "booking", 0.12, 1.5, 6.0, (ledger,), 2),
            161 * factor,
            4,
            3,
        ),
        Load(CallSpec("lookup", "stock", 0.22, 0.6, 2.5), 218 * factor, 2),
        Load(CallSpec("list", "fees", 0.36, 1.0, 4.0), 82 * factor, 2),
    ]


class ChainSimulation:
    """A fleet of nodes on a virtual clock.

    Args:
        pools: The pools; each target has a node of its own.
        loads: Client requests to send.
        surge: Interval with a higher rate of requests.
        seed: Seed of arrivals, ranks and service times.
        turning_away: Interval in which a pool turns calls away.
        chain_levels: Whether chains that could not be completed are refused.
    """

    def __init__(
        self,
        pools: list[Pool],
        loads: list[Load],
        surge: Surge = Surge(1.0, 0.0, 0.0),
        seed: int = 1,
        turning_away: TurningAway = TurningAway(),
        chain_levels: bool = True,
    ):
        self._surge = surge
        self._turning_away = turning_away
        self.now = 0.0
        self._rng = Random(seed)
        # Arrivals have a generator of their own, so that the same requests arrive
        # however they are handled.
        self._arrivals = Random(f"arrivals {seed}")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._loads = loads
        self.counts = {load.spec.name: RequestCounts() for load in loads}
        self.goodput: list[tuple[float, int, int]] = []
        self.nodes: list[_Node] = []
        self.samples: dict[str, list[tuple[float, int, int]]] = {}
        for pool in pools:
            self.samples[pool.name] = []
            for speed in pool.speeds:
                number = len(self.nodes)
                self.nodes.append(
                    _Node(number, pool, speed, Selector("here"), chain_levels)
                )
        for node in self.nodes:
            for pool in pools:
                members = [item for item in self.nodes if item.pool is pool]
                pairs = [(item.node_id, "here") for item in members]
                node.selector.sync(pool.name, pairs)
                for item in members:
                    candidate = node.selector.find(pool.name, item.node_id)
                    assert candidate is not None
                    candidate.limit = pool.slots

    def run(self, until_s: float) -> None:
        """Run the simulation until a virtual time, in seconds."""
        for load in self._loads:
            self._schedule(0.0, self._arrival_process(load))
        self._schedule(SWEEP_INTERVAL_S, self._sweep)
        self._schedule(SAMPLE_INTERVAL_S, self._sample)
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._event_count, action))

    def _sample(self) -> None:
        for name, samples in self.samples.items():
            gates = [node.admission for node in self.nodes if node.pool.name == name]
            running = sum(gate.in_flight for gate in gates)
            queued = sum(gate.queued for gate in gates)
            samples.append((self.now, running, queued))
        self._schedule(SAMPLE_INTERVAL_S, self._sample)

    def slot_utilization(self, pool: Pool, since_s: float) -> float:
        """Return the mean share of a pool's slots in use since a time, 0 to 1."""
        in_use = [count for at, count, _ in self.samples[pool.name] if at >= since_s]
        return sum(in_use) / len(in_use) / (pool.slots * len(pool.speeds))

    def goodput_share(self, since_s: float, until_s: float) -> float:
        """Return the weighted share of requests of an interval answered in time."""
        items = [item for item in self.goodput if since_s <= item[0] < until_s]
        return sum(won for _, _, won in items) / sum(total for _, total, _ in items)

    # Callers.

    def _arrival_process(self, load: Load) -> Callable[[], None]:
        def arrive() -> None:
            surge = self._surge
            surging = surge.start_s <= self.now < surge.end_s
            per_s = load.per_s * (surge.factor if surging else 1.0)
            self._schedule(self._arrivals.expovariate(per_s), arrive)
            self._send_request(load)

        return arrive

    def _send_request(self, load: Load) -> None:
        spec = load.spec
        counts = self.counts[spec.name]
        counts.sent += 1
        node = self._arrivals.choice(self.nodes)
        offset = self._arrivals.randrange(LEVEL_SCALE)
        rank = load.importance * LEVEL_SCALE + offset
        if rank < node.levels.level(
            spec.name, self.now
        ) or node.chains.reported.refuses(spec.name, rank, self.now):
            counts.refused += 1
            self.goodput.append((self.now, load.weight, 0))
            return
        sent_at = self.now

        def done(reply: _Reply) -> None:
            in_time = reply.succeeded and self.now - sent_at <= spec.objective_s
            counts.in_time += in_time
            counts.failed += not reply.succeeded
            counts.wasted += not reply.succeeded and not reply.refused
            self.goodput.append((sent_at, load.weight, load.weight * in_time))

        self._call(node, spec, rank, load.importance, 0, done)

    def _call(
        self,
        node: _Node,
        spec: CallSpec,
        rank: int,
        importance: int,
        depth: int,
        done: Callable[[_Reply], None],
        tried: frozenset[int] = frozenset(),
        turned_away: int = 0,
        parent: _GateCall | None = None,
    ) -> None:
        """Send one call from a node.

        A call that is refused is sent once more, to another target; one that a target
        turned away, while the retry budget allows. The reply has the highest admission
        level at and downstream of the gate, or 0 for the first call of a chain.
        """
        if not tried and not turned_away:
            node.budget.earn("", spec.pool)
            node.window.record_request(spec.pool, self.now)
        candidate = node.selector.choose(
            spec.pool, self.now, self._rng, set(tried), spec.name, spec.objective_s
        )
        if candidate is None:
            done(_Reply(False, refused=Reason.NO_TARGET))
            return
        gate = self.nodes[candidate.node_id]
        if depth == 0 and rank < node.pool_levels.level(spec.pool, self.now):
            self.counts[spec.name].refused += 1
            self.counts[spec.name].failed -= 1
            done(_Reply(False, refused=Reason.OVERLOAD))
            return
        node.selector.record_sent(candidate)
        sent_at = self.now
        queued = QueuedCall(
            "",
            importance,
            depth,
            self.now + spec.deadline_s,
            spec.name,
            node.pool.name,
            level_class=rank // LEVEL_SCALE,
            rank=rank,
            objective=min(
                self.now + spec.objective_s,
                parent.call.objective if parent else math.inf,
            ),
        )

        def receive_reply(reply: _Reply) -> None:
            refused = reply.refused
            is_shed = refused is Reason.TARGET_SHED
            admission = gate.admission
            gate_level = admission.level(self.now)
            load = admission.in_flight + admission.queued
            node.selector.record_reply(
                candidate,
                self.now,
                self.now - sent_at if reply.succeeded else None,
                gate.pool.slots,
                load,
                False,
                is_shed and not node.turned_away.is_pool_wide(spec.pool, self.now),
                spec.name,
                admission.expected_service_s(self.now, spec.name),
                admission.expected_wait_s(self.now),
            )
            if (not reply.succeeded and not refused) or reply.chain_level > rank:
                node.selector.record_failed_below(candidate, self.now)
            node.pool_levels.record(spec.pool, gate_level, self.now)
            node.levels.update_smoothed(spec.name, reply.level, self.now)
            node.chains.reported.report(spec.name, reply.chain_level, self.now)
            if not refused or is_shed:
                node.turned_away.record(spec.pool, self.now, is_shed)
            count = turned_away + is_shed
            retry_rank = rank if depth else CALLER_CLASSES * LEVEL_SCALE - 1
            if is_shed and self._may_retry(node, spec.pool, retry_rank, count):
                self._call(
                    node, spec, rank, importance, depth, done, tried, count, parent
                )
                return
            if refused and not is_shed and not tried:
                excluded = frozenset({gate.node_id})
                self._call(
                    node, spec, rank, importance, depth, done, excluded, count, parent
                )
                return
            pool_level = node.pool_levels.level(spec.pool, self.now)
            reply.level = max(reply.level, pool_level) if depth else 0
            done(reply)

        def send_reply(reply: _Reply) -> None:
            reply.chain_level = gate.chains.highest_level(self.now, spec.name)
            self._schedule(LINK_DELAY_S, lambda: receive_reply(reply))

        gate_call = _GateCall(queued, spec, rank, send_reply)
        self._schedule(LINK_DELAY_S, lambda: self._submit(gate, gate_call))

    def _may_retry(self, node: _Node, pool: str, rank: int, turned_away: int) -> bool:
        """Charge a retry of a call that was turned away, if one is allowed."""
        now = self.now
        if turned_away > MAX_TURNED_AWAY or node.turned_away.is_hopeless(pool, now):
            return False
        reserve = 1.0 - rank / (CALLER_CLASSES * LEVEL_SCALE)
        share = node.chains.retry_share(rank)
        budget = node.budget
        return spend_retry(
            budget, node.window, pool, now, reserve, share, budget.max_tokens
        )

    # Gates.

    def _submit(self, gate: _Node, gate_call: _GateCall) -> None:
        if self._is_refused(gate, gate_call):
            gate_call.done(_Reply(False, refused=Reason.OVERLOAD))
            return
        decision = gate.admission.arrive(self.now, gate_call.call)
        if decision.displaced is not None:
            gate.waiting.pop(decision.displaced).done(
                _Reply(False, refused=Reason.DISPLACED)
            )
        if decision.verdict is Verdict.ADMIT:
            self._start(gate, gate_call)
        elif decision.verdict is Verdict.WAIT:
            gate.waiting[gate_call.call] = gate_call
        else:
            gate_call.done(_Reply(False, refused=decision.reason))

    def _start(self, gate: _Node, gate_call: _GateCall) -> None:
        if self._is_turned_away(gate.pool.name):
            gate.admission.release_slot()
            gate_call.done(_Reply(False, refused=Reason.TARGET_SHED))
            return
        work_s = self._rng.gammavariate(4.0, gate_call.spec.work_s / 4.0) / gate.speed
        if gate_call.call.started_with > gate.pool.slots * gate.pool.nearly_full:
            work_s *= gate.pool.slowdown
        started_at = self.now
        self._schedule(
            work_s, lambda: self._call_downstream(gate, gate_call, started_at)
        )

    def _is_turned_away(self, pool: str) -> bool:
        interval = self._turning_away
        if interval.pool != pool or not interval.start_s <= self.now < interval.end_s:
            return False
        return self._rng.random() < interval.share

    def _call_downstream(
        self, gate: _Node, gate_call: _GateCall, started_at: float
    ) -> None:
        spec = gate_call.spec
        if not spec.calls:
            self._finish(gate, gate_call, started_at)
            return
        gate_call.call.made_calls = True
        open_branches = [spec.branches]

        def branch(position: int) -> None:
            if position == len(spec.calls) or gate_call.failed:
                open_branches[0] -= 1
                if not open_branches[0]:
                    self._finish(gate, gate_call, started_at)
                return

            def done(reply: _Reply) -> None:
                level = max(gate_call.downstream_level, reply.level)
                gate_call.downstream_level = level
                gate_call.failed |= not reply.succeeded
                branch(position + 1)

            importance = CALLER_CLASSES + gate_call.call.importance % CALLER_CLASSES
            depth = gate_call.call.depth + 1
            called = spec.calls[position]
            gate.chains.record_call(
                self.now, spec.name, called.name, called.pool, gate_call.rank
            )
            self._call(
                gate, called, gate_call.rank, importance, depth, done, parent=gate_call
            )

        for _ in range(spec.branches):
            branch(0)

    def _finish(self, gate: _Node, gate_call: _GateCall, started_at: float) -> None:
        service_s = self.now - started_at
        gate.admission.finish(self.now, gate_call.call, service_s, gate_call.failed)
        gate_call.done(
            _Reply(
                not gate_call.failed,
                gate_call.downstream_level,
            )
        )
        for queued in gate.admission.admit_waiting(self.now):
            waiting = gate.waiting.pop(queued)
            if self._is_refused(gate, waiting):
                gate.admission.release_slot()
                waiting.done(_Reply(False, refused=Reason.OVERLOAD))
                continue
            self._start(gate, waiting)

    def _is_refused(self, gate: _Node, gate_call: _GateCall) -> bool:
        """Report whether a chain is not started because it cannot be completed."""
        name, rank = gate_call.spec.name, gate_call.rank
        return not gate_call.call.depth and gate.chains.refuses(self.now, name, rank)

    def _poll_levels(self) -> None:
        """Ask one node of each pool whose level refuses runs for a current one."""
        for node in self.nodes:
            for route, pool in node.chains.due_polls(self.now).items():
                members = [item for item in self.nodes if item.pool.name == pool]
                peer = self._rng.choice(members)
                level = peer.chains.highest_level(self.now, route)
                node.chains.reported.report(route, level, self.now)

    def _sweep(self) -> None:
        self._poll_levels()
        for node in self.nodes:
            for queued, gate_call in list(node.waiting.items()):
                expected_s = node.admission.expected_service_s(self.now, queued.kind)
                if self.now + expected_s * 0.5 > queued.deadline:
                    del node.waiting[queued]
                    node.admission.expire(queued)
                    gate_call.done(_Reply(False, refused=Reason.DEADLINE))
        self._schedule(SWEEP_INTERVAL_S, self._sweep)
