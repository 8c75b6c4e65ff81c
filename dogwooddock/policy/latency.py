"""Expected latencies of targets that answer unequally and are seldom called."""

__all__ = ["LatencyModel", "TargetLatency"]

from dataclasses import dataclass, field

TARGET_SMOOTHING = 0.1
ZONE_SMOOTHING = 0.2
TYPICAL_SMOOTHING = 0.05
OVERHEAD_SMOOTHING = 0.1
GAP_SMOOTHING = 0.1
HALF_LIFE_CALLS = 10.0
MIN_HALF_LIFE_S = 2.0
MAX_HALF_LIFE_S = 20.0
MAX_KINDS = 1024
# Nothing is compared with a typical latency of fewer samples.
MIN_TYPICAL_SAMPLES = 10


@dataclass(slots=True)
class LatencyEstimate:
    """Moving average of a latency, in seconds, and the time of its last sample."""

    value_s: float
    updated_at: float

    def add(self, now: float, sample_s: float, smoothing: float) -> None:
        """Include a sample."""
        self.value_s += (sample_s - self.value_s) * smoothing
        self.updated_at = now

    def at(self, now: float, typical_s: float, half_life_s: float) -> float:
        """Return the average, which approaches the typical latency as it ages."""
        weight = 0.5 ** (max(0.0, now - self.updated_at) / half_life_s)
        return typical_s + (self.value_s - typical_s) * weight


@dataclass(slots=True)
class TargetLatency:
    """Latency of one target.

    Args:
        kinds: Estimates by kind of call.
        overhead: Time that its calls took beyond the service time that its gate
            reported, for any kind. It starts at the typical one, so that one slow call
            says little and a slow node or network shows after a few; None if unknown.
    """

    kinds: dict[str, LatencyEstimate] = field(default_factory=dict)
    overhead: LatencyEstimate | None = None


@dataclass(slots=True)
class _Kind:
    """Typical latency of a kind of call, and the usual time between its replies."""

    latency: LatencyEstimate
    gap_s: float = MAX_HALF_LIFE_S
    samples: int = 1

    def add(self, now: float, sample_s: float) -> None:
        gap_s = now - self.latency.updated_at
        self.gap_s += (gap_s - self.gap_s) * GAP_SMOOTHING
        self.samples += 1
        self.latency.add(now, sample_s, max(TYPICAL_SMOOTHING, 1 / self.samples))

    @property
    def half_life_s(self) -> float:
        """Return the half-life of estimates; a busy node tries targets again sooner."""
        return min(MAX_HALF_LIFE_S, max(MIN_HALF_LIFE_S, self.gap_s * HALF_LIFE_CALLS))


@dataclass
class LatencyModel:
    """Estimate latencies by kind of call from the replies of one node's calls.

    In a large fleet a node calls each target once in many seconds. An estimate
    therefore ages towards the latency that is typical of its kind, not towards zero,
    which would make an unknown target look better than one known to be fast. A target
    without an estimate is expected to behave like others of its zone, so that a zone
    that turns slow is noticed after a few replies.
    """

    _kinds: dict[str, _Kind] = field(default_factory=dict)
    _typical_overhead_s: float = 0.0
    _zones: dict[str, dict[str, LatencyEstimate]] = field(default_factory=dict)

    def expected_s(
        self, now: float, zone: str, kind: str, target: TargetLatency
    ) -> float:
        """Return the expected latency of a target in seconds; 0 if nothing is known."""
        known_kind = self._kinds.get(kind)
        if known_kind is None:
            return 0.0
        typical_s = known_kind.latency.value_s
        half_life_s = known_kind.half_life_s
        known = target.kinds.get(kind) or self._zones.get(zone, {}).get(kind)
        expected_s = known.at(now, typical_s, half_life_s) if known else typical_s
        overhead_s = self._typical_overhead_s
        if target.overhead is not None:
            overhead_s = target.overhead.at(now, overhead_s, half_life_s)
        return expected_s + overhead_s

    def slowness(self, now: float, kind: str, target: TargetLatency) -> float | None:
        """Return a target's time for a kind of call over the typical one, if known.

        Time beyond the service time that gates report is left out: it says little
        about how much a target can take.
        """
        known_kind, known = self._kinds.get(kind), target.kinds.get(kind)
        if known_kind is None or known is None:
            return None
        if known_kind.samples < MIN_TYPICAL_SAMPLES or not known_kind.latency.value_s:
            return None
        typical_s = known_kind.latency.value_s
        return known.at(now, typical_s, known_kind.half_life_s) / typical_s

    def record(
        self,
        now: float,
        zone: str,
        kind: str,
        target: TargetLatency,
        latency_s: float,
        service_s: float,
        wait_s: float,
    ) -> None:
        """Record a reply.

        Args:
            now: Monotonic time in seconds.
            zone: Availability zone of the target.
            kind: Kind of call.
            target: Latency of the target, which is updated.
            latency_s: Latency of the call, in seconds.
            service_s: Mean service time that the target's gate reported for the kind,
                over the calls of all nodes; 0 if unknown.
            wait_s: Wait that the gate had reported before, in seconds.
        """
        sample_s = latency_s
        if service_s > 0.0:
            sample_s = service_s
            overhead_s = max(0.0, latency_s - service_s - wait_s)
            self._record_overhead(now, target, overhead_s)
            target.kinds.pop(kind, None)  # The gate has averaged its samples already.
        _add(target.kinds, kind, now, sample_s, TARGET_SMOOTHING)
        zone_latencies = self._zones.setdefault(zone, {})
        _add(zone_latencies, kind, now, sample_s, ZONE_SMOOTHING)
        self._record_kind(now, kind, sample_s)

    def _record_kind(self, now: float, kind: str, sample_s: float) -> None:
        known = self._kinds.get(kind)
        if known is not None:
            known.add(now, sample_s)
            return
        if len(self._kinds) >= MAX_KINDS:
            self._kinds.clear()
        self._kinds[kind] = _Kind(LatencyEstimate(sample_s, now))

    def _record_overhead(
        self, now: float, target: TargetLatency, overhead_s: float
    ) -> None:
        if target.overhead is None:
            target.overhead = LatencyEstimate(self._typical_overhead_s, now)
        target.overhead.add(now, overhead_s, OVERHEAD_SMOOTHING)
        change_s = overhead_s - self._typical_overhead_s
        self._typical_overhead_s += change_s * TYPICAL_SMOOTHING


def _add(
    estimates: dict[str, LatencyEstimate],
    kind: str,
    now: float,
    sample_s: float,
    smoothing: float,
) -> None:
    estimate = estimates.get(kind)
    if estimate is not None:
        estimate.add(now, sample_s, smoothing)
        return
    if len(estimates) >= MAX_KINDS:
        estimates.clear()
    estimates[kind] = LatencyEstimate(sample_s, now)
