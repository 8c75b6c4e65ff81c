"""Play chains of calls against the real decisions in virtual time.

Gates, queues, levels and the choice of targets are the product's own; targets, links
and callers are modelled, and no network is used. A run is repeatable by its seed.
"""

__all__ = [
    "ChainPlay",
    "Hop",
    "Load",
    "Pool",
    "Surge",
    "Tally",
    "deep_loads",
    "deep_pools",
]

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from dogwooddock.mesh.pending import CALLER_CLASSES
from dogwooddock.policy.admission import AdmissionController, QueuedCall, Verdict
from dogwooddock.policy.levels import LEVEL_SCALE, LevelTable
from dogwooddock.policy.limits import StaticLimit
from dogwooddock.policy.outcomes import Reason
from dogwooddock.policy.selection import Selector

LINK_S = 0.0005
SWEEP_S = 0.01
SAMPLE_S = 0.1


@dataclass(frozen=True)
class Pool:
    """Targets of one kind.

    Args:
        name: Name of the pool.
        slots: Requests that each target runs at once.
        speeds: Speed of each target; work takes its time divided by it.
    """

    name: str
    slots: int
    speeds: tuple[float, ...]


@dataclass(frozen=True)
class Hop:
    """One kind of call.

    Args:
        name: Route.
        pool: Pool that it goes to.
        work_s: Mean time of its own work, in seconds.
        objective_s: Time in which its answer is worth most, in seconds.
        deadline_s: Time after which it is worth nothing, in seconds.
        calls: Kinds of calls that each run makes, one after the other.
        branches: How many such series run at once.
    """

    name: str
    pool: str
    work_s: float
    objective_s: float
    deadline_s: float
    calls: tuple["Hop", ...] = ()
    branches: int = 1


@dataclass(frozen=True)
class Load:
    """Requests of one kind.

    Args:
        hop: First call.
        per_s: Requests a second, outside a surge.
        importance: Class of the callers, 0 (least) to 4.
        worth: What an answer in time is worth.
    """

    hop: Hop
    per_s: float
    importance: int
    worth: int = 1


@dataclass(frozen=True)
class Surge:
    """Load that all kinds of requests are multiplied by for a while."""

    factor: float
    start_s: float
    end_s: float


@dataclass
class Tally:
    """What became of the requests of one kind."""

    asked: int = 0
    good: int = 0
    refused: int = 0
    failed: int = 0


@dataclass
class _Run:
    call: QueuedCall
    hop: Hop
    rank: int
    done: Callable[[bool, int], None]
    below_level: int = 0
    failed: bool = False


@dataclass(eq=False)
class _Node:
    node_id: int
    pool: Pool
    speed: float
    selector: Selector
    levels: LevelTable = field(default_factory=LevelTable)
    admission: AdmissionController = field(init=False)
    waiting: dict[QueuedCall, _Run] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.admission = AdmissionController(
            StaticLimit(self.pool.slots), self.pool.slots
        )


def deep_pools() -> list[Pool]:
    """Return four pools; the last one gets ten calls of each chain."""
    return [
        Pool("desk", 139, (0.6, 1.0, 1.6, 1.0)),
        Pool("booking", 185, (0.5, 1.0, 1.5)),
        Pool("stock", 185, (0.7, 0.7, 1.6)),
        Pool("fees", 39, (0.7, 0.7, 1.6)),
    ]


def deep_loads(factor: float) -> list[Load]:
    """Return the callers of these pools; a factor of 0.65 fills the last pool."""
    fee = Hop("fee", "fees", 0.022, 0.3, 0.7)
    ledger = Hop("ledger", "stock", 0.015, 1.2, 2.5, (fee,) * 5)
    check = Hop("check", "booking", 0.015, 1.2, 3.0, (ledger,))
    return [
        Load(Hop("status", "desk", 0.09, 1.5, 6.0, (check,), 2), 588 * factor, 2),
        Load(Hop("book", "booking", 0.12, 1.5, 6.0, (ledger,), 2), 161 * factor, 4, 3),
        Load(Hop("lookup", "stock", 0.22, 0.6, 2.5), 218 * factor, 2),
        Load(Hop("list", "fees", 0.36, 1.0, 4.0), 82 * factor, 2),
    ]


class ChainPlay:
    """A fleet of gates in virtual time.

    Args:
        pools: The pools; each target has a node.
        loads: What callers ask for.
        surge: When there is more load.
        seed: Source of arrivals, ranks and work.
    """

    def __init__(
        self,
        pools: list[Pool],
        loads: list[Load],
        surge: Surge = Surge(1.0, 0.0, 0.0),
        seed: int = 1,
    ):
        self._surge = surge
        self.now = 0.0
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._loads = loads
        self.tallies = {load.hop.name: Tally() for load in loads}
        self.credit: list[tuple[float, int, int]] = []
        self.nodes: list[_Node] = []
        self.samples: dict[str, list[tuple[float, int, int]]] = {}
        for pool in pools:
            self.samples[pool.name] = []
            for speed in pool.speeds:
                number = len(self.nodes)
                self.nodes.append(_Node(number, pool, speed, Selector("here")))
        for node in self.nodes:
            for pool in pools:
                members = [item for item in self.nodes if item.pool is pool]
                pairs = [(item.node_id, "here") for item in members]
                node.selector.sync(pool.name, pairs)
                for item in members:
                    candidate = node.selector.find(pool.name, item.node_id)
                    assert candidate is not None
                    candidate.limit = pool.slots

    def play(self, until_s: float) -> None:
        """Run until a time, in seconds."""
        for load in self._loads:
            self._after(0.0, self._arrive_next(load))
        self._after(SWEEP_S, self._sweep)
        self._after(SAMPLE_S, self._sample)
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (self.now + delay_s, self._number, action))

    def _sample(self) -> None:
        for name, samples in self.samples.items():
            gates = [node.admission for node in self.nodes if node.pool.name == name]
            running = sum(gate.in_flight for gate in gates)
            queued = sum(gate.queued for gate in gates)
            samples.append((self.now, running, queued))
        self._after(SAMPLE_S, self._sample)

    def used_share(self, pool: Pool, since_s: float) -> float:
        """Return the share of a pool's slots in use after a time."""
        taken = [run for at, run, _ in self.samples[pool.name] if at >= since_s]
        return sum(taken) / len(taken) / (pool.slots * len(pool.speeds))

    def credit_share(self, since_s: float, until_s: float) -> float:
        """Return the share of a span's worth that was answered in time."""
        span = [item for item in self.credit if since_s <= item[0] < until_s]
        return sum(won for _, _, won in span) / sum(worth for _, worth, _ in span)

    # Callers.

    def _arrive_next(self, load: Load) -> Callable[[], None]:
        def arrive() -> None:
            surge = self._surge
            surging = surge.start_s <= self.now < surge.end_s
            per_s = load.per_s * (surge.factor if surging else 1.0)
            self._after(self._rng.expovariate(per_s), arrive)
            self._ask(load)

        return arrive

    def _ask(self, load: Load) -> None:
        hop = load.hop
        tally = self.tallies[hop.name]
        tally.asked += 1
        node = self._rng.choice(self.nodes)
        rank = load.importance * LEVEL_SCALE + self._rng.randrange(LEVEL_SCALE)
        if rank < node.levels.level(hop.name, self.now):
            tally.refused += 1
            self.credit.append((self.now, load.worth, 0))
            return
        asked_at = self.now

        def done(good: bool, level: int) -> None:
            in_time = good and self.now - asked_at <= hop.objective_s
            tally.good += in_time
            tally.failed += not good
            self.credit.append((asked_at, load.worth, load.worth * in_time))

        self._call(node, hop, rank, load.importance, 0, done)

    def _call(
        self,
        node: _Node,
        hop: Hop,
        rank: int,
        importance: int,
        depth: int,
        done: Callable[[bool, int], None],
        tried: frozenset[int] = frozenset(),
    ) -> None:
        """Send one call from a node; ``done`` gets success and the level below."""
        candidate = node.selector.choose(
            hop.pool, self.now, self._rng, set(tried), hop.name, hop.objective_s
        )
        if candidate is None:
            done(False, 0)
            return
        gate = self.nodes[candidate.node_id]
        if depth == 0 and rank < node.levels.level(str(gate.node_id), self.now):
            self.tallies[hop.name].refused += 1
            self.tallies[hop.name].failed -= 1
            done(False, 0)
            return
        node.selector.record_sent(candidate)
        sent_at = self.now
        queued = QueuedCall(
            "",
            importance,
            depth,
            self.now + hop.deadline_s,
            hop.name,
            node.pool.name,
            level_class=rank // LEVEL_SCALE,
        )

        def replied(good: bool, below: int, refused: Reason = Reason.NONE) -> None:
            admission = gate.admission
            level = admission.level(self.now)
            load = admission.in_flight + admission.queued
            node.selector.record_reply(
                candidate,
                self.now,
                self.now - sent_at,
                gate.pool.slots,
                load,
                False,
                False,
                hop.name,
            )
            node.levels.update(str(gate.node_id), level, self.now)
            node.levels.update_smoothed(hop.name, below, self.now)
            if refused and not tried:
                again = frozenset({gate.node_id})
                self._call(node, hop, rank, importance, depth, done, again)
                return
            done(good, max(below, level) if depth else 0)

        def reply(good: bool, below: int, refused: Reason = Reason.NONE) -> None:
            self._after(LINK_S, lambda: replied(good, below, refused))

        run = _Run(queued, hop, rank, reply)
        self._after(LINK_S, lambda: self._submit(gate, run, reply))

    # Gates.

    def _submit(
        self,
        gate: _Node,
        run: _Run,
        reply: Callable[[bool, int, Reason], None],
    ) -> None:
        decision = gate.admission.arrive(self.now, run.call)
        if decision.displaced is not None:
            gate.waiting.pop(decision.displaced).done(False, 0)
        if decision.verdict is Verdict.ADMIT:
            self._start(gate, run)
        elif decision.verdict is Verdict.WAIT:
            gate.waiting[run.call] = run
        else:
            reply(False, 0, decision.reason)

    def _start(self, gate: _Node, run: _Run) -> None:
        work_s = self._rng.gammavariate(4.0, run.hop.work_s / 4.0) / gate.speed
        started_at = self.now
        self._after(work_s, lambda: self._call_below(gate, run, started_at))

    def _call_below(self, gate: _Node, run: _Run, started_at: float) -> None:
        hop = run.hop
        if not hop.calls:
            self._finish(gate, run, started_at)
            return
        left = [hop.branches]

        def branch(position: int) -> None:
            if position == len(hop.calls) or run.failed:
                left[0] -= 1
                if not left[0]:
                    self._finish(gate, run, started_at)
                return

            def done(good: bool, level: int) -> None:
                run.below_level = max(run.below_level, level)
                run.failed = run.failed or not good
                branch(position + 1)

            importance = CALLER_CLASSES + run.call.importance % CALLER_CLASSES
            depth = run.call.depth + 1
            called = hop.calls[position]
            self._call(gate, called, run.rank, importance, depth, done)

        for _ in range(hop.branches):
            branch(0)

    def _finish(self, gate: _Node, run: _Run, started_at: float) -> None:
        service_s = self.now - started_at
        gate.admission.finish(self.now, run.call, service_s, run.failed)
        run.done(not run.failed, run.below_level)
        for queued in gate.admission.admit_waiting():
            waiting = gate.waiting.pop(queued)
            self._start(gate, waiting)

    def _sweep(self) -> None:
        for node in self.nodes:
            for queued, run in list(node.waiting.items()):
                expected_s = node.admission.expected_service_s(self.now, queued.kind)
                if self.now + expected_s * 0.5 > queued.deadline:
                    del node.waiting[queued]
                    node.admission.expire(queued)
                    run.done(False, 0)
        self._after(SWEEP_S, self._sweep)
