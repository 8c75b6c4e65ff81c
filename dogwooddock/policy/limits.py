"""Limits on the requests that one target runs at once."""

__all__ = ["AdaptiveLimit", "ConcurrencyLimit", "StaticLimit"]

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

COLD_START_FRACTION = 0.25
GROWTH_PER_WINDOW = 0.15
LATENCY_TOLERANCE = 1.6
SHRINK_STEP = 0.8
FAILURE_SHRINK = 0.85
FAILURE_SHARE = 0.2
THROUGHPUT_LOSS = 0.9
BINDING_SHARE = 0.8
WINDOW_S = 0.25
WINDOW_SAMPLES = 8
RELAXED_SHARE = 0.5
BASELINE_RISE = 0.005
BASELINE_FALL = 0.05


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
class _Window:
    opened_at: float = 0.0
    samples: int = 0
    ratio_sum: float = 0.0
    failures: int = 0
    peak_in_flight: int = 0


@dataclass(frozen=True, slots=True)
class _Trial:
    """A shrink whose effect on the throughput is not known yet."""

    limit: float
    throughput: float
    settled: bool = False


@dataclass(slots=True)
class AdaptiveLimit(ConcurrencyLimit):
    """Follow the latency, the throughput and the failures of a target.

    The limit grows while the target's own time stays near its baseline and the limit
    is in use. If the time rises, a smaller limit is tried: where that costs
    throughput, concurrency was not the cause, so the limit is restored and the
    baseline follows the target; otherwise the limit goes on shrinking.

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
        self._limit = max(self.floor, self.ceiling * COLD_START_FRACTION)

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
            window.ratio_sum += self._ratio(kind, service_s, in_flight)
        elapsed = now - window.opened_at
        if window.samples >= WINDOW_SAMPLES and elapsed >= WINDOW_S:
            self._adjust(window, elapsed)
            self._limit = max(self.floor, min(self.ceiling, self._limit))
            self._window = _Window(opened_at=now)

    def _ratio(self, kind: str, service_s: float, in_flight: int) -> float:
        baseline = self._baselines.setdefault(kind, service_s)
        weight = BASELINE_FALL
        if service_s > baseline:
            relaxed = in_flight < self._limit * RELAXED_SHARE
            weight = BASELINE_RISE if relaxed else 0.0
        self._baselines[kind] = baseline + (service_s - baseline) * weight
        return service_s / max(baseline, 1e-6)

    def _adjust(self, window: _Window, elapsed_s: float) -> None:
        answered = window.samples - window.failures
        throughput = answered / elapsed_s
        ratio = window.ratio_sum / answered if answered else 1.0
        binding = window.peak_in_flight >= self._limit * BINDING_SHARE
        if window.failures > window.samples * FAILURE_SHARE:
            self._trial = None
            self._limit *= FAILURE_SHRINK
        elif self._trial is not None:
            self._judge_trial(self._trial, throughput, ratio)
        elif binding and ratio > LATENCY_TOLERANCE:
            self._trial = _Trial(self._limit, throughput)
            self._limit *= SHRINK_STEP
        elif binding:
            self._limit += max(1.0, self._limit * GROWTH_PER_WINDOW)

    def _judge_trial(self, trial: _Trial, throughput: float, ratio: float) -> None:
        if not trial.settled:
            self._trial = _Trial(trial.limit, trial.throughput, settled=True)
            return
        self._trial = None
        if throughput >= trial.throughput * THROUGHPUT_LOSS:
            return
        self._limit = trial.limit
        for kind, baseline in self._baselines.items():
            self._baselines[kind] = baseline * max(1.0, ratio)
