"""Load balancing: choice of a target within a pool."""

__all__ = ["Selector"]

import hashlib
import itertools
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random

from .candidates import Candidate
from .latency import LatencyModel
from .loadestimate import PoolLoad, record_slowness
from .placement import Obstacle, Placement, PlacementView, TargetView
from .turns import WeightedTurns

REMOTE_ZONE_COST_SHARE = 0.3
REMOTE_ZONE_COST_S = 0.005
MIN_LATENCY_S = 0.005
HIGH_UTILIZATION = 0.8
HIGH_UTILIZATION_GAIN = 4.0
COST_JITTER = 0.1
FAILURE_RATE_SMOOTHING = 0.1
FAILURE_RATE_COST_S = 1.0
FAILURE_RATE_HALF_LIFE_S = 2.0
DRAWS_PER_GROUP = 3
MAX_LOCAL_COST_SHARE = 0.4
FAILURES_TO_EJECT = 3
EJECT_BASE_S = 1.0
EJECT_MAX_S = 20.0
# Ejections in a row that are told apart; longer ones last EJECT_MAX_S anyway.
MAX_EJECTIONS = 16
RECOVERY_S = 2.0
MAX_LOAD_AGE_S = 2.0


class _Group:
    """The targets of a pool that are in the local zone, or those that are not."""

    def __init__(self) -> None:
        self.members: list[Candidate] = []
        self.turns = WeightedTurns()
        self.load = PoolLoad()

    def sync(self, members: list[Candidate]) -> None:
        self.members = members
        self.turns.sync(members)

    def copy(self) -> "_Group":
        """Return a copy whose turns can be drawn without effect on this object."""
        copied = _Group()
        copied.members, copied.load = self.members, self.load
        copied.turns = self.turns.copy()
        return copied


class _Pool:
    """The targets of a pool, their typical load and their turns."""

    def __init__(self) -> None:
        self.candidates: dict[int, Candidate] = {}
        self.ejected_until = 0.0
        self.local = _Group()
        self.remote = _Group()


@dataclass
class Selector:
    """Spread calls over targets in proportion to the load that each can still take.

    The local availability zone is preferred while its targets answer in time. Meant
    for the calls of one node to pools whose targets differ in speed, load and health,
    and whose load other nodes place at the same time.

    Args:
        zone: Availability zone of this node.
    """

    zone: str
    _pools: dict[str, _Pool] = field(default_factory=dict)
    _latency: LatencyModel = field(default_factory=LatencyModel)

    def sync(self, pool: str, members: Iterable[tuple[int, str]]) -> None:
        """Set the members of a pool, given as (node id, zone) pairs.

        Members that were known before keep their statistics.
        """
        known = self._pools.setdefault(pool, _Pool())
        known.candidates = {
            node_id: known.candidates.get(node_id) or Candidate(node_id, zone, pool)
            for node_id, zone in members
        }
        items = list(known.candidates.values())
        known.local.sync([item for item in items if item.zone == self.zone])
        known.remote.sync([item for item in items if item.zone != self.zone])

    def candidates(self, pool: str) -> list[Candidate]:
        """Return the targets of a pool."""
        known = self._pools.get(pool)
        return list(known.candidates.values()) if known is not None else []

    def find(self, pool: str, node_id: int) -> Candidate | None:
        """Return the target of a node in a pool, or None."""
        known = self._pools.get(pool)
        return known.candidates.get(node_id) if known is not None else None

    def choose(
        self,
        pool: str,
        now: float,
        rng: Random,
        excluded: set[int],
        kind: str = "",
        objective_s: float = 0.0,
        usable: Callable[[int], bool] = lambda node_id: True,
    ) -> Candidate | None:
        """Return a target that is not excluded, or None.

        Ejected targets are left out, unless they are more than MAX_EJECTED_SHARE of
        those that may be chosen. Targets have turns in proportion to their share of
        the pool's calls, and only those whose turn it is are looked at.

        Args:
            pool: Pool to choose from.
            now: Monotonic time in seconds.
            rng: Source of the sample and of jitter.
            excluded: Ids of nodes not to choose, such as those already tried.
            kind: Name of the route; latencies are compared within one kind.
            objective_s: Latency objective of the call, in seconds; local targets are
                preferred while their cost is at most MAX_LOCAL_COST_SHARE of it.
            usable: Reports whether the target of a node can be reached now.
        """
        members = self._pools.get(pool)
        if members is None:
            return None
        req = Placement(
            now, rng, excluded, kind, objective_s, usable, members.ejected_until
        )
        return self._place(members.local, members.remote, req)

    def explain(
        self,
        pool: str,
        now: float,
        rng: Random,
        kind: str,
        objective_s: float,
        usable: Callable[[int], bool],
    ) -> PlacementView:
        """Return what ``choose`` would return, and why, without effect on it."""
        members = self._pools.get(pool)
        if members is None:
            return PlacementView(None, ())
        copied = Random()
        copied.setstate(rng.getstate())
        req = Placement(
            now, copied, set(), kind, objective_s, usable, members.ejected_until
        )
        chosen = self._place(members.local.copy(), members.remote.copy(), req)
        views = [self._view(item, req) for item in members.candidates.values()]
        return PlacementView(chosen.node_id if chosen else None, tuple(views))

    def _view(self, item: Candidate, req: Placement) -> TargetView:
        load = self._load(item)
        return TargetView(
            item.node_id,
            item.zone,
            req.obstacle(item),
            req.passed_over.get(item.node_id, ""),
            req.now - item.reported_at if item.reported_at else None,
            item.reported_load,
            item.outstanding,
            item.limit,
            load.utilization_of(item, req.now),
            self._weight(item, req),
            self._cost(item, req),
        )

    def _place(self, local: _Group, remote: _Group, req: Placement) -> Candidate | None:
        """Return the local target whose turn it is, or the cheapest of a few of all."""
        drawn: list[Candidate] = []
        if req.is_mostly_healthy(local.members):
            for item in self._draw(local, req, Obstacle.NONE):
                objection = self._objection(item, local, req)
                if not objection:
                    return item
                req.passed_over[item.node_id] = objection
                drawn.append(item)
                if local.load.utilization > HIGH_UTILIZATION:
                    break
        worst = Obstacle.NONE
        if not req.is_mostly_healthy(local.members + remote.members):
            worst = Obstacle.EJECTED
            drawn.clear()
        if not drawn:
            drawn += self._draw(local, req, worst)
        drawn += itertools.islice(self._draw(remote, req, worst), len(drawn) or None)
        for item in drawn:
            req.passed_over.setdefault(item.node_id, "costs more than the chosen one")
        return self._cheapest(drawn, req)

    def _draw(
        self, group: _Group, req: Placement, worst: Obstacle
    ) -> Iterator[Candidate]:
        """Yield up to DRAWS_PER_GROUP targets of a group by their turns."""
        found = 0
        for _ in range(len(group.turns) + DRAWS_PER_GROUP):
            if found == DRAWS_PER_GROUP:
                return
            item = group.turns.draw(lambda item: self._weight(item, req), req.rng)
            if item is None:
                return
            if req.obstacle(item) <= worst:
                found += 1
                yield item
        if not found:
            yield from [item for item in group.members if req.obstacle(item) <= worst]

    def choose_for_suspect(
        self, pool: str, excluded: set[int], fingerprint: str
    ) -> Candidate | None:
        """Return the target on which the whole fleet tries a suspect request, or None.

        All nodes choose the same one, as far as they know the same members.
        """
        return min(
            (item for item in self.candidates(pool) if item.node_id not in excluded),
            key=lambda item: _rank(fingerprint, item.node_id),
            default=None,
        )

    def _cheapest(self, group: list[Candidate], req: Placement) -> Candidate | None:
        """Return the candidate with the lowest cost, with jitter, or None."""
        if len(group) < 2:
            return group[0] if group else None
        return min(
            group,
            key=lambda item: (
                self._cost(item, req) * (1.0 + COST_JITTER * req.rng.random())
            ),
        )

    def _objection(self, candidate: Candidate, group: _Group, req: Placement) -> str:
        """Return why other zones should be looked at too; empty if they need not."""
        if group.load.utilization > HIGH_UTILIZATION:
            return "the zone is busy"
        if candidate.outstanding > HIGH_UTILIZATION * max(1, candidate.limit):
            return "busy with calls of this node"
        if self._cost(candidate, req) > req.objective_s * MAX_LOCAL_COST_SHARE:
            return "answers late"
        return ""

    def _weight(self, candidate: Candidate, req: Placement) -> float:
        """Return a target's share of the calls; 1 is that of a typical target."""
        share = self._load(candidate).share_of(candidate, req.now)
        if not candidate.failure_rate and not candidate.ejections:
            return share
        latency_s = self._latency_s(candidate, req)
        return share * latency_s / self._with_failures(latency_s, candidate, req.now)

    def _load(self, candidate: Candidate) -> PoolLoad:
        """Return the load of the targets of a candidate's pool that are as near."""
        pool = self._pools[candidate.pool]
        group = pool.local if candidate.zone == self.zone else pool.remote
        return group.load

    def _latency_s(self, candidate: Candidate, req: Placement) -> float:
        """Return the expected latency of a call to a target, in seconds."""
        latency_s = self._latency.expected_s(
            req.now, candidate.zone, req.kind, candidate.latency
        )
        if req.now - candidate.reported_at <= MAX_LOAD_AGE_S:
            latency_s += candidate.reported_wait_s
        return max(MIN_LATENCY_S, latency_s)

    def _cost(self, candidate: Candidate, req: Placement) -> float:
        """Return the cost of a call to a target, in seconds.

        The expected latency, increased for a remote zone, a high utilization, recent
        failures and a recent ejection.
        """
        cost = self._latency_s(candidate, req)
        if candidate.zone != self.zone:
            cost += cost * REMOTE_ZONE_COST_SHARE + REMOTE_ZONE_COST_S
        utilization = self._load(candidate).utilization_of(candidate, req.now)
        if utilization > HIGH_UTILIZATION:
            cost *= 1.0 + (utilization - HIGH_UTILIZATION) * HIGH_UTILIZATION_GAIN
        return self._with_failures(cost, candidate, req.now)

    def _with_failures(self, cost: float, candidate: Candidate, now: float) -> float:
        """Return a cost increased for recent failures and a recent ejection."""
        since_s = now - candidate.failure_rate_at
        decay = 0.5 ** (since_s / FAILURE_RATE_HALF_LIFE_S)
        cost += candidate.failure_rate * decay * FAILURE_RATE_COST_S
        since_ejection = now - candidate.ejected_until
        if candidate.ejections and since_ejection < RECOVERY_S:
            cost *= 1.0 + 3.0 * (1.0 - since_ejection / RECOVERY_S)
        return cost

    def record_sent(self, candidate: Candidate) -> None:
        """Record a call sent to a target."""
        candidate.outstanding += 1
        candidate.sent_since += 1

    def record_reply(
        self,
        candidate: Candidate,
        now: float,
        latency_s: float | None,
        limit: int,
        load: int,
        draining: bool,
        failed: bool,
        kind: str = "",
        service_s: float = 0.0,
        wait_s: float = 0.0,
    ) -> None:
        """Record a reply and the load that it reported.

        Args:
            candidate: Target that replied.
            now: Monotonic time in seconds.
            latency_s: Latency of the call, in seconds; None if it did not run.
            limit: Concurrency limit of the target's gate.
            load: Calls in flight and queued at the gate.
            draining: Whether the target is draining.
            failed: Whether the call failed; its latency is then ignored.
            kind: Name of the route.
            service_s: Mean service time of the kind that the gate reported, in
                seconds; 0 if unknown.
            wait_s: Expected wait of a new call that the gate reported, in seconds.
        """
        candidate.outstanding -= 1
        candidate.sent_since = 0
        candidate.limit = max(1, limit)
        candidate.reported_load = load
        wait_before_s, candidate.reported_wait_s = candidate.reported_wait_s, wait_s
        candidate.reported_at = now
        candidate.draining = draining
        self._load(candidate).record(candidate, latency_s)
        self._update_failure_rate(candidate, now, failed)
        if failed:
            self._record_failure(candidate, now)
            return
        candidate.consecutive_failures = 0
        if now - candidate.ejected_until > RECOVERY_S:
            candidate.ejections = 0
        if latency_s is not None:
            self._latency.record(
                now,
                candidate.zone,
                kind,
                candidate.latency,
                latency_s,
                service_s,
                wait_before_s,
            )
            ratio = self._latency.slowness(now, kind, candidate.latency)
            if ratio is not None:
                record_slowness(candidate, now, ratio)

    def record_failed_below(self, candidate: Candidate, now: float) -> None:
        """Record that the answered run failed because a call that it made did.

        The target costs more for a while, as its node may have no retries left, but it
        is not ejected.
        """
        self._update_failure_rate(candidate, now, True)

    def record_lost(self, candidate: Candidate, now: float) -> None:
        """Record a call that got no reply as a failure."""
        candidate.outstanding -= 1
        self._update_failure_rate(candidate, now, True)
        self._record_failure(candidate, now)

    def _update_failure_rate(
        self, candidate: Candidate, now: float, failed: bool
    ) -> None:
        since_s = now - candidate.failure_rate_at
        decayed = candidate.failure_rate * 0.5 ** (since_s / FAILURE_RATE_HALF_LIFE_S)
        change = (1.0 if failed else 0.0) - decayed
        candidate.failure_rate = decayed + change * FAILURE_RATE_SMOOTHING
        candidate.failure_rate_at = now

    def _record_failure(self, candidate: Candidate, now: float) -> None:
        """Count a failure and eject the target after FAILURES_TO_EJECT in a row."""
        candidate.consecutive_failures += 1
        if candidate.consecutive_failures < FAILURES_TO_EJECT:
            return
        candidate.consecutive_failures = 0
        duration = EJECT_BASE_S * 2.0**candidate.ejections
        self.eject(candidate, now + min(EJECT_MAX_S, duration))
        candidate.ejections = min(candidate.ejections + 1, MAX_EJECTIONS)

    def eject(self, candidate: Candidate, until: float) -> None:
        """Leave a target out until a monotonic time, in seconds."""
        candidate.ejected_until = max(candidate.ejected_until, until)
        pool = self._pools[candidate.pool]
        pool.ejected_until = max(pool.ejected_until, until)


def _rank(fingerprint: str, node_id: int) -> bytes:
    """Return a hash that orders the targets differently for each request."""
    return hashlib.sha256(f"{fingerprint} {node_id}".encode()).digest()
