"""Limits on the requests that one target runs at once."""

__all__ = ["AdaptiveLimit", "ConcurrencyLimit", "StaticLimit"]

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

COLD_START_FRACTION = 0.25
COLD_START_MAX = 8
GROWTH_PER_WINDOW = 0.25
LATENCY_TOLERANCE = 1.5
NOISE_MARGIN = 1.0
SHRINK_STEP = 0.65
FAILURE_SHRINK = 0.85
FAILURE_SHARE = 0.2
LATENCY_GAIN = 0.82
BINDING_SHARE = 0.8
WINDOW_S = 0.25
MIN_SAMPLES = 8
MAX_SAMPLES = 12
RELAXED_SHARE = 0.5
BASELINE_RISE = 0.05
BASELINE_FALL = 0.3
SETTLE_LATENCIES = 2.0


class ConcurrencyLimit(ABC):
    """Decide how many requests a target may run at once."""

    @property
    @abstractmethod
    def value(self) -> int:
        """Return the present limit in requests."""

    @abstractmethod
    def record(
        self, now: float, kind: str, service_s: float, in_flight: int, failed: bool
    ) -> None:
        """Account for one finished request.

        Args:
            now: Monotonic time in seconds.
            kind: Kind of the request; latencies are compared within one kind.
            service_s: Time spent in the target itself, in seconds.
            in_flight: Requests in flight when this one was dispatched.
            failed: Whether the target failed or shed the request.
        """

    @abstractmethod
    def resize(self, floor: int, ceiling: int) -> None:
        """Adopt new bounds."""


class StaticLimit(ConcurrencyLimit):
    """Keep one limit for ever."""

    def __init__(self, ceiling: int):
        self._ceiling = ceiling

    @property
    def value(self) -> int:
        """Return the present limit in requests."""
        return self._ceiling

    def record(
        self, now: float, kind: str, service_s: float, in_flight: int, failed: bool
    ) -> None:
        """Ignore the sample."""

    def resize(self, floor: int, ceiling: int) -> None:
        """Adopt the new ceiling."""
        self._ceiling = ceiling


@dataclass(slots=True)
class _Mean:
    total_s: float = 0.0
    samples: int = 0

    @property
    def value_s(self) -> float:
        return self.total_s / self.samples


@dataclass(slots=True)
class _Window:
    opened_at: float = 0.0
    samples: int = 0
    failures: int = 0
    peak_in_flight: int = 0
    means: dict[str, _Mean] = field(default_factory=dict)

    def add(self, kind: str, service_s: float) -> None:
        mean = self.means.setdefault(kind, _Mean())
        mean.total_s += service_s
        mean.samples += 1

    @property
    def latency_s(self) -> float:
        total = sum(mean.total_s for mean in self.means.values())
        return total / max(1, self.samples - self.failures)


@dataclass(frozen=True, slots=True)
class _Trial:
    """Comparison of the latency at a limit and at a smaller one.

    Args:
        limit: Limit before the shrink.
        ratio: Latency before the shrink, over the baseline; 0 if not measured yet.
        measure_after: Time from which a window counts.
    """

    limit: float
    ratio: float
    measure_after: float


@dataclass(slots=True)
class AdaptiveLimit(ConcurrencyLimit):
    """Follow the latency and the failures of a target.

    The limit grows while the target's own time stays near its baseline and the limit
    is in use. If the time rises, a smaller limit is tried: where that does not make
    the target faster, concurrency was not the cause, so the limit is restored and
    the baseline follows the target; otherwise the smaller limit is kept.

    Args:
        floor: Lowest limit, in requests.
        ceiling: Highest limit, in requests.
    """

    floor: int
    ceiling: int
    _limit: float = 0.0
    _baselines: dict[str, float] = field(default_factory=dict)
    _window: _Window = field(default_factory=_Window)
    _trial: _Trial | None = None

    def __post_init__(self) -> None:
        start = min(COLD_START_MAX, self.ceiling * COLD_START_FRACTION)
        self._limit = max(self.floor, start)

    @property
    def value(self) -> int:
        """Return the present limit in requests."""
        return max(self.floor, min(self.ceiling, int(self._limit + 0.5)))

    def resize(self, floor: int, ceiling: int) -> None:
        """Adopt new bounds."""
        self.floor = floor
        self.ceiling = ceiling
        self._limit = max(floor, min(ceiling, self._limit))

    def record(
        self, now: float, kind: str, service_s: float, in_flight: int, failed: bool
    ) -> None:
        """Account for one finished request."""
        window = self._window
        window.samples += 1
        window.peak_in_flight = max(window.peak_in_flight, in_flight)
        if failed:
            window.failures += 1
        else:
            window.add(kind, service_s)
        wanted = max(MIN_SAMPLES, min(MAX_SAMPLES, 2 * self.value))
        if window.samples >= wanted and now - window.opened_at >= WINDOW_S:
            self._adjust(now, window)
            self._limit = max(self.floor, min(self.ceiling, self._limit))
            self._window = _Window(opened_at=now)

    def _adjust(self, now: float, window: _Window) -> None:
        ratio = self._ratio(window)
        margin = NOISE_MARGIN / math.sqrt(window.samples)
        binding = window.peak_in_flight >= self.value * BINDING_SHARE
        if window.failures > window.samples * FAILURE_SHARE:
            self._trial = None
            self._limit *= FAILURE_SHRINK
        elif self._trial is not None:
            self._advance_trial(self._trial, now, window, ratio)
        elif binding and ratio > LATENCY_TOLERANCE + margin and self.value > self.floor:
            self._trial = _Trial(self._limit, 0.0, _settled(now, window))
        elif binding and ratio <= LATENCY_TOLERANCE:
            self._limit += max(1.0, self._limit * GROWTH_PER_WINDOW)

    def _ratio(self, window: _Window) -> float:
        """Compare a window with the baselines, and move them."""
        relaxed = window.peak_in_flight < self._limit * RELAXED_SHARE
        total = 0.0
        samples = 0
        for kind, mean in window.means.items():
            baseline = self._baselines.setdefault(kind, mean.value_s)
            total += mean.value_s / max(baseline, 1e-6) * mean.samples
            samples += mean.samples
            weight = BASELINE_RISE if relaxed else 0.0
            if mean.value_s < baseline:
                weight = BASELINE_FALL
            self._baselines[kind] = baseline + (mean.value_s - baseline) * weight
        return total / samples if samples else 1.0

    def _advance_trial(
        self, trial: _Trial, now: float, window: _Window, ratio: float
    ) -> None:
        if window.opened_at < trial.measure_after:
            return
        if ratio <= LATENCY_TOLERANCE:
            self._trial = None
        elif not trial.ratio:
            self._trial = _Trial(trial.limit, ratio, _settled(now, window))
            self._limit *= SHRINK_STEP
        else:
            self._trial = None
            if ratio > trial.ratio * LATENCY_GAIN:
                self._limit = trial.limit
                self._rebase(ratio)

    def _rebase(self, ratio: float) -> None:
        for kind, baseline in self._baselines.items():
            self._baselines[kind] = baseline * ratio


def _settled(now: float, window: _Window) -> float:
    """Return when the effect of the present limit can be measured."""
    return now + SETTLE_LATENCIES * window.latency_s
