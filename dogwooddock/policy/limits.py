"""Concurrency limits: how many requests one target may run at once."""

__all__ = ["AdaptiveLimit", "ConcurrencyLimit", "StaticLimit"]

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

COLD_START_FRACTION = 0.25
COLD_START_MAX = 8
GROWTH_PER_WINDOW = 0.25
LATENCY_TOLERANCE = 1.5
NOISE_TOLERANCE = 1.0
TRIAL_SHRINK_FACTOR = 0.65
FAILURE_SHRINK_FACTOR = 0.85
MAX_FAILURE_SHARE = 0.2
MAX_TRIAL_LATENCY_RATIO = 0.82
BINDING_SHARE = 0.8
WINDOW_S = 0.25
MIN_SAMPLES = 8
MAX_SAMPLES = 12
LOW_LOAD_SHARE = 0.5
BASELINE_SMOOTHING_UP = 0.05
BASELINE_SMOOTHING_DOWN = 0.3
SETTLE_LATENCIES = 2.0


class ConcurrencyLimit(ABC):
    """Limit on the requests that a target runs at once."""

    @property
    @abstractmethod
    def value(self) -> int:
        """Return the current limit in requests."""

    @abstractmethod
    def record(
        self,
        now: float,
        kind: str,
        service_s: float,
        in_flight: int,
        failed: bool,
        started_with: int = 0,
    ) -> None:
        """Record the latency and the result of one finished request.

        Args:
            now: Monotonic time in seconds.
            kind: Name of the route; latencies are compared within one kind.
            service_s: Time spent in the target itself, in seconds.
            in_flight: Requests in flight when this one finished, itself included.
            failed: Whether the target failed or shed the request.
            started_with: Requests in flight when this one started, itself included; 0
                if not known, or if its service time includes that of other targets.
        """

    @abstractmethod
    def resize(self, floor: int, ceiling: int) -> None:
        """Set the bounds of the limit, in requests."""


class StaticLimit(ConcurrencyLimit):
    """Limit that is always at its ceiling, whatever the latency."""

    def __init__(self, ceiling: int):
        self._ceiling = ceiling

    @property
    def value(self) -> int:
        """Return the current limit in requests."""
        return self._ceiling

    def record(
        self,
        now: float,
        kind: str,
        service_s: float,
        in_flight: int,
        failed: bool,
        started_with: int = 0,
    ) -> None:
        """Ignore the sample."""

    def resize(self, floor: int, ceiling: int) -> None:
        """Set the limit to the ceiling, in requests; the floor is ignored."""
        self._ceiling = ceiling


@dataclass(slots=True)
class _LatencyMean:
    total_s: float = 0.0
    samples: int = 0

    @property
    def value_s(self) -> float:
        return self.total_s / self.samples


@dataclass(slots=True)
class _SampleWindow:
    opened_at: float = 0.0
    samples: int = 0
    failures: int = 0
    peak_in_flight: int = 0
    means: dict[str, _LatencyMean] = field(default_factory=dict)

    def add(self, kind: str, service_s: float) -> None:
        mean = self.means.setdefault(kind, _LatencyMean())
        mean.total_s += service_s
        mean.samples += 1

    @property
    def latency_s(self) -> float:
        """Return the mean latency of the requests that succeeded, in seconds."""
        total = sum(mean.total_s for mean in self.means.values())
        return total / max(1, self.samples - self.failures)


@dataclass(frozen=True, slots=True)
class _Trial:
    """Trial of a smaller limit, to see whether it lowers the latency.

    Args:
        limit: Limit before it was reduced, in requests.
        ratio: Latency at that limit, over the baseline; 0 until it is measured.
        measure_after: Monotonic time in seconds; earlier windows are not measured.
    """

    limit: float
    ratio: float
    measure_after: float


@dataclass(slots=True)
class AdaptiveLimit(ConcurrencyLimit):
    """Limit that adapts to the latency and the failures of a target.

    The limit grows while the target's latency stays near its baseline and the limit is
    in use, and shrinks if many requests fail. If the latency rises, a smaller limit is
    tried: if that does not make the target faster, concurrency was not the cause, so
    the limit is restored and the baseline is raised to the new latency; otherwise the
    smaller limit is kept.

    Args:
        floor: Lowest limit, in requests.
        ceiling: Highest limit, in requests.
    """

    floor: int
    ceiling: int
    _limit: float = 0.0
    _baselines: dict[str, float] = field(default_factory=dict)
    _window: _SampleWindow = field(default_factory=_SampleWindow)
    _trial: _Trial | None = None

    def __post_init__(self) -> None:
        start = min(COLD_START_MAX, self.ceiling * COLD_START_FRACTION)
        self._limit = max(self.floor, start)

    @property
    def value(self) -> int:
        """Return the current limit in requests."""
        return max(self.floor, min(self.ceiling, int(self._limit + 0.5)))

    def resize(self, floor: int, ceiling: int) -> None:
        """Set the bounds of the limit, in requests."""
        self.floor = floor
        self.ceiling = ceiling
        self._limit = max(floor, min(ceiling, self._limit))

    def record(
        self,
        now: float,
        kind: str,
        service_s: float,
        in_flight: int,
        failed: bool,
        started_with: int = 0,
    ) -> None:
        """Record one finished request, and adjust the limit at the end of a window."""
        window = self._window
        window.samples += 1
        window.peak_in_flight = max(window.peak_in_flight, in_flight)
        if failed:
            window.failures += 1
        else:
            window.add(kind, service_s)
        required = max(MIN_SAMPLES, min(MAX_SAMPLES, 2 * self.value))
        if window.samples >= required and now - window.opened_at >= WINDOW_S:
            self._adjust(now, window)
            self._limit = max(self.floor, min(self.ceiling, self._limit))
            self._window = _SampleWindow(opened_at=now)

    def _adjust(self, now: float, window: _SampleWindow) -> None:
        """Change the limit, or start or continue a trial, at the end of a window."""
        ratio = self._latency_ratio(window)
        tolerance = NOISE_TOLERANCE / math.sqrt(window.samples)
        binding = window.peak_in_flight >= self.value * BINDING_SHARE
        if window.failures > window.samples * MAX_FAILURE_SHARE:
            self._trial = None
            self._limit *= FAILURE_SHRINK_FACTOR
        elif self._trial is not None:
            self._advance_trial(self._trial, now, window, ratio)
        elif (
            binding
            and ratio > LATENCY_TOLERANCE + tolerance
            and self.value > self.floor
        ):
            self._trial = _Trial(self._limit, 0.0, _settled_at(now, window))
        elif binding and ratio <= LATENCY_TOLERANCE:
            self._limit += max(1.0, self._limit * GROWTH_PER_WINDOW)

    def _latency_ratio(self, window: _SampleWindow) -> float:
        """Return the latency of a window over the baselines, and update these.

        A baseline moves to a lower latency fast, and to a higher one slowly and only
        while the load is low.
        """
        low_load = window.peak_in_flight < self._limit * LOW_LOAD_SHARE
        total = 0.0
        samples = 0
        for kind, mean in window.means.items():
            baseline = self._baselines.setdefault(kind, mean.value_s)
            total += mean.value_s / max(baseline, 1e-6) * mean.samples
            samples += mean.samples
            weight = BASELINE_SMOOTHING_UP if low_load else 0.0
            if mean.value_s < baseline:
                weight = BASELINE_SMOOTHING_DOWN
            self._baselines[kind] = baseline + (mean.value_s - baseline) * weight
        return total / samples if samples else 1.0

    def _advance_trial(
        self, trial: _Trial, now: float, window: _SampleWindow, ratio: float
    ) -> None:
        """Measure the latency at the current limit and take the trial's next step."""
        if window.opened_at < trial.measure_after:
            return
        if ratio <= LATENCY_TOLERANCE:
            self._trial = None
        elif not trial.ratio:
            self._trial = _Trial(trial.limit, ratio, _settled_at(now, window))
            self._limit *= TRIAL_SHRINK_FACTOR
        else:
            self._trial = None
            if ratio > trial.ratio * MAX_TRIAL_LATENCY_RATIO:
                self._limit = trial.limit
                self._scale_baselines(ratio)

    def _scale_baselines(self, ratio: float) -> None:
        for kind, baseline in self._baselines.items():
            self._baselines[kind] = baseline * ratio


def _settled_at(now: float, window: _SampleWindow) -> float:
    """Return the time from which latencies show the effect of the current limit."""
    return now + SETTLE_LATENCIES * window.latency_s
