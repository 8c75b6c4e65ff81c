"""Choice of a target within a pool."""

__all__ = ["Candidate", "Selector"]

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

REMOTE_COST_SHARE = 0.3
REMOTE_COST_S = 0.005
LATENCY_SMOOTHING = 0.1
LATENCY_HALF_LIFE_S = 2.0
LEAST_LATENCY_S = 0.005
CROWDED_SHARE = 0.8
CROWDED_GAIN = 4.0
COST_JITTER = 0.1
FAILURE_SMOOTHING = 0.1
FAILURE_COST_S = 1.0
FAILURE_HALF_LIFE_S = 2.0
SAMPLED_PER_GROUP = 3
WELL_WITHIN_SHARE = 0.4
MAX_KINDS = 1024
FAILURES_TO_EJECT = 3
EJECT_BASE_S = 1.0
EJECT_MAX_S = 20.0
EJECTED_SHARE = 0.5
RECOVERY_S = 2.0
LOAD_STALE_S = 2.0


@dataclass(slots=True)
class Candidate:
    """One target and what its replies have shown.

    Args:
        node_id: Identity of the node beside the target.
        zone: Availability zone.
    """

    node_id: int
    zone: str
    outstanding: int = 0
    limit: int = 1
    reported_load: int = 0
    reported_at: float = 0.0
    latencies: dict[str, float] = field(default_factory=dict)
    draining: bool = False
    failures: int = 0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0


@dataclass
class Selector:
    """Choose the target that is expected to answer first, among a few random ones.

    The own availability zone goes first until that costs time. Load that it answers:
    calls of one node to pools whose targets differ in speed, load and health.

    Args:
        zone: Availability zone of this node.
    """

    zone: str
    _pools: dict[str, dict[int, Candidate]] = field(default_factory=dict)

    def sync(self, pool: str, members: Iterable[tuple[int, str]]) -> None:
        """Adopt the present members of a pool as (node id, zone) pairs."""
        known = self._pools.get(pool, {})
        self._pools[pool] = {
            node_id: known.get(node_id) or Candidate(node_id, zone)
            for node_id, zone in members
        }

    def candidates(self, pool: str) -> list[Candidate]:
        """Return the known targets of a pool."""
        return list(self._pools.get(pool, {}).values())

    def find(self, pool: str, node_id: int) -> Candidate | None:
        """Return one target of a pool, or None."""
        return self._pools.get(pool, {}).get(node_id)

    def choose(
        self,
        pool: str,
        now: float,
        rng: Random,
        excluded: set[int],
        kind: str = "",
        allowed_s: float = 0.0,
    ) -> Candidate | None:
        """Pick a target that was not tried before, or None.

        Args:
            pool: Pool to choose from.
            now: Monotonic time in seconds.
            rng: Source of the sample and of jitter.
            excluded: Nodes that were tried before.
            kind: Kind of the call; times are compared within one kind.
            allowed_s: Time in which the answer is worth most, in seconds; the own
                availability zone is not left while it answers well within it.
        """
        eligible = self._eligible(pool, now, excluded)
        if not eligible:
            return None
        local = [item for item in eligible if item.zone == self.zone]
        remote = [item for item in eligible if item.zone != self.zone]
        near = _sample(local, rng)
        at_home = self._cheapest(near, now, rng, kind)
        if at_home is not None and self._serves_well(at_home, now, kind, allowed_s):
            return at_home
        return self._cheapest(near + _sample(remote, rng), now, rng, kind)

    def _cheapest(
        self, group: list[Candidate], now: float, rng: Random, kind: str
    ) -> Candidate | None:
        if len(group) < 2:
            return group[0] if group else None
        return min(
            group,
            key=lambda item: (
                self._cost(item, now, kind) * (1.0 + COST_JITTER * rng.random())
            ),
        )

    def _serves_well(
        self, candidate: Candidate, now: float, kind: str, allowed_s: float
    ) -> bool:
        """Report whether a target has room and answers well within a time."""
        return (
            self._used(candidate, now) <= CROWDED_SHARE
            and self._cost(candidate, now, kind) <= allowed_s * WELL_WITHIN_SHARE
        )

    def _eligible(self, pool: str, now: float, excluded: set[int]) -> list[Candidate]:
        present = [
            candidate
            for candidate in self._pools.get(pool, {}).values()
            if candidate.node_id not in excluded and not candidate.draining
        ]
        healthy = [item for item in present if item.ejected_until <= now]
        if len(healthy) >= max(1, len(present) * (1 - EJECTED_SHARE)):
            return healthy
        return present

    def _used(self, candidate: Candidate, now: float) -> float:
        """Return the share of a target's slots that a further call would use."""
        reported = candidate.reported_load
        if now - candidate.reported_at > LOAD_STALE_S:
            reported = 0
        load = max(candidate.outstanding, reported) + 1
        return load / max(1, candidate.limit)

    def _cost(self, candidate: Candidate, now: float, kind: str) -> float:
        """Return the expected time to an answer, in seconds, with what else weighs."""
        used = self._used(candidate, now)
        idle_s = max(0.0, now - candidate.reported_at)
        latency_s = candidate.latencies.get(kind, 0.0) * 0.5 ** (
            idle_s / LATENCY_HALF_LIFE_S
        )
        cost = max(LEAST_LATENCY_S, latency_s)
        if candidate.zone != self.zone:
            cost += cost * REMOTE_COST_SHARE + REMOTE_COST_S
        if used > CROWDED_SHARE:
            cost *= 1.0 + (used - CROWDED_SHARE) * CROWDED_GAIN
        since_s = now - candidate.failure_rate_at
        fading = 0.5 ** (since_s / FAILURE_HALF_LIFE_S)
        cost += candidate.failure_rate * fading * FAILURE_COST_S
        since_ejection = now - candidate.ejected_until
        if candidate.ejections and since_ejection < RECOVERY_S:
            cost *= 1.0 + 3.0 * (1.0 - since_ejection / RECOVERY_S)
        return cost

    def sent(self, candidate: Candidate) -> None:
        """Account for a call sent to a target."""
        candidate.outstanding += 1

    def replied(
        self,
        candidate: Candidate,
        now: float,
        latency_s: float,
        limit: int,
        load: int,
        draining: bool,
        failed: bool,
        kind: str = "",
    ) -> None:
        """Account for a reply and the load that it reported."""
        candidate.outstanding -= 1
        candidate.limit = max(1, limit)
        candidate.reported_load = load
        candidate.reported_at = now
        candidate.draining = draining
        self._note_failure_rate(candidate, now, failed)
        if failed:
            self._count_failure(candidate, now)
            return
        candidate.failures = 0
        if now - candidate.ejected_until > RECOVERY_S:
            candidate.ejections = 0
        held = candidate.latencies.get(kind)
        if held is None:
            if len(candidate.latencies) >= MAX_KINDS:
                candidate.latencies.clear()
            candidate.latencies[kind] = latency_s
        else:
            candidate.latencies[kind] += (latency_s - held) * LATENCY_SMOOTHING

    def lost(self, candidate: Candidate, now: float) -> None:
        """Account for a call that got no reply."""
        candidate.outstanding -= 1
        self._note_failure_rate(candidate, now, True)
        self._count_failure(candidate, now)

    def _note_failure_rate(
        self, candidate: Candidate, now: float, failed: bool
    ) -> None:
        since_s = now - candidate.failure_rate_at
        faded = candidate.failure_rate * 0.5 ** (since_s / FAILURE_HALF_LIFE_S)
        change = (1.0 if failed else 0.0) - faded
        candidate.failure_rate = faded + change * FAILURE_SMOOTHING
        candidate.failure_rate_at = now

    def _count_failure(self, candidate: Candidate, now: float) -> None:
        candidate.failures += 1
        if candidate.failures < FAILURES_TO_EJECT:
            return
        candidate.failures = 0
        duration = EJECT_BASE_S * 2.0**candidate.ejections
        candidate.ejected_until = now + min(EJECT_MAX_S, duration)
        candidate.ejections += 1


def _sample(group: list[Candidate], rng: Random) -> list[Candidate]:
    if len(group) <= SAMPLED_PER_GROUP:
        return group
    return rng.sample(group, SAMPLED_PER_GROUP)
